"""Tests of durable storage on a disk that is full for a time."""

import asyncio
import errno
from unittest import mock

from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.control.storage_tests import (
    entries,
    open_storage,
    reopen,
    snapshot,
)
from fuchsiacroft.tests.fakes.folder import MemoryDisk, MemoryFolder


class FullDiskTests(PausedTestCase):
    """A disk that refuses every change for a time, and has room again."""

    def test_a_write_follows_the_rest_of_one_that_could_not_be_removed(self):
        async def scenario():
            for torn in (0, 1, 30, 60):
                disk = MemoryDisk()
                storage, _ = await open_storage(disk)
                for last in (2, 4):
                    storage.append(entries(last - 1, last))
                    disk.refuses_changes, disk.torn_bytes = True, torn
                    waiting = asyncio.ensure_future(storage.sync())
                    await asyncio.sleep(2.5)
                    self.assertTrue(storage.is_full)
                    disk.refuses_changes = False
                    await asyncio.wait_for(waiting, 3)
                await storage.close()
                with self.subTest(torn):
                    self.assertEqual(entries(1, 4), (await reopen(disk)).entries)

        self.run_paused(scenario())

    def test_a_start_on_a_full_disk_ends_the_process(self):
        async def scenario():
            for has_data in (False, True):
                disk = MemoryDisk()
                storage, _ = await open_storage(disk)
                if has_data:
                    storage.append(entries(1, 2))
                    await storage.sync()
                    name = max(n for n in disk.files if n.startswith("log-"))
                    disk.files[name].data += b"torn"
                else:
                    disk.files.clear()
                await storage.close()
                disk.refuses_changes = True
                opening = asyncio.ensure_future(open_storage(disk))
                await asyncio.sleep(2.5)
                self.assertFalse(opening.done())
                disk.refuses_changes = False
                storage, state = await asyncio.wait_for(opening, 3)
                self.assertEqual(entries(1, 2) if has_data else [], state.entries)
                storage.append(entries(3, 3) if has_data else entries(1, 1))
                await storage.sync()
                await storage.close()

        self.run_paused(scenario())

    def test_erasing_a_full_disk_ends_the_process(self):
        async def scenario():
            disk = MemoryDisk()
            storage, before = await open_storage(disk)
            storage.append(entries(1, 2))
            await storage.sync()
            disk.refuses_changes = True
            erasing = asyncio.ensure_future(storage.discard())
            await asyncio.sleep(2.5)
            self.assertFalse(erasing.done())
            disk.refuses_changes = False
            await asyncio.wait_for(erasing, 3)
            after = await storage.open()
            self.assertNotEqual(before.identity.identity, after.identity.identity)
            await storage.close()

        self.run_paused(scenario())

    def test_files_that_can_not_be_removed_fail_a_snapshot(self):
        async def scenario():
            disk = MemoryDisk()
            storage, _ = await open_storage(disk)
            storage.append(entries(1, 4))
            await storage.sync()
            await storage.save_snapshot(snapshot(2))
            folder = storage._folder
            with mock.patch.object(folder, "remove", refuse_removal(folder)):
                saved = await storage.save_snapshot(snapshot(4))
            self.assertTrue(saved.is_ok())
            await storage.close()
            self.assertEqual(4, (await reopen(disk)).snapshot.index)

        self.run_paused(scenario())


def refuse_removal(folder: MemoryFolder):
    """Return a removal that fails for files which exist."""

    def remove(name: str) -> None:
        if name in folder.disk.files:
            raise OSError(errno.ENOSPC, "no space left on device")

    return remove
