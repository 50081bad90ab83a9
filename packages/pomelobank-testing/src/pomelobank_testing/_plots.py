"""Draws plots of recorded results: `python -m pomelobank_testing plots`."""

import argparse
import json
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

RESULTS = Path("benchmarks/results")
PLOTS = Path("docs/plots")
_SIZE_INCHES = (5.0, 3.2)
_DOTS_PER_INCH = 80
_MODE_LABELS = {
    "readers": "few readers",
    "every_node_polls": "every node polls",
}
_VARIANT_LABELS = {
    "design": "design",
    "round_robin_without_admission": "round robin, no admission",
}


def draw_convergence(document: dict[str, Any], folder: Path) -> list[Path]:
    """Draws the log's reads and the convergence time by number of nodes."""
    return [
        _draw_fleet(
            document,
            "log reads/s at rest",
            lambda run: run["at_rest"]["log_reads_per_s"],
            folder / "log-reads.png",
        ),
        _draw_fleet(
            document,
            "last node after the request, ms",
            lambda run: run["ms_from_request"]["max"],
            folder / "convergence.png",
        ),
    ]


def _draw_fleet(
    document: dict[str, Any], label: str, get_value: Any, path: Path
) -> Path:
    figure, axes = pyplot.subplots(figsize=_SIZE_INCHES)
    for mode, name in _MODE_LABELS.items():
        runs = [run for run in document["runs"] if run["mode"] == mode]
        nodes = [run["nodes"] for run in runs]
        axes.plot(
            nodes, [get_value(run) for run in runs], marker="o", label=name
        )
    return _finish(figure, axes, "nodes", label, path)


def draw_goodput(document: dict[str, Any], folder: Path) -> list[Path]:
    """Draws the goodput by offered load."""
    figure, axes = pyplot.subplots(figsize=_SIZE_INCHES)
    for variant, name in _VARIANT_LABELS.items():
        levels = document["goodput"][variant]
        loads = [float(multiple) for multiple in levels]
        goodput = [level["goodput_per_s"] for level in levels.values()]
        axes.plot(loads, goodput, marker="o", label=name)
    path = folder / "goodput.png"
    load_label = "offered load, multiples of capacity"
    return [_finish(figure, axes, load_label, "answered in time per s", path)]


def _finish(figure: Any, axes: Any, x: str, y: str, path: Path) -> Path:
    axes.set_xlabel(x)
    axes.set_ylabel(y)
    axes.set_ylim(bottom=0)
    axes.grid(alpha=0.3)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=_DOTS_PER_INCH)
    pyplot.close(figure)
    return path


_DRAW_FUNCTIONS = {
    "convergence.json": draw_convergence,
    "goodput.json": draw_goodput,
}


def main(arguments: list[str] | None = None) -> int:
    """Draws every result that exists; returns the exit status."""
    parser = argparse.ArgumentParser(prog="plots", description=__doc__)
    parser.add_argument("--results", type=Path, default=RESULTS)
    parser.add_argument("--out", type=Path, default=PLOTS)
    options = parser.parse_args(arguments)
    options.out.mkdir(parents=True, exist_ok=True)
    for name, draw in _DRAW_FUNCTIONS.items():
        source = options.results / name
        if not source.exists():
            print(f"{source}: not found, skipped")
            continue
        for path in draw(json.loads(source.read_text()), options.out):
            print(path)
    return 0
