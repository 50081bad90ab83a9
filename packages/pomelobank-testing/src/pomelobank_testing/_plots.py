"""Draws the recorded results: `python -m pomelobank_testing plots`."""

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
_MODES = {"readers": "few readers", "every_node_polls": "every node polls"}
_VARIANTS = {
    "design": "design",
    "round_robin_without_admission": "round robin, no admission",
}


def draw_convergence(document: dict[str, Any], folder: Path) -> list[Path]:
    """Draws the log's reads and the last node's time against fleet size."""
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
    document: dict[str, Any], label: str, read: Any, path: Path
) -> Path:
    figure, axes = pyplot.subplots(figsize=_SIZE_INCHES)
    for mode, name in _MODES.items():
        runs = [run for run in document["runs"] if run["mode"] == mode]
        nodes = [run["nodes"] for run in runs]
        axes.plot(nodes, [read(run) for run in runs], marker="o", label=name)
    return _finish(figure, axes, "nodes", label, path)


def draw_goodput(document: dict[str, Any], folder: Path) -> list[Path]:
    """Draws answered requests a second against the load."""
    figure, axes = pyplot.subplots(figsize=_SIZE_INCHES)
    for variant, name in _VARIANTS.items():
        levels = document["goodput"][variant]
        loads = [float(load) for load in levels]
        served = [level["goodput_per_s"] for level in levels.values()]
        axes.plot(loads, served, marker="o", label=name)
    path = folder / "goodput.png"
    load = "offered load, multiples of capacity"
    return [_finish(figure, axes, load, "answered in time per s", path)]


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


_DRAWINGS = {
    "convergence.json": draw_convergence,
    "goodput.json": draw_goodput,
}


def main(arguments: list[str] | None = None) -> int:
    """Draws every result that is there; returns the exit status."""
    parser = argparse.ArgumentParser(prog="plots", description=__doc__)
    parser.add_argument("--results", type=Path, default=RESULTS)
    parser.add_argument("--out", type=Path, default=PLOTS)
    options = parser.parse_args(arguments)
    options.out.mkdir(parents=True, exist_ok=True)
    for name, draw in _DRAWINGS.items():
        source = options.results / name
        if not source.exists():
            print(f"{source}: not there, passed over")
            continue
        for path in draw(json.loads(source.read_text()), options.out):
            print(path)
    return 0
