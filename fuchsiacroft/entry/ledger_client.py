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
    StoredResponse,
)
from fuchsiacroft.control.ledger_service import LedgerUnavailable, LookUpKey
from fuchsiacroft.entry.request import LedgerKey
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import BackgroundTasks

FAILOVER_S = 2.0
ANSWER_TIMEOUT_S = 1.5
HEDGE_S = 0.3
DOWN_S = 1.0
RETRY_PAUSE_S = 0.5
RECORD_TIMEOUT_S = 600.0


class LedgerClient(Service):
    """Claims keys before dispatch and records outcomes until it is done."""

    name = "ledger_client"

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._members = [member.peers for member in settings.control]
        self._random = rng
        self._tasks = BackgroundTasks("ledger_client")
        self._recording: set[asyncio.Task] = set()
        self._good = ""
        self._down_until = 0.0

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

    async def look_up(
        self, key: LedgerKey
    ) -> Result[KeyStatus, LedgerUnavailable | None]:
        """Return what is known of a key; fail at once while the ledger is down."""
        if now() < self._down_until:
            return Error(None)
        result = await self._ask(LookUpKey(key.key, key.fingerprint))
        if result.is_error():
            self._down_until = now() + DOWN_S
        return result

    async def claim(
        self, key: LedgerKey, claim: str, lease_s: float
    ) -> Result[KeyStatus, LedgerUnavailable | None]:
        """Claim a key; after an error the claim may stand and is released."""
        command = ClaimKey(key.key, key.fingerprint, claim, lease_s, key.dated)
        result = await self._ask(command)
        if result.is_error():
            self.release(key, claim)
        return result

    def settle(self, key: LedgerKey, claim: str, answer: StoredResponse | None) -> None:
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
        """Ask the members, each `HEDGE_S` after the one before.

        Every command is idempotent, so that several members may get it.
        """
        asks = [
            self._tasks.spawn(self._ask_later(i * HEDGE_S, peer, command))
            for i, peer in enumerate(self._order())
        ]
        answer = None
        try:
            async with asyncio.timeout(FAILOVER_S):
                for done in asyncio.as_completed(asks):
                    result = await done
                    if result.is_ok():
                        return result
                    answer = result.error or answer
        except TimeoutError:
            pass
        finally:
            for ask in asks:
                ask.cancel()
        return Error(answer)

    async def _ask_later(
        self, delay_s: float, peer: str, command: msgspec.Struct
    ) -> Result[KeyStatus, LedgerUnavailable | None]:
        await asyncio.sleep(delay_s)
        return await self._ask_member(peer, command)

    async def _ask_member(
        self, peer: str, command: msgspec.Struct
    ) -> Result[KeyStatus, LedgerUnavailable | None]:
        match await self._bus.request(peer, command, ANSWER_TIMEOUT_S):
            case Result(tag="ok", ok=KeyStatus() as status):
                self._good = peer
                return Ok(status)
            case Result(tag="ok", ok=LedgerUnavailable() as unavailable):
                return Error(unavailable)
        return Error(None)

    def _order(self) -> list[str]:
        members = self._random.sample(self._members, len(self._members))
        return sorted(members, key=lambda peer: peer != self._good)


def create(settings: Settings, rng: random.Random | None = None) -> LedgerClient:
    """Return the ledger client of an entry."""
    return LedgerClient(settings, rng or random.Random())
