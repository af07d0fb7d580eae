"""The message in which VMs report to each other what servers said of their limits.

Times are sent as ages, since the clocks of VMs differ.
"""

import heapq

import msgspec

from fuchsiacroft.config.bounds import Age, Rate
from fuchsiacroft.membership.server_limits import LimitStatement, ServerLimits
from fuchsiacroft.membership.server_notices import ServerInstance
from fuchsiacroft.transport import codec

MAX_REPORTS = 1_000
"""Limits in one message, the newest first."""


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """A statement on one start of a backend server.

    `per_s` is infinite if the server names no limit any more. `sent_age_s` and
    `received_age_s` are how long ago the request was sent and its answer arrived.
    """

    backend_server: str
    start: str
    per_s: Rate
    sent_age_s: Age
    received_age_s: Age

    def server(self) -> ServerInstance:
        """Return the server of which it speaks."""
        return ServerInstance(self.backend_server, self.start)

    def statement(self, at: float) -> LimitStatement:
        """Return the statement on the clock of a VM that receives it at `at`."""
        return LimitStatement(
            self.per_s, at - self.sent_age_s, at - self.received_age_s
        )


@codec.message("membership.server_limits")
class LimitReports(msgspec.Struct, frozen=True):
    """Statements that the sender, or another VM, had from backend servers."""

    reports: tuple[LimitReport, ...]


def report(server: ServerInstance, statement: LimitStatement, at: float) -> LimitReport:
    """Return the report of a statement, sent at `at`."""
    return LimitReport(
        server.name,
        server.start,
        statement.per_s,
        at - statement.sent_at,
        at - statement.received_at,
    )


def reports(limits: ServerLimits, at: float) -> tuple[LimitReport, ...]:
    """Return the reports of all that is known, at most `MAX_REPORTS` of them."""
    newest = heapq.nlargest(
        MAX_REPORTS, limits.statements(), key=lambda item: item[1].received_at
    )
    return tuple(report(server, statement, at) for server, statement in newest)
