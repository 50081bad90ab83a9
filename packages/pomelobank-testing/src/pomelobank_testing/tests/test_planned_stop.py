"""Planned stops of node processes whose requests outlast the drain time-out."""

import asyncio
import json
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from pomelobank_testing import MESHES, TestMesh, UpstreamService

DRAIN_TIMEOUT_S = 5.0
# Time for the announcements of a stop and for the end of the process, on a busy
# machine. It is shorter than a second drain time-out.
EXIT_S = 4.0
LONG_WORK = {"x-work-ms": "30000"}


def document() -> dict[str, Any]:
    """Returns a configuration whose time-outs no request reaches."""
    new: dict[str, Any] = MESHES["derwent"].document()
    for route in new["routes"]:
        route["timeout_ms"] = 60_000
    return new


@asynccontextmanager
async def started_mesh() -> AsyncIterator[TestMesh]:
    """Starts a node with a counter desk and a node with a stock replenisher."""
    requests = {"drain_timeout_ms": int(DRAIN_TIMEOUT_S * 1000)}
    async with TestMesh({"requests": requests}) as mesh:
        for name, service in (("a", "counter-desk"), ("b", "replenish")):
            target = UpstreamService(name, f"{service}-main", slots=1)
            await mesh.add_node(name, "hobart", target)
        status, output = await mesh.apply("a", document())
        assert status == 0, output
        await mesh.wait_members(2)
        await mesh.wait_version("a", 1)
        yield mesh


async def wait_busy(mesh: TestMesh, name: str) -> None:
    """Waits until the target beside a node runs a request."""
    async with asyncio.timeout(10):
        while True:
            if mesh.targets[name].service.busy:
                return
            await asyncio.sleep(0.01)


async def test_phases_of_a_stop_share_one_drain_timeout() -> None:
    """A stop waits for a peer's request, then for a caller's, each to its end.

    A node that waits for both in turn outlives the platform's stop time-out,
    and a killed process truncates the responses that it is writing.
    """
    async with started_mesh() as mesh:
        calls = [
            asyncio.create_task(
                mesh.request("b", "counter-desk", "/stock/1", headers=LONG_WORK)
            ),
            asyncio.create_task(
                mesh.request("a", "replenish", "/reorders/1", headers=LONG_WORK)
            ),
        ]
        await asyncio.gather(wait_busy(mesh, "a"), wait_busy(mesh, "b"))
        started_s = time.monotonic()
        assert await mesh.nodes["a"].stop() == 0
        assert time.monotonic() - started_s < DRAIN_TIMEOUT_S + EXIT_S
        for call in calls:
            _, _, body = await call
            assert json.loads(body)["run"] == "unknown"


async def test_request_queued_at_a_peer_is_withdrawn_before_the_stop_ends() -> (
    None
):
    """A stop ends while a caller's request waits for a slot at another node.

    The request never runs, so its caller must be told that it has not run.
    """
    async with started_mesh() as mesh:
        running = asyncio.create_task(
            mesh.request("b", "replenish", "/reorders/1", headers=LONG_WORK)
        )
        await wait_busy(mesh, "b")
        queued = asyncio.create_task(
            mesh.request("a", "replenish", "/reorders/2")
        )
        await asyncio.sleep(0.2)
        assert not queued.done()
        assert await mesh.nodes["a"].stop() == 0
        _, _, body = await queued
        assert json.loads(body)["run"] == "not-run"
        assert mesh.targets["b"].service.arrivals == 1
        running.cancel()
