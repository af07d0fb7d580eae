"""Order of the waiters of one service by fair shares of their workspaces.

Handles a workspace that requests several times its share of scarce slots for
seconds. Ranks stay strict. In a rank, the next waiter is that of the workspace with
the lowest start tag, where a run costs its expected run time divided by the share;
in a workspace the order is that of `Queue`. A short request precedes late ones of the
next more urgent rank, but counts in its own rank: it does not precede the requests of
a workspace that got less.
"""

import heapq
import math
from bisect import insort
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import chain

from fuchsiacroft.placing.queue import Item, Position, Queue, WaitClass, Waiter
from fuchsiacroft.routing.permits import PermitRequest
from fuchsiacroft.utils.fair_queueing import (
    MIN_SHARE,
    RecentCosts,
    StartTags,
)

MIN_COST = 1e-6
MIN_CLEANUP_FLOWS = 256
"""Workspaces of a rank before idle ones are dropped, at first; later it is twice as
many as were left, so that a clean-up is rare also with thousands in use."""
MAX_CREDIT_S = 1.0
"""Run time by which a workspace catches up whose waiters could not be placed for a
while, for example as they wait to run in isolation. More would let it take every slot
for seconds."""
AVERAGING_S = 1.0
"""Time constant of what late requests got; bursts last for seconds."""
MIN_LATE_SHARE = 0.25
"""Part of its share that a workspace is expected to have left for late requests."""


@dataclass(slots=True)
class Line:
    """The waiters of one workspace at one position, first to last, and their cost."""

    items: list[Item] = field(default_factory=list)
    cost: float = 0.0

    def add(self, item: Item) -> None:
        """Add a waiter."""
        insort(self.items, item)
        self.cost += cost_of(item[-1])

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter."""
        index = next(i for i, item in enumerate(self.items) if item[-1] is waiter)
        del self.items[index]
        self.cost -= cost_of(waiter)

    @property
    def excess(self) -> float:
        """Return the cost without that of one waiter of mean cost.

        So a single large request counts no more than a short one.
        """
        return self.cost * (1.0 - 1.0 / len(self.items))

    def before(self, span: float) -> int:
        """Return how many waiters start within a span of virtual time."""
        if span <= 0:
            return 0
        mean = max(self.cost / len(self.items), MIN_COST)
        return min(math.ceil(span / mean), len(self.items))


def cost_of(waiter: Waiter) -> float:
    """Return the expected run time of a waiter divided by its share."""
    return waiter.run_s / max(waiter.request.ask.share, MIN_SHARE)


def rank_at(pos: Position) -> int:
    """Return the rank of the requests at a position."""
    return pos.rank + 1 if pos.wait_class is WaitClass.PROMOTED else pos.rank


def equal_positions(pos: Position) -> tuple[Position, ...]:
    """Return the positions among which shares alone decide, first to last."""
    rank = rank_at(pos)
    if pos.wait_class in (WaitClass.PROMOTED, WaitClass.IN_TIME):
        return (
            Position(rank - 1, WaitClass.PROMOTED),
            Position(rank, WaitClass.IN_TIME),
        )
    return (pos,)


class FairQueue(Queue):
    """The waiters of one service, ordered by position and fair share."""

    def __init__(self) -> None:
        super().__init__()
        self._lines: dict[Position, dict[str, Line]] = {}
        self._tags: dict[int, StartTags] = {}
        self._late_starts = RecentCosts(AVERAGING_S)
        self._backlog: Counter[tuple[int, str]] = Counter()
        self._cleanup_at: dict[int, int] = {}

    def _insert(self, item: Item) -> None:
        waiter = item[-1]
        flow = (waiter.rank, waiter.workspace)
        if not self._backlog[flow]:
            self._tags_of(waiter.rank).join(waiter.workspace)
        self._backlog[flow] += 1
        lines = self._lines.setdefault(waiter.position, {})
        lines.setdefault(waiter.workspace, Line()).add(item)

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter at any position."""
        if waiter.removed:
            return
        super().remove(waiter)
        lines = self._lines[waiter.position]
        line = lines[waiter.workspace]
        line.remove(waiter)
        if not line.items:
            del lines[waiter.workspace]
        flow = (waiter.rank, waiter.workspace)
        self._backlog[flow] -= 1
        if not self._backlog[flow]:
            del self._backlog[flow]

    def record_start(
        self, permit_request: PermitRequest, run_s: float, at: float, *, late: bool
    ) -> None:
        """Charge a run that was placed to its workspace."""
        tags = self._tags_of(permit_request.rank)
        workspace = permit_request.workspace
        if not self._backlog[permit_request.rank, workspace]:
            tags.join(workspace)
        tags.charge(workspace, run_s, permit_request.share)
        if late:
            self._late_starts.add(workspace, run_s, at)
        if len(tags) > self._cleanup_at.get(permit_request.rank, MIN_CLEANUP_FLOWS):
            self._drop_idle(permit_request.rank)

    def waiters(self) -> Iterator[Waiter]:
        """Iterate over the waiters in order of placement.

        Each is chosen by the start tags at that moment, so the caller may record the
        start of one before it takes the next.
        """
        passed: set[Waiter] = set()
        for pos in sorted(self._lines):
            for waiter in self._waiters_at(pos, passed):
                passed.add(waiter)
                yield waiter

    def _waiters_at(self, pos: Position, passed: set[Waiter]) -> Iterator[Waiter]:
        """Iterate over the waiters of a position, and short ones held back before."""
        rank = rank_at(pos)
        tags = self._tags_of(rank)
        lines = [self._lines.get(p, {}) for p in equal_positions(pos) if p <= pos]
        flows = {
            workspace: _waiting(
                chain(*(ln[workspace].items for ln in lines if workspace in ln)),
                passed,
            )
            for workspace in sorted(set().union(*lines))
        }
        heap = [(tags.tag(workspace), workspace) for workspace in flows]
        heapq.heapify(heap)
        is_promoted = pos.wait_class is WaitClass.PROMOTED
        while heap:
            tag, workspace = heap[0]
            if tag != tags.tag(workspace):
                heapq.heapreplace(heap, (tags.tag(workspace), workspace))
                continue
            if is_promoted and self._is_ahead(workspace, rank):
                heapq.heappop(heap)
                continue
            waiter = next(flows[workspace], None)
            if waiter is None:
                heapq.heappop(heap)
            else:
                yield waiter

    def _is_ahead(self, workspace: str, rank: int) -> bool:
        """Return whether another workspace that got less waits in time at a rank."""
        tags = self._tags_of(rank)
        tag = tags.tag(workspace)
        others = self._lines.get(Position(rank, WaitClass.IN_TIME), {})
        return any(tags.tag(other) < tag for other in others)

    def ahead_for(self, permit_request: PermitRequest, pos: Position) -> int:
        """Return how many waiters precede a new request of a workspace.

        Of the other workspaces at its position, these are the waiters that start
        before the workspace's share allows the new one.
        """
        equal = equal_positions(pos)
        strict = sum(
            count
            for other, count in self._counts.items()
            if other <= pos
            and other not in equal
            and other.wait_class is not WaitClass.CONTINUED
        )
        workspace, rank = permit_request.workspace, permit_request.rank
        own = self._own_lines(workspace, pos)
        start_tag = self._tag_if_queued(workspace, rank) + sum(ln.cost for ln in own)
        return (
            strict
            + sum(len(line.items) for line in own)
            + sum(
                self._before(other, equal, start_tag - self._tags_of(rank).tag(other))
                for other in set().union(*(self._lines.get(p, ()) for p in equal))
                if other != workspace
            )
        )

    def _own_lines(self, workspace: str, pos: Position) -> list[Line]:
        """Return the waiters of a workspace that precede a new one at a position."""
        return [
            self._lines[p][workspace]
            for p in equal_positions(pos)
            if p <= pos and workspace in self._lines.get(p, ())
        ]

    def _tag_if_queued(self, workspace: str, rank: int) -> float:
        tags = self._tags_of(rank)
        if self._backlog.get((rank, workspace)):
            return tags.tag(workspace)
        return tags.tag_if_joined(workspace)

    def _before(self, workspace: str, equal: Iterable[Position], span: float) -> int:
        """Return how many waiters of a workspace start within a virtual time."""
        count = 0
        for p in equal:
            line = self._lines.get(p, {}).get(workspace)
            if line is not None:
                count += line.before(span)
                span -= line.cost
        return count

    def late_wait_s(self, waiter: Waiter, slots: float, at: float) -> float:
        """Return the expected wait of a new late request.

        Late ones get what those in time leave over, which is measured. After a burst
        they get more, so a part of the workspace's share is assumed in any case.
        """
        workspace = waiter.workspace
        share = max(waiter.request.ask.share, MIN_SHARE)
        ahead_s = sum(
            lines[workspace].cost
            for pos, lines in self._lines.items()
            if pos.wait_class is WaitClass.LATE
            and pos.rank <= waiter.rank
            and workspace in lines
        )
        least = MIN_LATE_SHARE * slots * self._share_of(workspace, share)
        per_s = max(self._late_starts.per_s(workspace, at), least)
        return ahead_s * share / max(per_s, MIN_COST)

    def _share_of(self, workspace: str, share: float) -> float:
        """Return the part of the slots that a workspace gets beside those that wait."""
        shares = {
            item[-1].workspace: max(item[-1].request.ask.share, MIN_SHARE)
            for lines in self._lines.values()
            for item in (line.items[0] for line in lines.values())
        }
        shares[workspace] = share
        return share / sum(shares.values())

    def last_late(self) -> Waiter | None:
        """Return the late waiter that is refused first.

        It is the last one of the workspace that is most over its share.
        """
        last = self._most_over()
        return last[-1] if last is not None else None

    def may_displace(self, waiter: Waiter) -> bool:
        """Return whether another late waiter would be refused before a new one."""
        self.add(waiter)
        last = self.last_late()
        self.remove(waiter)
        waiter.removed = False
        return last is not waiter

    def _most_over(self) -> Item | None:
        """Return the last late waiter of the workspace with most of them."""
        excess: Counter[str] = Counter()
        last: dict[str, Item] = {}
        for pos, lines in self._lines.items():
            if pos.wait_class is WaitClass.LATE:
                for workspace, line in lines.items():
                    excess[workspace] += line.excess
                    last[workspace] = max(
                        last.get(workspace, line.items[-1]), line.items[-1]
                    )
        most = max(last, key=lambda w: (excess[w], last[w]), default=None)
        return None if most is None else last[most]

    def dump_shares(self) -> dict:
        """Return the waiters of each rank and workspace, and how far each is behind."""
        ranks: dict[int, dict[str, dict]] = {}
        for (rank, workspace), count in sorted(self._backlog.items()):
            behind_s = round(self._behind_s(rank, workspace), 3)
            workspaces = ranks.setdefault(rank, {})
            workspaces[workspace] = {"waiting": count, "behind_s": behind_s}
        return ranks

    def share_fields(self, permit_request: PermitRequest) -> dict:
        """Return the log fields on the share of a request's workspace."""
        rank, workspace = permit_request.rank, permit_request.workspace
        return {
            "share": permit_request.share,
            "workspaces_waiting": len({w for _, w in self._backlog}),
            "workspace_waiting": self._backlog.get((rank, workspace), 0),
            "behind_s": round(self._behind_s(rank, workspace), 3),
        }

    def _behind_s(self, rank: int, workspace: str) -> float:
        """Return how much less than others a workspace got, negative if it got more.

        It is in seconds of run time for a share of 1.
        """
        tags = self._tags_of(rank)
        return tags.virtual_time - tags.tag(workspace)

    def _tags_of(self, rank: int) -> StartTags:
        tags = self._tags.get(rank)
        if tags is None:
            tags = self._tags[rank] = StartTags(MAX_CREDIT_S)
        return tags

    def _drop_idle(self, rank: int) -> None:
        tags = self._tags_of(rank)
        for workspace in tags.flows():
            if not self._backlog.get((rank, workspace)) and tags.is_passed(workspace):
                tags.drop(workspace)
                self._late_starts.drop(workspace)
        self._cleanup_at[rank] = max(2 * len(tags), MIN_CLEANUP_FLOWS)


def _waiting(items: Iterable[Item], passed: set[Waiter]) -> Iterator[Waiter]:
    """Iterate over waiters that were neither removed nor passed meanwhile."""
    for item in list(items):
        if not item[-1].removed and item[-1] not in passed:
            yield item[-1]
