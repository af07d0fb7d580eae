"""How long the runs of each route or service take, from those that have ended.

Mean and deviation are smoothed as the round-trip times of TCP are (RFC 6298).
"""

from dataclasses import dataclass

from fuchsiacroft.utils.bounded import set_newest

MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
MAX_KINDS = 10_000
"""Routes or services kept; the one recorded longest ago goes first."""


@dataclass(slots=True)
class _Estimate:
    mean_s: float
    deviation_s: float

    def add(self, seconds: float) -> None:
        error_s = seconds - self.mean_s
        self.deviation_s += DEVIATION_GAIN * (abs(error_s) - self.deviation_s)
        self.mean_s += MEAN_GAIN * error_s


class RunDurations:
    """The durations of runs, by the name of their route or service."""

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}

    def record(self, name: str, seconds: float) -> None:
        """Record the duration of a run that ended with a complete answer."""
        estimate = self._estimates.get(name)
        if estimate is None:
            estimate = _Estimate(seconds, seconds / 2)
        else:
            estimate.add(seconds)
        set_newest(self._estimates, name, estimate, MAX_KINDS)

    def upper_s(self, name: str, deviations: float) -> float:
        """Return the mean and some deviations in seconds, 0 if nothing is known."""
        estimate = self._estimates.get(name)
        if estimate is None:
            return 0.0
        return estimate.mean_s + deviations * estimate.deviation_s
