"""Outcomes of the requests of one simulation run, and its measures."""

import enum
import math
from collections import Counter
from dataclasses import dataclass, field

from fuchsiacroft.model.trace import Arrival


class Ending(enum.Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    LATE = "late"
    REFUSED = "refused"
    PREEMPTED = "cut"
    CONNECTION_LOST = "lost"
    ENTRY_LOST = "entry_lost"
    UNANSWERED = "unanswered"


@dataclass(slots=True)
class RequestRecord:
    """One request: its ending, its resource usage and its times.

    `duration_s` and `first_token_s` count from the arrival, `prefill_s` from the
    dispatch.
    """

    arrival: Arrival
    ending: Ending = Ending.UNANSWERED
    starts: int = 0
    duration_s: float = math.inf
    started_at: float = 0.0
    first_token_s: float | None = None
    prefill_s: float | None = None
    token_gap_s: float | None = None
    prefilled_tokens: float = 0.0

    @property
    def is_useful(self) -> bool:
        """Return whether a complete response arrived in time."""
        return self.ending is Ending.ANSWERED


@dataclass(slots=True)
class Outcomes:
    """All records of a run, and the violations of guarantees."""

    records: list[RequestRecord] = field(default_factory=list)
    inversions: int = 0
    violations: Counter[str] = field(default_factory=Counter)
    messages: int = 0

    def measures(self) -> "Measures":
        """Return the measures of the run."""
        ranks = sorted({record.arrival.rank for record in self.records})
        useful = [record for record in self.records if record.is_useful]
        return Measures(
            goodput=tuple(_goodput(self.records, rank) for rank in ranks),
            total=len(useful),
            model_total=sum(record.arrival.is_model for record in useful),
            tokens=sum(record.arrival.output_tokens for record in useful),
            offered=len(self.records),
            wasted=sum(r.prefilled_tokens for r in self.records if not r.is_useful),
            prefilled=sum(record.prefilled_tokens for record in self.records),
            endings=Counter(record.ending.value for record in self.records),
            inversions=self.inversions,
            violations=sum(self.violations.values()),
            first_token_p95_s=_p95(
                [r.first_token_s for r in useful if r.arrival.rank == 0]
            ),
            token_gap_p95_s=_p95([r.token_gap_s for r in useful]),
        )


@dataclass(frozen=True, slots=True)
class Measures:
    """Measures of one run.

    `goodput` is the share of each rank's requests answered in time. `total` counts
    useful responses, `model_total` those of model services, and `tokens` their
    output tokens. `wasted` counts prompt tokens prefilled for requests without a
    useful response.
    """

    goodput: tuple[float, ...]
    total: int
    model_total: int
    tokens: int
    offered: int
    wasted: float
    prefilled: float
    endings: Counter[str]
    inversions: int
    violations: int
    first_token_p95_s: float
    token_gap_p95_s: float


def _goodput(records: list[RequestRecord], rank: int) -> float:
    of_rank = [record for record in records if record.arrival.rank == rank]
    return sum(record.is_useful for record in of_rank) / len(of_rank)


def _p95(values: list[float | None]) -> float:
    known = sorted(value for value in values if value is not None)
    return known[int(0.95 * (len(known) - 1))] if known else math.nan
