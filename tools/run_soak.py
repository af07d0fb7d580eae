"""Run the soak test on real processes and print a row for each seed.

`python tools/run_soak.py [--seed=N] [--runs=N] [--length_s=S] [--keep=FOLDER]
[--kinds KIND ...]` runs consecutive seeds, starting with --seed, with faults of the
given kinds or of all. Exits with 1 if an invariant was
violated; with --keep, the logs of each run are kept in FOLDER/SEED.
"""

import argparse
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fuchsiacroft.tests.soak.run import Plan, run_soak
from fuchsiacroft.tests.soak.schedule import ALL_KINDS, NAMED_KINDS

MAX_PRINTED = 10
"""Maximum number of violations printed for each run."""


def main() -> int:
    """Run every seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--length_s", type=float, default=20.0)
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--servers", type=int, default=6)
    parser.add_argument("--keep", metavar="FOLDER")
    parser.add_argument("--kinds", nargs="+", choices=NAMED_KINDS, default=ALL_KINDS)
    args = parser.parse_args()
    failed_runs = 0
    for seed in range(args.seed, args.seed + args.runs):
        folder = str(Path(args.keep) / str(seed)) if args.keep else None
        plan = Plan(
            seed, args.length_s, args.entries, args.servers, folder, tuple(args.kinds)
        )
        started_at = time.monotonic()
        result = run_soak(plan)
        failed_runs += bool(result.violations)
        print(
            f"seed={seed} faults={len(result.faults)} attempts={result.attempts} "
            f"served={result.served} runs={result.runs} wrong={len(result.violations)} "
            f"seconds={time.monotonic() - started_at:.0f}"
        )
        for sentence in result.violations[:MAX_PRINTED]:
            print(f"  wrong: {sentence}")
        sys.stdout.flush()
    print(f"{failed_runs} of {args.runs} runs had violations")
    return 1 if failed_runs else 0


if __name__ == "__main__":
    sys.exit(main())
