"""Runs experiments and prints their figures."""

import msgspec

from endivespindle.bench.experiment import Experiment, Figures, Target, spread
from endivespindle.bench.registry import find_experiments
from endivespindle.cli.logs import configure_logs
from endivespindle.cli.output import ExitCode
from endivespindle.schema.generated.settings import LogLevel

__all__ = ["bench"]

_DEFAULT_SEEDS = 5


def bench(
    name: str = "all",
    /,
    *,
    seed: int = 1,
    seeds: int = _DEFAULT_SEEDS,
    json: bool = False,
) -> int:
    """Runs experiments on consecutive seeds.

    Args:
        name: Name of one experiment, or `all`.
        seed: First seed.
        seeds: Number of seeds.
        json: Print one JSON line for each variant and seed.
    """
    configure_logs(LogLevel.ERROR)
    known = find_experiments()
    if name != "all" and name not in known:
        print(f"no experiment {name!r}; there are {', '.join(known)}")
        return ExitCode.USAGE
    for experiment in known.values() if name == "all" else [known[name]]:
        results = [
            result
            for number in range(seed, seed + seeds)
            for result in experiment.run(number)
        ]
        if json:
            _print_lines(results)
        else:
            _print_table(experiment, results)
    return ExitCode.OK


def _print_lines(results: list[Figures]) -> None:
    for result in results:
        print(msgspec.json.encode(result).decode(), flush=True)


def _print_table(experiment: Experiment, results: list[Figures]) -> None:
    """Prints mean and spread of each figure, and the targets' verdicts."""
    print(f"\n{experiment.name}")
    variants = list(dict.fromkeys(result.variant for result in results))
    for variant in variants:
        runs = [r.figures for r in results if r.variant == variant]
        for figure in runs[0]:
            values = [run[figure] for run in runs]
            mean, low, high = spread(values)
            verdict = _verdict(experiment.targets, variant, figure, values)
            print(
                f"  {variant:<28} {figure:<36} {mean:>12.4g}"
                f"  ({low:.4g} to {high:.4g}){verdict}"
            )


def _verdict(
    targets: tuple[Target, ...], variant: str, figure: str, values: list[float]
) -> str:
    """Returns what the worst seed says of a target, if there is one."""
    for target in targets:
        if (target.variant, target.figure) != (variant, figure):
            continue
        if target.at_most is not None:
            met = max(values) <= target.at_most
            return f"  target <= {target.at_most:g}: {_word(met)}"
        if target.at_least is not None:
            met = min(values) >= target.at_least
            return f"  target >= {target.at_least:g}: {_word(met)}"
    return ""


def _word(met: bool) -> str:
    return "met" if met else "NOT MET"
