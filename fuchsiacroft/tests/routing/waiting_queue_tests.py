"""Queue order of waiters."""

import asyncio

from fuchsiacroft.routing.permits import WorkSize
from fuchsiacroft.routing.slack_queue import SlackQueue
from fuchsiacroft.routing.waiting_queue import FifoQueue, Waiter
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.routing_domain import permit_request

SHORT_S = 1.0
LONG_S = 12.0


class WaitingQueueTests(PausedTestCase):
    """The order in which waiters start."""

    def order(self, queue, waiters):
        for waiter in waiters:
            queue.add(waiter)
        started = []
        while (waiter := queue.head()) is not None:
            queue.remove(waiter)
            queue.record_start(waiter)
            started.append(waiter.request.request_id)
        return started

    def waiter(self, name, number, run_s=SHORT_S, **fields):
        request = permit_request(name, size=WorkSize(100, 10), **fields)
        deadline = request.timeout_s
        return Waiter(
            request=request,
            sequence=number,
            arrived_at=0.0,
            deadline=deadline,
            run_s=run_s,
            latest_start=deadline - run_s,
            fut=asyncio.get_running_loop().create_future(),
        )

    def test_a_short_request_does_not_wait_behind_long_ones(self):
        async def play():
            waiters = [self.waiter(f"long-{i}", i, LONG_S) for i in range(5)]
            waiters.append(self.waiter("release", 9))
            return self.order(SlackQueue(), waiters)

        self.assertEqual("release", self.run_paused(play())[0])

    def test_a_higher_tier_goes_first_and_a_lower_one_follows(self):
        async def play():
            waiters = [self.waiter("low", 0, rank=2), self.waiter("high", 1, rank=0)]
            return self.order(SlackQueue(), waiters)

        self.assertEqual(["high", "low"], self.run_paused(play()))

    def test_a_burst_of_one_workspace_does_not_starve_another(self):
        async def play():
            waiters = [
                self.waiter(f"burst-{i}", i, workspace="large") for i in range(200)
            ]
            waiters += [
                self.waiter(f"calm-{i}", 200 + i, workspace="small") for i in range(5)
            ]
            return self.order(SlackQueue(), waiters)

        first = self.run_paused(play())[:12]
        calm = sum(name.startswith("calm") for name in first)
        self.assertEqual(5, calm, first)

    def test_shares_are_weighted(self):
        async def play():
            waiters = [
                self.waiter(f"{name}-{i}", i, workspace=name, share=share)
                for name, share in (("double", 2.0), ("single", 1.0))
                for i in range(30)
            ]
            return self.order(SlackQueue(), waiters)

        first = self.run_paused(play())[:30]
        double = sum(name.startswith("double") for name in first)
        self.assertAlmostEqual(20, double, delta=1)

    def test_an_idle_workspace_accumulates_no_credit(self):
        async def play():
            queue = SlackQueue()
            self.order(
                queue, [self.waiter(f"a-{i}", i, workspace="a") for i in range(50)]
            )
            waiters = [
                self.waiter(f"{name}-{i}", 100 + i, workspace=name)
                for name in ("a", "b")
                for i in range(10)
            ]
            return self.order(queue, waiters)

        first = self.run_paused(play())[:10]
        self.assertAlmostEqual(
            5, sum(name.startswith("b") for name in first), delta=1, msg=first
        )

    def test_a_removed_waiter_is_skipped_in_both_orders(self):
        async def play():
            for queue in (FifoQueue(), SlackQueue()):
                gone = self.waiter("gone", 0)
                queue.add(gone)
                queue.add(self.waiter("stays", 1))
                queue.remove(gone)
                self.assertEqual("stays", queue.head().request.request_id)
                self.assertEqual(1, len(queue))

        self.run_paused(play())
