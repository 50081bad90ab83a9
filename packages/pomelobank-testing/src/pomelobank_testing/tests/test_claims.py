"""Requests with an idempotency key, through nodes as processes."""

import asyncio
import json

from pomelobank_testing.tests.claims_support import (
    SERVICE,
    kind,
    order,
    runs,
    started,
)


async def test_one_key_runs_once_through_any_node() -> None:
    """A caller loses an answer and sends its order again elsewhere.

    Without claims each node would run it, and two reorders be lodged.
    """
    async with started() as mesh:
        for number in range(4):
            key = f"order-{number}"
            answers = await asyncio.gather(
                *(order(mesh, node, key) for node in mesh.nodes)
            )
            answers += [await order(mesh, node, key) for node in mesh.nodes]
            assert {answer[0] for answer in answers} == {200}
            assert len({answer[2] for answer in answers}) == 1
            assert json.loads(answers[0][2])["run_id"] == key
            assert runs(mesh, key) == 1
        other = await order(mesh, "node-1", "order-0", b"5 lipsticks")
        assert (other[0], kind(other)) == (422, "key_mismatch")
        assert mesh.log.appends <= 30


async def test_requests_without_a_key_stay_off_the_log() -> None:
    async with started(nodes=1) as mesh:
        before = mesh.log.appends
        for _ in range(20):
            code, _, _ = await mesh.request(
                "node-0", SERVICE, "/reorders", "POST", data=b"x"
            )
            assert code == 200
        assert mesh.log.appends == before
        assert not [name for name in mesh.log.streams if "claims" in name]
