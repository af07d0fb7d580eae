"""Where a process finds the route table in force."""

from abc import ABC, abstractmethod

from fuchsiacroft.config.route_table import RouteTable
from fuchsiacroft.kernel import Service


class RouteSource(Service, ABC):
    """Holds the route table in force; its version never goes down."""

    name = "route_table"

    @property
    @abstractmethod
    def table(self) -> RouteTable | None:
        """Return the table that requests may be decided by, if any."""

    @property
    @abstractmethod
    def age_s(self) -> float:
        """Return the seconds since a quorum was behind the version."""

    @property
    def version(self) -> int:
        """Return the version of the table, 0 if there is none."""
        return self.table.version if self.table is not None else 0
