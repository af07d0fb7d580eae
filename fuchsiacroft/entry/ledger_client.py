"""The client of the idempotency ledger on the control VMs."""

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

REQUEST_TIMEOUT_S = 2.0
MEMBER_TIMEOUT_S = 1.5
HEDGE_DELAY_S = 0.3
UNAVAILABLE_BACKOFF_S = 1.0
RETRY_PAUSE_S = 0.5
RECORD_TIMEOUT_S = 600.0


class LedgerClient(Service):
    """Claims keys before dispatch, and records the outcomes.

    A failed recording is retried for up to `RECORD_TIMEOUT_S`.
    """

    name = "ledger_client"

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._members = [member.peers for member in settings.control]
        self._random = rng
        self._tasks = BackgroundTasks("ledger_client")
        self._recording: set[asyncio.Task] = set()
        self._preferred = ""
        self._unavailable_until = 0.0

    async def start(self, kernel: Kernel) -> None:
        """Look up the bus."""
        self._bus = kernel.get("bus", Bus)

    async def drain(self) -> None:
        """Wait until every outcome is recorded or its recording has timed out."""
        while self._recording:
            await asyncio.wait(self._recording)

    async def stop(self) -> None:
        """Cancel the recording of the remaining outcomes."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return how many outcomes are still being recorded."""
        return {"recording": len(self._recording)}

    async def look_up(
        self, key: LedgerKey
    ) -> Result[KeyStatus, LedgerUnavailable | None]:
        """Return the status of a key; fail fast while the ledger is unavailable."""
        if now() < self._unavailable_until:
            return Error(None)
        result = await self._request(LookUpKey(key.key, key.fingerprint))
        if result.is_error():
            self._unavailable_until = now() + UNAVAILABLE_BACKOFF_S
        return result

    async def claim(
        self, key: LedgerKey, claim: str, lease_s: float
    ) -> Result[KeyStatus, LedgerUnavailable | None]:
        """Claim a key; after an error it is released, as it may have been granted."""
        command = ClaimKey(key.key, key.fingerprint, claim, lease_s, key.dated)
        result = await self._request(command)
        if result.is_error():
            self.release(key, claim)
        return result

    def settle(
        self, key: LedgerKey, claim: str, response: StoredResponse | None
    ) -> None:
        """Record an outcome in the background; without a response it is unknown."""
        self._spawn_record(SettleKey(key.key, claim, response))

    def release(self, key: LedgerKey, claim: str) -> None:
        """Release the claim of an undispatched request, in the background."""
        self._spawn_record(ReleaseKey(key.key, claim))

    def _spawn_record(self, command: msgspec.Struct) -> None:
        task = self._tasks.spawn(self._retry_until_recorded(command))
        self._recording.add(task)
        task.add_done_callback(self._recording.discard)

    async def _retry_until_recorded(self, command: msgspec.Struct) -> None:
        try:
            async with asyncio.timeout(RECORD_TIMEOUT_S):
                while (await self._request(command)).is_error():
                    await asyncio.sleep(RETRY_PAUSE_S)
        except TimeoutError:
            event("error", "ledger_not_recorded", command=type(command).__name__)

    async def _request(
        self, command: msgspec.Struct
    ) -> Result[KeyStatus, LedgerUnavailable | None]:
        """Send a command to the members, `HEDGE_DELAY_S` apart, until one succeeds.

        Commands are idempotent, so several members may receive the same one.
        """
        requests = [
            self._tasks.spawn(self._request_after(i * HEDGE_DELAY_S, peer, command))
            for i, peer in enumerate(self._members_by_preference())
        ]
        unavailable = None
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                for completed in asyncio.as_completed(requests):
                    result = await completed
                    if result.is_ok():
                        return result
                    unavailable = result.error or unavailable
        except TimeoutError:
            pass
        finally:
            for request in requests:
                request.cancel()
        return Error(unavailable)

    async def _request_after(
        self, delay_s: float, peer: str, command: msgspec.Struct
    ) -> Result[KeyStatus, LedgerUnavailable | None]:
        await asyncio.sleep(delay_s)
        return await self._request_member(peer, command)

    async def _request_member(
        self, peer: str, command: msgspec.Struct
    ) -> Result[KeyStatus, LedgerUnavailable | None]:
        match await self._bus.request(peer, command, MEMBER_TIMEOUT_S):
            case Result(tag="ok", ok=KeyStatus() as status):
                self._preferred = peer
                return Ok(status)
            case Result(tag="ok", ok=LedgerUnavailable() as unavailable):
                return Error(unavailable)
        return Error(None)

    def _members_by_preference(self) -> list[str]:
        members = self._random.sample(self._members, len(self._members))
        return sorted(members, key=lambda peer: peer != self._preferred)


def create(settings: Settings, rng: random.Random | None = None) -> LedgerClient:
    """Return the ledger client service."""
    return LedgerClient(settings, rng or random.Random())
