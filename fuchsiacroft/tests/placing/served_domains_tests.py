"""Tests of the adoption of failure domains without entries."""

from fuchsiacroft.placing.served_domains import ADOPTION_DELAY_S, ServedDomains
from fuchsiacroft.tests.base import TestCase

DOMAINS = ("north", "east", "south", "west")


class ServedDomainsTests(TestCase):
    """A domain without entries has exactly one adopter, after a delay."""

    def adopters(self, entry_domains: tuple[str, ...], at: float) -> list[str]:
        """Return the domains that serve `south` after it has lost its entries."""
        found = []
        for own in entry_domains:
            served = ServedDomains(own)
            served.update(DOMAINS, entry_domains, 0.0)
            served.update(DOMAINS, entry_domains, at)
            if served.serves("south"):
                found.append(own)
        return found

    def test_one_domain_adopts_another(self):
        """Guards against servers that two domains fill, or none."""
        present = ("north", "east", "west")
        self.assertEqual(1, len(self.adopters(present, ADOPTION_DELAY_S)))

    def test_a_short_absence_changes_nothing(self):
        present = ("north", "east", "west")
        self.assertEqual([], self.adopters(present, 0.9 * ADOPTION_DELAY_S))

    def test_a_domain_whose_entry_is_back_is_returned(self):
        served = ServedDomains("north")
        served.update(DOMAINS, ("north",), 0.0)
        self.assertTrue(served.update(DOMAINS, ("north",), ADOPTION_DELAY_S))
        self.assertTrue(served.serves("south"))
        self.assertTrue(served.update(DOMAINS, DOMAINS, 9.0))
        self.assertFalse(served.serves("south"))
        self.assertTrue(served.serves("north"))
