"""What others spend of quotas, as far as this entry knows, and its own part of them."""

import math
from collections.abc import Callable
from dataclasses import replace

from fuchsiacroft.membership.roster import Roster
from fuchsiacroft.placing.coordinator import Coordinator
from fuchsiacroft.placing.neighbours import Neighbours
from fuchsiacroft.placing.quotas import LOW_SHARE, RemoteUsage
from fuchsiacroft.placing.reachability import Reachability
from fuchsiacroft.placing.spending_exchange import MAX_REPORT_AGE_S
from fuchsiacroft.utils.clock import now

ISOLATION_TIMEOUT_S = 1.0
"""An entry that received no report or ping for this long may be isolated."""
STANDALONE_SHARE = LOW_SHARE
"""Part of its share of quotas and of servers' limits that an entry spends while it
decides without the coordinator."""


class RemoteSpending:
    """Tells an entry's quotas what other domains and entries spend of them.

    A coordinator that was isolated may have been replaced, and then spends as little as
    an entry that decides alone until it has learned what others spent.
    """

    def __init__(
        self,
        roster: Roster,
        reachability: Reachability,
        neighbours: Neighbours,
        coordinator: Coordinator,
        is_coordinator: Callable[[], bool],
    ) -> None:
        self._roster = roster
        self._reachability = reachability
        self._neighbours = neighbours
        self._coordinator = coordinator
        self._is_coordinator = is_coordinator
        self._started_at = now()
        self._left: dict[str, float] | None = None
        self._may_be_replaced = False
        self.in_touch_at = now()

    def record_left(self, left: dict[str, float]) -> None:
        """Record the units that the coordinator says workspaces may still spend."""
        self.in_touch_at, self._left = now(), left

    def is_isolated(self, at: float) -> bool:
        """Return whether no peer responds, so that others may have taken over."""
        if self._roster.is_control_reachable or self._reachability.is_alone():
            return False
        reported_at = self._neighbours.shares.reported_at
        heard_at = max(reported_at, self._coordinator.pinged_at)
        return heard_at < at - ISOLATION_TIMEOUT_S

    async def learn_after_isolation(self) -> None:
        """Count what another coordinator spent while this one was isolated."""
        spending = self._coordinator.spending
        if not self._is_coordinator():
            self._may_be_replaced = False
        elif self.is_isolated(now()):
            self._may_be_replaced = True
            spending.is_partial = True
        elif self._may_be_replaced:
            self._may_be_replaced = not await spending.learn_once()

    def usage(self, workspace: str, at: float) -> RemoteUsage:
        """Return the use of a quota by decisions made on other entries."""
        standalone_share = STANDALONE_SHARE * self._reachability.share()
        if not self._is_coordinator():
            return RemoteUsage(
                share=standalone_share,
                alone_since=self.in_touch_at,
                left=self._left_alone(workspace),
                reserve_share=self._reserve_share(at),
            )
        if self._may_be_replaced or self.is_isolated(at):
            return RemoteUsage(share=standalone_share)
        found = self._neighbours.shares.remote_usage(workspace, at)
        remaining_share = 1.0 - standalone_share * self._reachability.missing_local()
        return replace(
            found,
            share=found.share * remaining_share,
            reserve_share=1 / self._reachability.domain_count(),
            reported_until=self._reported_until(),
        )

    def _reported_until(self) -> float:
        """Return until when a successor knows what this coordinator spent.

        What it had reported before it last heard from another process counts.
        """
        if self._reachability.is_alone():
            return math.inf
        heard_at = max(
            self._roster.control_replied_at,
            self._coordinator.pinged_at,
            self._neighbours.shares.reported_at,
        )
        return heard_at - MAX_REPORT_AGE_S

    def _left_alone(self, workspace: str) -> float:
        """Return this entry's part of what a workspace may spend, as last reported."""
        if self._left is None:
            return 0.0
        return self._left.get(workspace, math.inf) * self._reachability.share()

    def _reserve_share(self, at: float) -> float:
        """Return the part of the quotas' reserve that this entry may spend alone.

        One that has started lately may have spent its part before.
        """
        if at - self._started_at < self._coordinator.allocator.quotas.window_s:
            return 0.0
        return self._reachability.share()
