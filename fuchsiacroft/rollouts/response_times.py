"""What old servers take for a unit of work, and which responses are slow against it.

Servers of one service differ in speed, and some are in trouble of their own. The time
of a route is therefore the median over its old servers, so that a slow one among them
changes neither the expected time nor the verdict on the new version.
"""

import enum
import statistics
from dataclasses import dataclass

from fuchsiacroft.placing.moving_average import moving_average
from fuchsiacroft.routing.permits import RunOutcome, RunReport

SLOW_FACTOR = 3.0
"""A response is slow if it took over this many times what old servers take."""
LEARNING_RATE = 0.15
"""Weight of the newest run in the moving average of a server."""
MIN_WORK_TOKENS = 256
"""A shorter prompt takes as long, since a step and the network have a fixed cost."""
BASELINE_WINDOW_S = 60.0
"""Servers whose last response is older than the newest by this are left out."""


class Measure(enum.Enum):
    """What is compared; each is the time of a unit of work.

    `FIRST_EVENT` is the time for each token of the prompts that the server has to read
    until the first event, `GAP` that between tokens, and `DURATION` that of a request.
    """

    FIRST_EVENT = "first_event"
    GAP = "gap"
    DURATION = "duration"


Times = dict[Measure, float]


def response_times(report: RunReport, work_tokens: int) -> Times:
    """Return the times of a run; `work_tokens` is 0 for a plain request.

    Those of a run that ended before its response began are minima.
    """
    if not work_tokens:
        return {Measure.DURATION: report.duration_s}
    if report.first_token_s is None:
        if report.outcome is RunOutcome.COMPLETED:
            return {Measure.DURATION: report.duration_s}
        return {Measure.FIRST_EVENT: _per_token(report.duration_s, work_tokens)}
    times = {Measure.FIRST_EVENT: _per_token(report.first_token_s, work_tokens)}
    if report.token_gap_s is not None:
        times[Measure.GAP] = report.token_gap_s
    return times


def _per_token(seconds: float, work_tokens: int) -> float:
    return seconds / max(work_tokens, MIN_WORK_TOKENS)


@dataclass(slots=True)
class _ServerTimes:
    """The moving averages of one old server on one route."""

    times: Times
    at: float


class Baseline:
    """The times of the old servers of one service, by route."""

    def __init__(self) -> None:
        self._servers: dict[str, dict[str, _ServerTimes]] = {}

    def record(self, route: str, server: str, times: Times, at: float) -> None:
        """Record the times of a response of an old server."""
        known = self._servers.setdefault(route, {}).setdefault(
            server, _ServerTimes({}, at)
        )
        known.at = at
        for measure, value in times.items():
            known.times[measure] = moving_average(
                known.times.get(measure), value, LEARNING_RATE
            )

    def expected(self, route: str, measure: Measure) -> float | None:
        """Return what old servers take for a unit of work, None if it is unknown."""
        servers = self._servers.get(route, {}).values()
        newest = max((server.at for server in servers), default=0.0)
        values = [
            server.times[measure]
            for server in servers
            if measure in server.times and newest - server.at <= BASELINE_WINDOW_S
        ]
        return statistics.median_low(values) if values else None

    def is_slow(self, route: str, times: Times) -> bool:
        """Return whether any of the times is over `SLOW_FACTOR` of the expected one."""
        for measure, value in times.items():
            expected = self.expected(route, measure)
            if expected is not None and value > SLOW_FACTOR * expected:
                return True
        return False
