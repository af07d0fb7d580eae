"""The rollouts of all services that an entry knows, and what they allow.

The fleet asks it where a request may begin. It takes the time as an argument and does
no I/O. A service without a directive has no `Permission`, and its runs are not tracked.
"""

from collections.abc import Callable, Iterable
from dataclasses import replace

from fuchsiacroft.config.bounds import MAX_SPAN_S
from fuchsiacroft.membership.registry_wire import ServerRecord
from fuchsiacroft.rollouts.messages import Directive, ServiceEvidence, Stage
from fuchsiacroft.rollouts.service_rollout import (
    Permission,
    ServiceRollout,
    TrackedRun,
)
from fuchsiacroft.routing.permits import RunReport
from fuchsiacroft.utils.logs import event

SETTLE_S = 5.0
"""Old servers that become known this long after `COMPLETED` are barred, too: their
records were under way, or this entry has just started."""
ENDED_ACTIVE_S = 10.0
"""A rollout is reported as often as a running one for this long after its end."""


class EntryRollouts:
    """The newest directive of each service, with the counts of its runs.

    Leases are held on the lease clock, which also counts while the VM is suspended;
    `set_clocks` relates it to the times that are passed in. `running` returns the runs
    of a service that began before its first directive came.
    """

    def __init__(self) -> None:
        self._by_service: dict[str, ServiceRollout] = {}
        self._runs: dict[str, ServiceRollout] = {}
        self._records: tuple[ServerRecord, ...] = ()
        self._offered: dict[str, frozenset[tuple[str, str]]] = {}
        self._barred: dict[str, frozenset[tuple[str, str]]] = {}
        self._rejected: dict[str, frozenset[str]] = {}
        self._presence: dict[str, tuple[bool, bool]] = {}
        self._ended_at: dict[str, float] = {}
        self._at = 0.0
        self._lease_offset_s = 0.0
        self.running: Callable[[str], Iterable[TrackedRun]] = lambda service: ()

    def dump(self) -> dict:
        """Return the directive of each service and what began under it."""
        return {
            service: {
                "to": rollout.directive.to,
                "rollout": rollout.directive.rollout,
                "stage": rollout.directive.stage.value,
                "in_force": rollout.is_in_force(self._at + self._lease_offset_s),
                "began": rollout.exposure.began,
                "began_new": rollout.exposure.began_new,
                "runs": len(rollout.runs()),
                "barred": len(self._barred.get(service, ())),
            }
            for service, rollout in self._by_service.items()
        }

    @property
    def is_empty(self) -> bool:
        """Return whether no directive has come."""
        return not self._by_service

    def is_active(self, at: float) -> bool:
        """Return whether a rollout runs or has ended lately."""
        return any(
            self._is_active(service, rollout, at)
            for service, rollout in self._by_service.items()
        )

    @property
    def has_runs(self) -> bool:
        """Return whether runs of services with a rollout are in progress."""
        return bool(self._runs)

    def set_clocks(self, at: float, lease_at: float) -> None:
        """Record the time of both clocks at one moment."""
        self._lease_offset_s = lease_at - at

    def set_servers(self, records: tuple[ServerRecord, ...], at: float) -> None:
        """Replace the servers of all failure domains that accept work."""
        self._records = records
        self._offered.clear()
        self._presence.clear()
        for service, rollout in self._by_service.items():
            is_completed = rollout.directive.stage is Stage.COMPLETED
            if is_completed and at - self._ended_at[service] < SETTLE_S:
                self._bar_old(service, rollout)
            self._presence_of(service, rollout)

    def apply(self, directives: Iterable[Directive], sent_at: float, at: float) -> None:
        """Take the directives of a confirmed reply.

        Their leases count from `sent_at`, on the lease clock, when they were requested.
        """
        for directive in directives:
            self._apply(directive, sent_at + directive.lease_s, at)

    def directives(self, at: float) -> tuple[Directive, ...]:
        """Return the directives to pass on, with what is left of their leases."""
        lease_at = at + self._lease_offset_s
        return tuple(
            Directive(
                directive.service,
                directive.to,
                directive.rollout,
                directive.stage,
                directive.share,
                max(rollout.lease_until - lease_at, 0.0),
                self._ended_s(service, directive, at),
            )
            for service, rollout in self._by_service.items()
            for directive in (rollout.directive,)
        )

    def permission(self, service: str, at: float | None = None) -> Permission | None:
        """Return where requests of a service may begin, None without a directive.

        Without a time, it is that of the last decision.
        """
        rollout = self._by_service.get(service)
        if rollout is None:
            return None
        if at is not None:
            self._at = at
        has_new, has_old = self._presence_of(service, rollout)
        return rollout.permission(
            self._at + self._lease_offset_s,
            has_new=has_new,
            has_old=has_old,
            barred=self._barred[service],
            rejected=self._rejected[service],
        )

    def may_go_on(self, service: str, server: str, version: str) -> bool:
        """Return whether a stream may be continued on a server, now or later.

        A directive that has run out may be in force again soon.
        """
        rollout = self._by_service.get(service)
        if rollout is None:
            return True
        if rollout.is_new(version):
            is_rejected = rollout.directive.stage is Stage.ROLLED_BACK
            return not is_rejected or not rollout.had_old
        is_barred = (server, version) in self._barred[service]
        return not is_barred and version not in self._rejected[service]

    def is_due(self, service: str, route: str) -> bool:
        """Return whether a request of a route should go to the new version first."""
        return self._by_service[service].is_due(route)

    def order(self, service: str, names: Iterable[str]) -> dict[str, int]:
        """Return in which order the new servers of a service are filled."""
        return self._by_service[service].order(names)

    def begin(self, run: TrackedRun) -> None:
        """Track a run of a service with a rollout."""
        rollout = self._by_service.get(run.service)
        if rollout is not None and run.run_id not in self._runs:
            self._runs[run.run_id] = rollout
            rollout.begin(run)

    def tracks(self, service: str, at: float) -> bool:
        """Return whether runs of a service are tracked: until its rollout has ended."""
        rollout = self._by_service.get(service)
        return rollout is not None and self._is_active(service, rollout, at)

    def end(self, run_id: str, report: RunReport, at: float) -> None:
        """Record the end of a run, if it is tracked."""
        rollout = self._runs.pop(run_id, None)
        if rollout is not None:
            rollout.end(run_id, report, at)

    def expire(self, at: float) -> None:
        """Forget runs past their timeout whose end was not reported."""
        if not self._runs:
            return
        for rollout in self._by_service.values():
            rollout.expire(at)
        known = {
            run.run_id
            for rollout in self._by_service.values()
            for run in rollout.runs()
        }
        for run_id in self._runs.keys() - known:
            del self._runs[run_id]

    def evidence(self, at: float) -> tuple[ServiceEvidence, ...]:
        """Return what was observed of each rollout.

        Counts are left out some time after its end, when nobody judges them any more.
        """
        lease_at = at + self._lease_offset_s
        return tuple(
            rollout.evidence(
                lease_at, with_counts=self._is_active(service, rollout, at)
            )
            for service, rollout in self._by_service.items()
        )

    def _ended_s(self, service: str, directive: Directive, at: float) -> float:
        """Return how long ago a rollout was completed, 0 for any other."""
        if directive.stage is not Stage.COMPLETED:
            return 0.0
        passed_s = max(at - self._ended_at[service], 0.0)
        return min(directive.ended_s + passed_s, MAX_SPAN_S)

    def _is_active(self, service: str, rollout: ServiceRollout, at: float) -> bool:
        if not rollout.has_ended:
            return True
        return at - self._ended_at[service] < ENDED_ACTIVE_S

    def _apply(self, directive: Directive, lease_until: float, at: float) -> None:
        service = directive.service
        known = self._by_service.get(service)
        if known is not None and known.directive.rollout == directive.rollout:
            if not known.update(directive, lease_until):
                return
        elif known is not None and known.directive.rollout > directive.rollout:
            return
        else:
            self._begin_rollout(ServiceRollout(directive, lease_until), known)
        self._begin_stage(self._by_service[service], at)

    def _begin_rollout(
        self, rollout: ServiceRollout, known: ServiceRollout | None
    ) -> None:
        """Begin to track the runs of a service, with those that are in progress."""
        service = rollout.directive.service
        self._by_service[service] = rollout
        self._ended_at.pop(service, None)
        rejected = self._rejected.get(service, frozenset())
        self._rejected[service] = rejected - {rollout.directive.to}
        self._barred[service] = frozenset(
            server
            for server in self._barred.get(service, frozenset())
            if server in self._offered_of(service) and not rollout.is_new(server[1])
        )
        earlier = known.runs() if known is not None else ()
        for run in (*earlier, *self.running(service)):
            # Their requests were counted under the earlier rollout, or not at all.
            self._runs[run.run_id] = rollout
            rollout.begin(replace(run, is_counted=False))

    def _begin_stage(self, rollout: ServiceRollout, at: float) -> None:
        directive = rollout.directive
        service = directive.service
        self._presence.clear()
        self._presence_of(service, rollout)
        if rollout.has_ended:
            self._ended_at[service] = at
        if directive.stage is Stage.ROLLED_BACK:
            self._rejected[service] |= {directive.to}
        elif directive.stage is Stage.COMPLETED:
            self._bar_old(service, rollout)
        event(
            "info",
            "rollout_stage",
            service=service,
            to=directive.to,
            rollout=directive.rollout,
            stage=directive.stage.value,
            share=round(directive.share, 4),
            old_runs=rollout.old_runs,
        )

    def _bar_old(self, service: str, rollout: ServiceRollout) -> None:
        if rollout.was_long_over:
            return
        old = {
            (name, version)
            for name, version in self._offered_of(service)
            if not rollout.is_new(version)
        }
        self._barred[service] |= old
        self._presence.clear()

    def _presence_of(self, service: str, rollout: ServiceRollout) -> tuple[bool, bool]:
        """Return whether the new version and usable old ones have servers."""
        found = self._presence.get(service)
        if found is None:
            barred, rejected = self._barred[service], self._rejected[service]
            usable = {
                version
                for name, version in self._offered_of(service)
                if (name, version) not in barred and version not in rejected
            }
            to = rollout.directive.to
            found = self._presence[service] = (to in usable, bool(usable - {to}))
            rollout.had_old |= found[1]
        return found

    def _offered_of(self, service: str) -> frozenset[tuple[str, str]]:
        """Return the names and versions of a service's servers."""
        offered = self._offered.get(service)
        if offered is None:
            offered = frozenset(
                (record.name, record.announcement.version_of(service))
                for record in self._records
                if record.announcement.offers_service(service)
            )
            self._offered[service] = offered
        return offered
