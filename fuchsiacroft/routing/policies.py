"""Creates the configured implementation of each scheduling policy."""

import random
from dataclasses import dataclass

from fuchsiacroft.config.settings import Policies
from fuchsiacroft.membership.announcement import Announcement
from fuchsiacroft.routing.adaptive_limit import AdaptiveLimit, LearnedLimits
from fuchsiacroft.routing.concurrency_limit import ConcurrencyLimit, FixedLimit
from fuchsiacroft.routing.estimates import RunEstimates
from fuchsiacroft.routing.expected_finish import ExpectedFinish
from fuchsiacroft.routing.health import IgnoredHealth, MeasuredHealth, ServerHealth
from fuchsiacroft.routing.prefixes import PrefixIndex
from fuchsiacroft.routing.reserve import CapacityReserve, MeasuredReserve, NoReserve
from fuchsiacroft.routing.routing_policy import (
    LeastConnections,
    PowerOfTwo,
    RoundRobin,
    RoutingPolicy,
)
from fuchsiacroft.routing.shedding import RejectNewest, SheddingPolicy
from fuchsiacroft.routing.shedding_lowest_tier import LowestTier
from fuchsiacroft.routing.slack_queue import SlackQueue
from fuchsiacroft.routing.waiting_queue import FifoQueue, WaitingQueue


@dataclass(frozen=True, slots=True)
class PolicySet:
    """The policies of a permit queue, and the measurements that they share."""

    policies: Policies
    estimates: RunEstimates
    prefixes: PrefixIndex
    limits: LearnedLimits
    route: RoutingPolicy
    shedding: SheddingPolicy
    rng: random.Random

    def queue(self) -> WaitingQueue:
        """Create an empty queue."""
        return FifoQueue() if self.policies.order == "arrival" else SlackQueue()

    def limit(
        self, announcement: Announcement, ramp_started_at: float | None
    ) -> ConcurrencyLimit:
        """Create the limit of a backend server, with a ramp after a join."""
        if self.policies.limit == "fixed":
            return FixedLimit(announcement.slots)
        service = announcement.offers[0].service if announcement.offers else ""
        return AdaptiveLimit(
            self.limits,
            service,
            announcement.generation,
            announcement.slots,
            ramp_started_at,
        )

    def reserve(self) -> CapacityReserve:
        """Create the capacity reserve of a backend server."""
        return NoReserve() if self.policies.reserve == "none" else MeasuredReserve()

    def health(self, may_eject) -> ServerHealth:
        """Create the health of a backend server."""
        if self.policies.straggler == "ignore":
            return IgnoredHealth()
        return MeasuredHealth(may_eject)


def create(policies: Policies, seed: int) -> PolicySet:
    """Create the policies that the settings select."""
    estimates = RunEstimates()
    prefixes = PrefixIndex()
    return PolicySet(
        policies=policies,
        estimates=estimates,
        prefixes=prefixes,
        limits=LearnedLimits(estimates),
        route=_route(policies, estimates, prefixes, seed),
        shedding=_shedding(policies),
        rng=random.Random(seed),
    )


def _route(
    policies: Policies, estimates: RunEstimates, prefixes: PrefixIndex, seed: int
) -> RoutingPolicy:
    match policies.route:
        case "round_robin":
            return RoundRobin()
        case "least_connections":
            return LeastConnections()
        case "power_of_two":
            return PowerOfTwo(seed)
    return ExpectedFinish(estimates, prefixes)


def _shedding(policies: Policies) -> SheddingPolicy:
    if policies.shed == "reject_newest":
        return RejectNewest(policies.queue_limit)
    return LowestTier(policies.queue_limit)
