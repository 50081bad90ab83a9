"""Workspaces of the product's own configuration, over a node process."""

import hashlib
import json

from pomelobank_testing import MESHES, TestMesh, UpstreamService

MESH = MESHES["derwent"]
SERVICE = "counter-desk"
KEYS = {"acme": "key-of-acme", "zenith": "key-of-zenith"}


def document() -> dict[str, object]:
    workspaces = [
        {
            "name": name,
            "key_digests": [hashlib.sha256(key.encode()).hexdigest()],
        }
        for name, key in KEYS.items()
    ]
    return {**MESH.document(), "workspaces": workspaces}


async def status_of(mesh: TestMesh, key: str) -> int:
    headers = {"authorization": f"Bearer {key}"} if key else {}
    code, _, _ = await mesh.request("a", SERVICE, "/stock/1", headers=headers)
    return code


async def test_a_key_is_accepted_until_it_is_removed() -> None:
    """A removed key must not be served, and no output may contain a key."""
    async with TestMesh() as mesh:
        await mesh.add_node(
            "a", "hobart", UpstreamService("a", f"{SERVICE}-main")
        )
        await mesh.apply("a", MESH.document())
        await mesh.wait_version("a", 1)
        assert await status_of(mesh, "") == 200
        status, output = await mesh.apply("a", document())
        assert status == 0, output
        key = KEYS["acme"]
        assert [await status_of(mesh, item) for item in (key, "", "x")] == [
            200,
            401,
            401,
        ]
        digest = hashlib.sha256(key.encode()).hexdigest()
        status, added = await mesh.command("a", "keys", "add", "acme", "--wait")
        assert status == 0
        assert await status_of(mesh, added.strip()) == 200
        status, output = await mesh.command(
            "a", "keys", "remove", "acme", digest, "--wait"
        )
        assert (status, output) == (0, "")
        assert await status_of(mesh, key) == 401
        assert await status_of(mesh, added.strip()) == 200
        _, audit = await mesh.command("a", "audit", "--output", "json")
        _, shown = await mesh.command("a", "workspaces", "show", "acme")
        log = json.dumps(mesh.nodes["a"].lines)
        assert "workspace/acme" in audit
        records = b"".join(
            record
            for stream in mesh.log.streams.values()
            for record in stream.records
        )
        for secret in (key, added.strip()):
            assert secret not in audit + shown + log
            assert secret.encode() not in records


async def test_workspaces_do_not_share_idempotency_keys() -> None:
    """Two workspaces use the same idempotency key for the same request.

    The second one must not receive the response to the first one's request.
    """
    async with TestMesh() as mesh:
        await mesh.add_node(
            "a", "hobart", UpstreamService("a", f"{SERVICE}-main")
        )
        await mesh.apply("a", document())
        await mesh.wait_version("a", 1)
        runs = []
        for name, key in KEYS.items():
            code, _, body = await mesh.request(
                "a",
                SERVICE,
                "/stock/1",
                method="POST",
                headers={
                    "authorization": f"Bearer {key}",
                    "idempotency-key": "order-7",
                    "x-run-id": name,
                },
            )
            assert code == 200, body
            runs.append(json.loads(body)["run_id"])
        assert runs == list(KEYS)
