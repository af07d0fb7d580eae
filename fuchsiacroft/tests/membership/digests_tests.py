"""Tests of the digests between failure domains."""

import asyncio
import random

from fuchsiacroft.kernel import Kernel
from fuchsiacroft.membership import digests, service
from fuchsiacroft.membership.digest_wire import DomainDigest, ServiceLoad
from fuchsiacroft.membership.digests import (
    DIGEST_MAX_AGE_S,
    DIGEST_PERIOD_S,
    DigestSource,
)
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.bus import MemoryNetwork
from fuchsiacroft.tests.fakes.entries import address_of, settings_of
from fuchsiacroft.utils import clock

SETTLED_S = 24.0
FRESH_S = 5 * DIGEST_PERIOD_S


class Fixed(DigestSource):
    """A load that the test sets."""

    def __init__(self):
        self.value = (ServiceLoad("lens-assistant", 3, 1),)

    def loads(self):
        return self.value


class Region:
    """Three failure domains with entries that send digests."""

    def __init__(self, entries):
        self.network = MemoryNetwork()
        self.digests = {}
        self.kernels = []
        self.entries = entries

    async def start(self):
        for domain in range(3):
            for number in range(self.entries):
                await self._start_one(number, domain)

    async def _start_one(self, number, domain):
        cfg = settings_of(number, domain=domain, domains=3)
        rng = random.Random(domain * 100 + number)
        kernel = Kernel()
        kernel.add(self.network.bus(cfg.node, address_of(number, domain)))
        kernel.add(service.create(cfg, rng))
        one = digests.create(cfg, rng)
        one.attach(Fixed())
        kernel.add(one)
        await kernel.start()
        self.digests[(domain, number)] = one
        self.kernels.append(kernel)

    async def stop(self):
        for kernel in self.kernels:
            await kernel.stop()


class DigestsTests(PausedTestCase):
    """Sums reach every entry of other domains, dated and bounded."""

    def play(self, scenario, entries=4):
        async def run():
            region = Region(entries)
            await region.start()
            await asyncio.sleep(SETTLED_S)
            try:
                await scenario(region)
            finally:
                await region.stop()

        self.run_paused(run())

    def test_every_entry_knows_the_sum_of_each_other_domain(self):
        async def scenario(region):
            for (domain, _), one in region.digests.items():
                known = {load.domain: load for load in one.known()}
                others = {f"domain-{i}" for i in range(3) if i != domain}
                self.assertEqual(others, set(known))
                for load in known.values():
                    total = load.of("lens-assistant")
                    self.assertEqual(ServiceLoad("lens-assistant", 36, 12), total)
                    self.assertLess(clock.now() - load.dated_at, FRESH_S)

        self.play(scenario, 12)

    def test_a_domain_cut_off_ages_out(self):
        async def scenario(region):
            for (one, i), (other, j) in pairs(region, 0):
                region.network.cut_link(address_of(i, one), address_of(j, other))
            await asyncio.sleep(DIGEST_MAX_AGE_S + 5)
            known = {load.domain for load in region.digests[(1, 0)].known()}
            self.assertEqual({"domain-2"}, known)
            self.assertEqual((), region.digests[(0, 0)].known())

        self.play(scenario)

    def test_an_older_digest_never_replaces_a_newer_one(self):
        async def scenario(region):
            target = region.digests[(0, 0)]
            old = DomainDigest("region", "domain-1", 10.0, (), ())
            await target._on_domain("someone", old)
            (load,) = [one for one in target.known() if one.domain == "domain-1"]
            self.assertEqual(12, load.of("lens-assistant").free)

        self.play(scenario)

    def test_messages_do_not_grow_with_entries(self):
        sizes = {}

        async def scenario(region):
            (one, *_) = region.digests[(0, 0)].known()
            sizes[region.entries] = len(one.loads), len(one.contacts)

        self.play(scenario, 5)
        self.play(scenario, 10)
        self.assertEqual(sizes[5], sizes[10])


def pairs(region, domain):
    """Return the pairs of entries in and outside a domain."""
    inside = [key for key in region.digests if key[0] == domain]
    outside = [key for key in region.digests if key[0] != domain]
    return [(one, other) for one in inside for other in outside]
