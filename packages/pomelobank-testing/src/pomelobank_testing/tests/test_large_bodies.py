"""Large request and response bodies beside short requests, through a peer."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import pytest

from pomelobank_testing import TestMesh, UpstreamService
from pomelobank_testing._process_usage import resident_bytes

SERVICE = "records-vault"
MIB = 1024 * 1024
DOCUMENT = {
    "author": "test",
    "reason": "large bodies",
    "services": [{"name": SERVICE}],
    "upstreams": [{"name": "main", "service": SERVICE}],
    "routes": [
        {
            "name": "archive",
            "service": SERVICE,
            "path_prefix": "/archive",
            "timeout_ms": 20_000,
            "destinations": [{"upstream": "main", "weight": 1}],
        }
    ],
}


@contextlib.asynccontextmanager
async def started_mesh() -> AsyncIterator[TestMesh]:
    async with TestMesh() as mesh:
        service = UpstreamService("owner", "main", slots=20)
        await mesh.add_node("owner", "hobart", service)
        await mesh.add_node("entry", "hobart")
        status, output = await mesh.apply("owner", DOCUMENT)
        assert status == 0, output
        await mesh.wait_version("owner", 1)
        await _wait_served(mesh)
        yield mesh


async def _is_nonzero(value: int) -> bool:
    return bool(value)


async def _wait_until(condition: Callable[[], Awaitable[bool]]) -> None:
    async with asyncio.timeout(20):
        while True:
            if await condition():
                return
            await asyncio.sleep(0.01)


async def _wait_served(mesh: TestMesh) -> None:
    async def is_served() -> bool:
        return (await mesh.request("entry", SERVICE, "/archive"))[0] == 200

    await _wait_until(is_served)


def archive_url(mesh: TestMesh, node: str) -> str:
    return f"http://{mesh.nodes[node].addresses['http']}/archive"


@pytest.fixture
async def mesh() -> AsyncIterator[TestMesh]:
    async with started_mesh() as running:
        yield running


async def _body_chunks(size: int) -> AsyncIterator[bytes]:
    for _ in range(size // MIB):
        yield bytes(MIB)


async def test_large_bodies_arrive_complete(mesh: TestMesh) -> None:
    for entry in ("owner", "entry"):
        status, _, body = await mesh.request(
            entry, SERVICE, "/archive", headers={"x-size": str(5 * MIB)}
        )
        assert (status, len(body)) == (200, 5 * MIB)
        for data in (bytes(5 * MIB), _body_chunks(5 * MIB)):
            status, _, body = await mesh.request(
                entry, SERVICE, "/archive", "POST", data=data
            )
            assert status == 200, body
            assert json.loads(body)["body_bytes"] == 5 * MIB


async def test_callers_that_do_not_read(mesh: TestMesh) -> None:
    """Callers of large archives do not read while others send short requests.

    Without flow control the archives accumulate in the memory of both nodes.
    Without interleaving of streams a short request waits for all archives.
    """
    assert mesh.session is not None
    pids = [node.process.pid for node in mesh.nodes.values()]
    bytes_before = [resident_bytes(pid) for pid in pids]
    headers = {"x-pomelobank-service": SERVICE, "x-size": str(40 * MIB)}
    async with contextlib.AsyncExitStack() as stack:
        responses = [
            await stack.enter_async_context(
                mesh.session.get(archive_url(mesh, "entry"), headers=headers)
            )
            for _ in range(4)
        ]
        for number in range(20):
            status, _, body = await mesh.request(
                "entry", SERVICE, f"/archive/{number}"
            )
            assert status == 200, body
        growth_bytes = [
            resident_bytes(pid) - earlier_bytes
            for pid, earlier_bytes in zip(pids, bytes_before, strict=True)
        ]
        assert max(growth_bytes) < 40 * MIB, growth_bytes
        assert len(await responses[0].read()) == 40 * MIB


async def test_target_that_breaks_off_a_response(mesh: TestMesh) -> None:
    """A target closes its connection in the middle of a response body.

    The caller has already received the response head, so only a broken
    connection can tell the caller that the body is incomplete.
    """
    headers = {"x-size": str(30 * MIB), "x-pomelobank-service": SERVICE}
    server = mesh.targets["owner"].server.server
    assert mesh.session is not None and server is not None
    for entry in ("owner", "entry"):
        async with mesh.session.get(
            archive_url(mesh, entry), headers=headers
        ) as reply:
            assert reply.status == 200
            for connection in list(server.server_state.connections):
                connection.transport.abort()
            with pytest.raises(aiohttp.ClientPayloadError):
                await reply.read()


async def test_body_above_the_size_limit(mesh: TestMesh) -> None:
    status, headers, body = await mesh.request(
        "entry", SERVICE, "/archive", "POST", data=bytes(65 * MIB)
    )
    assert status == 413
    assert headers["x-pomelobank-error"] == "body_too_large"
    assert json.loads(body)["run"] == "not-run"


async def test_disconnected_caller_cancels_at_the_target(
    mesh: TestMesh,
) -> None:
    """A caller disconnects while its request runs.

    The node must cancel the request at the target, since otherwise the target
    would keep a slot busy for a response that no caller reads.
    """
    service = mesh.targets["owner"].service
    for entry in ("owner", "entry"):
        service.cancelled = 0
        call = asyncio.create_task(
            mesh.request(
                entry, SERVICE, "/archive", headers={"x-work-ms": "15000"}
            )
        )
        await _wait_until(lambda: _is_nonzero(service.busy))
        call.cancel()
        await _wait_until(lambda: _is_nonzero(service.cancelled))
