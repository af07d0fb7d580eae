"""Tests of process shutdown after failures and of reloads."""

import asyncio
import os
import signal

from fuchsiacroft.exceptions import InvariantError
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.utils import process
from fuchsiacroft.utils.tasks import BackgroundTasks


class FailingService(Service):
    """A service with a background task that fails."""

    name = "failing"

    def __init__(self, critical: bool, exc: Exception) -> None:
        self.tasks = BackgroundTasks("failing")
        self.stopped = False
        self._critical = critical
        self._exc = exc

    async def start(self, kernel: Kernel) -> None:
        start = self.tasks.spawn_critical if self._critical else self.tasks.spawn
        start(self._fail(), "fail")

    async def stop(self) -> None:
        self.stopped = True

    async def _fail(self) -> None:
        raise self._exc


class ProcessTests(SocketTestCase):
    """Only broken invariants and failed critical tasks stop a process."""

    expects_failures = True

    async def run_process(
        self, critical: bool, exc: Exception
    ) -> tuple[bool, FailingService]:
        service = FailingService(critical, exc)
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

    async def test_a_failed_critical_task_stops_the_process(self):
        failed, service = await self.run_process(True, OSError("gone"))
        self.assertTrue(failed)
        self.assertTrue(service.stopped)

    async def test_a_broken_invariant_in_any_task_stops_the_process(self):
        failed, _ = await self.run_process(False, InvariantError("broken"))
        self.assertTrue(failed)

    async def test_another_failed_task_does_not_stop_the_process(self):
        failed, _ = await self.run_process(False, OSError("one answer"))
        self.assertFalse(failed)


class ReloadingService(Service):
    """A service that counts its reloads."""

    name = "reloading"

    def __init__(self) -> None:
        self.count = 0

    def reload(self) -> None:
        self.count += 1


class ReloadTests(SocketTestCase):
    """SIGHUP reloads the services without stopping the process."""

    async def test_sighup_reloads_and_the_process_continues(self):
        service = ReloadingService()
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
