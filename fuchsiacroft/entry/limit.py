"""Ends a run at its deadline, or when its permit is cut."""

import asyncio

from fuchsiacroft.utils.clock import now


class Limit:
    """Raises `TimeoutError` in its block at a deadline, or once `cut` is done."""

    def __init__(self, deadline: float, cut: asyncio.Future) -> None:
        self._timeout = asyncio.timeout_at(deadline)
        self._cut = cut
        self._left = False

    async def __aenter__(self) -> None:
        """Begin to watch the deadline and the cut."""
        await self._timeout.__aenter__()
        self._cut.add_done_callback(self._on_cut)

    async def __aexit__(self, *exc_info) -> bool | None:
        """Watch no more."""
        self._left = True
        self._cut.remove_done_callback(self._on_cut)
        return await self._timeout.__aexit__(*exc_info)

    def _on_cut(self, cut: asyncio.Future) -> None:
        if not self._left and not self._timeout.expired() and not cut.cancelled():
            self._timeout.reschedule(now())
