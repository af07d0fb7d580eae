"""A simulated engine with continuous batching.

The prompts in prefill share the prefill rate. Prefill takes a share of the engine's
time from concurrent decoding, which grows with the number of prompts. The token gap
is constant up to a knee in the number of running requests, and then grows with it.
Beyond the capacity of the KV cache a real engine preempts and recomputes requests;
here the token gap grows with the square of the excess, so that throughput falls.
Prefixes are cached in limited memory.
"""

from collections import OrderedDict
from dataclasses import dataclass

from fuchsiacroft.membership.announcement import CacheEvent
from fuchsiacroft.model.processor_sharing import ProcessorSharing
from fuchsiacroft.model.server import ServerRun, SimulatedServer
from fuchsiacroft.routing.prefixes import TOKENS_PER_BLOCK
from fuchsiacroft.utils.clock import now

# Share of the engine's time left for decoding: 0.65 ** (prompts in prefill), at least
# `MIN_DECODE_SHARE`.
DECODE_SHARE = 0.65
MIN_DECODE_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class HardwareGeneration:
    """The speeds of a hardware generation; `kv_tokens` is its KV cache size."""

    name: str
    prefill_tokens_per_s: float
    token_gap_s: float
    knee_runs: int
    kv_tokens: int
    cached_blocks: int


OLDER = HardwareGeneration("gen-a", 8_000.0, 0.030, 16, 60_000, 200)
NEWER = HardwareGeneration("gen-b", 14_000.0, 0.020, 20, 90_000, 300)


class SimulatedEngine(SimulatedServer):
    """Prefills, then decodes, every request that is started on it."""

    def __init__(self, generation: HardwareGeneration) -> None:
        super().__init__()
        self.generation = generation
        self.prefilled_tokens = 0.0
        self._prefill = ProcessorSharing()
        self._decode = ProcessorSharing()
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._kv_used = 0
        self._cache_events: list[CacheEvent] = []
        self._last_event_number = 0

    def take_events(self) -> tuple[CacheEvent, ...]:
        """Return the cache events since the last call."""
        events, self._cache_events = tuple(self._cache_events), []
        return events

    def token_gap_s(self) -> float:
        """Return the present time between tokens of one run, in seconds."""
        running = len(self._decode) + len(self._prefill)
        gap_s = self.generation.token_gap_s * self.slowdown
        gap_s *= max(1.0, running / self.generation.knee_runs)
        gap_s *= max(1.0, self._kv_used / self.generation.kv_tokens) ** 2
        return gap_s / self._decode_share()

    def _prefill_rate(self) -> float:
        if not len(self._prefill):
            return 0.0
        total_rate = self.generation.prefill_tokens_per_s / self.slowdown
        if len(self._decode):
            total_rate *= 1.0 - self._decode_share()
        return total_rate / len(self._prefill)

    def _decode_share(self) -> float:
        return max(MIN_DECODE_SHARE, DECODE_SHARE ** len(self._prefill))

    def _start_run(self, run: ServerRun) -> None:
        run.prompt_tokens_to_prefill = max(
            16, run.arrival.prompt_tokens - self._cached_tokens(run)
        )
        self._kv_used += _kv_tokens(run)
        self._prefill.add(run, run.prompt_tokens_to_prefill)

    def _cancel_run(self, run: ServerRun) -> None:
        self._kv_used -= _kv_tokens(run)
        if run.first_token_at is None:
            run.prefilled_tokens = run.prompt_tokens_to_prefill - self._prefill.remove(
                run
            )
            self.prefilled_tokens += run.prefilled_tokens
        else:
            self._decode.remove(run)

    def _advance_runs(self, seconds: float) -> None:
        self._prefill.advance(seconds, self._prefill_rate())
        self._decode.advance(seconds, 1.0 / self.token_gap_s())

    def _next_event_in(self) -> float:
        decode_in = self._decode.next_completion_in(1.0 / self.token_gap_s())
        return min(self._prefill.next_completion_in(self._prefill_rate()), decode_in)

    def _complete_due(self) -> None:
        for run in self._decode.pop_completed():
            self._kv_used -= _kv_tokens(run)
            self._complete(run)
        for run in self._prefill.pop_completed():
            run.prefilled_tokens = run.prompt_tokens_to_prefill
            self.prefilled_tokens += run.prefilled_tokens
            run.first_token_at = now()
            run.on_first_token()
            self._update_cache(run)
            if run.arrival.crashes:
                self._decode.add(run, run.arrival.output_tokens)
                self.kill()
                return
            self._decode.add(run, run.arrival.output_tokens)

    def _cached_tokens(self, run: ServerRun) -> int:
        blocks = 0
        for prefix in run.arrival.prefixes:
            if prefix not in self._cache:
                break
            self._cache.move_to_end(prefix)
            blocks += 1
        return blocks * TOKENS_PER_BLOCK

    def _update_cache(self, run: ServerRun) -> None:
        for prefix in run.arrival.prefixes:
            if prefix not in self._cache:
                self._record_event(prefix, cached=True)
            self._cache[prefix] = None
            self._cache.move_to_end(prefix)
        while len(self._cache) > self.generation.cached_blocks:
            prefix, _ = self._cache.popitem(last=False)
            self._record_event(prefix, cached=False)

    def _record_event(self, prefix: int, cached: bool) -> None:
        self._last_event_number += 1
        self._cache_events.append(CacheEvent(self._last_event_number, prefix, cached))


def _kv_tokens(run: ServerRun) -> int:
    return run.arrival.prompt_tokens + run.arrival.output_tokens
