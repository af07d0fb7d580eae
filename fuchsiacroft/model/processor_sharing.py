"""Processor sharing in virtual time: all jobs progress at the same rate."""

import heapq
import itertools
import math
from collections.abc import Hashable

EPSILON = 1e-9


class ProcessorSharing:
    """Jobs with an amount of work each; the caller sets the rate per job."""

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._finish_times: dict[Hashable, float] = {}
        self._heap: list[tuple[float, int, Hashable]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        """Return the number of unfinished jobs."""
        return len(self._finish_times)

    def advance(self, seconds: float, rate: float) -> None:
        """Advance each job by `rate` units of work per second."""
        self._virtual_time += seconds * rate

    def add(self, job: Hashable, amount: float) -> None:
        """Start a job."""
        finish_time = self._virtual_time + amount
        self._finish_times[job] = finish_time
        heapq.heappush(self._heap, (finish_time, next(self._numbers), job))

    def remove(self, job: Hashable) -> float:
        """Remove an unfinished job; return its remaining work."""
        finish_time = self._finish_times.pop(job, None)
        return (
            0.0 if finish_time is None else max(0.0, finish_time - self._virtual_time)
        )

    def next_completion_in(self, rate: float) -> float:
        """Return the seconds until the next job completes at this rate."""
        self._drop_removed()
        if not self._heap or rate <= 0.0:
            return math.inf
        return max(0.0, self._heap[0][0] - self._virtual_time) / rate

    def pop_completed(self) -> list[Hashable]:
        """Remove and return the completed jobs."""
        completed = []
        while True:
            self._drop_removed()
            if not self._heap or self._heap[0][0] > self._virtual_time + EPSILON:
                return completed
            job = heapq.heappop(self._heap)[2]
            del self._finish_times[job]
            completed.append(job)

    def _drop_removed(self) -> None:
        while (
            self._heap and self._finish_times.get(self._heap[0][2]) != self._heap[0][0]
        ):
            heapq.heappop(self._heap)
