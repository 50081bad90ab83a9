"""Tables that `_journal` prints from the recorded runs."""

import json
from pathlib import Path

import pytest

from pomelobank_testing._journal import main

DAY = {
    "G": 0.5,
    "name": "scale-1",
    "slot": "scale",
    "seed": 7,
    "served": 0.75,
    "rules": {},
    "prices": [["memory", 3.0, 0.025], ["store calls", 1.0, 0.001]],
}


def _write_entry(folder: Path, name: str, **changes: object) -> None:
    entry = {
        "id": name,
        "at": ["2026-01-01T00:00:00Z", ""],
        "why": "first",
        "site": "harbour",
        "days": [DAY],
    }
    (folder / f"{name}.json").write_text(json.dumps(entry | changes))


def _print_table(
    folder: Path, capsys: pytest.CaptureFixture[str], *args: str
) -> str:
    assert main(["--folder", str(folder), *args]) == 0
    return capsys.readouterr().out


def test_days_become_rows(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    _write_entry(tmp_path, "aa")
    _write_entry(tmp_path, "bb", days=[DAY | {"G": 0.7, "rules": {"LOST": 1}}])
    out = _print_table(tmp_path, capsys)
    assert "| scale-1 | 7 | 0.500 | 0.750 | none | memory 0.025 | aa |" in out
    assert "| scale-1 | 7 | 0.700 | 0.750 | LOST |" in out
    assert "| mean of days with trouble, faults left out | | 0.600 |" in out


def test_a_day_with_a_fault_is_left_out_of_the_mean(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    _write_entry(
        tmp_path, "aa", days=[DAY, DAY | {"G": 0.0, "fault": "no start"}]
    )
    out = _print_table(tmp_path, capsys)
    assert "| 0.000 | 0.750 | fault |" in out
    assert "faults left out | | 0.500 |" in out


def test_options_select_the_days(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    _write_entry(tmp_path, "aa")
    _write_entry(tmp_path, "bb", why="second")
    _write_entry(tmp_path, "cc", site="mill")
    out = _print_table(tmp_path, capsys, "--site", "harbour", "--why", "second")
    assert "| bb |" in out
    assert "| aa |" not in out
    assert "| cc |" not in out


def test_an_unfinished_run_has_no_rows(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    _write_entry(tmp_path, "aa", days=[])
    assert "| aa |" not in _print_table(tmp_path, capsys)
