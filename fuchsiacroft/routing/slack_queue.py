"""Queue order by tier, fair shares of workspaces, and deadline slack.

Tiers have strict priority. Within a tier, workspaces are served by start-time fair
queueing, weighted by their shares, where the cost of a request is its expected run
time. Within a workspace the waiter with the least slack goes first. A short request
counts as due after a few times its own run time, so that it does not wait behind a
long one whose deadline is near.
"""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field

from fuchsiacroft.routing.permits import PermitRequest
from fuchsiacroft.routing.waiting_queue import Waiter, WaitingQueue
from fuchsiacroft.utils.fair_queueing import MAX_FLOWS_BEFORE_CLEANUP, StartTags

MAX_STRETCH = 4.0


@dataclass(slots=True)
class Flow:
    """The waiters of one workspace at one tier."""

    workspace: str
    share: float
    heap: list[tuple[float, int, Waiter]] = field(default_factory=list)

    def head(self) -> Waiter | None:
        """Return the waiter with the earliest due time."""
        while self.heap and not self.heap[0][2].is_queued:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None


class TierQueue:
    """The flows of one tier."""

    def __init__(self) -> None:
        self.flows: dict[str, Flow] = {}
        self._flow_heap: list[tuple[float, int, str]] = []
        self._sequence = 0
        self._tags = StartTags()

    def add(self, waiter: Waiter) -> None:
        """Add a waiter; an idle workspace rejoins at the current virtual time."""
        request = waiter.request
        flow = self.flows.get(request.workspace)
        if flow is None:
            flow = self.flows[request.workspace] = Flow(
                request.workspace, request.share
            )
        flow.share = request.share
        if flow.head() is None:
            self._tags.join(flow.workspace)
            self._push(flow)
        due_at = min(
            waiter.latest_start, waiter.arrived_at + MAX_STRETCH * waiter.run_s
        )
        heapq.heappush(flow.heap, (due_at, waiter.sequence, waiter))

    def head(self) -> Waiter | None:
        """Return the head of the flow with the lowest start tag."""
        while self._flow_heap:
            tag, _, workspace = self._flow_heap[0]
            flow = self.flows.get(workspace)
            if flow is not None and self._tags.tag(workspace) == tag:
                waiter = flow.head()
                if waiter is not None:
                    return waiter
            heapq.heappop(self._flow_heap)
        return None

    def record_start(self, waiter: Waiter) -> None:
        """Charge the expected run time to the workspace."""
        flow = self.flows.get(waiter.request.workspace)
        if flow is None:
            return
        self._tags.charge(flow.workspace, waiter.run_s, flow.share)
        if flow.head() is not None:
            self._push(flow)

    def drop_idle_flows(self) -> None:
        """Drop empty flows whose start tag has passed."""
        for workspace, flow in list(self.flows.items()):
            if flow.head() is None and self._tags.is_passed(workspace):
                del self.flows[workspace]
                self._tags.drop(workspace)

    def _push(self, flow: Flow) -> None:
        self._sequence += 1
        tag = self._tags.tag(flow.workspace)
        heapq.heappush(self._flow_heap, (tag, self._sequence, flow.workspace))


class SlackQueue(WaitingQueue):
    """Orders waiters by tier, then fair share, then slack."""

    def __init__(self) -> None:
        super().__init__()
        self._tiers: dict[int, TierQueue] = {}
        self._ranks_in_order: list[int] = []

    def _enqueue(self, waiter: Waiter) -> None:
        rank = waiter.request.rank
        tier = self._tiers.get(rank)
        if tier is None:
            tier = self._tiers[rank] = TierQueue()
            self._ranks_in_order = sorted(self._tiers)
        if len(tier.flows) > MAX_FLOWS_BEFORE_CLEANUP:
            tier.drop_idle_flows()
        tier.add(waiter)

    def head(self) -> Waiter | None:
        """Return the next waiter of the highest tier that has any."""
        for rank in self._ranks_in_order:
            if self._ranks[rank]:
                waiter = self._tiers[rank].head()
                if waiter is not None:
                    return waiter
        return None

    def record_start(self, waiter: Waiter) -> None:
        """Charge the expected run time to the workspace."""
        tier = self._tiers.get(waiter.request.rank)
        if tier is not None:
            tier.record_start(waiter)

    def share_of(self, request: PermitRequest) -> float:
        """Return the workspace's share among those with waiters at its tier."""
        tier = self._tiers.get(request.rank)
        if tier is None:
            return 1.0
        total = request.share
        for workspace, flow in tier.flows.items():
            if workspace != request.workspace and self.count(request.rank, workspace):
                total += flow.share
        return request.share / total

    def __iter__(self) -> Iterator[Waiter]:
        """Iterate over all waiters."""
        for tier in list(self._tiers.values()):
            for flow in list(tier.flows.values()):
                for _, _, waiter in list(flow.heap):
                    if waiter.is_queued:
                        yield waiter
