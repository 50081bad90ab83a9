"""Fakes, load and measurement tools of pomelobank."""

from pomelobank_testing._chaos import (
    run as run_chaos,
)
from pomelobank_testing._harness import (
    NodeProcess,
    TestMesh,
)
from pomelobank_testing._log_service import (
    LogFaults,
    LogService,
)
from pomelobank_testing._meshes import (
    MESHES,
    Mesh,
    MeshService,
)
from pomelobank_testing._relay import (
    RelayedMesh,
    TcpRelay,
    member_states,
    wait_states,
)
from pomelobank_testing._upstream_service import (
    UpstreamService,
)

__all__ = [
    "MESHES",
    "LogFaults",
    "LogService",
    "Mesh",
    "MeshService",
    "NodeProcess",
    "RelayedMesh",
    "TcpRelay",
    "TestMesh",
    "UpstreamService",
    "member_states",
    "run_chaos",
    "wait_states",
]
