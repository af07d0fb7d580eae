"""Tests of the log's batches, each of which must fit into one message."""

from fuchsiacroft.config.delta import MAX_DELTA_BYTES
from fuchsiacroft.control.consensus import timing
from fuchsiacroft.control.consensus.memory_log import MemoryLog
from fuchsiacroft.control.records import Entry
from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.transport import codec


class BatchTests(TestCase):
    """Guards against a batch that can't be sent, which would block the log."""

    def batch(self, *sizes, start=1):
        log = MemoryLog()
        for index, size in enumerate(sizes, 1):
            log.append(Entry(index, 1, "configuration.change", bytes(size)))
        found = log.batch(start, timing.MAX_BATCH_ENTRIES, timing.MAX_BATCH_BYTES)
        return [entry.index for entry in found]

    def test_a_large_entry_is_sent_alone(self):
        sizes = (timing.MAX_BATCH_BYTES - 1, MAX_DELTA_BYTES, 10)
        self.assertEqual([1], self.batch(*sizes))
        self.assertEqual([2], self.batch(*sizes, start=2))
        self.assertEqual([3], self.batch(*sizes, start=3))

    def test_small_entries_are_sent_together(self):
        self.assertEqual([1, 2, 3], self.batch(10, 10, 10))
        half = timing.MAX_BATCH_BYTES // 2
        self.assertEqual([1, 2], self.batch(half, half, 10))

    def test_a_message_has_room_for_a_change_of_the_largest_size(self):
        self.assertLessEqual(
            MAX_DELTA_BYTES + codec.MESSAGE_OVERHEAD_BYTES, codec.MAX_MESSAGE_BYTES
        )
