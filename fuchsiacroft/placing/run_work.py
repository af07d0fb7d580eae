"""The work of a run, in units that are comparable between requests.

Requests of one kind count by their tokens, or are equal without any. Kinds compare by
the mean time of their runs on the server. The mean is over all runs since the server's
start: if it followed the server's speed, it would hide a loss of throughput.
"""

from dataclasses import dataclass, field

from fuchsiacroft.routing.permits import PermitRequest
from fuchsiacroft.utils.bounded import set_newest

PROMPT_TOKENS_PER_OUTPUT = 200.0
"""Prompt tokens that an engine reads in the time of one output token; 180 to 260 at
the deployments that are known."""
MIN_KIND_RUNS = 20
"""With fewer runs the mean time of a kind may be wrong by a fifth and more."""
MAX_KINDS = 64
"""Kinds of requests of one server; the oldest are forgotten beyond this number."""

_Kind = tuple[str, bool, float, float]


@dataclass(slots=True)
class _KindTimes:
    """The runs of one kind, with their units of work and times added up."""

    runs: int = 0
    units: float = 0.0
    time_s: float = 0.0


@dataclass(slots=True)
class RunWork:
    """The mean time of each kind of request on one server."""

    _kinds: dict[_Kind, _KindTimes] = field(default_factory=dict)

    def record(self, permit_request: PermitRequest, time_s: float) -> float | None:
        """Learn from a run, and return its work; None while its kind is unknown."""
        kind, units = _kind_of(permit_request), _units(permit_request)
        times = self._kinds.get(kind)
        if times is None:
            times = _KindTimes()
            set_newest(self._kinds, kind, times, MAX_KINDS)
        times.runs += 1
        times.units += units
        times.time_s += time_s
        if times.runs <= MIN_KIND_RUNS:
            return None
        return units * times.time_s / times.units


def _kind_of(permit_request: PermitRequest) -> _Kind:
    """Return what requests of like work have in common: service and targets."""
    return (
        permit_request.service,
        permit_request.size.prompt_tokens > 0,
        permit_request.first_token_target_s,
        permit_request.token_gap_target_s,
    )


def _units(permit_request: PermitRequest) -> float:
    size = permit_request.size
    if not size.prompt_tokens:
        return 1.0
    return max(size.output_tokens, 1) + size.prompt_tokens / PROMPT_TOKENS_PER_OUTPUT
