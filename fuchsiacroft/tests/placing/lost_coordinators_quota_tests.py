"""Tests of quotas while the coordinators that count them are killed and come back."""

import asyncio
import random

from fuchsiacroft.config.route_table import (
    CallerLimits,
    Quota,
    Workspace,
    create_route_table,
)
from fuchsiacroft.placing.limits import SharedLimits
from fuchsiacroft.placing.placer import WaitLimits
from fuchsiacroft.placing.quotas import QuotaTolerance
from fuchsiacroft.routing.permits import PermitRequest, RunOutcome, RunReport
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.memory_region import DOMAINS, Entry, MemoryRegion
from fuchsiacroft.tests.fakes.region_traffic import RegionTraffic
from fuchsiacroft.tests.fakes.windows import most_in_window
from fuchsiacroft.utils.clock import now

DONE = RunReport(RunOutcome.COMPLETED, duration_s=0.02)
QUOTA = Quota(units_per_s=8.0, burst=8.0)
TOLERANCE = QuotaTolerance(window_s=8.0, overshoot=0.1, slack=6.0)
ALLOWED = (8.0 * 8.0 + 8.0) * 1.1 + 6.0
MIN_SERVED_SHARE = 0.5
"""Least part of the quota that is served beside the kills."""
SEND_PERIOD_S = 1 / 60
RUN_S = 0.02
PLAY_S = 24.0
KILL_PERIOD_RANGE_S = (1.5, 3.5)
SEEDS = 2


class LostCoordinatorsQuotaTests(PausedTestCase):
    """A workspace asks for far more than its quota, at entries that are killed."""

    def play(
        self,
        seed: int,
        domains: tuple[str, ...],
        down_s: float,
        kill_period_range_s: tuple[float, float],
        *,
        kills_all: bool,
    ) -> list[float]:
        """Kill entries again and again; return when admitted requests were sent."""
        admitted: list[float] = []
        rng = random.Random(seed)
        workspaces = [(Workspace("tills", quota=QUOTA), ())]
        table = create_route_table(1, (), (), workspaces, CallerLimits())

        async def send(entry: Entry, number: int) -> None:
            request = PermitRequest(f"r-{number}", "lens", 0, 1.0, "tills")
            sent_at = now()
            limits = WaitLimits(0.0, 0.0)
            outcome = await entry.placer.acquire(request, 1.0, False, limits)
            if outcome.is_error():
                return
            admitted.append(sent_at)
            await asyncio.sleep(RUN_S)
            entry.placer.release(outcome.ok, DONE)

        async def play() -> None:
            region = MemoryRegion(domains, table, SharedLimits(quotas=TOLERANCE))
            traffic = RegionTraffic(region, 2, send, SEND_PERIOD_S)

            async def kill_entries() -> None:
                ends_at = now() + PLAY_S
                while now() < ends_at:
                    await asyncio.sleep(rng.uniform(*kill_period_range_s))
                    killed = traffic.coordinators()
                    killed = list(traffic.live) if kills_all else [rng.choice(killed)]
                    await self.kill(traffic, killed, down_s)

            await traffic.play(kill_entries)

        self.run_paused(play())
        return admitted

    async def kill(
        self, traffic: RegionTraffic, killed: list[Entry], down_s: float
    ) -> None:
        """Kill entries at once, and start them again after some time."""
        for entry in killed:
            traffic.live.remove(entry)
        await asyncio.gather(*(traffic.region.kill(entry) for entry in killed))
        await asyncio.sleep(down_s)
        for entry in killed:
            traffic.live.append(await traffic.region.start_again(entry))

    def assert_holds(
        self,
        domains: tuple[str, ...],
        down_s: float,
        kill_period_range_s: tuple[float, float] = KILL_PERIOD_RANGE_S,
        *,
        kills_all: bool = False,
    ) -> None:
        """Assert that no window exceeds the quota, and that most of it is served."""
        least = MIN_SERVED_SHARE * QUOTA.units_per_s * PLAY_S
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                admitted = self.play(
                    seed, domains, down_s, kill_period_range_s, kills_all=kills_all
                )
                most = most_in_window(admitted, TOLERANCE.window_s)
                self.assertLessEqual(most, ALLOWED)
                self.assertGreaterEqual(len(admitted), least)

    def test_a_coordinator_that_starts_again_at_once_forgets_what_was_spent(self):
        self.assert_holds(DOMAINS * 2, 0.0)

    def test_a_coordinator_that_is_gone_for_a_while_forgets_what_was_spent(self):
        self.assert_holds(DOMAINS * 2, 2.0)

    def test_the_only_failure_domain_forgets_what_was_spent(self):
        self.assert_holds(DOMAINS[:1] * 3, 0.5)

    def test_the_only_entry_of_a_domain_forgets_what_was_spent(self):
        self.assert_holds(DOMAINS, 0.5)

    def test_a_region_that_starts_again_forgets_what_was_spent(self):
        self.assert_holds(DOMAINS * 2, 0.5, (6.0, 9.0), kills_all=True)
