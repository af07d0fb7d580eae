"""Talks to the ledger on the control VMs."""

import asyncio
import random

import msgspec
from expression import Error, Ok, Result

from fuchsiacroft.config.settings import Settings
from fuchsiacroft.control.ledger import (
    ClaimKey,
    KeyStatus,
    ReleaseKey,
    SettleKey,
    StoredAnswer,
)
from fuchsiacroft.control.ledger_service import LedgerUnavailable, LookUpKey
from fuchsiacroft.entry.request import LedgerKey
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import TaskGroup

ANSWER_TIMEOUT_S = 2.0
RETRY_PAUSE_S = 0.5
RECORD_TIMEOUT_S = 600.0


class LedgerClient(Service):
    """Claims keys before dispatch and records outcomes until it is done."""

    name = "ledger_client"

    def __init__(self, settings: Settings) -> None:
        self._members = [member.peers for member in settings.control]
        self._random = random.Random()
        self._tasks = TaskGroup("ledger_client")
        self._recording: set[asyncio.Task] = set()

    async def start(self, kernel: Kernel) -> None:
        """Look up the bus."""
        self._bus = kernel.get("bus", Bus)

    async def drain(self) -> None:
        """Wait until every outcome is recorded."""
        while self._recording:
            await asyncio.wait(self._recording)

    async def stop(self) -> None:
        """Give up what is not recorded yet."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return how many outcomes wait to be recorded."""
        return {"recording": len(self._recording)}

    async def look_up(self, key: LedgerKey) -> Result[KeyStatus, LedgerUnavailable]:
        """Return what is known of a key."""
        return await self._ask(LookUpKey(key.key, key.fingerprint))

    async def claim(
        self, key: LedgerKey, claim: str, lease_s: float
    ) -> Result[KeyStatus, LedgerUnavailable]:
        """Claim a key; after an error the claim may stand and is released."""
        command = ClaimKey(key.key, key.fingerprint, claim, lease_s, key.dated)
        result = await self._ask(command)
        if result.is_error():
            self.release(key, claim)
        return result

    def settle(self, key: LedgerKey, claim: str, answer: StoredAnswer | None) -> None:
        """Record an outcome in the background."""
        self._record(SettleKey(key.key, claim, answer))

    def release(self, key: LedgerKey, claim: str) -> None:
        """Give a claim back in the background; its request was not dispatched."""
        self._record(ReleaseKey(key.key, claim))

    def _record(self, command: msgspec.Struct) -> None:
        task = self._tasks.spawn(self._until_recorded(command))
        self._recording.add(task)
        task.add_done_callback(self._recording.discard)

    async def _until_recorded(self, command: msgspec.Struct) -> None:
        try:
            async with asyncio.timeout(RECORD_TIMEOUT_S):
                while (await self._ask(command)).is_error():
                    await asyncio.sleep(RETRY_PAUSE_S)
        except TimeoutError:
            event("error", "ledger_not_recorded", command=type(command).__name__)

    async def _ask(
        self, command: msgspec.Struct
    ) -> Result[KeyStatus, LedgerUnavailable | None]:
        members = self._random.sample(self._members, len(self._members))
        answer = None
        for peer in members:
            match await self._bus.request(peer, command, ANSWER_TIMEOUT_S):
                case Result(tag="ok", ok=KeyStatus() as status):
                    return Ok(status)
                case Result(tag="ok", ok=LedgerUnavailable() as unavailable):
                    answer = unavailable
        return Error(answer)


def create(settings: Settings) -> LedgerClient:
    """Return the ledger client of an entry."""
    return LedgerClient(settings)
