"""Tests of quotas while the entries that count them are killed, or cut off."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence

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
CUT_PERIOD_RANGE_S = (0.2, 2.0)
CUT_RANGE_S = (0.3, 6.0)
SEEDS = 2
SECOND_BURST_S = 3.5
DRAIN_S = 1.5
DOWN_S = 0.5


class PressedQuotaTestCase(PausedTestCase):
    """A workspace asks for far more than its quota, at entries with faults."""

    is_pressing = True

    def play(
        self,
        domains: tuple[str, ...],
        fault_period_range_s: tuple[float, float],
        rng: random.Random,
        inject_fault: Callable[[RegionTraffic], Awaitable[None]],
    ) -> list[float]:
        """Inject faults again and again; return when admitted requests were sent."""
        admitted: list[float] = []
        workspaces = [(Workspace("tills", quota=QUOTA), ())]
        table = create_route_table(1, (), (), workspaces, CallerLimits())

        async def send(entry: Entry, number: int) -> None:
            if not self.is_pressing:
                return
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

            async def inject_faults() -> None:
                ends_at = now() + PLAY_S
                while now() < ends_at:
                    await asyncio.sleep(rng.uniform(*fault_period_range_s))
                    await inject_fault(traffic)

            await traffic.play(inject_faults)

        self.run_paused(play())
        return admitted

    def assert_within_quota(self, admitted: list[float]) -> None:
        """Assert that no window exceeds the quota, and that most of it is served."""
        most = most_in_window(admitted, TOLERANCE.window_s)
        self.assertLessEqual(most, ALLOWED)
        least = MIN_SERVED_SHARE * QUOTA.units_per_s * PLAY_S
        self.assertGreaterEqual(len(admitted), least)


class LostCoordinatorsQuotaTests(PressedQuotaTestCase):
    """Entries, mostly coordinators, are killed and start again."""

    def assert_holds(
        self,
        domains: tuple[str, ...],
        down_s: float,
        kill_period_range_s: tuple[float, float] = KILL_PERIOD_RANGE_S,
        *,
        kills_all: bool = False,
    ) -> None:
        """Assert that the quota holds while coordinators, or all, are killed."""
        for seed in range(SEEDS):
            rng = random.Random(seed)

            async def kill(traffic: RegionTraffic, rng=rng) -> None:
                killed = traffic.coordinators()
                killed = list(traffic.live) if kills_all else [rng.choice(killed)]
                await self.kill(traffic, killed, down_s)

            with self.subTest(seed=seed):
                self.assert_within_quota(
                    self.play(domains, kill_period_range_s, rng, kill)
                )

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


class CutEntriesQuotaTests(PressedQuotaTestCase):
    """Entries are cut off from all others and come back; none is killed."""

    def assert_holds(
        self, domains: tuple[str, ...], count: int, seeds: Sequence[int] = range(SEEDS)
    ) -> None:
        """Assert that the quota holds while some entries, drawn by lot, are cut off."""
        for seed in seeds:
            rng = random.Random(seed)

            async def cut(traffic: RegionTraffic, rng=rng) -> None:
                for entry in rng.sample(traffic.live, count):
                    traffic.region.isolate(entry.address)
                await asyncio.sleep(rng.uniform(*CUT_RANGE_S))
                traffic.region.network.heal()

            with self.subTest(seed=seed):
                self.assert_within_quota(
                    self.play(domains, CUT_PERIOD_RANGE_S, rng, cut)
                )

    def test_an_entry_of_the_only_domain_spends_twice_when_it_is_cut_off(self):
        self.assert_holds(DOMAINS[:1] * 3, 1)

    def test_a_coordinator_that_is_cut_off_in_a_burst_spends_twice(self):
        self.assert_holds(DOMAINS[:1] * 3, 1, (2, 5, 13, 42, 49, 78, 137))
        self.assert_holds(DOMAINS * 2, 1, (9,))

    def test_entries_of_several_domains_spend_twice_when_they_are_cut_off(self):
        self.assert_holds(DOMAINS * 2, 2)


class StoppedCoordinatorsQuotaTests(PressedQuotaTestCase):
    """Coordinators stop in order, one after the other, and start again."""

    async def stop(self, traffic: RegionTraffic) -> None:
        """Stop a coordinator as SIGTERM does, and start it again."""
        stopped = traffic.coordinators()[0]
        stopped.roster.start_draining()
        await asyncio.sleep(DRAIN_S)
        traffic.live.remove(stopped)
        await traffic.region.kill(stopped)
        await asyncio.sleep(DOWN_S)
        traffic.live.append(await traffic.region.start_again(stopped))

    def assert_holds(self, domains: tuple[str, ...], *, restarts_members: bool) -> None:
        """Assert that the quota holds over two stops, with a burst before each."""

        async def stop_both(traffic: RegionTraffic) -> None:
            self.is_pressing = True
            await asyncio.sleep(TOLERANCE.window_s)
            await self.stop(traffic)
            self.is_pressing = False
            await asyncio.sleep(TOLERANCE.window_s - DRAIN_S)
            self.is_pressing = True
            await asyncio.sleep(SECOND_BURST_S)
            if restarts_members:
                await traffic.region.restart_members()
            await self.stop(traffic)

        admitted = self.play(domains, (0.0, 0.0), random.Random(0), stop_both)
        most = most_in_window(admitted, TOLERANCE.window_s)
        self.assertLessEqual(most, ALLOWED)

    def test_an_older_report_takes_the_place_of_a_newer_one(self):
        for restarts_members in (False, True):
            for domains in (DOMAINS[:1] * 2, DOMAINS[:1] * 3, DOMAINS * 2):
                with self.subTest(
                    restarts_members=restarts_members, entries=len(domains)
                ):
                    self.assert_holds(domains, restarts_members=restarts_members)
