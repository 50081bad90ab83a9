"""Prints tables of the recorded load test days.

Usage: `python -m pomelobank_testing journal`. The folder `journal/` contains
one entry for each run, in the form in which the users' test bench wrote it.
"""

import argparse
import json
import statistics
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import attrs

_DEFAULT_FOLDER = Path("journal")
# Prices below this fraction of a day's worth are left out of the table.
_MIN_SHOWN_PRICE_FRACTION = 0.01


@attrs.frozen
class Day:
    """One simulated day of a load test run.

    Attributes:
        run: Id of the run.
        at: Start time of the run.
        why: Purpose of the run.
        site: Name of the deployment.
        name: Name of the day.
        slot: Kind of day: quiet, trouble or scale.
        seed: Seed of the day's randomness.
        worth: Value of the day's responses to callers, less all prices.
        served: Fraction of the requests that were served.
        rules: Names of violated rules.
        has_fault: Whether a process did not start or exited by itself.
        prices: Fraction of the worth that each price deducted, by name.
    """

    run: str
    at: str
    why: str
    site: str
    name: str
    slot: str
    seed: int
    worth: float
    served: float
    rules: tuple[str, ...]
    has_fault: bool
    prices: dict[str, float]


def read_days(folder: Path) -> list[Day]:
    """Returns the days of all completed runs, in the order of file names."""
    days: list[Day] = []
    for path in sorted(folder.glob("*.json")):
        entry = json.loads(path.read_text())
        days += [_day(entry, item) for item in entry["days"] if "G" in item]
    return days


def _day(entry: dict[str, Any], item: dict[str, Any]) -> Day:
    return Day(
        run=entry["id"],
        at=entry["at"][0],
        why=entry["why"],
        site=entry["site"] or "",
        name=item["name"],
        slot=item["slot"],
        seed=item["seed"],
        worth=item["G"],
        served=item["served"],
        rules=tuple(item["rules"]),
        has_fault=bool(item.get("fault")),
        # The bench writes null for a price that it could not charge.
        prices={name: fraction or 0.0 for name, _, fraction in item["prices"]},
    )


def main(arguments: list[str] | None = None) -> int:
    """Prints a table of the selected days; returns 0."""
    parser = argparse.ArgumentParser(prog="journal", description=__doc__)
    parser.add_argument("--folder", type=Path, default=_DEFAULT_FOLDER)
    parser.add_argument("--site", default="", help="name of the deployment")
    parser.add_argument("--why", default="", help="text in the run's reason")
    parser.add_argument("--run", default="", help="id of one run")
    options = parser.parse_args(arguments)
    days = [
        day
        for day in read_days(options.folder)
        if options.site in ("", day.site)
        and options.why in day.why
        and options.run in ("", day.run)
    ]
    print("\n".join(table(days)))
    return 0


def table(days: Iterable[Day]) -> list[str]:
    """Returns the lines of a Markdown table, with one row for each day."""
    lines = [
        "| day | seed | worth | served | broken rules | highest prices | run |",
        "|---|---|---|---|---|---|---|",
    ]
    worths_with_trouble = []
    for day in sorted(days, key=lambda item: (item.name, item.seed, item.at)):
        lines.append(_row(day))
        if day.slot != "quiet" and not day.has_fault:
            worths_with_trouble.append(day.worth)
    if worths_with_trouble:
        mean = statistics.fmean(worths_with_trouble)
        lines.append(
            "| mean of days with trouble, faults left out | |"
            f" {mean:.3f} | | | | |"
        )
    return lines


def _row(day: Day) -> str:
    prices = sorted(day.prices.items(), key=lambda item: -item[1])
    highest_prices = ", ".join(
        f"{name} {fraction:.3f}"
        for name, fraction in prices
        if fraction >= _MIN_SHOWN_PRICE_FRACTION
    )
    rules = ", ".join(day.rules) or "none"
    if day.has_fault:
        rules = "fault"
    return (
        f"| {day.name} | {day.seed} | {day.worth:.3f} | {day.served:.3f}"
        f" | {rules} | {highest_prices} | {day.run} |"
    )
