"""Mixed traffic while nodes are killed, frozen and stopped.

Every request sent is accounted for: answered whole and rightly or refused;
what must not repeat runs at most once, and what is called not run never ran.
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
async def started(
    entries: tuple[str, ...] = (ENTRY, *OWNERS), longest_work_ms: int = 30
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
            max_work_ms=longest_work_ms,
        )
        traffic.start()
        await traffic.wait_for(40)
        yield mesh, traffic


async def account(
    mesh: TestMesh, traffic: Traffic, lost: tuple[str, ...] = ()
) -> Counter[str]:
    await traffic.stop()
    assert find_faults(traffic.sent, count_runs(mesh), lost) == []
    return Counter(item.error or "answered" for item in traffic.sent)


async def test_killed_owner() -> None:
    """A target's node is killed with requests of a peer under way.

    Their callers must hear that nobody knows whether they ran, and others
    must be served by the node that is left.
    """
    async with started() as (mesh, traffic):
        await mesh.nodes["owner-a"].kill()
        await traffic.wait_for(60, [ENTRY, "owner-b"])
        kinds = await account(mesh, traffic, ("owner-a",))
        assert "internal" not in kinds


def _number(item: SentRequest) -> int:
    return int(item.run_id.removeprefix("run-"))


async def test_frozen_owner() -> None:
    """A target's node stops for longer than every deadline, then goes on.

    What it finds in its sockets is older than its callers' patience. A reorder
    that ran then would be lodged after its caller was told otherwise. What has
    time left may still run, and its caller may hear too early that nobody
    knows: such a request had 25 ms left and began 22 ms after the node went on.
    """
    async with started() as (mesh, traffic):
        frozen = mesh.nodes["owner-a"]
        frozen.freeze()
        surely_frozen = traffic.numbers
        given_up = traffic.numbers + 3 * traffic.callers

        def told_while_frozen() -> list[SentRequest]:
            return [
                item
                for item in traffic.sent
                if item.error.startswith("deadline")
                and item.entry != "owner-a"
                and surely_frozen < _number(item)
            ]

        async with asyncio.timeout(15):
            while not told_while_frozen():
                traffic.ended.clear()
                await traffic.ended.wait()
            while traffic.numbers < given_up:
                traffic.ended.clear()
                await traffic.ended.wait()
        told = told_while_frozen()
        frozen.signal(signal.SIGCONT)
        await traffic.wait_for(30, ["owner-a"])
        await account(mesh, traffic)
        runs = count_runs(mesh)
        assert [item for item in told if runs[item.run_id]] == []


async def test_planned_stop_of_an_owner_and_of_an_entry() -> None:
    """Nodes are replaced by day, while callers use them.

    Nothing that is under way may be cut off; what comes too late is told that
    it did not run.
    """
    async with started((ENTRY, "owner-b"), 700) as (mesh, traffic):
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
    """A target ends in the middle of its work while its node lives on."""
    async with started() as (mesh, traffic):
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
        kinds = await account(mesh, traffic)
        assert "internal" not in kinds
