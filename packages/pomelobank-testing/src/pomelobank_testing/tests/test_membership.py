"""Membership of node processes: kills, freezes, partitions and drains."""

import asyncio
import signal
import time
from typing import Any

import pytest

from pomelobank_schema import decode
from pomelobank_schema.generated.records import KINDS, ContactsRecord
from pomelobank_testing import (
    MESHES,
    RelayedMesh,
    TestMesh,
    UpstreamService,
    wait_states,
)

SERVICE = "counter-desk"
PATH = "/stock/1"
# Ten times faster than the defaults, so that a test sees the death and the
# return of a member within one or two seconds.
FAST_SETTINGS: dict[str, Any] = {
    "membership": {
        "period_ms": 100,
        "probe_timeout_ms": 150,
        "sync_period_ms": 1000,
        "rejoin_period_ms": 500,
        "target_lease_ms": 3000,
    }
}


async def start_nodes(mesh: TestMesh, data_centres: dict[str, str]) -> None:
    """Starts nodes with one target each and applies a configuration."""
    starts = (
        mesh.add_node(
            name,
            data_centre,
            UpstreamService(name, f"{SERVICE}-main", slots=50),
        )
        for name, data_centre in data_centres.items()
    )
    await asyncio.gather(*starts)
    names = list(data_centres)
    status, output = await mesh.apply(names[0], MESHES["derwent"].document())
    assert status == 0, output
    await wait_states(mesh, names, dict.fromkeys(names, "ready"))
    await mesh.wait_version(names[0], 1)


async def wait_served(mesh: TestMesh, node: str) -> None:
    """Waits until a node returns a successful response to a caller."""
    async with asyncio.timeout(30):
        while (await mesh.request(node, SERVICE, PATH))[0] != 200:
            continue


async def wait_contacts(mesh: TestMesh, count: int) -> None:
    """Waits until a contacts record of the log names `count` members."""
    stream = mesh.log.stream("members")
    async with asyncio.timeout(30):
        while True:
            grown = stream.grown
            records = [decode(data, KINDS) for data in stream.records]
            if any(
                isinstance(record, ContactsRecord)
                and len(record.contacts) == count
                for record in records
            ):
                return
            await grown.wait()


async def test_any_node_may_be_killed_and_return() -> None:
    """Two node processes are killed and started again, one after the other.

    The other nodes must mark the killed node as gone, serve without that node,
    and see it ready after its return under its old name and a new address.
    """
    async with TestMesh(FAST_SETTINGS) as mesh:
        names = ["a", "b", "c"]
        await start_nodes(mesh, dict.fromkeys(names, "hobart"))
        for name in ("a", "c"):
            await mesh.nodes[name].kill()
            others = [item for item in names if item != name]
            await wait_states(mesh, others, {name: "gone"})
            for other in others:
                await wait_served(mesh, other)
            await mesh.add_node(name, "hobart")
            await wait_states(mesh, names, dict.fromkeys(names, "ready"))


async def test_most_nodes_die_and_return_at_once() -> None:
    """Four of six nodes are killed at once and start again at once.

    The two remaining nodes must serve callers meanwhile. The started nodes
    must find the remaining nodes without a seed address, and must not append
    one record per node to the log.
    """
    async with TestMesh(FAST_SETTINGS) as mesh:
        names = [f"n{index}" for index in range(6)]
        await start_nodes(mesh, dict.fromkeys(names, "hobart"))
        await wait_contacts(mesh, len(names))
        before = len(mesh.log.stream("members").records)
        killed, survivors = names[2:], names[:2]
        await asyncio.gather(*(mesh.nodes[name].kill() for name in killed))
        await wait_states(mesh, survivors, dict.fromkeys(killed, "gone"))
        for name in survivors:
            await wait_served(mesh, name)
        await asyncio.gather(
            *(mesh.add_node(name, "hobart") for name in killed)
        )
        await wait_states(mesh, names, dict.fromkeys(names, "ready"))
        later = mesh.log.stream("members").records[before:]
        kinds = {type(decode(data, KINDS)) for data in later}
        assert kinds <= {ContactsRecord}


async def test_a_frozen_node_is_gone_and_gets_requests_again() -> None:
    """A node freezes past every timeout and then resumes.

    The resumed node is not aware of its pause, while the other nodes have
    marked the node as gone. If they kept this state, the node's target would
    stay idle permanently.
    """
    async with TestMesh(FAST_SETTINGS) as mesh:
        names = ["a", "b", "c"]
        await start_nodes(mesh, dict.fromkeys(names, "hobart"))
        mesh.nodes["c"].signal(signal.SIGSTOP)
        await wait_states(mesh, ["a", "b"], {"c": "gone"})
        await wait_served(mesh, "a")
        mesh.nodes["c"].signal(signal.SIGCONT)
        await wait_states(mesh, names, dict.fromkeys(names, "ready"))
        arrivals = mesh.targets["c"].service.arrivals
        async with asyncio.timeout(30):
            while mesh.targets["c"].service.arrivals == arrivals:
                await mesh.request("a", SERVICE, PATH)


@pytest.mark.parametrize(
    "silent",
    [
        pytest.param(True, id="bytes-do-not-arrive"),
        pytest.param(False, id="streams-break"),
    ],
)
async def test_a_partitioned_data_centre_returns(silent: bool) -> None:
    """A network partition separates two data centres for a while.

    The targets of each side must serve the callers of that side, and after the
    partition both sides must merge into one mesh without an operator.
    """
    async with RelayedMesh(FAST_SETTINGS) as mesh:
        north, south = ["n1", "n2"], ["s1", "s2"]
        data_centres = dict.fromkeys(north, "burnie") | dict.fromkeys(
            south, "hobart"
        )
        await start_nodes(mesh, data_centres)
        mesh.partition("hobart", silent)
        await wait_states(mesh, north, dict.fromkeys(south, "gone"))
        await wait_states(mesh, south, dict.fromkeys(north, "gone"))
        await wait_states(mesh, north, dict.fromkeys(north, "ready"))
        await wait_states(mesh, south, dict.fromkeys(south, "ready"))
        for name in data_centres:
            await wait_served(mesh, name)
        mesh.heal()
        await wait_states(
            mesh, list(data_centres), dict.fromkeys(data_centres, "ready")
        )


async def test_nodes_start_without_the_log() -> None:
    """Nodes with a seed address start while the log is down.

    Without the seed address the nodes would not find each other before the log
    has recovered.
    """
    async with TestMesh(FAST_SETTINGS) as mesh:
        first = await mesh.add_node("a", "hobart", UpstreamService("a", "u"))
        # The others learn from this node that no target has departed.
        await wait_states(mesh, ["a"], {"a": "ready"})
        mesh.log.faults.outage = True
        seeds = {"seeds": [first.addresses["peer"]]}
        mesh.overrides = {
            "membership": {**FAST_SETTINGS["membership"], **seeds}
        }
        await mesh.add_node("b", "hobart", UpstreamService("b", "u"))
        await mesh.add_node("c", "hobart", UpstreamService("c", "u"))
        names = ["a", "b", "c"]
        await wait_states(mesh, names, dict.fromkeys(names, "ready"))


async def test_a_draining_target_gets_no_requests_after_two_seconds() -> None:
    """An operator drains a target while callers send requests.

    The target ends only after its last request, so its health page still
    reports success and its announcements continue. Neither may bring new
    requests to the target.
    """
    async with TestMesh(FAST_SETTINGS) as mesh:
        names = ["a", "b", "c"]
        await start_nodes(mesh, dict.fromkeys(names, "hobart"))
        target = mesh.targets["b"].service
        drain_start_s = time.monotonic()
        await post_json(mesh, "b", "/v1/target/drain", {})
        late_arrivals = 0
        while time.monotonic() - drain_start_s < 4:
            before = target.arrivals
            statuses = [
                (await mesh.request(name, SERVICE, PATH))[0] for name in names
            ]
            if time.monotonic() - drain_start_s > 2:
                late_arrivals += target.arrivals - before
                assert statuses == [200, 200, 200]
        assert late_arrivals == 0
        await wait_states(mesh, names, {"b": "draining"})
        target.instance = "second"
        await wait_states(mesh, names, {"b": "ready"})


async def wait_target_known(mesh: TestMesh, node: str) -> str:
    """Waits until a node has an announced target; returns the node's state."""
    assert mesh.session is not None
    url = f"http://{mesh.nodes[node].addresses['admin']}/healthz"
    async with asyncio.timeout(30):
        while True:
            async with mesh.session.get(url) as response:
                state = (await response.json())["state"]
            if state != "starting":
                return str(state)
            await asyncio.sleep(0.02)


async def test_a_drained_target_stays_draining_when_its_node_restarts() -> None:
    """An operator drains a target, and the node beside it is killed.

    The target announces itself until it ends. If the new node process accepted
    the target as ready, the target would get requests and cut them off at its
    planned end.
    """
    async with TestMesh(FAST_SETTINGS) as mesh:
        names = ["a", "b"]
        await start_nodes(mesh, dict.fromkeys(names, "hobart"))
        target = mesh.targets["b"].service
        await post_json(mesh, "b", "/v1/target/drain", {})
        await mesh.nodes["b"].kill()
        await mesh.add_node("b", "hobart")
        await mesh.wait_serving("b")
        state = await wait_target_known(mesh, "b")
        before = target.arrivals
        for name in names * 5:
            await mesh.request(name, SERVICE, PATH)
        assert (state, target.arrivals - before) == ("draining", 0)
        target.instance = "second"
        await wait_states(mesh, names, {"b": "ready"})


async def test_a_drain_during_a_log_outage_is_not_acknowledged() -> None:
    """An operator drains a target during an outage of the log.

    The target gets no new requests, but a restart of its node could undo the
    drain. An operator who got a success response would stop the target while
    it serves requests.
    """
    async with TestMesh(FAST_SETTINGS) as mesh:
        await start_nodes(mesh, dict.fromkeys(["a", "b"], "hobart"))
        mesh.log.faults.outage = True
        status, _ = await post_json(mesh, "b", "/v1/target/drain", {})
        assert status == 503
        await wait_states(mesh, ["a", "b"], {"b": "draining"})
        mesh.log.faults.outage = False
        status, _ = await post_json(mesh, "b", "/v1/target/drain", {})
        assert status == 200


async def test_a_restarted_target_is_not_drained_again() -> None:
    """A target without an instance name is drained, ends and starts again.

    Its node restarts later. The departure that the log holds for the earlier
    start of the target must not drain the present start.
    """
    membership = {**FAST_SETTINGS["membership"], "target_lease_ms": 1000}
    async with TestMesh({"membership": membership}) as mesh:
        await start_nodes(mesh, dict.fromkeys(["a", "b"], "hobart"))
        target = mesh.targets["b"]
        admin = mesh.nodes["b"].addresses["admin"]
        await post_json(mesh, "b", "/v1/target/drain", {})
        assert target.announcer is not None
        target.announcer.cancel()
        await asyncio.sleep(2)
        target.announce_to(admin)
        await wait_states(mesh, ["a", "b"], {"b": "ready"})
        departures = mesh.log.stream("departures")
        async with asyncio.timeout(30):
            while len(departures.records) < 2:
                await departures.grown.wait()
        await mesh.nodes["b"].kill()
        await mesh.add_node("b", "hobart")
        await wait_states(mesh, ["a", "b"], {"b": "ready"})


async def test_a_target_without_announcements_is_removed_and_returns() -> None:
    """A target dies without deregistering and comes back later.

    The target's node runs and answers probes, so only the missing
    announcements show that requests to the target would fail.
    """
    async with TestMesh(FAST_SETTINGS) as mesh:
        names = ["a", "b"]
        await start_nodes(mesh, dict.fromkeys(names, "hobart"))
        target = mesh.targets["b"]
        assert target.announcer is not None
        target.announcer.cancel()
        await wait_states(mesh, names, {"b": "starting"})
        await wait_served(mesh, "b")
        target.announce_to(mesh.nodes["b"].addresses["admin"])
        await wait_states(mesh, names, {"b": "ready"})


async def test_a_bad_announcement_changes_nothing() -> None:
    async with TestMesh(FAST_SETTINGS) as mesh:
        await mesh.add_node("a", "hobart", UpstreamService("a", "u"))
        await wait_states(mesh, ["a"], {"a": "ready"})
        status, response = await post_json(
            mesh, "a", "/v1/target", {"upstream": ""}
        )
        assert (status, response["error"]) == (400, "missing")
        await wait_states(mesh, ["a"], {"a": "ready"})


async def post_json(
    mesh: TestMesh, node: str, path: str, document: dict[str, Any]
) -> tuple[int, dict[str, Any]]:
    assert mesh.session is not None
    url = f"http://{mesh.nodes[node].addresses['admin']}{path}"
    async with mesh.session.post(url, json=document) as response:
        return response.status, await response.json()
