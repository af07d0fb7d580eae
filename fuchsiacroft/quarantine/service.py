"""Shares the evidence on crashing requests with the other entries."""

import asyncio
import random
from collections.abc import Callable, Iterable

from expression import Result

from fuchsiacroft.config.settings import Settings
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.quarantine.evidence import CrashEvidence, Treatment
from fuchsiacroft.quarantine.messages import CompareEvidence, EvidenceReport, TrialBegun
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import BackgroundTasks

COMPARE_PERIOD_S = 1.0
COMPARE_TIMEOUT_S = 0.5
RETRY_PERIOD_S = 0.1
MAX_CONVICTION_FACTOR = 1.5
"""Spreads the trials of convicted content, so that the first one decides for all."""
MAX_REPORTS_PER_S = 2_000
"""Changes are collected so that an entry sends no more reports to its peers."""


class Quarantine(Service):
    """The evidence of this entry, and the exchange of it with its peers.

    An entry sends what is new to every peer, and compares its evidence with that of
    one random peer a second, so that also one that has just started has all of it.
    `peers` returns the addresses of the other entries.
    """

    name = "quarantine"

    def __init__(self, peers: Callable[[], Iterable[str]]) -> None:
        self._peers = peers
        self._random = random.Random()
        self._tasks = BackgroundTasks("quarantine")
        self._has_changes = asyncio.Event()
        self._convicted: set[str] = set()
        self.evidence = CrashEvidence(self._random.uniform(1.0, MAX_CONVICTION_FACTOR))
        self.evidence.on_change = self._has_changes.set

    async def start(self, kernel: Kernel) -> None:
        """Exchange evidence with the other entries."""
        self._bus = kernel.get("bus", Bus)
        self._bus.register_handler(EvidenceReport, self._on_report)
        self._bus.register_handler(CompareEvidence, self._on_compare)
        self._bus.register_handler(TrialBegun, self._on_trial)
        self._tasks.spawn_repeated(self._send_changes, "quarantine-send")
        self._tasks.spawn_repeated(self._compare, "quarantine-compare")

    async def stop(self) -> None:
        """Stop the exchange."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the suspected and quarantined content."""
        return self.evidence.dump(now())

    def treatment(self, content_ids: Iterable[str]) -> Treatment:
        """Return how a request with this content may run."""
        return self.evidence.treatment(content_ids, now())

    def record_crash(self, instance_id: str, content_ids: Iterable[str]) -> None:
        """Blame a crash on the content of the runs whose answers had not begun."""
        self.evidence.record_crash(instance_id, content_ids, now())

    def record_answer(self, content_ids: Iterable[str]) -> None:
        """Clear the content of a run that was answered."""
        self.evidence.record_answer(content_ids, now())

    def begin_trial(self, content_ids: Iterable[str]) -> None:
        """Notify all entries that a run with suspected content begins in isolation."""
        trial = TrialBegun(tuple(content_ids))
        self.evidence.begin_trial(trial.content_ids, now())
        for peer in self._peers():
            self._bus.send(peer, trial)

    def is_tried(self, content_ids: Iterable[str]) -> bool:
        """Return whether an isolated run with such content awaits its outcome."""
        return self.evidence.is_tried(content_ids, now())

    def lift(self, content_id: str) -> bool:
        """Clear content for an operator; return whether it was suspected."""
        was_suspected = self.evidence.lift(content_id, now())
        if was_suspected:
            event("info", "quarantine_lifted", content_id=content_id)
        return was_suspected

    async def _send_changes(self) -> None:
        await self._has_changes.wait()
        self._has_changes.clear()
        report = self.evidence.take_changes(now())
        self._log_crashes(report)
        self._log_convictions()
        peers = tuple(self._peers())
        for peer in peers:
            self._bus.send(peer, report)
        await asyncio.sleep(len(peers) / MAX_REPORTS_PER_S)

    async def _compare(self) -> None:
        peers = tuple(self._peers())
        if not peers:
            await asyncio.sleep(RETRY_PERIOD_S)
            return
        has_answer = await self._compare_with(self._random.choice(peers))
        await asyncio.sleep(COMPARE_PERIOD_S if has_answer else RETRY_PERIOD_S)

    async def _compare_with(self, peer: str) -> bool:
        """Merge the evidence of a peer; return whether it answered."""
        digest = self.evidence.digest(now())
        outcome = await self._bus.request(
            peer, CompareEvidence(digest), COMPARE_TIMEOUT_S
        )
        match outcome:
            case Result(tag="ok", ok=EvidenceReport() as report):
                self.evidence.merge(report, now())
                self._log_convictions()
                return True
        return False

    def _on_report(self, sender: str, msg: EvidenceReport) -> None:
        self.evidence.merge(msg, now())
        self._log_convictions()

    def _on_trial(self, sender: str, msg: TrialBegun) -> None:
        self.evidence.begin_trial(msg.content_ids, now())

    def _on_compare(self, sender: str, msg: CompareEvidence) -> EvidenceReport:
        at = now()
        if msg.digest == self.evidence.digest(at):
            return EvidenceReport()
        return self.evidence.report(at)

    def _log_crashes(self, report: EvidenceReport) -> None:
        for crash in report.crashes:
            event(
                "warning",
                "backend_server_died",
                death=crash.instance_id,
                suspects=len(crash.content_ids),
            )

    def _log_convictions(self) -> None:
        """Log content from which on requests are refused here, or no longer are."""
        if self.evidence.is_empty and not self._convicted:
            return
        convictions = self.evidence.convictions(now())
        for content_id in convictions.keys() - self._convicted:
            event(
                "warning",
                "quarantined",
                content_id=content_id,
                only_with=",".join(sorted(convictions[content_id] - {content_id}))
                or "-",
            )
        for content_id in self._convicted - convictions.keys():
            event("info", "quarantine_ended", content_id=content_id)
        self._convicted = set(convictions)


def create_for(settings: Settings) -> Quarantine:
    """Return the quarantine service of an entry whose peers are in its settings."""
    peers = tuple(
        member.peers for member in settings.entries if member.node != settings.node
    )
    return Quarantine(lambda: peers)


def create(peers: Callable[[], Iterable[str]]) -> Quarantine:
    """Return the quarantine service of an entry; `peers` are the other entries'."""
    return Quarantine(peers)
