"""Tries a policy: `python -m pomelobank_testing experiment PATTERN`."""

import argparse
import statistics

from pomelobank_testing.experiment import (
    MECHANISMS,
    PATTERNS,
    Outcomes,
    max_value_ratio,
    run_pattern,
)

_ROW = "{:<10} {:>6} {:>6} {:>6} {:>8} {:>7} {:>13} {:>9}"


def main(arguments: list[str] | None = None) -> int:
    """Replays a load with several seeds and prints what became of callers."""
    parser = argparse.ArgumentParser(prog="experiment", description=__doc__)
    parser.add_argument("pattern", choices=sorted(PATTERNS))
    parser.add_argument(
        "--without",
        action="append",
        default=[],
        choices=sorted(MECHANISMS),
        help="mechanism to switch off; may be given more than once",
    )
    parser.add_argument("--seeds", type=int, default=3, metavar="N")
    options = parser.parse_args(arguments)
    if options.seeds < 1:
        parser.error("--seeds takes a whole number from 1 on")
    pattern = PATTERNS[options.pattern]
    without = frozenset(options.without)
    runs = [
        run_pattern(pattern, seed, without) for seed in range(options.seeds)
    ]
    print(f"{options.pattern}: {pattern.purpose}")
    _print_routes(runs)
    worths = [run.value_ratio for run in runs]
    bound = statistics.fmean(
        max_value_ratio(pattern, at_s + 0.5)
        for at_s in range(int(pattern.duration_s))
    )
    print(
        f"worth {statistics.fmean(worths):.3f}"
        f" ({min(worths):.3f} to {max(worths):.3f}),"
        f" room for {bound:.3f}"
    )
    return 0


def _print_routes(runs: list[Outcomes]) -> None:
    heads = ("asked", "in aim", "late", "refused", "failed")
    print(_ROW.format("route", *heads, "refused in ms", "arrivals"))
    for route in runs[0].pattern.routes:
        found = [run.for_route(route.name) for run in runs]
        print(
            _ROW.format(
                route.name,
                sum(item.requests for item in found),
                sum(item.within_objective for item in found),
                sum(item.past_objective for item in found),
                sum(item.refused for item in found),
                sum(item.failed for item in found),
                round(max(item.refusal_time_p95_ms for item in found)),
                sum(item.arrivals for item in found),
            )
        )
