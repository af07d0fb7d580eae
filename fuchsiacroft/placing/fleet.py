"""Tracks the runs on a failure domain's backend servers and selects servers.

Like the allocator, it takes the time as an argument, does no I/O and starts no tasks.
"""

import math
import statistics
from collections import Counter
from collections.abc import Callable, Container, Iterable, Sequence
from dataclasses import dataclass

from fuchsiacroft.membership import request_pacing
from fuchsiacroft.membership.registry_wire import ServerRecord
from fuchsiacroft.membership.reported_load import ReportedLoad
from fuchsiacroft.membership.server_limits import UNLIMITED
from fuchsiacroft.membership.server_starts import ServerStarts
from fuchsiacroft.placing.crash_detector import CrashDetector
from fuchsiacroft.placing.engine_speed import EngineSpeeds
from fuchsiacroft.placing.isolation import IsolatedRuns
from fuchsiacroft.placing.messages import EnginePrefill, HeldRun, PlaceRequest
from fuchsiacroft.placing.moving_average import moving_average
from fuchsiacroft.placing.server_load import Run, ServerLoad
from fuchsiacroft.placing.slot_reserve import SlotReserve
from fuchsiacroft.placing.token_memory import TokenMemory
from fuchsiacroft.quarantine.evidence import Treatment
from fuchsiacroft.rollouts.entry_rollouts import EntryRollouts
from fuchsiacroft.rollouts.service_rollout import Permission, TrackedRun
from fuchsiacroft.routing.learned_limit import LimitChange
from fuchsiacroft.routing.permits import (
    NOT_SENT,
    SERVER_LOST,
    PermitRequest,
    RunOutcome,
    RunReport,
)
from fuchsiacroft.utils.bounded import set_newest

RUN_GRACE_S = 1.0
"""A run whose end was not reported expires this long after its timeout."""
DEFAULT_RUN_S = 0.3
"""Mean run time of a service until one of its runs has completed."""
MIN_RUN_S = 0.001
"""Lower bound, as a run measures 0 s if one event loop iteration starts and ends it."""
MAX_ENDED_RUNS = 2_000
"""Ended runs that are remembered, as a list of runs may come after the end of one."""
LEARNING_RATE = 0.05
"""Weight of the newest run in the moving average of its service."""
SHORT_RUN_SHARE = 0.5
"""Runs up to this share of the service's mean run time count as short."""
STALL_AVOIDANCE_SHARE = 0.4
"""Share of its in-time wait that a request spends waiting for a server on which its
prefill would not stall other streams for too long."""


@dataclass(frozen=True, slots=True)
class Assignment:
    """The assignment of a run to one start of a backend server.

    The server may have started again unless `is_start_certain`. `rollout` is the stage
    of the service's rollout, empty if there is none.
    """

    run_id: str
    backend_server: str
    address: str
    waited_s: float
    start: str = ""
    is_limited: bool = False
    version: str = ""
    is_start_certain: bool = True
    rollout: str = ""


@dataclass(frozen=True, slots=True)
class VersionSplit:
    """The old servers of a service that are not excluded, and its new ones."""

    permission_key: tuple
    old: tuple[ServerLoad, ...]
    new: tuple[ServerLoad, ...]


class Fleet:
    """The servers that accept work, and the runs on each.

    `share` is the part of each server's slots that this entry may use. With
    `always_learns`, limits are learned for servers that don't report their speed, too.
    `on_limit_change` is called with each change of a learned limit.
    """

    def __init__(self) -> None:
        self._servers: dict[str, ServerLoad] = {}
        self._by_service: dict[str, list[ServerLoad]] = {}
        self._by_version: dict[str, VersionSplit] = {}
        self._runs: dict[str, ServerLoad] = {}
        self._ended: dict[str, None] = {}
        self._slots: dict[str, int] = {}
        self._mean_run_s: dict[str, float] = {}
        self._reserves: dict[str, SlotReserve] = {}
        self._speeds: dict[str, EngineSpeeds] = {}
        self.share = 1.0
        self.crash_detector = CrashDetector()
        self._isolated = IsolatedRuns()
        self.pacing = request_pacing.create()
        self.starts = ServerStarts()
        self.rollouts = EntryRollouts()
        self.rollouts.running = self._tracked_runs
        self.token_memory = TokenMemory()
        self.always_learns = False
        self.on_limit_change: Callable[[ServerLoad, LimitChange], None] = (
            lambda load, change: None
        )

    def dump(self, at: float = 0.0) -> dict:
        """Return each server with its runs, speed and failure rate."""
        return {
            name: {
                "runs": len(load.runs),
                "slots": load.slots,
                "gap_ms": round((load.token_gap_s or 0) * 1000, 3),
                "failures": round(load.failure_rate, 3),
                "limit_per_s": self._limit_per_s(load),
                **load.learning.dump(at),
            }
            for name, load in self._servers.items()
        }

    def replace_servers(
        self,
        records: Iterable[ServerRecord],
        at: float,
        adopted: Container[str] = (),
        leaving: Container[str] = (),
    ) -> None:
        """Replace the set of backend servers that accept work.

        Those of the `adopted` domains may be cut off from here, so each gets one
        request at first, until one has had a response. A server that is missing now
        has ended, unless it is named in `leaving`.
        """
        found = {record.name: record for record in records}
        for name in self._servers.keys() - found.keys():
            if name not in leaving:
                self._record_ended(self._servers[name], at)
            self._remove_server(name, at)
        for name, record in found.items():
            known = self._servers.get(name)
            if known is not None and known.record.instance_id == record.instance_id:
                known.record = record
                continue
            load = ServerLoad(record, self._speeds_of(record))
            if known is not None:
                self._record_ended(known, at)
                self._remove_server(name, at)
                self._carry_limit_over(known, load, at)
            load.is_unproven = record.announcement.failure_domain in adopted
            load.learning.is_active = self.always_learns
            self._servers[name] = load
            self.pacing.restart_server(load.instance, at)
        self._by_version.clear()
        self._by_service = {}
        for load in self._servers.values():
            for service in load.services:
                self._by_service.setdefault(service, []).append(load)
        self._slots = {
            service: sum(load.slots for load in loads)
            for service, loads in self._by_service.items()
        }

    def serves(self, service: str, version: str | None = None) -> bool:
        """Return whether a usable server offers a service, at a version if given."""
        return bool(self._usable(service, version))

    def may_run(self, permit_request: PermitRequest) -> bool:
        """Return whether a request may run on any server, free or not."""
        avoid = permit_request.avoid
        return any(load.name not in avoid for load in self._candidates(permit_request))

    def slots(self, service: str, version: str | None = None) -> int:
        """Return how many requests of a service can run concurrently."""
        if version is not None:
            return sum(load.slots for load in self._usable(service, version))
        if self.rollouts.permission(service) is None:
            return self._slots.get(service, 0)
        return sum(load.slots for load in self._lasting(service))

    def usable_slots(self, service: str) -> float:
        """Return how many slots of a service can be in use on average.

        A server's limit on requests a second keeps some of its slots empty.
        """
        slots = self.allowed_slots(service)
        if self.pacing.limits.is_empty:
            return slots
        run_s = self.mean_run_s(service)
        for load in self._lasting(service):
            if not self.pacing.is_limited(load.instance):
                continue
            allowed = self._mean_allowed(load, service)
            slots -= max(allowed - self.pacing.per_s(load.instance) * run_s, 0.0)
        return slots

    def allowed_slots(self, service: str, version: str | None = None) -> float:
        """Return how many slots learned limits and token memory leave on average.

        With a version, they are those on which its streams may be continued.
        """
        if version is None:
            servers = self._lasting(service)
        else:
            servers = self._usable(service, version)
        return float(sum(self._mean_allowed(load, service) for load in servers))

    def _mean_allowed(self, load: ServerLoad, service: str) -> float:
        """Return how many runs a server may have by its learned limit and memory."""
        allowed = load.learning.mean_allowed(load.slots)
        return self.token_memory.mean_allowed(load, service, allowed)

    def limited_count(self, service: str) -> int:
        """Return how many servers of a service have a limit on requests a second."""
        return len(self._limited(service))

    def free_limited(self, service: str, at: float) -> int:
        """Return how many requests the limited servers of a service may get now."""
        if self.pacing.limits.is_empty:
            return 0
        return self._sum_free(service, at, only_limited=True)

    def free(self, service: str, at: float, version: str | None = None) -> int:
        """Return the free slots of a service, of one version if it is given."""
        if version is None:
            return self._sum_free(service, at)
        self.rollouts.permission(service, at)
        servers = self._usable(service, version)
        return sum(
            self._free_for(load, service, at)
            for load in servers
            if self._is_start_certain(load, at)
        )

    def _sum_free(self, service: str, at: float, *, only_limited: bool = False) -> int:
        """Return the free slots that new requests may use now.

        Those of a new version count as far as more requests may begin on it.
        """
        permission = self.rollouts.permission(service, at)
        if permission is None:
            old, new = self._servers_of(service), ()
        else:
            old, new = self._usable_by_version(service, permission)
        if only_limited:
            old, new = (
                [load for load in loads if self.pacing.is_limited(load.instance)]
                for loads in (old, new)
            )
        free = sum(self._free_for(load, service, at) for load in old)
        if new:
            free_new = sum(self._free_for(load, service, at) for load in new)
            free += int(min(free_new, permission.new_limit))
        return free

    def free_by_version(self, service: str, at: float) -> dict[str, int]:
        """Return the free slots of each software version of a service."""
        free: Counter[str] = Counter()
        permission = self.rollouts.permission(service, at)
        for load in self._servers_of(service):
            version = load.version_of(service)
            if permission is not None and not permission.allows(
                load.name, version, continues=True
            ):
                continue
            if self._is_start_certain(load, at):
                free[version] += self._free_for(load, service, at)
        return dict(free)

    def kept_free(self, service: str, rank: int, at: float) -> int:
        """Return how many slots of a service requests of a rank leave free.

        Only those of servers without a limit on requests a second are kept free: such a
        server's next place comes with time and not with the end of a run.
        """
        reserve = self._reserve(service)
        if not reserve.kept_free(rank, self.slots(service), at):
            return 0
        slots = sum(
            self._mean_allowed(load, service)
            for load in self._lasting(service)
            if not self.pacing.is_limited(load.instance)
        )
        return reserve.kept_free(rank, int(slots), at)

    def urgent_load(self, service: str, rank: int, at: float) -> float:
        """Return the recent mean number of runs that are more urgent than a rank."""
        return self._reserve(service).urgent_load(rank, at)

    def ranks(self, service: str) -> list[int]:
        """Return the ranks of a service's requests, the most urgent first."""
        return self._reserve(service).ranks()

    def services(self) -> set[str]:
        """Return the services that are offered."""
        return set(self._by_service)

    def mean_run_s(self, service: str) -> float:
        """Return the mean run time of a service."""
        return self._mean_run_s.get(service, DEFAULT_RUN_S)

    def median_run_s(self, permit_request: PermitRequest) -> float:
        """Return the expected run time on a server of median speed."""
        times = [
            load.run_s(permit_request) for load in self._candidates(permit_request)
        ]
        return statistics.median(times) if times else DEFAULT_RUN_S

    def fastest_free(self, request: PlaceRequest, at: float) -> ServerLoad | None:
        """Return the free server on which a prompt would be read first, or None."""
        permit_request = request.ask
        tokens = permit_request.size.prompt_tokens
        free = [
            load
            for load in self._eligible(permit_request, at)
            if self._free(load, at) and self.token_memory.fits(load, request, at)
        ]
        return min(free, key=lambda load: load.first_event_s(tokens), default=None)

    def fastest_prefill(self, service: str, at: float) -> EnginePrefill | None:
        """Return the prefill speed of the fastest free engine of a service."""
        self.rollouts.permission(service, at)
        free = [
            load for load in self._usable(service) if self._free_for(load, service, at)
        ]
        fastest = max(free, key=lambda load: load.prefill_tokens_per_s, default=None)
        if fastest is None:
            return None
        return EnginePrefill(int(fastest.prefill_tokens_per_s), fastest.prefill_tokens)

    def choose(
        self,
        request: PlaceRequest,
        at: float,
        waited_s: float = 0.0,
        *,
        only_limited: bool = False,
        awaited: Container[str] = (),
    ) -> ServerLoad | None:
        """Return the free server with the lowest expected cost, or None.

        While the request has time left, servers whose streams it would stall are
        skipped. A request with suspected content runs in isolation. A short one gets
        a place of a limited server only if no other server is free, since each place
        is one request of any length. With `only_limited`, no other server is chosen.
        Servers of `awaited` versions are left to the streams that wait for them, if
        another one is free. A new version that is rolled out gets its share first.
        """
        permit_request = request.ask
        match self.treatment(permit_request, at):
            case Treatment.REFUSED:
                return None
            case Treatment.ISOLATED:
                return self._choose_isolated(request, at)
        avoids_stalls = waited_s < STALL_AVOIDANCE_SHARE * request.in_time_s
        best, lowest_cost = None, (math.inf, True, True, math.inf)
        lacks_tokens = False
        servers = self._eligible(permit_request, at)
        order = self._rollout_order(permit_request, servers)
        allows_too_slow = _allows_too_slow(request, servers, at, waited_s)
        remaining_s = permit_request.timeout_s - waited_s
        for load in servers:
            if not self._free(load, at):
                continue
            if not allows_too_slow and not load.can_complete(
                permit_request, remaining_s, at
            ):
                continue
            if not self.token_memory.fits(load, request, at):
                lacks_tokens = True
                continue
            if avoids_stalls and load.would_stall(permit_request, request.event_tokens):
                continue
            if self._isolated.occupies(load):
                continue
            is_limited = self.pacing.is_limited(load.instance)
            if only_limited and not is_limited:
                continue
            wastes_place = is_limited and self._is_short_on(load, permit_request)
            is_awaited = (
                permit_request.version is None
                and bool(awaited)
                and load.version_of(permit_request.service) in awaited
            )
            cost = (
                order.get(load.name, 0),
                is_awaited,
                wastes_place,
                load.expected_s(permit_request, at),
            )
            if cost < lowest_cost:
                best, lowest_cost = load, cost
        if best is None and lacks_tokens and waited_s > 0.0:
            self.token_memory.hold(
                request, servers, at, lambda load: self._free(load, at) > 0
            )
        return best

    def _rollout_order(
        self, permit_request: PermitRequest, servers: Sequence[ServerLoad]
    ) -> dict[str, int]:
        """Return by name in which order servers are used, 0 for those not named.

        New servers are filled one after the other, so that faults under load show.
        They come first for a request of a route on which the new version has less
        than its share, and last for others and for one that has been there already.
        """
        service = permit_request.service
        permission = self.rollouts.permission(service)
        if permission is None or not permission.prefers_new:
            return {}
        if permit_request.version is not None:
            return {}
        new = {load.name for load in self._usable_by_version(service, permission)[1]}
        names = [load.name for load in servers if load.name in new]
        order = self.rollouts.order(service, names)
        has_been_there = not new.isdisjoint(permit_request.avoid)
        if not has_been_there and self.rollouts.is_due(service, permit_request.route):
            return {name: place - len(names) for name, place in order.items()}
        return {name: place + 1 for name, place in order.items()}

    def _is_short_on(self, load: ServerLoad, permit_request: PermitRequest) -> bool:
        mean_s = self.mean_run_s(permit_request.service)
        return load.run_s(permit_request) < SHORT_RUN_SHARE * mean_s

    def treatment(self, permit_request: PermitRequest, at: float) -> Treatment:
        """Return how a request may run, by what is known of its content."""
        evidence = self.crash_detector.evidence
        if evidence.is_empty:
            return Treatment.UNRESTRICTED
        return evidence.treatment(permit_request.content_ids, at)

    def _choose_isolated(self, request: PlaceRequest, at: float) -> ServerLoad | None:
        permit_request = request.ask
        suspected = self._suspected_content(permit_request, at)
        servers = self._eligible(permit_request, at)
        return self._isolated.choose(
            suspected,
            servers,
            lambda load: (
                self._free(load, at) > 0 and self.token_memory.fits(load, request, at)
            ),
        )

    def _suspected_content(
        self, permit_request: PermitRequest, at: float
    ) -> frozenset[str]:
        evidence = self.crash_detector.evidence
        if evidence.is_empty:
            return frozenset()
        return evidence.suspected(permit_request.content_ids, at)

    def begin(
        self, request: PlaceRequest, load: ServerLoad, at: float, arrived_at: float
    ) -> Assignment:
        """Start a run for a request that arrived at `arrived_at`."""
        permit_request = request.ask
        is_prefilling = permit_request.size.prompt_tokens > 0
        self._add_run(
            load,
            Run(
                request.run_id,
                permit_request,
                at,
                _ends_by(permit_request, at),
                is_prefilling,
                suspected_content=self._suspected_content(permit_request, at),
            ),
        )
        self.token_memory.record_start(permit_request, request.run_id)
        self.pacing.take(load.instance, at)
        permission = self.rollouts.permission(permit_request.service, at)
        self._track(load, load.runs[request.run_id], at, is_counted=True)
        return Assignment(
            request.run_id,
            load.name,
            load.record.announcement.address,
            at - arrived_at,
            load.instance.start,
            self.pacing.is_limited(load.instance),
            load.version_of(permit_request.service),
            self._is_start_certain(load, at),
            "" if permission is None else permission.reason,
        )

    def _track(
        self, load: ServerLoad, run: Run, at: float, *, is_counted: bool
    ) -> None:
        """Track a run of a service that has a rollout."""
        if self.rollouts.tracks(run.permit_request.service, at):
            self.rollouts.begin(_tracked(load, run, is_counted))

    def _tracked_runs(self, service: str) -> list[TrackedRun]:
        """Return the runs of a service that are in progress."""
        return [
            _tracked(load, run, is_counted=False)
            for load in self._servers_of(service)
            for run in load.runs.values()
            if run.permit_request.service == service
        ]

    def adopt(self, held_run: HeldRun, at: float) -> None:
        """Count a run that another coordinator placed, unless its end is known."""
        load = self._servers.get(held_run.backend_server)
        run_id = held_run.run_id
        if load is None or run_id in self._runs or run_id in self._ended:
            return
        ends_by = _ends_by(held_run.ask, at)
        run = Run(
            run_id,
            held_run.ask,
            at,
            ends_by,
            is_prefilling=False,
            is_adopted=True,
        )
        self._add_run(load, run)
        self._track(load, run, at, is_counted=False)

    def held_runs(self) -> tuple[HeldRun, ...]:
        """Return the runs that are counted here."""
        return tuple(
            HeldRun(run.run_id, load.name, run.permit_request)
            for load in self._servers.values()
            for run in load.runs.values()
        )

    def mark_prefilled(self, run_id: str, at: float) -> None:
        """Record that the prompt of a run has been prefilled and its answer begins."""
        load = self._runs.get(run_id)
        if load is not None:
            load.is_unproven = False
            load.mark_prefilled(run_id)
            self._isolated.discard(run_id)
            self.crash_detector.record_first_event(load.runs[run_id], at)

    def record_load(self, run_id: str, reported: ReportedLoad, at: float) -> None:
        """Record what the server of a run reported in its answer at a time."""
        load = self._runs.get(run_id)
        if load is not None:
            load.learning.record_report(reported, at)
            if reported.percent is not None:
                self.token_memory.record_report(load.services)

    def end(self, run_id: str, report: RunReport, at: float) -> None:
        """Remove a run and update the statistics from its outcome."""
        self.rollouts.end(run_id, report, at)
        self.token_memory.release(run_id)
        set_newest(self._ended, run_id, None, MAX_ENDED_RUNS)
        load = self._runs.pop(run_id, None)
        run = load.end(run_id, at) if load is not None else None
        if run is None:
            return
        self._record_end(run, at)
        if report.outcome in NOT_SENT and not run.is_adopted:
            self.pacing.refund(load.instance, at)
        load.record_result(run, report, at)
        self._report_change(load, load.learn(run, report, at))
        if report.outcome in SERVER_LOST:
            self.starts.record_loss(load.instance, at, at)
        doubted_since = self._doubted_since(load, at)
        self.crash_detector.record_end(load, run, report, at, doubted_since)
        if report.outcome is RunOutcome.COMPLETED:
            self._update_mean(run.permit_request, at - run.started_at)

    def expire_runs(self, at: float) -> None:
        """Remove runs past their timeout whose end was not reported."""
        self.crash_detector.clear_survivors(at)
        self.rollouts.expire(at)
        for load in self._servers.values():
            self._report_change(load, load.learning.review(load.slots, at))
            for run in list(load.runs.values()):
                if run.ends_by <= at:
                    load.end(run.run_id, at)
                    self._runs.pop(run.run_id, None)
                    self._record_end(run, at)

    def _add_run(self, load: ServerLoad, run: Run) -> None:
        load.begin(run)
        self._isolated.add(run, load)
        self._runs[run.run_id] = load
        permit_request = run.permit_request
        self._reserve(permit_request.service).add(
            permit_request.rank, 1, run.started_at
        )

    def _speeds_of(self, record: ServerRecord) -> EngineSpeeds:
        """Return the speeds of the service that a server offers first."""
        offers = record.announcement.offers
        service = offers[0].service if offers else ""
        return self._speeds.setdefault(service, EngineSpeeds())

    def _record_end(self, run: Run, at: float) -> None:
        self._isolated.discard(run.run_id)
        permit_request = run.permit_request
        self._reserve(permit_request.service).add(permit_request.rank, -1, at)

    def _reserve(self, service: str) -> SlotReserve:
        return self._reserves.setdefault(service, SlotReserve())

    def _servers_of(
        self, service: str, version: str | None = None
    ) -> Sequence[ServerLoad]:
        servers = self._by_service.get(service, ())
        if version is None:
            return servers
        return [
            load
            for load in servers
            if load.record.announcement.offers_service(service, version)
        ]

    def _usable(self, service: str, version: str | None = None) -> Sequence[ServerLoad]:
        """Return the servers that the service's rollout lets requests begin on.

        With a version, they are those on which its streams may be continued.
        """
        permission = self.rollouts.permission(service)
        if permission is None:
            return self._servers_of(service, version)
        if version is None:
            old, new = self._usable_by_version(service, permission)
            return [*old, *new]
        return [
            load
            for load in self._servers_of(service, version)
            if permission.allows(load.name, version, continues=True)
        ]

    def _usable_by_version(
        self, service: str, permission: Permission
    ) -> tuple[Sequence[ServerLoad], Sequence[ServerLoad]]:
        """Return the old servers and the new ones that new requests may begin on."""
        known = self._by_version.get(service)
        if known is None or known.permission_key != permission.key:
            known = self._by_version[service] = self._split_by_version(
                service, permission
            )
        return (
            known.old if permission.old else (),
            known.new if permission.new_begins else (),
        )

    def _split_by_version(self, service: str, permission: Permission) -> VersionSplit:
        old, new = [], []
        for load in self._servers_of(service):
            version = load.version_of(service)
            if version == permission.to:
                new.append(load)
            elif not permission.excludes(load.name, version):
                old.append(load)
        return VersionSplit(permission.key, tuple(old), tuple(new))

    def _lasting(self, service: str) -> Sequence[ServerLoad]:
        """Return the usable servers whose slots count as the service's capacity.

        The few requests that may begin on a version on trial are none to rely on.
        """
        permission = self.rollouts.permission(service)
        if permission is None or not permission.prefers_new:
            return self._usable(service)
        return self._usable_by_version(service, permission)[0]

    def _candidates(self, permit_request: PermitRequest) -> Sequence[ServerLoad]:
        """Return the servers that a request may run on."""
        return self._usable(permit_request.service, permit_request.version)

    def _eligible(
        self, permit_request: PermitRequest, at: float
    ) -> Sequence[ServerLoad]:
        """Return the servers that a request may be placed on now, free or not.

        A stream doesn't go on at a server that may have started again.
        """
        self.rollouts.permission(permit_request.service, at)
        avoid = permit_request.avoid
        return [
            load
            for load in self._candidates(permit_request)
            if load.name not in avoid
            and (permit_request.version is None or self._is_start_certain(load, at))
        ]

    def _is_start_certain(self, load: ServerLoad, at: float) -> bool:
        return self.starts.is_certain(load.instance, at)

    def _free(self, load: ServerLoad, at: float) -> int:
        free = max(load.free(at, self.share), 0)
        if free and self.pacing.is_limited(load.instance):
            return int(min(free, max(self.pacing.allowed(load.instance, at), 0)))
        return free

    def _free_for(self, load: ServerLoad, service: str, at: float) -> int:
        """Return the free slots of a server that requests of a service can fill."""
        return self.token_memory.bounded_free(load, service, self._free(load, at))

    def _report_change(self, load: ServerLoad, change: LimitChange | None) -> None:
        if change is not None:
            self.on_limit_change(load, change)

    def _limited(self, service: str) -> Sequence[ServerLoad]:
        if self.pacing.limits.is_empty:
            return ()
        return [
            load
            for load in self._usable(service)
            if self.pacing.is_limited(load.instance)
        ]

    def _limit_per_s(self, load: ServerLoad) -> float | None:
        per_s = self.pacing.limits.per_s(load.instance)
        return None if per_s == UNLIMITED else per_s

    def _remove_server(self, name: str, at: float) -> None:
        """Remove a server and its runs."""
        removed = self._servers.pop(name)
        self.crash_detector.forget(removed)
        self.token_memory.forget(removed)
        for run in removed.runs.values():
            run.is_running = False
            self._runs.pop(run.run_id, None)
            self._record_end(run, at)

    def _record_ended(self, load: ServerLoad, at: float) -> None:
        """Record that a server has ended without a notice."""
        doubted_since = self._doubted_since(load, at)
        self.crash_detector.record_removed(load, at, doubted_since)

    def _doubted_since(self, load: ServerLoad, at: float) -> float:
        doubt = self.starts.doubt(load.instance, at)
        return math.inf if doubt is None else doubt.since

    def _carry_limit_over(self, known: ServerLoad, load: ServerLoad, at: float) -> None:
        """Keep a limit that the server may have named after it started again."""
        doubt = self.starts.doubt(known.instance, at)
        if doubt is not None:
            limits = self.pacing.limits
            limits.carry_over(known.instance, load.instance, doubt.since)

    def _update_mean(self, permit_request: PermitRequest, run_s: float) -> None:
        service = permit_request.service
        known = self._mean_run_s.get(service)
        sample = max(run_s, MIN_RUN_S)
        self._reserve(service).record_run(permit_request.rank, sample)
        self._mean_run_s[service] = moving_average(known, sample, LEARNING_RATE)


def _ends_by(permit_request: PermitRequest, at: float) -> float:
    return at + permit_request.timeout_s + RUN_GRACE_S


def _tracked(load: ServerLoad, run: Run, is_counted: bool) -> TrackedRun:
    """Return a run as its service's rollout counts it."""
    permit_request = run.permit_request
    return TrackedRun(
        run.run_id,
        permit_request.service,
        permit_request.route,
        load.name,
        load.version_of(permit_request.service),
        run.ends_by,
        load.prefill_tokens if permit_request.size.prompt_tokens else 0,
        is_counted,
    )


def _allows_too_slow(
    request: PlaceRequest, servers: Iterable[ServerLoad], at: float, waited_s: float
) -> bool:
    """Return whether a request may go where it is not expected to end in time.

    It may if it can't wait any longer and no server, free or not, is fast enough. One
    that could not be reached lately is not waited for.
    """
    if waited_s < STALL_AVOIDANCE_SHARE * request.in_time_s:
        return False
    remaining_s = request.ask.timeout_s - waited_s
    return not any(
        load.can_complete(request.ask, remaining_s, at)
        for load in servers
        if at >= load.backoff_until
    )
