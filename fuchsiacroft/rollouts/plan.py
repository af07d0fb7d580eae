"""Plans the next step of a rollout from the time, the evidence and the verdict.

The load that this handles: a service whose servers of both versions are up, with runs
of milliseconds to half of the rollout's time.
"""

import enum
from dataclasses import dataclass

from fuchsiacroft.rollouts.evidence import OldRuns
from fuchsiacroft.rollouts.judge import Judgement, Verdict
from fuchsiacroft.rollouts.messages import Stage

SHIFT_MARGIN_S = 2.0
"""Time beside the runs on old servers: two stages reach all coordinators, 0.5 s each,
their reports come back, and the end is committed and read."""
MAX_SHIFT_SHARE = 0.5
"""At most this part of a rollout's time is for the runs on old servers."""
LAST_SHIFT_S = 1.8
"""A version that is known to be good only later than this before the deadline is
rolled back: there is no time to move the traffic."""
LAST_COMPLETION_S = 1.2
"""Time before the deadline for the last stage to reach all coordinators."""
LAST_END_S = 0.6
"""Time before the deadline for the end to be committed and read, by a leader that looks
five times a second."""
MIN_SHIFTED_S = 1.0
"""All traffic is judged for so long, also if no run on old servers is left."""


class Reason(enum.Enum):
    """Why a rollout goes on to a step."""

    UNCHANGED = "unchanged"
    JUDGED_GOOD = "judged_good"
    JUDGED_BAD = "judged_bad"
    NO_EVIDENCE = "too_little_evidence"
    NO_OLD_RUNS = "no_old_runs"
    DEADLINE = "deadline"


@dataclass(frozen=True, slots=True)
class Situation:
    """What is known of a rollout; times are in seconds, `elapsed_s` since its order.

    `stage_s` is how long the present stage has lasted. `longest_run_s` is the longest
    usual run on old servers.
    """

    stage: Stage
    duration_s: float
    elapsed_s: float
    stage_s: float
    longest_run_s: float
    judgement: Judgement
    old_runs: OldRuns

    @property
    def left_s(self) -> float:
        """Return the time to the deadline."""
        return self.duration_s - self.elapsed_s


@dataclass(frozen=True, slots=True)
class Step:
    """The stage from now on, and whether the rollout has ended in it."""

    stage: Stage
    ended: bool
    reason: Reason


def next_step(situation: Situation) -> Step:
    """Return the step that is due, which may be the present one."""
    if situation.stage is Stage.COMPLETED:
        return _complete(situation)
    if situation.judgement.verdict is Verdict.BAD:
        return Step(Stage.ROLLED_BACK, True, Reason.JUDGED_BAD)
    if situation.stage is Stage.CANARY:
        return _end_canary(situation)
    return _end_shifted(situation)


def shift_at_s(duration_s: float, longest_run_s: float) -> float:
    """Return the time after the order at which all traffic is moved."""
    needed_s = longest_run_s + SHIFT_MARGIN_S
    return duration_s - min(needed_s, MAX_SHIFT_SHARE * duration_s)


def _end_canary(situation: Situation) -> Step:
    shift_at = shift_at_s(situation.duration_s, situation.longest_run_s)
    if situation.elapsed_s < shift_at:
        return Step(Stage.CANARY, False, Reason.UNCHANGED)
    if situation.judgement.verdict is Verdict.GOOD:
        return Step(Stage.SHIFTED, False, Reason.JUDGED_GOOD)
    if situation.elapsed_s < situation.duration_s - LAST_SHIFT_S:
        return Step(Stage.CANARY, False, Reason.UNCHANGED)
    return Step(Stage.ROLLED_BACK, True, Reason.NO_EVIDENCE)


def _end_shifted(situation: Situation) -> Step:
    if situation.left_s <= LAST_COMPLETION_S:
        return Step(Stage.COMPLETED, False, Reason.DEADLINE)
    if situation.old_runs.has_ended and situation.stage_s >= MIN_SHIFTED_S:
        return Step(Stage.COMPLETED, False, Reason.NO_OLD_RUNS)
    return Step(Stage.SHIFTED, False, Reason.UNCHANGED)


def _complete(situation: Situation) -> Step:
    if situation.old_runs.has_ended:
        return Step(Stage.COMPLETED, True, Reason.NO_OLD_RUNS)
    if situation.left_s <= LAST_END_S:
        return Step(Stage.COMPLETED, True, Reason.DEADLINE)
    return Step(Stage.COMPLETED, False, Reason.UNCHANGED)
