"""Bodies that are read in parts."""

import pytest

from pomelobank_core import ErrorKind
from pomelobank_node._bodies import (
    BodyBuffer,
    StreamedReply,
    can_resend,
    read_full_reply,
    rest_of,
    with_end_callback,
    with_rest,
)
from pomelobank_node._requests import ForwardRequest, RequestError


def new_buffer(*parts: bytes) -> BodyBuffer:
    body = BodyBuffer(lambda _: None, lambda: None)
    for part in parts:
        body.put(part)
    body.end()
    return body


async def test_body_that_was_read_in_part_is_not_sent_again() -> None:
    """Guards against a partial upload that is stored as the whole document.

    A target is lost in the middle of an idempotent upload. Another target would
    receive only the rest of the body.
    """
    rest = new_buffer(b"second")
    request = with_rest(ForwardRequest(body=b"first"), rest)
    assert can_resend(request)
    await rest.read()
    assert not can_resend(request)


async def test_size_of_a_full_reply_is_limited() -> None:
    reply = StreamedReply(status=200, body=b"ab", rest=new_buffer(b"cd", b"ef"))
    assert (await read_full_reply(reply, 6)).body == b"abcdef"
    reply = StreamedReply(status=200, body=b"ab", rest=new_buffer(b"cd", b"ef"))
    with pytest.raises(RequestError) as caught:
        await read_full_reply(reply, 5)
    assert caught.value.kind is ErrorKind.ANSWER_TOO_LARGE


async def test_slot_is_held_until_the_body_has_been_read() -> None:
    """Guards against a planned stop that truncates an archive.

    The node still sends the body long after the head of the response. If the
    slot were released at the head, the stop would not wait for the body.
    """
    calls: list[str] = []
    reply = with_end_callback(
        StreamedReply(status=200, rest=new_buffer(b"a")),
        lambda: calls.append("end"),
    )
    rest = rest_of(reply)
    assert rest is not None
    assert await rest.read() == b"a"
    assert calls == []
    rest.close()
    rest.close()
    assert calls == ["end"]
