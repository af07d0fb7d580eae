"""Ownership by membership: large domains, takeovers, draining servers."""

import asyncio

import msgspec

from fuchsiacroft.config.settings import Policies
from fuchsiacroft.membership.backend_servers import (
    MAX_BROADCAST_ENTRIES,
    BackendDirectory,
)
from fuchsiacroft.routing.permits import RunOutcome, RunReport
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.full_domain import FullDomain, permit_request

LEAVING_TARGET_S = 2.0
LARGE = MAX_BROADCAST_ENTRIES + 6
SMALL = 3
FIXED = Policies(limit="fixed", reserve="none")
DONE = RunReport(RunOutcome.COMPLETED, 0.1, None, 0.2, 0)


class TakeoverTests(PausedTestCase):
    """The owner of a backend server counts every permit in use there."""

    def run_domain(self, size: int, scenario):
        async def run():
            domain = FullDomain(size, policies=FIXED)
            await domain.start()
            try:
                return await scenario(domain)
            finally:
                await domain.stop()

        return self.run_paused(run())

    def test_a_new_owner_counts_the_permits_of_the_dead_one(self):
        async def scenario(domain):
            domain.add_server("s", "lens", slots=1)
            await domain.wait_ready()
            owner = domain.owner("s")
            holder = (owner + 1) % SMALL
            held = await domain.acquire(holder, permit_request("long", "lens"))
            await domain.kill(owner)
            await asyncio.sleep(15)
            waiting = domain.acquire(
                holder, permit_request("next", "lens", timeout_s=20)
            )
            await asyncio.sleep(2)
            granted_while_held = waiting.done() and waiting.result().is_ok()
            domain.scheduler(holder).release(held.ok, DONE)
            return granted_while_held, (await waiting).is_ok()

        self.assertEqual((False, True), self.run_domain(SMALL, scenario))

    def test_permits_of_a_dead_holder_are_freed(self):
        async def scenario(domain):
            domain.add_server("s", "lens", slots=1)
            await domain.wait_ready()
            owner = domain.owner("s")
            holder = (owner + 1) % SMALL
            await domain.acquire(holder, permit_request("long", "lens"))
            await domain.kill(holder)
            result = await domain.acquire(
                owner, permit_request("next", "lens", timeout_s=30)
            )
            return result.is_ok()

        self.assertTrue(self.run_domain(SMALL, scenario))

    def test_a_request_through_any_entry_of_a_large_domain_is_served(self):
        async def scenario(domain):
            for i in range(10):
                domain.add_server(f"s{i}", f"model-{i}")
            await domain.wait_ready()
            await asyncio.sleep(30)
            served = 0
            for number in range(LARGE):
                for i in range(10):
                    result = await domain.acquire(
                        number, permit_request(f"{number}-{i}", f"model-{i}")
                    )
                    served += result.is_ok()
                    if result.is_ok():
                        domain.scheduler(number).release(result.ok, DONE)
            return served

        self.assertEqual(LARGE * 10, self.run_domain(LARGE, scenario))

    def test_an_announcement_in_a_large_domain_goes_to_its_owner_only(self):
        async def scenario(domain):
            for i in range(40):
                domain.add_server(f"s{i}", "lens")
            await domain.wait_ready()
            await asyncio.sleep(10)
            known = [
                len(domain.get(number, "backend_servers", BackendDirectory).all())
                for number in range(LARGE)
            ]
            return sum(known)

        self.assertLess(self.run_domain(LARGE, scenario), 40 * LARGE / 2)

    def test_a_leaving_backend_server_gets_no_new_runs_from_any_entry(self):
        async def scenario(domain):
            domain.add_server("s", "lens", slots=8)
            await domain.wait_ready()
            await asyncio.sleep(5)
            domain.servers["s"] = msgspec.structs.replace(
                domain.servers["s"], leaving=True
            )
            await asyncio.sleep(LEAVING_TARGET_S)
            results = await asyncio.gather(
                *(
                    domain.acquire(
                        number, permit_request(f"r{number}", "lens", timeout_s=1)
                    )
                    for number in range(domain.size)
                )
            )
            return sum(result.is_ok() for result in results)

        for size in (SMALL, LARGE):
            with self.subTest(size=size):
                self.assertEqual(0, self.run_domain(size, scenario))
