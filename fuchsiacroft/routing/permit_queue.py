"""Queues permit requests and grants permits for owned backend servers."""

import asyncio
import itertools
from collections.abc import Callable

from expression import Error, Ok, Result

from fuchsiacroft.config.settings import Policies
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership import request_pacing
from fuchsiacroft.membership.backend_servers import BackendDirectory, BackendServer
from fuchsiacroft.membership.server_starts import ServerStarts
from fuchsiacroft.quarantine.evidence import Treatment
from fuchsiacroft.quarantine.service import Quarantine
from fuchsiacroft.routing import health, isolation, policies
from fuchsiacroft.routing.estimates import RunEstimates
from fuchsiacroft.routing.owned_server import OwnedServer, Run
from fuchsiacroft.routing.owners import Owners
from fuchsiacroft.routing.permit_issuer import PermitIssuer
from fuchsiacroft.routing.permits import (
    ANSWERED,
    SERVER_LOST,
    Permit,
    PermitRequest,
    Refusal,
    RefusalReason,
    RunOutcome,
    RunReport,
)
from fuchsiacroft.routing.policies import PolicySet
from fuchsiacroft.routing.server_probe import ServerProbe
from fuchsiacroft.routing.service_queue import ServiceQueue
from fuchsiacroft.routing.service_queues import ServiceQueues
from fuchsiacroft.routing.shedder import Shedder
from fuchsiacroft.routing.waiting_queue import LAST_ATTEMPT, Waiter
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.tasks import BackgroundTasks

SWEEP_PERIOD_S = 0.5
QUARANTINED = Error(Refusal(RefusalReason.QUARANTINED, 0.0))
MIN_WAKE_UP_DELAY_S = 0.01
MIN_WAIT_SHARE = 0.1
"""Share of its timeout that a request may wait even if it may miss its deadline."""
MAX_EJECTED_SHARE = 0.34
STARTUP_S = 8.0
"""Servers first seen this soon after the start of the entry are not ramped up."""


class PermitQueue(Service):
    """Queues permit requests by service and grants permits as capacity frees up."""

    name = "permit_queue"

    def __init__(
        self,
        node: str,
        policies: PolicySet,
        owners: Owners,
        probe: ServerProbe | None = None,
    ) -> None:
        self._policies = policies
        self._owners = owners
        self._owned: dict[str, OwnedServer] = {}
        self._queues = ServiceQueues(policies.queue)
        self._joined_at: dict[str, float] = {}
        self._issuer = PermitIssuer(node, policies)
        self._shedder = Shedder(policies)
        self._sequence = itertools.count()
        self._tasks = BackgroundTasks("permit_queue")
        self._quarantine: Quarantine | None = None
        self._probe = probe
        self._probed: set[str] = set()
        self.pacing = request_pacing.create()
        self._starts = ServerStarts()
        self.pacing.share_of = owners.share
        self.peer_server_counts: Callable[[str], tuple[int, int]] = lambda service: (
            0,
            0,
        )

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to the directory of backend servers and start the sweep."""
        self._started_at = now()
        self._quarantine = kernel.find("quarantine", Quarantine)
        directory = kernel.get("backend_servers", BackendDirectory)
        directory.listeners.removed.append(self._on_removed)
        self._tasks.spawn_repeated(self._sweep, "permit-queue-sweep")

    async def stop(self) -> None:
        """Stop the sweep."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the owned backend servers, the queues and the measured speeds."""
        limits = self.pacing.limits.dump()
        return {
            "owned": {
                name: {
                    "running": sorted(owned.running),
                    "room": owned.available_capacity(0),
                    "limit": owned.limit.allowed(),
                    "load": round(owned.load, 2),
                    "slow": owned.health.is_ejected,
                    "slowness": round(owned.health.slowness, 2),
                    "limit_per_s": limits.get(name),
                }
                for name, owned in self._owned.items()
            },
            "lines": {
                name: service_queue.dump()
                for name, service_queue in self._queues.by_service().items()
            },
            "speeds": self._policies.estimates.dump(),
            "prefixes": len(self._policies.prefixes),
        }

    def set_preemption_callback(
        self, on_preempted: Callable[[Permit, float], None]
    ) -> None:
        """Set the callback for each preempted permit and its retry delay."""
        self._shedder.on_preempted = on_preempted

    def record_announcement(self, server: BackendServer) -> None:
        """Record an announcement of a backend server, owned or not."""
        if server.boot_id not in self._joined_at:
            self._joined_at[server.boot_id] = now()
        self._policies.prefixes.record_events(
            server.name, server.announcement.cache_events
        )

    def add_server(self, server: BackendServer) -> None:
        """Add an owned backend server, or update its announcement."""
        owned = self._owned.get(server.name)
        if owned is None or owned.server.boot_id != server.boot_id:
            self.remove_server(server.name)
            owned = self._owned[server.name] = self._new_owned_server(server)
            self.pacing.restart_server(owned.instance, now())
        else:
            owned.server = server
        self._queues.add_server(owned)
        for service_queue in self._queues.of_server(owned):
            self._grant_waiting(service_queue)

    def remove_server(self, name: str) -> None:
        """Stop granting permits for a backend server."""
        if self._owned.pop(name, None) is not None:
            self._queues.remove_server(name)

    def serves(self, service: str) -> bool:
        """Return whether an owned backend server offers the service."""
        return self._queues.serves(service)

    def service_queues(self) -> dict[str, ServiceQueue]:
        """Return the queues of the requests that any server may run, by service."""
        return self._queues.by_service()

    def try_acquire(self, request: PermitRequest) -> Permit | None:
        """Return a permit if there is capacity and no waiter goes first."""
        service_queue = self._queues.of_request(request)
        head = service_queue.waiting.head()
        if head is not None and head.request.rank <= request.rank:
            return None
        if self._treatment(request) is not Treatment.UNRESTRICTED:
            return None
        owned = self._choose_server(request, service_queue)
        if owned is None:
            return None
        service_queue.wait_estimates.record_start(request.rank)
        return self._issuer.issue(request, owned)

    async def acquire(
        self, request: PermitRequest, position: int = 0
    ) -> Result[Permit, Refusal]:
        """Wait for a permit until the request times out."""
        service_queue = self._queues.of_request(request)
        waiter = self._new_waiter(request, position, service_queue)
        match self._treatment(request):
            case Treatment.REFUSED:
                return QUARANTINED
            case Treatment.ISOLATED:
                self._isolate(waiter, service_queue)
            case _:
                refusal = self._enqueue(waiter, service_queue)
                if refusal is not None:
                    return Error(refusal)
        if waiter.is_isolated or service_queue.waiting.head() is waiter:
            self._grant_waiting(service_queue)
        try:
            async with asyncio.timeout_at(waiter.deadline):
                return await waiter.fut
        except TimeoutError:
            self._return_unused_permit(waiter)
            return Error(
                self._shedder.refusal(RefusalReason.TIMED_OUT, request, service_queue)
            )
        except asyncio.CancelledError:
            self._return_unused_permit(waiter)
            raise
        finally:
            service_queue.remove(waiter)
            self._release_reservation(waiter, service_queue)

    def release(self, permit: Permit, report: RunReport) -> None:
        """Return a permit with the report of its run."""
        self._shedder.record_end(permit, self._queues.all())
        owned = self._owned.get(permit.backend_server)
        if owned is None or owned.server.boot_id != permit.boot_id:
            return
        run = owned.remove(permit.permit_id)
        if run is None:
            return
        if report.outcome is RunOutcome.COMPLETED and self._quarantine is not None:
            self._quarantine.record_answer(permit.request.content_ids)
        self._issuer.record_run(owned, run, report)
        if report.outcome in SERVER_LOST:
            self._starts.record_loss(owned.instance, now(), now())
        elif report.outcome in ANSWERED:
            self._record_progress(owned, run)
        if report.outcome is RunOutcome.CONNECTION_LOST:
            self._start_probe(owned)
        for service_queue in self._queues.of_server(owned):
            self._grant_waiting(service_queue, owned)

    def record_first_token(self, permit: Permit) -> None:
        """Record the end of a run's prefill, so that the next one may start."""
        owned = self._owned.get(permit.backend_server)
        if owned is None:
            return
        owned.record_first_token(permit.permit_id)
        self._record_progress(owned, owned.running.get(permit.permit_id))
        if owned.end_prefill(permit.permit_id):
            for service_queue in self._queues.of_server(owned):
                self._grant_waiting(service_queue, owned)

    def _record_progress(self, owned: OwnedServer, run: Run | None) -> None:
        if run is not None:
            self._starts.record_progress(owned.instance, run.started_at, now())

    def adopt(self, permit: Permit) -> bool:
        """Adopt a run that continues under a permit of an earlier owner."""
        owned = self._owned.get(permit.backend_server)
        if owned is None or owned.server.boot_id != permit.boot_id:
            return False
        if permit.permit_id not in owned.running:
            owned.add(self._issuer.new_run(permit, owned))
        return True

    def record_grant_elsewhere(self, request: PermitRequest) -> None:
        """Count a start in the wait estimates when another owner granted a permit."""
        service_queue = self._queues.of_request(request)
        service_queue.wait_estimates.record_start(request.rank)

    def record_remote_run(
        self, request: PermitRequest, generation: str, report: RunReport
    ) -> None:
        """Record the speed of a run of this entry on another owner's server."""
        self._policies.estimates.record_run(request, generation, 0, report)

    def prefix_gain_s(
        self, request: PermitRequest, backend_server: str, generation: str
    ) -> float:
        """Return the seconds of prefill that the server's cache is likely to save."""
        cached = self._policies.prefixes.cached_tokens(request, backend_server)
        speed = self._policies.estimates.speed(request.service, generation)
        return cached / speed.prefill_tokens_per_s.value

    @property
    def estimates(self) -> RunEstimates:
        """Return the measured speeds."""
        return self._policies.estimates

    def record_dispatch(self, request: PermitRequest, backend_server: str) -> None:
        """Record the backend server to which a request was dispatched."""
        self._policies.prefixes.record_run(request, backend_server)

    def refusal(self, reason: RefusalReason, request: PermitRequest) -> Refusal:
        """Return a refusal with its retry delay."""
        return self._shedder.refusal(reason, request, self._queues.of_request(request))

    def _treatment(self, request: PermitRequest) -> Treatment:
        if self._quarantine is None or self._quarantine.evidence.is_empty:
            return Treatment.UNRESTRICTED
        return self._quarantine.treatment(request.content_ids)

    def _suspected_content(self, request: PermitRequest) -> frozenset[str]:
        if self._quarantine is None:
            return frozenset()
        return self._quarantine.evidence.suspected(request.content_ids, now())

    def _new_owned_server(self, server: BackendServer) -> OwnedServer:
        joined_at = self._joined_at.get(server.boot_id, now())
        services = tuple(offer.service for offer in server.announcement.offers)
        is_new = joined_at > self._started_at + STARTUP_S
        return OwnedServer(
            server=server,
            limit=self._policies.limit(
                server.announcement, joined_at if is_new else None
            ),
            health=self._policies.health(lambda: self._may_eject(services)),
            reserve=self._policies.reserve(),
            pacing=self.pacing,
        )

    def _may_eject(self, services: tuple[str, ...]) -> bool:
        """Return whether the other servers of the domain can carry the services."""
        for service in services:
            service_queue = self._queues.of_service(service)
            servers, slow = self.peer_server_counts(service)
            servers += len(service_queue.servers)
            slow += sum(
                owned.health.is_ejected for owned in service_queue.servers.values()
            )
            if servers < 2 or slow + 1 > max(1, MAX_EJECTED_SHARE * servers):
                return False
        return True

    def _new_waiter(
        self, request: PermitRequest, position: int, service_queue: ServiceQueue
    ) -> Waiter:
        estimates = self._policies.estimates
        run_s = estimates.run_s(request)
        longest_s = service_queue.slowest_run_s(request, estimates) * estimates.overrun(
            request.service
        )
        arrived_at = now()
        deadline = arrived_at + request.timeout_s
        earliest = arrived_at + MIN_WAIT_SHARE * request.timeout_s
        return Waiter(
            request=request,
            sequence=next(self._sequence),
            arrived_at=arrived_at,
            deadline=deadline,
            run_s=run_s,
            latest_start=max(deadline - longest_s, earliest),
            fut=asyncio.get_running_loop().create_future(),
            position=position,
        )

    def _enqueue(self, waiter: Waiter, service_queue: ServiceQueue) -> Refusal | None:
        if not self._shedder.may_wait(waiter, service_queue):
            return self._shedder.refuse_new(waiter.request, service_queue)
        service_queue.waiting.add(waiter)
        if waiter.position == LAST_ATTEMPT:
            self._grant_waiting(service_queue)
        self._shedder.schedule_timers(waiter, service_queue)
        return None

    def _grant_waiting(
        self, service_queue: ServiceQueue, freed_server: OwnedServer | None = None
    ) -> None:
        """Grant permits while there is capacity.

        `freed_server` is the backend server that freed some; if it is known, no
        other is considered.
        """
        self._grant_isolated(service_queue)
        while True:
            waiter = service_queue.waiting.head()
            if waiter is None:
                return
            if waiter.is_settled:
                service_queue.waiting.remove(waiter)
                continue
            if self._restrict(waiter, service_queue):
                continue
            owned = self._choose_server(waiter.request, service_queue, freed_server)
            if owned is None:
                self._schedule_wake_up(service_queue)
                return
            self._grant(waiter, service_queue, owned)

    def _grant(
        self, waiter: Waiter, service_queue: ServiceQueue, owned: OwnedServer
    ) -> None:
        service_queue.waiting.remove(waiter)
        service_queue.waiting.record_start(waiter)
        service_queue.wait_estimates.record_start(waiter.request.rank)
        waiter.fut.set_result(Ok(self._issuer.issue(waiter.request, owned)))

    def _schedule_wake_up(self, service_queue: ServiceQueue) -> None:
        capacity_at = service_queue.next_capacity_at()
        if capacity_at is None or service_queue.wake_up_timer is not None:
            return
        at = max(capacity_at, now() + MIN_WAKE_UP_DELAY_S)
        service_queue.wake_up_timer = asyncio.get_running_loop().call_at(
            at, self._wake_up, service_queue
        )

    def _wake_up(self, service_queue: ServiceQueue) -> None:
        service_queue.wake_up_timer = None
        self._grant_waiting(service_queue)

    def _grant_isolated(self, service_queue: ServiceQueue) -> None:
        for waiter in list(service_queue.isolated_waiters):
            if waiter.is_settled or not service_queue.servers:
                continue
            if self._treatment(waiter.request) is Treatment.REFUSED:
                waiter.fut.set_result(QUARANTINED)
                continue
            suspected = self._suspected_content(waiter.request)
            if isolation.has_run_with(suspected, service_queue):
                continue
            if self._quarantine is not None and self._quarantine.is_tried(suspected):
                continue
            owned = isolation.reserve_idle_server(waiter, service_queue)
            if owned is None or not self._may_go_on(waiter.request, owned):
                continue
            owned.reserved_for = None
            if self._quarantine is not None:
                self._quarantine.begin_trial(suspected)
            service_queue.isolated_waiters.remove(waiter)
            permit = self._issuer.issue(waiter.request, owned)
            owned.running[permit.permit_id].is_isolated = True
            owned.has_isolated_run = True
            waiter.fut.set_result(Ok(permit))

    def _isolate(self, waiter: Waiter, service_queue: ServiceQueue) -> None:
        service_queue.isolated_waiters.append(waiter)
        waiter.is_isolated = True

    def _restrict(self, waiter: Waiter, service_queue: ServiceQueue) -> bool:
        """Refuse or isolate a waiter whose content became suspected since it came."""
        treatment = self._treatment(waiter.request)
        if treatment is Treatment.UNRESTRICTED:
            return False
        service_queue.waiting.remove(waiter)
        if treatment is Treatment.REFUSED:
            waiter.fut.set_result(QUARANTINED)
        else:
            self._isolate(waiter, service_queue)
        return True

    def _release_reservation(self, waiter: Waiter, service_queue: ServiceQueue) -> None:
        if waiter.is_isolated:
            isolation.release_reservation(waiter, service_queue)
            self._grant_waiting(service_queue)

    def _choose_server(
        self,
        request: PermitRequest,
        service_queue: ServiceQueue,
        freed_server: OwnedServer | None = None,
    ) -> OwnedServer | None:
        if freed_server is not None:
            candidates = (
                [freed_server]
                if freed_server.available_capacity(request.rank) > 0
                else []
            )
        else:
            candidates = service_queue.available_servers(
                request.rank, self._policies.rng
            )
        candidates = [
            owned
            for owned in candidates
            if owned.name not in request.avoid
            and self._owners.is_ready(owned.name)
            and self._may_go_on(request, owned)
        ]
        return self._policies.route.choose(request, candidates) if candidates else None

    def _may_go_on(self, request: PermitRequest, owned: OwnedServer) -> bool:
        """Return whether a stream may go on at a server of its version."""
        if request.version is None:
            return True
        return self._starts.is_certain(owned.instance, now())

    def _return_unused_permit(self, waiter: Waiter) -> None:
        if not waiter.fut.done() or waiter.fut.cancelled():
            return
        match waiter.fut.result():
            case Result(tag="ok", ok=permit):
                self.release(permit, RunReport(RunOutcome.UNUSED))

    def _start_probe(self, owned: OwnedServer) -> None:
        """Find out whether a server that lost a run has crashed."""
        if self._probe is None or self._quarantine is None:
            return
        if owned.name not in self._probed:
            self._probed.add(owned.name)
            self._tasks.spawn(self._probe_server(owned), "permit-queue-probe")

    async def _probe_server(self, owned: OwnedServer) -> None:
        try:
            if await self._probe.has_ended(owned.server.announcement.address):
                self._record_crash(owned)
        finally:
            self._probed.discard(owned.name)

    def _record_crash(self, owned: OwnedServer) -> None:
        """Blame a crash of a server on its runs; a second call changes nothing."""
        if self._quarantine is not None:
            crash_id = f"{owned.name} {owned.server.boot_id}"
            self._quarantine.record_crash(crash_id, owned.suspects())

    def _on_removed(self, server: BackendServer) -> None:
        owned = self._owned.get(server.name)
        self._policies.prefixes.remove_server(server.name)
        self._joined_at.pop(server.boot_id, None)
        if owned is None:
            return
        if owned.server.boot_id == server.boot_id:
            self._record_crash(owned)
        self.remove_server(server.name)

    async def _sweep(self) -> None:
        await asyncio.sleep(SWEEP_PERIOD_S)
        for owned in list(self._owned.values()):
            owned.share = self._owners.share(owned.name)
            self._check_overdue(owned)
        for service_queue in self._queues.all():
            self._grant_waiting(service_queue)

    def _check_overdue(self, owned: OwnedServer) -> None:
        overdue = sum(
            health.is_overdue(run.elapsed_s(), run.expected_s)
            for run in owned.running.values()
            if not run.is_foreign
        )
        owned.health.record_overdue(overdue)


def create(
    node: str,
    chosen: Policies,
    owners: Owners,
    seed: int = 0,
    probe: ServerProbe | None = None,
) -> PermitQueue:
    """Create the permit queue of an entry; without a `probe`, crashes show later."""
    return PermitQueue(node, policies.create(chosen, seed), owners, probe)
