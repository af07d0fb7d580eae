"""The folder with a member's durable files, behind an interface."""

import asyncio
import fcntl
import os
from abc import ABC, abstractmethod
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TypeVar

from fuchsiacroft.exceptions import InvariantError

T = TypeVar("T")

LOCK_FILE = "lock"
WRITER_THREADS = 2


class Folder(ABC):
    """A flat folder of files whose content is durable only after a sync.

    Methods block and raise `OSError`; use `run` to call them off the event loop.
    """

    @abstractmethod
    async def run(self, func: Callable[[], T]) -> T:
        """Run a blocking function without blocking the event loop."""

    @abstractmethod
    def list_files(self) -> list[str]:
        """Return the names of the files, sorted."""

    @abstractmethod
    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""

    @abstractmethod
    def append(self, name: str, data: bytes) -> None:
        """Append to a file, creating it if it does not exist."""

    @abstractmethod
    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to `size` bytes."""

    @abstractmethod
    def sync(self, name: str) -> None:
        """Make the content of a file durable."""

    @abstractmethod
    def rename(self, name: str, target: str) -> None:
        """Rename a file, replacing any file of the target name."""

    @abstractmethod
    def remove(self, name: str) -> None:
        """Delete a file if it exists."""

    @abstractmethod
    def sync_folder(self) -> None:
        """Make creations, renames and deletions durable."""

    @abstractmethod
    def close(self) -> None:
        """Close all files."""


class DiskFolder(Folder):
    """A folder on disk, locked for exclusive use by this process."""

    def __init__(self, path: Path, lock: bool = True) -> None:
        self._path = path
        self._files: dict[str, int] = {}
        self._executor = ThreadPoolExecutor(WRITER_THREADS, "storage")
        self._lock = self._acquire_lock() if lock else None

    async def run(self, func: Callable[[], T]) -> T:
        """Run a function in a writer thread."""
        return await asyncio.get_running_loop().run_in_executor(self._executor, func)

    def list_files(self) -> list[str]:
        """Return the names of the files, sorted."""
        found = (path.name for path in self._path.iterdir() if path.is_file())
        return sorted(name for name in found if name != LOCK_FILE)

    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""
        return (self._path / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, creating it if it does not exist."""
        view = memoryview(data)
        while view:
            view = view[os.write(self._open(name), view) :]

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to `size` bytes."""
        os.ftruncate(self._open(name), size)

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        os.fdatasync(self._open(name))

    def rename(self, name: str, target: str) -> None:
        """Rename a file, replacing any file of the target name."""
        self._close(name)
        self._close(target)
        (self._path / name).replace(self._path / target)

    def remove(self, name: str) -> None:
        """Delete a file if it exists."""
        self._close(name)
        (self._path / name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        """Make creations, renames and deletions durable."""
        sync_folder(self._path)

    def close(self) -> None:
        """Close all files and release the lock."""
        self._executor.shutdown(wait=True)
        for name in list(self._files):
            self._close(name)
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None

    def _open(self, name: str) -> int:
        handle = self._files.get(name)
        if handle is None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            handle = os.open(self._path / name, flags, 0o600)
            self._files[name] = handle
        return handle

    def _close(self, name: str) -> None:
        handle = self._files.pop(name, None)
        if handle is not None:
            os.close(handle)

    def _acquire_lock(self) -> int:
        create_folder(self._path)
        handle = os.open(self._path / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as exc:
            os.close(handle)
            raise InvariantError(f"another process uses {self._path}") from exc
        return handle


def create_folder(path: Path) -> None:
    """Create a folder and its parents; a power loss doesn't remove them again."""
    if path.is_dir():
        return
    create_folder(path.parent)
    path.mkdir(mode=0o700, exist_ok=True)
    sync_folder(path.parent)


def sync_folder(path: Path) -> None:
    """Make the names in a folder durable."""
    handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
