"""Replays a load pattern, with chosen mechanisms switched off.

Usage: `python -m pomelobank_testing experiment PATTERN`.
"""

import argparse
import statistics

from pomelobank_testing.experiment import (
    MECHANISMS,
    PATTERNS,
    Outcomes,
    Pattern,
    max_value_ratio,
    run_pattern,
)

# Length of the windows in which the users' bench judges the worst seconds.
_WINDOW_S = 2.0
_ROW_FORMAT = "{:<10} {:>6} {:>6} {:>6} {:>8} {:>7} {:>13} {:>9}"


def main(arguments: list[str] | None = None) -> int:
    """Replays a pattern with several seeds and prints the outcomes."""
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
        parser.error(f"--seeds must be at least 1, but is {options.seeds}")
    pattern = PATTERNS[options.pattern]
    without = frozenset(options.without)
    runs = [
        run_pattern(pattern, seed, without) for seed in range(options.seeds)
    ]
    print(f"{options.pattern}: {pattern.purpose}")
    _print_routes(runs)
    value_ratios = [run.value_ratio for run in runs]
    max_ratio = statistics.fmean(
        max_value_ratio(pattern, at_s + 0.5)
        for at_s in range(int(pattern.duration_s))
    )
    print(
        f"value ratio {statistics.fmean(value_ratios):.3f}"
        f" ({min(value_ratios):.3f} to {max(value_ratios):.3f}),"
        f" upper bound {max_ratio:.3f}"
    )
    _print_windows(pattern, runs)
    return 0


def _print_windows(pattern: Pattern, runs: list[Outcomes]) -> None:
    print(f"windows of {_WINDOW_S:g} s: start, value ratio, upper bound")
    for from_s in _window_starts_s(pattern):
        value_ratio = statistics.fmean(
            run.window_value_ratio(from_s, from_s + _WINDOW_S) for run in runs
        )
        max_ratio = max_value_ratio(pattern, from_s + _WINDOW_S / 2)
        print(f"{from_s:>5.1f} {value_ratio:.3f} {max_ratio:.3f}")


def _window_starts_s(pattern: Pattern) -> list[float]:
    # After a power loss, windows start with the return of the traffic.
    loss = pattern.power_loss
    first_s = loss.until_s % _WINDOW_S if loss else 0.0
    count = int((pattern.duration_s - first_s) / _WINDOW_S)
    return [first_s + number * _WINDOW_S for number in range(count)]


def _print_routes(runs: list[Outcomes]) -> None:
    headings = ("asked", "in aim", "late", "refused", "failed")
    print(_ROW_FORMAT.format("route", *headings, "refused in ms", "arrivals"))
    for route in runs[0].pattern.routes:
        outcomes = [run.for_route(route.name) for run in runs]
        print(
            _ROW_FORMAT.format(
                route.name,
                sum(item.requests for item in outcomes),
                sum(item.within_objective for item in outcomes),
                sum(item.past_objective for item in outcomes),
                sum(item.refused for item in outcomes),
                sum(item.failed for item in outcomes),
                round(max(item.refusal_time_p95_ms for item in outcomes)),
                sum(item.arrivals for item in outcomes),
            )
        )
