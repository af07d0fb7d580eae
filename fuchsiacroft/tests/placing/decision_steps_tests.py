"""Tests that a decision takes as many steps however much waits or was reported."""

from fuchsiacroft.config.route_table import Quota, Workspace
from fuchsiacroft.placing.quotas import Quotas, QuotaTolerance
from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.tests.fakes.step_counter import StepCounter

ENTRIES = 43
WORKSPACES = tuple(f"w-{n}" for n in range(16))
UNITS_PER_S = 36_000.0
WINDOW_S = 8
DECISIONS = 200
DECISIONS_PER_S = 200.0
GROWTH = 1.1
"""What a decision may take more; lists that are kept in order are cheap."""


class AdmissionStepsTests(TestCase):
    """The steps to charge a request to the quota of its workspace."""

    def steps(self, entries_alone: int) -> float:
        """Return the steps after so many entries have reported what they spent."""
        quotas = Quotas(QuotaTolerance(window_s=WINDOW_S))
        quota = Quota(UNITS_PER_S, 0.0)
        quotas.replace({name: Workspace(name, quota=quota) for name in WORKSPACES})
        quotas.earlier.counted_since = -WINDOW_S
        units = dict.fromkeys(WORKSPACES, (1.0,) * WINDOW_S)
        for number in range(entries_alone):
            quotas.earlier.replace_apart(f"edge-{number}", units, 0.0)
        with StepCounter() as counter:
            for number in range(DECISIONS):
                name = WORKSPACES[number % len(WORKSPACES)]
                quotas.take(name, 1.0, number / DECISIONS_PER_S)
        return counter.count / DECISIONS

    def test_an_admission_takes_more_steps_after_entries_decided_alone(self):
        self.assertLess(self.steps(ENTRIES), GROWTH * self.steps(1))
