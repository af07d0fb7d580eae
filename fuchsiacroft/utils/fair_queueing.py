"""Start-time fair queueing: virtual start times of flows that share a capacity.

Handles one flow that requests several times its share for seconds or longer: the
flow with the lowest start tag goes next, and each start moves its flow's tag on by
the cost divided by the flow's share. A flow that was idle rejoins at the current
virtual time, so it gets its share back at once and accumulates no credit.
"""

import math

MIN_SHARE = 0.001
"""Lower bound of a share, since the cost of a start is divided by it."""
MAX_FLOWS_BEFORE_CLEANUP = 256


class StartTags:
    """The start tags of the flows that share one capacity.

    A flow whose requests can't be started for a while catches up by no more than
    `max_credit`, in cost for a share of 1.
    """

    def __init__(self, max_credit: float = math.inf) -> None:
        self._max_credit = max_credit
        self._tags: dict[str, float] = {}
        self.virtual_time = 0.0

    def __len__(self) -> int:
        """Return the number of flows with a tag."""
        return len(self._tags)

    def tag(self, flow: str) -> float:
        """Return the virtual time at which the flow's next request starts."""
        tag = self._tags.get(flow, self.virtual_time)
        return max(tag, self.virtual_time - self._max_credit)

    def tag_if_joined(self, flow: str) -> float:
        """Return the start tag that an idle flow gets if it rejoins now."""
        return max(self.tag(flow), self.virtual_time)

    def join(self, flow: str) -> float:
        """Move a flow that was idle up to the virtual time; return its tag."""
        tag = self._tags[flow] = self.tag_if_joined(flow)
        return tag

    def charge(self, flow: str, cost: float, share: float) -> float:
        """Charge a start to a flow; return the tag of its next start."""
        tag = self.tag(flow)
        self.virtual_time = max(self.virtual_time, tag)
        self._tags[flow] = tag + cost / max(share, MIN_SHARE)
        return self._tags[flow]

    def is_passed(self, flow: str) -> bool:
        """Return whether an idle flow would rejoin at the virtual time."""
        return self.tag(flow) <= self.virtual_time

    def flows(self) -> tuple[str, ...]:
        """Return the flows with a tag."""
        return tuple(self._tags)

    def drop(self, flow: str) -> None:
        """Forget a flow."""
        self._tags.pop(flow, None)


class RecentCosts:
    """What was started recently of each flow, in cost a second."""

    def __init__(self, averaging_s: float) -> None:
        self._averaging_s = averaging_s
        self._sums: dict[str, tuple[float, float]] = {}

    def add(self, flow: str, cost: float, at: float) -> None:
        """Record the cost of a start."""
        self._sums[flow] = self._sum(flow, at) + cost, at

    def per_s(self, flow: str, at: float) -> float:
        """Return the recent mean cost a second of a flow."""
        return self._sum(flow, at) / self._averaging_s

    def drop(self, flow: str) -> None:
        """Forget a flow."""
        self._sums.pop(flow, None)

    def _sum(self, flow: str, at: float) -> float:
        cost, updated_at = self._sums.get(flow, (0.0, at))
        return cost * math.exp((updated_at - at) / self._averaging_s)
