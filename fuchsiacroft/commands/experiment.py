"""Replay traces in a simulation under each policy set, and print a table."""

from dataclasses import dataclass, replace
from statistics import mean

from absl import flags

from fuchsiacroft.model import experiment
from fuchsiacroft.model.experiment import POLICY_SETS, SCENARIOS, Trial
from fuchsiacroft.model.outcomes import Measures
from fuchsiacroft.model.simulation import ReportConditions
from fuchsiacroft.model.trace import DEPLOYMENTS
from fuchsiacroft.utils import logs

HEADER = (
    "deployment scenario load policies | goodput by tier % (min-max) | top/empty % | "
    "total (min-max) | model total (min-max) | tokens | wasted prefill | "
    "refused cut late lost | "
    "inversions broken | first token p95 s, gap p95 ms"
)


@dataclass(frozen=True, slots=True)
class Cell:
    """The measures of one policy set in one case, one per seed."""

    name: str
    measures: list[Measures]


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of this command."""
    flags.DEFINE_list(
        "deployments",
        list(DEPLOYMENTS),
        "deployments whose traces are replayed",
        values,
    )
    flags.DEFINE_list("policies", list(POLICY_SETS), "policy sets to compare", values)
    flags.DEFINE_list(
        "scenarios", list(SCENARIOS), "fault scenarios to simulate", values
    )
    flags.DEFINE_list(
        "loads",
        ["0.7", "1", "1.5", "3"],
        "offered loads as multiples of capacity",
        values,
    )
    flags.DEFINE_list(
        "seeds", ["1", "2", "3", "4", "5"], "random seeds, one trial each", values
    )
    flags.DEFINE_float(
        "length_s", 60.0, "length of each trace in seconds", flag_values=values
    )
    flags.DEFINE_float(
        "report_lag_s", 1.0, "age of load reports in seconds", flag_values=values
    )
    flags.DEFINE_float(
        "report_factor", 1.0, "factor by which reported load is off", flag_values=values
    )
    flags.DEFINE_bool("reports", True, "whether backend servers report load", values)
    flags.DEFINE_bool("empty", True, "compare with a run of the top tier alone", values)


def run(values: flags.FlagValues) -> int:
    """Run every case, and print one line per policy set."""
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
        conditions=ReportConditions(
            report_lag_s=values.report_lag_s,
            reports=values.reports,
            report_factor=values.report_factor,
        ),
    )
    baseline = None
    if values.empty:
        top_tier_only = replace(case, scenario="calm", highest_rank=0)
        baseline = _run_seeds(top_tier_only, "ours", values.seeds)
    for policies in values.policies:
        cell = _run_seeds(case, policies, values.seeds)
        print(f"{name} {scenario} {load:g} {_format_row(cell, baseline)}", flush=True)


def _run_seeds(case: Trial, policies: str, seeds: list[str]) -> Cell:
    case = replace(case, policies=POLICY_SETS[policies])
    trials = [replace(case, seed=int(seed)) for seed in seeds]
    return Cell(policies, [experiment.run(trial).measures() for trial in trials])


def _format_row(cell: Cell, baseline: Cell | None) -> str:
    measures = cell.measures
    tiers = " ".join(
        _format_range([100 * m.goodput[rank] for m in measures])
        for rank in range(len(measures[0].goodput))
    )
    top = "-"
    if baseline is not None:
        ratios = [
            100 * m.goodput[0] / e.goodput[0]
            for m, e in zip(measures, baseline.measures, strict=True)
        ]
        top = _format_range(ratios)
    endings = " ".join(
        f"{mean(m.endings[ending] for m in measures):.0f}"
        for ending in ("refused", "cut", "late", "lost")
    )
    return (
        f"{cell.name:17} | {tiers} | {top} | "
        f"{_format_range([m.total for m in measures], 0)} | "
        f"{_format_range([m.model_total for m in measures], 0)} | "
        f"{mean(m.tokens for m in measures):.0f} | "
        f"{mean(m.wasted for m in measures):.0f} | {endings} | "
        f"{sum(m.inversions for m in measures)} "
        f"{sum(m.violations for m in measures)} | "
        f"{mean(m.first_token_p95_s for m in measures):.2f} "
        f"{1000 * mean(m.token_gap_p95_s for m in measures):.0f}"
    )


def _format_range(values: list[float], digits: int = 1) -> str:
    low, high = min(values), max(values)
    average = f"{mean(values):.{digits}f}"
    return average if low == high else f"{average} ({low:.{digits}f}-{high:.{digits}f})"
