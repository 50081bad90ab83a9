"""Acknowledged departures under drawn faults of nodes and the log."""

import random

import pytest

from pomelobank_node.tests.virtual_time import run_in_virtual_time
from pomelobank_testing._departure_mesh import DepartureMesh


@pytest.mark.parametrize("seed", range(12))
def test_no_acknowledged_departure_is_forgotten(seed: int) -> None:
    """Nodes restart, freeze and are all killed while the log fails."""
    mesh = DepartureMesh(random.Random(seed))
    run_in_virtual_time(mesh.time, mesh.run(node_count=5, duration_s=120))
    assert mesh.acknowledgements
    assert mesh.problems == []
