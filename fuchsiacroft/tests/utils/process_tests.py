"""Tests of a process's life when a service fails."""

import asyncio
import os
import signal

from fuchsiacroft.exceptions import InvariantError
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.utils import process
from fuchsiacroft.utils.tasks import BackgroundTasks


class Failing(Service):
    """A service one of whose tasks fails."""

    name = "failing"

    def __init__(self, vital: bool, exc: Exception) -> None:
        self.tasks = BackgroundTasks("failing")
        self.stopped = False
        self._vital = vital
        self._exc = exc

    async def start(self, kernel: Kernel) -> None:
        start = self.tasks.spawn_critical if self._vital else self.tasks.spawn
        start(self._fail(), "fail")

    async def stop(self) -> None:
        self.stopped = True

    async def _fail(self) -> None:
        raise self._exc


class ProcessTests(SocketTestCase):
    """Only broken invariants and lost services stop a process."""

    expects_failures = True

    async def served(self, vital: bool, exc: Exception) -> tuple[bool, Failing]:
        service = Failing(vital, exc)
        kernel = Kernel()
        kernel.add(service)
        try:
            async with asyncio.timeout(0.3):
                await process.serve(kernel, "node")
        except InvariantError:
            return True, service
        except TimeoutError:
            return False, service
        return False, service

    async def test_a_lost_service_stops_the_process(self):
        failed, service = await self.served(True, OSError("gone"))
        self.assertTrue(failed)
        self.assertTrue(service.stopped)

    async def test_a_broken_invariant_stops_it_wherever_it_is_found(self):
        failed, _ = await self.served(False, InvariantError("broken"))
        self.assertTrue(failed)

    async def test_one_failed_answer_does_not(self):
        failed, _ = await self.served(False, OSError("one answer"))
        self.assertFalse(failed)


class Reloading(Service):
    """Counts how often it is told to look at its files."""

    name = "reloading"

    def __init__(self) -> None:
        self.count = 0

    def reload(self) -> None:
        self.count += 1


class ReloadTests(SocketTestCase):
    """SIGHUP has services look at their files and ends nothing."""

    async def test_a_hang_up_reloads_and_the_process_goes_on(self):
        service = Reloading()
        kernel = Kernel()
        kernel.add(service)
        serving = asyncio.ensure_future(process.serve(kernel, "edge-1"))
        await asyncio.sleep(0.1)
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.sleep(0.1)
        self.assertEqual(1, service.count)
        self.assertFalse(serving.done())
        os.kill(os.getpid(), signal.SIGTERM)
        async with asyncio.timeout(2):
            await serving
