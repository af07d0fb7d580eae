"""Messages about rollouts between coordinators and control members."""

import enum
from typing import Annotated

import msgspec

from fuchsiacroft.config.bounds import Count, Seconds, SoftwareVersion, Whole
from fuchsiacroft.transport import codec

MAX_ROUTES = 200
"""Routes of a service that are counted apart; the others share the name ""."""
DIRECTIVE_LEASE_S = 2.0
"""Shorter than the time in which nothing may reach a bad version any more."""

Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]


class Stage(enum.Enum):
    """What new requests of a service may do while its rollout is in this stage.

    `CANARY`: at most a share of them go to the new version. `SHIFTED`: all of them go
    there. `COMPLETED`: the old servers get nothing any more. `ROLLED_BACK`: the new
    version gets nothing any more.
    """

    CANARY = "canary"
    SHIFTED = "shifted"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Directive(msgspec.Struct, frozen=True):
    """The stage of a rollout; `rollout` is the log index of its order.

    It is in force for `lease_s` after the reply that brought it, unless the rollout
    has ended. `ended_s` is how long ago it was completed, as far as the sender knows.
    """

    service: str
    to: SoftwareVersion
    rollout: Whole
    stage: Stage
    share: Share
    lease_s: Seconds = DIRECTIVE_LEASE_S
    ended_s: Seconds = 0.0


class RouteCounts(msgspec.Struct, frozen=True):
    """Responses of the new version, or of all old ones, on one route.

    All counts are cumulative since the sender first received the directive. `began` are
    the requests sent, `failed` the error responses and flawed ones, and `lost` the lost
    connections, also those of crashes. `slow` responses took over three times what old
    servers take. `servers` had a response, `bad_servers` a failed or slow one.
    """

    route: str
    is_new: bool
    began: Count = 0
    answers: Count = 0
    failed: Count = 0
    lost: Count = 0
    slow: Count = 0
    bad_servers: Count = 0
    servers: Count = 0
    lost_servers: Count = 0
    worst_answers: Count = 0
    worst_bad: Count = 0


class ServiceEvidence(msgspec.Struct, frozen=True):
    """What one coordinator observed of a rollout.

    `stage` is the one that it has in force, and `old_runs` are its runs in progress on
    old servers. `counts` holds at most `MAX_ROUTES` routes. `longest_run_s` is how long
    the longest usual runs on old servers took lately, 0 if the sender doesn't know.
    """

    service: str
    rollout: Whole
    stage: Stage
    old_runs: Count
    counts: tuple[RouteCounts, ...] = ()
    longest_run_s: Seconds = 0.0


@codec.message("rollouts.evidence")
class Evidence(msgspec.Struct, frozen=True):
    """Periodic report of a coordinator; `epoch` is new at each start of its process."""

    node: str
    epoch: str
    services: tuple[ServiceEvidence, ...] = ()


@codec.message("rollouts.directives")
class Directives(msgspec.Struct, frozen=True):
    """Reply to `Evidence`; without `confirmed` the member may lack later decisions."""

    directives: tuple[Directive, ...] = ()
    confirmed: bool = False
