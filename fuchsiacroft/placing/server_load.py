"""The coordinator's view of one backend server: its runs, speed and health."""

import math
from dataclasses import dataclass, field

from fuchsiacroft.membership.registry_wire import ServerRecord
from fuchsiacroft.membership.server_notices import ServerInstance
from fuchsiacroft.placing.engine_speed import EngineSpeeds
from fuchsiacroft.placing.load_learning import LoadLearning
from fuchsiacroft.placing.moving_average import moving_average
from fuchsiacroft.routing.learned_limit import LimitChange
from fuchsiacroft.routing.permits import PermitRequest, RunOutcome, RunReport

LEARNING_RATE = 0.15
"""Weight of the newest run in a moving average."""
BACKOFF_MIN_S = 0.3
BACKOFF_MAX_S = 3.0
"""Minimum and maximum backoff of a server that could not be reached."""
PREFILL_CHUNK_TOKENS = 2_048
"""Prompt tokens that engines commonly prefill between two decoding steps."""
FAILURE_COST_S = 2.0
"""Cost of a certain failure, expressed in seconds of run time."""
IDLE_TRIAL_S = 2.0
"""A server that is too slow for all requests gets one at this interval."""
DEFAULT_PLAIN_RUN_S = 0.025
"""Run time of a plain request until a server's own is known."""
DEFAULT_SLOTS = 8
"""Slots of a plain server that does not announce how many it has."""


@dataclass(slots=True, eq=False)
class Run:
    """A request that runs, or is about to run, on a backend server.

    `has_shared_prefill` is true if another prompt was read at the same time.
    `begun_at` is when the first event of its answer came. A run with
    `suspected_content` runs in isolation. One that `is_adopted` was placed by another
    coordinator. `level_times` are the server's times at each number of runs until its
    start, None if they aren't counted.
    """

    run_id: str
    permit_request: PermitRequest
    started_at: float
    ends_by: float
    is_prefilling: bool
    has_shared_prefill: bool = False
    begun_at: float | None = None
    is_running: bool = True
    suspected_content: frozenset[str] = frozenset()
    is_adopted: bool = False
    level_times: tuple[float, ...] | None = None


@dataclass(slots=True, eq=False)
class ServerLoad:
    """Tracks the runs on a backend server and its speed and failure rate.

    A server that is unproven, as it may not be reachable, runs one request at a time.
    """

    record: ServerRecord
    speeds: EngineSpeeds = field(default_factory=EngineSpeeds)
    runs: dict[str, Run] = field(default_factory=dict)
    token_gap_s: float | None = None
    plain_run_s: float | None = None
    failure_rate: float = 0.0
    backoff_until: float = 0.0
    backoff_s: float = 0.0
    prefill_tokens: int = 0
    tokens: int = 0
    is_unproven: bool = False
    ended_at: float = -math.inf
    name: str = field(init=False)
    instance: ServerInstance = field(init=False)
    learning: LoadLearning = field(init=False)

    def __post_init__(self) -> None:
        """Name this start of the server."""
        self.name = self.record.name
        self.instance = ServerInstance(self.record.name, str(self.record.born_ms))
        self.learning = LoadLearning(self.slots)

    @property
    def instance_id(self) -> str:
        """Return the name of this incarnation of the server."""
        return f"{self.name}/{self.record.born_ms}"

    @property
    def slots(self) -> int:
        """Return how many requests it runs concurrently."""
        return self.record.announcement.slots or DEFAULT_SLOTS

    @property
    def services(self) -> set[str]:
        """Return the services that it offers."""
        return {offer.service for offer in self.record.announcement.offers}

    def version_of(self, service: str) -> str:
        """Return the software version at which it offers a service."""
        return self.record.announcement.version_of(service)

    def free(self, at: float, share: float = 1.0) -> int:
        """Return how many more requests it may run now within a share of its slots."""
        if at < self.backoff_until:
            return 0
        if self.is_unproven:
            return 1 - len(self.runs)
        allowed = self.learning.allowed(self.slots, at)
        return math.ceil(allowed * share) - len(self.runs)

    def slowed_run_s(self, permit_request: PermitRequest, at: float) -> float:
        """Return the expected time of a run that starts now, by the reported load."""
        factor = self.learning.cost_factor(self.slots, at)
        return factor * self._work_s(permit_request)

    @property
    def failure_cost_s(self) -> float:
        """Return the expected cost of a failure, in seconds of run time."""
        return self.failure_rate * FAILURE_COST_S

    def _work_s(self, permit_request: PermitRequest) -> float:
        if not permit_request.size.prompt_tokens:
            run_s = self.run_s(permit_request)
            return run_s * (1 + len(self.runs) / self.slots)
        gap_s = self.gap_s
        prompt_tokens = self.prefill_tokens + permit_request.size.prompt_tokens
        prefill_s = prompt_tokens / self.speeds.prefill_tokens_per_s(gap_s)
        return prefill_s + permit_request.size.output_tokens * gap_s

    def can_complete(self, slowed_run_s: float, remaining_s: float, at: float) -> bool:
        """Return whether a run that starts now is expected to end in the time left.

        An idle server is tried at times, as only runs show that it is faster again.
        """
        if not self.learning.is_active or slowed_run_s <= remaining_s:
            return True
        return not self.runs and at - self.ended_at >= IDLE_TRIAL_S

    def first_event_s(self, prompt_tokens: int) -> float:
        """Return the expected time to the first event of a run that starts now."""
        return (self.prefill_tokens + prompt_tokens) / self.prefill_tokens_per_s

    def would_stall(self, permit_request: PermitRequest, event_tokens: int) -> bool:
        """Return whether prefilling a prompt here stalls other streams for too long.

        An engine prefills a prompt in chunks, one between two tokens of each stream,
        so an event of a stream is delayed by as many chunks as it has tokens.
        """
        streams = len(self.runs) - sum(run.is_prefilling for run in self.runs.values())
        if not permit_request.size.prompt_tokens or not streams:
            return False
        tokens = self.prefill_tokens + permit_request.size.prompt_tokens
        chunks = min(math.ceil(tokens / PREFILL_CHUNK_TOKENS), event_tokens)
        chunk_s = PREFILL_CHUNK_TOKENS / self.prefill_tokens_per_s
        event_s = event_tokens * self.gap_s
        return chunks * chunk_s + event_s > permit_request.token_gap_target_s

    def run_s(self, permit_request: PermitRequest) -> float:
        """Return the expected time of a run on an otherwise idle server."""
        if not permit_request.size.prompt_tokens:
            return self.plain_run_s or DEFAULT_PLAIN_RUN_S
        return self.speeds.run_s(permit_request.size, self.gap_s)

    @property
    def gap_s(self) -> float:
        """Return the token gap, that of other engines until its own is known."""
        return self.token_gap_s or self.speeds.median_gap_s()

    @property
    def prefill_tokens_per_s(self) -> float:
        """Return the prefill speed."""
        return self.speeds.prefill_tokens_per_s(self.gap_s)

    def begin(self, run: Run) -> None:
        """Add a run."""
        if run.is_prefilling:
            for other in self.runs.values():
                if other.is_prefilling:
                    other.has_shared_prefill = run.has_shared_prefill = True
            self.prefill_tokens += run.permit_request.size.prompt_tokens
        self.tokens += run.permit_request.size.total_tokens
        self.learning.advance(len(self.runs), run.started_at)
        if not run.is_adopted:
            run.level_times = self.learning.level_times()
        self.runs[run.run_id] = run

    def mark_prefilled(self, run_id: str) -> None:
        """Record that the prompt of a run has been prefilled."""
        run = self.runs.get(run_id)
        if run is not None and run.is_prefilling:
            run.is_prefilling = False
            self.prefill_tokens -= run.permit_request.size.prompt_tokens

    def end(self, run_id: str, at: float) -> Run | None:
        """Remove a run and return it."""
        self.mark_prefilled(run_id)
        self.learning.advance(len(self.runs), at)
        run = self.runs.pop(run_id, None)
        if run is not None:
            run.is_running = False
            self.ended_at = at
            self.tokens -= run.permit_request.size.total_tokens
        return run

    def learn(self, run: Run, report: RunReport, at: float) -> LimitChange | None:
        """Learn from a run that ended how much load the server handles."""
        return self.learning.record_run(
            run.permit_request, run.level_times, report, len(self.runs), at
        )

    def record_result(self, run: Run, report: RunReport, at: float) -> None:
        """Update speed, failure rate and backoff from the outcome of a run."""
        match report.outcome:
            case RunOutcome.UNUSED | RunOutcome.CANCELLED | RunOutcome.PREEMPTED:
                return
            case RunOutcome.NOT_DISPATCHED | RunOutcome.CONNECTION_LOST:
                self._back_off(at)
            case RunOutcome.COMPLETED:
                self.is_unproven = False
                self.backoff_s = 0.0
                self.backoff_until = 0.0
                self._update_speed(run, report, at)
        failed = 0.0 if report.outcome is RunOutcome.COMPLETED else 1.0
        if report.outcome is not RunOutcome.REFUSED:
            self.failure_rate = moving_average(self.failure_rate, failed, LEARNING_RATE)

    def _back_off(self, at: float) -> None:
        if at < self.backoff_until:
            return
        self.backoff_s = min(max(self.backoff_s * 2, BACKOFF_MIN_S), BACKOFF_MAX_S)
        self.backoff_until = at + self.backoff_s

    def _update_speed(self, run: Run, report: RunReport, at: float) -> None:
        share = self.learning.usual_share(run.level_times, at - run.started_at)
        if not run.permit_request.size.prompt_tokens:
            self.plain_run_s = moving_average(
                self.plain_run_s, share * report.duration_s, LEARNING_RATE
            )
            return
        if report.token_gap_s:
            gap_s = share * report.token_gap_s
            self.speeds.record_gap(gap_s)
            self.token_gap_s = moving_average(self.token_gap_s, gap_s, LEARNING_RATE)
        if run.has_shared_prefill or report.first_token_s is None:
            return
        if self.token_gap_s is not None:
            prompt_tokens = run.permit_request.size.prompt_tokens
            self.speeds.record_prefill(
                prompt_tokens, share * report.first_token_s, self.token_gap_s
            )
