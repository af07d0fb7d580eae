"""Requests a permit at several owners at once; the first grant wins."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable

from expression import Error, Ok, Result

from fuchsiacroft.routing.permits import Permit, Refusal, RefusalReason
from fuchsiacroft.utils.clock import now

RETRY_REFUSED_AFTER_S = 2.0

Outcome = Result[Permit, Refusal]


class Race:
    """The attempts of one permit request, by node.

    `return_permit` is called with every granted permit but the first.
    """

    def __init__(self, return_permit: Callable[[Permit], None]) -> None:
        self._return_permit = return_permit
        self._attempts: dict[str, asyncio.Task] = {}
        self._pending: set[asyncio.Task] = set()
        self._refusals: dict[str, Refusal] = {}
        self._refused_at: dict[str, float] = {}
        self.winner: Permit | None = None

    @property
    def attempt_count(self) -> int:
        """Return the number of nodes tried."""
        return len(self._attempts)

    @property
    def is_over(self) -> bool:
        """Return whether a permit was granted or every attempt has ended."""
        return self.winner is not None or not self._pending

    @property
    def has_refusals(self) -> bool:
        """Return whether any node has refused."""
        return bool(self._refusals)

    def refusal_of(self, node: str) -> Refusal | None:
        """Return a node's refusal, if it has refused."""
        return self._refusals.get(node)

    def all_refused(self, nodes: Iterable[str]) -> bool:
        """Return whether all of the given nodes have refused."""
        return all(node in self._refusals for node in nodes)

    def may_try(self, node: str) -> bool:
        """Return whether a node is untried, or refused long enough ago."""
        if node not in self._attempts:
            return True
        refused_at = self._refused_at.get(node)
        return refused_at is not None and now() - refused_at >= RETRY_REFUSED_AFTER_S

    def start(self, node: str, coro: Coroutine[None, None, Outcome]) -> None:
        """Start an attempt at a node, and drop its earlier refusal."""
        self._refusals.pop(node, None)
        self._refused_at.pop(node, None)
        task = asyncio.get_running_loop().create_task(coro)
        self._attempts[node] = task
        self._pending.add(task)

    async def wait(self, timeout_s: float) -> None:
        """Wait until an attempt ends, at most `timeout_s` seconds."""
        done, self._pending = await asyncio.wait(
            self._pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        for task in self._attempts.values():
            if task in done:
                self._collect(task)

    def outcome(self) -> Outcome:
        """Return the permit, or the refusal with the shortest retry delay.

        A refusal because of a quarantine takes precedence.
        """
        if self.winner is not None:
            return Ok(self.winner)
        for refusal in self._refusals.values():
            if refusal.reason is RefusalReason.QUARANTINED:
                return Error(refusal)
        return Error(
            min(self._refusals.values(), key=lambda refusal: refusal.retry_after_s)
        )

    def close(self) -> None:
        """Cancel the pending attempts."""
        for task in self._attempts.values():
            if task in self._pending:
                task.cancel()
                task.add_done_callback(self._on_closed_attempt_done)
        self._pending = set()

    def _collect(self, task: asyncio.Task) -> None:
        match task.result():
            case Result(tag="ok", ok=permit):
                if self.winner is None:
                    self.winner = permit
                else:
                    self._return_permit(permit)
            case Result(error=refusal):
                node = self._node_of(task)
                self._refusals[node] = refusal
                self._refused_at[node] = now()

    def _node_of(self, task: asyncio.Task) -> str:
        return next(node for node, attempt in self._attempts.items() if attempt is task)

    def _on_closed_attempt_done(self, task: asyncio.Task) -> None:
        if task.cancelled() or task.exception() is not None:
            return
        match task.result():
            case Result(tag="ok", ok=permit):
                self._return_permit(permit)
