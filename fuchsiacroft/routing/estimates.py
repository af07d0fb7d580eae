"""Estimates run times from the runs that this entry has measured.

Speeds are kept for each service and hardware generation. Defaults apply until a
run has been measured.
"""

import math
from dataclasses import dataclass
from statistics import median

from fuchsiacroft.routing.permits import PermitRequest, RunOutcome, RunReport

MIN_SAMPLE_WEIGHT = 0.1
QUANTILE = 0.95
QUANTILE_STEP = 0.03
MIN_SIZE_SAMPLE_WEIGHT = 0.01
MIN_WEIGHT = 0.25
MAX_WEIGHT = 4.0
INITIAL_OVERRUN = 1.2
DEFAULT_TOKEN_GAP_S = 0.03
DEFAULT_PREFILL_TOKENS_PER_S = 5_000.0
DEFAULT_PLAIN_RUN_S = 0.05
MIN_PROMPT_TOKENS = 200
MIN_OUTPUT_TOKENS = 3
MIN_PLAIN_SAMPLES = 10
FLOOR_GROWTH_FACTOR = 1.0005
MAX_PEERS = 16
MIN_RUNS = 5


@dataclass(slots=True)
class MovingAverage:
    """An exponentially weighted mean; the first samples have equal weights."""

    value: float
    samples: int = 0

    def add(self, sample: float) -> None:
        """Add one sample."""
        self.samples += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1.0 / self.samples)
        self.value += weight * (sample - self.value)


class SlowMovingAverage(MovingAverage):
    """A moving average over many samples."""

    def __init__(self) -> None:
        super().__init__(0.0)

    def add(self, sample: float) -> None:
        """Add one sample."""
        self.samples += 1
        weight = max(MIN_SIZE_SAMPLE_WEIGHT, 1.0 / self.samples)
        self.value += weight * (sample - self.value)


class QuantileEstimate:
    """Estimates a high quantile of a ratio by small steps."""

    def __init__(self, value: float) -> None:
        self.value = value

    def add(self, sample: float) -> None:
        """Step up if the sample is above the estimate, else slightly down."""
        above = sample > self.value
        step = QUANTILE if above else QUANTILE - 1.0
        self.value = max(1.0, self.value + QUANTILE_STEP * step)


class Speed:
    """The speed of one service on one hardware generation."""

    def __init__(self) -> None:
        self.token_gap_s = MovingAverage(DEFAULT_TOKEN_GAP_S)
        self.prefill_tokens_per_s = MovingAverage(DEFAULT_PREFILL_TOKENS_PER_S)
        self.plain_run_s = MovingAverage(DEFAULT_PLAIN_RUN_S)
        self.plain_floor_s = math.inf

    def record_plain_run(self, duration_s: float) -> None:
        """Record a plain run; the floor follows the lowest mean and rises slowly."""
        self.plain_run_s.add(duration_s)
        if self.plain_run_s.samples >= MIN_PLAIN_SAMPLES:
            raised = self.plain_floor_s * FLOOR_GROWTH_FACTOR
            self.plain_floor_s = min(raised, self.plain_run_s.value)

    def run_s(
        self, request: PermitRequest, output_ratio: float, cached_tokens: int = 0
    ) -> float:
        """Return the expected run time of a request in seconds."""
        if not is_model(request):
            return self.plain_run_s.value
        decode_s = request.size.output_tokens * output_ratio * self.token_gap_s.value
        return self.prefill_s(request, cached_tokens) + decode_s

    def prefill_s(self, request: PermitRequest, cached_tokens: int = 0) -> float:
        """Return the seconds of prefill for the tokens that are not cached."""
        uncached_tokens = max(0, request.size.prompt_tokens - cached_tokens)
        return uncached_tokens / self.prefill_tokens_per_s.value


@dataclass(frozen=True, slots=True)
class ReferenceSpeed:
    """The usual speed of a generation: the median over several entries."""

    token_gap_s: float
    plain_run_s: float


class RunEstimates:
    """Speeds by service and generation, and output lengths by service."""

    def __init__(self) -> None:
        self._speeds: dict[tuple[str, str], Speed] = {}
        self._services: dict[str, Speed] = {}
        self._output_ratios: dict[str, MovingAverage] = {}
        self._overruns: dict[str, QuantileEstimate] = {}
        self._sizes: dict[str, SlowMovingAverage] = {}
        self._peers: dict[tuple[str, str], dict[str, ReferenceSpeed]] = {}

    def record_size(self, request: PermitRequest) -> None:
        """Record the size of a request that starts."""
        if is_model(request):
            mean = self._sizes.setdefault(request.service, SlowMovingAverage())
            mean.add(_tokens(request))

    def weight(self, request: PermitRequest) -> float:
        """Return the ratio of a request's size to the mean, within bounds."""
        mean = self._sizes.get(request.service)
        if mean is None or not is_model(request):
            return 1.0
        return min(MAX_WEIGHT, max(MIN_WEIGHT, _tokens(request) / mean.value))

    def record_peer_speed(
        self, node: str, key: tuple[str, str], speed: ReferenceSpeed
    ) -> None:
        """Record the speed that another entry measured."""
        peers = self._peers.setdefault(key, {})
        peers.pop(node, None)
        peers[node] = speed
        if len(peers) > MAX_PEERS:
            del peers[next(iter(peers))]

    def reference(self, service: str, generation: str) -> ReferenceSpeed:
        """Return the median of the measurements of this and the other entries."""
        speed = self.speed(service, generation)
        own = ReferenceSpeed(speed.token_gap_s.value, speed.plain_run_s.value)
        speeds = [own, *self._peers.get((service, generation), {}).values()]
        return ReferenceSpeed(
            median(reference.token_gap_s for reference in speeds),
            median(reference.plain_run_s for reference in speeds),
        )

    def measured(self) -> dict[tuple[str, str], ReferenceSpeed]:
        """Return this entry's measurements that are based on `MIN_RUNS` runs."""
        return {
            key: ReferenceSpeed(speed.token_gap_s.value, speed.plain_run_s.value)
            for key, speed in self._speeds.items()
            if speed.token_gap_s.samples + speed.plain_run_s.samples >= MIN_RUNS
        }

    def overrun(self, service: str) -> float:
        """Return the 95th percentile of the ratio of actual to expected run time."""
        quantile = self._overruns.get(service)
        return INITIAL_OVERRUN if quantile is None else quantile.value

    def record_overrun(self, service: str, ratio: float) -> None:
        """Record the ratio of a run's actual to its expected time."""
        quantile = self._overruns.get(service)
        if quantile is None:
            quantile = self._overruns[service] = QuantileEstimate(INITIAL_OVERRUN)
        quantile.add(ratio)

    def speed(self, service: str, generation: str) -> Speed:
        """Return the speed of a service on a generation."""
        return self._speeds.setdefault((service, generation), Speed())

    def run_s(self, request: PermitRequest) -> float:
        """Return the expected run time in seconds, on any backend server."""
        speed = self._services.get(request.service)
        if speed is None:
            speed = self._services[request.service] = Speed()
        return speed.run_s(request, self.output_ratio(request.service))

    def output_ratio(self, service: str) -> float:
        """Return the mean ratio of generated to requested output tokens."""
        ratio = self._output_ratios.get(service)
        return 1.0 if ratio is None else ratio.value

    def record_run(
        self,
        request: PermitRequest,
        generation: str,
        prefilled_tokens: int,
        report: RunReport,
    ) -> None:
        """Update the estimates from a completed run.

        `prefilled_tokens` is the number of prompt tokens that were prefilled with
        no concurrent prefill, 0 if there was one.
        """
        if report.outcome is not RunOutcome.COMPLETED:
            return
        service_speed = self._services.setdefault(request.service, Speed())
        for speed in (service_speed, self.speed(request.service, generation)):
            _update_speed(speed, request, prefilled_tokens, report)
        if is_model(request) and report.output_tokens:
            ratio = self._output_ratios.setdefault(request.service, MovingAverage(1.0))
            ratio.add(min(1.0, report.output_tokens / request.size.output_tokens))

    def dump(self) -> dict:
        """Return the speeds by service and generation."""
        return {
            f"{service}/{generation}": {
                "token_gap_s": round(speed.token_gap_s.value, 5),
                "prefill_tokens_per_s": round(speed.prefill_tokens_per_s.value),
                "plain_run_s": round(speed.plain_run_s.value, 4),
            }
            for (service, generation), speed in self._speeds.items()
        }


def is_model(request: PermitRequest) -> bool:
    """Return whether the request is for a model service."""
    return request.size.output_tokens > 0


def _tokens(request: PermitRequest) -> int:
    return request.size.prompt_tokens + request.size.output_tokens


def _update_speed(
    speed: Speed, request: PermitRequest, prefilled_tokens: int, report: RunReport
) -> None:
    if not is_model(request):
        speed.record_plain_run(report.duration_s)
        return
    if report.token_gap_s is not None and report.output_tokens >= MIN_OUTPUT_TOKENS:
        speed.token_gap_s.add(report.token_gap_s)
    if report.first_token_s and prefilled_tokens >= MIN_PROMPT_TOKENS:
        rate = prefilled_tokens / report.first_token_s
        if math.isfinite(rate):
            speed.prefill_tokens_per_s.add(rate)
