"""Hands out permits for the backend servers that this entry owns."""

import asyncio
import itertools
from collections.abc import Callable

from expression import Error, Ok, Result

from fuchsiacroft.config.settings import Policies
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.backend_servers import BackendDirectory, BackendServer
from fuchsiacroft.routing import health, isolation, policies
from fuchsiacroft.routing.estimates import Estimates
from fuchsiacroft.routing.grants import Grants
from fuchsiacroft.routing.line import Line
from fuchsiacroft.routing.order import LAST_TRY, Waiter
from fuchsiacroft.routing.owned import OwnedServer
from fuchsiacroft.routing.owners import Owners
from fuchsiacroft.routing.permits import (
    Permit,
    PermitRequest,
    Refusal,
    RefusalReason,
    RunOutcome,
    RunReport,
)
from fuchsiacroft.routing.policies import Decisions
from fuchsiacroft.routing.quarantine import Quarantine, Treatment
from fuchsiacroft.routing.shedder import Shedder
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.tasks import BackgroundTasks

SWEEP_PERIOD_S = 0.5
MIN_WAKE_S = 0.01
MIN_WAIT_SHARE = 0.1
SET_ASIDE_SHARE = 0.34
NEW_DESK_S = 8.0


class PermitQueue(Service):
    """Queues asks by service and grants permits as room comes free."""

    name = "desk"

    def __init__(self, node: str, decisions: Decisions, owners: Owners) -> None:
        self._decisions = decisions
        self._owners = owners
        self._owned: dict[str, OwnedServer] = {}
        self._lines: dict[str, Line] = {}
        self._joined: dict[str, float] = {}
        self._grants = Grants(node, decisions)
        self._shedder = Shedder(decisions)
        self._numbers = itertools.count()
        self._tasks = BackgroundTasks("desk")
        self._quarantine: Quarantine | None = None
        self.neighbours: Callable[[str], tuple[int, int]] = lambda service: (0, 0)

    async def start(self, kernel: Kernel) -> None:
        """Follow the directory of backend servers."""
        self._started_at = now()
        self._quarantine = kernel.find("quarantine", Quarantine)
        directory = kernel.get("backend_servers", BackendDirectory)
        directory.listeners.removed.append(self._on_gone)
        self._tasks.spawn_critical(self._sweep(), "desk-sweep")

    async def stop(self) -> None:
        """Stop looking after the runs."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the owned backend servers, the queues and the speeds."""
        return {
            "owned": {
                name: {
                    "running": sorted(owned.running),
                    "room": owned.room(0),
                    "limit": owned.limit.allowed(),
                    "load": round(owned.load, 2),
                    "slow": owned.health.is_slow,
                    "slowness": round(owned.health.slowness, 2),
                }
                for name, owned in self._owned.items()
            },
            "lines": {name: line.dump() for name, line in self._lines.items()},
            "speeds": self._decisions.estimates.dump(),
            "prefixes": len(self._decisions.prefixes),
        }

    def tell_cuts(self, on_cut: Callable[[Permit, float], None]) -> None:
        """Tell of each permit whose run must end, and when to retry."""
        self._shedder.on_cut = on_cut

    def note(self, server: BackendServer) -> None:
        """Note an announcement of a backend server, owned or not."""
        if server.boot_id not in self._joined:
            self._joined[server.boot_id] = now()
        self._decisions.prefixes.note_events(
            server.name, server.announcement.cache_events
        )

    def add_server(self, server: BackendServer) -> None:
        """Take a backend server over, or note its newest announcement."""
        owned = self._owned.get(server.name)
        if owned is None or owned.server.boot_id != server.boot_id:
            self.remove_server(server.name)
            owned = self._owned[server.name] = self._new_owned(server)
        else:
            owned.server = server
        for offer in server.announcement.offers:
            line = self._line(offer.service)
            line.servers[server.name] = owned
            self._serve(line)

    def remove_server(self, name: str) -> None:
        """Hand out no more permits for a backend server."""
        if self._owned.pop(name, None) is None:
            return
        for line in self._lines.values():
            line.servers.pop(name, None)

    def owns(self, service: str) -> bool:
        """Tell whether an owned backend server offers the service."""
        line = self._lines.get(service)
        return line is not None and bool(line.servers)

    def lines(self) -> dict[str, Line]:
        """Return the queues by service."""
        return self._lines

    def try_acquire(self, ask: PermitRequest) -> Permit | None:
        """Return a permit if there is room and nobody goes before the ask."""
        line = self._line(ask.service)
        head = line.queue.head()
        if head is not None and head.ask.rank <= ask.rank:
            return None
        if self._treatment(ask) is not Treatment.FREE:
            return None
        owned = self._choose(ask, line)
        if owned is None:
            return None
        line.waits.note_start(ask.rank)
        return self._grants.grant(ask, owned)

    async def acquire(
        self, ask: PermitRequest, position: int = 0
    ) -> Result[Permit, Refusal]:
        """Wait for a permit until the ask's timeout."""
        line = self._line(ask.service)
        waiter = self._waiter(ask, position, line)
        match self._treatment(ask):
            case Treatment.REFUSED:
                return Error(Refusal(RefusalReason.QUARANTINED, 0.0))
            case Treatment.ALONE:
                line.alone.append(waiter)
                waiter.alone = True
            case _:
                refusal = self._enqueue(waiter, line)
                if refusal is not None:
                    return Error(refusal)
        if waiter.alone or line.queue.head() is waiter:
            self._serve(line)
        try:
            async with asyncio.timeout_at(waiter.deadline):
                return await waiter.fut
        except TimeoutError:
            self._give_back(waiter)
            return Error(self._shedder.refusal(RefusalReason.TIMED_OUT, ask, line))
        except asyncio.CancelledError:
            self._give_back(waiter)
            raise
        finally:
            line.leave(waiter)
            self._free_held(waiter, line)

    def release(self, permit: Permit, report: RunReport) -> None:
        """Take a permit back with what was seen of its run."""
        self._shedder.forget_cut(permit, self._lines.get(permit.request.service))
        owned = self._owned.get(permit.backend_server)
        if owned is None or owned.server.boot_id != permit.boot_id:
            return
        run = owned.remove(permit.permit_id)
        if run is None:
            return
        if report.outcome is RunOutcome.COMPLETED and self._quarantine is not None:
            self._quarantine.clear(permit.request.fingerprint)
        self._grants.learn(owned, run, report)
        for offer in owned.server.announcement.offers:
            self._serve(self._line(offer.service), owned)

    def record_first_token(self, permit: Permit) -> None:
        """Note that a run's prefill is over, so that the next may begin."""
        owned = self._owned.get(permit.backend_server)
        if owned is not None and owned.end_prefill(permit.permit_id):
            self._serve(self._line(permit.request.service), owned)

    def adopt(self, permit: Permit) -> bool:
        """Take over a run that goes on under an earlier owner's permit."""
        owned = self._owned.get(permit.backend_server)
        if owned is None or owned.server.boot_id != permit.boot_id:
            return False
        if permit.permit_id not in owned.running:
            owned.add(self._grants.run(permit, owned))
        return True

    def note_served_elsewhere(self, ask: PermitRequest) -> None:
        """Count a waiter that another owner served as one that left."""
        self._line(ask.service).waits.note_start(ask.rank)

    def learn_elsewhere(
        self, ask: PermitRequest, generation: str, report: RunReport
    ) -> None:
        """Learn a speed from an own run on another owner's backend server."""
        self._decisions.estimates.note(ask, generation, 0, report)

    def prefix_gain_s(
        self, ask: PermitRequest, backend_server: str, generation: str
    ) -> float:
        """Return the seconds of prefill that its cache is likely to save."""
        cached = self._decisions.prefixes.cached_tokens(ask, backend_server)
        speed = self._decisions.estimates.speed(ask.service, generation)
        return cached / speed.prefill_tokens_per_s.value

    @property
    def estimates(self) -> Estimates:
        """Return the measured speeds."""
        return self._decisions.estimates

    def note_run_elsewhere(self, ask: PermitRequest, backend_server: str) -> None:
        """Note where a run was dispatched under another owner's permit."""
        self._decisions.prefixes.note_run(ask, backend_server)

    def refusal(self, reason: RefusalReason, ask: PermitRequest) -> Refusal:
        """Return a refusal with the time to retry after."""
        return self._shedder.refusal(reason, ask, self._line(ask.service))

    def _line(self, service: str) -> Line:
        line = self._lines.get(service)
        if line is None:
            line = self._lines[service] = Line(service, self._decisions.queue())
        return line

    def _treatment(self, ask: PermitRequest) -> Treatment:
        if self._quarantine is None or not ask.fingerprint:
            return Treatment.FREE
        return self._quarantine.treatment(ask.fingerprint)

    def _new_owned(self, server: BackendServer) -> OwnedServer:
        joined_at = self._joined.get(server.boot_id, now())
        services = tuple(offer.service for offer in server.announcement.offers)
        is_new = joined_at > self._started_at + NEW_DESK_S
        return OwnedServer(
            server=server,
            limit=self._decisions.limit(
                server.announcement, joined_at if is_new else None
            ),
            health=self._decisions.health(lambda: self._may_set_aside(services)),
            reserve=self._decisions.reserve(),
        )

    def _may_set_aside(self, services: tuple[str, ...]) -> bool:
        """Tell whether the rest of the domain can carry the services."""
        for service in services:
            line = self._line(service)
            servers, slow = self.neighbours(service)
            servers += len(line.servers)
            slow += sum(owned.health.is_slow for owned in line.servers.values())
            if servers < 2 or slow + 1 > max(1, SET_ASIDE_SHARE * servers):
                return False
        return True

    def _waiter(self, ask: PermitRequest, position: int, line: Line) -> Waiter:
        estimates = self._decisions.estimates
        run_s = estimates.run_s(ask)
        longest_s = line.slowest_run_s(ask, estimates) * estimates.overrun(ask.service)
        arrived_at = now()
        deadline = arrived_at + ask.timeout_s
        earliest = arrived_at + MIN_WAIT_SHARE * ask.timeout_s
        return Waiter(
            ask=ask,
            number=next(self._numbers),
            arrived_at=arrived_at,
            deadline=deadline,
            run_s=run_s,
            latest_start=max(deadline - longest_s, earliest),
            fut=asyncio.get_running_loop().create_future(),
            position=position,
        )

    def _enqueue(self, waiter: Waiter, line: Line) -> Refusal | None:
        if not self._shedder.may_wait(waiter, line):
            return self._shedder.refuse_new(waiter.ask, line)
        line.queue.add(waiter)
        if waiter.position == LAST_TRY:
            self._serve(line)
        self._shedder.watch(waiter, line)
        return None

    def _serve(self, line: Line, only: OwnedServer | None = None) -> None:
        """Start waiters while there is room; `only` says where it came free."""
        self._serve_alone(line)
        while True:
            waiter = line.queue.head()
            if waiter is None:
                return
            if waiter.is_settled:
                line.queue.remove(waiter)
                continue
            owned = self._choose(waiter.ask, line, only)
            if owned is None:
                self._wake_later(line)
                return
            self._start(waiter, line, owned)

    def _start(self, waiter: Waiter, line: Line, owned: OwnedServer) -> None:
        line.queue.remove(waiter)
        line.queue.started(waiter)
        line.waits.note_start(waiter.ask.rank)
        waiter.fut.set_result(Ok(self._grants.grant(waiter.ask, owned)))

    def _wake_later(self, line: Line) -> None:
        end = line.next_prefill_end()
        if end is None or line.wake is not None:
            return
        at = max(end, now() + MIN_WAKE_S)
        line.wake = asyncio.get_running_loop().call_at(at, self._wake, line)

    def _wake(self, line: Line) -> None:
        line.wake = None
        self._serve(line)

    def _serve_alone(self, line: Line) -> None:
        for waiter in list(line.alone):
            if waiter.is_settled or not line.servers:
                continue
            owned = isolation.hold_idle(waiter, line)
            if owned is None:
                continue
            owned.held_for = None
            line.alone.remove(waiter)
            permit = self._grants.grant(waiter.ask, owned)
            owned.running[permit.permit_id].alone = True
            owned.runs_alone = True
            waiter.fut.set_result(Ok(permit))

    def _free_held(self, waiter: Waiter, line: Line) -> None:
        if waiter.alone:
            isolation.let_go(waiter, line)
            self._serve(line)

    def _choose(
        self, ask: PermitRequest, line: Line, only: OwnedServer | None = None
    ) -> OwnedServer | None:
        if only is not None:
            roomy = [only] if only.room(ask.rank) > 0 else []
        else:
            roomy = line.roomy(ask.rank, self._decisions.rng)
        roomy = [
            owned
            for owned in roomy
            if owned.name not in ask.avoid and self._owners.is_ready(owned.name)
        ]
        return self._decisions.route.choose(ask, roomy) if roomy else None

    def _give_back(self, waiter: Waiter) -> None:
        if not waiter.fut.done() or waiter.fut.cancelled():
            return
        match waiter.fut.result():
            case Result(tag="ok", ok=permit):
                self.release(permit, RunReport(RunOutcome.UNUSED))

    def _on_gone(self, server: BackendServer) -> None:
        owned = self._owned.get(server.name)
        self._decisions.prefixes.forget(server.name)
        self._joined.pop(server.boot_id, None)
        if owned is None:
            return
        if self._quarantine is not None and owned.server.boot_id == server.boot_id:
            death = f"{server.name} {server.boot_id}"
            self._quarantine.blame(death, owned.suspects())
        self.remove_server(server.name)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            for owned in list(self._owned.values()):
                owned.share = self._owners.share(owned.name)
                self._look_for_overdue(owned)
            for line in self._lines.values():
                self._serve(line)

    def _look_for_overdue(self, owned: OwnedServer) -> None:
        overdue = sum(
            health.is_overdue(run.spent_s(), run.expected_s)
            for run in owned.running.values()
            if not run.is_foreign
        )
        owned.health.note_overdue(overdue)


def create(node: str, chosen: Policies, owners: Owners, seed: int = 0) -> PermitQueue:
    """Return the desk of an entry."""
    return PermitQueue(node, policies.create(chosen, seed), owners)
