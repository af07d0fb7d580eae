"""The rollout of one service, as an entry that places requests knows it."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from fuchsiacroft.rollouts.answer_counts import AnswerCounts
from fuchsiacroft.rollouts.exposure import Exposure
from fuchsiacroft.rollouts.messages import Directive, ServiceEvidence, Stage
from fuchsiacroft.routing.permits import NOT_SENT, RunReport

RUNS_BEFORE_NEXT_SERVER = 10
"""After so many requests another new server is filled first, as a version is not judged
by the responses of a single server."""
LONG_OVER_S = 60.0
"""Old servers that stopped at a completion are not listed any more after this time."""
STAGE_ORDER = {
    Stage.CANARY: 0,
    Stage.SHIFTED: 1,
    Stage.COMPLETED: 2,
    Stage.ROLLED_BACK: 2,
}


@dataclass(frozen=True, slots=True)
class TrackedRun:
    """A run in progress; `is_counted` unless it was placed elsewhere or earlier.

    `work_tokens` are those of the prompts that its server had to read when it began.
    """

    run_id: str
    service: str
    route: str
    server: str
    version: str
    ends_by: float
    work_tokens: int = 0
    is_counted: bool = True


@dataclass(frozen=True, slots=True)
class Permission:
    """Which servers of a service requests may begin on at one moment.

    `old` and `new` say whether new requests may go to the old versions and to the new
    one, and `old_goes_on` and `new_goes_on` whether streams may be continued there.
    At most `new_limit` more new requests may begin on the new version. `prefers_new`
    is set while it gets the requests of its share first. `barred` are servers by name
    and version, and `rejected` are versions that get nothing.
    """

    to: str
    reason: str
    old: bool
    new: bool
    old_goes_on: bool
    new_goes_on: bool
    new_limit: float = math.inf
    prefers_new: bool = False
    barred: frozenset[tuple[str, str]] = frozenset()
    rejected: frozenset[str] = frozenset()

    @property
    def key(self) -> tuple:
        """Return what tells the old and the excluded servers apart."""
        return self.to, self.barred, self.rejected

    @property
    def new_begins(self) -> bool:
        """Return whether a new request may begin on the new version now."""
        return self.new and self.new_limit >= 1

    def excludes(self, server: str, version: str) -> bool:
        """Return whether a server of another version gets nothing any more."""
        return version in self.rejected or (server, version) in self.barred

    def allows(self, server: str, version: str, *, continues: bool) -> bool:
        """Return whether a request may begin on a server, free or not."""
        if version == self.to:
            return self.new_goes_on if continues else self.new_begins
        if self.excludes(server, version):
            return False
        return self.old_goes_on if continues else self.old


class ServiceRollout:
    """The newest directive of a service, and what began and ended since it came.

    The directive is in force until `lease_until` on the lease clock, or for good if the
    rollout has ended. `had_old` is set once a server of another version is known; until
    then there is nothing to compare the version with, and nothing else to use. A
    rollout `was_long_over` if it had been completed long before it became known here:
    servers of other versions are later ones then, and not those that it replaced.
    """

    def __init__(self, directive: Directive, lease_until: float) -> None:
        self.directive = directive
        self.lease_until = lease_until
        self.had_old = False
        self.was_long_over = directive.ended_s >= LONG_OVER_S
        self.exposure = Exposure()
        self.counts = AnswerCounts()
        self._runs: dict[str, TrackedRun] = {}

    @property
    def key(self) -> tuple[int, int]:
        """Return the order of directives; the highest is the newest."""
        return _key(self.directive)

    @property
    def has_ended(self) -> bool:
        """Return whether the rollout was completed or rolled back."""
        return self.directive.stage in (Stage.COMPLETED, Stage.ROLLED_BACK)

    def is_in_force(self, lease_at: float) -> bool:
        """Return whether the directive holds at a time on the lease clock."""
        return self.has_ended or lease_at < self.lease_until

    def is_new(self, version: str) -> bool:
        """Return whether a version is the one that is rolled out."""
        return version == self.directive.to

    def update(self, directive: Directive, lease_until: float) -> bool:
        """Take a directive of the same rollout; return whether the stage is another."""
        if _key(directive) < self.key:
            return False
        if _key(directive) > self.key:
            self.directive, self.lease_until = directive, lease_until
            return True
        if not self.has_ended and lease_until >= self.lease_until:
            self.directive, self.lease_until = directive, lease_until
        return False

    def permission(
        self,
        lease_at: float,
        *,
        has_new: bool,
        has_old: bool,
        barred: frozenset[tuple[str, str]],
        rejected: frozenset[str],
    ) -> Permission:
        """Return which servers requests may begin on.

        `has_new` and `has_old` tell whether any failure domain has a server of the new
        version, and one of others that may be used.
        """
        to, stage = self.directive.to, self.directive.stage
        rules = {"barred": barred, "rejected": rejected}
        if not self.had_old:
            return Permission(
                to, f"{stage.value}_alone", True, True, True, True, **rules
            )
        match stage:
            case Stage.COMPLETED:
                return Permission(to, stage.value, True, True, True, True, **rules)
            case Stage.ROLLED_BACK:
                return Permission(to, stage.value, True, False, True, False, **rules)
        if not self.is_in_force(lease_at):
            new = stage is Stage.SHIFTED and not has_old
            reason = f"{stage.value}_expired"
            return Permission(to, reason, True, new, True, new, **rules)
        if stage is Stage.SHIFTED:
            old = not has_new
            return Permission(to, stage.value, old, True, True, True, **rules)
        return Permission(
            to,
            stage.value,
            True,
            True,
            True,
            True,
            self.exposure.allowance(self.directive.share),
            True,
            **rules,
        )

    def is_due(self, route: str) -> bool:
        """Return whether a request of a route should go to the new version first."""
        return self.exposure.is_route_due(route, self.directive.share)

    def order(self, names: Iterable[str]) -> dict[str, int]:
        """Return in which order the new servers are filled."""
        ordered = sorted(names)
        first = self.exposure.began_new // RUNS_BEFORE_NEXT_SERVER
        count = len(ordered)
        return {name: (number - first) % count for number, name in enumerate(ordered)}

    def begin(self, run: TrackedRun) -> None:
        """Count a run that begins, or keep one that was counted elsewhere."""
        if run.run_id in self._runs:
            return
        self._runs[run.run_id] = run
        if run.is_counted:
            self._count(run, 1)

    def end(self, run_id: str, report: RunReport, at: float) -> None:
        """Count the end of a run; one that was not sent has not begun."""
        run = self._runs.pop(run_id, None)
        if run is None or not run.is_counted:
            return
        if report.outcome in NOT_SENT:
            self._count(run, -1)
            return
        self.counts.record_end(
            run.route,
            run.server,
            run.work_tokens,
            report,
            at,
            is_new=self.is_new(run.version),
        )

    def expire(self, at: float) -> None:
        """Forget runs past their timeout whose end was not reported."""
        for run in [run for run in self._runs.values() if run.ends_by <= at]:
            del self._runs[run.run_id]

    def runs(self) -> tuple[TrackedRun, ...]:
        """Return the runs in progress."""
        return tuple(self._runs.values())

    @property
    def old_runs(self) -> int:
        """Return how many runs are in progress on old servers."""
        return sum(not self.is_new(run.version) for run in self._runs.values())

    def evidence(self, lease_at: float, *, with_counts: bool = True) -> ServiceEvidence:
        """Return what was observed.

        While a directive has run out, old servers take requests, as in `CANARY`.
        """
        stage = self.directive.stage
        if not self.is_in_force(lease_at):
            stage = Stage.CANARY
        return ServiceEvidence(
            self.directive.service,
            self.directive.rollout,
            stage,
            self.old_runs,
            self.counts.rows() if with_counts else (),
        )

    def _count(self, run: TrackedRun, change: int) -> None:
        is_new = self.is_new(run.version)
        self.exposure.record(run.route, is_new=is_new, change=change)
        self.counts.record_began(run.route, is_new=is_new, change=change)


def _key(directive: Directive) -> tuple[int, int]:
    return directive.rollout, STAGE_ORDER[directive.stage]
