"""Durable storage of one member: log segments, snapshots and identity.

Methods that change state queue the change without waiting; `sync` waits until
everything queued is durable. A single writer task writes all queued changes as
one frame with one sync, so that concurrent callers share its cost.
"""

import asyncio
import errno
import secrets
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import TypeVar

import msgspec
from expression import Error, Ok, Result

from fuchsiacroft.control import records
from fuchsiacroft.control.folder import DiskFolder, Folder
from fuchsiacroft.control.records import (
    Batch,
    Entry,
    FileFault,
    HighWaterMark,
    Identity,
    Position,
    Snapshot,
)
from fuchsiacroft.control.recovery import (
    DISCARDED_FILE,
    IDENTITY_FILE,
    REJOIN_ADVICE,
    SNAPSHOT_PREFIX,
    TEMP_SUFFIX,
    Recovered,
    recover,
)
from fuchsiacroft.control.segments import Segments, write_atomically
from fuchsiacroft.exceptions import InvariantError
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import BackgroundTasks

DISK_FULL_RETRY_S = 1.0
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
DISK_FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT)
IDENTITY_BYTES = 8

T = TypeVar("T")


@dataclass(slots=True)
class _Waiter:
    target: int
    fut: asyncio.Future


class Storage:
    """The durable storage of one member."""

    def __init__(self, folder: Folder, node: str, boot: str) -> None:
        self._folder = folder
        self._node = node
        self._boot = boot
        self._identity: Identity | None = None
        self._tasks = BackgroundTasks("storage")
        self._change_queued = asyncio.Event()
        self._entries: list[Entry] = []
        self._reset: Position | None = None
        self._marks: list[HighWaterMark] = []
        self._term = 0
        self._vote = ""
        self._queued_changes = 0
        self._durable_changes = 0
        self._waiters: list[_Waiter] = []
        self._operations: set[asyncio.Future] = set()
        self._segments = Segments(folder)
        self._failure: str | None = None
        self.is_full = False

    async def open(self) -> Recovered:
        """Recover the state, truncate a torn tail, and start the writer task.

        Raises `InvariantError`, which stops the process, if a file is damaged.
        """
        result = await self._run_with_space(self._recover)
        if result.is_error():
            fault = result.error
            location = f"{fault.file} at byte {fault.offset}"
            raise InvariantError(f"{location}: {fault.reason}; {REJOIN_ADVICE}")
        state = result.ok
        if state.identity is None:
            state.identity = await self._run_with_space(self._create_identity)
        self._identity = state.identity
        await self._run_with_space(partial(self._prepare_files, state))
        self._term, self._vote, self._marks = state.term, state.vote, state.marks
        self._tasks.spawn_critical(self._write_forever(), "storage-writer")
        return state

    async def close(self) -> None:
        """Stop writing; queued changes that are not synced may be lost."""
        await self._tasks.cancel()
        for operation in self._operations:
            operation.cancel()
        self._folder.close()

    def save_term(self, term: int, vote: str) -> None:
        """Queue the current term and the vote granted in it."""
        self._term, self._vote = term, vote
        self._queue_change()

    def save_marks(self, marks: list[HighWaterMark]) -> None:
        """Store the members' high-water marks; written with the next change."""
        self._marks = marks

    def append(self, entries: Iterable[Entry]) -> None:
        """Queue entries; one with an existing index replaces that and all after it."""
        self._entries.extend(entries)
        self._queue_change()

    async def sync(self) -> None:
        """Wait until all queued changes are durable.

        Raises `InvariantError` if writing has failed; a full disk only delays it.
        """
        if self._failure is not None:
            raise InvariantError(self._failure)
        if self._durable_changes == self._queued_changes:
            return
        fut = asyncio.get_running_loop().create_future()
        self._waiters.append(_Waiter(self._queued_changes, fut))
        await fut

    async def save_snapshot(
        self, snapshot: Snapshot, reset: bool = False
    ) -> Result[None, str]:
        """Make a snapshot durable, then delete the segments that it covers.

        With `reset` the log is restarted after the snapshot. Returns an error if the
        disk is full; other disk errors are raised.
        """
        data = records.encode(snapshot)
        try:
            await self._run(partial(self._write_snapshot, snapshot.index, data))
        except OSError as exc:
            if exc.errno not in DISK_FULL_ERRORS:
                raise
            event("error", "snapshot_refused_disk_full", index=snapshot.index)
            return Error("full")
        if reset:
            self._entries = []
            self._reset = Position(snapshot.index, snapshot.term)
            self._queue_change()
            await self.sync()
        await self._remove_covered_if_possible(snapshot.index)
        return Ok(None)

    @property
    def is_same_boot(self) -> bool:
        """Return whether the machine has not rebooted since the disk was trusted.

        After a reboot the disk may have been replaced by an older copy.
        """
        return self._identity is not None and self._identity.boot == self._boot

    async def mark_trusted(self) -> Result[None, str]:
        """Record that the disk holds all that was acknowledged under its identity.

        Returns an error if the disk is full.
        """
        identity = msgspec.structs.replace(self._identity, boot=self._boot)
        data = msgspec.json.encode(identity)
        try:
            write = partial(write_atomically, self._folder, IDENTITY_FILE, data)
            await self._run(write)
        except OSError as exc:
            if exc.errno not in DISK_FULL_ERRORS:
                raise
            return Error("full")
        self._identity = identity
        return Ok(None)

    async def read_snapshot(self) -> bytes | None:
        """Return the last snapshot, encoded, or None."""
        return await self._run(self._read_snapshot)

    async def discard(self) -> None:
        """Delete all files, so that the next `open` creates a new identity.

        Callers that wait for a sync are cancelled: their changes are lost.
        """
        await self._tasks.cancel()
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.fut.cancel()
        await asyncio.gather(*self._operations, return_exceptions=True)
        await self._run_with_space(self._remove_all)
        self._entries, self._marks, self._reset = [], [], None
        self._durable_changes = self._queued_changes
        self._set_full(False)

    @property
    def failure(self) -> str | None:
        """Return why nothing can be written any longer, or None."""
        return self._failure

    def dump(self) -> dict:
        """Return counters of the files and syncs."""
        return {
            "term": self._term,
            "vote": self._vote,
            "segments": len(self._segments),
            "frames": self._segments.sequence,
            "syncs": self._segments.syncs,
            "queued": self._queued_changes - self._durable_changes,
            "full": self.is_full,
            "failure": self._failure,
        }

    async def _run(self, func: Callable[[], T]) -> T:
        """Run a blocking operation, which ends even if its caller is cancelled."""
        operation = asyncio.ensure_future(self._folder.run(func))
        self._operations.add(operation)
        operation.add_done_callback(self._operations.discard)
        return await asyncio.shield(operation)

    async def _run_with_space(self, func: Callable[[], T]) -> T:
        """Run a blocking operation again and again while the disk is full.

        An operation that has failed must be able to start from the beginning.
        """
        while True:
            try:
                result = await self._run(func)
            except OSError as exc:
                if exc.errno not in DISK_FULL_ERRORS:
                    raise
            else:
                self._set_full(False)
                return result
            self._set_full(True)
            await asyncio.sleep(DISK_FULL_RETRY_S)

    async def _remove_covered_if_possible(self, index: int) -> None:
        """Remove what a snapshot covers; what stays is removed with the next one."""
        try:
            await self._run(partial(self._remove_covered, index))
        except OSError as exc:
            if exc.errno not in DISK_FULL_ERRORS:
                raise
            event("warning", "files_not_removed_disk_full", index=index)

    def _queue_change(self) -> None:
        self._queued_changes += 1
        self._change_queued.set()

    async def _write_forever(self) -> None:
        while True:
            await self._change_queued.wait()
            self._change_queued.clear()
            target = self._queued_changes
            payload, last_index = self._take_batch()
            while not await self._try_write(payload, last_index):
                await asyncio.sleep(DISK_FULL_RETRY_S)
            self._durable_changes = target
            self._complete_waiters()

    def _take_batch(self) -> tuple[bytes, int]:
        batch = Batch(self._term, self._vote, self._entries, self._reset, self._marks)
        last_index = max((entry.index for entry in self._entries), default=0)
        self._entries = []
        self._reset = None
        return records.encode(batch), last_index

    async def _try_write(self, payload: bytes, last_index: int) -> bool:
        try:
            await self._run(partial(self._segments.write, payload, last_index))
        except OSError as exc:
            if exc.errno in DISK_FULL_ERRORS:
                self._set_full(True)
                return False
            self._fail(exc)
            raise
        self._set_full(False)
        return True

    def _set_full(self, full: bool) -> None:
        if full and not self.is_full:
            event("error", "disk_full", full=True)
        elif self.is_full and not full:
            event("info", "disk_full", full=False)
        self.is_full = full

    def _fail(self, exc: OSError) -> None:
        self._failure = f"storage failed: {exc}; {REJOIN_ADVICE}"
        event("critical", "storage_failed", error=repr(exc))
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.fut.done():
                waiter.fut.set_exception(InvariantError(self._failure))

    def _complete_waiters(self) -> None:
        still_waiting = []
        for waiter in self._waiters:
            if waiter.target > self._durable_changes:
                still_waiting.append(waiter)
            elif not waiter.fut.done():
                waiter.fut.set_result(None)
        self._waiters = still_waiting

    # The methods below block and must run off the event loop.

    def _write_snapshot(self, index: int, data: bytes) -> None:
        name = f"{SNAPSHOT_PREFIX}{index:020d}"
        header = records.encode_header(records.SNAPSHOT_MAGIC)
        write_atomically(self._folder, name, header + records.encode_frame(index, data))

    def _read_snapshot(self) -> bytes | None:
        found = [
            name
            for name in self._folder.list_files()
            if name.startswith(SNAPSHOT_PREFIX) and not name.endswith(TEMP_SUFFIX)
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
        write_atomically(self._folder, IDENTITY_FILE, msgspec.json.encode(identity))
        return identity

    def _remove_covered(self, index: int) -> None:
        current = f"{SNAPSHOT_PREFIX}{index:020d}"
        for name in self._folder.list_files():
            if name.startswith(SNAPSHOT_PREFIX) and name < current:
                self._folder.remove(name)
        self._segments.remove_covered(index)

    def _prepare_files(self, state: Recovered) -> None:
        for name in self._folder.list_files():
            if name.endswith(TEMP_SUFFIX):
                self._folder.remove(name)
        self._segments.load(state)

    def _remove_all(self) -> None:
        """Remove all files; once it is begun, no later start uses a part of them."""
        self._mark_discarded()
        for name in self._folder.list_files():
            if name != DISCARDED_FILE:
                self._folder.remove(name)
        self._folder.sync_folder()
        self._folder.remove(DISCARDED_FILE)
        self._folder.sync_folder()

    def _mark_discarded(self) -> None:
        try:
            self._folder.append(DISCARDED_FILE, b"1")
            self._folder.sync(DISCARDED_FILE)
        except OSError as exc:
            # A full disk gets room only by the removal.
            if exc.errno not in DISK_FULL_ERRORS:
                raise
        self._folder.sync_folder()

    def _recover(self) -> Result[Recovered, FileFault]:
        if DISCARDED_FILE in self._folder.list_files():
            self._remove_all()
        return recover(self._folder)


def read_boot_id() -> str:
    """Return the machine's boot id."""
    return BOOT_ID_FILE.read_text(encoding="ascii").strip()


def create(data_folder: str | Path, node: str) -> Storage:
    """Return the storage of a node in a folder on disk, which is locked."""
    return Storage(DiskFolder(Path(data_folder)), node, read_boot_id())
