"""A few short fault scenarios, checked only by request counts."""

from fuchsiacroft.replay.expectations import Expectations
from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.tests.faults.scenario import Plan, run

SHORT = {"length_s": 8.0, "first_fault_s": 1.5, "recover_after_s": 2.5, "gap_s": 0.5}
MODEL_REQUESTS_PER_S = 6.0


class FaultTests(TestCase):
    """Checks that no invariant is violated and that the cluster recovers."""

    def check(self, *faults: str, seed: int, **more) -> None:
        plan = Plan(
            seed, faults, model_requests_per_s=MODEL_REQUESTS_PER_S, **SHORT, **more
        )
        verdict = run(plan, Expectations())
        self.assertEqual([], verdict.violations, "\n".join(verdict.lines))

    def test_an_entry_and_a_model_engine_crash_during_concurrent_changes(self):
        self.check("kill_entry", "kill_engine", "race_operators", seed=11)

    def test_a_failure_domain_is_isolated_and_the_leader_crashes(self):
        self.check("cut_domain", "kill_leader", seed=12)

    def test_a_request_that_crashes_backend_servers_is_sent_again(self):
        self.check(seed=13, crashing=4)
