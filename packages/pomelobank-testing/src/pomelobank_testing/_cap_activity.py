"""Shows from nodes' logs who granted, used and lost a workspace's tokens.

Usage: `python -m pomelobank_testing cap-activity LOG [--workspace NAME]`. LOG
holds the output of all nodes; lines of other kinds are skipped.
"""

import argparse
import json
from collections import Counter
from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import Any

import attrs

MESSAGE = "caps.activity"
_RATE = "rate_per_s"
_COLUMNS = (
    "granted_first",
    "granted_later",
    "used",
    "void",
    "given_back",
    "first_runs",
    "further_runs",
)


@attrs.frozen
class Activity:
    """Counts of one workspace at one node in one period.

    Attributes:
        end_s: End of the period, in seconds.
        node: The node.
        workspace: Name of the workspace.
        counts: Counts by name; `rate_per_s` is no count.
    """

    end_s: float
    node: str
    workspace: str
    counts: dict[str, float]


def read_activity(lines: Iterable[str]) -> Iterator[Activity]:
    """Reads the counts of all nodes.

    A line may begin with a time in seconds, as the bench prints it; it is then
    used in place of the line's own time of day.
    """
    for line in lines:
        start = line.find("{")
        if MESSAGE not in line or start < 0:
            continue
        try:
            record = json.loads(line[start:])
        except ValueError:
            continue
        if record.get("message") != MESSAGE:
            continue
        end_s = _time_s(line[:start], record)
        for name, counts in record["workspaces"].items():
            yield Activity(end_s, str(record.get("node", "")), name, counts)


def _time_s(prefix: str, record: dict[str, Any]) -> float:
    for word in prefix.split():
        try:
            return float(word.strip("[]s:"))
        except ValueError:
            continue
    return datetime.fromisoformat(str(record["time"])).timestamp()


def worst_window(activities: list[Activity], window_s: float) -> float:
    """Returns the end of the window in which most requests of a list ran."""
    activities = sorted(activities, key=lambda item: item.end_s)
    best, best_end_s, first, runs = 0.0, 0.0, 0, 0.0
    for item in activities:
        runs += item.counts.get("first_runs", 0)
        while activities[first].end_s <= item.end_s - window_s:
            runs -= activities[first].counts.get("first_runs", 0)
            first += 1
        if runs > best:
            best, best_end_s = runs, item.end_s
    return best_end_s


def summarize(
    activities: list[Activity], end_s: float, window_s: float
) -> tuple[Counter[str], Counter[str]]:
    """Returns the counts of a window, and the tokens granted by node."""
    counts: Counter[str] = Counter()
    granted: Counter[str] = Counter()
    for item in activities:
        if not end_s - window_s < item.end_s <= end_s:
            continue
        counts.update(
            {name: int(item.counts.get(name, 0)) for name in _COLUMNS}
        )
        for name in _COLUMNS[:2]:
            tokens = int(item.counts.get(name, 0))
            if tokens:
                rate_per_s = item.counts.get(_RATE, 0)
                key = f"{item.node} {name} at {rate_per_s}/s"
                granted[key] += tokens
    return counts, granted


def main(arguments: list[str]) -> int:
    """Prints the window of each workspace in which most requests ran."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("log", help="file with the output of all nodes")
    parser.add_argument("--workspace", help="only this workspace")
    parser.add_argument("--window-s", type=float, default=5.0)
    parser.add_argument("--end-s", type=float, help="end of the window")
    parser.add_argument("--most", type=int, default=10)
    options = parser.parse_args(arguments)
    by_name: dict[str, list[Activity]] = {}
    with open(options.log, encoding="utf-8", errors="replace") as log:
        for item in read_activity(log):
            by_name.setdefault(item.workspace, []).append(item)
    if options.workspace:
        by_name = {options.workspace: by_name.get(options.workspace, [])}
    rows = []
    for name, activities in by_name.items():
        end_s = options.end_s or worst_window(activities, options.window_s)
        counts, granted = summarize(activities, end_s, options.window_s)
        rows.append((counts["first_runs"], name, end_s, counts, granted))
    rows.sort(key=lambda row: (-row[0], row[1]))
    for _, name, end_s, counts, granted in rows[: options.most]:
        figures = ", ".join(f"{key} {counts[key]}" for key in _COLUMNS)
        print(f"{name}, {options.window_s:g} s until {end_s:.1f}: {figures}")
        for key, tokens in granted.most_common(5):
            print(f"    {tokens} by {key}")
    return 0
