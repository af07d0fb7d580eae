"""Durable storage of one member: log segments, snapshots and identity.

Changes are queued by methods that do not wait; `sync` waits until all that is
queued is durable. One writer task writes whatever is queued as one frame and
syncs it once, so that concurrent callers share the cost of a sync.
"""

import asyncio
import errno
import secrets
from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import msgspec
from expression import Error, Ok, Result

from fuchsiacroft.control import records
from fuchsiacroft.control.folder import DiskFolder, Folder
from fuchsiacroft.control.records import (
    Batch,
    Entry,
    HighWaterMark,
    Identity,
    Position,
    Snapshot,
)
from fuchsiacroft.control.recovery import (
    ASIDE_SUFFIX,
    IDENTITY_FILE,
    REJOIN_ADVICE,
    SNAPSHOT_PREFIX,
    Recovered,
    recover,
)
from fuchsiacroft.control.segments import Segments, write_aside
from fuchsiacroft.exceptions import InvariantError
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import BackgroundTasks

FULL_RETRY_S = 1.0
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT)
IDENTITY_BYTES = 8


@dataclass(slots=True)
class _Waiter:
    target: int
    fut: asyncio.Future


class Storage:
    """The durable files of one member."""

    def __init__(self, folder: Folder, node: str, boot: str) -> None:
        self._folder = folder
        self._node = node
        self._boot = boot
        self._identity: Identity | None = None
        self._tasks = BackgroundTasks("storage")
        self._wake = asyncio.Event()
        self._entries: list[Entry] = []
        self._reset: Position | None = None
        self._marks: list[HighWaterMark] = []
        self._term = 0
        self._vote = ""
        self._queued = 0
        self._durable = 0
        self._waiters: list[_Waiter] = []
        self._segments = Segments(folder)
        self._failure: str | None = None
        self.is_full = False

    async def open(self) -> Recovered:
        """Read every file, cut a torn tail, and begin to write.

        A damaged file raises `InvariantError`, which stops the process.
        """
        result = await self._folder.run(partial(recover, self._folder))
        if result.is_error():
            fault = result.error
            place = f"{fault.file} at byte {fault.offset}"
            raise InvariantError(f"{place}: {fault.reason}; {REJOIN_ADVICE}")
        state = result.ok
        if state.identity is None:
            state.identity = await self._name_disk()
        self._identity = state.identity
        await self._folder.run(partial(self._clean, state))
        self._term, self._vote, self._marks = state.term, state.vote, state.marks
        self._tasks.spawn_critical(self._write_forever(), "storage-writer")
        return state

    async def close(self) -> None:
        """Stop writing; what is queued and not synced may be lost."""
        await self._tasks.cancel()
        self._folder.close()

    def save_term(self, term: int, vote: str) -> None:
        """Queue the current term and the vote given in it."""
        self._term, self._vote = term, vote
        self._note_change()

    def save_marks(self, marks: list[HighWaterMark]) -> None:
        """Keep the other members' promises; written with the next change."""
        self._marks = marks

    def append(self, entries: Iterable[Entry]) -> None:
        """Queue entries; one whose index is taken replaces it and all after."""
        self._entries.extend(entries)
        self._note_change()

    async def sync(self) -> None:
        """Wait until all that is queued is durable."""
        if self._failure is not None:
            raise InvariantError(self._failure)
        if self._durable == self._queued:
            return
        fut = asyncio.get_running_loop().create_future()
        self._waiters.append(_Waiter(self._queued, fut))
        await fut

    async def save_snapshot(
        self, snapshot: Snapshot, reset: bool = False
    ) -> Result[None, str]:
        """Make a snapshot durable, then delete the segments that it covers.

        With `reset` the log begins again after the snapshot.
        """
        data = records.encode(snapshot)
        try:
            await self._folder.run(partial(self._write_snapshot, snapshot.index, data))
        except OSError as exc:
            if exc.errno not in FULL_ERRORS:
                raise
            event("error", "snapshot_refused_disk_full", index=snapshot.index)
            return Error("full")
        if reset:
            self._entries = []
            self._reset = Position(snapshot.index, snapshot.term)
            self._note_change()
            await self.sync()
        await self._folder.run(partial(self._remove_covered, snapshot.index))
        return Ok(None)

    @property
    def is_same_boot(self) -> bool:
        """Tell whether the machine has run since the disk was last trusted.

        After a restart of the machine the disk may be an older one.
        """
        return self._identity is not None and self._identity.boot == self._boot

    async def trust(self) -> Result[None, str]:
        """Note that the disk holds every promise of its identity."""
        identity = msgspec.structs.replace(self._identity, boot=self._boot)
        data = msgspec.json.encode(identity)
        try:
            write = partial(write_aside, self._folder, IDENTITY_FILE, data)
            await self._folder.run(write)
        except OSError as exc:
            if exc.errno not in FULL_ERRORS:
                raise
            return Error("full")
        self._identity = identity
        return Ok(None)

    async def read_snapshot(self) -> bytes | None:
        """Return the encoded last snapshot, or None."""
        return await self._folder.run(self._read_snapshot)

    async def discard(self) -> None:
        """Delete every file, so that the next open gives a new identity."""
        await self._tasks.cancel()
        await self._folder.run(self._remove_all)
        self._entries, self._marks, self._reset = [], [], None
        self._durable = self._queued
        self._release()

    @property
    def failure(self) -> str | None:
        """Return why nothing can be written any more, or None."""
        return self._failure

    def dump(self) -> dict:
        """Return counters of the files and syncs."""
        return {
            "term": self._term,
            "vote": self._vote,
            "segments": len(self._segments),
            "frames": self._segments.sequence,
            "syncs": self._segments.syncs,
            "queued": self._queued - self._durable,
            "full": self.is_full,
            "failure": self._failure,
        }

    async def _name_disk(self) -> Identity:
        """Write a new identity, once there is space for it."""
        while True:
            try:
                return await self._folder.run(self._create_identity)
            except OSError as exc:
                if exc.errno not in FULL_ERRORS:
                    raise
            event("error", "disk_full", full=True)
            await asyncio.sleep(FULL_RETRY_S)

    def _note_change(self) -> None:
        self._queued += 1
        self._wake.set()

    async def _write_forever(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            target = self._queued
            payload, last_index = self._take()
            while not await self._try_write(payload, last_index):
                await asyncio.sleep(FULL_RETRY_S)
            self._durable = target
            self._release()

    def _take(self) -> tuple[bytes, int]:
        batch = Batch(self._term, self._vote, self._entries, self._reset, self._marks)
        last_index = max((entry.index for entry in self._entries), default=0)
        self._entries = []
        self._reset = None
        return records.encode(batch), last_index

    async def _try_write(self, payload: bytes, last_index: int) -> bool:
        try:
            await self._folder.run(partial(self._segments.write, payload, last_index))
        except OSError as exc:
            if exc.errno in FULL_ERRORS:
                self._note_full(True)
                return False
            self._fail(exc)
            raise
        self._note_full(False)
        return True

    def _note_full(self, full: bool) -> None:
        if full != self.is_full:
            event("error" if full else "info", "disk_full", full=full)
        self.is_full = full

    def _fail(self, exc: OSError) -> None:
        self._failure = f"storage failed: {exc}; {REJOIN_ADVICE}"
        event("critical", "storage_failed", error=repr(exc))
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.fut.done():
                waiter.fut.set_exception(InvariantError(self._failure))

    def _release(self) -> None:
        waiting = []
        for waiter in self._waiters:
            if waiter.target > self._durable:
                waiting.append(waiter)
            elif not waiter.fut.done():
                waiter.fut.set_result(None)
        self._waiters = waiting

    # The methods below block and run off the event loop.

    def _write_snapshot(self, index: int, data: bytes) -> None:
        name = f"{SNAPSHOT_PREFIX}{index:020d}"
        head = records.header(records.SNAPSHOT_MAGIC)
        write_aside(self._folder, name, head + records.encode_frame(index, data))

    def _read_snapshot(self) -> bytes | None:
        found = [
            name
            for name in self._folder.names()
            if name.startswith(SNAPSHOT_PREFIX) and not name.endswith(ASIDE_SUFFIX)
        ]
        if not found:
            return None
        frame = records.read_frame(self._folder.read(found[-1]), records.HEADER_BYTES)
        return frame.payload if frame is not None else None

    def _create_identity(self) -> Identity:
        identity = Identity(
            records.FORMAT_VERSION,
            secrets.token_hex(IDENTITY_BYTES),
            self._node,
            self._boot,
        )
        write_aside(self._folder, IDENTITY_FILE, msgspec.json.encode(identity))
        return identity

    def _remove_covered(self, index: int) -> None:
        current = f"{SNAPSHOT_PREFIX}{index:020d}"
        for name in self._folder.names():
            if name.startswith(SNAPSHOT_PREFIX) and name < current:
                self._folder.remove(name)
        self._segments.remove_covered(index)

    def _clean(self, state: Recovered) -> None:
        for name in self._folder.names():
            if name.endswith(ASIDE_SUFFIX):
                self._folder.remove(name)
        self._segments.adopt(state)

    def _remove_all(self) -> None:
        for name in reversed(self._folder.names()):
            self._folder.remove(name)
        self._folder.sync_folder()


def boot_id() -> str:
    """Return what names this start of the machine."""
    return BOOT_ID_FILE.read_text(encoding="ascii").strip()


def create(data_folder: str | Path, node: str) -> Storage:
    """Return the storage of a node in a folder on disk, which it locks."""
    return Storage(DiskFolder(Path(data_folder)), node, boot_id())
