"""The committed generated code matches the schema."""

from pathlib import Path

from pomelobank_schema import generate


def test_regenerating_changes_nothing(tmp_path: Path) -> None:
    generate.write_all(tmp_path)
    generated_now = {
        item.name: item.read_text() for item in tmp_path.glob("*.py*")
    }
    committed = {
        item.name: item.read_text()
        for item in generate.GENERATED_DIR.glob("*.py*")
    }
    assert generated_now == committed, "run ./generate"
