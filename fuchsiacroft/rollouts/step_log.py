"""The log line of a step of a rollout."""

from fuchsiacroft.rollouts.plan import Situation, Step
from fuchsiacroft.rollouts.state import Rollout
from fuchsiacroft.utils.logs import event


def log_step(rollout: Rollout, situation: Situation, step: Step, share: float) -> None:
    """Log a step with the figures that decided it."""
    judgement, old_runs = situation.judgement, situation.old_runs
    counts = judgement.counts
    event(
        "info",
        "rollout_step",
        service=rollout.service,
        version=rollout.to,
        rollout=rollout.number,
        stage=step.stage.value,
        ended=step.ended,
        share=round(share, 3),
        reason=step.reason.value,
        elapsed_s=round(situation.elapsed_s, 2),
        left_s=round(situation.left_s, 2),
        verdict=judgement.verdict.value,
        judged=judgement.reason,
        route=judgement.route,
        answers=counts.answers,
        failed=counts.failed,
        slow=counts.slow,
        lost=counts.lost,
        servers=counts.servers,
        bad_servers=counts.bad_servers,
        expected_bad=round(judgement.expected, 1),
        score=round(judgement.score, 1),
        coordinators=old_runs.sources,
        behind=old_runs.behind,
        old_runs=old_runs.runs,
        longest_run_s=round(situation.longest_run_s, 2),
    )
