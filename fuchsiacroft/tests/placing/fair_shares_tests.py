"""Tests of fair shares and early refusals: what callers get under a played load."""

import random

import msgspec

from fuchsiacroft.config.settings import Addresses, Policies, Settings
from fuchsiacroft.gauges import share_samples
from fuchsiacroft.placing import coordinator
from fuchsiacroft.placing.allocator import Allocator
from fuchsiacroft.placing.limits import SharedLimits
from fuchsiacroft.placing.messages import PlaceRequest
from fuchsiacroft.placing.retry_after import MAX_RETRY_AFTER_S, RefusedCallers
from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.tests.fakes.share_load import SERVERS, SLOTS, Flow, ShareLoad
from fuchsiacroft.tests.placing.allocator_search_tests import Search
from fuchsiacroft.tests.placing.allocator_tests import request

ROOM = SERVERS * SLOTS
USUAL_PER_S = 30.0
"""Four workspaces with this load need half of the room."""
OTHERS = [Flow(f"w{number}", USUAL_PER_S) for number in range(4)]
PRESSING = Flow("pressing", 6 * USUAL_PER_S)
SERVED_SHARE = 0.95
TIME_S = 10.0
PLAY_S = 14.0


def play(*flows: Flow, change_at: float | None = None) -> ShareLoad:
    """Return what callers got."""
    load = ShareLoad(list(flows))
    load.play(PLAY_S, change_at)
    return load


def run_s_in_load(load: ShareLoad, flow: Flow) -> float:
    """Return the run time of what was begun while the load lasted."""
    return flow.run_s * sum(at < TIME_S for at in load.times[flow])


class LoadTestCase(TestCase):
    """A test that compares what callers get with what they get otherwise."""

    def check_served(self, load: ShareLoad, *flows: Flow) -> None:
        """Check that workspaces get as much as they do with nothing beside them."""
        alone = play(*flows)
        for flow in flows:
            for counts, usual in (
                (load.served, alone.served),
                (load.in_time, alone.in_time),
            ):
                share = counts[flow] / load.asked[flow]
                usual_share = usual[flow] / alone.asked[flow]
                self.assertGreaterEqual(share, SERVED_SHARE * usual_share, flow)


class FairSharesTests(LoadTestCase):
    """Guard against a workspace that takes the slots of others in its rank."""

    def test_one_that_presses_gets_the_rest_and_no_more(self):
        load = play(*OTHERS, PRESSING)
        self.check_served(load, *OTHERS)
        rest = ROOM * TIME_S - sum(run_s_in_load(load, flow) for flow in OTHERS)
        self.assertGreaterEqual(run_s_in_load(load, PRESSING), SERVED_SHARE * rest)

    def test_three_that_press_divide_the_rest_by_their_shares(self):
        three = [
            Flow(f"pressing{n}", 240.0, share=share)
            for n, share in enumerate((1.0, 1.0, 2.0))
        ]
        load = play(*OTHERS[:2], *three)
        self.check_served(load, *OTHERS[:2])
        rest = ROOM * TIME_S - sum(run_s_in_load(load, flow) for flow in OTHERS[:2])
        for flow in three:
            part = rest * flow.share / 4.0
            self.assertGreaterEqual(
                run_s_in_load(load, flow), SERVED_SHARE * part, flow
            )

    def test_an_idle_share_is_lent_and_comes_back_at_once(self):
        back = Flow("back", 100.0, begins_at=5.0)
        pressing = Flow("pressing", 400.0)
        load = play(pressing, back)
        self.check_served(load, back)
        before = sum(at < back.begins_at for at in load.times[pressing])
        capacity = ROOM / pressing.run_s * back.begins_at
        self.assertGreaterEqual(before, SERVED_SHARE * capacity)
        # Slots that were lent are free again after one run of the borrower.
        first = [at for at in load.arrivals[back] if at < back.begins_at + 0.5]
        for arrived_at, started_at in zip(first, load.times[back], strict=False):
            self.assertLessEqual(started_at - arrived_at, pressing.run_s)

    def test_large_requests_of_a_small_workspace_are_served(self):
        large = Flow("small", 1.0, tokens=1_000, deadline_s=12.0)
        load = play(large, *OTHERS, PRESSING)
        self.assertGreaterEqual(load.served[large], SERVED_SHARE * load.asked[large])

    def test_short_requests_that_press_do_not_starve_long_ones(self):
        """A short request precedes late ones of the rank above, but not its share."""
        long = [
            Flow(f"long{n}", 6.0, tokens=200, in_time_s=0.5, deadline_s=12.0)
            for n in range(4)
        ]
        load = play(*long, Flow("pressing", 900.0, tokens=20))
        self.check_served(load, *long)

    def test_a_change_of_coordinator_starves_nobody(self):
        load = play(*OTHERS, PRESSING, change_at=5.0)
        self.check_served(load, *OTHERS)
        rest = ROOM * TIME_S - sum(run_s_in_load(load, flow) for flow in OTHERS)
        self.assertGreaterEqual(run_s_in_load(load, PRESSING), SERVED_SHARE * rest)


class EarlyRefusalTests(LoadTestCase):
    """Guard against callers that wait in vain and then have no time for a retry."""

    def test_nobody_waits_long_in_vain_in_a_burst(self):
        usual = Flow("burst", 80.0)
        burst = Flow("burst", 80.0, begins_at=4.0, ends_at=7.0)
        load = play(*OTHERS, usual, burst)
        self.assertLessEqual(max(load.waits_in_vain, default=0.0), 0.5)
        self.check_served(load, *OTHERS)

    def test_callers_refused_together_come_back_one_after_the_other(self):
        refused = RefusedCallers(random.Random(1))
        times = sorted(refused.retry_after_s("w", 1.0, 0.02, 0.0) for _ in range(100))
        self.assertGreater(times[0], 0.5)
        self.assertLessEqual(times[-1], MAX_RETRY_AFTER_S)
        most = max(sum(t <= other < t + 0.2 for other in times) for t in times)
        self.assertLessEqual(most, 20)


class FairSearch(Search):
    """Random operations on an allocator with shares, also shares of 0 or less."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.allocator = Allocator(SharedLimits(), is_fair=True)

    def request(self) -> PlaceRequest:
        """Return a request of a random workspace and share."""
        request = super().request()
        share = self.rng.choice((0.0, -1.0, 1.0, 3.0))
        ask = msgspec.structs.replace(
            request.ask, workspace=self.rng.choice("abc"), share=share
        )
        return msgspec.structs.replace(request, ask=ask)


class FairSearchTests(TestCase):
    """No operation raises, no waiter is lost, and the dump counts each once."""

    def test_any_order_of_events(self):
        for seed in range(30):
            search = FairSearch(seed)
            for _ in range(600):
                search.step()
                popped = {waiter.request.run_id for waiter in search.popped}
                waiting = len(search.waiting.keys() - popped)
                self.assertEqual(waiting, search.allocator.waiting("lens"), seed)
                ranks = search.allocator.dump()["shares"].get("lens", {})
                counts = [w["waiting"] for ws in ranks.values() for w in ws.values()]
                self.assertEqual(waiting, sum(counts), seed)

    def test_shares_are_shown_only_if_they_are_set(self):
        for is_fair in (False, True):
            allocator = Allocator(SharedLimits(), is_fair=is_fair)
            waiting = request()
            allocator.place(waiting, 0.0)
            self.assertEqual({"lens": {0: 1}}, allocator.dump()["waiting"])
            self.assertIs(is_fair, "shares" in allocator.dump())
            self.assertIs(is_fair, bool(allocator.reports.share_fields(waiting.ask)))
            samples = dict(_names_and_values(allocator.dump()))
            self.assertEqual(
                {"fuchsiacroft_workspaces_waiting": 1} if is_fair else {},
                {name: value for name, value in samples.items() if value},
            )

    def test_the_setting_turns_shares_on(self):
        for share in ("none", "fair"):
            settings = Settings(
                "entry-1",
                "mvd-cordon",
                "mvd",
                Addresses("127.0.0.1:80"),
                policies=Policies(share=share),
            )
            state = coordinator.create(settings, SharedLimits()).allocator.dump()
            self.assertIs(share == "fair", "shares" in state)
        self.assertEqual("none", Policies().share)


def _names_and_values(state: dict) -> list[tuple[str, float]]:
    return [(name, value) for name, _, value in share_samples(state)]
