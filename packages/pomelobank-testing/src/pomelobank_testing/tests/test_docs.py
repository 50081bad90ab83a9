"""The docs match the code: reference pages, links and named files."""

import re
from pathlib import Path

import pytest

from pomelobank_node import INSTRUMENTS
from pomelobank_node import _reference as node_reference
from pomelobank_schema import build, read_yaml
from pomelobank_schema import reference as settings_reference
from pomelobank_schema.generated.records import ConfigDocument
from pomelobank_schema.generated.settings import NodeSettings
from pomelobank_testing import MESHES

ROOT = Path(__file__).parents[5]
DOCS = ROOT / "docs"
PAGES = sorted([*DOCS.rglob("*.md"), *ROOT.glob("*.md")])
LINK = re.compile(r"\[[^\]]*\]\(([^)#\s]+)(?:#[^)]*)?\)")
NAMED_FILE = re.compile(r"`((?:packages|docs|examples|benchmarks)/[\w./-]+)`")


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_lead_somewhere(page: Path) -> None:
    text = page.read_text()
    targets = [page.parent / target for target in LINK.findall(text)]
    targets += [ROOT / name for name in NAMED_FILE.findall(text)]
    missing = [str(item) for item in targets if not item.exists()]
    assert missing == []


def named_tests() -> set[str]:
    """Returns the names of all test files and test functions."""
    files = [
        *(ROOT / "packages").rglob("test_*.py"),
        *(ROOT / "platform").rglob("test_*.py"),
    ]
    names = {path.stem for path in files}
    for path in files:
        names.update(re.findall(r"def (test_\w+)", path.read_text()))
    return names


def named_metrics() -> set[str]:
    """Returns the names of all metrics."""
    return {item.name for item in INSTRUMENTS}


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_named_tests_and_metrics_exist(page: Path) -> None:
    text = page.read_text()
    tests = set(re.findall(r"`[\w/-]*?(test_\w+)(?:\.py)?`", text))
    metrics = set(re.findall(r"`(pomelobank\.[a-z_.]+)`", text))
    assert tests - named_tests() == set()
    assert metrics - named_metrics() == set()


def test_reference_pages_are_current(tmp_path: Path) -> None:
    node_reference.write_all(tmp_path)
    settings_reference.write_all(tmp_path)
    fresh = {item.name: item.read_text() for item in tmp_path.iterdir()}
    kept = {
        item.name: item.read_text() for item in (DOCS / "reference").iterdir()
    }
    assert fresh == kept, "run ./generate"


@pytest.mark.parametrize("mesh", ["derwent", "lone-star"])
def test_examples_are_valid(mesh: str) -> None:
    folder = ROOT / "examples" / mesh
    settings = build(NodeSettings, read_yaml(folder / "node.yaml"))
    document = build(ConfigDocument, read_yaml(folder / "mesh.yaml"))
    assert settings.data_centre in MESHES[mesh].data_centres
    names = {item.name for item in document.services}
    assert names == {item.name for item in MESHES[mesh].services}
