"""Issues permits for runs, and updates the estimates from their reports."""

import asyncio
import itertools
import uuid

from fuchsiacroft.routing.owned_server import OwnedServer, Run
from fuchsiacroft.routing.permits import (
    NOT_SENT,
    Permit,
    PermitRequest,
    RunOutcome,
    RunReport,
)
from fuchsiacroft.routing.policies import PolicySet
from fuchsiacroft.utils.clock import now


class PermitIssuer:
    """Issues the permits of one owner, unique across its restarts."""

    def __init__(self, node: str, policies: PolicySet) -> None:
        self._node = node
        self._policies = policies
        self._sequence = itertools.count()
        self._instance_id = uuid.uuid4().hex[:8]

    def issue(self, request: PermitRequest, owned: OwnedServer) -> Permit:
        """Return a permit, and count its run as started."""
        self._policies.estimates.record_size(request)
        permit = Permit(
            permit_id=f"{self._node}-{self._instance_id}-{next(self._sequence)}",
            request=request,
            backend_server=owned.name,
            boot_id=owned.server.boot_id,
            address=owned.server.announcement.address,
            owner=self._node,
            preempted=asyncio.get_running_loop().create_future(),
            is_limited=owned.pacing.is_limited(owned.instance),
        )
        owned.pacing.take(owned.instance, now())
        owned.add(self.new_run(permit, owned))
        owned.health.record_start()
        self._policies.prefixes.record_run(request, owned.name)
        return permit

    def new_run(self, permit: Permit, owned: OwnedServer) -> Run:
        """Return a run with its expected times."""
        policies = self._policies
        cached = policies.prefixes.cached_tokens(permit.request, owned.name)
        speed = policies.estimates.speed(permit.request.service, owned.generation)
        ratio = policies.estimates.output_ratio(permit.request.service)
        weight = 1.0
        if owned.limit.weighs_runs:
            weight = policies.estimates.weight(permit.request)
        return Run(
            permit=permit,
            weight=weight,
            started_at=now(),
            expected_s=speed.run_s(permit.request, ratio, cached),
            prefill_s=speed.prefill_s(permit.request, cached),
            cached_tokens=cached,
        )

    def record_run(self, owned: OwnedServer, run: Run, report: RunReport) -> None:
        """Update the estimates, the health and the limit from a run's report."""
        request = run.permit.request
        if report.outcome in NOT_SENT and not run.is_foreign:
            owned.pacing.refund(owned.instance, now())
        if report.outcome is RunOutcome.UNUSED or run.is_foreign:
            return
        if report.outcome is RunOutcome.CONNECTION_LOST:
            owned.record_lost_run(run)
        estimates = self._policies.estimates
        reference = estimates.reference(request.service, owned.generation)
        owned.health.record_run(request, reference, run.expected_s, report)
        owned.limit.record_run(request, owned.load, report)
        if not owned.health.is_ejected:
            prefilled = request.size.prompt_tokens - run.cached_tokens
            prefilled = prefilled if run.was_first_prefill else 0
            estimates.record_run(request, owned.generation, prefilled, report)
            if report.outcome is RunOutcome.COMPLETED:
                ratio = run.elapsed_s() / run.expected_s
                estimates.record_overrun(request.service, ratio)
