"""Order by tier, fair shares of workspaces, and deadline slack.

Each tier goes strictly before the next. Within a tier, workspaces take turns
by start-time fair queueing, weighted by their shares, where a request costs
its expected run time. Within a workspace the least slack goes first, and a
short request counts as due after a few times its own length, so that it does
not stand behind a long one whose deadline is near.
"""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field

from fuchsiacroft.routing.order import Waiter, WaitingQueue
from fuchsiacroft.routing.permits import PermitRequest

MAX_STRETCH = 4.0
COMPACT_LENGTH = 256


@dataclass(slots=True)
class Flow:
    """The waiting requests of one workspace at one tier.

    `tag` is the virtual time at which its next request starts.
    """

    workspace: str
    share: float
    tag: float = 0.0
    heap: list[tuple[float, int, Waiter]] = field(default_factory=list)

    def head(self) -> Waiter | None:
        """Return the most pressing waiter."""
        while self.heap and not self.heap[0][2].queued:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None


class TierQueue:
    """The flows of one tier."""

    def __init__(self) -> None:
        self.flows: dict[str, Flow] = {}
        self._turns: list[tuple[float, int, str]] = []
        self._number = 0
        self._virtual = 0.0

    def put(self, waiter: Waiter) -> None:
        """Take a waiter in; a workspace that was idle joins at present."""
        ask = waiter.ask
        flow = self.flows.get(ask.workspace)
        if flow is None:
            flow = self.flows[ask.workspace] = Flow(ask.workspace, ask.share)
        flow.share = ask.share
        if flow.head() is None:
            flow.tag = max(flow.tag, self._virtual)
            self._enter(flow)
        due = min(waiter.latest_start, waiter.arrived_at + MAX_STRETCH * waiter.run_s)
        heapq.heappush(flow.heap, (due, waiter.number, waiter))

    def head(self) -> Waiter | None:
        """Return the head of the flow whose turn it is."""
        while self._turns:
            tag, _, workspace = self._turns[0]
            flow = self.flows.get(workspace)
            if flow is not None and flow.tag == tag:
                waiter = flow.head()
                if waiter is not None:
                    return waiter
            heapq.heappop(self._turns)
        return None

    def started(self, waiter: Waiter) -> None:
        """Charge a run to its workspace."""
        flow = self.flows.get(waiter.ask.workspace)
        if flow is None:
            return
        self._virtual = max(self._virtual, flow.tag)
        flow.tag += waiter.run_s / flow.share
        if flow.head() is not None:
            self._enter(flow)

    def forget_idle(self) -> None:
        """Drop flows that hold nothing and owe nothing."""
        for workspace, flow in list(self.flows.items()):
            if flow.head() is None and flow.tag <= self._virtual:
                del self.flows[workspace]

    def _enter(self, flow: Flow) -> None:
        self._number += 1
        heapq.heappush(self._turns, (flow.tag, self._number, flow.workspace))


class SlackQueue(WaitingQueue):
    """Tier, then fair share, then slack."""

    def __init__(self) -> None:
        super().__init__()
        self._tiers: dict[int, TierQueue] = {}
        self._order: list[int] = []

    def _put(self, waiter: Waiter) -> None:
        rank = waiter.ask.rank
        tier = self._tiers.get(rank)
        if tier is None:
            tier = self._tiers[rank] = TierQueue()
            self._order = sorted(self._tiers)
        if len(tier.flows) > COMPACT_LENGTH:
            tier.forget_idle()
        tier.put(waiter)

    def head(self) -> Waiter | None:
        """Return the next waiter of the highest tier that waits."""
        for rank in self._order:
            if self._ranks[rank]:
                waiter = self._tiers[rank].head()
                if waiter is not None:
                    return waiter
        return None

    def started(self, waiter: Waiter) -> None:
        """Charge a run to its workspace."""
        tier = self._tiers.get(waiter.ask.rank)
        if tier is not None:
            tier.started(waiter)

    def share_of(self, ask: PermitRequest) -> float:
        """Return the workspace's part among those that wait at its tier."""
        tier = self._tiers.get(ask.rank)
        if tier is None:
            return 1.0
        total = ask.share
        for workspace, flow in tier.flows.items():
            if workspace != ask.workspace and self.waiting(ask.rank, workspace):
                total += flow.share
        return ask.share / total

    def __iter__(self) -> Iterator[Waiter]:
        """Go through all who wait."""
        for tier in list(self._tiers.values()):
            for flow in list(tier.flows.values()):
                for _, _, waiter in list(flow.heap):
                    if waiter.queued:
                        yield waiter
