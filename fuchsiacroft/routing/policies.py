"""Makes the chosen implementation of each decision."""

import random
from dataclasses import dataclass

from fuchsiacroft.config.settings import Policies
from fuchsiacroft.membership.announcement import Announcement
from fuchsiacroft.routing.estimates import Estimates
from fuchsiacroft.routing.health import Health, IgnoredHealth, MeasuredHealth
from fuchsiacroft.routing.limit import FixedLimit, Limit
from fuchsiacroft.routing.limit_learned import LearnedLimit, LearnedLimits
from fuchsiacroft.routing.order import ArrivalQueue, WaitingQueue
from fuchsiacroft.routing.order_slack import SlackQueue
from fuchsiacroft.routing.prefixes import PrefixIndex
from fuchsiacroft.routing.reserve import MeasuredReserve, NoReserve, Reserve
from fuchsiacroft.routing.route import LeastConnections, PowerOfTwo, RoundRobin, Route
from fuchsiacroft.routing.route_expected import ExpectedFinish
from fuchsiacroft.routing.shed import RejectNewest, Shedding
from fuchsiacroft.routing.shed_lowest import LowestTier


@dataclass(frozen=True, slots=True)
class Decisions:
    """The implementations that a desk uses, and what they have learned."""

    policies: Policies
    estimates: Estimates
    prefixes: PrefixIndex
    limits: LearnedLimits
    route: Route
    shed: Shedding
    rng: random.Random

    def queue(self) -> WaitingQueue:
        """Return an empty queue."""
        return ArrivalQueue() if self.policies.order == "arrival" else SlackQueue()

    def limit(self, announcement: Announcement, ramp_from: float | None) -> Limit:
        """Return the limit of a backend server; it ramps up from a join."""
        if self.policies.limit == "fixed":
            return FixedLimit(announcement.slots)
        service = announcement.offers[0].service if announcement.offers else ""
        return LearnedLimit(
            self.limits, service, announcement.generation, announcement.slots, ramp_from
        )

    def reserve(self) -> Reserve:
        """Return the reserve of a backend server not yet used."""
        return NoReserve() if self.policies.reserve == "none" else MeasuredReserve()

    def health(self, may_set_aside) -> Health:
        """Return the health of a backend server not yet measured."""
        if self.policies.straggler == "ignore":
            return IgnoredHealth()
        return MeasuredHealth(may_set_aside)


def create(policies: Policies, seed: int) -> Decisions:
    """Return the implementations that the settings name."""
    estimates = Estimates()
    prefixes = PrefixIndex()
    return Decisions(
        policies=policies,
        estimates=estimates,
        prefixes=prefixes,
        limits=LearnedLimits(estimates),
        route=_route(policies, estimates, prefixes, seed),
        shed=_shed(policies),
        rng=random.Random(seed),
    )


def _route(
    policies: Policies, estimates: Estimates, prefixes: PrefixIndex, seed: int
) -> Route:
    match policies.route:
        case "round_robin":
            return RoundRobin()
        case "least_connections":
            return LeastConnections()
        case "power_of_two":
            return PowerOfTwo(seed)
    return ExpectedFinish(estimates, prefixes)


def _shed(policies: Policies) -> Shedding:
    if policies.shed == "reject_newest":
        return RejectNewest(policies.queue_limit)
    return LowestTier(policies.queue_limit)
