"""Late-bound requests, which wait at several targets."""

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
    """Peers that decline offers and queue late-bound requests.

    Attributes:
        free: Addresses of the targets whose slot becomes free.
        rejecting: Whether late-bound requests are rejected.
        running: Addresses of the targets that run a request.
        waiting: Addresses of the targets where a request waits.
        lost: Whether a target that runs a request is lost.
        all_queued: Set once a request waits at the maximum number of targets.
        queued: Set when a request begins to wait.
        retried_at: Addresses that were sent a request after a target was lost.
    """

    free: asyncio.Queue[str] = attrs.field(factory=asyncio.Queue)
    rejecting: bool = False
    running: list[str] = attrs.field(factory=list)
    waiting: dict[str, Callable[[], bool]] = attrs.field(factory=dict)
    lost: bool = False
    all_queued: asyncio.Event = attrs.field(factory=asyncio.Event)
    queued: asyncio.Event = attrs.field(factory=asyncio.Event)
    retried_at: list[str] = attrs.field(factory=list)

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
            peers.retried_at.append(self.address)
        if on_slot is None or peers.rejecting:
            return error_reply(0, RequestError(ErrorKind.OVERLOADED, 80))
        peers.waiting[self.address] = on_slot
        peers.queued.set()
        if len(peers.waiting) == LATE_BINDING_SLOTS // SLOTS:
            peers.all_queued.set()
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


async def _wait_until_queued(peers: QueueingPeers) -> list[str]:
    await peers.all_queued.wait()
    return list(peers.waiting)


async def test_first_target_with_a_slot_runs_the_request() -> None:
    """Guards against a wait at one full target while another has a slot."""
    peers = QueueingPeers()
    task = asyncio.create_task(_forwarder(peers).forward(_request()))
    addresses = await _wait_until_queued(peers)
    peers.free.put_nowait(addresses[0])
    assert (await task).status == 200
    assert peers.running == [addresses[0]]
    assert not peers.waiting


async def test_targets_of_the_local_data_centre_come_first() -> None:
    """Guards against queueing in a remote data centre before the local one."""
    peers = QueueingPeers()
    task = asyncio.create_task(_forwarder(peers).forward(_request()))
    addresses = await _wait_until_queued(peers)
    local = {"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}
    assert local <= set(addresses)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert not peers.waiting


async def test_request_that_every_target_rejects_is_rejected_at_once() -> None:
    """Guards against further rounds of offers once all queues have rejected."""
    peers = QueueingPeers(rejecting=True)
    reply = await _forwarder(peers).forward(_request())
    assert reply.error == ErrorKind.OVERLOADED.value
    assert reply.retry_after_ms == 80
    assert not peers.running


async def test_request_whose_target_is_lost_is_retried_once() -> None:
    """Guards against queue places that use up the retry budget.

    A request waits at several targets, and the target that runs the request is
    lost. Only the retry after the loss may use the budget.
    """
    peers = QueueingPeers(lost=True)
    forwarder = _forwarder(peers)
    task = asyncio.create_task(forwarder.forward(_request()))
    peers.free.put_nowait((await _wait_until_queued(peers))[0])
    reply = await task
    assert reply.error == ErrorKind.UPSTREAM_LOST.value
    assert forwarder.retries.budgets["stock"].spent == 1


async def test_queue_places_do_not_count_as_attempts() -> None:
    """Guards against queue places that count as attempts.

    A request waits at all targets of its upstream, and the target that runs
    the request is lost. If each queue place counted, no target would be left
    for the retry.
    """
    peers = QueueingPeers(lost=True)
    forwarder = _forwarder(peers, targets=3)
    task = asyncio.create_task(forwarder.forward(_request(max_attempts=2)))
    while len(peers.waiting) < 3:
        await peers.queued.wait()
        peers.queued.clear()
    peers.free.put_nowait(next(iter(peers.waiting)))
    reply = await task
    assert reply.error == ErrorKind.UPSTREAM_LOST.value
    assert peers.retried_at


async def test_order_waits_at_one_target_only() -> None:
    """Guards against a non-idempotent request that waits at several targets."""
    peers = QueueingPeers()
    request = attrs.evolve(_request(), idempotent=False)
    reply = await _forwarder(peers).forward(request)
    assert reply.error == ErrorKind.OVERLOADED.value
    assert not peers.waiting


async def test_targets_with_many_slots_are_waited_for_one_at_a_time() -> None:
    """Guards against queues filled by requests that run on other targets.

    Of the twelve slots of a target, one becomes free soon, so a request need
    not wait at several targets at once.
    """
    peers = QueueingPeers()
    reply = await _forwarder(peers, slots=12).forward(_request())
    assert reply.error == ErrorKind.OVERLOADED.value
    assert not peers.waiting
