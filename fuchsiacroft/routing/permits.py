"""What the request path asks of routing, and what it gets back."""

import asyncio
import enum
from dataclasses import dataclass, field

import msgspec


class WorkSize(msgspec.Struct, frozen=True):
    """How much work a request is: tokens in, and tokens out as estimated."""

    prompt_tokens: int = 0
    output_tokens: int = 0


class PermitRequest(msgspec.Struct, frozen=True):
    """A request that waits for a permit to run.

    `rank` 0 is the most urgent tier. `timeout_s` counts from the time at
    which the ask is received. `prefixes` are digests of the prompt's leading
    blocks, the shortest first. `fingerprint` names the request's content.
    `avoid` names backend servers that could not be reached for this request.
    """

    request_id: str
    service: str
    rank: int
    timeout_s: float
    workspace: str
    share: float = 1.0
    size: WorkSize = WorkSize()
    idempotent: bool = True
    fingerprint: str = ""
    prefixes: tuple[int, ...] = ()
    first_token_target_s: float = 1.3
    token_gap_target_s: float = 0.044
    retries_per_s: float = 10.0
    avoid: tuple[str, ...] = ()


class RefusalReason(enum.Enum):
    """Why no permit was given."""

    NO_BACKEND_SERVER = "no_backend_server"
    OVERLOADED = "overloaded"
    TIMED_OUT = "timed_out"
    QUARANTINED = "quarantined"
    DRAINING = "draining"
    OVER_QUOTA = "over_quota"
    RETRY_BUDGET = "retry_budget"


class Refusal(msgspec.Struct, frozen=True):
    """No permit; another try makes sense after `retry_after_s` seconds."""

    reason: RefusalReason
    retry_after_s: float


class RunOutcome(enum.Enum):
    """How a run on a backend server ended, as seen by the entry.

    `NOT_DISPATCHED`: the connection could not be opened. `PREEMPTED`: ended
    to make room. `UNUSED`: the permit was given back without a try.
    """

    COMPLETED = "completed"
    REFUSED = "refused"
    FAILED = "failed"
    CONNECTION_LOST = "connection_lost"
    NOT_DISPATCHED = "not_dispatched"
    CANCELLED = "cancelled"
    PREEMPTED = "cut"
    UNUSED = "unused"


class RunReport(msgspec.Struct, frozen=True):
    """What the entry saw of one run; times in seconds from the dispatch."""

    outcome: RunOutcome
    first_token_s: float | None = None
    token_gap_s: float | None = None
    duration_s: float = 0.0
    output_tokens: int = 0


@dataclass(frozen=True, slots=True, eq=False)
class Permit:
    """The right to run one request on one backend server.

    `preempted` is completed with the time to retry after, in seconds, when the run
    must end to make room for more urgent work.
    """

    permit_id: str
    request: PermitRequest
    backend_server: str
    boot_id: str
    address: str
    owner: str
    preempted: asyncio.Future = field(repr=False)
