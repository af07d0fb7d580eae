"""Tests of rendezvous hashing."""

import random

from fuchsiacroft.membership.rendezvous import OwnerIndex, choose_owner
from fuchsiacroft.membership.table import EntryInfo
from fuchsiacroft.tests.base import TestCase

NAMES = [f"gpu-{i}" for i in range(200)]


def entry(number):
    return EntryInfo(f"entry-{number}", f"10.0.0.{number}:1", 0, "b", True)


class RendezvousTests(TestCase):
    """The index matches a full recomputation, and few names move."""

    def test_the_index_matches_a_full_recomputation(self):
        rng = random.Random(1)
        index = OwnerIndex()
        for name in NAMES:
            index.add(name)
        for _ in range(30):
            entries = [entry(i) for i in rng.sample(range(9), rng.randint(0, 9))]
            index.set_entries(entries)
            for name in NAMES:
                self.assertEqual(choose_owner(name, entries), index.owner_of(name))
            owned = [index.owned_by(owner.node) for owner in entries]
            self.assertEqual(len(NAMES) if entries else 0, sum(map(len, owned)))

    def test_removing_an_entry_moves_only_its_names(self):
        entries = [entry(i) for i in range(8)]
        for name in NAMES:
            before = choose_owner(name, entries)
            after = choose_owner(name, entries[1:])
            if before != entries[0]:
                self.assertEqual(before, after)
