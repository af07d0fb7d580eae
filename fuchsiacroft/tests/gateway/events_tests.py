"""Tests for splitting event streams into complete events."""

from fuchsiacroft.gateway.events import EventSplitter
from fuchsiacroft.tests.base import TestCase

STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"


class EventSplitterTests(TestCase):
    """Only complete events are returned, wherever the chunk boundaries are."""

    def test_chunk_boundaries_do_not_change_events(self):
        for cut in range(len(STREAM) + 1):
            splitter = EventSplitter()
            returned = splitter.feed(STREAM[:cut]) + splitter.feed(STREAM[cut:])
            self.assertEqual(STREAM, returned)
            self.assertEqual(("3", 3), (splitter.last_id, splitter.count))

    def test_partial_event_is_buffered(self):
        splitter = EventSplitter()
        returned = splitter.feed(STREAM[:-1])
        self.assertEqual(STREAM[: STREAM.index(b"id: 3")], returned)
        self.assertEqual("2", splitter.last_id)
        splitter.discard_partial()
        again = splitter.feed(b"id: 3\ndata: c\n\n")
        self.assertEqual(b"id: 3\ndata: c\n\n", again)

    def test_a_very_long_id_is_a_fault_of_the_entry(self):
        number = "9" * 5_000
        splitter = EventSplitter()
        splitter.expect_after(number)
        events = f"id: {number}\ndata: a\n\n".encode()
        self.assertEqual(events, splitter.feed(events))
        self.assertEqual(number, splitter.last_id)

    def test_too_long_event_is_detected(self):
        splitter = EventSplitter()
        for _ in range(5):
            splitter.feed(b"data: " + b"x" * 250_000)
        self.assertTrue(splitter.is_too_long)

    def test_id_after_other_fields(self):
        splitter = EventSplitter()
        splitter.feed(b"weights: 4\nid: 7\ndata: x\n\ndata: no id\n\n")
        self.assertEqual("7", splitter.last_id)
