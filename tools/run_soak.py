"""Run the fault soak on real programs and print a row for each seed.

`python tools/run_soak.py [--seed=N] [--runs=N] [--length_s=S] [--keep=FOLDER]`:
seeds from N on, one after the other. Exits 1 when a promise was broken; with
--keep, the logs of each run stay under FOLDER/SEED.
"""

import argparse
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fuchsiacroft.tests.soak.run import Plan, run_soak

SHOWN = 10
"""Broken promises of one run that are printed."""


def main() -> int:
    """Play every seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--length_s", type=float, default=20.0)
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--servers", type=int, default=6)
    parser.add_argument("--keep", metavar="FOLDER")
    args = parser.parse_args()
    broken = 0
    for seed in range(args.seed, args.seed + args.runs):
        folder = str(Path(args.keep) / str(seed)) if args.keep else None
        plan = Plan(seed, args.length_s, args.entries, args.servers, folder)
        began = time.monotonic()
        result = run_soak(plan)
        broken += bool(result.violations)
        print(
            f"seed={seed} faults={len(result.faults)} attempts={result.attempts} "
            f"served={result.served} runs={result.runs} wrong={len(result.violations)} "
            f"seconds={time.monotonic() - began:.0f}"
        )
        for sentence in result.violations[:SHOWN]:
            print(f"  wrong: {sentence}")
        sys.stdout.flush()
    print(f"{broken} of {args.runs} runs broke a promise")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
