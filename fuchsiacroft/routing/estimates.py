"""How long requests run, learned from the runs that this entry has seen.

Speeds are kept for each service and hardware generation. Until a run has been
seen, defaults stand in.
"""

import math
from dataclasses import dataclass
from statistics import median

from fuchsiacroft.routing.permits import PermitRequest, RunOutcome, RunReport

NEW_WEIGHT = 0.1
QUANTILE = 0.95
STEP = 0.03
SIZE_WEIGHT = 0.01
MIN_WEIGHT = 0.25
MAX_WEIGHT = 4.0
FIRST_OVERRUN = 1.2
DEFAULT_TOKEN_GAP_S = 0.03
DEFAULT_PREFILL_TOKENS_PER_S = 5_000.0
DEFAULT_PLAIN_RUN_S = 0.05
MIN_PROMPT_TOKENS = 200
MIN_OUTPUT_TOKENS = 3
MIN_PLAIN_SAMPLES = 10
FLOOR_RISE = 1.0005
MAX_PEERS = 16
MIN_RUNS = 5


@dataclass(slots=True)
class Average:
    """An exponentially weighted mean; the first samples weigh equally."""

    value: float
    samples: int = 0

    def add(self, sample: float) -> None:
        """Take one sample in."""
        self.samples += 1
        weight = max(NEW_WEIGHT, 1.0 / self.samples)
        self.value += weight * (sample - self.value)


class SlowAverage(Average):
    """A mean over many samples."""

    def __init__(self) -> None:
        super().__init__(0.0)

    def add(self, sample: float) -> None:
        """Take one sample in."""
        self.samples += 1
        weight = max(SIZE_WEIGHT, 1.0 / self.samples)
        self.value += weight * (sample - self.value)


class UpperBound:
    """Follows a high quantile of a ratio by small steps."""

    def __init__(self, value: float) -> None:
        self.value = value

    def add(self, sample: float) -> None:
        """Move up if the sample is above, and a little down if below."""
        above = sample > self.value
        step = QUANTILE if above else QUANTILE - 1.0
        self.value = max(1.0, self.value + STEP * step)


class Speed:
    """The speed of one service on one hardware generation."""

    def __init__(self) -> None:
        self.token_gap_s = Average(DEFAULT_TOKEN_GAP_S)
        self.prefill_tokens_per_s = Average(DEFAULT_PREFILL_TOKENS_PER_S)
        self.plain_run_s = Average(DEFAULT_PLAIN_RUN_S)
        self.plain_floor_s = math.inf

    def note_plain(self, duration_s: float) -> None:
        """Take in a plain run; the floor is the lowest mean, slowly rising."""
        self.plain_run_s.add(duration_s)
        if self.plain_run_s.samples >= MIN_PLAIN_SAMPLES:
            raised = self.plain_floor_s * FLOOR_RISE
            self.plain_floor_s = min(raised, self.plain_run_s.value)

    def run_s(
        self, ask: PermitRequest, output_ratio: float, cached_tokens: int = 0
    ) -> float:
        """Return the seconds that a run of the ask is expected to take."""
        if not is_model(ask):
            return self.plain_run_s.value
        decode_s = ask.size.output_tokens * output_ratio * self.token_gap_s.value
        return self.prefill_s(ask, cached_tokens) + decode_s

    def prefill_s(self, ask: PermitRequest, cached_tokens: int = 0) -> float:
        """Return the seconds of prefill, less what is cached."""
        wanted = max(0, ask.size.prompt_tokens - cached_tokens)
        return wanted / self.prefill_tokens_per_s.value


@dataclass(frozen=True, slots=True)
class Reference:
    """What a generation usually takes, by the median of several entries."""

    token_gap_s: float
    plain_run_s: float


class Estimates:
    """Speeds by service and generation, and how much of its limit is written."""

    def __init__(self) -> None:
        self._speeds: dict[tuple[str, str], Speed] = {}
        self._services: dict[str, Speed] = {}
        self._output_ratios: dict[str, Average] = {}
        self._overruns: dict[str, UpperBound] = {}
        self._sizes: dict[str, SlowAverage] = {}
        self._peers: dict[tuple[str, str], dict[str, Reference]] = {}

    def note_size(self, ask: PermitRequest) -> None:
        """Take in the size of a request that starts."""
        if is_model(ask):
            mean = self._sizes.setdefault(ask.service, SlowAverage())
            mean.add(_tokens(ask))

    def weight(self, ask: PermitRequest) -> float:
        """Return a request's size over the mean, within bounds."""
        mean = self._sizes.get(ask.service)
        if mean is None or not is_model(ask):
            return 1.0
        return min(MAX_WEIGHT, max(MIN_WEIGHT, _tokens(ask) / mean.value))

    def note_peer(self, node: str, kind: tuple[str, str], seen: Reference) -> None:
        """Note what another entry has measured of a service and generation."""
        peers = self._peers.setdefault(kind, {})
        peers.pop(node, None)
        peers[node] = seen
        if len(peers) > MAX_PEERS:
            del peers[next(iter(peers))]

    def reference(self, service: str, generation: str) -> Reference:
        """Return the median of the own and the other entries' measurements."""
        speed = self.speed(service, generation)
        own = Reference(speed.token_gap_s.value, speed.plain_run_s.value)
        seen = [own, *self._peers.get((service, generation), {}).values()]
        return Reference(
            median(entry.token_gap_s for entry in seen),
            median(entry.plain_run_s for entry in seen),
        )

    def measured(self) -> dict[tuple[str, str], Reference]:
        """Return the own measurements that rest on several runs."""
        return {
            kind: Reference(speed.token_gap_s.value, speed.plain_run_s.value)
            for kind, speed in self._speeds.items()
            if speed.token_gap_s.samples + speed.plain_run_s.samples >= MIN_RUNS
        }

    def overrun(self, service: str) -> float:
        """Return how many times the expected time nineteen in twenty runs keep to."""
        bound = self._overruns.get(service)
        return FIRST_OVERRUN if bound is None else bound.value

    def note_overrun(self, service: str, ratio: float) -> None:
        """Take in a run's time over its expected time."""
        bound = self._overruns.get(service)
        if bound is None:
            bound = self._overruns[service] = UpperBound(FIRST_OVERRUN)
        bound.add(ratio)

    def speed(self, service: str, generation: str) -> Speed:
        """Return the speed of a service on a generation."""
        return self._speeds.setdefault((service, generation), Speed())

    def run_s(self, ask: PermitRequest) -> float:
        """Return the expected seconds of a run on any backend server."""
        speed = self._services.get(ask.service)
        if speed is None:
            speed = self._services[ask.service] = Speed()
        return speed.run_s(ask, self.output_ratio(ask.service))

    def output_ratio(self, service: str) -> float:
        """Return the mean share of the asked-for output that is written."""
        ratio = self._output_ratios.get(service)
        return 1.0 if ratio is None else ratio.value

    def note(
        self,
        ask: PermitRequest,
        generation: str,
        filled_tokens: int,
        report: RunReport,
    ) -> None:
        """Learn from a run that completed.

        `filled_tokens` were prefilled with no other prompt beside them; 0
        when others were.
        """
        if report.outcome is not RunOutcome.COMPLETED:
            return
        whole = self._services.setdefault(ask.service, Speed())
        for speed in (whole, self.speed(ask.service, generation)):
            _learn(speed, ask, filled_tokens, report)
        if is_model(ask) and report.output_tokens:
            ratio = self._output_ratios.setdefault(ask.service, Average(1.0))
            ratio.add(min(1.0, report.output_tokens / ask.size.output_tokens))

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


def is_model(ask: PermitRequest) -> bool:
    """Tell whether the ask is for a model service."""
    return ask.size.output_tokens > 0


def _tokens(ask: PermitRequest) -> int:
    return ask.size.prompt_tokens + ask.size.output_tokens


def _learn(
    speed: Speed, ask: PermitRequest, filled_tokens: int, report: RunReport
) -> None:
    if not is_model(ask):
        speed.note_plain(report.duration_s)
        return
    if report.token_gap_s is not None and report.output_tokens >= MIN_OUTPUT_TOKENS:
        speed.token_gap_s.add(report.token_gap_s)
    if report.first_token_s and filled_tokens >= MIN_PROMPT_TOKENS:
        rate = filled_tokens / report.first_token_s
        if math.isfinite(rate):
            speed.prefill_tokens_per_s.add(rate)
