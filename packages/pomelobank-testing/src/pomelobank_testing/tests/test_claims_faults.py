"""Keyed requests while nodes die or freeze and the log fails."""

import asyncio
import json
import signal

import pytest

from pomelobank_testing import TestMesh
from pomelobank_testing._harness import EmbeddedTarget
from pomelobank_testing.tests.claims_support import (
    SERVICE,
    Answer,
    claimants,
    kind,
    order,
    runs,
    same_shard,
    shard,
    started,
    until_running,
)

NOT_RUN = "not-run"


def run_state(answer: Answer) -> str:
    return answer[1].get("x-pomelobank-run", "ran")


async def resend(mesh: TestMesh, node: str, key: str) -> Answer:
    """Sends again as long as the answer says that it did not run."""
    async with asyncio.timeout(15):
        while True:
            answer = await order(mesh, node, key)
            if run_state(answer) != NOT_RUN:
                return answer
            await asyncio.sleep(0.05)


@pytest.mark.parametrize("victim", ["claiming node", "target's node"])
async def test_a_node_dies_while_the_request_runs(victim: str) -> None:
    """The node that claimed a key, or that ran its request, is killed.

    The answer is lost. A caller that sends the order again must not have it
    lodged twice, and must not be told that it did not run.
    """
    async with started() as mesh:
        for number in range(40):
            key = f"order-{number}"
            claiming, entry, _ = claimants(key)
            first = asyncio.create_task(
                order(mesh, entry, key, x_work_ms="1500")
            )
            target = await until_running(mesh, key)
            if target not in (claiming, entry):
                break
            await first
        dies = claiming if victim == "claiming node" else target
        await mesh.nodes[dies].kill()
        assert run_state(await first) == "unknown"
        left = [name for name in mesh.nodes if name != dies]
        for node in left:
            again = await order(mesh, node, key)
            assert kind(again) in ("claim_unknown", "key_in_use")
        assert runs(mesh, key) == 1


async def test_a_frozen_claiming_node_wakes_late() -> None:
    """A claiming node freezes before it sees a request, and wakes later.

    Its copy of the order is still in its socket. Meanwhile the caller was
    told that nobody knows, and another node ran the order.
    """
    async with started() as mesh:
        key = "order-1"
        frozen, entry, other = claimants(key)
        await order(mesh, entry, key + "-warm")
        mesh.nodes[frozen].signal(signal.SIGSTOP)
        first = await order(mesh, entry, key, x_pomelobank_timeout_ms="300")
        assert run_state(first) == "unknown"
        # Both must know: the order could else be placed at the frozen node.
        for node in (entry, other):
            await _until_not_ready(mesh, node, frozen)
        again = await resend(mesh, other, key)
        mesh.nodes[frozen].signal(signal.SIGCONT)
        assert again[0] == 200
        await mesh.wait_members(3)
        late = await order(mesh, frozen, key)
        assert (late[0], late[2]) == (200, again[2])
        assert runs(mesh, key) == 1


async def test_a_claiming_node_freezes_while_the_request_runs() -> None:
    """The claiming node freezes past every timeout while its request runs.

    The target has answered, but nobody heard it. The order must not be run
    for the caller's next sending; once the node wakes its answer is found.
    """
    async with started() as mesh:
        key = "order-2"
        frozen, entry, other = claimants(key)
        first = asyncio.create_task(
            order(
                mesh,
                entry,
                key,
                x_work_ms="700",
                x_pomelobank_timeout_ms="1500",
            )
        )
        await until_running(mesh, key)
        mesh.nodes[frozen].signal(signal.SIGSTOP)
        assert run_state(await first) == "unknown"
        await _until_not_ready(mesh, other, frozen)
        for node in (entry, other):
            again = await order(mesh, node, key)
            assert run_state(again) == "unknown"
        mesh.nodes[frozen].signal(signal.SIGCONT)
        await mesh.wait_members(3)
        await order(mesh, frozen, key)
        assert runs(mesh, key) == 1


async def _until_not_ready(mesh: TestMesh, node: str, gone: str) -> None:
    async with asyncio.timeout(30):
        while True:
            _, output = await mesh.command(node, "status", "--output", "json")
            members = json.loads(output)["members"]
            states = {item["node"]: item["state"] for item in members}
            if states.get(gone) != "ready":
                return
            await asyncio.sleep(0.05)


async def test_the_log_is_down() -> None:
    """The log has an outage, before and while keys are claimed.

    New orders are refused as not run, at once and with a time to come back;
    answers that are known are still given, and reads go on.
    """
    async with started(nodes=2) as mesh:
        done = await order(mesh, "node-0", "before")
        assert done[0] == 200
        mesh.log.faults.outage = True
        # The first falls in a shard that is read already, most do not.
        keys = [same_shard("before"), *(f"order-{n}" for n in range(12))]
        refused = await asyncio.gather(
            *(order(mesh, "node-1", key) for key in keys)
        )
        assert {kind(item) for item in refused} == {"claim_unavailable"}
        assert {run_state(item) for item in refused} == {NOT_RUN}
        assert all(int(item[1]["retry-after"]) > 0 for item in refused)
        assert sum(runs(mesh, key) for key in keys) == 0
        known = await order(mesh, "node-1", "before")
        assert (known[0], known[2]) == (200, done[2])
        code, _, _ = await mesh.request("node-0", SERVICE, "/reorders/1")
        assert code == 200
        mesh.log.faults.outage = False
        for key in keys:
            answer = await resend(mesh, "node-0", key)
            assert answer[0] == 200
            assert runs(mesh, key) == 1


async def test_the_answer_of_an_append_is_lost() -> None:
    """The log takes a claim, but its answer never reaches the node.

    A node that held the claim to be lost would refuse the order for as long
    as the key is remembered; one that claimed anew might run it twice.
    """
    async with started(nodes=2) as mesh:
        mesh.log.faults.lose_answers = 3
        answers = await asyncio.gather(
            *(order(mesh, node, "order-1") for node in mesh.nodes)
        )
        assert {answer[0] for answer in answers} == {200}
        assert len({answer[2] for answer in answers}) == 1
        assert runs(mesh, "order-1") == 1


async def test_the_log_is_slower_than_callers_wait() -> None:
    """Appends take effect long after the node has given up on them.

    The order was refused as not run. The late claim must not make it run,
    and must not stand in the way of the caller's next sending either.
    """
    async with started(nodes=2, claims={"claim_timeout_ms": 200}) as mesh:
        await order(mesh, "node-0", same_shard("order-1"))
        mesh.log.faults.delay_ms = 600
        refused = await order(mesh, "node-0", "order-1")
        assert kind(refused) == "claim_unavailable"
        assert runs(mesh, "order-1") == 0
        mesh.log.faults.delay_ms = 0
        assert (await resend(mesh, "node-1", "order-1"))[0] == 200
        assert runs(mesh, "order-1") == 1


async def test_a_refused_request_frees_its_key() -> None:
    """A target refuses the connection after the key was claimed.

    Unless the claim is released, the answer *not run* would invite the
    caller to send again, only to find the key in use.
    """
    async with started(nodes=1) as mesh:
        target = mesh.targets["node-0"]
        await target.stop()
        refused = await order(mesh, "node-0", "order-1")
        assert run_state(refused) == NOT_RUN
        assert runs(mesh, "order-1") == 0
        mesh.targets["node-0"] = await EmbeddedTarget.start(target.service)
        admin = mesh.nodes["node-0"].addresses["admin"]
        mesh.targets["node-0"].announce_to(admin)
        assert (await resend(mesh, "node-0", "order-1"))[0] == 200
        assert runs(mesh, "order-1") == 1


async def test_the_log_trims_claims_inside_their_window() -> None:
    """The log keeps its records for less time than keys are remembered.

    The node that knew the key dies, and its successor finds the claim
    trimmed. To it the key looks new; running it would lodge the order twice.
    """
    async with started(nodes=2) as mesh:
        claiming, other = claimants("order-1", 2)
        for key in ("order-1", same_shard("order-1")):
            assert (await order(mesh, other, key))[0] == 200
        stream = mesh.log.stream(f"claims-{shard('order-1')}")
        async with asyncio.timeout(10):
            while True:
                if len(stream.records) >= 3:
                    break
                await asyncio.sleep(0.02)
        await mesh.nodes[claiming].kill()
        stream.trim(1)
        async with asyncio.timeout(20):
            while True:
                again = await order(mesh, other, "order-1")
                if kind(again) == "claim_unavailable":
                    break
                assert kind(again) != "answered"
                await asyncio.sleep(0.05)
        assert int(again[1]["retry-after"]) > 3000
        assert runs(mesh, "order-1") == 1


async def test_a_record_that_cannot_be_read() -> None:
    """A newer version, or a broken writer, left a record of unknown form.

    It may hold claims. Skipping it could run a request twice, so the shard
    takes no new key until the record is gone; known keys are answered.
    """
    async with started(nodes=1) as mesh:
        done = await order(mesh, "node-0", "order-1")
        stream = mesh.log.stream(f"claims-{shard('order-1')}")
        stream.append(b"\xc1")
        refused = await order(mesh, "node-0", same_shard("order-1"))
        assert (kind(refused), run_state(refused)) == (
            "claim_unavailable",
            NOT_RUN,
        )
        again = await order(mesh, "node-0", "order-1")
        assert (again[0], again[2]) == (200, done[2])
        stream.trim(0)
        other = same_shard("order-1")
        assert (await resend(mesh, "node-0", other))[0] == 200
        assert runs(mesh, other) == 1
