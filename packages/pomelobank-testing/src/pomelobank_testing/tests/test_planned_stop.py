"""Planned stops of node processes whose requests outlast the drain time-out."""

import asyncio
import datetime
import itertools
import json
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from pomelobank_core import claim_key, rank_claimants, scoped_key, shard_of
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
async def started_mesh(
    drain_timeout_s: float = DRAIN_TIMEOUT_S,
) -> AsyncIterator[TestMesh]:
    """Starts a node with a counter desk and a node with a stock replenisher."""
    settings = {
        "requests": {"drain_timeout_ms": int(drain_timeout_s * 1000)},
        "claims": {"claim_timeout_ms": 10_000},
    }
    async with TestMesh(settings) as mesh:
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


async def stop_and_time(mesh: TestMesh, name: str) -> float:
    """Stops a node and returns how long the stop took, in seconds."""
    started_s = time.monotonic()
    assert await mesh.nodes[name].stop() == 0
    return time.monotonic() - started_s


def drain_s(mesh: TestMesh, name: str) -> float:
    """Returns how long a stopped node waited for requests, by its log."""
    times = {
        line["message"]: datetime.datetime.fromisoformat(line["time"])
        for line in mesh.nodes[name].lines
    }
    return (times["node.drained"] - times["node.draining"]).total_seconds()


def key_claimed_by(name: str) -> str:
    """Returns an idempotency key that a node claims."""

    def claimant(key: str) -> str:
        shard = shard_of(claim_key(scoped_key("replenish", key)))
        return rank_claimants(shard, ["a", "b"])[0]

    keys = map("order-{}".format, itertools.count())
    return next(key for key in keys if claimant(key) == name)


def start_reorder(
    mesh: TestMesh, entry: str, claimant: str = ""
) -> asyncio.Task[tuple[int, dict[str, str], bytes]]:
    """Sends a reorder to a node, with a key if a claiming node is given."""
    headers = {"idempotency-key": key_claimed_by(claimant)} if claimant else {}
    return asyncio.create_task(
        mesh.request(
            entry,
            "replenish",
            "/reorders/2",
            "POST",
            headers=headers,
            data=b"order",
        )
    )


@asynccontextmanager
async def busy_target(
    mesh: TestMesh, name: str, service: str, path: str
) -> AsyncIterator[None]:
    """Keeps the only slot of a target busy."""
    running = asyncio.create_task(
        mesh.request(name, service, path, headers=LONG_WORK)
    )
    await wait_busy(mesh, name)
    try:
        yield
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)


async def wait_queued(mesh: TestMesh, name: str) -> None:
    """Waits until a request waits for a slot of the target beside a node."""
    async with asyncio.timeout(10):
        while True:
            if await mesh.metric(name, "pomelobank_target_waiting"):
                return
            await asyncio.sleep(0.05)


async def test_phases_of_a_stop_share_one_drain_timeout() -> None:
    """Guards against a stop whose waits add up beyond its time-out."""
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
        assert await stop_and_time(mesh, "a") < DRAIN_TIMEOUT_S + EXIT_S
        for call in calls:
            _, _, body = await call
            assert json.loads(body)["run"] == "unknown"


@pytest.mark.parametrize(
    "claimant",
    [pytest.param("", id="no key"), pytest.param("a", id="key claimed here")],
)
async def test_request_queued_at_a_peer_is_withdrawn_before_the_stop_ends(
    claimant: str,
) -> None:
    """Guards against 'unknown' for requests that have not run."""
    async with (
        started_mesh() as mesh,
        busy_target(mesh, "b", "replenish", "/reorders/1"),
    ):
        queued = start_reorder(mesh, "a", claimant)
        await wait_queued(mesh, "b")
        await stop_and_time(mesh, "a")
        _, headers, body = await queued
        assert headers["x-pomelobank-error"] == "draining"
        assert json.loads(body)["run"] == "not-run"
        assert mesh.targets["b"].service.arrivals == 1


async def test_request_claimed_at_the_end_of_a_stop_is_not_started() -> None:
    """Guards against late claims whose request is cut off by the end."""
    async with started_mesh(drain_timeout_s=1.6) as mesh:
        mesh.log.faults.delay_ms = 700
        mesh.targets["b"].service.work_ms = 3000
        keyed = start_reorder(mesh, "a", claimant="a")
        await asyncio.sleep(0.2)
        await stop_and_time(mesh, "a")
        _, _, body = await keyed
        assert json.loads(body)["run"] == "not-run"
        assert mesh.targets["b"].service.arrivals == 0


async def test_stop_waits_for_a_keyed_request_that_waits_for_the_log() -> None:
    """Guards against keys that stay claimed though nothing has run."""
    async with started_mesh(drain_timeout_s=30) as mesh:
        mesh.log.faults.delay_ms = 700
        keyed = start_reorder(mesh, "b", claimant="a")
        await asyncio.sleep(0.2)
        await stop_and_time(mesh, "a")
        status, _, body = await keyed
        assert status == 200, body


async def test_requests_queued_at_a_stopping_node_are_rejected() -> None:
    """Guards against an own queue that ends as 'unknown'."""
    async with (
        started_mesh(drain_timeout_s=0.6) as mesh,
        busy_target(mesh, "b", "replenish", "/reorders/1"),
    ):
        queued = [start_reorder(mesh, entry) for entry in ("a", "b")]
        await wait_queued(mesh, "b")
        await asyncio.sleep(0.2)
        await stop_and_time(mesh, "b")
        for request in queued:
            _, _, body = await request
            assert json.loads(body)["run"] == "not-run"
        assert mesh.targets["b"].service.arrivals == 1


async def test_running_keyed_request_does_not_prolong_a_stop() -> None:
    """Guards against a wait for an outcome that can't be recorded."""
    async with started_mesh(drain_timeout_s=2) as mesh:
        mesh.targets["b"].service.work_ms = 30_000
        keyed = start_reorder(mesh, "a", claimant="a")
        await wait_busy(mesh, "b")
        await stop_and_time(mesh, "a")
        assert drain_s(mesh, "a") < 2 + 1.5
        _, _, body = await keyed
        assert json.loads(body)["run"] == "unknown"


async def test_unfinished_admin_request_does_not_prolong_a_stop() -> None:
    """Guards against a stop without end because of half a request."""
    async with started_mesh(drain_timeout_s=1) as mesh:
        host, port = mesh.nodes["a"].addresses["admin"].rsplit(":", 1)
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"POST /v1/target HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n{"
        )
        await asyncio.sleep(0.3)
        assert await stop_and_time(mesh, "a") < 1 + EXIT_S
        writer.close()


async def test_suspended_peer_does_not_prolong_a_stop() -> None:
    """Guards against a stop that waits for a peer that doesn't respond."""
    async with started_mesh(drain_timeout_s=2) as mesh:
        running = asyncio.create_task(
            mesh.request("b", "counter-desk", "/stock/1", headers=LONG_WORK)
        )
        await wait_busy(mesh, "a")
        mesh.nodes["b"].freeze()
        assert await stop_and_time(mesh, "a") < 2 + EXIT_S
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
