"""Metrics of the rollouts on a control member."""

from fuchsiacroft.rollouts.counts import Counts
from fuchsiacroft.rollouts.messages import Stage
from fuchsiacroft.rollouts.state import Rollout
from fuchsiacroft.utils.metrics import Metrics

STAGE_NUMBERS = {
    Stage.CANARY: 1,
    Stage.SHIFTED: 2,
    Stage.COMPLETED: 3,
    Stage.ROLLED_BACK: 4,
}


class RolloutMetrics:
    """Stage, share and judged responses of each version that was ordered."""

    def __init__(self, metrics: Metrics) -> None:
        self._stage = metrics.gauge(
            "fuchsiacroft_rollout_stage",
            "Stage of a rollout: 1 canary, 2 shifted, 3 completed, 4 rolled back",
        )
        self._share = metrics.gauge(
            "fuchsiacroft_rollout_share", "Share of new requests for the new version"
        )
        self._answers = metrics.gauge(
            "fuchsiacroft_rollout_answers", "Judged responses of the new version"
        )
        self._bad = metrics.gauge(
            "fuchsiacroft_rollout_bad_answers",
            "Judged responses of the new version that were failed or slow",
        )

    def show_stage(self, rollout: Rollout) -> None:
        """Show the stage and share of a rollout."""
        labels = _labels(rollout)
        self._stage.set(labels, STAGE_NUMBERS[rollout.stage])
        self._share.set(labels, rollout.share)

    def show_answers(self, rollout: Rollout, counts: Counts) -> None:
        """Show the responses that this member knows of."""
        labels = _labels(rollout)
        self._answers.set(labels, counts.answers)
        self._bad.set(labels, counts.bad)


def _labels(rollout: Rollout) -> dict[str, str]:
    return {"service": rollout.service, "version": rollout.to}
