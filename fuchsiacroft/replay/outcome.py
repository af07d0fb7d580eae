"""What a caller saw of one request of a trace."""

import enum
from dataclasses import dataclass


class End(enum.Enum):
    """How a request ended for its caller.

    `CUT` is a visible error after the answer began, `LOST` no answer at all,
    `SHORT` an answer that looks whole and is not.
    """

    WHOLE = "whole"
    REFUSED = "refused"
    CUT = "cut"
    LOST = "lost"
    SHORT = "short"


@dataclass(frozen=True, slots=True)
class Outcome:
    """One request's end; times are seconds from the start of the replay.

    `ran` is the word of the refusal, empty for an answer. `is_mixed` tells
    that the answer holds another request's text.
    """

    trace_id: str
    service: str
    rank: int
    domain: str
    idempotent: bool
    end: End
    sent_at: float
    ended_at: float
    deadline_s: float
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
        """Tell whether the caller got the whole answer in time."""
        in_time = self.ended_at - self.sent_at <= self.deadline_s
        return self.end is End.WHOLE and in_time
