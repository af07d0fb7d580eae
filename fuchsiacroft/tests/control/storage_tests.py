"""Tests of durable storage."""

import asyncio
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from fuchsiacroft.control import records, segments
from fuchsiacroft.control.records import (
    Configuration,
    Entry,
    GroupMember,
    Position,
    Snapshot,
)
from fuchsiacroft.control.storage import Storage, create
from fuchsiacroft.exceptions import InvariantError
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.folder import MemoryDisk, MemoryFolder

CONFIGURATION = Configuration("g", (GroupMember("id", "node", "1.1.1.1:1", True),))


def entries(first: int, last: int, term: int = 1) -> list[Entry]:
    return [Entry(i, term, "kind", b"x" * 20) for i in range(first, last + 1)]


def snapshot(index: int, term: int = 1) -> Snapshot:
    return Snapshot(index, term, 1, CONFIGURATION, {"list": b"state"})


async def open_storage(disk: MemoryDisk):
    storage = Storage(MemoryFolder(disk), "node", "boot")
    return storage, await storage.open()


async def reopen(disk: MemoryDisk):
    storage, state = await open_storage(disk)
    await storage.close()
    return state


class StorageTests(PausedTestCase):
    """Synced data is recovered; damaged files are rejected."""

    def test_all_synced_data_is_recovered(self):
        async def scenario():
            disk = MemoryDisk()
            storage, state = await open_storage(disk)
            storage.save_term(3, "candidate")
            storage.append(entries(1, 5, 3))
            await storage.sync()
            await storage.close()
            again = await reopen(disk)
            self.assertEqual(state.identity, again.identity)
            self.assertEqual((3, "candidate"), (again.term, again.vote))
            self.assertEqual(entries(1, 5, 3), again.entries)

        self.run_paused(scenario())

    def test_an_entry_replaces_all_entries_from_its_index_on(self):
        async def scenario():
            disk = MemoryDisk()
            storage, _ = await open_storage(disk)
            storage.append(entries(1, 9))
            await storage.sync()
            storage.append(entries(4, 5, term=2))
            await storage.sync()
            await storage.close()
            state = await reopen(disk)
            self.assertEqual(entries(1, 3) + entries(4, 5, 2), state.entries)

        self.run_paused(scenario())

    def test_concurrent_callers_share_a_sync(self):
        async def scenario():
            disk = MemoryDisk()
            storage, _ = await open_storage(disk)

            async def write(index):
                storage.append(entries(index, index))
                await storage.sync()

            await asyncio.gather(*(write(index) for index in range(1, 101)))
            self.assertLess(storage.dump()["syncs"], 4)

        self.run_paused(scenario())

    def test_a_tail_torn_at_any_byte_is_truncated(self):
        async def scenario():
            disk = MemoryDisk()
            storage, _ = await open_storage(disk)
            storage.append(entries(1, 2))
            await storage.sync()
            name = self.segment(disk)
            synced_size = len(disk.files[name].data)
            storage.append(entries(3, 4))
            await storage.sync()
            for size in range(synced_size, len(disk.files[name].data)):
                image = disk.copy()
                del image.files[name].data[size:]
                storage, state = await open_storage(image)
                self.assertEqual(entries(1, 2), state.entries)
                storage.append(entries(3, 3, term=2))
                await storage.sync()
                await storage.close()
                state = await reopen(image)
                self.assertEqual(entries(1, 2) + entries(3, 3, 2), state.entries)

        self.run_paused(scenario())

    def test_damage_before_the_tail_stops_the_process_and_explains_how_to_rejoin(self):
        async def scenario():
            disk = MemoryDisk()
            storage, _ = await open_storage(disk)
            for index in range(1, 4):
                storage.append(entries(index, index))
                await storage.sync()
            name = self.segment(disk)
            length = len(disk.files[name].data)
            for offset in range(length // 2):
                image = disk.copy()
                image.files[name].data[offset] ^= 0x10
                with self.assertRaisesRegex(InvariantError, name + ".*rejoins"):
                    await open_storage(image)

        self.run_paused(scenario())

    def test_a_missing_segment_stops_the_process(self):
        async def scenario():
            disk = MemoryDisk()
            with mock.patch.object(segments, "MAX_SEGMENT_BYTES", 100):
                storage, _ = await open_storage(disk)
                for index in range(1, 6):
                    storage.append(entries(index, index + 1))
                    await storage.sync()
                    storage.save_term(index, "candidate" * 20)
                    await storage.sync()
            names = [name for name in disk.files if name.startswith("log-")]
            self.assertGreater(len(names), 4)
            for missing in range(len(names) - 1):
                image = disk.copy()
                del image.files[names[missing]]
                with self.assertRaisesRegex(InvariantError, "rejoins"):
                    await open_storage(image)

        self.run_paused(scenario())

    def test_a_torn_header_is_truncated(self):
        async def scenario():
            disk = MemoryDisk()
            storage, _ = await open_storage(disk)
            storage.append(entries(1, 1))
            await storage.sync()
            name = self.segment(disk)
            for offset in range(records.HEADER_BYTES):
                image = disk.copy()
                torn = image.files[name].data
                torn[offset] ^= 0xFF
                del torn[-1]
                state = await reopen(image)
                self.assertEqual([], state.entries)

        self.run_paused(scenario())

    def test_a_new_segment_torn_at_any_byte_is_rewritten(self):
        async def scenario():
            disk = MemoryDisk()
            storage, _ = await open_storage(disk)
            storage.append(entries(1, 2))
            await storage.sync()
            await storage.close()
            known = set(disk.files)
            storage, _ = await open_storage(disk)
            storage.append(entries(3, 3))
            await storage.sync()
            [name] = set(disk.files) - known
            for size in range(len(disk.files[name].data)):
                image = disk.copy()
                del image.files[name].data[size:]
                for index in (3, 4):
                    storage, state = await open_storage(image)
                    self.assertEqual(entries(1, index - 1), state.entries)
                    storage.append(entries(index, index))
                    await storage.sync()
                    await storage.close()
                state = await reopen(image)
                self.assertEqual(entries(1, 4), state.entries)

        self.run_paused(scenario())

    def test_another_format_version_is_rejected(self):
        async def scenario():
            disk = MemoryDisk()
            storage, _ = await open_storage(disk)
            with mock.patch.object(records, "FORMAT_VERSION", 99):
                storage.append(entries(1, 1))
                await storage.sync()
            with self.assertRaisesRegex(InvariantError, "format version 99"):
                await open_storage(disk)

        self.run_paused(scenario())

    def test_acknowledged_data_survives_a_power_loss_at_every_sync(self):
        with mock.patch.object(segments, "MAX_SEGMENT_BYTES", 400):
            points = self.run_paused(self.write_until_power_loss(None))
            self.assertGreater(points, 40)
            for point in range(1, points + 1):
                with self.subTest(point=point):
                    self.run_paused(self.write_until_power_loss(point))

    async def write_until_power_loss(self, point: int | None) -> int:
        """Write until the power loss, check the recovered state, return the syncs."""
        disk = MemoryDisk(seed=point or 0)
        disk.lose_power_at = point
        acknowledged = []

        async def work():
            storage, _ = await open_storage(disk)
            for index in range(1, 16):
                storage.save_term(index, "id")
                storage.append(entries(index, index, index))
                await storage.sync()
                acknowledged.append(index)
                if index % 5 == 0:
                    await storage.save_snapshot(snapshot(index, index))

        task = asyncio.ensure_future(work())
        await asyncio.wait([task], timeout=5)
        self.assertEqual(point is None, task.done())
        task.cancel()
        state = await reopen(disk)
        count = len(acknowledged)
        base = state.snapshot.index if state.snapshot else 0
        found = [entry.index for entry in state.entries]
        self.assertIn(found, (list(range(base + 1, n + 1)) for n in (count, count + 1)))
        self.assertIn(state.term, (count, count + 1))
        return disk.syncs

    def test_a_power_loss_while_a_snapshot_resets_the_log(self):
        async def scenario(point):
            disk = MemoryDisk(seed=point)
            storage, _ = await open_storage(disk)
            storage.append(entries(1, 12))
            await storage.sync()
            disk.lose_power_at = disk.syncs + point
            task = asyncio.ensure_future(
                storage.save_snapshot(snapshot(10, term=2), reset=True)
            )
            await asyncio.wait([task], timeout=5)
            done = task.done()
            task.cancel()
            state = await reopen(disk)
            if state.snapshot is None:
                self.assertFalse(done)
                self.assertEqual(entries(1, 12), state.entries)
            else:
                self.assertEqual([], state.entries)
                self.assertEqual(Position(10, 2), state.base)
            return done

        done = [self.run_paused(scenario(point)) for point in range(1, 10)]
        self.assertEqual({True, False}, set(done))

    def test_entries_after_an_installed_snapshot_follow_it(self):
        async def scenario():
            disk = MemoryDisk()
            storage, _ = await open_storage(disk)
            storage.append(entries(1, 12))
            await storage.sync()
            await storage.save_snapshot(snapshot(10, term=2), reset=True)
            storage.append(entries(11, 11, term=2))
            await storage.sync()
            await storage.close()
            state = await reopen(disk)
            self.assertEqual(entries(11, 11, 2), state.entries)

        self.run_paused(scenario())

    def test_a_full_disk_acknowledges_no_writes_and_loses_no_data(self):
        async def scenario():
            for free in range(0, 90, 7):
                disk = MemoryDisk()
                storage, _ = await open_storage(disk)
                storage.append(entries(1, 2))
                await storage.sync()
                disk.free_bytes = free
                storage.append(entries(3, 4))
                waiting = asyncio.ensure_future(storage.sync())
                await asyncio.sleep(3)
                self.assertFalse(waiting.done())
                self.assertTrue(storage.is_full)
                state = await reopen(disk.copy())
                self.assertEqual(entries(1, 2), state.entries)
                disk.free_bytes = None
                await asyncio.wait_for(waiting, 3)
                self.assertFalse(storage.is_full)
                await storage.close()
                state = await reopen(disk)
                self.assertEqual(entries(1, 4), state.entries)

        self.run_paused(scenario())

    def test_a_snapshot_on_a_full_disk_fails_and_the_log_is_kept(self):
        async def scenario():
            disk = MemoryDisk()
            storage, _ = await open_storage(disk)
            storage.append(entries(1, 4))
            await storage.sync()
            disk.free_bytes = 30
            saved = await storage.save_snapshot(snapshot(4))
            self.assertTrue(saved.is_error())
            await storage.close()
            state = await reopen(disk)
            self.assertEqual(entries(1, 4), state.entries)
            self.assertIsNone(state.snapshot)

        self.run_paused(scenario())

    def test_discarding_the_disk_acknowledges_no_pending_sync(self):
        """Guards against an acknowledgement of data that the discard erases.

        A sync still waits, and a write is in progress, when the disk is discarded.
        """

        async def scenario():
            disk = MemoryDisk()
            storage, before = await open_storage(disk)
            disk.latency = 0.5
            storage.append(entries(1, 5))
            sync = asyncio.ensure_future(storage.sync())
            await asyncio.sleep(0.3)
            await storage.discard()
            self.assertTrue(sync.cancelled())
            self.assertEqual([], MemoryFolder(disk).list_files())
            after = await storage.open()
            self.assertNotEqual(before.identity.identity, after.identity.identity)
            self.assertEqual([], after.entries)
            storage.append(entries(1, 2))
            await storage.sync()
            await storage.close()
            self.assertEqual(entries(1, 2), (await reopen(disk)).entries)

        self.run_paused(scenario())

    def test_a_power_loss_while_the_disk_is_discarded_leaves_a_part_of_it(self):
        """Each removed file may come back on its own."""

        async def scenario(seed):
            disk = MemoryDisk(seed)
            storage, before = await open_storage(disk)
            storage.append(entries(1, 4))
            await storage.sync()
            await storage.save_snapshot(snapshot(2))
            disk.lose_power_at = disk.syncs + 1 + seed % 8
            discarding = asyncio.ensure_future(storage.discard())
            await asyncio.wait((discarding,), timeout=1.0)
            discarding.cancel()
            disk.lose_power_at = None
            after = await reopen(disk)
            if after.identity.identity == before.identity.identity:
                self.assertEqual(entries(3, 4), after.entries)
            else:
                self.assertEqual([], after.entries)
                self.assertIsNone(after.snapshot)

        for seed in range(64):
            with self.subTest(seed=seed):
                self.run_paused(scenario(seed))

    def test_a_damaged_snapshot_stops_the_process(self):
        async def scenario():
            disk = MemoryDisk()
            storage, _ = await open_storage(disk)
            storage.append(entries(1, 4))
            await storage.sync()
            await storage.save_snapshot(snapshot(4))
            name = next(name for name in disk.files if name.startswith("snapshot-"))
            disk.files[name].data[-1] ^= 1
            with self.assertRaisesRegex(InvariantError, name):
                await open_storage(disk)

        self.run_paused(scenario())

    def segment(self, disk: MemoryDisk) -> str:
        """Return the name of the last log segment."""
        return max(name for name in disk.files if name.startswith("log-"))


class DiskTests(unittest.IsolatedAsyncioTestCase):
    """Storage on a real disk."""

    async def test_a_folder_is_recovered_and_locked(self):
        with tempfile.TemporaryDirectory() as path:
            storage = create(Path(path) / "data", "node")
            await storage.open()
            storage.append(entries(1, 3))
            await storage.sync()
            await storage.save_snapshot(snapshot(2))
            with self.assertRaisesRegex(InvariantError, "another process"):
                create(Path(path) / "data", "node")
            await storage.close()
            storage = create(Path(path) / "data", "node")
            state = await storage.open()
            self.assertEqual(2, state.snapshot.index)
            self.assertEqual(entries(3, 3), state.entries)
            await storage.close()
