"""The newest evidence of each coordinator, in the memory of a control member."""

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec

from fuchsiacroft.rollouts.counts import Tally, tally
from fuchsiacroft.rollouts.messages import (
    DIRECTIVE_LEASE_S,
    Evidence,
    RouteCounts,
    ServiceEvidence,
    Stage,
)
from fuchsiacroft.rollouts.run_lengths import longest_usual_run_s

LOST_AFTER_S = 3.0
"""A coordinator silent for so long no longer tells which servers are bad."""
HISTORY_S = 16.0
"""Longer than the longest window that is judged."""
MAX_SOURCES = 1_000
"""Processes whose evidence is kept for one rollout: entries several times over."""


@dataclass(slots=True)
class _Source:
    """The last evidence of one start of a coordinator's process."""

    evidence: ServiceEvidence
    received_at: float


@dataclass(frozen=True, slots=True)
class OldRuns:
    """What coordinators in contact tell of the runs on old servers.

    `behind` of the `sources` have an earlier stage in force.
    """

    sources: int = 0
    behind: int = 0
    runs: int = 0

    @property
    def has_ended(self) -> bool:
        """Return whether all of them have the stage in force, and no run is left."""
        return self.sources > 0 and not self.behind and not self.runs


class RolloutEvidence:
    """The evidence about one rollout from all coordinators."""

    def __init__(self) -> None:
        self._sources: dict[tuple[str, str], _Source] = {}
        self._newest_epochs: dict[str, str] = {}
        self._history: deque[tuple[float, Tally]] = deque()

    def record(
        self, node: str, epoch: str, evidence: ServiceEvidence, at: float
    ) -> None:
        """Replace what a coordinator reported before."""
        if (node, epoch) not in self._sources and len(self._sources) >= MAX_SOURCES:
            return
        self._sources[(node, epoch)] = _Source(evidence, at)
        self._newest_epochs[node] = epoch

    def sample(self, at: float) -> Tally:
        """Return the sums at this moment, and remember them for later windows."""
        current = tally(self._counts(at))
        self._history.append((at, current))
        while self._history[0][0] < at - HISTORY_S:
            self._history.popleft()
        return current

    def since(self, start: float) -> Tally:
        """Return the responses that were reported after a moment."""
        if not self._history:
            return Tally()
        latest = self._history[-1][1]
        earlier = [tally for at, tally in self._history if at <= start]
        return latest.since(earlier[-1]) if earlier else latest

    def old_runs(self, stages: Iterable[Stage], at: float) -> OldRuns:
        """Return the runs on old servers; `stages` are those that count as in force.

        A coordinator that is silent for the lease of its directive is not awaited.
        """
        heard = [
            source.evidence
            for (node, epoch), source in self._sources.items()
            if self._newest_epochs[node] == epoch
            and at - source.received_at <= DIRECTIVE_LEASE_S
        ]
        return OldRuns(
            len(heard),
            sum(one.stage not in stages for one in heard),
            sum(one.old_runs for one in heard),
        )

    def longest_run_s(self) -> float | None:
        """Return how long the longest usual runs on old servers take, None if unknown.

        Coordinators tell it, or else it is estimated.
        """
        told = (source.evidence.longest_run_s for source in self._sources.values())
        return max(told, default=0.0) or longest_usual_run_s(self._history)

    def _counts(self, at: float) -> Iterator[RouteCounts]:
        """Yield all counts, from those that were not heard lately only of responses.

        Their successors count the same servers, and their runs in progress are over.
        """
        for source in self._sources.values():
            is_lost = at - source.received_at > LOST_AFTER_S
            for counts in source.evidence.counts:
                yield _responses_only(counts) if is_lost else counts


def _responses_only(counts: RouteCounts) -> RouteCounts:
    ended = counts.answers + counts.lost
    return msgspec.structs.replace(
        counts, began=ended, servers=0, bad_servers=0, lost_servers=0
    )


class EvidenceStore:
    """The evidence about all running rollouts."""

    def __init__(self) -> None:
        self._by_rollout: dict[int, RolloutEvidence] = {}

    def record(self, msg: Evidence, running: Iterable[int], at: float) -> None:
        """Record the parts of a message that are about running rollouts."""
        known = set(running)
        for evidence in msg.services:
            if evidence.rollout in known:
                self.get(evidence.rollout).record(msg.node, msg.epoch, evidence, at)

    def get(self, rollout: int) -> RolloutEvidence:
        """Return the evidence about a rollout."""
        return self._by_rollout.setdefault(rollout, RolloutEvidence())

    def keep_only(self, running: Iterable[int]) -> None:
        """Drop the evidence about rollouts that have ended."""
        for ended in self._by_rollout.keys() - set(running):
            del self._by_rollout[ended]
