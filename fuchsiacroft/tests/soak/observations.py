"""What callers, backend servers and the operator observed in a run.

Times are those of the event loop.
"""

import math
from dataclasses import dataclass, field


@dataclass(slots=True)
class Attempt:
    """One request as its caller observed it; times are those of the event loop.

    `status` is None if no response head was received. `is_complete` tells that the
    response was received to its end, `is_own_response` that it belongs to this
    request, `says_leaving` that its server leaves, `names_limit` that its server named
    a limit on requests a second, `is_metered` that its workspace has a quota. `events`
    are the ids of a stream's events, and `versions` their servers' software versions.
    One that takes up a stream names the attempt that began it in `resumes`, and its
    last event. `reason` is why an entry refused it. `is_abandoned` tells that the
    caller closed the connection itself, `is_cut` that its entry did so before the
    response.
    """

    attempt_id: str
    route: str
    entry: str
    sent_at: float
    timeout_s: float
    body: bytes = b""
    status: int | None = None
    is_complete: bool = False
    is_own_response: bool = True
    events: list[int] = field(default_factory=list)
    versions: list[str] = field(default_factory=list)
    resumes: str | None = None
    last_event: int = 0
    reason: str = ""
    ended_at: float | None = None
    is_abandoned: bool = False
    is_cut: bool = False
    says_leaving: bool = False
    names_limit: bool = False
    is_metered: bool = False


@dataclass(frozen=True, slots=True)
class Run:
    """A backend server started to process a request."""

    attempt_id: str
    server: str
    at: float
    body: bytes


@dataclass(slots=True)
class ServingSpan:
    """An incarnation of a server that streams took new requests for some time."""

    version: str
    started_at: float
    ended_at: float = math.inf


@dataclass(frozen=True, slots=True)
class PauseRequest:
    """A backend server refused a request, and asked its entry to wait until a time."""

    attempt_id: str
    server: str
    at: float
    until: float


@dataclass(frozen=True, slots=True)
class LimitSpan:
    """A backend server named a limit of `per_s` requests a second for some time."""

    server: str
    per_s: float
    started_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class PartCrash:
    """A backend server crashed by a request with a deadly prompt part."""

    part: str
    attempt_id: str
    at: float


@dataclass(frozen=True, slots=True)
class VersionRead:
    """A version that the operator read; `sent_at` is when the request was sent."""

    member: str
    sent_at: float
    version: int


@dataclass(frozen=True, slots=True)
class RouteProbe:
    """The status that an entry gave for the route that a version added."""

    entry: str
    version: int
    sent_at: float
    status: int


@dataclass(frozen=True, slots=True)
class FaultSpan:
    """The time of a fault; `node` is its process's address or its server's name.

    It is "" for a fault of all processes or of none.
    """

    started_at: float
    ended_at: float
    node: str = ""


@dataclass(slots=True)
class Observations:
    """All observations of a run; `acknowledged` are times and versions.

    `unrecovered` are control members that lost their data and didn't get it back in
    time. `deadly_parts` are the prompt parts that crash backend servers now.

    `entry_spans`, `control_spans` and `server_spans` are the faults of entries, control
    members and backend servers, `fault_spans` are those of any kind. `planned_spans`
    are the planned stops among them.
    """

    attempts: list[Attempt] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    pauses: list[PauseRequest] = field(default_factory=list)
    serving_spans: list[ServingSpan] = field(default_factory=list)
    limit_spans: list[LimitSpan] = field(default_factory=list)
    deadly_parts: list[str] = field(default_factory=list)
    part_crashes: list[PartCrash] = field(default_factory=list)
    version_reads: list[VersionRead] = field(default_factory=list)
    acknowledged: list[tuple[float, int]] = field(default_factory=list)
    wrongly_accepted: list[str] = field(default_factory=list)
    leaves: list[tuple[str, float]] = field(default_factory=list)
    route_probes: list[RouteProbe] = field(default_factory=list)
    fault_spans: list[FaultSpan] = field(default_factory=list)
    planned_spans: list[FaultSpan] = field(default_factory=list)
    entry_spans: list[FaultSpan] = field(default_factory=list)
    control_spans: list[FaultSpan] = field(default_factory=list)
    server_spans: list[FaultSpan] = field(default_factory=list)
    unrecovered: list[str] = field(default_factory=list)
    unexpected_exits: list[str] = field(default_factory=list)
    recovered_at: float = 0.0
