"""Ends a run at its deadline, or when its permit is preempted."""

import asyncio

from fuchsiacroft.utils.clock import now


class RunTimeout:
    """Raises `TimeoutError` in its block at a deadline or when `preempted` is done."""

    def __init__(self, deadline: float, preempted: asyncio.Future) -> None:
        self._timeout = asyncio.timeout_at(deadline)
        self._preempted = preempted
        self._exited = False

    async def __aenter__(self) -> None:
        """Start to watch the deadline and the preemption."""
        await self._timeout.__aenter__()
        self._preempted.add_done_callback(self._on_preempted)

    async def __aexit__(self, *exc_info) -> bool | None:
        """Stop watching."""
        self._exited = True
        self._preempted.remove_done_callback(self._on_preempted)
        return await self._timeout.__aexit__(*exc_info)

    def _on_preempted(self, preempted: asyncio.Future) -> None:
        if (
            not self._exited
            and not self._timeout.expired()
            and not preempted.cancelled()
        ):
            self._timeout.reschedule(now())
