"""Exchanges evidence for directives with the control members, at an entry."""

import asyncio
from functools import partial

from expression import Result

from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.roster import Roster
from fuchsiacroft.placing.coordinator import Coordinator
from fuchsiacroft.placing.placer import Placer
from fuchsiacroft.rollouts.messages import Directives, Evidence
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import lease_now, now
from fuchsiacroft.utils.tasks import BackgroundTasks

ACTIVE_PERIOD_S = 0.25
IDLE_PERIOD_S = 1.0
TIMEOUT_S = 0.5
"""Several round trips within a region, and a quarter of a directive's lease."""
START_S = 3.0
"""An entry that has just started asks often for so long, until it has a reply."""
RETENTION_S = 5.0
"""An entry that no longer places requests reports its counts for so long."""


class RolloutFollower(Service):
    """Reports what this entry observes of rollouts, and keeps their directives.

    Only an entry that places requests does so. The others get the directives from
    their coordinator, so that they know them when they lose it.
    """

    name = "rollout_follower"

    def __init__(self, node: str) -> None:
        self._node = node
        self._tasks = BackgroundTasks("rollout_follower")
        self._exchanges: dict[str, asyncio.Task] = {}
        self._started_at = 0.0
        self._placed_at: float | None = None
        self._has_reply = False

    async def start(self, kernel: Kernel) -> None:
        """Start the exchange with each control member."""
        self._bus = kernel.get("bus", Bus)
        self._placer = kernel.get("placer", Placer)
        coordinator = kernel.get("coordinator", Coordinator)
        self._epoch = coordinator.epoch
        self._rollouts = coordinator.allocator.fleet.rollouts
        self._started_at = now()
        roster = kernel.get("roster", Roster)
        roster.on_control_members_change(self._update_exchanges)
        self._update_exchanges(roster.control_addresses)

    async def stop(self) -> None:
        """Stop the exchanges."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the rollouts that are known."""
        return self._rollouts.dump()

    def _update_exchanges(self, addresses: tuple[str, ...]) -> None:
        for removed in self._exchanges.keys() - set(addresses):
            self._exchanges.pop(removed).cancel()
        for address in addresses:
            if address not in self._exchanges:
                self._exchanges[address] = self._tasks.spawn_repeated(
                    partial(self._step, address), f"rollout-follower-{address}"
                )

    async def _step(self, address: str) -> None:
        """Exchange once with a control member, if it is due, and wait for a period."""
        started_at = now()
        if self._reports(started_at):
            await self._exchange(address)
        left_s = self._period_s(now()) - (now() - started_at)
        await asyncio.sleep(max(left_s, 0.0))

    async def _exchange(self, address: str) -> None:
        sent_at = lease_now()
        self._rollouts.set_clocks(now(), sent_at)
        evidence = Evidence(self._node, self._epoch, self._rollouts.evidence(now()))
        match await self._bus.request(address, evidence, TIMEOUT_S):
            case Result(tag="ok", ok=Directives(confirmed=True) as reply):
                self._has_reply = True
                self._rollouts.set_clocks(now(), lease_now())
                self._rollouts.apply(reply.directives, sent_at, now())

    def _reports(self, at: float) -> bool:
        """Return whether this entry places requests, or has done so lately."""
        if self._placer.places_requests() or self._rollouts.has_runs:
            self._placed_at = at
        return self._placed_at is not None and at - self._placed_at < RETENTION_S

    def _period_s(self, at: float) -> float:
        is_starting = not self._has_reply and at - self._started_at < START_S
        if is_starting or self._rollouts.is_active(at):
            return ACTIVE_PERIOD_S
        return IDLE_PERIOD_S


def create(node: str) -> RolloutFollower:
    """Return the follower of an entry."""
    return RolloutFollower(node)
