"""Messages between the entry that holds a request and the coordinator."""

import msgspec

from fuchsiacroft.routing.permits import PermitRequest, Refusal, RunReport
from fuchsiacroft.transport import codec


@codec.message("placing.request")
class PlaceRequest(msgspec.Struct, frozen=True):
    """Ask for a place to run; answered when there is one or none will be.

    `run_id` is new for each try. `charge` is what the try takes of the
    workspace's quota, 0 after one that did not run. `repeats` tells that an
    earlier try reached a backend server. Placed within `in_time_s` the request
    can be answered in time; it may wait up to `max_wait_s`. One event of its
    answer holds `event_tokens`.
    """

    run_id: str
    ask: PermitRequest
    charge: float
    repeats: bool
    in_time_s: float
    max_wait_s: float
    event_tokens: int = 1


@codec.message("placing.spill")
class SpillRequest(msgspec.Struct, frozen=True):
    """Another domain's coordinator asks for a place.

    If none is free now, the request may wait here for `wait_s` among others.
    """

    request: PlaceRequest
    wait_s: float = 0.0


@codec.message("placing.placed")
class Placed(msgspec.Struct, frozen=True):
    """Run there; `keeper` counts the run until it is told of its end.

    `keeper_peers` is the address at which the keeper is told.
    """

    run_id: str
    backend_server: str
    address: str
    keeper: str
    keeper_peers: str


@codec.message("placing.not_placed")
class NotPlaced(msgspec.Struct, frozen=True):
    """The request does not run now."""

    refusal: Refusal


@codec.message("placing.first_event")
class FirstEvent(msgspec.Struct, frozen=True):
    """A run has sent its first event: its prompt has been read."""

    run_id: str


@codec.message("placing.run_ended")
class RunEnded(msgspec.Struct, frozen=True):
    """A run ended, or its request no longer waits."""

    run_id: str
    report: RunReport


class HeldRun(msgspec.Struct, frozen=True):
    """A run in progress, as its entry knows it."""

    run_id: str
    backend_server: str
    ask: PermitRequest


class ServiceRoom(msgspec.Struct, frozen=True):
    """Free places of a service in one failure domain, less those who wait.

    `head_rank` is that of the request that is placed next there, if any waits.
    """

    service: str
    free: int
    head_rank: int | None = None


@codec.message("placing.domain_load")
class DomainLoad(msgspec.Struct, frozen=True):
    """What the coordinator of a failure domain tells the others.

    `spent` holds the units that each workspace spent there in the window of
    quotas, and `demand` those a second that it asked for lately. `suspects` are
    fingerprints with the deaths of backend servers that they were there for.
    """

    failure_domain: str
    rooms: tuple[ServiceRoom, ...]
    spent: dict[str, float]
    demand: dict[str, float]
    suspects: dict[str, tuple[str, ...]] = {}


@codec.message("placing.ping")
class Ping(msgspec.Struct, frozen=True):
    """Is the coordinator there? `epoch` is its life as last heard.

    `runs` are all of the sender's if the coordinator's life is new to it.
    """

    node: str
    epoch: str
    runs: tuple[HeldRun, ...]


@codec.message("placing.pong")
class Pong(msgspec.Struct, frozen=True):
    """The coordinator's life; a sender that knew another tells its runs.

    `spent` are the units that each workspace spent here in the window of
    quotas, for whoever takes over.
    """

    epoch: str
    spent: dict[str, float] = {}
