"""Tests of the distribution of the document from the control VMs."""

import asyncio
import random

import msgspec

from fuchsiacroft.config import current_document, follower
from fuchsiacroft.config.delta import Delta
from fuchsiacroft.config.document import Workspace
from fuchsiacroft.config.feed import DocumentUpdate, FetchUpdate
from fuchsiacroft.config.settings import Addresses, Member, Settings
from fuchsiacroft.config.sources import FetchPeer, LivePeers
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.bus import MemoryNetwork
from fuchsiacroft.utils.clock import now

IN_FORCE_TARGET_S = 5.0
CONTROL = "10.0.0.1:1"
ENTRIES = 20


def address(i: int) -> str:
    return f"10.0.1.{i}:1"


def delta(i: int) -> Delta:
    return Delta(put_workspaces=(Workspace(f"w{i}", [f"h{i}"], "t"),))


class FakeSource:
    """A control member that serves a document that is always up to date."""

    def __init__(self, network: MemoryNetwork) -> None:
        self.document = current_document.create()
        self.confirmed_at = 0.0
        self.frozen = False
        self.fetches = 0
        self.reported_versions: dict[str, int] = {}
        network.bus("control", CONTROL).register_handler(FetchUpdate, self.on_fetch)

    async def on_fetch(self, sender: str, fetch: FetchUpdate) -> DocumentUpdate | None:
        self.fetches += 1
        self.reported_versions |= fetch.in_force
        update = await self.document.wait_for_update(fetch)
        return msgspec.structs.replace(update, age_s=0.0)

    def add_versions(self, count: int = 1) -> int:
        for _ in range(count):
            version = self.document.version + 1
            update = DocumentUpdate(
                version, first_version=version, deltas=(delta(version),)
            )
            self.document.apply_update(update)
        return self.document.version


class FollowerDomain:
    """The followers of one failure domain on an in-memory network."""

    def __init__(self, size: int = ENTRIES, seed: int = 1) -> None:
        self.network = MemoryNetwork(seed)
        self.source = FakeSource(self.network)
        self.members = [Member(f"e{i}", "d", address(i)) for i in range(size)]
        self.documents: dict[int, current_document.CurrentDocument] = {}
        self.followers: dict[int, follower.DocumentFollower] = {}
        self.buses = {}

    async def start(self, *numbers: int, live_peers: LivePeers | None = None) -> None:
        for i in numbers or range(len(self.members)):
            settings = Settings(
                node=f"e{i}",
                failure_domain="d",
                region="r",
                addresses=Addresses(operators="10.0.2.1:1", peers=address(i)),
                control=[Member("c", "d", CONTROL)],
                entries=self.members,
            )
            kernel = Kernel()
            self.buses[i] = self.network.bus(f"e{i}", address(i))
            self.documents[i] = current_document.create()
            self.followers[i] = follower.create(settings, live_peers, random.Random(i))
            for service in (self.buses[i], self.documents[i], self.followers[i]):
                kernel.add(service)
            await kernel.start()

    async def stop(self, *numbers: int) -> None:
        for i in numbers or list(self.followers):
            await self.followers.pop(i).stop()
            await self.buses.pop(i).stop()
            self.documents.pop(i)

    def relays(self) -> list[int]:
        return [
            i
            for i, document_follower in self.followers.items()
            if CONTROL in document_follower._sources.preferred_addresses()
        ]

    def isolate_from_control(self, *numbers: int) -> None:
        for i in numbers or range(len(self.members)):
            self.network.partition(address(i), CONTROL)

    async def seconds_until(self, version: int, limit: float = 30.0) -> float:
        began_at = now()
        while any(doc.version < version for doc in self.documents.values()):
            if now() - began_at > limit:
                return float("inf")
            await asyncio.sleep(0.01)
        return now() - began_at


class FollowerTests(PausedTestCase):
    """A change takes effect everywhere in time and is never reverted."""

    def test_a_change_reaches_every_entry_through_two_relays(self):
        async def scenario():
            domain = FollowerDomain()
            await domain.start()
            domain.source.add_versions()
            await domain.seconds_until(1)
            await asyncio.sleep(10)
            domain.source.fetches = 0
            seconds = await domain.seconds_until(domain.source.add_versions())
            await asyncio.sleep(10)
            fetches = domain.source.fetches
            await domain.stop()
            return seconds, fetches, domain.source.reported_versions

        seconds, fetches, in_force = self.run_paused(scenario())
        self.assertLess(seconds, 1.0)
        self.assertLess(fetches, 2 * 10 / follower.FETCH_WAIT_S + 10)
        self.assertEqual({2}, set(in_force.values()))
        self.assertEqual(ENTRIES, len(in_force))

    def test_a_change_is_in_force_in_time_when_the_relays_fail(self):
        async def scenario():
            domain = FollowerDomain()
            await domain.start()
            await domain.seconds_until(domain.source.add_versions())
            await asyncio.sleep(5)
            await domain.stop(*domain.relays())
            seconds = await domain.seconds_until(domain.source.add_versions())
            await domain.stop()
            return seconds

        self.assertLess(self.run_paused(scenario()), IN_FORCE_TARGET_S)

    def test_followers_leave_relays_that_are_isolated_from_control(self):
        async def scenario():
            domain = FollowerDomain()
            await domain.start()
            await domain.seconds_until(domain.source.add_versions())
            await asyncio.sleep(5)
            domain.isolate_from_control(*domain.relays())
            await asyncio.sleep(5)
            seconds = await domain.seconds_until(domain.source.add_versions())
            await domain.stop()
            return seconds

        self.assertLess(self.run_paused(scenario()), IN_FORCE_TARGET_S)

    def test_an_entry_restarted_in_an_isolated_domain_gets_the_newest_version(self):
        async def scenario():
            domain = FollowerDomain()
            await domain.start(*range(1, ENTRIES))
            await domain.seconds_until(domain.source.add_versions(5))
            domain.isolate_from_control()
            await domain.start(0)
            seconds = await domain.seconds_until(5)
            await asyncio.sleep(follower.START_TIMEOUT_S)
            ready = domain.followers[0].not_ready_reason()
            await domain.stop()
            return seconds, ready

        seconds, ready = self.run_paused(scenario())
        self.assertLess(seconds, IN_FORCE_TARGET_S)
        self.assertIsNone(ready)

    def test_an_entry_that_has_not_joined_yet_queries_the_listed_entries(self):
        async def scenario():
            domain = FollowerDomain()
            await domain.start(*range(1, ENTRIES))
            await domain.seconds_until(domain.source.add_versions(5))
            domain.isolate_from_control()
            await domain.start(0, live_peers=lambda: (FetchPeer("e0", address(0)),))
            await asyncio.sleep(follower.START_TIMEOUT_S + 0.1)
            version = domain.documents[0].version
            ready = domain.followers[0].not_ready_reason()
            await domain.stop()
            return version, ready

        self.assertEqual((5, None), self.run_paused(scenario()))

    def test_an_entry_catches_up_on_hundreds_of_missed_changes(self):
        async def scenario(missed: int):
            domain = FollowerDomain()
            await domain.start(*range(1, ENTRIES))
            await domain.seconds_until(domain.source.add_versions())
            domain.source.add_versions(missed)
            await domain.start(0)
            seconds = await domain.seconds_until(missed + 1)
            same = domain.documents[0].document == domain.source.document.document
            await domain.stop()
            return seconds, same

        for missed in (300, 2 * current_document.MAX_RETAINED_DELTAS):
            with self.subTest(missed=missed):
                seconds, same = self.run_paused(scenario(missed))
                self.assertLess(seconds, 1.0)
                self.assertTrue(same)

    def test_an_outdated_or_late_update_never_reverts_a_version(self):
        async def scenario():
            document = current_document.create()
            document.apply_update(
                DocumentUpdate(1, first_version=1, deltas=(delta(1),))
            )
            document.apply_update(
                DocumentUpdate(2, first_version=2, deltas=(delta(2),))
            )
            newest = document.document
            for update in (
                DocumentUpdate(1, first_version=1, deltas=(delta(9),)),
                DocumentUpdate(1, document=current_document.EMPTY_DOCUMENT),
                DocumentUpdate(2, document=current_document.EMPTY_DOCUMENT),
                DocumentUpdate(4, first_version=4, deltas=(delta(4),)),
            ):
                document.apply_update(update)
            return document.version, document.document == newest

        self.assertEqual((2, True), self.run_paused(scenario()))
