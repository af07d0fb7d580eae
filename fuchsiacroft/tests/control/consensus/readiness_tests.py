"""Tests of what a member says of its readiness."""

from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.group import Group


class ReadinessTests(PausedTestCase):
    """A member is ready until it is halted."""

    def test_a_halted_member_says_why(self):
        async def scenario():
            group = Group()
            await group.start()
            await group.wait_leader()
            log = group.nodes[0].log
            before = log.why_not_ready()
            log._member.halted = "its identity was replaced"
            after = log.why_not_ready()
            await group.stop()
            return before, after

        before, after = self.run_paused(scenario())
        self.assertIsNone(before)
        self.assertIn("its identity was replaced", after)
