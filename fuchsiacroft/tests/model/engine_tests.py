"""Tests of the simulated engine."""

import asyncio

from fuchsiacroft.model.engine import OLDER, SimulatedEngine
from fuchsiacroft.model.server import ConnectFailedError, ConnectionLostError
from fuchsiacroft.model.trace import Arrival
from fuchsiacroft.tests.base import PausedTestCase

OUTPUT = 100


class EngineTests(PausedTestCase):
    """Throughput by concurrent runs, prefix caching, and loss of the engine."""

    def arrival(self, prompt=100, output=OUTPUT, prefixes=()):
        return Arrival(
            at_s=0.0,
            request_id="r",
            kind="k",
            service="lens",
            rank=0,
            workspace="w",
            share=1.0,
            timeout_s=60.0,
            prompt_tokens=prompt,
            output_tokens=output,
            prefixes=prefixes,
        )

    def seconds(self, runs, **fields):
        async def play():
            engine = SimulatedEngine(OLDER)
            started_at = asyncio.get_running_loop().time()
            started = [
                engine.start(self.arrival(**fields), lambda: None, "d")
                for _ in range(runs)
            ]
            await asyncio.gather(*(run.done for run in started))
            return asyncio.get_running_loop().time() - started_at

        return self.run_paused(play())

    def test_throughput_is_flat_beyond_the_knee(self):
        alone = self.seconds(1)
        knee = self.seconds(OLDER.knee_runs)
        double = self.seconds(2 * OLDER.knee_runs)
        self.assertAlmostEqual(OUTPUT * OLDER.token_gap_s, alone, delta=0.1)
        self.assertAlmostEqual(alone, knee, delta=0.5)
        self.assertAlmostEqual(2 * knee, double, delta=1.0)

    def test_throughput_falls_beyond_the_kv_cache(self):
        runs = 12
        fits = self.seconds(runs, prompt=1_000)
        overflows = self.seconds(runs, prompt=10_000)
        prefill_s = runs * 9_000 / OLDER.prefill_tokens_per_s
        self.assertGreater(overflows, 1.5 * (fits + prefill_s))

    def test_a_cached_prefix_is_not_prefilled_again(self):
        async def play():
            engine = SimulatedEngine(OLDER)
            for _ in range(2):
                arrival = self.arrival(1_000, 1, prefixes=(1, 2, 3))
                await engine.start(arrival, lambda: None, "d").done
            return engine.prefilled_tokens

        self.assertEqual(1_000 + 1_000 - 3 * 256, self.run_paused(play()))

    def test_a_killed_engine_loses_its_runs_and_refuses_new_ones(self):
        async def play():
            engine = SimulatedEngine(OLDER)
            run = engine.start(self.arrival(), lambda: None, "d")
            await asyncio.sleep(0.5)
            engine.kill()
            with self.assertRaises(ConnectionLostError):
                await run.done
            with self.assertRaises(ConnectFailedError):
                engine.start(self.arrival(), lambda: None, "d")

        self.run_paused(play())
