"""Tests of the clock by which leases are held, on a VM that was suspended."""

import asyncio
import time
import unittest

from fuchsiacroft.control.consensus import timing
from fuchsiacroft.control.log import ProposeError
from fuchsiacroft.control.published import PublishedState
from fuchsiacroft.control.publisher import CONFIRMATION_TTL_S, Publisher
from fuchsiacroft.entry.at_most_once import SendGuard, WithheldError
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.membership.lease import OWNERSHIP_LEASE_S, ViewLease
from fuchsiacroft.tests.base import PausedTestCase, TestCase
from fuchsiacroft.tests.fakes.bus import MemoryNetwork
from fuchsiacroft.tests.fakes.consensus_group import ConsensusGroup
from fuchsiacroft.tests.fakes.replicated_log import FakeLogGroup
from fuchsiacroft.utils import clock

MOMENT_S = 0.001


def suspend(seconds: float) -> None:
    """Let the VM have been suspended for so long."""
    asyncio.get_running_loop().suspend(seconds)


class LeaseClockTests(TestCase):
    """The lease clock of a real event loop."""

    def test_the_lease_clock_stands_still(self):
        async def run():
            before, steady = clock.lease_now(), clock.now()
            await asyncio.sleep(0.05)
            return clock.lease_now() - before, clock.now() - steady

        lease_s, steady_s = asyncio.run(run())
        self.assertGreaterEqual(lease_s, 0.049)
        self.assertAlmostEqual(steady_s, lease_s, delta=0.04)

    @unittest.skipUnless(hasattr(time, "CLOCK_BOOTTIME"), "needs CLOCK_BOOTTIME")
    def test_the_lease_clock_does_not_count_suspension(self):
        async def run():
            first = time.clock_gettime(time.CLOCK_BOOTTIME)
            return first, clock.lease_now(), time.clock_gettime(time.CLOCK_BOOTTIME)

        first, lease, last = asyncio.run(run())
        self.assertLessEqual(first, lease)
        self.assertLessEqual(lease, last)


class SuspensionTests(PausedTestCase):
    """The VM is suspended for longer than a lease; the loop's clock stands still."""

    def run_group(self, scenario) -> None:
        async def run() -> None:
            group = ConsensusGroup(3)
            await group.start()
            try:
                await scenario(group, await group.wait_leader())
            finally:
                await group.stop()

        self.run_paused(run())

    def test_a_leader_that_wakes_serves_under_a_lease_that_has_run_out(self):
        async def scenario(group, leader):
            await asyncio.sleep(1.0)
            suspend(timing.LEASE_S)
            self.assertFalse(leader.is_leader)
            barrier = await leader.log.read_barrier(MOMENT_S)
            self.assertEqual(ProposeError.NO_QUORUM, barrier.error)
            await group.wait_until(lambda: leader.is_leader, timing.LEASE_S)

        self.run_group(scenario)

    def test_a_reply_to_a_heartbeat_from_before_renews_the_lease(self):
        async def scenario(group, leader):
            peer = next(iter(leader.log.leadership.peers.values()))
            sent_at = clock.lease_now()
            suspend(timing.LEASE_S)
            peer.record_ack(sent_at)
            self.assertFalse(peer.is_live())
            self.assertFalse(leader.is_leader)

        self.run_group(scenario)

    def test_a_leader_that_wakes_takes_all_voters_for_lost(self):
        async def scenario(group, leader):
            await asyncio.sleep(1.0)
            suspend(10 * timing.VOTER_TIMEOUT_S)
            leadership = leader.log.leadership
            for identity in leadership.peers:
                self.assertLess(
                    leadership.seconds_since_ack(identity), timing.VOTER_TIMEOUT_S
                )

        self.run_group(scenario)

    def test_a_leader_that_slept_for_long_stays_leader_without_its_lease(self):
        async def scenario(group, leader):
            for other in group.nodes:
                if other is not leader:
                    group.network.partition(leader.address, other.address)
            suspend(timing.LEASE_S + timing.ELECTION_TIMEOUT_MAX_S)
            await asyncio.sleep(timing.HEARTBEAT_PERIOD_S + MOMENT_S)
            self.assertIsNone(leader.log.leadership)

        self.run_group(scenario)

    def test_a_control_member_that_wakes_confirms_its_old_version(self):
        async def run() -> None:
            state = PublishedState()
            publisher = Publisher(state)
            kernel = Kernel()
            kernel.add(MemoryNetwork().bus("core-1", "10.1.0.1:7600"))
            kernel.add(FakeLogGroup().member())
            await publisher.start(kernel)
            await asyncio.sleep(1.1)
            self.assertTrue(publisher.is_confirmed)
            suspend(CONFIRMATION_TTL_S)
            self.assertFalse(publisher.is_confirmed)
            await asyncio.sleep(1.0)
            self.assertTrue(publisher.is_confirmed)
            await publisher.stop()

        self.run_paused(run())

    def test_an_owner_that_wakes_still_holds_its_view_lease(self):
        async def run() -> None:
            lease = ViewLease()
            lease.set_alone(False)
            lease.renew(clock.lease_now())
            sent_at = clock.lease_now()
            suspend(OWNERSHIP_LEASE_S)
            self.assertEqual(0.0, lease.remaining_s())
            lease.renew(sent_at)
            self.assertEqual(0.0, lease.remaining_s())
            suspend(MOMENT_S)
            lease.renew(clock.lease_now())
            self.assertAlmostEqual(OWNERSHIP_LEASE_S, lease.remaining_s())
            self.assertEqual(clock.lease_now(), lease.continuous_since)

        self.run_paused(run())

    def test_a_permission_to_send_outlasts_a_suspension(self):
        async def run() -> None:
            guard = SendGuard(valid_until=clock.now() + 1.0)
            self.assertFalse(guard.has_expired)
            suspend(1.0)
            with self.assertRaises(WithheldError):
                guard.begin()
            self.assertFalse(guard.sent)

        self.run_paused(run())
