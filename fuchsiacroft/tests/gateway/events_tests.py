"""Tests of splitting streams into whole events."""

from fuchsiacroft.gateway.events import EventSplitter
from fuchsiacroft.tests.base import TestCase

STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"


class EventSplitterTests(TestCase):
    """Events are passed on whole, wherever the bytes are cut."""

    def test_any_cut_gives_the_same_events(self):
        for cut in range(len(STREAM) + 1):
            splitter = EventSplitter()
            passed = splitter.feed(STREAM[:cut]) + splitter.feed(STREAM[cut:])
            self.assertEqual(STREAM, passed)
            self.assertEqual(("3", 3), (splitter.last_id, splitter.count))

    def test_an_event_without_its_end_is_held_back(self):
        splitter = EventSplitter()
        passed = splitter.feed(STREAM[:-1])
        self.assertEqual(STREAM[: STREAM.index(b"id: 3")], passed)
        self.assertEqual("2", splitter.last_id)
        splitter.drop_rest()
        again = splitter.feed(b"id: 3\ndata: c\n\n")
        self.assertEqual(b"id: 3\ndata: c\n\n", again)

    def test_an_event_that_never_ends_is_noticed(self):
        splitter = EventSplitter()
        for _ in range(5):
            splitter.feed(b"data: " + b"x" * 250_000)
        self.assertTrue(splitter.is_endless)

    def test_an_event_with_fields_before_its_id(self):
        splitter = EventSplitter()
        splitter.feed(b"weights: 4\nid: 7\ndata: x\n\ndata: no id\n\n")
        self.assertEqual("7", splitter.last_id)
