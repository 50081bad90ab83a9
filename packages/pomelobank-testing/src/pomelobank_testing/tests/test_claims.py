"""Requests with an idempotency key, through node processes."""

import asyncio
import json

from pomelobank_node._log import MEMBERS_STREAM
from pomelobank_testing._harness import TestMesh
from pomelobank_testing.tests.claims_support import (
    SERVICE,
    error_kind,
    run_count,
    send_order,
    started_mesh,
)


async def test_one_key_runs_once_through_any_node() -> None:
    """A caller loses a response and repeats its order through another node.

    Without claims each node would run the order, so two would be placed.
    """
    async with started_mesh() as mesh:
        for number in range(4):
            key = f"order-{number}"
            responses = await asyncio.gather(
                *(send_order(mesh, node, key) for node in mesh.nodes)
            )
            responses += [
                await send_order(mesh, node, key) for node in mesh.nodes
            ]
            assert {response[0] for response in responses} == {200}
            assert len({response[2] for response in responses}) == 1
            assert json.loads(responses[0][2])["run_id"] == key
            assert run_count(mesh, key) == 1
        other = await send_order(mesh, "node-1", "order-0", b"5 lipsticks")
        assert (other[0], error_kind(other)) == (422, "key_mismatch")
        assert mesh.log.appends <= 30


def _records_of_requests(mesh: TestMesh) -> int:
    # The announcement of a node that found no other node may come at any time.
    return sum(
        stream.end_offset
        for name, stream in mesh.log.streams.items()
        if name != MEMBERS_STREAM
    )


async def test_requests_without_a_key_stay_off_the_log() -> None:
    async with started_mesh(nodes=1) as mesh:
        before = _records_of_requests(mesh)
        for _ in range(20):
            code, _, _ = await mesh.request(
                "node-0", SERVICE, "/reorders", "POST", data=b"x"
            )
            assert code == 200
        assert _records_of_requests(mesh) == before
        assert not [name for name in mesh.log.streams if "claims" in name]
