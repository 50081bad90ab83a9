"""Keyed requests while nodes die or freeze and the log fails."""

import asyncio
import json
import signal

import pytest

from pomelobank_testing import TestMesh
from pomelobank_testing._harness import EmbeddedTarget
from pomelobank_testing.tests.claims_support import (
    SERVICE,
    Response,
    claimants,
    error_kind,
    other_key_of_shard,
    run_count,
    send_order,
    shard_of_key,
    started_mesh,
    wait_running,
)

NOT_RUN = "not-run"


def run_state(response: Response) -> str:
    return response[1].get("x-pomelobank-run", "ran")


async def resend_while_not_run(mesh: TestMesh, node: str, key: str) -> Response:
    """Repeats an order until the response no longer says `not-run`."""
    async with asyncio.timeout(15):
        while True:
            response = await send_order(mesh, node, key)
            if run_state(response) != NOT_RUN:
                return response
            await asyncio.sleep(0.05)


@pytest.mark.parametrize("killed_role", ["claiming node", "target's node"])
async def test_a_node_dies_while_the_request_runs(killed_role: str) -> None:
    """The node that claimed a key, or the running target's node, is killed.

    The response is lost. When the caller repeats the order, the order must not
    run a second time, and no response may say that the order did not run.
    """
    async with started_mesh() as mesh:
        for number in range(40):
            key = f"order-{number}"
            claiming, entry, _ = claimants(key)
            first = asyncio.create_task(
                send_order(mesh, entry, key, x_work_ms="1500")
            )
            target = await wait_running(mesh, key)
            if target not in (claiming, entry):
                break
            await first
        killed = claiming if killed_role == "claiming node" else target
        await mesh.nodes[killed].kill()
        assert run_state(await first) == "unknown"
        survivors = [name for name in mesh.nodes if name != killed]
        for node in survivors:
            repeated = await send_order(mesh, node, key)
            assert error_kind(repeated) in ("claim_unknown", "key_in_use")
        assert run_count(mesh, key) == 1


async def test_a_claiming_node_freezes_before_it_reads_a_request() -> None:
    """A claiming node freezes before it reads a request, and resumes later.

    The order stays unread in the node's socket. Meanwhile the caller gets an
    `unknown` response and repeats the order, which then runs through another
    node. The resumed node must not run the first copy as well.
    """
    async with started_mesh() as mesh:
        key = "order-1"
        frozen, entry, other = claimants(key)
        await send_order(mesh, entry, key + "-warm")
        mesh.nodes[frozen].signal(signal.SIGSTOP)
        first = await send_order(
            mesh, entry, key, x_pomelobank_timeout_ms="300"
        )
        assert run_state(first) == "unknown"
        # Both nodes must have seen the freeze, since either could otherwise
        # route the order to the frozen node.
        for node in (entry, other):
            await _wait_not_ready(mesh, node, frozen)
        repeated = await resend_while_not_run(mesh, other, key)
        mesh.nodes[frozen].signal(signal.SIGCONT)
        assert repeated[0] == 200
        await mesh.wait_members(3)
        after_wake = await send_order(mesh, frozen, key)
        assert (after_wake[0], after_wake[2]) == (200, repeated[2])
        assert run_count(mesh, key) == 1


async def test_a_claiming_node_freezes_while_the_request_runs() -> None:
    """The claiming node freezes past every timeout while its request runs.

    The target responds, but no node receives the response. The order must not
    run again when the caller repeats the order, neither during the freeze nor
    after the claiming node has resumed and its stored response is found.
    """
    async with started_mesh() as mesh:
        key = "order-2"
        frozen, entry, other = claimants(key)
        first = asyncio.create_task(
            send_order(
                mesh,
                entry,
                key,
                x_work_ms="700",
                x_pomelobank_timeout_ms="1500",
            )
        )
        await wait_running(mesh, key)
        mesh.nodes[frozen].signal(signal.SIGSTOP)
        assert run_state(await first) == "unknown"
        await _wait_not_ready(mesh, other, frozen)
        for node in (entry, other):
            repeated = await send_order(mesh, node, key)
            assert run_state(repeated) == "unknown"
        mesh.nodes[frozen].signal(signal.SIGCONT)
        await mesh.wait_members(3)
        await send_order(mesh, frozen, key)
        assert run_count(mesh, key) == 1


async def _wait_not_ready(mesh: TestMesh, node: str, unready_node: str) -> None:
    async with asyncio.timeout(30):
        while True:
            _, output = await mesh.command(node, "status", "--output", "json")
            members = json.loads(output)["members"]
            states = {item["node"]: item["state"] for item in members}
            if states.get(unready_node) != "ready":
                return
            await asyncio.sleep(0.05)


async def test_the_log_is_down() -> None:
    """The log fails after one key was claimed and before others are.

    The nodes must refuse new orders at once, as `not-run` and with a
    `retry-after` header,
    still return the stored response of the first key, and serve requests
    without a key.
    """
    async with started_mesh(nodes=2) as mesh:
        first_response = await send_order(mesh, "node-0", "before")
        assert first_response[0] == 200
        mesh.log.faults.outage = True
        # A node has already read the shard of the first key; most other keys
        # fall into shards that no node has read.
        keys = [
            other_key_of_shard("before"),
            *(f"order-{n}" for n in range(12)),
        ]
        refused = await asyncio.gather(
            *(send_order(mesh, "node-1", key) for key in keys)
        )
        assert {error_kind(item) for item in refused} == {"claim_unavailable"}
        assert {run_state(item) for item in refused} == {NOT_RUN}
        assert all(int(item[1]["retry-after"]) > 0 for item in refused)
        assert sum(run_count(mesh, key) for key in keys) == 0
        stored = await send_order(mesh, "node-1", "before")
        assert (stored[0], stored[2]) == (200, first_response[2])
        code, _, _ = await mesh.request("node-0", SERVICE, "/reorders/1")
        assert code == 200
        mesh.log.faults.outage = False
        for key in keys:
            response = await resend_while_not_run(mesh, "node-0", key)
            assert response[0] == 200
            assert run_count(mesh, key) == 1


async def test_the_response_to_an_append_is_lost() -> None:
    """The log appends a claim, but the log's response does not reach the node.

    A node that treats the claim as lost would refuse the order until the key
    expires. A node that claims the key again might run the order twice.
    """
    async with started_mesh(nodes=2) as mesh:
        mesh.log.faults.lose_answers = 3
        responses = await asyncio.gather(
            *(send_order(mesh, node, "order-1") for node in mesh.nodes)
        )
        assert {response[0] for response in responses} == {200}
        assert len({response[2] for response in responses}) == 1
        assert run_count(mesh, "order-1") == 1


async def test_appends_take_effect_after_the_claim_timeout() -> None:
    """Appends take effect after the node's claim timeout has passed.

    The node has refused the order as `not-run`. The late claim must not start
    the order, and must not block the order when the caller repeats it.
    """
    async with started_mesh(nodes=2, claims={"claim_timeout_ms": 200}) as mesh:
        await send_order(mesh, "node-0", other_key_of_shard("order-1"))
        mesh.log.faults.delay_ms = 600
        refused = await send_order(mesh, "node-0", "order-1")
        assert error_kind(refused) == "claim_unavailable"
        assert run_count(mesh, "order-1") == 0
        mesh.log.faults.delay_ms = 0
        assert (await resend_while_not_run(mesh, "node-1", "order-1"))[0] == 200
        assert run_count(mesh, "order-1") == 1


async def test_a_refused_request_frees_its_key() -> None:
    """A target refuses the connection after the node has claimed the key.

    The `not-run` response tells the caller to retry. If the node did not
    release the claim, the retry would fail because the key is in use.
    """
    async with started_mesh(nodes=1) as mesh:
        target = mesh.targets["node-0"]
        await target.stop()
        refused = await send_order(mesh, "node-0", "order-1")
        assert run_state(refused) == NOT_RUN
        assert run_count(mesh, "order-1") == 0
        mesh.targets["node-0"] = await EmbeddedTarget.start(target.service)
        admin = mesh.nodes["node-0"].addresses["admin"]
        mesh.targets["node-0"].announce_to(admin)
        assert (await resend_while_not_run(mesh, "node-0", "order-1"))[0] == 200
        assert run_count(mesh, "order-1") == 1


async def test_the_log_trims_claims_within_their_window() -> None:
    """The log trims a claim before the window of its key has passed.

    The claiming node dies, and its successor cannot read the claim. The key
    looks new to the successor, which would run the order a second time.
    """
    async with started_mesh(nodes=2) as mesh:
        claiming, other = claimants("order-1", 2)
        for key in ("order-1", other_key_of_shard("order-1")):
            assert (await send_order(mesh, other, key))[0] == 200
        stream = mesh.log.stream(f"claims-{shard_of_key('order-1')}")
        async with asyncio.timeout(10):
            while True:
                if len(stream.records) >= 3:
                    break
                await asyncio.sleep(0.02)
        await mesh.nodes[claiming].kill()
        stream.trim(1)
        async with asyncio.timeout(20):
            while True:
                repeated = await send_order(mesh, other, "order-1")
                if error_kind(repeated) == "claim_unavailable":
                    break
                assert error_kind(repeated) != "answered"
                await asyncio.sleep(0.05)
        assert int(repeated[1]["retry-after"]) > 3000
        assert run_count(mesh, "order-1") == 1


async def test_a_record_that_cannot_be_read() -> None:
    """A newer version or a faulty writer appended an undecodable record.

    The record may hold claims, so a node that skipped it could run a request
    twice. The shard must therefore reject new keys until the log has trimmed
    the record. Keys with a stored response are still answered.
    """
    async with started_mesh(nodes=1) as mesh:
        first_response = await send_order(mesh, "node-0", "order-1")
        stream = mesh.log.stream(f"claims-{shard_of_key('order-1')}")
        stream.append(b"\xc1")
        refused = await send_order(
            mesh, "node-0", other_key_of_shard("order-1")
        )
        assert (error_kind(refused), run_state(refused)) == (
            "claim_unavailable",
            NOT_RUN,
        )
        repeated = await send_order(mesh, "node-0", "order-1")
        assert (repeated[0], repeated[2]) == (200, first_response[2])
        stream.trim(0)
        other = other_key_of_shard("order-1")
        assert (await resend_while_not_run(mesh, "node-0", other))[0] == 200
        assert run_count(mesh, other) == 1
