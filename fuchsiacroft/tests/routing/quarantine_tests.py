"""Requests that crash backend servers."""

import asyncio

from fuchsiacroft.quarantine.evidence import RETENTION_S, Treatment
from fuchsiacroft.routing.permits import RefusalReason
from fuchsiacroft.routing.server_probe import ServerProbe
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.routing_domain import (
    COMPLETED,
    LOST,
    RoutingDomain,
    permit_request,
)


class EndedProbe(ServerProbe):
    """Finds that every server that it is asked about has ended."""

    async def has_ended(self, address):
        return True


class CrashProbeTests(PausedTestCase):
    """Servers that crash and aren't back for a long time."""

    def acquire_after_crashes(self, probe):
        """Return the outcome for a request that has crashed two servers."""

        async def run():
            domain = await RoutingDomain(size=2, probe=probe).start()
            try:
                for name in ("s-1", "s-2", "s-3"):
                    await domain.announce(name)
                domain.announced.clear()
                request = permit_request("bad", timeout_s=3.0)
                for entry in domain.entries:
                    permit = (await entry.scheduler.acquire(request)).ok
                    entry.scheduler.release(permit, LOST)
                    request = request.avoiding(permit.backend_server)
                    await asyncio.sleep(0.1)
                return await domain.entries[0].scheduler.acquire(request)
            finally:
                await domain.stop()

        return self.run_paused(run())

    def test_a_request_crashes_a_third_server_before_the_first_is_back(self):
        outcome = self.acquire_after_crashes(EndedProbe())
        self.assertEqual(RefusalReason.QUARANTINED, outcome.error.reason)

    def test_runs_that_were_lost_at_sound_servers_are_blamed_on_a_request(self):
        self.assertTrue(self.acquire_after_crashes(None).is_ok())


class QuarantineTests(PausedTestCase):
    """Two entries and a request that crashes every backend server it runs on."""

    def play(self, scenario):
        async def run():
            domain = await RoutingDomain(size=2).start()
            try:
                await scenario(domain, *domain.entries)
            finally:
                await domain.stop()

        self.run_paused(run())

    async def crash(self, domain, entry, boot, *names):
        """Run requests on a backend server that crashes."""
        await domain.announce("s", boot=f"{boot}")
        permits = []
        for name in names:
            result = await entry.scheduler.acquire(permit_request(name, timeout_s=3.0))
            if result.is_ok():
                permits.append(result.ok)
        for permit in permits:
            entry.scheduler.release(permit, LOST)
        await asyncio.sleep(0.1)
        await domain.announce("s", boot=f"{boot}-after")
        await asyncio.sleep(0.1)
        return permits

    def test_the_second_crash_quarantines_it_at_every_entry(self):
        async def scenario(domain, one, two):
            await self.crash(domain, one, 1, "bad", "neighbour")
            await self.crash(domain, two, 2, "bad", "other")
            for entry in (one, two):
                result = await entry.scheduler.acquire(permit_request("bad"))
                self.assertEqual(RefusalReason.QUARANTINED, result.error.reason)
                self.assertTrue(
                    (await entry.scheduler.acquire(permit_request("other"))).is_ok()
                )

        self.play(scenario)

    def test_a_crash_by_a_run_that_is_lost_alone_is_never_recorded(self):
        async def scenario(domain, one, two):
            await domain.announce("s", boot="1")
            permit = (await one.scheduler.acquire(permit_request("bad"))).ok
            one.scheduler.release(permit, LOST)
            await asyncio.sleep(5.0)
            await domain.announce("s", boot="2")
            await asyncio.sleep(0.1)
            for entry in (one, two):
                self.assertIn("bad@lens", entry.quarantine.dump())

        self.play(scenario)

    def test_a_concurrent_request_that_completes_is_cleared(self):
        async def scenario(domain, one, two):
            await self.crash(domain, one, 1, "bad", "neighbour")
            result = await two.scheduler.acquire(permit_request("neighbour"))
            two.scheduler.release(result.ok, COMPLETED)
            await asyncio.sleep(0.1)
            for entry in (one, two):
                self.assertNotIn("neighbour@lens", entry.quarantine.dump())
                self.assertIn("bad@lens", entry.quarantine.dump())

        self.play(scenario)

    def test_two_suspects_of_two_crashes_run_in_isolation(self):
        async def scenario(domain, one, two):
            await self.crash(domain, one, 1, "bad", "unlucky")
            await self.crash(domain, one, 2, "bad", "unlucky")
            self.assertIs(
                Treatment.ISOLATED, one.quarantine.treatment({"unlucky@lens"})
            )
            await domain.announce("s", boot="3")
            first = await one.scheduler.acquire(permit_request("unlucky"))
            concurrent = await one.scheduler.acquire(
                permit_request("innocent", timeout_s=1.0)
            )
            self.assertTrue(first.is_ok())
            self.assertTrue(concurrent.is_error())
            one.scheduler.release(first.ok, COMPLETED)
            await asyncio.sleep(0.1)
            self.assertIs(
                Treatment.UNRESTRICTED, two.quarantine.treatment({"unlucky@lens"})
            )

        self.play(scenario)

    def test_two_owners_run_suspected_content_at_once(self):
        async def scenario(domain, one, two):
            await self.crash(domain, one, 1, "bad")
            for number in range(6):
                await domain.announce(f"e-{number}")
            for entry in (one, two):
                self.assertTrue(entry.permit_queue.dump()["owned"])
            first = await one.scheduler.acquire(permit_request("bad"))
            await asyncio.sleep(0.02)
            second = asyncio.ensure_future(two.scheduler.acquire(permit_request("bad")))
            await asyncio.sleep(1.0)
            self.assertFalse(second.done())
            one.scheduler.release(first.ok, COMPLETED)
            await asyncio.sleep(0.6)
            self.assertTrue(second.result().is_ok())

        self.play(scenario)

    def test_a_lost_connection_without_a_crash_suspects_no_request(self):
        async def scenario(domain, one, two):
            await domain.announce("s")
            result = await one.scheduler.acquire(permit_request("r"))
            one.scheduler.release(result.ok, LOST)
            await domain.announce("s")
            self.assertEqual({}, one.quarantine.dump())

        self.play(scenario)

    def test_a_quarantine_is_lifted_by_an_operator_or_expires(self):
        async def scenario(domain, one, two):
            await self.crash(domain, one, 1, "bad")
            await self.crash(domain, one, 2, "bad")
            self.assertTrue(two.quarantine.lift("bad@lens"))
            self.assertFalse(two.quarantine.lift("bad@lens"))
            await asyncio.sleep(0.1)
            self.assertIs(
                Treatment.UNRESTRICTED, one.quarantine.treatment({"bad@lens"})
            )
            await self.crash(domain, one, 3, "bad")
            await asyncio.sleep(RETENTION_S + 1.0)
            self.assertIs(
                Treatment.UNRESTRICTED, one.quarantine.treatment({"bad@lens"})
            )
            self.assertEqual({}, one.quarantine.dump())

        self.play(scenario)
