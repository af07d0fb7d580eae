"""Tests of the readiness check of a consensus member."""

from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.consensus_group import ConsensusGroup


class ReadinessTests(PausedTestCase):
    """A member is ready until it is halted."""

    def test_a_halted_member_reports_the_reason(self):
        async def scenario():
            group = ConsensusGroup()
            await group.start()
            await group.wait_leader()
            log = group.nodes[0].log
            before = log.not_ready_reason()
            log.member.halted = "its identity was replaced"
            after = log.not_ready_reason()
            await group.stop()
            return before, after

        before, after = self.run_paused(scenario())
        self.assertIsNone(before)
        self.assertIn("its identity was replaced", after)
