"""Deferred bodies, which are sent to a peer once its target has a slot."""

import asyncio
import math

import attrs
import pytest

from pomelobank_core import ErrorKind
from pomelobank_node._bodies import (
    BodyBuffer,
    DeferredBody,
    read_full_request,
    with_rest,
)
from pomelobank_node._crash_reports import request_fingerprint
from pomelobank_node._forwarder import Forwarder
from pomelobank_node._requests import (
    ForwardReply,
    ForwardRequest,
    RequestError,
    error_reply,
)
from pomelobank_node.tests.forwarding_support import new_forwarder

BODY = b"carton " * 600
REQUEST = ForwardRequest(
    upstream="stock",
    route="reorder",
    method="POST",
    target=b"/reorder/1",
    remaining_ms=5000,
    traffic_class="interactive",
    body=BODY,
)


@attrs.define(eq=False)
class DecliningPeers:
    """Peers that decline the first two requests and answer the third."""

    sent: list[ForwardRequest] = attrs.field(factory=list)

    def to(self, address: str) -> "DecliningPeers":
        return self

    async def send(self, frame: object) -> None:
        return

    async def forward(self, request: ForwardRequest) -> ForwardReply:
        self.sent.append(request)
        if len(self.sent) < 3:
            return error_reply(0, RequestError(ErrorKind.OVERLOADED, 80))
        return ForwardReply(status=200)


def _forwarder(peers: DecliningPeers, data_centre: str = "b") -> Forwarder:
    return new_forwarder(peers, lambda _: data_centre)


@pytest.mark.parametrize(
    ("data_centre", "uplink_bytes_per_ms", "deferred"),
    [
        pytest.param("a", math.inf, False, id="own data centre"),
        pytest.param("a", 437.5, True, id="own data centre on a slow uplink"),
        pytest.param("b", math.inf, True, id="another data centre"),
    ],
)
async def test_body_is_deferred_until_a_target_has_a_slot(
    data_centre: str, uplink_bytes_per_ms: float, deferred: bool
) -> None:
    """Guards against a body that is sent to several full targets in turn."""
    peers = DecliningPeers()
    forwarder = _forwarder(peers, data_centre)
    forwarder.uplink_bytes_per_ms = uplink_bytes_per_ms
    reply = await forwarder.forward(REQUEST)
    assert reply.status == 200
    for sent in peers.sent:
        assert (sent.body == b"") is deferred
        assert (await read_full_request(sent)).body == BODY


async def test_request_with_a_deferred_body_keeps_its_fingerprint() -> None:
    """Guards against a crashing request that owners cannot recognise.

    The owner receives the head without the body, so a fingerprint of that head
    would differ from the fingerprint of the whole request.
    """
    peers = DecliningPeers()
    await _forwarder(peers).forward(REQUEST)
    assert request_fingerprint(peers.sent[0]) == request_fingerprint(REQUEST)


async def test_incomplete_body_does_not_reach_the_target() -> None:
    """Guards against a truncated order that reaches the target.

    The transfer of the body fails after the first part has arrived.
    """
    rest = BodyBuffer(lambda _: None, lambda: None)
    request = with_rest(attrs.evolve(REQUEST, body=b""), rest)
    rest.put(BODY[:100])
    rest.fail(ErrorKind.BODY_INCOMPLETE)
    with pytest.raises(RequestError):
        await asyncio.wait_for(read_full_request(request), 1)


async def test_deferred_body_is_read_once_for_each_attempt() -> None:
    """Guards against an attempt that sends the body twice or not at all."""
    body = DeferredBody(BODY)
    assert [await body.read(), await body.read()] == [BODY, b""]
