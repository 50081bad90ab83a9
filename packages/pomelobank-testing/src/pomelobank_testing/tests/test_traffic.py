"""Mixed traffic while nodes are killed, frozen and stopped.

Every request ends with a complete and correct response or with an error. A
request that must not repeat runs at most once, and a request with a `not-run`
response never ran.
"""

import asyncio
import contextlib
import signal
from collections import Counter
from collections.abc import AsyncIterator

from pomelobank_testing import TestMesh, UpstreamService
from pomelobank_testing._traffic import (
    SentRequest,
    Traffic,
    count_runs,
    find_faults,
)

SERVICE = "replenish"
OWNERS = ("owner-a", "owner-b")
ENTRY = "entry"
DOCUMENT = {
    "author": "test",
    "reason": "traffic",
    "services": [{"name": SERVICE}, {"name": "other"}],
    "upstreams": [
        {"name": "main", "service": SERVICE},
        {"name": "other-main", "service": "other"},
    ],
    "routes": [
        {
            "name": "reorders",
            "service": SERVICE,
            "path_prefix": "/reorders",
            "timeout_ms": 1500,
            "destinations": [{"upstream": "main", "weight": 1}],
        }
    ],
}


@contextlib.asynccontextmanager
async def started_mesh(
    entries: tuple[str, ...] = (ENTRY, *OWNERS), max_work_ms: int = 30
) -> AsyncIterator[tuple[TestMesh, Traffic]]:
    async with TestMesh() as mesh:
        await asyncio.gather(
            mesh.add_node(
                ENTRY, "hobart", UpstreamService(ENTRY, "other-main")
            ),
            *(
                mesh.add_node(
                    name, "hobart", UpstreamService(name, "main", slots=20)
                )
                for name in OWNERS
            ),
        )
        status, output = await mesh.apply(ENTRY, DOCUMENT)
        assert status == 0, output
        await mesh.wait_members(3)
        await mesh.wait_version(ENTRY, 1)
        traffic = Traffic(
            mesh,
            SERVICE,
            "/reorders",
            list(entries),
            max_work_ms=max_work_ms,
        )
        traffic.start()
        await traffic.wait_for(40)
        yield mesh, traffic


async def check_outcomes(
    mesh: TestMesh, traffic: Traffic, lost_entries: tuple[str, ...] = ()
) -> Counter[str]:
    await traffic.stop()
    assert find_faults(traffic.sent, count_runs(mesh), lost_entries) == []
    return Counter(item.error or "answered" for item in traffic.sent)


async def test_killed_owner() -> None:
    """A target's node is killed while it runs requests from a peer.

    The callers of these requests must get a response that leaves open whether
    they ran, and the remaining owner must serve the other callers.
    """
    async with started_mesh() as (mesh, traffic):
        await mesh.nodes["owner-a"].kill()
        await traffic.wait_for(60, [ENTRY, "owner-b"])
        kinds = await check_outcomes(mesh, traffic, ("owner-a",))
        assert "internal" not in kinds


def _request_number(item: SentRequest) -> int:
    return int(item.run_id.removeprefix("run-"))


async def test_frozen_owner() -> None:
    """A target's node freezes for longer than every deadline, then resumes.

    Requests in the node's sockets are past their callers' deadlines. If such a
    reorder ran, it would be placed after its caller got a deadline error. A
    request with time left may still run, and its caller may get the `unknown`
    response too early: one such request had 25 ms left and started 22 ms after
    the node resumed.
    """
    async with started_mesh() as (mesh, traffic):
        frozen = mesh.nodes["owner-a"]
        frozen.freeze()
        last_number_before_freeze = traffic.numbers
        min_request_count = traffic.numbers + 3 * traffic.callers

        def deadline_errors_while_frozen() -> list[SentRequest]:
            return [
                item
                for item in traffic.sent
                if item.error.startswith("deadline")
                and item.entry != "owner-a"
                and last_number_before_freeze < _request_number(item)
            ]

        async with asyncio.timeout(15):
            while not deadline_errors_while_frozen():
                traffic.ended.clear()
                await traffic.ended.wait()
            while traffic.numbers < min_request_count:
                traffic.ended.clear()
                await traffic.ended.wait()
        deadline_errors = deadline_errors_while_frozen()
        frozen.signal(signal.SIGCONT)
        await traffic.wait_for(30, ["owner-a"])
        await check_outcomes(mesh, traffic)
        runs = count_runs(mesh)
        assert [item for item in deadline_errors if runs[item.run_id]] == []


async def test_planned_stop_of_an_owner_and_of_an_entry() -> None:
    """Nodes are stopped as planned while callers use them.

    A stopping node must not cut off requests in flight, and must answer
    requests that arrive too late as `not-run`.
    """
    async with started_mesh((ENTRY, "owner-b"), 700) as (mesh, traffic):
        assert await mesh.nodes["owner-a"].stop() == 0
        await traffic.wait_for(30, [ENTRY, "owner-b"])
        assert await mesh.nodes[ENTRY].stop() == 0
        await traffic.wait_for(20, ["owner-b"])
        await traffic.stop()
        # A stopped node accepts no connection, so its callers cannot reach it.
        faults = find_faults(traffic.sent, count_runs(mesh), ("owner-a", ENTRY))
        assert faults == []
        runs = count_runs(mesh)
        cut_off = [
            item
            for item in traffic.sent
            if item.problem == "no answer" and runs[item.run_id]
        ]
        assert cut_off == []
        broken = [
            item
            for item in traffic.sent
            if item.run == "unknown" and item.error != "deadline_unknown"
        ]
        assert broken == []


async def test_target_that_vanishes() -> None:
    """A target ends while requests run on it, and its node keeps running."""
    async with started_mesh() as (mesh, traffic):
        target = mesh.targets["owner-a"]
        if target.announcer is not None:
            target.announcer.cancel()
        server = target.server.server
        assert server is not None
        for connection in list(server.server_state.connections):
            connection.transport.abort()
        for listener in server.servers:
            listener.close()
        await traffic.wait_for(40)
        kinds = await check_outcomes(mesh, traffic)
        assert "internal" not in kinds
