"""Tests of orders to engines under failures."""

import asyncio
import dataclasses

from expression import Error, Ok

from fuchsiacroft.config.document import Document, ServiceSpec
from fuchsiacroft.config.settings import Addresses, Settings
from fuchsiacroft.control import orders
from fuchsiacroft.control.configuration import ConfigurationState
from fuchsiacroft.control.engine_orders import EngineOrders, SendError
from fuchsiacroft.control.inventory import Inventory
from fuchsiacroft.control.order_sender import OLD_LEADER_WAIT_S
from fuchsiacroft.control.order_state import OrderOutcome, OrderState
from fuchsiacroft.control.orders import INVENTORY_SETTLE_S
from fuchsiacroft.control.placement import Engine
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.replicated_log import FakeLogGroup
from fuchsiacroft.utils.clock import now

SETTINGS = Settings(
    node="c",
    failure_domain="d",
    region="r",
    addresses=Addresses("127.0.0.1:1"),
    weight_loads_per_min=6.0,
)
MINUTE_S = 60.0
ROUNDING_S = 1e-6


class FakeEngines(EngineOrders):
    """Simulates engines that execute orders."""

    def __init__(self, engines):
        self.engines = {engine.name: engine for engine in engines}
        self.sent = []
        self.done = []
        self.highest = {}
        self.unresponsive = set()
        self.lose_replies = False

    async def send(self, address, order, may_send=lambda: True):
        name = next(n for n, e in self.engines.items() if e.address == address)
        self.sent.append((now(), name, order))
        await asyncio.sleep(0.01)
        if name in self.unresponsive:
            return Error(SendError.NO_ANSWER)
        engine = self.engines[name]
        if engine.checks_fencing and order.fencing < self.highest.get(name, 0):
            return Error(SendError.FENCED)
        self.highest[name] = max(order.fencing, self.highest.get(name, 0))
        if order.order_id not in [done.order_id for _, done in self.done]:
            self.execute(name, order)
        return Error(SendError.NO_ANSWER) if self.lose_replies else Ok(None)

    def execute(self, name, order):
        self.done.append((now(), order))
        models = set(self.engines[name].models)
        models.add(order.model) if order.action == "load" else models.discard(
            order.model
        )
        self.engines[name] = dataclasses.replace(
            self.engines[name], models=frozenset(models)
        )

    def copies(self, model):
        return sum(model in engine.models for engine in self.engines.values())


class FakeInventory(Inventory):
    """Reports the engines of a `FakeEngines` as they are."""

    def __init__(self, fake_engines):
        self.fake_engines = fake_engines

    def engines(self):
        return tuple(self.fake_engines.engines.values())

    def demand(self):
        return {}


class ControlGroup:
    """Control members that share a `FakeEngines`."""

    def __init__(self, fake_engines, *specs):
        self.fake_engines = fake_engines
        self.group = FakeLogGroup()
        self.states = []
        self.logs = []
        self.kernels = []
        self.services = []
        self.documents = ConfigurationState()
        self.documents.document = Document(
            tiers=[], services=list(specs), workspaces=[]
        )

    async def add_member(self):
        state = OrderState()
        log = self.group.member()
        log.register_state_machine("orders", state)
        service = orders.create(SETTINGS, state, self.documents)
        kernel = Kernel()
        for component in (
            log,
            self.fake_engines,
            FakeInventory(self.fake_engines),
            service,
        ):
            kernel.add(component)
        await service.start(kernel)
        self.states.append(state)
        self.logs.append(log)
        self.services.append(service)

    async def stop(self):
        for service in self.services:
            await service.stop()


def model(name, replicas=0):
    return ServiceSpec(name=name, kind="model", replicas=replicas)


def engine(number, *models, checks=True):
    name = f"d/gpu-{number}"
    return Engine(name, "b", f"10.0.0.{number}:1", "d", frozenset(models), checks)


class OrdersTests(PausedTestCase):
    """Each order takes effect once, regardless of leader changes."""

    def run_group(self, scenario, engines, *specs, members=2):
        async def run():
            control = ControlGroup(FakeEngines(engines), *specs)
            for _ in range(members):
                await control.add_member()
            try:
                await scenario(control)
            finally:
                await control.stop()

        self.run_paused(run())

    def test_loads_are_limited_to_the_rate_of_the_weight_store(self):
        async def scenario(control):
            await asyncio.sleep(5 * MINUTE_S)
            self.assertEqual(12, control.fake_engines.copies("a"))
            loads = [
                at for at, order in control.fake_engines.done if order.action == "load"
            ]
            for i, at in enumerate(loads):
                within = [later for later in loads[i:] if later - at < MINUTE_S]
                self.assertLessEqual(len(within), 6 + 2)

        self.run_group(scenario, [engine(i) for i in range(12)], model("a", 12))

    def test_a_lost_reply_repeats_the_order_but_not_its_effect(self):
        async def scenario(control):
            control.fake_engines.lose_replies = True
            await asyncio.sleep(MINUTE_S)
            control.fake_engines.lose_replies = False
            await asyncio.sleep(MINUTE_S)
            self.assertGreater(len(control.fake_engines.sent), 1)
            self.assertEqual(1, len(control.fake_engines.done))
            (ended,) = control.states[0].ended_orders()
            self.assertIs(OrderOutcome.DONE, ended.outcome)

        self.run_group(scenario, [engine(1)], model("a"))

    def test_a_new_leader_resends_open_orders_with_a_higher_fencing_token(self):
        async def scenario(control):
            control.fake_engines.unresponsive = {"d/gpu-1"}
            await asyncio.sleep(MINUTE_S)
            control.group.elect(control.logs[1])
            control.fake_engines.unresponsive = set()
            await asyncio.sleep(MINUTE_S)
            ids = {order.order_id for _, _, order in control.fake_engines.sent}
            self.assertEqual(1, len(ids))
            numbers = [order.fencing for _, _, order in control.fake_engines.sent]
            self.assertGreater(numbers[-1], numbers[0])
            self.assertEqual(1, control.fake_engines.copies("a"))

        self.run_group(scenario, [engine(1)], model("a"))

    def test_orders_to_an_engine_without_fencing_wait_for_the_old_lease(self):
        async def scenario(control):
            control.fake_engines.unresponsive = {"d/gpu-1", "d/gpu-2"}
            await asyncio.sleep(MINUTE_S)
            elected_at = now()
            control.group.elect(control.logs[1])
            control.fake_engines.sent.clear()
            await asyncio.sleep(MINUTE_S)
            first = {}
            for at, name, _ in control.fake_engines.sent:
                first.setdefault(name, at - elected_at)
            self.assertGreater(first["d/gpu-1"], OLD_LEADER_WAIT_S - ROUNDING_S)
            self.assertLess(first["d/gpu-2"], OLD_LEADER_WAIT_S)

        engines = [engine(1, checks=False), engine(2)]
        self.run_group(scenario, engines, model("a"), model("b"))

    def test_a_leader_without_a_lease_sends_nothing(self):
        async def scenario(control):
            control.fake_engines.unresponsive = {"d/gpu-1"}
            await asyncio.sleep(MINUTE_S)
            control.group.leader = None
            await asyncio.sleep(1)
            control.fake_engines.sent.clear()
            await asyncio.sleep(5 * MINUTE_S)
            self.assertEqual([], control.fake_engines.sent)

        self.run_group(scenario, [engine(1)], model("a"))

    def test_an_order_of_an_old_term_is_rejected(self):
        async def scenario(control):
            await asyncio.sleep(2)
            old = control.services[0]
            term = old._term
            control.group.elect(control.logs[1])
            await asyncio.sleep(2)
            (target,) = control.fake_engines.engines.values()
            issued = await old._issue(term, target, orders.Action.LOAD, model="a")
            self.assertEqual("old_term", issued.error)

        self.run_group(scenario, [engine(1)], model("a"))

    def test_an_order_to_a_restarted_engine_is_abandoned(self):
        async def scenario(control):
            control.fake_engines.unresponsive = {"d/gpu-1"}
            await asyncio.sleep(MINUTE_S)
            current = control.fake_engines.engines["d/gpu-1"]
            control.fake_engines.engines["d/gpu-1"] = dataclasses.replace(
                current, boot_id="new"
            )
            control.fake_engines.unresponsive = set()
            await asyncio.sleep(MINUTE_S)
            outcomes = [record.outcome for record in control.states[1].ended_orders()]
            self.assertEqual([OrderOutcome.ENGINE_GONE, OrderOutcome.DONE], outcomes)

        self.run_group(scenario, [engine(1)], model("a"))

    def test_an_unload_is_withdrawn_when_the_other_copy_is_lost(self):
        async def scenario(control):
            control.fake_engines.unresponsive = {"d/gpu-1", "d/gpu-2"}
            await asyncio.sleep(MINUTE_S)
            (unload,) = control.states[0].open_orders()
            (other,) = {"d/gpu-1", "d/gpu-2"} - {unload.issue.target.engine}
            del control.fake_engines.engines[other]
            control.fake_engines.unresponsive = set()
            await asyncio.sleep(MINUTE_S)
            self.assertEqual(1, control.fake_engines.copies("a"))
            self.assertIs(
                OrderOutcome.WITHDRAWN, control.states[0].ended_orders()[0].outcome
            )

        engines = [engine(1, "a"), engine(2, "a")]
        self.run_group(scenario, engines, model("a"), model("b"))

    def test_leader_changes_never_unload_the_last_copy(self):
        async def scenario(control):
            for round_number in range(12):
                await asyncio.sleep(INVENTORY_SETTLE_S + 3 + round_number % 5)
                control.fake_engines.lose_replies = round_number % 3 == 0
                self.assertGreaterEqual(control.fake_engines.copies("a"), 1)
                control.group.elect(control.logs[round_number % 2])
            control.fake_engines.lose_replies = False
            await asyncio.sleep(5 * MINUTE_S)
            for name in ("a", "b", "c"):
                self.assertGreaterEqual(control.fake_engines.copies(name), 1)

        engines = [engine(i, "a", checks=i % 2 == 0) for i in range(5)]
        self.run_group(scenario, engines, model("a"), model("b"), model("c"))

    def test_a_role_is_changed_on_request(self):
        async def scenario(control):
            await asyncio.sleep(2)
            issued = await control.services[0].change_role("d/gpu-1", "prefill")
            self.assertTrue(issued.is_ok())
            await asyncio.sleep(5)
            (_, order) = control.fake_engines.done[0]
            self.assertEqual(("role", "prefill"), (order.action, order.role))

        self.run_group(scenario, [engine(1, "a")], model("a"))

    def test_snapshots_contain_open_and_ended_orders(self):
        async def scenario(control):
            control.fake_engines.unresponsive = {"d/gpu-1"}
            await asyncio.sleep(MINUTE_S)
            copy = OrderState()
            copy.restore(control.states[0].snapshot())
            self.assertEqual(control.states[0].open_orders(), copy.open_orders())
            self.assertEqual(control.states[0].ended_orders(), copy.ended_orders())
            self.assertEqual(1, len(copy.open_orders()))

        self.run_group(scenario, [engine(1), engine(2)], model("a", 2))
