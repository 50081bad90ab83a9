"""Requests that wait at several targets."""

import asyncio
from collections.abc import Callable

import attrs

from pomelobank_core import ErrorKind
from pomelobank_node._forwarder import Forwarder
from pomelobank_node._late_binding import LATE_BINDING_SLOTS
from pomelobank_node._requests import (
    ForwardReply,
    ForwardRequest,
    RequestError,
    error_reply,
)
from pomelobank_node.tests.forwarding_support import new_forwarder

SLOTS = 3


@attrs.define(eq=False)
class QueueingPeers:
    """Peers that decline offers and queue what binds late.

    Attributes:
        free: Addresses of the targets whose slot becomes free.
        refusing: Whether requests that bind late are refused.
        running: Addresses of the targets that run a request.
        waiting: Addresses of the targets where one waits.
        lost: Whether a target that runs a request is lost.
        all_wait: Set once a request waits at as many targets as it may.
        joined: Set when a request begins to wait.
        asked_again: Addresses asked after a target was lost.
    """

    free: asyncio.Queue[str] = attrs.field(factory=asyncio.Queue)
    refusing: bool = False
    running: list[str] = attrs.field(factory=list)
    waiting: dict[str, Callable[[], bool]] = attrs.field(factory=dict)
    lost: bool = False
    all_wait: asyncio.Event = attrs.field(factory=asyncio.Event)
    joined: asyncio.Event = attrs.field(factory=asyncio.Event)
    asked_again: list[str] = attrs.field(factory=list)

    def to(self, address: str) -> "_Peer":
        return _Peer(self, address)


@attrs.frozen(eq=False)
class _Peer:
    peers: QueueingPeers
    address: str

    async def send(self, frame: object) -> None:
        return

    async def forward(
        self,
        request: ForwardRequest,
        on_slot: Callable[[], bool] | None = None,
    ) -> ForwardReply:
        peers = self.peers
        if peers.running:
            peers.asked_again.append(self.address)
        if on_slot is None or peers.refusing:
            return error_reply(0, RequestError(ErrorKind.OVERLOADED, 80))
        peers.waiting[self.address] = on_slot
        peers.joined.set()
        if len(peers.waiting) == LATE_BINDING_SLOTS // SLOTS:
            peers.all_wait.set()
        try:
            while await peers.free.get() != self.address:
                pass
            if not on_slot():
                return error_reply(0, RequestError(ErrorKind.CANCELLED))
        finally:
            del peers.waiting[self.address]
        peers.running.append(self.address)
        if peers.lost:
            return error_reply(0, RequestError(ErrorKind.UPSTREAM_LOST))
        return ForwardReply(status=200)


def _forwarder(
    peers: QueueingPeers, targets: int = 8, slots: int = SLOTS
) -> Forwarder:
    return new_forwarder(
        peers, lambda number: "a" if number < 3 else "b", targets, slots
    )


def _request(**changes: object) -> ForwardRequest:
    return ForwardRequest(
        upstream="stock",
        route="stock",
        method="GET",
        target=b"/stock/1",
        remaining_ms=5000,
        traffic_class="interactive",
        idempotent=True,
        **changes,
    )


async def _waiting_at(peers: QueueingPeers) -> list[str]:
    await peers.all_wait.wait()
    return list(peers.waiting)


async def test_first_target_with_a_slot_runs_the_request() -> None:
    """Guards against a wait at one full target while another has a slot."""
    peers = QueueingPeers()
    task = asyncio.create_task(_forwarder(peers).forward(_request()))
    addresses = await _waiting_at(peers)
    peers.free.put_nowait(addresses[0])
    assert (await task).status == 200
    assert peers.running == [addresses[0]]
    assert not peers.waiting


async def test_targets_of_the_own_data_centre_come_first() -> None:
    """Guards against queues that are joined afar while near ones are left."""
    peers = QueueingPeers()
    task = asyncio.create_task(_forwarder(peers).forward(_request()))
    addresses = await _waiting_at(peers)
    near = {"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}
    assert near <= set(addresses)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert not peers.waiting


async def test_request_that_every_target_refuses_is_refused_at_once() -> None:
    """Guards against more rounds of offers once all queues have refused."""
    peers = QueueingPeers(refusing=True)
    reply = await _forwarder(peers).forward(_request())
    assert reply.error == ErrorKind.OVERLOADED.value
    assert reply.retry_after_ms == 80
    assert not peers.running


async def test_request_whose_target_is_lost_is_tried_once_more() -> None:
    """Guards against places in queues that count as tries."""
    peers = QueueingPeers(lost=True)
    forwarder = _forwarder(peers)
    task = asyncio.create_task(forwarder.forward(_request()))
    peers.free.put_nowait((await _waiting_at(peers))[0])
    reply = await task
    assert reply.error == ErrorKind.UPSTREAM_LOST.value
    assert forwarder.retries.budgets["stock"].spent == 1


async def test_places_in_queues_are_no_tries() -> None:
    """Guards against a request that no target is left for after one loss."""
    peers = QueueingPeers(lost=True)
    forwarder = _forwarder(peers, targets=3)
    task = asyncio.create_task(forwarder.forward(_request(max_attempts=2)))
    while len(peers.waiting) < 3:
        await peers.joined.wait()
        peers.joined.clear()
    peers.free.put_nowait(next(iter(peers.waiting)))
    reply = await task
    assert reply.error == ErrorKind.UPSTREAM_LOST.value
    assert peers.asked_again


async def test_order_waits_at_one_target_only() -> None:
    """Guards against a request that may run once being left at several."""
    peers = QueueingPeers()
    request = attrs.evolve(_request(), idempotent=False)
    reply = await _forwarder(peers).forward(request)
    assert reply.error == ErrorKind.OVERLOADED.value
    assert not peers.waiting


async def test_targets_with_many_slots_are_waited_for_one_at_a_time() -> None:
    """Guards against queues that fill with requests that run elsewhere."""
    peers = QueueingPeers()
    reply = await _forwarder(peers, slots=12).forward(_request())
    assert reply.error == ErrorKind.OVERLOADED.value
    assert not peers.waiting
