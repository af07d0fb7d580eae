"""The programs of a run as separate processes, which signals stop and start."""

import asyncio
import os
import shutil
import signal
import sys
from pathlib import Path

import msgspec

from fuchsiacroft.platform.settings import PATH_VARIABLE
from fuchsiacroft.tests.fakes import platform_wire
from fuchsiacroft.tests.soak.observations import Observations

REPOSITORY = Path(__file__).resolve().parents[3]
GRACE_S = 6.0
"""After SIGTERM, until a process is killed."""
HEARTBEAT_MS = 300
TORN_BYTES = b"\x00\xfftorn" * 3


class Program:
    """One process of the system at an address of its own."""

    def __init__(
        self, role: str, ip: str, zone: str, folder: Path, seen: Observations
    ) -> None:
        self.role = role
        self.ip = ip
        self.zone = zone
        self.is_busy = False
        self.data = folder / f"{ip}-data"
        self.log = folder / f"{ip}.log"
        self._settings = folder / f"{ip}.json"
        self._seen = seen
        self._process: asyncio.subprocess.Process | None = None
        self._watching: asyncio.Task | None = None
        self._expected = False

    def write_settings(self, seeds: list[str], bootstrap: bool) -> None:
        """Write the settings file."""
        settings = platform_wire.settings(
            self.ip,
            seeds,
            zone=self.zone,
            data_dir=self.data if self.role == "control" else None,
            bootstrap=bootstrap,
            heartbeatMs=HEARTBEAT_MS,
            bounds={"graceS": GRACE_S},
        )
        self._settings.write_bytes(msgspec.json.encode(settings))

    async def start(self) -> None:
        """Start the process; its log goes on in the same file."""
        self.data.mkdir(exist_ok=True)
        self._expected = False
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", "fuchsiacroft", "platform", f"--role={self.role}"),
                cwd=REPOSITORY,
                env={**os.environ, PATH_VARIABLE: str(self._settings)},
                stdout=log,
                stderr=log,
            )
        self._watching = asyncio.ensure_future(self._watch(self._process))

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if not self._expected:
            self._seen.unexpected_exits.append(f"{self.role} {self.ip} with {code}")

    def send(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process, and wait for its end."""
        self._expected = True
        self.send(signal.SIGKILL)
        await self._process.wait()

    async def stop(self) -> bool:
        """Stop the process as planned work does; return whether it kept its time."""
        self._expected = True
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await self._process.wait()
        except TimeoutError:
            await self.kill()
            return False
        return True

    def wipe(self) -> None:
        """Lose the disk."""
        shutil.rmtree(self.data)

    def tear_log(self) -> None:
        """Leave what a write that power loss cut short leaves: bytes at the end."""
        for segment in sorted(self.data.glob("log-*"))[-1:]:
            with segment.open("ab") as file:
                file.write(TORN_BYTES)
