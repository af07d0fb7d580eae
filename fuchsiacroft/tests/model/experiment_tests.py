"""Tests of invariants in short simulation runs."""

import tempfile
from pathlib import Path

from fuchsiacroft.model import experiment, trace
from fuchsiacroft.model.experiment import POLICY_SETS, Trial
from fuchsiacroft.model.trace import ALPENRASTER, LENTES
from fuchsiacroft.tests.base import TestCase

LENGTH_S = 10.0


class ExperimentTests(TestCase):
    """Overload and faults on the real schedulers."""

    def outcomes(self, deployment, scenario, policies="ours", load=1.5):
        return experiment.run(
            Trial(
                deployment=deployment,
                policies=POLICY_SETS[policies],
                load=load,
                scenario=scenario,
                length_s=LENGTH_S,
            )
        )

    def test_no_guarantee_is_violated_and_no_tier_inverted(self):
        for deployment, scenario in (
            (LENTES, "killed_server"),
            (ALPENRASTER, "killed_entry"),
            (LENTES, "leaving"),
        ):
            with self.subTest(deployment=deployment.name, scenario=scenario):
                outcomes = self.outcomes(deployment, scenario)
                self.assertEqual({}, dict(outcomes.violations))
                self.assertEqual(0, outcomes.inversions)
                self.assertGreater(outcomes.measures().goodput[0], 0.95)

    def test_a_simulation_is_deterministic(self):
        first, second = (
            self.outcomes(LENTES, "calm", "short_queue", 0.3).measures()
            for _ in range(2)
        )
        self.assertEqual(first.total, second.total)
        self.assertEqual(first.prefilled, second.prefilled)

    def test_a_saved_trace_is_loaded_unchanged(self):
        arrivals = trace.generate(ALPENRASTER, 5.0, 5.0, 1)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "trace.jsonl"
            trace.save(arrivals, path)
            self.assertEqual(arrivals, trace.load(path))
