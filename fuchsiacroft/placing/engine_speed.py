"""Speeds of the engines of one service, learned from their runs.

It answers engines of any speed and generation. Decoding speed is learned for each
engine, since engines of a service differ; a new engine counts as the median of the
others. Prefill speed is taken to be proportional to decoding speed, with a factor
that is learned for the service, from prompts that were read alone: beside others a
prompt takes longer, which would make busy engines look slow.
"""

import statistics
from collections import deque

from fuchsiacroft.routing.permits import WorkSize
from fuchsiacroft.utils import line_fit

RECENT_GAPS = 64
"""Recent runs whose token gaps give the median for a new engine."""
PRIOR_GAP_S = 0.0025
"""Token gap before any run has ended."""
PRIOR_PREFILL = ((0, 8.0, 2.5), (2_000, 16.0, 2.5))
"""Samples of prompt tokens, their time in token gaps, and weight, before any run."""
MIN_TOKENS_PER_GAP = 10.0
MAX_TOKENS_PER_GAP = 10_000.0


class EngineSpeeds:
    """What the engines of one service have in common."""

    def __init__(self) -> None:
        self._gaps: deque[float] = deque(maxlen=RECENT_GAPS)
        self._prefill = line_fit.create(*PRIOR_PREFILL)
        self._median_gap_s = PRIOR_GAP_S
        self._tokens_per_gap = self._fit_tokens_per_gap()

    def median_gap_s(self) -> float:
        """Return the median token gap of recent runs."""
        return self._median_gap_s

    def prefill_tokens_per_s(self, gap_s: float) -> float:
        """Return the prefill speed of an engine with a token gap."""
        return self._tokens_per_gap / gap_s

    def run_s(self, size: WorkSize, gap_s: float) -> float:
        """Return the time of a run on an otherwise idle engine with a token gap."""
        prefill_s = size.prompt_tokens / self.prefill_tokens_per_s(gap_s)
        return prefill_s + size.output_tokens * gap_s

    def record_gap(self, gap_s: float) -> None:
        """Record the token gap of a run."""
        self._gaps.append(gap_s)
        self._median_gap_s = statistics.median(self._gaps)

    def record_prefill(self, prompt_tokens: int, seconds: float, gap_s: float) -> None:
        """Record the time to a first event of a prompt that was read alone."""
        self._prefill.add(prompt_tokens, seconds / gap_s)
        self._tokens_per_gap = self._fit_tokens_per_gap()

    def _fit_tokens_per_gap(self) -> float:
        slope = max(self._prefill.slope(), 1 / MAX_TOKENS_PER_GAP)
        return max(1 / slope, MIN_TOKENS_PER_GAP)
