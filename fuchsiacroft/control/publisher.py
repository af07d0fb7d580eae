"""Publishes versions through the replicated log and serves them to entries."""

import asyncio
import enum
import zlib

import msgspec
from expression import Error, Ok, Result

from fuchsiacroft.config.published_feed import FetchPublishedUpdate, PublishedUpdate
from fuchsiacroft.control.log import ProposeError, ReplicatedLog
from fuchsiacroft.control.published import Publish, PublishedState, PublishOutcome
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.transport.codec import MAX_ENTRY_BYTES
from fuchsiacroft.utils.clock import lease_now, now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import BackgroundTasks

CONFIRM_PERIOD_S = 0.5
"""Period of the read barriers that confirm that this member is up to date."""
CONFIRMATION_TTL_S = 2.0
"""A successful read barrier confirms this member for that long.

This is several periods, and less than a few seconds.
"""
MAX_FETCH_WAIT_S = 5.0
COMPRESSION_LEVEL = 3


class ReadError(enum.Enum):
    """Why no version is returned."""

    NO_QUORUM = "unsure"
    NOTHING_PUBLISHED = "nothing_published"


class PublishError(enum.Enum):
    """Why a version is not published whenever it is sent again.

    `TOO_LARGE`: no message between processes can carry it, even compressed.
    """

    TOO_LARGE = "too_large"


class Published(msgspec.Struct, frozen=True):
    """A version and its body."""

    version: int
    body: bytes


class Publisher(Service):
    """The publisher service of a control member."""

    name = "publisher"

    def __init__(self, state: PublishedState) -> None:
        self._state = state
        self._changed = asyncio.Event()
        self._confirmed_at: float | None = None
        self._version = state.version
        self._tasks = BackgroundTasks("publisher")
        state.on_change(self._on_change)

    async def start(self, kernel: Kernel) -> None:
        """Register the request handler and start the confirmation task."""
        self._log = kernel.get("log", ReplicatedLog)
        bus = kernel.get("bus", Bus)
        bus.register_handler(FetchPublishedUpdate, self._on_fetch)
        self._tasks.spawn_critical(self._confirm_forever(), "publisher-confirm")

    async def stop(self) -> None:
        """Stop the background task."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the current version, its size, and whether it is confirmed."""
        return {
            "version": self._state.version,
            "compressed_bytes": len(self._state.body),
            "confirmed": self.is_confirmed,
        }

    @property
    def is_confirmed(self) -> bool:
        """Return whether a read barrier succeeded within `CONFIRMATION_TTL_S`."""
        at = self._confirmed_at
        return at is not None and lease_now() - at < CONFIRMATION_TTL_S

    async def publish(
        self, version: int, body: bytes, timeout_s: float
    ) -> Result[PublishOutcome, ProposeError | PublishError]:
        """Publish a version; on success, the returned version is durable on a majority.

        A version that is not higher than the current one is not committed. The
        timeout covers the read barrier and the proposal together.
        """
        started_at = now()
        barrier = await self._log.read_barrier(timeout_s)
        if barrier.is_error():
            return Error(barrier.error)
        if version <= self._state.version:
            return Ok(PublishOutcome(self._state.version, False))
        command = Publish(version, zlib.compress(body, COMPRESSION_LEVEL))
        if len(command.body) > MAX_ENTRY_BYTES:
            return Error(PublishError.TOO_LARGE)
        remaining_s = max(timeout_s - (now() - started_at), 0.0)
        match await self._log.propose(command, remaining_s):
            case Result(tag="ok", ok=applied):
                return Ok(applied.result)
            case Result(error=reason):
                return Error(reason)

    async def read(self, timeout_s: float) -> Result[Published, ReadError]:
        """Return the newest version, or an error if it cannot be confirmed."""
        if (await self._log.read_barrier(timeout_s)).is_error():
            return Error(ReadError.NO_QUORUM)
        if not self._state.version:
            return Error(ReadError.NOTHING_PUBLISHED)
        return Ok(Published(self._state.version, zlib.decompress(self._state.body)))

    async def _confirm_forever(self) -> None:
        while True:
            requested_at = lease_now()
            if (await self._log.read_barrier(CONFIRM_PERIOD_S)).is_ok():
                self._confirmed_at = requested_at
            await asyncio.sleep(CONFIRM_PERIOD_S)

    async def _on_fetch(
        self, sender: str, msg: FetchPublishedUpdate
    ) -> PublishedUpdate:
        if msg.version >= self._state.version and msg.wait_s > 0:
            changed = self._changed
            try:
                async with asyncio.timeout(min(msg.wait_s, MAX_FETCH_WAIT_S)):
                    await changed.wait()
            except TimeoutError:
                pass  # Reply that there is no new version.
        body = self._state.body if self._state.version > msg.version else b""
        return PublishedUpdate(self._state.version, body, self.is_confirmed)

    def _on_change(self) -> None:
        if self._state.version < self._version:
            # This member joins the group anew and may lack later versions.
            self._confirmed_at = None
        else:
            event("info", "version_committed", version=self._state.version)
        self._version = self._state.version
        self._changed.set()
        self._changed = asyncio.Event()


def create(state: PublishedState) -> Publisher:
    """Return the publisher of a control member."""
    return Publisher(state)
