"""Passes on what backend servers say of their limits among entries and coordinators.

An entry reports each answer that speaks of a limit to the coordinator that counts the
server's runs, and to its own. As a message may be lost, entries repeat it in their
pings, the replies hold all that the coordinator knows, and coordinators inform each
other. So a coordinator's successor knows the limits before it takes over.
"""

from fuchsiacroft.membership import limit_reports
from fuchsiacroft.membership.limit_recorder import LimitRecorder
from fuchsiacroft.membership.limit_reports import LimitReport, LimitReports
from fuchsiacroft.membership.registry_wire import EntryRecord
from fuchsiacroft.membership.request_pacing import RequestPacing
from fuchsiacroft.membership.roster import Roster
from fuchsiacroft.membership.server_notices import NoticedAnswer, ServerInstance
from fuchsiacroft.placing.coordinators import coordinator_of
from fuchsiacroft.placing.messages import SlotAssignment
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now


class LimitExchange:
    """The limits of backend servers as one entry hears them and passes them on."""

    def __init__(self, bus: Bus, roster: Roster, pacing: RequestPacing) -> None:
        self._bus = bus
        self._roster = roster
        self._pacing = pacing
        self._recorder = LimitRecorder(pacing.limits)
        bus.register_handler(LimitReports, self._on_limits)

    def record(
        self, placed: SlotAssignment, answer: NoticedAnswer, coordinator: EntryRecord
    ) -> None:
        """Record what an answer says of its server's limit, and report it.

        `coordinator` is that of this entry's failure domain.
        """
        report = self._recorder.record_answer(answer)
        if report is None:
            return
        peers = {placed.coordinator_peers, coordinator.peers}
        for address in peers - {self._roster.local_entry.peers}:
            self._bus.send(address, LimitReports((report,)))

    def merge(self, reports: tuple[LimitReport, ...], source: str) -> None:
        """Record what another entry knows."""
        self._recorder.record_reports(reports, source)

    def reports(self) -> tuple[LimitReport, ...]:
        """Return what servers said to this entry lately."""
        return self._recorder.reports()

    def known(self) -> tuple[LimitReport, ...]:
        """Return all that this entry knows."""
        return limit_reports.reports(self._pacing.limits, now())

    def send_to_coordinators(self, own_domain: str) -> None:
        """Send the other failure domains' coordinators all that this entry knows."""
        reports = self.known()
        if not reports:
            return
        entries = self._roster.entries()
        for domain in {entry.failure_domain for entry in entries} - {own_domain}:
            coordinator = coordinator_of(entries, domain)
            if coordinator is not None:
                self._bus.send(coordinator.peers, LimitReports(reports))

    def forget_old(self) -> None:
        """Drop old limits of servers that are gone."""
        self._pacing.limits.forget(self._is_current, now())

    def _is_current(self, server: ServerInstance) -> bool:
        record = self._roster.server(server.name)
        return record is not None and str(record.born_ms) == server.start

    def _on_limits(self, sender: str, msg: LimitReports) -> None:
        self.merge(msg.reports, sender)
