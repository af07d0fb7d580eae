"""Sends one order until the engine has executed it or no longer exists."""

import asyncio
from abc import ABC, abstractmethod

from expression import Result

from fuchsiacroft.control.consensus.timing import LEASE_S
from fuchsiacroft.control.engine_orders import (
    CONNECT_TIMEOUT_S,
    EngineOrder,
    EngineOrders,
    SendError,
)
from fuchsiacroft.control.order_state import Action, OrderOutcome, OrderRecord
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event

OLD_LEADER_WAIT_S = LEASE_S + CONNECT_TIMEOUT_S
RETRY_MIN_S = 0.5
RETRY_MAX_S = 10.0


class LeadershipTerm(ABC):
    """One term of leadership, as used by the order senders."""

    number: int
    started_at: float

    @property
    @abstractmethod
    def is_active(self) -> bool:
        """Return whether this member is still leader with a valid lease."""

    @abstractmethod
    def is_engine_gone(self, record: OrderRecord) -> bool:
        """Return whether the engine has stopped or restarted since the order."""

    @abstractmethod
    def may_unload(self, record: OrderRecord) -> bool:
        """Return whether the engine may unload the model of the order.

        It may if another engine has the model loaded, or if the document no longer
        contains the model.
        """


class OrderSender:
    """Retries one order while the term is active."""

    def __init__(
        self, term: LeadershipTerm, orders: EngineOrders, record: OrderRecord
    ) -> None:
        self._term = term
        self._orders = orders
        self._record = record

    async def run(self) -> OrderOutcome | None:
        """Return the outcome, or None if the term ended first."""
        await self._wait_for_old_leader()
        delay = RETRY_MIN_S
        while self._term.is_active:
            outcome = await self._try_once()
            if outcome is not None:
                return outcome
            await asyncio.sleep(delay)
            delay = min(delay * 2, RETRY_MAX_S)
        return None

    async def _wait_for_old_leader(self) -> None:
        """Wait if the engine might still accept an order from the old leader.

        An engine that checks fencing tokens rejects such an order itself.
        """
        if self._record.issue.target.checks_fencing:
            return
        remaining_s = self._term.started_at + OLD_LEADER_WAIT_S - now()
        await asyncio.sleep(max(0.0, remaining_s))

    async def _try_once(self) -> OrderOutcome | None:
        record = self._record
        if self._term.is_engine_gone(record):
            return OrderOutcome.ENGINE_GONE
        if record.issue.action is Action.UNLOAD and not self._term.may_unload(record):
            return OrderOutcome.WITHDRAWN
        if not self._term.is_active:
            return None
        order = _engine_order(record, self._term.number)
        match await self._orders.send(
            record.issue.target.address, order, lambda: self._term.is_active
        ):
            case Result(tag="ok"):
                return OrderOutcome.DONE
            case Result(error=SendError() as reason):
                event(
                    "warning",
                    "order_not_carried_out",
                    order=record.issue.order_id,
                    engine=record.issue.target.engine,
                    reason=reason.value,
                )
        return None


def _engine_order(record: OrderRecord, term: int) -> EngineOrder:
    issue = record.issue
    return EngineOrder(
        issue.order_id,
        record.fencing_token(term),
        issue.action.value,
        issue.model,
        issue.version,
        issue.adapters,
        issue.role,
    )
