"""The outcome of one request of a trace, as seen by its caller."""

import enum
from dataclasses import dataclass


class End(enum.Enum):
    """How a request ended for its caller.

    `INTERRUPTED` is a visible error after the answer began, `DISCONNECTED` the end of
    the connection before that, `LOST` silence until the request's timeout, `TRUNCATED`
    an answer that looks complete but is not. The report prints the values.
    """

    COMPLETE = "whole"
    REFUSED = "refused"
    INTERRUPTED = "cut"
    DISCONNECTED = "ended"
    LOST = "lost"
    TRUNCATED = "short"


@dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of one request.

    `sent_at` and `ended_at` are seconds since the replay started; the fields that end
    in `_s` are durations.

    `ran` is the `ran` field of a refusal, empty for an answer. `is_mixed` means
    that the answer contains another request's text.
    """

    trace_id: str
    service: str
    rank: int
    domain: str
    idempotent: bool
    end: End
    sent_at: float
    ended_at: float
    timeout_s: float
    request_id: str = ""
    status: int = 0
    ran: str = ""
    reason: str = ""
    is_mixed: bool = False
    first_token_s: float | None = None
    token_gap_s: float | None = None
    resend_of: str = ""

    @property
    def is_good(self) -> bool:
        """Return whether the caller received the complete answer in time."""
        in_time = self.ended_at - self.sent_at <= self.timeout_s
        return self.end is End.COMPLETE and in_time
