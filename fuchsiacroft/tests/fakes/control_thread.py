"""A control member in a thread of its own, for tests of its clients."""

import asyncio
import threading
from pathlib import Path

import aiohttp

from fuchsiacroft.config.document import hash_key
from fuchsiacroft.config.settings import Addresses, Member, Settings
from fuchsiacroft.control import process
from fuchsiacroft.tests.fakes.ports import free_addresses

TOKEN = "operator-token"
READY_TIMEOUT_S = 10.0
POLL_S = 0.02


class ControlThread:
    """Runs a control member on loopback until it is stopped."""

    def __init__(self, folder: Path) -> None:
        self.operators, peers = free_addresses(2)
        self.settings = Settings(
            node="control-1",
            failure_domain="mvd-cordon",
            region="mvd",
            addresses=Addresses(operators=self.operators, peers=peers),
            control=[Member("control-1", "mvd-cordon", peers, self.operators)],
            data_folder=str(folder),
            operator_token_hashes=[hash_key(TOKEN)],
        )
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        self._stopping = asyncio.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start it and wait until it answers for the document."""
        self._thread.start()
        if not self._ready.wait(READY_TIMEOUT_S):
            raise RuntimeError("the control member did not start")

    def stop(self) -> None:
        """Stop it and wait for its end."""
        self._loop.call_soon_threadsafe(self._stopping.set)
        self._thread.join(READY_TIMEOUT_S)

    def _run(self) -> None:
        self._loop.run_until_complete(self._serve())
        self._loop.close()

    async def _serve(self) -> None:
        kernel = process.create(self.settings)
        await kernel.start()
        await self._wait_for_leader()
        self._ready.set()
        await self._stopping.wait()
        await kernel.drain()
        await kernel.stop()

    async def _wait_for_leader(self) -> None:
        headers = {"Authorization": f"Bearer {TOKEN}"}
        url = f"http://{self.operators}/v1/document"
        async with aiohttp.ClientSession(headers=headers) as session:
            while True:
                async with session.get(url) as res:
                    if res.status == 200:
                        return
                await asyncio.sleep(POLL_S)
