"""Run the fault scenarios on real processes and print a table.

`python tools/run_faults.py [--seed=N] [--pairs=N] [FAULT ...]` runs each fault
alone, then random pairs of faults; with FAULT arguments, only these together.
Exits with 1 if an invariant was violated.
"""

import argparse
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fuchsiacroft.replay.expectations import Expectations, goodput
from fuchsiacroft.tests.faults.actions import ACTIONS
from fuchsiacroft.tests.faults.scenario import Plan, run


def plans(args: argparse.Namespace) -> list[Plan]:
    """Return the plans to run."""
    if args.faults:
        return [Plan(args.seed, tuple(args.faults))]
    rng = random.Random(args.seed)
    single = [Plan(args.seed, (name,)) for name in ACTIONS]
    pairs = [
        Plan(args.seed + i, tuple(rng.sample(list(ACTIONS), 2)))
        for i in range(args.pairs)
    ]
    crashing = Plan(args.seed, crashing=5)
    return [Plan(args.seed), crashing, *single, *pairs]


def main() -> int:
    """Run every plan and print a row for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--pairs", type=int, default=6)
    parser.add_argument("--verbose", action="store_true")
    parser.add_argument("faults", nargs="*", metavar="FAULT")
    args = parser.parse_args()
    failed_runs = 0
    for plan in plans(args):
        verdict = run(plan, Expectations())
        shares = " ".join(
            f"{rank}:{share:.3f}" for rank, share in goodput(verdict.outcomes).items()
        )
        name = "+".join(plan.faults) or "calm"
        name += "+crashing" if plan.crashing else ""
        print(f"{name:32} seed={plan.seed} goodput {shares} {verdict.lines[-1]}")
        if args.verbose:
            print("\n".join(verdict.lines))
        for sentence in verdict.violations:
            print(f"  wrong: {sentence}")
        failed_runs += bool(verdict.violations)
        sys.stdout.flush()
    print(f"{failed_runs} runs with violations")
    return 1 if failed_runs else 0


if __name__ == "__main__":
    sys.exit(main())
