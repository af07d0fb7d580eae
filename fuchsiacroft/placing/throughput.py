"""How much work a server completes in a second at each number of concurrent runs.

A run is in progress among changing numbers of runs. Its work is divided among these
levels in proportion to the time that it spent at each and the speed of a run there as
known so far, so that runs which outlast a level don't blur the difference. The noise
of a level is that between periods of some seconds: runs that end together share their
moment. The module does no I/O and gets the time as an argument.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

PERIOD_S = 2.0
"""Several runs, and several of the moments at which a shared machine is slow."""
MEMORY_S = 30.0
"""Demand comes in waves of 13 s, so this holds two visits to each level."""
MIN_PERIODS = 5.0
"""Fewer periods say little of the noise; a server that is slow for 8 s fills four."""
MIN_RUNS = 20.0
MIN_TIME_S = 2.0
"""A level needs this many runs and this time in memory to be compared."""
CLEAR_LOSS = 0.05
"""A smaller loss of throughput is not worth a slot."""
NOISE_WEIGHT = 4.0
"""Standard errors by which a loss must exceed `CLEAR_LOSS`. With 3, the limits of 7 of
96 simulated servers on noisy machines fell though no number of runs was better."""


@dataclass(slots=True)
class _Level:
    """Sums of one level: of the open period, and of earlier ones with their weights.

    `time` adds up the times of all runs, and the squares are those of each period.
    """

    open_work: float = 0.0
    open_time: float = 0.0
    open_runs: float = 0.0
    work: float = 0.0
    time: float = 0.0
    runs: float = 0.0
    work_squares: float = 0.0
    products: float = 0.0
    time_squares: float = 0.0

    def add(self, work: float, time: float, runs: float) -> None:
        """Add a share of a run."""
        self.open_work += work
        self.open_time += time
        self.open_runs += runs

    def close_period(self, kept: float) -> None:
        """Add the open period to the earlier ones, of which a share is kept."""
        work, time = self.open_work, self.open_time
        self.work = kept * self.work + work
        self.time = kept * self.time + time
        self.runs = kept * self.runs + self.open_runs
        self.work_squares = kept**2 * self.work_squares + work**2
        self.products = kept**2 * self.products + work * time
        self.time_squares = kept**2 * self.time_squares + time**2
        self.open_work = self.open_time = self.open_runs = 0.0

    @property
    def speed(self) -> float | None:
        """Return the work that one run completes in a second, None if not known."""
        time = self.time + self.open_time
        return (self.work + self.open_work) / time if time > 0.0 else None

    @property
    def periods(self) -> float:
        """Return how many equal periods would tell as much."""
        return self.time**2 / self.time_squares if self.time_squares else 0.0

    def mean_and_error(self) -> tuple[float, float]:
        """Return the speed in the closed periods and its standard error."""
        speed, periods = self.work / self.time, self.periods
        squares = self.work_squares - 2 * speed * self.products
        squares = max(squares + speed**2 * self.time_squares, 0.0)
        return speed, math.sqrt(squares * periods / (periods - 1.0)) / self.time


@dataclass(slots=True)
class Throughput:
    """The throughput of one server by the number of its concurrent runs."""

    began_at: float
    _levels: dict[int, _Level] = field(default_factory=dict)

    def record(self, work: float, times: Sequence[float]) -> None:
        """Record a run that ended, with its time at each level."""
        speeds = self._speeds(len(times))
        expected = [time * speed for time, speed in zip(times, speeds, strict=True)]
        total = sum(expected)
        if total <= 0.0:
            return
        for level, (time, share) in enumerate(zip(times, expected, strict=True)):
            if time > 0.0:
                part = share / total
                self._levels.setdefault(level, _Level()).add(work * part, time, part)

    def close_period(self, at: float) -> bool:
        """Close a period that is over, and return whether one was."""
        passed_s = at - self.began_at
        if passed_s < PERIOD_S:
            return False
        for level in self._levels.values():
            level.close_period(math.exp(-passed_s / MEMORY_S))
        self.began_at = at
        return True

    def forget_above(self, level: int) -> None:
        """Forget what was measured among more runs."""
        self._levels = {
            known: sums for known, sums in self._levels.items() if known <= level
        }

    def is_measured(self, level: int) -> bool:
        """Return whether enough is known of a level to compare it."""
        sums = self._levels.get(level)
        return (
            sums is not None
            and sums.runs >= MIN_RUNS
            and sums.time >= MIN_TIME_S * level
            and sums.periods >= MIN_PERIODS
        )

    def highest_measured(self, limit: int) -> int | None:
        """Return the highest level up to a limit of which enough is known."""
        levels = [level for level in self._levels if level <= limit]
        return max(filter(self.is_measured, levels), default=None)

    def loss_ratio(self, level: int) -> float | None:
        """Return the throughput of a level compared with the best of fewer runs.

        It is None unless the level's throughput is clearly lower.
        """
        mean, error = self._throughput(level)
        ratios = [
            mean / fewer
            for fewer, fewer_error in map(self._throughput, self._measured_below(level))
            if fewer * (1.0 - CLEAR_LOSS) - mean
            > NOISE_WEIGHT * math.hypot(error, fewer_error)
        ]
        return min(ratios, default=None)

    def _measured_below(self, limit: int) -> list[int]:
        return [
            level for level in self._levels if level < limit and self.is_measured(level)
        ]

    def _throughput(self, level: int) -> tuple[float, float]:
        speed, error = self._levels[level].mean_and_error()
        return level * speed, level * error

    def _speeds(self, count: int) -> list[float]:
        """Return the speed of a run at each level, that of the nearest if unknown."""
        known = {
            level: speed
            for level, sums in self._levels.items()
            if (speed := sums.speed) is not None and speed > 0.0
        }
        if not known:
            return [1.0] * count
        return [
            known.get(level) or known[min(known, key=lambda other: abs(other - level))]
            for level in range(count)
        ]
