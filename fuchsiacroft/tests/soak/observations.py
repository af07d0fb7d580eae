"""What callers, backend servers and the operator saw, for the promises."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Attempt:
    """One request as its caller saw it; times are the soak's seconds.

    `status` is None where the connection ended without one. `whole` tells that
    the end of an answer was seen. `events` are the ids of a stream's events. A
    caller with `abandoned` went away by itself.
    """

    attempt_id: str
    route: str
    entry: str
    sent_at: float
    timeout_s: float
    body: bytes = b""
    status: int | None = None
    whole: bool = False
    genuine: bool = True
    events: list[int] = field(default_factory=list)
    ended_at: float | None = None
    abandoned: bool = False


@dataclass(frozen=True, slots=True)
class Run:
    """A backend server began to work on a request."""

    attempt_id: str
    server: str
    at: float
    body: bytes


@dataclass(frozen=True, slots=True)
class Read:
    """The operator read a version; `sent_at` is when the question was sent."""

    member: str
    sent_at: float
    version: int


@dataclass(slots=True)
class Observations:
    """Everything that was seen in a run; `fault_spans` are spans of faults."""

    attempts: list[Attempt] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)
    acknowledged: list[tuple[float, int]] = field(default_factory=list)
    wrongly_accepted: list[str] = field(default_factory=list)
    leaves: list[tuple[str, float]] = field(default_factory=list)
    fault_spans: list[tuple[float, float]] = field(default_factory=list)
    unexpected_exits: list[str] = field(default_factory=list)
    recovered_at: float = 0.0
