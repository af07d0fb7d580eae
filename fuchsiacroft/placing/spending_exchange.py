"""Lets a new coordinator count what its predecessors spent of quotas.

A quota's window outlasts the process that counts it. So a coordinator reports what it
has spent to the entry that would succeed it and to control members. An entry that
becomes coordinator counts what was reported to it, and asks the others for a newer
report. Until it knows, it spends no more than its predecessors can have left.
"""

import asyncio
import math

from expression import Result

from fuchsiacroft.membership.registry_wire import EntryRecord
from fuchsiacroft.membership.roster import Roster
from fuchsiacroft.placing.coordinators import coordinator_of
from fuchsiacroft.placing.earlier_spending import UNREPORTED_S
from fuchsiacroft.placing.quotas import Quotas
from fuchsiacroft.placing.spending_messages import (
    DomainSpending,
    SpendingKnown,
    SpendingQuery,
)
from fuchsiacroft.placing.spending_reports import (
    SpendingReport,
    SpendingReports,
    UnitsByAge,
)
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.process_start import process_start
from fuchsiacroft.utils.tasks import BackgroundTasks

ENTRIES_POLL_S = 0.02
QUERY_TIMEOUT_S = 0.3
FIRST_REPLIES_S = 0.03
"""Some round trips within a region, after which one report is enough."""
QUERY_PERIOD_S = 0.1
SLOW_QUERY_PERIOD_S = 0.5
MAX_LEARNING_S = 1.0
"""A coordinator that nobody can answer reports what it spent itself from then on."""
REPORT_PERIOD_S = 0.25
MAX_REPORT_AGE_S = 0.3
"""Age of the last report at most, as it is sent with a report of the load."""
CONTROL_TARGETS = 2
"""Control members that keep reports; each entry has a thin link of its own."""
MAX_LOCAL_PEERS = 3
"""Entries of the own domain that are asked."""


class SpendingExchange:
    """Reports what this entry's coordinator spends, and learns of its predecessors.

    Its own reports are partial while this entry isn't the coordinator, or doesn't know
    yet what predecessors spent; others must not use them in place of earlier ones.
    """

    def __init__(
        self,
        bus: Bus,
        roster: Roster,
        quotas: Quotas,
        epoch: str,
        tasks: BackgroundTasks,
    ) -> None:
        self._bus = bus
        self._roster = roster
        self._quotas = quotas
        self._epoch = epoch
        self._tasks = tasks
        self._learning: asyncio.Task | None = None
        self._observes_since = math.inf
        self._sent_at = -math.inf
        self._reports = SpendingReports()
        self.is_partial = True
        # Predecessors at this address had ended when this process started.
        quotas.earlier.counted_since = now() - process_start.elapsed_s()
        bus.register_handler(SpendingQuery, self._on_query)
        bus.register_handler(DomainSpending, self._on_spending)

    def report(self) -> SpendingReport:
        """Return the report of this entry's coordinator."""
        at = now()
        units = _whole(self._quotas.spent_by_age(at))
        return SpendingReport(self._epoch, units, self._quotas.counted_s(at))

    def admitted_units(self) -> dict[str, UnitsByAge]:
        """Return the units that this entry admitted itself, by age."""
        return _whole(self._quotas.admitted_by_age(now()))

    def record(self, domain: str, report: SpendingReport) -> None:
        """Store the report of a domain's coordinator, unless it is this entry's."""
        if report.epoch != self._epoch:
            self._reports.record(domain, report, now())

    def send_if_due(self) -> None:
        """Report to those that a successor of this entry's coordinator asks.

        They are the entry that would be the next coordinator, and control members.
        """
        if self.is_partial or now() < self._sent_at + REPORT_PERIOD_S:
            return
        self._sent_at = now()
        msg = DomainSpending(self._domain, self.report())
        if not msg.report.units:
            return
        successor = _successor(self._roster.entries(), self._domain)
        if successor is not None:
            self._bus.send(successor.peers, msg)
        for address in sorted(self._roster.control_addresses)[:CONTROL_TARGETS]:
            self._bus.send(address, msg)

    def take_over(self) -> None:
        """Count what predecessors spent, as this entry has become the coordinator.

        The report that it has may be old, if it was cut off lately itself. It sends
        none before it has asked for a newer one, as its own would replace that.
        """
        known = self._reports.get(self._domain, now())
        if known is not None:
            self._count(known, "reports", observed_s=0.0)
        self.is_partial = True
        self._observes_since = min(self._observes_since, now())
        if self._learning is not None:
            self._learning.cancel()
        is_known = known is not None or self._is_complete
        self._learning = self._tasks.spawn(self._learn(is_known), "learn-spending")

    async def learn_once(self) -> bool:
        """Count what others know to be spent, as this coordinator was isolated.

        Returns whether any of them replied; it may be isolated again.
        """
        replies = await self._ask_others()
        self.is_partial = not replies
        return bool(replies)

    def resign(self) -> None:
        """Stop to learn, as another entry has become the coordinator."""
        self.is_partial = True
        self._observes_since = math.inf
        if self._learning is not None:
            self._learning.cancel()
            self._learning = None

    @property
    def _domain(self) -> str:
        return self._roster.local_entry.failure_domain

    @property
    def _is_complete(self) -> bool:
        """Return whether nothing in the window was spent before it was counted."""
        return self._quotas.counted_s(now()) >= self._quotas.window_s

    async def _learn(self, is_known: bool) -> None:
        """Ask the others until one has a report, or the window is counted here.

        An entry that has just started takes itself for the coordinator until it knows
        the others.
        """
        while not self._roster.knows_entries:
            await asyncio.sleep(ENTRIES_POLL_S)
        gives_up_at = now() + MAX_LEARNING_S
        while not self._reports_in(await self._ask_others()) and not is_known:
            self.is_partial = now() < gives_up_at
            await asyncio.sleep(
                QUERY_PERIOD_S if self.is_partial else SLOW_QUERY_PERIOD_S
            )
            is_known = self._is_complete
        self.is_partial = False

    async def _ask_others(self) -> list[SpendingKnown]:
        """Ask others what predecessors spent, count it, and return their replies."""
        query = SpendingQuery(self._domain)
        peers = [entry.peers for entry in self._entries_to_ask()]
        peers += sorted(self._roster.control_addresses)[:CONTROL_TARGETS]
        requests = [
            asyncio.ensure_future(self._bus.request(peer, query, QUERY_TIMEOUT_S))
            for peer in peers
        ]
        try:
            await asyncio.wait(requests, timeout=FIRST_REPLIES_S)
            if not self._reports_in(_known(requests)):
                await asyncio.wait(requests)
        finally:
            for request in requests:
                request.cancel()
        replies = _known(requests)
        # Nothing else was spent as long as they have received reports.
        observed_s = max((reply.observed_s for reply in replies), default=0.0)
        reports = self._reports_in(replies)
        for report in reports:
            self._count(report, "others", observed_s)
        if not reports:
            self._count_since(now() - observed_s)
        return replies

    def _reports_in(self, replies: list[SpendingKnown]) -> list[SpendingReport]:
        """Return the reports of predecessors."""
        return [
            reply.report
            for reply in replies
            if reply.report is not None and reply.report.epoch != self._epoch
        ]

    def _entries_to_ask(self) -> list[EntryRecord]:
        """Return the oldest other entries of this domain, which were reported to."""
        local_entry = self._roster.local_entry
        local = [
            entry
            for entry in self._roster.entries()
            if entry.failure_domain == self._domain and entry.node != local_entry.node
        ]
        return sorted(local, key=lambda e: e.started_ms)[:MAX_LOCAL_PEERS]

    def _count(self, report: SpendingReport, source: str, observed_s: float) -> None:
        """Count a report; what was spent since is known if somebody observed it."""
        at = now()
        names = {*report.units, *self._quotas.limited_workspaces()}
        units = {
            name: self._with_unreported(name, report.units.get(name, ()))
            for name in names
        }
        self._quotas.earlier.add(units, at - report.age_s)
        if report.age_s <= max(observed_s, UNREPORTED_S):
            self._count_since(at - report.age_s - report.counted_s)
        event(
            "info",
            "quotas_taken_over",
            source=source,
            workspaces=len(report.units),
            units=round(sum(map(sum, report.units.values())), 1),
            age_s=round(report.age_s, 3),
            counted_s=round(report.counted_s, 3),
            observed_s=round(observed_s, 3),
        )

    def _with_unreported(self, name: str, by_age: UnitsByAge) -> UnitsByAge:
        """Return units by age, with those that were spent after the report.

        A predecessor that was only cut off went on for a while. A burst may have begun
        just then, also of a workspace that had spent nothing before.
        """
        unreported = self._quotas.unreported_units(name)
        return (sum(by_age[:1]) + unreported, *by_age[1:])

    def _count_since(self, at: float) -> None:
        earlier = self._quotas.earlier
        earlier.counted_since = min(earlier.counted_since, at)

    def _on_query(self, sender: str, msg: SpendingQuery) -> SpendingKnown:
        at = now()
        is_own = msg.failure_domain == self._domain and not self.is_partial
        own = self.report() if is_own else None
        report = self._reports.get(msg.failure_domain, at, own)
        return SpendingKnown(report, max(at - self._observes_since, 0.0))

    def _on_spending(self, sender: str, msg: DomainSpending) -> None:
        self.record(msg.failure_domain, msg.report)


def _whole(units: dict[str, UnitsByAge]) -> dict[str, UnitsByAge]:
    """Return units by age in whole numbers, which take few bytes."""
    return {name: tuple(map(round, by_age)) for name, by_age in units.items()}


def _successor(entries: tuple[EntryRecord, ...], domain: str) -> EntryRecord | None:
    """Return the entry that would coordinate a domain if its coordinator were lost."""
    coordinator = coordinator_of(entries, domain)
    others = tuple(entry for entry in entries if entry != coordinator)
    return coordinator_of(others, domain)


def _known(requests: list[asyncio.Future]) -> list[SpendingKnown]:
    """Return the replies that have come."""
    found = []
    for request in requests:
        if not request.done() or request.cancelled():
            continue
        match request.result():
            case Result(tag="ok", ok=SpendingKnown() as reply):
                found.append(reply)
    return found
