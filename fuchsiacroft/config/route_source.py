"""Interface of the service that provides the route table."""

import asyncio
from abc import ABC, abstractmethod

from fuchsiacroft.config.route_table import RouteTable
from fuchsiacroft.kernel import Service
from fuchsiacroft.utils.clock import now

TABLE_POLL_S = 0.01


class RouteSource(Service, ABC):
    """Holds the route table in force; its version never decreases."""

    name = "route_table"

    @property
    @abstractmethod
    def table(self) -> RouteTable | None:
        """Return the table to route requests by, or None."""

    @property
    @abstractmethod
    def age_s(self) -> float:
        """Return the seconds since a quorum last confirmed the version."""

    async def wait_for_table(self, timeout_s: float) -> None:
        """Wait until there is a table, for at most `timeout_s`."""
        deadline = now() + timeout_s
        while self.table is None and now() < deadline:
            await asyncio.sleep(TABLE_POLL_S)

    @property
    def version(self) -> int:
        """Return the version of the table, 0 if there is none."""
        return self.table.version if self.table is not None else 0
