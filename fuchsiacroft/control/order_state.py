"""The replicated orders: at most one open order per engine.

An order's fencing token is composed of the leader's term and the order's log
index, so that it also increases from one order to the next within a term.
"""

import enum
from collections import deque

import msgspec

from fuchsiacroft.config.bounds import Whole
from fuchsiacroft.control.log import StateMachine
from fuchsiacroft.transport import codec

TERM_SHIFT_BITS = 32
RETAINED_ENDED_ORDERS = 1_000


class Action(enum.Enum):
    """The action that an order requests from an engine."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


class OrderOutcome(enum.Enum):
    """How an order ended.

    `ENGINE_GONE`: the engine stopped or restarted. `WITHDRAWN`: an unload was
    cancelled, as it would have removed the last copy of its model.
    """

    DONE = "done"
    ENGINE_GONE = "engine_gone"
    WITHDRAWN = "withdrawn"


class Target(msgspec.Struct, frozen=True, array_like=True):
    """The engine that an order is for; `boot_id` identifies one run of its process."""

    engine: str
    boot_id: str
    address: str
    checks_fencing: bool


@codec.message("orders.open_term")
class OpenTerm(msgspec.Struct, frozen=True):
    """Start a leader's term; orders of earlier terms are rejected from now on."""

    term: Whole


@codec.message("orders.issue")
class IssueOrder(msgspec.Struct, frozen=True):
    """Record an order before it is sent; the `order_id` makes this idempotent."""

    term: Whole
    order_id: str
    target: Target
    action: Action
    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = ""


@codec.message("orders.settle")
class SettleOrder(msgspec.Struct, frozen=True):
    """Record the outcome of an order."""

    order_id: str
    outcome: OrderOutcome


@codec.message("orders.issued")
class OrderIssued(msgspec.Struct, frozen=True):
    """The order is recorded and may be sent."""

    order_id: str


@codec.message("orders.refused")
class OrderRefused(msgspec.Struct, frozen=True):
    """The order was rejected; `reason` is `old_term`, `engine_busy` or `model_busy`."""

    reason: str


class OrderRecord(msgspec.Struct, frozen=True):
    """An order with its log index, and its outcome once it has ended."""

    index: int
    issue: IssueOrder
    outcome: OrderOutcome | None = None

    def fencing_token(self, term: int) -> int:
        """Return the fencing token of the order when sent by the leader of `term`."""
        return term << TERM_SHIFT_BITS | self.index


class _Snapshot(msgspec.Struct, frozen=True):
    term: int
    open: list[OrderRecord]
    ended: list[OrderRecord]


class OrderState(StateMachine):
    """The open orders by engine, and the most recently ended orders."""

    commands = (OpenTerm, IssueOrder, SettleOrder)

    def __init__(self) -> None:
        self.term = 0
        self._open_by_engine: dict[str, OrderRecord] = {}
        self._ended: deque[OrderRecord] = deque(maxlen=RETAINED_ENDED_ORDERS)

    def apply(self, index: int, command: msgspec.Struct) -> msgspec.Struct | None:
        """Apply one command."""
        match command:
            case OpenTerm(term=term):
                self.term = max(self.term, term)
            case IssueOrder():
                return self._issue(index, command)
            case SettleOrder():
                self._settle(command)
        return None

    def open_orders(self) -> tuple[OrderRecord, ...]:
        """Return the orders without an outcome."""
        return tuple(self._open_by_engine.values())

    def ended_orders(self) -> tuple[OrderRecord, ...]:
        """Return the most recently ended orders, oldest first."""
        return tuple(self._ended)

    def is_open(self, order_id: str) -> bool:
        """Return whether an order has no outcome yet."""
        return any(
            record.issue.order_id == order_id
            for record in self._open_by_engine.values()
        )

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        return msgspec.msgpack.encode(
            _Snapshot(self.term, list(self._open_by_engine.values()), list(self._ended))
        )

    def restore(self, data: bytes) -> None:
        """Restore the whole state from a snapshot."""
        saved = msgspec.msgpack.decode(data, type=_Snapshot)
        self.term = saved.term
        self._open_by_engine = {
            record.issue.target.engine: record for record in saved.open
        }
        self._ended = deque(saved.ended, maxlen=RETAINED_ENDED_ORDERS)

    def _issue(self, index: int, order: IssueOrder) -> msgspec.Struct:
        if self._is_known(order.order_id):
            return OrderIssued(order.order_id)
        if order.term < self.term:
            return OrderRefused("old_term")
        if order.target.engine in self._open_by_engine:
            return OrderRefused("engine_busy")
        if order.action is Action.UNLOAD and self._is_unloading(order.model):
            return OrderRefused("model_busy")
        self._open_by_engine[order.target.engine] = OrderRecord(index, order)
        return OrderIssued(order.order_id)

    def _settle(self, command: SettleOrder) -> None:
        for engine, record in self._open_by_engine.items():
            if record.issue.order_id == command.order_id:
                del self._open_by_engine[engine]
                ended = msgspec.structs.replace(record, outcome=command.outcome)
                self._ended.append(ended)
                return

    def _is_known(self, order_id: str) -> bool:
        ended = any(record.issue.order_id == order_id for record in self._ended)
        return ended or self.is_open(order_id)

    def _is_unloading(self, model: str) -> bool:
        return any(
            record.issue.action is Action.UNLOAD and record.issue.model == model
            for record in self._open_by_engine.values()
        )
