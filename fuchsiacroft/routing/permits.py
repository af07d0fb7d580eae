"""Permit requests, permits, refusals and run reports."""

import asyncio
import enum
from dataclasses import dataclass, field
from typing import Self

import msgspec

from fuchsiacroft.config.bounds import Count, Hash64, Seconds, SignedAmount, SignedCount


class WorkSize(msgspec.Struct, frozen=True):
    """The size of a request: prompt tokens and estimated output tokens."""

    prompt_tokens: Count = 0
    output_tokens: Count = 0

    @property
    def total_tokens(self) -> int:
        """Return the tokens that a server keeps in memory at the end of the run."""
        return self.prompt_tokens + self.output_tokens


class PermitRequest(msgspec.Struct, frozen=True):
    """A request for a permit to run on a backend server.

    `rank` 0 is the highest-priority tier. `timeout_s` counts from the time at
    which the permit request is received. `prefixes` are digests of the prompt's
    leading blocks, the shortest first. `fingerprint` identifies the request's
    content, and `shared_parts` the parts of its prompt that other requests may have
    too. `avoid` lists backend servers that earlier attempts tried; none of them is
    chosen. `version` is the software version that began the stream which the request
    continues; only servers of it are chosen. It is None if any may be. `route` is the
    name of the route that the request came by.
    """

    request_id: str
    service: str
    rank: SignedCount
    timeout_s: Seconds
    workspace: str
    share: SignedAmount = 1.0
    size: WorkSize = WorkSize()
    idempotent: bool = True
    fingerprint: str = ""
    prefixes: tuple[Hash64, ...] = ()
    shared_parts: tuple[str, ...] = ()
    first_token_target_s: Seconds = 1.3
    token_gap_target_s: Seconds = 0.044
    retries_per_s: SignedAmount = 10.0
    avoid: tuple[str, ...] = ()
    version: str | None = None
    route: str = ""

    @property
    def content_ids(self) -> tuple[str, ...]:
        """Return the ids of what it has in common with its retries and others.

        They hold for its service: what crashes one may be answered by another.
        """
        ids = [self.fingerprint] if self.fingerprint else []
        ids += [f"part:{part}" for part in self.shared_parts]
        ids += [f"prefix:{prefix:x}" for prefix in self.prefixes]
        return tuple(f"{content_id}@{self.service}" for content_id in ids)

    def avoiding(self, *backend_servers: str) -> Self:
        """Return this request with further backend servers to avoid."""
        if not backend_servers:
            return self
        return msgspec.structs.replace(self, avoid=(*self.avoid, *backend_servers))


class RefusalReason(enum.Enum):
    """Why no permit was granted."""

    NO_BACKEND_SERVER = "no_backend_server"
    OVERLOADED = "overloaded"
    TIMED_OUT = "timed_out"
    QUARANTINED = "quarantined"
    DRAINING = "draining"
    OVER_QUOTA = "over_quota"
    RETRY_BUDGET = "retry_budget"
    SERVERS_PAUSED = "servers_paused"
    VERSION_GONE = "version_gone"


class Refusal(msgspec.Struct, frozen=True):
    """No permit was granted; retry after `retry_after_s` seconds."""

    reason: RefusalReason
    retry_after_s: Seconds


class RunOutcome(enum.Enum):
    """How a run on a backend server ended, as observed by the entry.

    `FAILED`: it answered with an error, or its answer wasn't the request's own.
    `NOT_DISPATCHED`: the connection could not be opened. `PREEMPTED`: ended
    to free capacity for a higher tier. `UNUSED`: the permit was returned without
    being used.
    """

    COMPLETED = "completed"
    REFUSED = "refused"
    FAILED = "failed"
    CONNECTION_LOST = "connection_lost"
    NOT_DISPATCHED = "not_dispatched"
    CANCELLED = "cancelled"
    PREEMPTED = "cut"
    UNUSED = "unused"


NOT_SENT = (RunOutcome.UNUSED, RunOutcome.NOT_DISPATCHED)
"""Outcomes of runs whose request did not reach the backend server."""
ANSWERED = (RunOutcome.COMPLETED, RunOutcome.FAILED)
"""Outcomes of runs whose answer came to its end."""
SERVER_LOST = (RunOutcome.NOT_DISPATCHED, RunOutcome.CONNECTION_LOST)
"""Outcomes after which the backend server may have ended."""


class RunReport(msgspec.Struct, frozen=True):
    """Measurements of a run; `first_token_s` and `duration_s` count from dispatch.

    `is_timed_out` tells that a connection was not open in time. Nobody refused it, so
    it doesn't show that the backend server has ended.
    """

    outcome: RunOutcome
    first_token_s: Seconds | None = None
    token_gap_s: Seconds | None = None
    duration_s: Seconds = 0.0
    output_tokens: Count = 0
    is_timed_out: bool = False


@dataclass(frozen=True, slots=True, eq=False)
class Permit:
    """Permission to run one request on one backend server.

    `preempted` completes with the retry delay in seconds when the run must end to
    free capacity for a higher tier. `is_limited` is true if the owner knew a limit of
    the server.
    """

    permit_id: str
    request: PermitRequest
    backend_server: str
    boot_id: str
    address: str
    owner: str
    preempted: asyncio.Future = field(repr=False)
    is_limited: bool = False
