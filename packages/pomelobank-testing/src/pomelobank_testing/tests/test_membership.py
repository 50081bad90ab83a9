"""Membership of node processes under kills, freezes, cuts and drains."""

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
# Ten times faster than by default, so that a test sees a member's death and
# return within a second or two.
FAST: dict[str, Any] = {
    "membership": {
        "period_ms": 100,
        "probe_timeout_ms": 150,
        "sync_period_ms": 1000,
        "rejoin_period_ms": 500,
        "target_lease_ms": 3000,
    }
}


async def start(mesh: TestMesh, places: dict[str, str]) -> None:
    """Starts nodes with a target each and gives them a configuration."""
    starts = (
        mesh.add_node(
            name, place, UpstreamService(name, f"{SERVICE}-main", slots=50)
        )
        for name, place in places.items()
    )
    await asyncio.gather(*starts)
    names = list(places)
    status, output = await mesh.apply(names[0], MESHES["derwent"].document())
    assert status == 0, output
    await wait_states(mesh, names, dict.fromkeys(names, "ready"))
    await mesh.wait_version(names[0], 1)


async def wait_served(mesh: TestMesh, node: str) -> None:
    """Waits until a node answers a caller."""
    async with asyncio.timeout(30):
        while (await mesh.request(node, SERVICE, PATH))[0] != 200:
            continue


async def wait_contacts(mesh: TestMesh, count: int) -> None:
    """Waits until a record of the log names so many members."""
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
    """A node's process is killed, first one, then another.

    The others must hold it to be gone, serve without it, and give it work
    again after it has returned under its old id and a new address.
    """
    async with TestMesh(FAST) as mesh:
        names = ["a", "b", "c"]
        await start(mesh, dict.fromkeys(names, "hobart"))
        for name in ("a", "c"):
            await mesh.nodes[name].kill()
            others = [item for item in names if item != name]
            await wait_states(mesh, others, {name: "gone"})
            for other in others:
                await wait_served(mesh, other)
            await mesh.add_node(name, "hobart")
            await wait_states(mesh, names, dict.fromkeys(names, "ready"))


async def test_most_nodes_die_and_return_in_a_storm() -> None:
    """Four of six nodes are killed in the same instant and start together.

    Callers of the two others must be served meanwhile, the herd must find them
    without a seed, and it must not append a record each to the log.
    """
    async with TestMesh(FAST) as mesh:
        names = [f"n{index}" for index in range(6)]
        await start(mesh, dict.fromkeys(names, "hobart"))
        await wait_contacts(mesh, len(names))
        before = len(mesh.log.stream("members").records)
        killed, left = names[2:], names[:2]
        await asyncio.gather(*(mesh.nodes[name].kill() for name in killed))
        await wait_states(mesh, left, dict.fromkeys(killed, "gone"))
        for name in left:
            await wait_served(mesh, name)
        await asyncio.gather(
            *(mesh.add_node(name, "hobart") for name in killed)
        )
        await wait_states(mesh, names, dict.fromkeys(names, "ready"))
        later = mesh.log.stream("members").records[before:]
        kinds = {type(decode(data, KINDS)) for data in later}
        assert kinds <= {ContactsRecord}


async def test_a_frozen_node_is_gone_and_gets_work_again() -> None:
    """A node stands still past every time-out and then runs on.

    It believes that nothing has happened, while the others hold it to be gone;
    its target would stay idle for good.
    """
    async with TestMesh(FAST) as mesh:
        names = ["a", "b", "c"]
        await start(mesh, dict.fromkeys(names, "hobart"))
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
async def test_a_data_centre_is_cut_off_and_returns(silent: bool) -> None:
    """One of two data centres loses its lines to the other for a while.

    Callers on both sides must be served by the targets on their own side, and
    after the cut the two must become one mesh without any help.
    """
    async with RelayedMesh(FAST) as mesh:
        north, south = ["n1", "n2"], ["s1", "s2"]
        places = dict.fromkeys(north, "burnie") | dict.fromkeys(south, "hobart")
        await start(mesh, places)
        mesh.partition("hobart", silent)
        await wait_states(mesh, north, dict.fromkeys(south, "gone"))
        await wait_states(mesh, south, dict.fromkeys(north, "gone"))
        await wait_states(mesh, north, dict.fromkeys(north, "ready"))
        await wait_states(mesh, south, dict.fromkeys(south, "ready"))
        for name in places:
            await wait_served(mesh, name)
        mesh.heal()
        await wait_states(mesh, list(places), dict.fromkeys(places, "ready"))


async def test_nodes_start_without_the_log() -> None:
    """The log is down while nodes start that have seed addresses.

    Without another way they would not find each other before its return.
    """
    async with TestMesh(FAST) as mesh:
        first = await mesh.add_node("a", "hobart", UpstreamService("a", "u"))
        mesh.log.faults.outage = True
        seeds = {"seeds": [first.addresses["peer"]]}
        mesh.overrides = {"membership": {**FAST["membership"], **seeds}}
        await mesh.add_node("b", "hobart", UpstreamService("b", "u"))
        await mesh.add_node("c", "hobart", UpstreamService("c", "u"))
        names = ["a", "b", "c"]
        await wait_states(mesh, names, dict.fromkeys(names, "ready"))


async def test_a_draining_target_gets_no_new_work_after_two_seconds() -> None:
    """A target is told to leave while callers keep asking.

    Its health page goes on saying that all is well, and it goes on announcing
    itself, as a target does that ends only after its last request.
    """
    async with TestMesh(FAST) as mesh:
        names = ["a", "b", "c"]
        await start(mesh, dict.fromkeys(names, "hobart"))
        target = mesh.targets["b"].service
        begun = time.monotonic()
        await post(mesh, "b", "/v1/target/drain", {})
        late = 0
        while time.monotonic() - begun < 4:
            before = target.arrivals
            statuses = [
                (await mesh.request(name, SERVICE, PATH))[0] for name in names
            ]
            if time.monotonic() - begun > 2:
                late += target.arrivals - before
                assert statuses == [200, 200, 200]
        assert late == 0
        await wait_states(mesh, names, {"b": "draining"})
        target.instance = "second"
        await wait_states(mesh, names, {"b": "ready"})


async def wait_target_known(mesh: TestMesh, node: str) -> str:
    """Waits until a node has heard of its target; returns its state."""
    assert mesh.session is not None
    url = f"http://{mesh.nodes[node].addresses['admin']}/healthz"
    async with asyncio.timeout(30):
        while True:
            async with mesh.session.get(url) as answer:
                state = (await answer.json())["state"]
            if state != "starting":
                return str(state)
            await asyncio.sleep(0.02)


async def test_a_drained_target_stays_out_when_its_node_starts_again() -> None:
    """An operator drains a target, and the node beside it is killed.

    The target goes on announcing itself until it ends. Taken back by the new
    process, it gets requests that are cut off when it ends as planned.
    """
    async with TestMesh(FAST) as mesh:
        names = ["a", "b"]
        await start(mesh, dict.fromkeys(names, "hobart"))
        target = mesh.targets["b"].service
        await post(mesh, "b", "/v1/target/drain", {})
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


async def test_a_drain_while_the_log_is_away_is_not_acknowledged() -> None:
    """An operator drains a target, and the log does not answer.

    The target gets nothing more, but a restart of its node could undo that;
    an operator who took it for done would end it under its requests.
    """
    async with TestMesh(FAST) as mesh:
        await start(mesh, dict.fromkeys(["a", "b"], "hobart"))
        mesh.log.faults.outage = True
        status, _ = await post(mesh, "b", "/v1/target/drain", {})
        assert status == 503
        await wait_states(mesh, ["a", "b"], {"b": "draining"})
        mesh.log.faults.outage = False
        status, _ = await post(mesh, "b", "/v1/target/drain", {})
        assert status == 200


async def test_a_drained_target_that_started_again_is_not_drained_anew() -> (
    None
):
    """A target without a name is drained, ends, and starts again.

    Its node starts again later. What the log says of the earlier start must
    not take the present one out.
    """
    membership = {**FAST["membership"], "target_lease_ms": 1000}
    async with TestMesh({"membership": membership}) as mesh:
        await start(mesh, dict.fromkeys(["a", "b"], "hobart"))
        target = mesh.targets["b"]
        admin = mesh.nodes["b"].addresses["admin"]
        await post(mesh, "b", "/v1/target/drain", {})
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


async def test_a_silent_target_is_left_out_and_its_node_learns_it_anew() -> (
    None
):
    """A target dies without a word and comes back later.

    Its node lives and answers probes, so nothing but the missing announcements
    tells that work for it would fail.
    """
    async with TestMesh(FAST) as mesh:
        names = ["a", "b"]
        await start(mesh, dict.fromkeys(names, "hobart"))
        target = mesh.targets["b"]
        assert target.announcer is not None
        target.announcer.cancel()
        await wait_states(mesh, names, {"b": "starting"})
        await wait_served(mesh, "b")
        target.announce_to(mesh.nodes["b"].addresses["admin"])
        await wait_states(mesh, names, {"b": "ready"})


async def test_a_bad_announcement_changes_nothing() -> None:
    async with TestMesh(FAST) as mesh:
        await mesh.add_node("a", "hobart", UpstreamService("a", "u"))
        await wait_states(mesh, ["a"], {"a": "ready"})
        status, answer = await post(mesh, "a", "/v1/target", {"upstream": ""})
        assert (status, answer["error"]) == (400, "missing")
        await wait_states(mesh, ["a"], {"a": "ready"})


async def post(
    mesh: TestMesh, node: str, path: str, document: dict[str, Any]
) -> tuple[int, dict[str, Any]]:
    assert mesh.session is not None
    url = f"http://{mesh.nodes[node].addresses['admin']}{path}"
    async with mesh.session.post(url, json=document) as response:
        return response.status, await response.json()
