"""Messages between entries and the coordinators of failure domains."""

import msgspec

from fuchsiacroft.config.bounds import Count, Seconds, SignedAmount, SignedCount
from fuchsiacroft.membership.limit_reports import LimitReport
from fuchsiacroft.membership.registry_wire import EntryRecord
from fuchsiacroft.membership.reported_load import ReportedLoad
from fuchsiacroft.placing.spending_reports import SpendingReport, UnitsByAge
from fuchsiacroft.rollouts.messages import Directive
from fuchsiacroft.routing.permits import PermitRequest, Refusal, RunReport
from fuchsiacroft.transport import codec

MAX_HANDED_RUNS = 2_000
"""Bounds the size of a message; the entries report their runs in their pings too."""


@codec.message("placing.request")
class PlaceRequest(msgspec.Struct, frozen=True):
    """Requests a slot; answered when one is assigned or the request is refused.

    `run_id` is unique for each attempt. `charge` is the attempt's charge to the
    workspace's quota, 0 after an attempt that did not run. `repeats` is set if an
    earlier attempt reached a backend server. If placed within `in_time_s`, the
    request can be answered in time; it may wait up to `max_wait_s`. Each event of
    its response holds `event_tokens` tokens.
    """

    run_id: str
    ask: PermitRequest
    charge: SignedAmount
    repeats: bool
    in_time_s: Seconds
    max_wait_s: Seconds
    event_tokens: Count = 1


@codec.message("placing.spill")
class SpillRequest(msgspec.Struct, frozen=True):
    """Requests a slot on behalf of another domain's coordinator.

    If none is free, the request may be queued here for up to `wait_s`.
    """

    request: PlaceRequest
    wait_s: Seconds = 0.0


@codec.message("placing.placed")
class SlotAssignment(msgspec.Struct, frozen=True):
    """The request was assigned a slot on a backend server.

    `coordinator` is the entry that counts the run until its end is reported to the
    address `coordinator_peers`. `start` distinguishes the starts of the server, and
    `version` is that of its software. `is_limited` means that the coordinator knows a
    limit of the server. It may have started again unless `is_start_certain`. `rollout`
    is the stage of the service's rollout, empty without one. The request was queued at
    the coordinator for `queued_s`.
    """

    run_id: str
    backend_server: str
    address: str
    coordinator: str
    coordinator_peers: str
    start: str = ""
    is_limited: bool = False
    version: str = ""
    is_start_certain: bool = True
    rollout: str = ""
    queued_s: Seconds = 0.0


@codec.message("placing.not_placed")
class NotPlaced(msgspec.Struct, frozen=True):
    """The request was refused."""

    refusal: Refusal


@codec.message("placing.first_event")
class FirstEvent(msgspec.Struct, frozen=True):
    """A run has sent its first event, so its prompt has been prefilled.

    `load` is what the server reported in the head of its answer, `load_age_s` ago.
    """

    run_id: str
    load: ReportedLoad | None = None
    load_age_s: Seconds = 0.0


@codec.message("placing.run_ended")
class RunEnded(msgspec.Struct, frozen=True):
    """A run ended, or its request was removed from the queue.

    `load` is what the server reported in the head of its answer, `load_age_s` ago.
    """

    run_id: str
    report: RunReport
    load: ReportedLoad | None = None
    load_age_s: Seconds = 0.0


class HeldRun(msgspec.Struct, frozen=True):
    """A run in progress, as reported by its entry."""

    run_id: str
    backend_server: str
    ask: PermitRequest


class EnginePrefill(msgspec.Struct, frozen=True, array_like=True):
    """Prefill speed of an engine, and the prompt tokens that it has yet to read."""

    tokens_per_s: SignedCount
    backlog_tokens: SignedCount

    def first_event_s(self, prompt_tokens: int) -> float:
        """Return the expected time to the first event of a run that starts now."""
        return (self.backlog_tokens + prompt_tokens) / max(self.tokens_per_s, 1)


class ServiceCapacity(msgspec.Struct, frozen=True):
    """Spare capacity of a service in one failure domain.

    `free` is the number of free slots less the queue length. `head_rank` is the
    rank of the next request in the queue, None if it is empty. `free_by_rank` holds
    the slots that long requests of a rank may use, less the waiters before them.
    `prefill` is that of the fastest free engine. `free_by_version` holds the free
    slots of each software version. Without `takes_new`, the domain has no server that
    may begin new requests.
    """

    service: str
    free: SignedCount
    head_rank: SignedCount | None = None
    free_by_rank: dict[SignedCount, SignedCount] = {}
    prefill: EnginePrefill | None = None
    free_by_version: dict[str, SignedCount] = {}
    takes_new: bool = True


@codec.message("placing.domain_load")
class DomainLoad(msgspec.Struct, frozen=True):
    """Periodic load report of a failure domain's coordinator to the others.

    `spent` holds the units that each workspace spent there in the quota window,
    and `demand` its recent demand in units per second. `peers` is the address of the
    sender, which `is_acting` while it can't reach the coordinator. `spent` is partial
    while the sender doesn't know yet what its predecessors spent.
    """

    failure_domain: str
    rooms: tuple[ServiceCapacity, ...]
    spent: dict[str, SignedAmount]
    demand: dict[str, SignedAmount]
    peers: str = ""
    is_acting: bool = False
    is_partial: bool = False


@codec.message("placing.hand_over")
class HandOver(msgspec.Struct, frozen=True):
    """A coordinator that stops in order asks the next entry to take its place.

    `entry` is its own record, `spent` what each workspace spent in the quota window,
    and `runs` are at most `MAX_HANDED_RUNS` runs that it counts. The others come with
    the pings of their entries. `spending` holds the same units by age.
    """

    entry: EntryRecord
    spent: dict[str, SignedAmount]
    limits: tuple[LimitReport, ...]
    runs: tuple[HeldRun, ...]
    spending: SpendingReport | None = None


@codec.message("placing.taken_over")
class TakenOver(msgspec.Struct, frozen=True):
    """Reply to `HandOver`; `accepted` if the sender is the coordinator now."""

    accepted: bool


@codec.message("placing.entry_leaving")
class EntryLeaving(msgspec.Struct, frozen=True):
    """The sender is draining and coordinates its failure domain no more."""

    entry: EntryRecord


@codec.message("placing.ping")
class Ping(msgspec.Struct, frozen=True):
    """Health check of the coordinator; `epoch` is its last known epoch.

    `runs` holds all runs of the sender if the coordinator's epoch is unknown to it,
    and `limits` what servers said to the sender lately. `spent` holds the units of
    quotas by age that the sender admitted itself in the window, without a coordinator
    or as one.
    """

    node: str
    epoch: str
    runs: tuple[HeldRun, ...]
    limits: tuple[LimitReport, ...] = ()
    spent: dict[str, UnitsByAge] = {}


@codec.message("placing.pong")
class Pong(msgspec.Struct, frozen=True):
    """The coordinator's epoch; a sender that knew another one reports its runs.

    `left` holds the units that workspaces with few left may still spend, for an entry
    that loses the coordinator, and `limits` those of all servers that it knows. `spent`
    is empty; coordinators of older software send it. `directives` are those of
    rollouts, with what is left of their leases, for an entry that decides alone later.
    """

    epoch: str
    spent: dict[str, SignedAmount] = {}
    limits: tuple[LimitReport, ...] = ()
    left: dict[str, SignedAmount] = {}
    directives: tuple[Directive, ...] = ()
