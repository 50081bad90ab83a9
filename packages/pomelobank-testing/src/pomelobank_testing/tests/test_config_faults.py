"""Distribution of the configuration under faults, with node processes.

During every test `ConfigWatch` reads the configuration of all nodes
repeatedly: the version of a node must never decrease, and nodes at the same
version must hold equal objects.
"""

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import grpc
import pytest

from pomelobank_core import rendezvous_order
from pomelobank_schema import encode, parse_address
from pomelobank_schema.generated import operator_pb2 as pb
from pomelobank_schema.generated.peer import Hello, RecordsPush, SnapshotPush
from pomelobank_schema.generated.records import (
    ChangeRecord,
    OperationRecord,
    RouteObject,
    ServiceObject,
    SnapshotRecord,
    WeightedDestination,
)
from pomelobank_testing import LogFaults, TestMesh
from pomelobank_testing._config_watch import (
    ConfigWatch,
    put_route,
    put_service,
    put_upstream,
)

FAST_SETTINGS: dict[str, Any] = {
    "distribution": {
        "heartbeat_ms": 100,
        "silence_ms": 1500,
        "fallback_ms": 500,
    },
    "membership": {"period_ms": 100},
    "log": {"long_poll_ms": 500, "timeout_ms": 400},
}
DESK_OPERATIONS = (
    put_service("desk"),
    put_upstream("main", "desk"),
    put_route("desk", "main"),
)


@asynccontextmanager
async def running_fleet(
    count: int, **overrides: Any
) -> AsyncIterator[tuple[TestMesh, ConfigWatch]]:
    async with TestMesh({**FAST_SETTINGS, **overrides}) as mesh:
        await asyncio.gather(
            *(mesh.add_node(f"n{index}", "hobart") for index in range(count))
        )
        await mesh.wait_members(count, state="starting")
        async with ConfigWatch(mesh) as watch:
            yield mesh, watch


def readers(mesh: TestMesh) -> list[str]:
    return rendezvous_order(mesh.nodes, "reader")[:2]


async def test_log_outage() -> None:
    """The log goes down while operators apply changes.

    The operator must get the status `CHANGE_UNKNOWN`, the nodes must keep
    their configuration, and a repeat of the change must be accepted once the
    log has recovered.
    """
    async with running_fleet(3) as (mesh, watch):
        first = await watch.apply("n0", *DESK_OPERATIONS)
        await watch.wait_all(first.version)
        mesh.log.faults = LogFaults(outage=True)
        change = put_route("desk", "main", "/stock")
        reply = await watch.apply("n1", change, change_id="during-outage")
        assert reply.status == pb.CHANGE_UNKNOWN
        assert reply.problems[0].kind == "log_refused"
        outcome = await watch.change("n2", "during-outage")
        assert outcome.problems[0].kind == "log_silent"
        assert (await watch.config("n2")).version == first.version
        for node in mesh.nodes:
            await wait_log_state(watch, node, "down")
        mesh.log.faults = LogFaults()
        reply = await watch.apply("n1", change, change_id="during-outage")
        assert reply.status == pb.CHANGE_ACCEPTED
        await watch.wait_all(reply.version)
        outcome = await watch.change("n2", "during-outage")
        assert (outcome.status, outcome.version) == (
            reply.status,
            reply.version,
        )
        for node in mesh.nodes:
            await wait_log_state(watch, node, "up")
        other = await watch.apply(
            "n0", put_service("other"), change_id="during-outage"
        )
        assert other.problems[0].kind == "change_id_in_use"


async def wait_log_state(watch: ConfigWatch, node: str, state: str) -> None:
    async with asyncio.timeout(15):
        while True:
            reply = await watch.stub(node).GetStatus(pb.StatusRequest())
            if reply.log_state == state:
                return
            await asyncio.sleep(0.05)


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param(LogFaults(lose_answers=1), id="answer-lost"),
        pytest.param(LogFaults(delay_ms=150), id="slow"),
    ],
)
async def test_append_with_a_lost_or_slow_response(faults: LogFaults) -> None:
    """An append takes effect, but its response is lost or delayed.

    A node that treats this as a failure and appends again would apply the
    change twice. A node that guesses the result could report a wrong status
    to the operator.
    """
    async with running_fleet(2) as (mesh, watch):
        mesh.log.faults = faults
        reply = await watch.apply("n0", *DESK_OPERATIONS)
        assert reply.status == pb.CHANGE_ACCEPTED
        mesh.log.faults = LogFaults()
        await watch.wait_all(reply.version)
        assert mesh.log.stream("config").end_offset == 1


async def test_two_operators_race_on_one_route() -> None:
    """Operators read the same route and write it concurrently.

    If the nodes accepted more than one write, the later would silently
    overwrite the earlier.
    """
    async with running_fleet(3) as (_, watch):
        first = await watch.apply("n0", *DESK_OPERATIONS)
        await watch.wait_all(first.version)
        replies = await asyncio.gather(
            *(
                watch.apply(
                    node, put_route("desk", "main", path, first.version)
                )
                for node, path in (("n0", "/a"), ("n1", "/b"), ("n2", "/c"))
            )
        )
        accepted = [r for r in replies if r.status == pb.CHANGE_ACCEPTED]
        rejected = [r for r in replies if r.status == pb.CHANGE_REJECTED]
        assert (len(accepted), len(rejected)) == (1, 2)
        assert {r.problems[0].kind for r in rejected} == {"revision_mismatch"}
        await watch.wait_all(max(reply.version for reply in replies))


def change_with_bad_last_operation(change_id: str) -> ChangeRecord:
    destination = WeightedDestination(upstream="missing", weight=1)
    route = RouteObject(
        name="bad",
        service="good",
        path_prefix="/",
        destinations=(destination,),
    )
    return ChangeRecord(
        change_id=change_id,
        operations=(
            OperationRecord(kind="put", service=ServiceObject(name="good")),
            OperationRecord(kind="put", route=route),
        ),
    )


async def test_bad_configuration_reaches_the_log() -> None:
    """A faulty or outdated node appends an invalid change to the log.

    If another node applied the valid operations of the change, or a route to
    a missing upstream, callers would get errors that no operator caused.
    """
    async with running_fleet(2) as (mesh, watch):
        stream = mesh.log.stream("config")
        stream.append(encode(change_with_bad_last_operation("bad")))
        stream.append(b"not a record")
        reply = await watch.apply("n1", *DESK_OPERATIONS)
        assert reply.version == 3
        config = await watch.wait_all(3)
        kinds = {item.WhichOneof("object") for item in config.objects}
        assert (len(config.objects), len(kinds)) == (3, 3)
        outcome = await watch.change("n0", "bad")
        assert outcome.status == pb.CHANGE_REJECTED
        assert outcome.problems[0].kind == "missing_reference"
        refused = await watch.apply("n0", put_route("nothing", "main"))
        assert refused.status == pb.CHANGE_REJECTED
        assert stream.end_offset == 3


async def push(address: str, *frames: Any) -> None:
    host, port = parse_address(address)
    _, writer = await asyncio.open_connection(host, port)
    hello = Hello(protocol=1, node="late-peer", data_centre="hobart")
    for frame in (hello, *frames):
        writer.write(encode(frame))
    await writer.drain()
    writer.close()
    await writer.wait_closed()


async def test_pushes_arrive_late_repeated_and_with_gaps() -> None:
    """A resumed peer sends delayed pushes: old, repeated and with gaps.

    A node that applied such a push unchecked would return to old routes, or
    skip a change that all other nodes have.
    """
    async with running_fleet(2) as (mesh, watch):
        for path in ("/a", "/b", "/c"):
            reply = await watch.apply(
                "n0", *DESK_OPERATIONS[:2], put_route("desk", "main", path)
            )
        expected = await watch.wait_all(reply.version)
        log_records = tuple(mesh.log.stream("config").records)
        old = SnapshotRecord(as_of=1, node="late-peer")
        await push(
            mesh.nodes["n1"].addresses["peer"],
            RecordsPush(first_offset=0, records=log_records),
            RecordsPush(first_offset=1, records=log_records[1:2] * 2),
            RecordsPush(first_offset=7, records=log_records),
            SnapshotPush(data=encode(old)),
            SnapshotPush(data=b"garbage"),
            RecordsPush(first_offset=0, records=log_records[:1]),
        )
        # The node recovers a wrong state within a heartbeat, so the test checks
        # at once and often.
        for _ in range(40):
            config = await watch.config("n1")
            assert list(config.objects) == list(expected.objects)
        reply = await watch.apply("n0", put_service("after"))
        config = await watch.wait_all(reply.version)
        routes = [item for item in config.objects if item.HasField("route")]
        expected_routes = [
            item for item in expected.objects if item.HasField("route")
        ]
        assert routes == expected_routes


@pytest.mark.parametrize("mode", ["readers", "every_node_polls"])
async def test_records_trimmed_before_a_node_reads_them(mode: str) -> None:
    """A node freezes for longer than the log keeps records; another joins late.

    The log has trimmed the records that both nodes lack. Without a snapshot
    neither node could ever obtain the configuration.
    """
    distribution = {**FAST_SETTINGS["distribution"], "mode": mode}
    snapshots = {"retention_records": 9, "rank_delay_ms": 50}
    async with running_fleet(
        3, distribution=distribution, snapshots=snapshots
    ) as (
        mesh,
        watch,
    ):
        first = await watch.apply("n0", *DESK_OPERATIONS, change_id="first")
        await watch.wait_all(first.version)
        mesh.nodes["n2"].signal(signal.SIGSTOP)
        for path in ("/a", "/b", "/c", "/d", "/e"):
            reply = await watch.apply("n0", put_route("desk", "main", path))
        stream = mesh.log.stream("config")
        await watch.wait_for("n1", lambda version: version > reply.version)
        stream.trim(keep=2)
        assert stream.first_offset > first.version
        mesh.nodes["n2"].signal(signal.SIGCONT)
        await mesh.add_node("n3", "hobart")
        await watch.wait_all(reply.version)
        repeated = await watch.apply("n3", *DESK_OPERATIONS, change_id="first")
        assert repeated.version == first.version
        entries = await watch.stub("n3").GetAudit(pb.AuditRequest())
        assert entries.entries[-1].change_id == "first"


async def test_log_outage_during_a_cold_start() -> None:
    """Two nodes start while the log is down, only one of them with a peer.

    The node with a peer must get the current configuration from the peer. The
    node without peers has no configuration, so this node must reject requests
    as `not_ready` until the log has recovered.
    """
    async with running_fleet(2) as (mesh, watch):
        reply = await watch.apply("n0", *DESK_OPERATIONS)
        await watch.wait_all(reply.version)
        mesh.log.faults = LogFaults(outage=True)
        seed = mesh.nodes["n0"].addresses["peer"]
        membership = {**FAST_SETTINGS["membership"], "seeds": [seed]}
        mesh.overrides["membership"] = membership
        await mesh.add_node("n2", "hobart")
        await watch.wait_all(reply.version)
        await wait_error(mesh, "n2", "no_target")
        mesh.overrides["membership"] = FAST_SETTINGS["membership"]
        await mesh.add_node("n3", "burnie")
        await wait_error(mesh, "n3", "not_ready")
        mesh.log.faults = LogFaults()
        await wait_error(mesh, "n3", "no_target")
        assert (await watch.config("n3")).version >= reply.version


async def wait_error(mesh: TestMesh, node: str, error: str) -> None:
    async with asyncio.timeout(15):
        while True:
            _, headers, _ = await mesh.request(node, "desk", "/")
            if headers["x-pomelobank-error"] == error:
                return
            assert headers["x-pomelobank-error"] == "not_ready"
            await asyncio.sleep(0.05)


async def test_readers_die_and_freeze() -> None:
    """Both readers of a data centre fail: one is killed, one is frozen.

    The other nodes would receive no further change if they relied on the
    readers alone. The frozen reader must not spread old routes when it
    resumes.
    """
    async with running_fleet(5) as (mesh, watch):
        first = await watch.apply("n0", *DESK_OPERATIONS)
        await watch.wait_all(first.version)
        killed, frozen = readers(mesh)
        await mesh.nodes.pop(killed).kill()
        mesh.nodes[frozen].signal(signal.SIGSTOP)
        running = [name for name in mesh.nodes if name != frozen]
        record = ChangeRecord(
            change_id="from-elsewhere",
            operations=(
                OperationRecord(kind="put", service=ServiceObject(name="new")),
            ),
        )
        mesh.log.stream("config").append(encode(record))
        await watch.wait_all(first.version + 1, running)
        reply = await watch.apply(running[0], put_route("desk", "main", "/b"))
        await watch.wait_all(reply.version, running)
        mesh.nodes[frozen].signal(signal.SIGCONT)
        await watch.wait_all(reply.version)


async def test_a_frozen_node_resumes_with_a_pending_append() -> None:
    """A node freezes before it appends an operator's change.

    The operator repeats the change through another node, which accepts the
    change, and a newer change replaces it. If the late append of the frozen
    node took effect, it would restore the old route.
    """
    async with running_fleet(3) as (mesh, watch):
        first = await watch.apply("n0", *DESK_OPERATIONS)
        await watch.wait_all(first.version)
        mesh.nodes["n0"].signal(signal.SIGSTOP)
        old = put_route("desk", "main", "/old")
        with pytest.raises(grpc.aio.AioRpcError):
            await watch.apply("n0", old, change_id="old", timeout_s=0.3)
        repeated = await watch.apply("n1", old, change_id="old")
        assert repeated.status == pb.CHANGE_ACCEPTED
        newer = await watch.apply("n2", put_route("desk", "main", "/new"))
        # Simulates the late append of the frozen node when it resumes.
        stream = mesh.log.stream("config")
        stream.append(stream.records[repeated.version - 1])
        mesh.nodes["n0"].signal(signal.SIGCONT)
        config = await watch.wait_all(newer.version + 1)
        paths = [
            item.route.path_prefix
            for item in config.objects
            if item.HasField("route")
        ]
        assert paths == ["/new"]
        outcome = await watch.change("n0", "old")
        assert outcome.version == repeated.version
