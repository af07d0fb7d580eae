"""Tests of ending a silent operation once another can take over."""

import asyncio

from fuchsiacroft.gateway.silence_watch import SilenceWatch
from fuchsiacroft.tests.base import PausedTestCase

IDLE_S = 1.0


class SilenceWatchTests(PausedTestCase):
    """An operation that makes no progress ends only if it is replaced."""

    def setUp(self):
        super().setUp()
        self.answers: list[bool] = []
        self.searches = 0

    def watch(self) -> SilenceWatch:
        async def is_replaced() -> bool:
            self.searches += 1
            await asyncio.sleep(0.1)
            return self.answers.pop(0) if self.answers else False

        return SilenceWatch(lambda: IDLE_S, is_replaced)

    def test_a_silent_operation_ends_when_it_is_replaced(self):
        async def run():
            self.answers = [False, True]
            async with self.watch():
                await asyncio.sleep(30.0)

        with self.assertRaises(TimeoutError):
            self.run_paused(run())
        self.assertEqual(2, self.searches)

    def test_a_slow_operation_goes_on_while_it_is_not_replaced(self):
        async def run():
            async with self.watch():
                await asyncio.sleep(30.0)

        self.run_paused(run())
        self.assertGreater(self.searches, 20)

    def test_progress_begins_a_new_idle_period(self):
        async def run():
            self.answers = [True]
            async with self.watch() as watch:
                for _ in range(40):
                    await asyncio.sleep(0.9 * IDLE_S)
                    watch.resume()

        self.run_paused(run())
        self.assertEqual(0, self.searches)

    def test_progress_during_the_search_keeps_the_operation(self):
        async def run():
            self.answers = [True]
            async with self.watch() as watch:
                await asyncio.sleep(IDLE_S + 0.05)
                watch.resume()
                await asyncio.sleep(0.5 * IDLE_S)

        self.run_paused(run())

    def test_a_paused_watch_searches_nothing(self):
        async def run():
            async with self.watch() as watch:
                watch.pause()
                await asyncio.sleep(10 * IDLE_S)

        self.run_paused(run())
        self.assertEqual(0, self.searches)

    def test_an_operation_is_replaced_whose_progress_came_while_the_process_stood_still(
        self,
    ):
        async def is_replaced() -> bool:
            self.searches += 1
            return True

        async def run():
            loop = asyncio.get_running_loop()
            progress = loop.create_future()
            async with SilenceWatch(lambda: IDLE_S, is_replaced):
                # What has arrived is read after the timers have run.
                loop.call_later(1.5 * IDLE_S, loop.call_soon, progress.set_result, None)
                loop.stand_still(2 * IDLE_S)
                await progress

        self.run_paused(run())
        self.assertEqual(0, self.searches)
