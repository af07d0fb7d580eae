"""Tests of keeping and merging the origins of streams."""

import itertools

from fuchsiacroft.streams.origin import StreamOrigin, stream_key
from fuchsiacroft.streams.origin_store import MAX_KEPT_S, OriginFact, OriginStore
from fuchsiacroft.tests.base import TestCase

V1 = StreamOrigin("lens", "v1")
V2 = StreamOrigin("lens", "v2")
V3 = StreamOrigin("lens", "v3")
FACTS = (
    OriginFact("a", (V1,), 5.0),
    OriginFact("a", (V1,), 9.0),
    OriginFact("b", (V2,), 5.0),
    OriginFact("b", (V1,), 7.0),
    OriginFact("b", (V3,), 2.0),
)
ABOUT = tuple((key, at) for key in "abc" for at in (1.0, 3.0, 6.0, 8.0, 9.5))


def found(facts) -> list:
    """Return what a store with these facts finds at several times."""
    store = OriginStore()
    for fact in facts:
        store.merge(fact, 0.0)
    return [store.find(key, at) for key, at in ABOUT]


class OriginStoreTests(TestCase):
    """Facts come in any order, more than once, and not at all."""

    def test_the_order_of_facts_changes_what_is_known(self):
        expected = found(FACTS)
        for facts in itertools.permutations(FACTS):
            self.assertEqual(expected, found(facts))

    def test_a_repeated_fact_changes_what_is_known(self):
        self.assertEqual(found(FACTS), found(FACTS * 2))

    def test_an_id_used_for_two_streams_tells_one_origin(self):
        store = OriginStore()
        store.merge(FACTS[2], 0.0)
        store.merge(FACTS[3], 0.0)
        self.assertEqual(2, len(store.find("b", 1.0)))

    def test_an_origin_is_kept_after_its_time(self):
        store = OriginStore()
        store.merge(FACTS[0], 0.0)
        self.assertEqual((V1,), store.find("a", 4.9))
        self.assertEqual((), store.find("a", 5.0))
        store.forget_ended(5.0)
        self.assertEqual(0, len(store))

    def test_a_caller_sets_how_long_a_store_keeps_its_stream(self):
        store = OriginStore()
        store.merge(OriginFact("a", (V1,), 1e9), 0.0)
        store.forget_ended(MAX_KEPT_S)
        self.assertEqual(0, len(store))

    def test_a_store_grows_without_bound(self):
        store = OriginStore(most=3)
        for number in range(10):
            store.merge(OriginFact(f"k-{number}", (V1,), 100.0), float(number))
        self.assertEqual(3, len(store))
        self.assertEqual((V1,), store.find("k-9", 10.0))
        self.assertEqual((), store.find("k-0", 10.0))
        store.forget_ended(1_000.0)
        self.assertEqual(0, len(store))

    def test_workspaces_share_the_key_of_a_stream(self):
        self.assertNotEqual(stream_key("tills", "1"), stream_key("kits", "1"))
        self.assertNotEqual(stream_key("tills 1", "2"), stream_key("tills", "1 2"))
