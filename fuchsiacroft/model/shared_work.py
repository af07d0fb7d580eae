"""Processor sharing in virtual time: every job gets the same rate of work."""

import heapq
import itertools
import math
from collections.abc import Hashable

EPSILON = 1e-9


class SharedWork:
    """Jobs with an amount of work each; the caller gives the rate of one job."""

    def __init__(self) -> None:
        self._virtual = 0.0
        self._targets: dict[Hashable, float] = {}
        self._heap: list[tuple[float, int, Hashable]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        """Return how many jobs are not done."""
        return len(self._targets)

    def advance(self, seconds: float, rate: float) -> None:
        """Do `rate` of work a second on each job."""
        self._virtual += seconds * rate

    def add(self, job: Hashable, amount: float) -> None:
        """Begin a job."""
        target = self._virtual + amount
        self._targets[job] = target
        heapq.heappush(self._heap, (target, next(self._numbers), job))

    def remove(self, job: Hashable) -> float:
        """End a job before it is done; return the work left."""
        target = self._targets.pop(job, None)
        return 0.0 if target is None else max(0.0, target - self._virtual)

    def due_in(self, rate: float) -> float:
        """Return the seconds until the next job is done, at this rate."""
        self._clean()
        if not self._heap or rate <= 0.0:
            return math.inf
        return max(0.0, self._heap[0][0] - self._virtual) / rate

    def pop_done(self) -> list[Hashable]:
        """Return and remove the jobs that are done."""
        done = []
        while True:
            self._clean()
            if not self._heap or self._heap[0][0] > self._virtual + EPSILON:
                return done
            job = heapq.heappop(self._heap)[2]
            del self._targets[job]
            done.append(job)

    def _clean(self) -> None:
        while self._heap and self._targets.get(self._heap[0][2]) != self._heap[0][0]:
            heapq.heappop(self._heap)
