"""Bodies that are sent to a peer once its target has a slot."""

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
    """Peers of which the first two decline, the third answers."""

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
    ("data_centre", "line_bytes_per_ms", "held_back"),
    [
        pytest.param("a", math.inf, False, id="own data centre"),
        pytest.param("a", 437.5, True, id="own data centre on a thin line"),
        pytest.param("b", math.inf, True, id="another data centre"),
    ],
)
async def test_body_is_held_back_until_a_target_has_a_slot(
    data_centre: str, line_bytes_per_ms: float, held_back: bool
) -> None:
    """Guards against bodies sent to one full target after the other."""
    peers = DecliningPeers()
    forwarder = _forwarder(peers, data_centre)
    forwarder.uplink_bytes_per_ms = line_bytes_per_ms
    reply = await forwarder.forward(REQUEST)
    assert reply.status == 200
    for sent in peers.sent:
        assert (sent.body == b"") is held_back
        assert (await read_full_request(sent)).body == BODY


async def test_held_back_request_keeps_its_fingerprint() -> None:
    """Guards against a crashing request that owners take for another one."""
    peers = DecliningPeers()
    await _forwarder(peers).forward(REQUEST)
    assert request_fingerprint(peers.sent[0]) == request_fingerprint(REQUEST)


async def test_body_that_breaks_off_does_not_reach_the_target() -> None:
    """Guards against an order of which the end is missing."""
    rest = BodyBuffer(lambda _: None, lambda: None)
    request = with_rest(attrs.evolve(REQUEST, body=b""), rest)
    rest.put(BODY[:100])
    rest.fail(ErrorKind.BODY_INCOMPLETE)
    with pytest.raises(RequestError):
        await asyncio.wait_for(read_full_request(request), 1)


async def test_held_back_body_is_read_once_for_each_try() -> None:
    """Guards against a second try that sends the body twice or not at all."""
    body = DeferredBody(BODY)
    assert [await body.read(), await body.read()] == [BODY, b""]
