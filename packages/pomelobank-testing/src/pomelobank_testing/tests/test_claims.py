"""Requests with an idempotency key, through node processes."""

import asyncio
import json

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


async def test_requests_without_a_key_stay_off_the_log() -> None:
    async with started_mesh(nodes=1) as mesh:
        before = mesh.log.appends
        for _ in range(20):
            code, _, _ = await mesh.request(
                "node-0", SERVICE, "/reorders", "POST", data=b"x"
            )
            assert code == 200
        assert mesh.log.appends == before
        assert not [name for name in mesh.log.streams if "claims" in name]
