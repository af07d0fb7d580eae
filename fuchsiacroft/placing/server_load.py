"""One backend server as the coordinator sees it: its runs, speed and health."""

import math
from dataclasses import dataclass, field

from fuchsiacroft.membership.registry_wire import ServerRecord
from fuchsiacroft.routing.permits import PermitRequest, RunOutcome, RunReport

LEARNING_RATE = 0.15
"""Weight of the newest run in a moving average."""
ASIDE_MIN_S = 0.3
ASIDE_MAX_S = 3.0
"""How long a server that could not be reached is left alone, at first and most."""
READ_TOKENS_PER_S = 100_000.0
"""Prompt tokens that a model engine reads, until its own speed is known."""
READ_CHUNK_TOKENS = 2_048
"""Prompt tokens that engines commonly read between two steps of decoding."""
FAILURE_COST_S = 2.0
"""What a certain failure costs, against seconds of a run's time."""
NOMINAL_GAP_S = 0.0025
NOMINAL_RUN_S = 0.025
"""A token's time and a plain run's, until a server's own are known."""
PLAIN_SLOTS = 8
"""Places of a plain server that does not tell how many it has."""


@dataclass(slots=True, eq=False)
class Run:
    """A request that runs, or is about to, on one backend server."""

    run_id: str
    ask: PermitRequest
    started_at: float
    ends_by: float
    reading: bool


@dataclass(slots=True, eq=False)
class ServerLoad:
    """Counts what runs on a backend server and learns from how it ended."""

    record: ServerRecord
    runs: dict[str, Run] = field(default_factory=dict)
    gap_s: float | None = None
    plain_s: float | None = None
    failures: float = 0.0
    aside_until: float = 0.0
    aside_s: float = 0.0
    reading_tokens: int = 0

    @property
    def name(self) -> str:
        """Return the backend server's name."""
        return self.record.name

    @property
    def instance_id(self) -> str:
        """Return what names this life of the server."""
        return f"{self.name}/{self.record.born_ms}"

    @property
    def slots(self) -> int:
        """Return how many requests it runs at a time."""
        return self.record.announcement.slots or PLAIN_SLOTS

    @property
    def services(self) -> set[str]:
        """Return the services that it offers."""
        return {offer.service for offer in self.record.announcement.offers}

    def free(self, at: float, share: float = 1.0) -> int:
        """Return how many more requests it may run now, of a share of its slots."""
        if at < self.aside_until:
            return 0
        return math.ceil(self.slots * share) - len(self.runs)

    def expected_s(self, ask: PermitRequest) -> float:
        """Return the expected cost of a run that begins now, in seconds."""
        failure_s = self.failures * FAILURE_COST_S
        if not ask.size.prompt_tokens:
            run_s = self.run_s(ask)
            return run_s * (1 + len(self.runs) / self.slots) + failure_s
        waiting_s = self.reading_tokens / self._reading_speed()
        return waiting_s + self.run_s(ask) + failure_s

    def would_stall(self, ask: PermitRequest, event_tokens: int) -> bool:
        """Tell whether reading a prompt here makes streams pause for too long.

        An engine reads a prompt in chunks, one between two tokens of each
        stream, so a stream's event waits for as many chunks as it has tokens.
        """
        streams = len(self.runs) - sum(run.reading for run in self.runs.values())
        if not ask.size.prompt_tokens or not streams:
            return False
        tokens = self.reading_tokens + ask.size.prompt_tokens
        chunks = min(math.ceil(tokens / READ_CHUNK_TOKENS), event_tokens)
        chunk_s = READ_CHUNK_TOKENS / self._reading_speed()
        event_s = event_tokens * (self.gap_s or NOMINAL_GAP_S)
        return chunks * chunk_s + event_s > ask.token_gap_target_s

    def run_s(self, ask: PermitRequest) -> float:
        """Return the expected time of a run by itself."""
        if not ask.size.prompt_tokens:
            return self.plain_s or NOMINAL_RUN_S
        reading_s = ask.size.prompt_tokens / self._reading_speed()
        return reading_s + ask.size.output_tokens * (self.gap_s or NOMINAL_GAP_S)

    def _reading_speed(self) -> float:
        """Return prompt tokens a second; engines read as fast as they write."""
        return READ_TOKENS_PER_S * NOMINAL_GAP_S / (self.gap_s or NOMINAL_GAP_S)

    def begin(self, run: Run) -> None:
        """Count a run."""
        self.runs[run.run_id] = run
        if run.reading:
            self.reading_tokens += run.ask.size.prompt_tokens

    def mark_prefilled(self, run_id: str) -> None:
        """Note that a run's prompt has been read."""
        run = self.runs.get(run_id)
        if run is not None and run.reading:
            run.reading = False
            self.reading_tokens -= run.ask.size.prompt_tokens

    def end(self, run_id: str) -> Run | None:
        """Count a run no more; return it."""
        self.mark_prefilled(run_id)
        return self.runs.pop(run_id, None)

    def learn(self, run: Run, report: RunReport, at: float) -> None:
        """Take in how a run ended."""
        match report.outcome:
            case RunOutcome.UNUSED | RunOutcome.CANCELLED | RunOutcome.PREEMPTED:
                return
            case RunOutcome.NOT_DISPATCHED | RunOutcome.CONNECTION_LOST:
                self._set_aside(at)
            case RunOutcome.COMPLETED:
                self.aside_s = 0.0
                self.aside_until = 0.0
                self._learn_speed(run.ask, report)
        failed = 0.0 if report.outcome is RunOutcome.COMPLETED else 1.0
        if report.outcome is not RunOutcome.REFUSED:
            self.failures = averaged(self.failures, failed, LEARNING_RATE)

    def _set_aside(self, at: float) -> None:
        if at < self.aside_until:
            return
        self.aside_s = min(max(self.aside_s * 2, ASIDE_MIN_S), ASIDE_MAX_S)
        self.aside_until = at + self.aside_s

    def _learn_speed(self, ask: PermitRequest, report: RunReport) -> None:
        if not ask.size.prompt_tokens:
            self.plain_s = averaged(self.plain_s, report.duration_s, LEARNING_RATE)
        elif report.token_gap_s is not None:
            self.gap_s = averaged(self.gap_s, report.token_gap_s, LEARNING_RATE)


def averaged(known: float | None, seen: float, weight: float) -> float:
    """Return a moving average after one more value, which begins it if None."""
    return seen if known is None else known + weight * (seen - known)
