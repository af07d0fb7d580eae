"""A process that gets a share of a core, whatever the machine has."""

import asyncio
import contextlib
import signal
import sys
from asyncio.subprocess import Process

PERIOD_S = 0.1


class StarvedProcess:
    """Runs a module for `share` of each `PERIOD_S` only, once it is starved."""

    def __init__(self, module: str, *args: str) -> None:
        self._command = (sys.executable, "-m", module, *args)
        self._proc: Process | None = None
        self._starving: asyncio.Task | None = None

    async def start(self) -> None:
        """Start the process, with a whole core."""
        self._proc = await asyncio.create_subprocess_exec(
            *self._command, stderr=asyncio.subprocess.DEVNULL
        )

    def starve(self, share: float) -> None:
        """Let the process run for a share of the time from now on."""
        self._starving = asyncio.ensure_future(self._starve(share))

    async def stop(self) -> None:
        """Let the process run, and end it."""
        if self._starving is not None:
            self._starving.cancel()
            await asyncio.gather(self._starving, return_exceptions=True)
        with contextlib.suppress(ProcessLookupError):
            self._proc.send_signal(signal.SIGCONT)
            self._proc.terminate()
        await self._proc.wait()

    async def _starve(self, share: float) -> None:
        while True:
            self._proc.send_signal(signal.SIGSTOP)
            await asyncio.sleep((1 - share) * PERIOD_S)
            self._proc.send_signal(signal.SIGCONT)
            await asyncio.sleep(share * PERIOD_S)
