"""The service "orders": the leader reconciles engines with the placement."""

import asyncio
import dataclasses
import uuid
from collections import Counter

from expression import Error, Ok, Result

from fuchsiacroft.config.document import Document
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.control.configuration import ConfigurationState
from fuchsiacroft.control.engine_orders import EngineOrders
from fuchsiacroft.control.inventory import FULL_REPORT_PERIOD_S, Inventory
from fuchsiacroft.control.load_rate_limiter import LoadRateLimiter
from fuchsiacroft.control.log import ReplicatedLog
from fuchsiacroft.control.order_sender import LeadershipTerm, OrderSender
from fuchsiacroft.control.order_state import (
    Action,
    IssueOrder,
    OpenTerm,
    OrderIssued,
    OrderOutcome,
    OrderRecord,
    OrderRefused,
    OrderState,
    SettleOrder,
    Target,
)
from fuchsiacroft.control.placement import Engine, Placement, Step
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import BackgroundTasks

PLAN_PERIOD_S = 1.0
PROPOSE_TIMEOUT_S = 5.0
INVENTORY_SETTLE_S = FULL_REPORT_PERIOD_S + 5.0
LOAD_REPORT_TIMEOUT_S = 15.0


class LeaderTerm(LeadershipTerm):
    """This member's leadership in one term, with its senders and recent loads."""

    def __init__(
        self, number: int, service: "OrderService", load_limiter: LoadRateLimiter
    ) -> None:
        self.number = number
        self.started_at = now()
        self.load_limiter = load_limiter
        self.active_order_ids: set[str] = set()
        self.recent_loads: dict[str, tuple[float, IssueOrder]] = {}
        self._service = service

    @property
    def is_active(self) -> bool:
        """Return whether this member is still leader with a valid lease."""
        log = self._service.log
        return log.is_leader and log.term == self.number

    def is_engine_gone(self, record: OrderRecord) -> bool:
        """Return whether the engine has stopped or restarted since the order."""
        target = record.issue.target
        engine = self._service.engine(target.engine)
        if engine is not None:
            return engine.boot_id != target.boot_id
        return now() - self.started_at > INVENTORY_SETTLE_S

    def may_unload(self, record: OrderRecord) -> bool:
        """Return whether the engine may unload the model of the order.

        It may if another engine has the model loaded, or if the document no longer
        contains the model.
        """
        issue = record.issue
        if self._service.document.service(issue.model) is None:
            return True
        return any(
            issue.model in engine.models
            for engine in self._service.usable_engines()
            if engine.name != issue.target.engine
        )


class OrderService(Service):
    """Plans and sends orders while this member is leader."""

    name = "orders"

    def __init__(
        self, settings: Settings, state: OrderState, configuration: ConfigurationState
    ) -> None:
        self._loads_per_min = settings.weight_loads_per_min
        self._state = state
        self._configuration = configuration
        self._term: LeaderTerm | None = None
        self._tasks = BackgroundTasks("orders")
        self._counts: Counter[str] = Counter()

    async def start(self, kernel: Kernel) -> None:
        """Start the planning task."""
        self.log = kernel.get("log", ReplicatedLog)
        self._orders = kernel.get("engine_orders", EngineOrders)
        self._inventory = kernel.get("inventory", Inventory)
        self._tasks.spawn_repeated(self._plan, "orders")

    async def stop(self) -> None:
        """Stop sending orders."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the open orders and the outcomes of the last ones."""
        return {
            "term": self._term.number if self._term else None,
            "open": [_describe(record) for record in self._state.open_orders()],
            "ended": [_describe(record) for record in self._state.ended_orders()[-20:]],
            "counts": dict(self._counts),
        }

    @property
    def document(self) -> Document:
        """Return the newest document."""
        return self._configuration.document

    def engine(self, name: str) -> Engine | None:
        """Return an engine that was reported recently, or None."""
        return next(
            (engine for engine in self._inventory.engines() if engine.name == name),
            None,
        )

    def usable_engines(self) -> list[Engine]:
        """Return the engines that are not leaving, without models being unloaded."""
        unloading = {
            (issue.target.engine, issue.target.boot_id, issue.model)
            for issue in self._last_orders().values()
            if issue.action is Action.UNLOAD
        }
        return [
            _without_models(engine, unloading)
            for engine in self._inventory.engines()
            if not engine.leaving
        ]

    async def change_role(self, engine: str, role: str) -> Result[str, str]:
        """Order an engine to change its role; return the order id or an error."""
        found = self.engine(engine)
        if self._term is None or not self._term.is_active:
            return Error("not_leader")
        if found is None:
            return Error("unknown_engine")
        return await self._issue(self._term, found, Action.ROLE, role=role)

    async def _plan(self) -> None:
        await asyncio.sleep(PLAN_PERIOD_S)
        term = await self._current_term()
        if term is None:
            return
        self._send_open_orders(term)
        await self._issue_steps(term)

    async def _current_term(self) -> LeaderTerm | None:
        if self._term is not None and self._term.is_active:
            return self._term
        self._term = None
        if not self.log.is_leader:
            return None
        term = LeaderTerm(self.log.term, self, LoadRateLimiter(self._loads_per_min))
        opened = await self.log.propose(OpenTerm(term.number), PROPOSE_TIMEOUT_S)
        if opened.is_ok() and term.is_active:
            self._term = term
            event("info", "orders_begin", term=term.number)
        return self._term

    def _send_open_orders(self, term: LeaderTerm) -> None:
        for record in self._state.open_orders():
            if record.issue.order_id not in term.active_order_ids:
                term.active_order_ids.add(record.issue.order_id)
                self._tasks.spawn(self._execute_order(term, record), "order")

    async def _execute_order(self, term: LeaderTerm, record: OrderRecord) -> None:
        order_id = record.issue.order_id
        outcome = await OrderSender(term, self._orders, record).run()
        if outcome is OrderOutcome.DONE and record.issue.action is Action.LOAD:
            term.recent_loads[record.issue.target.engine] = (now(), record.issue)
        if outcome is not None:
            self._counts[outcome.value] += 1
            settle = SettleOrder(order_id, outcome)
            await self.log.propose(settle, PROPOSE_TIMEOUT_S)
        term.active_order_ids.discard(order_id)

    async def _issue_steps(self, term: LeaderTerm) -> None:
        if now() - term.started_at < INVENTORY_SETTLE_S:
            return
        open_orders = self._state.open_orders()
        loading = Counter(
            record.issue.model
            for record in open_orders
            if record.issue.action is Action.LOAD
        )
        placement = Placement(
            [spec for spec in self.document.services if spec.kind == "model"],
            self._inventory.demand(),
            self._engines_with_recent_loads(term),
            {record.issue.target.engine for record in open_orders},
        )
        for step in placement.steps(loading, term.load_limiter.available()):
            await self._issue_step(term, step)

    async def _issue_step(self, term: LeaderTerm, step: Step) -> None:
        action = Action(step.action)
        issued = await self._issue(term, step.engine, action, model=step.model)
        if issued.is_ok() and action is Action.LOAD:
            term.load_limiter.consume()

    async def _issue(
        self, term: LeaderTerm, engine: Engine, action: Action, **parameters: str
    ) -> Result[str, str]:
        target = Target(
            engine.name, engine.boot_id, engine.address, engine.checks_fencing
        )
        order = IssueOrder(term.number, uuid.uuid4().hex, target, action, **parameters)
        match await self.log.propose(order, PROPOSE_TIMEOUT_S):
            case Result(tag="ok", ok=applied):
                return self._record_issued(order, applied.result)
            case Result(error=reason):
                return Error(reason.value)

    def _record_issued(
        self, order: IssueOrder, result: OrderIssued | OrderRefused
    ) -> Result[str, str]:
        if isinstance(result, OrderRefused):
            self._counts[f"refused_{result.reason}"] += 1
            return Error(result.reason)
        self._counts["issued"] += 1
        event(
            "info",
            "order_issued",
            order=order.order_id,
            engine=order.target.engine,
            action=order.action.value,
            model=order.model,
        )
        return Ok(order.order_id)

    def _last_orders(self) -> dict[str, IssueOrder]:
        """Return each engine's last order of those that are open or were executed."""
        done = [
            record
            for record in self._state.ended_orders()
            if record.outcome is OrderOutcome.DONE
        ]
        orders = (*done, *self._state.open_orders())
        return {record.issue.target.engine: record.issue for record in orders}

    def _engines_with_recent_loads(self, term: LeaderTerm) -> list[Engine]:
        """Return the engines including loaded models that are not reported yet."""
        for name, (done_at, _) in tuple(term.recent_loads.items()):
            if now() - done_at > LOAD_REPORT_TIMEOUT_S:
                del term.recent_loads[name]
        return [
            _with_load(engine, term.recent_loads.get(engine.name))
            for engine in self.usable_engines()
        ]


def _with_load(engine: Engine, load: tuple[float, IssueOrder] | None) -> Engine:
    if load is None or load[1].target.boot_id != engine.boot_id:
        return engine
    return dataclasses.replace(engine, models=engine.models | {load[1].model})


def _without_models(engine: Engine, unloading: set[tuple[str, str, str]]) -> Engine:
    kept = frozenset(
        model
        for model in engine.models
        if (engine.name, engine.boot_id, model) not in unloading
    )
    return dataclasses.replace(engine, models=kept)


def _describe(record: OrderRecord) -> dict:
    issue = record.issue
    return {
        "order_id": issue.order_id,
        "index": record.index,
        "term": issue.term,
        "engine": issue.target.engine,
        "action": issue.action.value,
        "model": issue.model,
        "outcome": record.outcome.value if record.outcome else None,
    }


def create(
    settings: Settings, state: OrderState, configuration: ConfigurationState
) -> OrderService:
    """Return the order service; `state` is registered with the log as "orders"."""
    return OrderService(settings, state, configuration)
