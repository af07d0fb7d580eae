"""Processor sharing in virtual time: every job gets the same rate of work."""

import heapq
import itertools
import math
from collections.abc import Hashable

EPSILON = 1e-9


class ProcessorSharing:
    """Jobs with an amount of work each; the caller gives the rate of one job."""

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._finish_times: dict[Hashable, float] = {}
        self._heap: list[tuple[float, int, Hashable]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        """Return how many jobs are not done."""
        return len(self._finish_times)

    def advance(self, seconds: float, rate: float) -> None:
        """Do `rate` of work a second on each job."""
        self._virtual_time += seconds * rate

    def add(self, job: Hashable, amount: float) -> None:
        """Begin a job."""
        finish_time = self._virtual_time + amount
        self._finish_times[job] = finish_time
        heapq.heappush(self._heap, (finish_time, next(self._numbers), job))

    def remove(self, job: Hashable) -> float:
        """End a job before it is done; return the work left."""
        finish_time = self._finish_times.pop(job, None)
        return (
            0.0 if finish_time is None else max(0.0, finish_time - self._virtual_time)
        )

    def next_completion_in(self, rate: float) -> float:
        """Return the seconds until the next job is done, at this rate."""
        self._drop_removed()
        if not self._heap or rate <= 0.0:
            return math.inf
        return max(0.0, self._heap[0][0] - self._virtual_time) / rate

    def pop_completed(self) -> list[Hashable]:
        """Return and remove the jobs that are done."""
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
