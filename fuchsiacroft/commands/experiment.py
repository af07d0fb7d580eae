"""Replay traces under each policy set in a model, and print the table."""

from dataclasses import dataclass, replace
from statistics import mean

from absl import flags

from fuchsiacroft.model import experiment
from fuchsiacroft.model.experiment import POLICY_SETS, SCENARIOS, Trial
from fuchsiacroft.model.outcomes import Measures
from fuchsiacroft.model.trace import DEPLOYMENTS
from fuchsiacroft.model.world import Conditions
from fuchsiacroft.utils import logs

HEADER = (
    "deployment scenario load policies | goodput by tier % (min-max) | top/empty % | "
    "total (min-max) | model total (min-max) | tokens | wasted prefill | "
    "refused cut late lost | "
    "inversions broken | first token p95 s, gap p95 ms"
)


@dataclass(frozen=True, slots=True)
class Cell:
    """The measures of one policy set in one case, one for each seed."""

    name: str
    measures: list[Measures]


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of this command."""
    flags.DEFINE_list("deployments", list(DEPLOYMENTS), "whose traces", values)
    flags.DEFINE_list("policies", list(POLICY_SETS), "which policy sets", values)
    flags.DEFINE_list("scenarios", list(SCENARIOS), "which faults", values)
    flags.DEFINE_list("loads", ["0.7", "1", "1.5", "3"], "times capacity", values)
    flags.DEFINE_list("seeds", ["1", "2", "3", "4", "5"], "which seeds", values)
    flags.DEFINE_float("length_s", 60.0, "seconds of each trace", flag_values=values)
    flags.DEFINE_float("report_lag_s", 1.0, "age of load reports", flag_values=values)
    flags.DEFINE_float("report_factor", 1.0, "wrong by", flag_values=values)
    flags.DEFINE_bool("reports", True, "whether load is reported", values)
    flags.DEFINE_bool("empty", True, "compare with the top tier alone", values)


def run(values: flags.FlagValues) -> int:
    """Run every case, and print a line for each policy set."""
    logs.configure("ERROR")
    print(HEADER)
    for name in values.deployments:
        for load in values.loads:
            for scenario in values.scenarios:
                _print_case(values, name, float(load), scenario)
    return 0


def _print_case(values, name: str, load: float, scenario: str) -> None:
    case = Trial(
        deployment=DEPLOYMENTS[name],
        policies=POLICY_SETS["ours"],
        load=load,
        scenario=scenario,
        length_s=values.length_s,
        conditions=Conditions(
            report_lag_s=values.report_lag_s,
            reports=values.reports,
            report_factor=values.report_factor,
        ),
    )
    empty = None
    if values.empty:
        alone = replace(case, scenario="calm", highest_rank=0)
        empty = _cell(alone, "ours", values.seeds)
    for policies in values.policies:
        cell = _cell(case, policies, values.seeds)
        print(f"{name} {scenario} {load:g} {_line(cell, empty)}", flush=True)


def _cell(case: Trial, policies: str, seeds: list[str]) -> Cell:
    case = replace(case, policies=POLICY_SETS[policies])
    trials = [replace(case, seed=int(seed)) for seed in seeds]
    return Cell(policies, [experiment.run(trial).measures() for trial in trials])


def _line(cell: Cell, empty: Cell | None) -> str:
    found = cell.measures
    tiers = " ".join(
        _spread([100 * m.goodput[rank] for m in found])
        for rank in range(len(found[0].goodput))
    )
    top = "-"
    if empty is not None:
        ratios = [
            100 * m.goodput[0] / e.goodput[0]
            for m, e in zip(found, empty.measures, strict=True)
        ]
        top = _spread(ratios)
    ended = " ".join(
        f"{mean(m.endings[ending] for m in found):.0f}"
        for ending in ("refused", "cut", "late", "lost")
    )
    return (
        f"{cell.name:17} | {tiers} | {top} | {_spread([m.total for m in found], 0)} | "
        f"{_spread([m.model_total for m in found], 0)} | "
        f"{mean(m.tokens for m in found):.0f} | "
        f"{mean(m.wasted for m in found):.0f} | {ended} | "
        f"{sum(m.inversions for m in found)} {sum(m.broken for m in found)} | "
        f"{mean(m.first_token_p95_s for m in found):.2f} "
        f"{1000 * mean(m.token_gap_p95_s for m in found):.0f}"
    )


def _spread(values: list[float], digits: int = 1) -> str:
    low, high = min(values), max(values)
    middle = f"{mean(values):.{digits}f}"
    return middle if low == high else f"{middle} ({low:.{digits}f}-{high:.{digits}f})"
