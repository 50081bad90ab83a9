"""Makes tables of the recorded days: `python -m pomelobank_testing journal`.

The entries lie in `journal/`, one for each run, as the users' bench wrote them.
"""

import argparse
import json
import statistics
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import attrs

_DEFAULT_FOLDER = Path("journal")
# Prices below this part of a day's worth are left out of the table.
_LEAST_PRICE = 0.01


@attrs.frozen
class Day:
    """One day that was played.

    Attributes:
        run: Id of the run.
        at: When it was played.
        why: What the run was for.
        site: Deployment.
        name: The day's name.
        slot: Kind of day: quiet, trouble or scale.
        seed: Seed of its random draws.
        worth: What it was worth to callers, prices taken off.
        served: Part of the requests that were served.
        rules: Names of broken rules.
        has_fault: Whether a program did not start or ended by itself.
        prices: Part of the worth that each price took.
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
    """Returns the days of all runs that came to an end, the oldest first."""
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
        # The bench leaves out what it could not charge.
        prices={name: part or 0.0 for name, _, part in item["prices"]},
    )


def main(arguments: list[str] | None = None) -> int:
    """Prints a table of the days that fit."""
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
    """Returns the days as lines of a Markdown table, one a day and seed."""
    lines = [
        "| day | seed | worth | served | broken rules | dearest prices | run |",
        "|---|---|---|---|---|---|---|",
    ]
    troubled = []
    for day in sorted(days, key=lambda item: (item.name, item.seed, item.at)):
        lines.append(_row(day))
        if day.slot != "quiet" and not day.has_fault:
            troubled.append(day.worth)
    if troubled:
        mean = statistics.fmean(troubled)
        lines.append(
            "| mean of days with trouble, faults left out | |"
            f" {mean:.3f} | | | | |"
        )
    return lines


def _row(day: Day) -> str:
    prices = sorted(day.prices.items(), key=lambda item: -item[1])
    dear = ", ".join(
        f"{name} {part:.3f}" for name, part in prices if part >= _LEAST_PRICE
    )
    rules = ", ".join(day.rules) or "none"
    if day.has_fault:
        rules = "fault"
    return (
        f"| {day.name} | {day.seed} | {day.worth:.3f} | {day.served:.3f}"
        f" | {rules} | {dear} | {day.run} |"
    )
