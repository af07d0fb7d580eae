"""Records and logs what is said of backend servers' limits."""

import math
from collections.abc import Iterable

from expression import Error, Ok, Result

from fuchsiacroft.config.bounds import MAX_AMOUNT
from fuchsiacroft.membership import limit_reports
from fuchsiacroft.membership.limit_reports import LimitReport
from fuchsiacroft.membership.server_limits import (
    UNLIMITED,
    LimitStatement,
    ServerLimits,
)
from fuchsiacroft.membership.server_notices import NoticedAnswer, ServerInstance
from fuchsiacroft.utils.bounded import set_newest
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event

REPEAT_S = 2.0
"""What a server told this VM is repeated to others for this long, as a message may be
lost."""
MAX_STATEMENTS = 1_000
"""Servers whose last statement is repeated; the oldest are dropped."""


class LimitRecorder:
    """Adds the statements of answers and of other VMs to `limits`."""

    def __init__(self, limits: ServerLimits) -> None:
        self._limits = limits
        self._statements: dict[ServerInstance, LimitStatement] = {}

    def record_answer(self, answer: NoticedAnswer) -> LimitReport | None:
        """Record what an answer says of its server's limit; return it, or None.

        None means that it says nothing: the server has no limit, or names one without
        sense.
        """
        per_s = self._named(answer)
        if per_s is None:
            return None
        statement = LimitStatement(per_s, answer.sent_at, now())
        self._record(answer.server, statement, answer.request_id, source="answer")
        set_newest(self._statements, answer.server, statement, MAX_STATEMENTS)
        return limit_reports.report(answer.server, statement, now())

    def reports(self) -> tuple[LimitReport, ...]:
        """Return what servers said to this VM lately."""
        at = now()
        self._statements = {
            server: statement
            for server, statement in self._statements.items()
            if at - statement.received_at <= REPEAT_S
        }
        return tuple(
            limit_reports.report(server, statement, at)
            for server, statement in self._statements.items()
        )

    def record_reports(self, reports: Iterable[LimitReport], source: str) -> None:
        """Record the statements that another VM reports."""
        at = now()
        for report in reports:
            self._record(report.server(), report.statement(at), "-", source)

    def _named(self, answer: NoticedAnswer) -> float | None:
        value = answer.notice.limit
        if value is None:
            was_limited = answer.is_limited or self._has_limit(answer.server)
            return UNLIMITED if answer.notice.has_run and was_limited else None
        match parse_limit(value):
            case Result(tag="ok", ok=per_s):
                return per_s
            case Result(error=problem):
                event(
                    "warning",
                    "server_limit_not_used",
                    backend_server=answer.server.name,
                    value=value,
                    reason=problem,
                    request_id=answer.request_id,
                )
        return None

    def _has_limit(self, server: ServerInstance) -> bool:
        return self._limits.per_s(server) != UNLIMITED

    def _record(
        self,
        server: ServerInstance,
        statement: LimitStatement,
        request_id: str,
        source: str,
    ) -> None:
        if not self._limits.record(server, statement):
            return
        per_s = "-" if statement.per_s == UNLIMITED else round(statement.per_s, 3)
        event(
            "info",
            "server_limit",
            backend_server=server.name,
            start=server.start,
            per_s=per_s,
            source=source,
            request_id=request_id,
        )


def parse_limit(text: str) -> Result[float, str]:
    """Return a limit in requests per second, or why the value is not a sensible one."""
    try:
        per_s = float(text)
    except ValueError:
        return Error("unreadable")
    if not math.isfinite(per_s):
        return Error("not_finite")
    if per_s < 0:
        return Error("negative")
    if per_s > MAX_AMOUNT:
        return Error(f"over {MAX_AMOUNT:.0f}")
    return Ok(per_s)
