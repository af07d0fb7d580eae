"""Tests of rollouts on a group of control members, with faults."""

import asyncio
from unittest import mock

from expression import Result

from fuchsiacroft.control.local_log import LocalLog
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.rollouts import controller
from fuchsiacroft.rollouts.controller import (
    REPETITION_S,
    SETTLE_S,
    OrderError,
    RolloutController,
)
from fuchsiacroft.rollouts.limits import RolloutLimits
from fuchsiacroft.rollouts.messages import DIRECTIVE_LEASE_S, Stage
from fuchsiacroft.rollouts.plan import LAST_END_S
from fuchsiacroft.rollouts.state import AdvanceRollout, BeginRollout, RolloutState
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.bus import MemoryNetwork
from fuchsiacroft.tests.fakes.rollout_group import REPORT_PERIOD_S, RolloutGroup
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.metrics import Metrics

DURATION_S = 12.0
ROLLBACK_S = 5.0


class CountingLog(LocalLog):
    """Counts its read barriers."""

    barriers = 0

    async def read_barrier(self, timeout):
        self.barriers += 1
        return await super().read_barrier(timeout)


async def start_alone(state: RolloutState) -> tuple[RolloutController, CountingLog]:
    """Start the controller of a member that is alone, and return it with its log."""
    log, kernel = CountingLog(), Kernel()
    log.register_state_machine("rollouts", state)
    service = controller.create(
        state, RolloutLimits(), Metrics(), lambda name: True, lambda name: 1.0
    )
    for one in (MemoryNetwork().bus("c", "10.0.0.1:1"), log, service):
        kernel.add(one)
    await service.start(kernel)
    return service, log


class ControllerTestCase(PausedTestCase):
    """Runs a scenario on a started group."""

    def run_group(self, scenario, **options) -> None:
        async def run():
            group = RolloutGroup(**options)
            await group.start()
            try:
                await scenario(group)
            finally:
                await group.stop()

        self.run_paused(run())


class OutcomeTests(ControllerTestCase):
    """A good version is completed by its deadline, a bad one rolled back."""

    def test_a_completion_is_reported_without_its_age(self):
        async def scenario(group):
            await group.order()
            self.assertIs(Stage.COMPLETED, await group.wait_end())
            await asyncio.sleep(100.0)
            for coordinator in group.coordinators:
                self.assertAlmostEqual(100.0, coordinator.directive.ended_s, delta=5.0)

        self.run_group(scenario)

    def test_a_good_version_is_completed_without_runs_on_old_servers(self):
        async def scenario(group):
            ordered_at = now()
            self.assertTrue((await group.order()).ok.begun)
            self.assertIs(Stage.COMPLETED, await group.wait_end())
            self.assertLess(now() - ordered_at, DURATION_S)
            self.assertGreater(now() - ordered_at, DURATION_S / 2)
            for coordinator in group.coordinators:
                self.assertEqual(0, coordinator.old_runs)
                self.assertIs(Stage.COMPLETED, coordinator.directive.stage)

        self.run_group(scenario)

    def test_a_bad_version_gets_nothing_soon_after_its_50th_bad_response(self):
        async def scenario(group):
            for coordinator in group.coordinators:
                coordinator.rates = {"failed": 0.3}
            await group.order()
            self.assertIs(Stage.ROLLED_BACK, await group.wait_end())
            await asyncio.sleep(1.0)
            self.assertEqual([0.0, 0.0], [one.share for one in group.coordinators])
            bad = sum(one.day.bad_answers for one in group.coordinators)
            self.assertLess(bad, 50)

        self.run_group(scenario)

    def test_a_version_that_turns_bad_after_the_shift_is_rolled_back(self):
        async def scenario(group):
            await group.order()
            await group.consensus.wait_until(
                lambda: group.stage()[0] is Stage.SHIFTED, 20.0
            )
            for coordinator in group.coordinators:
                coordinator.rates = {"failed": 0.6}
            self.assertIs(Stage.ROLLED_BACK, await group.wait_end())

        self.run_group(scenario)

    def test_a_version_without_requests_is_rolled_back_by_the_deadline(self):
        async def scenario(group):
            for coordinator in group.coordinators:
                await coordinator.stop()
            ordered_at = now()
            await group.order()
            self.assertIs(Stage.ROLLED_BACK, await group.wait_end())
            self.assertLess(now() - ordered_at, DURATION_S)

        self.run_group(scenario)

    def test_old_servers_are_kept_until_the_deadline_for_runs_that_last(self):
        async def scenario(group):
            for coordinator in group.coordinators:
                coordinator.old_run_s = 60.0
            ordered_at = now()
            await group.order()
            self.assertIs(Stage.COMPLETED, await group.wait_end())
            took_s = now() - ordered_at
            self.assertGreaterEqual(took_s, DURATION_S - LAST_END_S)
            self.assertLess(took_s, DURATION_S)

        self.run_group(scenario)


class OrderTests(ControllerTestCase):
    """Repeated and concurrent orders begin one rollout."""

    def test_two_orders_at_once_begin_one_rollout(self):
        async def scenario(group):
            outcomes = await asyncio.gather(
                *(
                    group.order(to, node=node)
                    for node, to in zip(
                        group.consensus.nodes, ("v2", "v3", "v2"), strict=True
                    )
                )
            )
            begun = [one.ok for one in outcomes if one.is_ok() and one.ok.begun]
            self.assertEqual(1, len(begun))
            for outcome, to in zip(outcomes, ("v2", "v3", "v2"), strict=True):
                if to == begun[0].to:
                    self.assertEqual(begun[0].rollout, outcome.ok.rollout)
                else:
                    self.assertIs(OrderError.OTHER_VERSION, outcome.error)

        self.run_group(scenario)

    def test_an_order_is_a_repetition_until_5_s_after_the_end(self):
        async def scenario(group):
            first = (await group.order(duration_s=3.0)).ok
            await group.wait_end()
            await asyncio.sleep(REPETITION_S - 1.0)
            self.assertEqual(first.rollout, (await group.order()).ok.rollout)
            await asyncio.sleep(2.0)
            again = (await group.order(duration_s=3.0)).ok
            self.assertTrue(again.begun)
            repeated = (await group.order()).ok
            self.assertEqual((again.rollout, False), (repeated.rollout, repeated.begun))

        self.run_group(scenario)

    def test_a_service_that_no_configuration_has_is_refused(self):
        async def scenario(group):
            leader = await group.consensus.wait_leader()
            outcome = await group.controllers[leader.name].order("x", "v2", 9.0, 0.8)
            self.assertIs(OrderError.UNKNOWN_SERVICE, outcome.error)

        self.run_group(scenario)


class IdleTests(PausedTestCase):
    """A deployment without rollouts spends nothing on them."""

    def test_nothing_is_confirmed_before_the_first_order(self):
        async def scenario():
            service, log = await start_alone(RolloutState())
            await asyncio.sleep(10.0)
            self.assertEqual(0, log.barriers)
            self.assertTrue((await service.order("till", "v2", 9.0, 0.8)).is_ok())
            await asyncio.sleep(1.0)
            self.assertTrue(service.is_confirmed)
            await service.stop()

        self.run_paused(scenario())


class FaultTests(ControllerTestCase):
    """Rollouts go on after each loss that the log survives."""

    def test_the_next_leader_goes_on_with_the_same_evidence(self):
        async def scenario(group):
            ordered_at = now()
            await group.order()
            await asyncio.sleep(4.0)
            await group.kill_member(group.consensus.leader())
            self.assertIs(Stage.COMPLETED, await group.wait_end())
            self.assertLess(now() - ordered_at, DURATION_S)

        self.run_group(scenario)

    def test_the_next_leader_rolls_a_bad_version_back(self):
        async def scenario(group):
            await group.order()
            await asyncio.sleep(3.0)
            for coordinator in group.coordinators:
                coordinator.rates = {"slow": 0.5}
            await group.kill_member(group.consensus.leader())
            self.assertIs(Stage.ROLLED_BACK, await group.wait_end())
            bad = sum(one.day.bad_answers for one in group.coordinators)
            self.assertLess(bad, 50)

        self.run_group(scenario)

    def test_nothing_is_decided_and_directives_expire_without_a_majority(self):
        async def scenario(group):
            ordered_at = now()
            await group.order()
            await asyncio.sleep(4.0)
            lost = group.consensus.nodes[:2]
            for node in lost:
                await group.kill_member(node)
            await asyncio.sleep(4.0)
            self.assertEqual([0.0, 0.0], [one.share for one in group.coordinators])
            last = group.consensus.nodes[2]
            outcome = await group.order("v3", node=last)
            self.assertIs(OrderError.UNSURE, outcome.error)
            read = await group.controllers[last.name].read("till", 0.8)
            self.assertTrue(read.is_error())
            for node in lost:
                await group.start_member(node)
            self.assertIs(Stage.COMPLETED, await group.wait_end())
            self.assertLess(now() - ordered_at, DURATION_S)

        self.run_group(scenario)

    def test_a_rollout_survives_a_new_start_of_all_members(self):
        async def scenario(group):
            ordered_at = now()
            await group.order()
            await asyncio.sleep(5.0)
            for node in group.consensus.nodes:
                await group.kill_member(node)
            for node in group.consensus.nodes:
                await group.start_member(node)
            self.assertIs(Stage.COMPLETED, await group.wait_end())
            # Up to 1 s is not in the log, and the members were away for a time.
            self.assertLess(now() - ordered_at, DURATION_S + 2.5)

        self.run_group(scenario)

    def test_an_acknowledged_end_survives_a_new_start_of_all_members(self):
        async def scenario(group):
            for coordinator in group.coordinators:
                coordinator.rates = {"failed": 0.5}
            await group.order()
            await group.wait_end()
            for node in group.consensus.nodes:
                await group.kill_member(node)
            for node in group.consensus.nodes:
                await group.start_member(node)
            leader = await group.consensus.wait_leader()
            match await group.controllers[leader.name].read("till", 2.0):
                case Result(tag="ok", ok=rollout):
                    pass
            ended = (rollout.to, rollout.stage, rollout.ended)
            self.assertEqual(("v2", Stage.ROLLED_BACK, True), ended)

        self.run_group(scenario)

    def test_a_lost_coordinator_is_awaited_for_one_lease(self):
        async def scenario(group):
            for coordinator in group.coordinators:
                coordinator.longest_run_s = 4.0
            await group.order()
            await group.consensus.wait_until(
                lambda: group.stage()[0] is Stage.SHIFTED, 20.0
            )
            await group.coordinators[0].stop()
            lost_at = now()
            self.assertIs(Stage.COMPLETED, await group.wait_end())
            self.assertGreater(now() - lost_at, DIRECTIVE_LEASE_S - REPORT_PERIOD_S)
            self.assertLess(now() - lost_at, DIRECTIVE_LEASE_S + 1.5)

        self.run_group(scenario, coordinators=3)

    def test_a_leader_that_starts_waits_for_evidence(self):
        """It would roll back any version that it finds shortly before its deadline."""

        async def scenario():
            before, state = RolloutState(), RolloutState()
            before.apply(1, BeginRollout("till", "v2", DURATION_S, 0.09))
            before.apply(2, AdvanceRollout(1, DURATION_S - 0.5))
            service, _ = await start_alone(state)
            state.restore(before.snapshot())
            await asyncio.sleep(SETTLE_S - 0.1)
            self.assertIs(Stage.CANARY, state.get("till").stage)
            await asyncio.sleep(0.5)
            self.assertIs(Stage.ROLLED_BACK, state.get("till").stage)
            await service.stop()

        self.run_paused(scenario())

    def test_a_member_that_stood_still_judges_by_what_it_had_heard_before(self):
        async def scenario():
            service, _ = await start_alone(RolloutState())
            await service.order("till", "v2", 60.0, 0.8)
            await asyncio.sleep(2 * SETTLE_S)
            asyncio.get_running_loop().stand_still(4.0)
            with mock.patch.object(service, "_decide") as decide:
                await asyncio.sleep(SETTLE_S - 0.1)
                decide.assert_not_called()
                await asyncio.sleep(1.0)
                decide.assert_called()
            await service.stop()

        self.run_paused(scenario())

    def test_a_slow_commit_delays_the_next_decision(self):
        async def scenario():
            service, log = await start_alone(RolloutState())
            await service.order("till", "v2", 60.0, 0.8)
            await asyncio.sleep(2 * SETTLE_S)

            async def commit_slowly(rollout, evidence):
                decided_at.append(now())
                await asyncio.sleep(0.9)

            decided_at: list[float] = []
            with mock.patch.object(service, "_decide", commit_slowly):
                await asyncio.sleep(4.0)
            self.assertGreaterEqual(len(decided_at), 3)
            await service.stop()

        self.run_paused(scenario())
