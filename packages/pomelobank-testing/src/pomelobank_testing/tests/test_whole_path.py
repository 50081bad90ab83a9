"""The whole request path, with three node processes."""

import asyncio
import json

from pomelobank_testing import MESHES, TestMesh, UpstreamService

MESH = MESHES["derwent"]


async def test_apply_then_request() -> None:
    async with TestMesh() as mesh:
        services = [item.name for item in MESH.services]
        await asyncio.gather(
            *(
                mesh.add_node(
                    f"node-{name}",
                    "hobart",
                    UpstreamService(name, f"{name}-main"),
                )
                for name in services
            )
        )
        status, output = await mesh.apply("node-replenish", MESH.document())
        assert status == 0, output
        await mesh.wait_members(3)
        await mesh.wait_version("node-counter-desk", 1)
        for entry in mesh.nodes:
            for service in MESH.services:
                code, _, body = await mesh.request(
                    entry, service.name, f"{service.path}/1"
                )
                assert code == 200, body
                assert (code, json.loads(body)["instance"]) == (
                    200,
                    service.name,
                )
        code, headers, body = await mesh.request(
            "node-replenish", "counter-desk", "/nothing"
        )
        assert code == 404
        assert json.loads(body)["run"] == "not-run"
        assert headers["x-pomelobank-error"] == "no_route"
        exit_codes = [await node.stop() for node in mesh.nodes.values()]
        assert exit_codes == [0, 0, 0]
