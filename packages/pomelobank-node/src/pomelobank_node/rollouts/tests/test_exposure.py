"""Requests of one entry at proven and unproven revisions."""

import random

import attrs
import pytest

from pomelobank_core import ErrorKind
from pomelobank_node._forwarder import Forwarder
from pomelobank_node._requests import (
    ForwardReply,
    ForwardRequest,
    RequestError,
    error_reply,
)
from pomelobank_node.rollouts import Exposure
from pomelobank_node.tests.forwarding_support import new_forwarder
from pomelobank_schema.generated.records import RolloutRecord

SHARE = 0.1
TARGETS = 12
NEW_TARGETS = 4
OUTCOMES = (
    ErrorKind.OVERLOADED,
    ErrorKind.DRAINING,
    ErrorKind.UPSTREAM_LOST,
    ErrorKind.PEER_UNREACHABLE,
    ErrorKind.TARGET_REFUSED,
)


@attrs.define(eq=False)
class RandomPeers:
    """Peers whose targets fail a part of the requests in all ways.

    Attributes:
        failing_share: Part of the requests that fail.
        rng: Source of randomness.
        reached: Addresses of the targets that requests have reached.
    """

    failing_share: float = 0.4
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))
    reached: list[str] = attrs.field(factory=list)

    def to(self, address: str) -> "_Peer":
        return _Peer(self, address)


@attrs.frozen(eq=False)
class _Peer:
    peers: RandomPeers
    address: str

    async def send(self, frame: object) -> None:
        return

    async def forward(
        self, request: ForwardRequest, on_slot: object = None
    ) -> ForwardReply:
        peers = self.peers
        if peers.rng.random() < peers.failing_share:
            kind = peers.rng.choice(OUTCOMES)
            if kind in (ErrorKind.UPSTREAM_LOST, ErrorKind.TARGET_REFUSED):
                peers.reached.append(self.address)
            return error_reply(0, RequestError(kind, 1))
        if callable(on_slot) and not on_slot():
            return error_reply(0, RequestError(ErrorKind.CANCELLED))
        peers.reached.append(self.address)
        return ForwardReply(status=peers.rng.choice([200, 200, 500]))


def _forwarder(peers: RandomPeers) -> Forwarder:
    forwarder = new_forwarder(peers, lambda _: "a", targets=TARGETS)
    forwarder.exposure = Exposure(forwarder.clock, SHARE)
    for number in range(TARGETS):
        entry = forwarder.members.others[f"t{number}"]
        revision = "v2" if number < NEW_TARGETS else "v1"
        forwarder.members.merge(
            [attrs.evolve(entry, revision=revision, sequence=1)]
        )
    return forwarder


def _request(number: int) -> ForwardRequest:
    return ForwardRequest(
        upstream="stock",
        route="stock",
        method="GET",
        target=b"/stock/1",
        trace_id=f"r-{number}",
        remaining_ms=5000,
        traffic_class="interactive",
        idempotent=number % 3 > 0,
    )


def _reached_new(peers: RandomPeers) -> int:
    new = {f"127.0.0.1:{number + 1}" for number in range(NEW_TARGETS)}
    return sum(address in new for address in peers.reached)


async def _send(forwarder: Forwarder, count: int) -> None:
    for number in range(count):
        forwarder.clock.advance(20)
        try:
            await forwarder.forward(_request(number))
        except RequestError:
            # Some requests are rejected, because all targets are full.
            continue


@pytest.mark.parametrize("state", ["", "running"])
async def test_every_attempt_counts_towards_the_exposure(state: str) -> None:
    """Guards against retries, offers and late binding beside the limit."""
    peers = RandomPeers()
    forwarder = _forwarder(peers)
    if state:
        forwarder.exposure.revisions.rollouts.add(
            RolloutRecord(upstream="stock", revision="v2", state=state)
        )
    await _send(forwarder, 1500)
    exposed = _reached_new(peers)
    assert 0.02 * len(peers.reached) < exposed < SHARE * len(peers.reached)


async def test_reverted_revision_gets_nothing() -> None:
    """Guards against attempts at a revision that was found bad."""
    peers = RandomPeers()
    forwarder = _forwarder(peers)
    await _send(forwarder, 300)
    exposed = _reached_new(peers)
    forwarder.exposure.revisions.rollouts.add(
        RolloutRecord(upstream="stock", revision="v2", state="reverted")
    )
    await _send(forwarder, 300)
    assert _reached_new(peers) == exposed


async def test_failed_request_is_retried_at_a_proven_revision() -> None:
    """Guards against a caller whose every attempt meets the bad revision."""
    peers = RandomPeers(failing_share=0.0)
    forwarder = _forwarder(peers)
    await _send(forwarder, 60)
    new = {f"127.0.0.1:{number + 1}" for number in range(NEW_TARGETS)}
    peers.failing_share = 1.0
    forwarder.exposure.credits["stock"].saved = 8.0
    peers.reached.clear()
    for number in range(6):
        try:
            await forwarder.forward(_request(3 * number + 1))
        except RequestError:
            continue
    followers = {
        second
        for first, second in zip(peers.reached, peers.reached[1:], strict=False)
        if first in new and second in new
    }
    assert len(followers) <= 1


async def test_revisions_are_not_told_apart_without_a_share() -> None:
    peers = RandomPeers(failing_share=0.0)
    forwarder = _forwarder(peers)
    forwarder.exposure.share = 0.0
    await _send(forwarder, 600)
    assert _reached_new(peers) > 0.2 * len(peers.reached)
