"""An in-memory disk that loses unsynced data and can fail at any sync."""

import asyncio
import errno
import random
from collections.abc import Callable

from fuchsiacroft.control.folder import Folder


class PowerLossError(Exception):
    """The machine lost power during an operation."""


class MemoryFile:
    """The content of one file as written and as last synced."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.synced = b""

    def after_crash(self, rng: random.Random) -> "MemoryFile":
        """Return a possible content of the file after a power loss.

        Synced data remains. Of appended data a random prefix remains, sometimes with
        a corrupt byte. If synced data was truncated, the file has either its synced or
        its current content.
        """
        survivor = MemoryFile()
        if self.data[: len(self.synced)] == self.synced:
            tail = self.data[len(self.synced) :]
            kept = tail[: rng.randint(0, len(tail))]
            if kept and rng.random() < 0.3:
                kept[rng.randrange(len(kept))] ^= 0xFF
            survivor.data = bytearray(self.synced) + kept
        else:
            survivor.data = bytearray(rng.choice((self.synced, bytes(self.data))))
        survivor.synced = bytes(survivor.data)
        return survivor


class MemoryDisk:
    """A disk whose files outlive the process; a power loss may lose unsynced changes.

    `files` are the current files, `durable` those of the last folder sync. Just before
    or after the sync numbered `lose_power_at`, the power is lost. With
    `refuses_changes`, there is no room for any change, a shorter file included; what an
    append leaves of its data is `torn_bytes` long.
    """

    def __init__(self, seed: int = 0, latency: float = 0.001) -> None:
        self.random = random.Random(seed)
        self.latency = latency
        self.files: dict[str, MemoryFile] = {}
        self.durable: dict[str, MemoryFile] = {}
        self.free_bytes: int | None = None
        self.refuses_changes = False
        self.torn_bytes = 0
        self.syncs = 0
        self.lose_power_at: int | None = None
        self.on_power_loss: Callable[[], None] = lambda: None

    def check_room(self) -> None:
        """Raise the error of a disk that refuses every change."""
        if self.refuses_changes:
            raise OSError(errno.ENOSPC, "no space left on device")

    def lose_unsynced_data(self) -> None:
        """Apply a power loss, which may lose whatever was not synced.

        Each name that was created, renamed or removed since the last folder sync is as
        it was then or as it is now, whatever becomes of the others.
        """
        survivors: dict[str, MemoryFile] = {}
        for name in {**self.durable, **self.files}:
            names = self.random.choice((self.files, self.durable))
            if name in names:
                survivors[name] = names[name].after_crash(self.random)
        self.files = survivors
        self.durable = dict(survivors)

    def copy(self) -> "MemoryDisk":
        """Return a copy of the current state of the disk."""
        clone = MemoryDisk(self.random.randrange(1 << 30), self.latency)
        for name, file in self.files.items():
            clone.files[name] = MemoryFile()
            clone.files[name].data = bytearray(file.data)
            clone.files[name].synced = bytes(file.synced)
        clone.durable = dict(clone.files)
        return clone


class MemoryFolder(Folder):
    """A folder on a `MemoryDisk`, as one process sees it.

    Operations passed to `run` never return once the folder is closed or the power lost.
    """

    def __init__(self, disk: MemoryDisk) -> None:
        self.disk = disk
        self.is_closed = False

    async def run(self, func):
        await asyncio.sleep(self.disk.latency / 2)
        if self.is_closed:
            await asyncio.Event().wait()
        try:
            result = func()
        except PowerLossError:
            asyncio.get_running_loop().call_soon(self.disk.on_power_loss)
            await asyncio.Event().wait()
        await asyncio.sleep(self.disk.latency / 2)
        if self.is_closed:
            await asyncio.Event().wait()
        return result

    def list_files(self) -> list[str]:
        return sorted(self.disk.files)

    def read(self, name: str) -> bytes:
        return bytes(self.disk.files[name].data)

    def append(self, name: str, data: bytes) -> None:
        file = self.disk.files.setdefault(name, MemoryFile())
        if self.disk.refuses_changes:
            file.data += data[: self.disk.torn_bytes]
        self.disk.check_room()
        free = self.disk.free_bytes
        if free is not None:
            file.data += data[:free]
            self.disk.free_bytes = max(free - len(data), 0)
            if len(data) > free:
                raise OSError(errno.ENOSPC, "no space left on device")
            return
        file.data += data

    def truncate(self, name: str, size: int) -> None:
        self.disk.check_room()
        file = self.disk.files[name]
        if self.disk.free_bytes is not None:
            self.disk.free_bytes += len(file.data) - size
        del file.data[size:]

    def sync(self, name: str) -> None:
        self.disk.check_room()
        file = self.disk.files[name]
        self._count()
        file.synced = bytes(file.data)
        self._count()

    def rename(self, name: str, target: str) -> None:
        self.disk.check_room()
        self.disk.files = dict(self.disk.files)
        self.disk.files[target] = self.disk.files.pop(name)

    def remove(self, name: str) -> None:
        self.disk.check_room()
        self.disk.files = dict(self.disk.files)
        file = self.disk.files.pop(name, None)
        if file is not None and self.disk.free_bytes is not None:
            self.disk.free_bytes += len(file.data)

    def sync_folder(self) -> None:
        self.disk.check_room()
        self._count()
        self.disk.durable = dict(self.disk.files)
        self._count()

    def close(self) -> None:
        self.is_closed = True

    def _count(self) -> None:
        """Count a point before or after a sync, and lose power at the chosen one."""
        self.disk.syncs += 1
        if self.disk.lose_power_at == self.disk.syncs:
            self.disk.lose_power_at = None
            self.is_closed = True
            self.disk.lose_unsynced_data()
            raise PowerLossError
