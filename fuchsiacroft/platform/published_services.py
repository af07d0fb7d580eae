"""The services of the newest published configuration, as rollouts need them."""

import zlib

from expression import Result

from fuchsiacroft.config.route_table import RouteTable
from fuchsiacroft.control.published import PublishedState
from fuchsiacroft.platform import documents
from fuchsiacroft.rollouts.run_lengths import USUAL_RUN_SHARE


class PublishedServices:
    """Reads the services of a configuration once for each version."""

    def __init__(self, state: PublishedState) -> None:
        self._state = state
        self._version = 0
        self._table: RouteTable | None = None

    def is_known(self, service: str) -> bool:
        """Return whether the newest configuration has a service."""
        table = self._current()
        return table is not None and service in table.services

    def longest_run_s(self, service: str) -> float:
        """Return how long the longest usual runs of a service may take."""
        table = self._current()
        timeouts = [
            route.timeout_s
            for route in (table.routes if table is not None else ())
            if any(target.service == service for target in route.targets)
        ]
        return USUAL_RUN_SHARE * max(timeouts, default=0.0)

    def _current(self) -> RouteTable | None:
        if self._state.version != self._version:
            self._version = self._state.version
            self._table = None
            match documents.read(zlib.decompress(self._state.body)):
                case Result(tag="ok", ok=table):
                    self._table = table
        return self._table


def create(state: PublishedState) -> PublishedServices:
    """Return the services of what is published."""
    return PublishedServices(state)
