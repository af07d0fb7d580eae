"""Makes permits for runs, and learns from their reports."""

import asyncio
import itertools
import uuid

from fuchsiacroft.routing.owned import OwnedServer, Run
from fuchsiacroft.routing.permits import Permit, PermitRequest, RunOutcome, RunReport
from fuchsiacroft.routing.policies import Decisions
from fuchsiacroft.utils.clock import now


class Grants:
    """The permits of one owner in its present life."""

    def __init__(self, node: str, decisions: Decisions) -> None:
        self._node = node
        self._decisions = decisions
        self._numbers = itertools.count()
        self._life = uuid.uuid4().hex[:8]

    def grant(self, ask: PermitRequest, owned: OwnedServer) -> Permit:
        """Return a permit for a run that is now counted."""
        self._decisions.estimates.note_size(ask)
        permit = Permit(
            permit_id=f"{self._node}-{self._life}-{next(self._numbers)}",
            request=ask,
            backend_server=owned.name,
            boot_id=owned.server.boot_id,
            address=owned.server.announcement.address,
            owner=self._node,
            preempted=asyncio.get_running_loop().create_future(),
        )
        owned.add(self.run(permit, owned))
        owned.health.note_start()
        self._decisions.prefixes.note_run(ask, owned.name)
        return permit

    def run(self, permit: Permit, owned: OwnedServer) -> Run:
        """Return what is expected of a run."""
        decisions = self._decisions
        cached = decisions.prefixes.cached_tokens(permit.request, owned.name)
        speed = decisions.estimates.speed(permit.request.service, owned.generation)
        ratio = decisions.estimates.output_ratio(permit.request.service)
        weight = 1.0
        if owned.limit.weighs_runs:
            weight = decisions.estimates.weight(permit.request)
        return Run(
            permit=permit,
            weight=weight,
            started_at=now(),
            expected_s=speed.run_s(permit.request, ratio, cached),
            prefill_s=speed.prefill_s(permit.request, cached),
            cached_tokens=cached,
        )

    def learn(self, owned: OwnedServer, run: Run, report: RunReport) -> None:
        """Take in how a run ended."""
        ask = run.permit.request
        if report.outcome is RunOutcome.UNUSED or run.is_foreign:
            return
        if report.outcome is RunOutcome.CONNECTION_LOST:
            owned.note_lost(ask.fingerprint)
        estimates = self._decisions.estimates
        usual = estimates.reference(ask.service, owned.generation)
        owned.health.note(ask, usual, run.expected_s, report)
        owned.limit.note(ask, owned.load, report)
        if not owned.health.is_slow:
            filled = ask.size.prompt_tokens - run.cached_tokens
            filled = filled if run.was_first_prefill else 0
            estimates.note(ask, owned.generation, filled, report)
            if report.outcome is RunOutcome.COMPLETED:
                ratio = run.spent_s() / run.expected_s
                estimates.note_overrun(ask.service, ratio)
