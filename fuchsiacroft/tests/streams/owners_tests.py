"""Tests of which entries keep the origin of a stream."""

from collections import Counter

import msgspec

from fuchsiacroft.membership.registry_wire import EntryRecord
from fuchsiacroft.streams.owners import (
    DOMAINS_NOTIFIED,
    OWN_DOMAIN_OWNERS,
    owners_to_notify,
    owners_to_query,
)
from fuchsiacroft.tests.base import TestCase

KEYS = [f"key-{number}" for number in range(300)]


def entries(domains: int, each: int) -> list[EntryRecord]:
    """Return entries of some failure domains."""
    return [
        EntryRecord(f"e-{domain}-{n}", f"d-{domain}", f"10.0.{domain}.{n}:1", 1)
        for domain in range(domains)
        for n in range(each)
    ]


def nodes(found) -> set[str]:
    """Return the names of entries."""
    return {entry.node for entry in found}


class OwnersTests(TestCase):
    """Who is asked has been told, whatever entry is asked first or has gone."""

    def asked(self, key: str, known: list[EntryRecord]) -> set[str]:
        return nodes(e for found in owners_to_query(key, known).values() for e in found)

    def test_an_owner_that_was_told_is_not_asked(self):
        known = entries(3, 5)
        for key in KEYS:
            told = owners_to_notify(key, known, "d-0")
            domains = Counter(entry.failure_domain for entry in told)
            self.assertEqual({"d-0": 2, "d-1": 1, "d-2": 1}, domains)
            self.assertEqual(4, len(nodes(told)))
            self.assertLessEqual(nodes(told), self.asked(key, known))

    def test_a_small_region_has_one_owner_that_may_be_cut_off(self):
        for domains, each, count in ((1, 1, 1), (1, 2, 2), (1, 6, 3), (2, 6, 3)):
            known = entries(domains, each)
            for key in KEYS:
                told = nodes(owners_to_notify(key, known, "d-0"))
                self.assertEqual(count, len(told))
                self.assertLessEqual(told, self.asked(key, known))

    def test_no_owner_is_left_when_an_entry_joins_or_a_domain_ends(self):
        known = entries(3, 5)
        joined = EntryRecord("e-new", "d-0", "10.0.0.9:1", 2)
        for key in KEYS:
            told = nodes(owners_to_notify(key, known, "d-0"))
            self.assertLessEqual(told, self.asked(key, [*known, joined]))
            left = [entry for entry in known if entry.failure_domain != "d-0"]
            self.assertEqual(2, len(told & self.asked(key, left)))

    def test_an_entry_that_drains_becomes_an_owner(self):
        known = entries(2, 3)
        draining = msgspec.structs.replace(known[0], leaving=True)
        known[0] = draining
        for key in KEYS:
            self.assertNotIn(draining.node, nodes(owners_to_notify(key, known, "d-0")))

    def test_a_stream_costs_a_message_for_each_domain(self):
        known = entries(12, 3)
        for key in KEYS:
            told = owners_to_notify(key, known, "d-7")
            domains = Counter(entry.failure_domain for entry in told)
            self.assertEqual(DOMAINS_NOTIFIED, len(domains))
            self.assertEqual(OWN_DOMAIN_OWNERS, domains.pop("d-7"))
            self.assertEqual({1}, set(domains.values()))

    def test_few_entries_own_most_streams(self):
        known = entries(3, 5)
        owned = Counter(
            entry.node for key in KEYS for entry in owners_to_notify(key, known, "d-0")
        )
        self.assertEqual(len(known), len(owned))
        for entry in known:
            roles = OWN_DOMAIN_OWNERS if entry.failure_domain == "d-0" else 1
            self.assertLess(owned[entry.node], 2 * roles * len(KEYS) / 5)
