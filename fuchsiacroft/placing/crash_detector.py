"""Recognizes crashes of backend servers from the ends of their runs.

A run whose answer has begun and gone on for a while did not crash its server. The
others are blamed when their server crashes.
"""

import math
from collections import deque
from dataclasses import dataclass

from fuchsiacroft.placing.server_load import Run, ServerLoad
from fuchsiacroft.quarantine.evidence import ANSWER_SURVIVAL_S, CrashEvidence
from fuchsiacroft.routing.permits import RunOutcome, RunReport

LOST_RETENTION_S = 4.0
"""Runs may be lost this long before their server's crash is recognized."""
DOUBTED_RETENTION_S = 60.0
"""The same for a server whose start has been uncertain since. It is longer than a
server that has ended, or its next start, takes to be known."""
ALL_LOST_S = 0.2
"""A crashed server's runs are lost within this time of each other."""
MIN_ALL_LOST = 2
"""A single lost run may have another cause, unless it was suspected already."""


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run whose connection was lost; `is_suspect` unless its answer had begun."""

    run: Run
    at: float
    is_suspect: bool


class CrashDetector:
    """Reports crashes and answers to the evidence, by the runs of each server."""

    def __init__(self) -> None:
        self.evidence = CrashEvidence()
        self._lost: dict[str, list[LostRun]] = {}
        self._begun: deque[Run] = deque()

    def record_first_event(self, run: Run, at: float) -> None:
        """Record that the answer of a run has begun."""
        if run.begun_at is None:
            run.begun_at = at
            self._begun.append(run)

    def record_end(
        self,
        load: ServerLoad,
        run: Run,
        report: RunReport,
        at: float,
        doubted_since: float = math.inf,
    ) -> None:
        """Record the end of a run, which `load` no longer holds.

        The server's start is not certain since `doubted_since`.
        """
        match report.outcome:
            case RunOutcome.COMPLETED:
                self.evidence.record_answer(run.permit_request.content_ids, at)
            case RunOutcome.CONNECTION_LOST:
                self._record_lost(load, run, report, at)
            case RunOutcome.NOT_DISPATCHED if not report.is_timed_out:
                # Runs placed since then could not be dispatched either.
                earlier = [
                    other
                    for other in load.runs.values()
                    if other.started_at < run.started_at
                ]
                self._record_crash(load.instance_id, earlier, at, doubted_since)

    def record_removed(
        self, load: ServerLoad, at: float, doubted_since: float = math.inf
    ) -> None:
        """Record that a server, uncertain for some time, has ended without a notice."""
        self._record_crash(load.instance_id, (), at, doubted_since)

    def forget(self, load: ServerLoad) -> None:
        """Drop what is known of the runs of a server that is no longer used."""
        self._lost.pop(load.instance_id, None)

    def clear_survivors(self, at: float) -> None:
        """Record the answers that have gone on for `ANSWER_SURVIVAL_S`."""
        while self._begun and at - self._begun[0].begun_at >= ANSWER_SURVIVAL_S:
            run = self._begun.popleft()
            if run.is_running:
                self.evidence.record_answer(run.permit_request.content_ids, at)

    def _record_lost(
        self, load: ServerLoad, run: Run, report: RunReport, at: float
    ) -> None:
        is_suspect = not _has_survived(report)
        lost = self._lost.setdefault(load.instance_id, [])
        lost.append(LostRun(run, at, is_suspect))
        lost[:] = [item for item in lost if item.at >= at - DOUBTED_RETENTION_S]
        if is_suspect:
            self.evidence.record_lost_run(run.permit_request.content_ids, at)
        recent = sum(item.at >= at - ALL_LOST_S for item in lost)
        needed = 1 if run.suspected_content and is_suspect else MIN_ALL_LOST
        if not load.runs and recent >= needed:
            self._record_crash(load.instance_id, (), at)

    def _record_crash(
        self,
        instance_id: str,
        running: list[Run] | tuple[Run, ...],
        at: float,
        doubted_since: float = math.inf,
    ) -> None:
        oldest = min(at - LOST_RETENTION_S, doubted_since)
        lost = [
            item
            for item in self._lost.pop(instance_id, [])
            if item.is_suspect and item.at >= oldest
        ]
        running = [run for run in running if _may_have_crashed(run, at)]
        suspects = [item.run for item in lost] + running
        if lost and not running:
            at = max(item.at for item in lost)
        content_ids = {
            content_id
            for run in suspects
            for content_id in run.permit_request.content_ids
        }
        if content_ids:
            self.evidence.record_crash(instance_id, content_ids, at)


def _has_survived(report: RunReport) -> bool:
    """Return whether the answer of an ended run had gone on for long enough."""
    if report.first_token_s is None:
        return False
    return report.duration_s - report.first_token_s >= ANSWER_SURVIVAL_S


def _may_have_crashed(run: Run, at: float) -> bool:
    return run.begun_at is None or at - run.begun_at < ANSWER_SURVIVAL_S
