"""Generates the reference pages from the definitions in the program.

Run as `python -m pomelobank_node._reference DOCS`.
"""

import sys
from pathlib import Path

from pomelobank_core import ERROR_RESPONSES
from pomelobank_node import _instruments


def metrics_page() -> str:
    """Returns the reference page of the metrics in Markdown."""
    rows = [
        f"| `{item.name}` | {item.unit} | {item.label or '-'} |"
        f" {'counter' if item.monotonic else 'gauge'} | {item.description} |"
        for item in _instruments.ALL
    ]
    return "\n".join(
        [
            "# Metrics",
            "",
            "Read them at `http://ADMIN-ADDRESS/metrics`; the page shows the"
            " names with underscores for dots. Each carries the labels `node`"
            " and `data_centre` besides its own.",
            "",
            "| name | unit | label | kind | what it tells |",
            "|---|---|---|---|---|",
            *rows,
            "",
        ]
    )


def errors_page() -> str:
    """Returns the reference page of the error kinds in Markdown."""
    rows = [
        f"| `{kind.value}` | {response.status} | {response.run_state.value} |"
        f" {response.retry_after_ms or '-'} | {response.message} |"
        for kind, response in ERROR_RESPONSES.items()
    ]
    return "\n".join(
        [
            "# Error kinds",
            "",
            "What a caller is answered when the system itself ends a request:"
            " the kind in the header `x-pomelobank-error`, whether it ran in"
            " `x-pomelobank-run`, and when to come back in `retry-after`"
            " (seconds) and in the body's `retry_after_ms`. The times below"
            " are the usual ones; an answer may carry a better one.",
            "",
            "| kind | status | ran | come back after (ms) | meaning |",
            "|---|---|---|---|---|",
            *rows,
            "",
        ]
    )


PAGES = {"metrics.md": metrics_page, "errors.md": errors_page}


def write_all(folder: Path) -> None:
    """Writes all pages into a folder."""
    for name, render_page in PAGES.items():
        (folder / name).write_text(render_page())


if __name__ == "__main__":
    write_all(Path(sys.argv[1]))
