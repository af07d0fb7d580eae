"""Permits between entries: leases, preemption, lost and duplicate messages."""

import asyncio

from expression import Ok

from fuchsiacroft.routing.leases import LEASE_S
from fuchsiacroft.routing.messages import AcquirePermit, WithdrawRequest
from fuchsiacroft.routing.permits import RunOutcome, RunReport
from fuchsiacroft.routing.race import Race
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.routing_domain import (
    COMPLETED,
    RoutingDomain,
    permit_request,
)

SERVERS = 6


class LeaseTests(PausedTestCase):
    """Three entries that own about two backend servers each."""

    def play(self, scenario):
        async def run():
            domain = await RoutingDomain(size=3).start()
            for i in range(SERVERS):
                await domain.announce(f"s{i}", slots=2)
            try:
                await scenario(domain, *domain.entries)
            finally:
                await domain.stop()

        self.run_paused(run())

    def total(self, domain):
        return sum(entry.running() for entry in domain.entries)

    async def acquire(self, entry, count, **fields):
        requests = [
            permit_request(f"r{i}", timeout_s=4.0, **fields) for i in range(count)
        ]
        results = await asyncio.gather(*map(entry.scheduler.acquire, requests))
        return [result.ok for result in results if result.is_ok()]

    def test_one_entry_uses_every_backend_server_and_returns_all_permits(self):
        async def scenario(domain, one, *others):
            permits = await self.acquire(one, 12)
            self.assertGreaterEqual(len(permits), 12)
            self.assertEqual(len(permits), self.total(domain))
            for permit in permits:
                one.scheduler.release(permit, COMPLETED)
            await asyncio.sleep(1.0)
            self.assertEqual(0, self.total(domain))

        self.play(scenario)

    def test_a_lease_of_a_dead_entry_expires_and_that_of_a_live_one_stays(self):
        async def scenario(domain, one, two, three):
            dead = await self.acquire(one, 6)
            live = await self.acquire(two, 2)
            domain.network.buses.pop(one.member.peers)
            await asyncio.sleep(2 * LEASE_S)
            remaining = two.running() + three.running()
            kept = [permit for permit in live if permit.owner != one.member.node]
            self.assertEqual(len(kept), remaining)
            self.assertTrue(any(p.owner != one.member.node for p in dead))

        self.play(scenario)

    def test_lost_and_duplicate_messages_leak_no_permit(self):
        async def scenario(domain, one, *others):
            domain.network.loss = 0.2
            domain.network.duplication = 0.3
            for _ in range(5):
                for permit in await self.acquire(one, 12):
                    one.scheduler.release(permit, COMPLETED)
            domain.network.loss = 0.0
            await asyncio.sleep(2 * LEASE_S)
            self.assertEqual(0, self.total(domain))

        self.play(scenario)

    def test_a_withdrawal_that_overtakes_its_request_leaks_no_permit(self):
        async def scenario(domain, one, two, three):
            two.leases._on_withdraw("entry-0", WithdrawRequest("a"))
            reply = await two.leases._on_acquire(
                "entry-0", AcquirePermit("a", permit_request())
            )
            self.assertIsNone(reply)
            self.assertEqual(0, two.running())

        self.play(scenario)

    def test_a_cancelled_request_returns_a_permit_granted_meanwhile(self):
        async def scenario(domain, one, *others):
            for delay_s in (0.0, 0.001, 0.002, 0.003, 0.004, 0.01):
                tasks = [
                    asyncio.create_task(one.scheduler.acquire(permit_request(f"r{i}")))
                    for i in range(12)
                ]
                await asyncio.sleep(delay_s)
                for task in tasks:
                    task.cancel()
                results = await asyncio.gather(*tasks, return_exceptions=True)
                for result in results:
                    if not isinstance(result, BaseException) and result.is_ok():
                        one.scheduler.release(result.ok, COMPLETED)
                await asyncio.sleep(1.0)
                self.assertEqual(0, self.total(domain), delay_s)

        self.play(scenario)

    def test_a_run_of_another_entry_is_preempted_through_its_owner(self):
        async def scenario(domain, one, two, three):
            await self.acquire(one, 40, rank=2)
            held = [
                permit
                for i in range(SERVERS)
                for permit in one.scheduler.held_permits(f"s{i}")
            ]
            task = asyncio.create_task(
                two.scheduler.acquire(permit_request("top", rank=0))
            )
            tops = [
                two.scheduler.acquire(permit_request(f"t{i}", rank=0))
                for i in range(20)
            ]
            more = asyncio.gather(*tops)
            await asyncio.wait([permit.preempted for permit in held], timeout=3.0)
            preempted = [permit for permit in held if permit.preempted.done()]
            self.assertTrue(preempted)
            for permit in preempted:
                one.scheduler.release(permit, RunReport(RunOutcome.PREEMPTED))
            self.assertTrue((await task).is_ok())
            more.cancel()
            await asyncio.gather(more, return_exceptions=True)

        self.play(scenario)

    def test_a_lost_preemption_message_is_sent_again(self):
        async def scenario(domain, one, *others):
            await self.acquire(one, 12)
            owners = [entry for entry in others if entry.leases.dump()["lent"]]
            leased = next(iter(owners[0].leases._leases.values())).permit
            domain.network.loss = 1.0
            leased.preempted.set_result(2.0)
            owners[0].leases._on_preempted(leased, 2.0)
            await asyncio.sleep(0.01)
            domain.network.loss = 0.0
            await asyncio.sleep(1.0)
            held = one.scheduler.held_permits(leased.backend_server)
            preempted = [permit for permit in held if permit.preempted.done()]
            self.assertEqual(
                [leased.permit_id], [permit.permit_id for permit in preempted]
            )

        self.play(scenario)


class RaceTests(PausedTestCase):
    """The attempts of one permit request."""

    def test_a_permit_granted_after_the_close_is_returned(self):
        async def grant_late():
            try:
                await asyncio.sleep(5.0)
            except asyncio.CancelledError:
                return Ok("late")

        async def play():
            returned = []
            race = Race(returned.append)
            race.start("one", grant_late())
            await race.wait(0.1)
            race.close()
            await asyncio.sleep(0.1)
            return returned

        self.assertEqual(["late"], self.run_paused(play()))
