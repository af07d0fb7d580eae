"""Tests of the backend servers that announce themselves to an entry."""

import asyncio

from fuchsiacroft.membership import backend_servers
from fuchsiacroft.membership.announcement import Announcement, Offer
from fuchsiacroft.membership.backend_servers import (
    ANNOUNCEMENT_TIMEOUT_S,
    SWEEP_PERIOD_S,
)
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.membership.engine_reports_tests import SETTINGS

SERVER = Announcement("i-1", "i-1/1", "d", "10.0.0.1:80", (Offer("lens"),), slots=4)


class StoodStillTests(PausedTestCase):
    """An entry that stood still has not read the announcements of that time."""

    def sweep(self, *, silent_s: float) -> int:
        """Return how many servers are known that long after the entry stood still."""

        async def scenario() -> int:
            directory = backend_servers.create(SETTINGS)
            directory._update(SERVER)
            loop = asyncio.get_running_loop()
            loop.call_soon(loop.stand_still, 2 * ANNOUNCEMENT_TIMEOUT_S)
            await directory._sweep()
            ends_at = loop.time() + silent_s
            while loop.time() < ends_at:
                await directory._sweep()
            return len(directory.all())

        return self.run_paused(scenario())

    def test_an_entry_that_stood_still_forgets_its_servers(self):
        self.assertEqual(1, self.sweep(silent_s=SWEEP_PERIOD_S))

    def test_a_silent_server_is_kept_after_an_entry_stood_still(self):
        silent_s = ANNOUNCEMENT_TIMEOUT_S + SWEEP_PERIOD_S
        self.assertEqual(0, self.sweep(silent_s=silent_s))
