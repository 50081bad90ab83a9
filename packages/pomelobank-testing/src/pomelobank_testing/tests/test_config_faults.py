"""The configuration when things fail, with nodes as processes of their own.

During every test all nodes are read over and over: no version may go back,
and nodes of one version must agree object for object.
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

FAST: dict[str, Any] = {
    "distribution": {
        "heartbeat_ms": 100,
        "silence_ms": 1500,
        "fallback_ms": 500,
    },
    "membership": {"period_ms": 100},
    "log": {"long_poll_ms": 500, "timeout_ms": 400},
}
DESK = (
    put_service("desk"),
    put_upstream("main", "desk"),
    put_route("desk", "main"),
)


@asynccontextmanager
async def fleet(
    count: int, **overrides: Any
) -> AsyncIterator[tuple[TestMesh, ConfigWatch]]:
    async with TestMesh({**FAST, **overrides}) as mesh:
        await asyncio.gather(
            *(mesh.add_node(f"n{index}", "hobart") for index in range(count))
        )
        await mesh.wait_members(count, state="starting")
        async with ConfigWatch(mesh) as watch:
            yield mesh, watch


def readers(mesh: TestMesh) -> list[str]:
    return rendezvous_order(mesh.nodes, "reader")[:2]


async def test_log_outage() -> None:
    """The platform's log goes down while operators work.

    An operator must learn that nothing is certain, callers must go on being
    routed, and the change must be possible once the log is back.
    """
    async with fleet(3) as (mesh, watch):
        first = await watch.apply("n0", *DESK)
        await watch.wait_all(first.version)
        mesh.log.faults = LogFaults(outage=True)
        change = put_route("desk", "main", "/stock")
        reply = await watch.apply("n1", change, change_id="during-outage")
        assert reply.status == pb.CHANGE_UNKNOWN
        assert reply.problems[0].kind == "log_refused"
        asked = await watch.change("n2", "during-outage")
        assert asked.problems[0].kind == "log_silent"
        assert (await watch.config("n2")).version == first.version
        mesh.log.faults = LogFaults()
        reply = await watch.apply("n1", change, change_id="during-outage")
        assert reply.status == pb.CHANGE_ACCEPTED
        await watch.wait_all(reply.version)
        asked = await watch.change("n2", "during-outage")
        assert (asked.status, asked.version) == (reply.status, reply.version)
        other = await watch.apply(
            "n0", put_service("other"), change_id="during-outage"
        )
        assert other.problems[0].kind == "change_id_in_use"


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param(LogFaults(lose_answers=1), id="answer-lost"),
        pytest.param(LogFaults(delay_ms=150), id="slow"),
    ],
)
async def test_append_without_a_clear_answer(faults: LogFaults) -> None:
    """An append takes effect while its answer is lost, or comes slowly.

    A node that took this for a failure and appended again would apply the
    change twice; one that guessed would tell the operator something wrong.
    """
    async with fleet(2) as (mesh, watch):
        mesh.log.faults = faults
        reply = await watch.apply("n0", *DESK)
        assert reply.status == pb.CHANGE_ACCEPTED
        mesh.log.faults = LogFaults()
        await watch.wait_all(reply.version)
        assert mesh.log.stream("config").end_offset == 1


async def test_two_operators_race_on_one_route() -> None:
    """Two operators read the same route and both write it.

    If both were accepted, one would have undone the other without a word.
    """
    async with fleet(3) as (_, watch):
        first = await watch.apply("n0", *DESK)
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


def bad_in_its_last_part(change_id: str) -> ChangeRecord:
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
    """A faulty or outdated node appends what its own check should refuse.

    If any node applied the good part of it, or a route that points nowhere,
    callers would get errors that no operator has asked for.
    """
    async with fleet(2) as (mesh, watch):
        stream = mesh.log.stream("config")
        stream.append(encode(bad_in_its_last_part("bad")))
        stream.append(b"not a record")
        reply = await watch.apply("n1", *DESK)
        assert reply.version == 3
        found = await watch.wait_all(3)
        kinds = {item.WhichOneof("object") for item in found.objects}
        assert (len(found.objects), len(kinds)) == (3, 3)
        asked = await watch.change("n0", "bad")
        assert asked.status == pb.CHANGE_REJECTED
        assert asked.problems[0].kind == "missing_reference"
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


async def test_pushes_cross_and_repeat() -> None:
    """A peer that was paused sends what it held back: old, twice, with gaps.

    A node that took such a push at its word would go back to old routes, or
    skip a change that all others have.
    """
    async with fleet(2) as (mesh, watch):
        for path in ("/a", "/b", "/c"):
            reply = await watch.apply(
                "n0", *DESK[:2], put_route("desk", "main", path)
            )
        expected = await watch.wait_all(reply.version)
        kept = tuple(mesh.log.stream("config").records)
        old = SnapshotRecord(as_of=1, node="late-peer")
        await push(
            mesh.nodes["n1"].addresses["peer"],
            RecordsPush(first_offset=0, records=kept),
            RecordsPush(first_offset=1, records=kept[1:2] * 2),
            RecordsPush(first_offset=7, records=kept),
            SnapshotPush(data=encode(old)),
            SnapshotPush(data=b"garbage"),
            RecordsPush(first_offset=0, records=kept[:1]),
        )
        # The node mends itself within a heartbeat, so look at once and often.
        for _ in range(40):
            found = await watch.config("n1")
            assert list(found.objects) == list(expected.objects)
        reply = await watch.apply("n0", put_service("after"))
        found = await watch.wait_all(reply.version)
        routes = [item for item in found.objects if item.HasField("route")]
        known = [item for item in expected.objects if item.HasField("route")]
        assert routes == known


@pytest.mark.parametrize("mode", ["readers", "every_node_polls"])
async def test_records_trimmed_before_a_node_reads_them(mode: str) -> None:
    """A node is frozen for longer than the log keeps records; one starts late.

    Without a snapshot neither could ever get the configuration again.
    """
    distribution = {**FAST["distribution"], "mode": mode}
    snapshots = {"retention_records": 9, "rank_delay_ms": 50}
    async with fleet(3, distribution=distribution, snapshots=snapshots) as (
        mesh,
        watch,
    ):
        first = await watch.apply("n0", *DESK, change_id="first")
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
        repeated = await watch.apply("n3", *DESK, change_id="first")
        assert repeated.version == first.version
        entries = await watch.stub("n3").GetAudit(pb.AuditRequest())
        assert entries.entries[-1].change_id == "first"


async def test_log_outage_during_a_cold_start() -> None:
    """A node is replaced while the log is down; later all nodes are.

    The first must learn the configuration from its peers and serve no older
    one. A node without peers knows nothing: it must refuse, not guess.
    """
    async with fleet(2) as (mesh, watch):
        reply = await watch.apply("n0", *DESK)
        await watch.wait_all(reply.version)
        mesh.log.faults = LogFaults(outage=True)
        seed = mesh.nodes["n0"].addresses["peer"]
        membership = {**FAST["membership"], "seeds": [seed]}
        mesh.overrides["membership"] = membership
        await mesh.add_node("n2", "hobart")
        await watch.wait_all(reply.version)
        await wait_answer(mesh, "n2", "no_target")
        mesh.overrides["membership"] = FAST["membership"]
        await mesh.add_node("n3", "burnie")
        await wait_answer(mesh, "n3", "not_ready")
        mesh.log.faults = LogFaults()
        await wait_answer(mesh, "n3", "no_target")
        assert (await watch.config("n3")).version >= reply.version


async def wait_answer(mesh: TestMesh, node: str, error: str) -> None:
    async with asyncio.timeout(15):
        while True:
            _, headers, _ = await mesh.request(node, "desk", "/")
            if headers["x-pomelobank-error"] == error:
                return
            assert headers["x-pomelobank-error"] == "not_ready"
            await asyncio.sleep(0.05)


async def test_readers_die_and_freeze() -> None:
    """Both readers of a data centre fail: one is killed, one is frozen.

    The others would never hear of a change again if they only waited for the
    readers; and the frozen one must not bring old routes when it returns.
    """
    async with fleet(5) as (mesh, watch):
        first = await watch.apply("n0", *DESK)
        await watch.wait_all(first.version)
        killed, frozen = readers(mesh)
        await mesh.nodes.pop(killed).kill()
        mesh.nodes[frozen].signal(signal.SIGSTOP)
        awake = [name for name in mesh.nodes if name != frozen]
        record = ChangeRecord(
            change_id="from-elsewhere",
            operations=(
                OperationRecord(kind="put", service=ServiceObject(name="new")),
            ),
        )
        mesh.log.stream("config").append(encode(record))
        await watch.wait_all(first.version + 1, awake)
        reply = await watch.apply(awake[0], put_route("desk", "main", "/b"))
        await watch.wait_all(reply.version, awake)
        mesh.nodes[frozen].signal(signal.SIGCONT)
        await watch.wait_all(reply.version)


async def test_a_frozen_node_wakes_with_an_append_in_its_hands() -> None:
    """A node freezes with an operator's change that it has not yet appended.

    The operator sends it again elsewhere, where it is accepted and later
    replaced. If the append that comes much later counted, it would bring the
    old route back.
    """
    async with fleet(3) as (mesh, watch):
        first = await watch.apply("n0", *DESK)
        await watch.wait_all(first.version)
        mesh.nodes["n0"].signal(signal.SIGSTOP)
        old = put_route("desk", "main", "/old")
        with pytest.raises(grpc.aio.AioRpcError):
            await watch.apply("n0", old, change_id="old", timeout_s=0.3)
        again = await watch.apply("n1", old, change_id="old")
        assert again.status == pb.CHANGE_ACCEPTED
        newer = await watch.apply("n2", put_route("desk", "main", "/new"))
        # What the frozen node does when it continues, at its worst.
        stream = mesh.log.stream("config")
        stream.append(stream.records[again.version - 1])
        mesh.nodes["n0"].signal(signal.SIGCONT)
        found = await watch.wait_all(newer.version + 1)
        paths = [
            item.route.path_prefix
            for item in found.objects
            if item.HasField("route")
        ]
        assert paths == ["/new"]
        asked = await watch.change("n0", "old")
        assert asked.version == again.version
