"""Responses of the new and the old versions of a service, by route."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from fuchsiacroft.rollouts.messages import RouteCounts


@dataclass(frozen=True, slots=True)
class Counts:
    """Responses of one version on one route, from all coordinators.

    `failed`, `slow` and `lost` are as in `RouteCounts`. `worst_answers` and `worst_bad`
    are those of the one server with the most bad responses; both are 0 if unknown.
    """

    answers: int = 0
    failed: int = 0
    slow: int = 0
    lost: int = 0
    servers: int = 0
    bad_servers: int = 0
    lost_servers: int = 0
    worst_answers: int = 0
    worst_bad: int = 0
    began: int = 0

    @property
    def ended(self) -> int:
        """Return the runs that have ended."""
        return self.answers + self.lost

    @property
    def in_progress(self) -> int:
        """Return the runs that have not ended."""
        return max(self.began - self.ended, 0)

    @property
    def bad(self) -> int:
        """Return the failed or slow responses, each counted once at most."""
        return min(self.failed + self.slow, self.answers)

    def __add__(self, other: "Counts") -> "Counts":
        """Return the sum with another coordinator's counts, of other servers."""
        worst = max(self, other, key=lambda one: (one.worst_bad, one.worst_answers))
        return Counts(
            self.answers + other.answers,
            self.failed + other.failed,
            self.slow + other.slow,
            self.lost + other.lost,
            self.servers + other.servers,
            self.bad_servers + other.bad_servers,
            self.lost_servers + other.lost_servers,
            worst.worst_answers,
            worst.worst_bad,
            self.began + other.began,
        )

    def since(self, earlier: "Counts") -> "Counts":
        """Return the responses after an earlier count; numbers of servers stay."""
        return Counts(
            max(self.answers - earlier.answers, 0),
            max(self.failed - earlier.failed, 0),
            max(self.slow - earlier.slow, 0),
            max(self.lost - earlier.lost, 0),
            self.servers,
            self.bad_servers,
            self.lost_servers,
            max(self.worst_answers - earlier.worst_answers, 0),
            max(self.worst_bad - earlier.worst_bad, 0),
            max(self.began - earlier.began, 0),
        )


NONE = Counts()


@dataclass(frozen=True, slots=True)
class Tally:
    """The counts of the new and of the old versions by route."""

    new: Mapping[str, Counts] = field(default_factory=dict)
    old: Mapping[str, Counts] = field(default_factory=dict)

    def since(self, earlier: "Tally") -> "Tally":
        """Return the responses after an earlier tally."""
        return Tally(
            {
                name: c.since(earlier.new.get(name, NONE))
                for name, c in self.new.items()
            },
            {
                name: c.since(earlier.old.get(name, NONE))
                for name, c in self.old.items()
            },
        )


def total(routes: Iterable[Counts]) -> Counts:
    """Return the sum over routes, whose servers may be the same ones.

    The worst server of each route is taken for the same one.
    """
    routes = tuple(routes)
    return Counts(
        sum(one.answers for one in routes),
        sum(one.failed for one in routes),
        sum(one.slow for one in routes),
        sum(one.lost for one in routes),
        max((one.servers for one in routes), default=0),
        max((one.bad_servers for one in routes), default=0),
        max((one.lost_servers for one in routes), default=0),
        sum(one.worst_answers for one in routes),
        sum(one.worst_bad for one in routes),
        sum(one.began for one in routes),
    )


def tally(reports: Iterable[RouteCounts]) -> Tally:
    """Return the sums of what coordinators reported."""
    new: dict[str, Counts] = {}
    old: dict[str, Counts] = {}
    for report in reports:
        side = new if report.is_new else old
        side[report.route] = side.get(report.route, NONE) + _counts(report)
    return Tally(new, old)


def _counts(report: RouteCounts) -> Counts:
    return Counts(
        report.answers,
        report.failed,
        report.slow,
        report.lost,
        report.servers,
        report.bad_servers,
        report.lost_servers,
        report.worst_answers,
        report.worst_bad,
        report.began,
    )
