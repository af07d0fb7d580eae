"""Handles the entries' ledger messages through the replicated log."""

import asyncio

import msgspec
from expression import Result

from fuchsiacroft.control.ledger import (
    AdvanceClock,
    ClaimKey,
    KeyStatus,
    LedgerState,
    ReleaseKey,
    SettleKey,
)
from fuchsiacroft.control.log import ProposeError, ReplicatedLog
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.transport import codec
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.tasks import BackgroundTasks

PROPOSE_TIMEOUT_S = 1.5
CLOCK_PERIOD_S = 5.0


@codec.message("ledger.look_up")
class LookUpKey(msgspec.Struct, frozen=True):
    """Look up the state of a key without claiming it."""

    key: bytes
    fingerprint: bytes


@codec.message("ledger.unavailable")
class LedgerUnavailable(msgspec.Struct, frozen=True):
    """The ledger is unavailable; `reason` shows whether the command may be applied."""

    reason: ProposeError


class LedgerService(Service):
    """The ledger service of one control member."""

    name = "ledger"

    def __init__(self, state: LedgerState) -> None:
        self._state = state
        self._tasks = BackgroundTasks("ledger")

    async def start(self, kernel: Kernel) -> None:
        """Register the message handlers and start the ledger's clock."""
        self._log = kernel.get("log", ReplicatedLog)
        bus = kernel.get("bus", Bus)
        for kind in (ClaimKey, SettleKey, ReleaseKey):
            bus.register_handler(kind, self._on_command)
        bus.register_handler(LookUpKey, self._on_look_up)
        self._tasks.spawn_critical(self._advance_clock_forever(), "ledger-clock")

    async def stop(self) -> None:
        """Stop the clock."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the ledger's sizes and its clock."""
        return {
            "keys": len(self._state),
            "stored_bytes": self._state.stored_bytes,
            "clock_s": round(self._state.clock, 1),
        }

    async def _on_command(self, sender: str, command) -> msgspec.Struct:
        match await self._log.propose(command, PROPOSE_TIMEOUT_S):
            case Result(tag="ok", ok=applied):
                return applied.result
            case Result(error=reason):
                return LedgerUnavailable(reason)

    async def _on_look_up(self, sender: str, msg: LookUpKey) -> msgspec.Struct:
        match await self._log.read_barrier(PROPOSE_TIMEOUT_S):
            case Result(tag="ok"):
                return self._look_up(msg)
            case Result(error=reason):
                return LedgerUnavailable(reason)

    def _look_up(self, msg: LookUpKey) -> KeyStatus:
        return self._state.look_up(msg.key, msg.fingerprint)

    async def _advance_clock_forever(self) -> None:
        last_advanced_at: float | None = None
        while True:
            await asyncio.sleep(CLOCK_PERIOD_S)
            if not self._log.is_leader or not len(self._state):
                last_advanced_at = now() if self._log.is_leader else None
                continue
            elapsed = 0.0 if last_advanced_at is None else now() - last_advanced_at
            last_advanced_at = now()
            await self._log.propose(AdvanceClock(elapsed), PROPOSE_TIMEOUT_S)


def create(state: LedgerState) -> LedgerService:
    """Return the ledger service over its replicated state."""
    return LedgerService(state)
