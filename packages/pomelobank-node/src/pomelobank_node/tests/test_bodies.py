"""Bodies in parts."""

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


def buffer(*parts: bytes) -> BodyBuffer:
    made = BodyBuffer(lambda _: None, lambda: None)
    for part in parts:
        made.put(part)
    made.end()
    return made


async def test_body_that_was_read_in_part_is_not_sent_again() -> None:
    """A target is lost in the middle of an idempotent upload.

    Sent to another one, the rest alone would be stored as the whole document.
    """
    rest = buffer(b"second")
    request = with_rest(ForwardRequest(body=b"first"), rest)
    assert can_resend(request)
    await rest.read()
    assert not can_resend(request)


async def test_whole_reply_has_a_bound() -> None:
    reply = StreamedReply(status=200, body=b"ab", rest=buffer(b"cd", b"ef"))
    assert (await read_full_reply(reply, 6)).body == b"abcdef"
    reply = StreamedReply(status=200, body=b"ab", rest=buffer(b"cd", b"ef"))
    with pytest.raises(RequestError) as caught:
        await read_full_reply(reply, 5)
    assert caught.value.kind is ErrorKind.ANSWER_TOO_LARGE


async def test_slot_is_held_until_the_body_has_been_read() -> None:
    """An archive is still on its way when its head has long been sent.

    A slot given away at the head lets a planned stop cut the archive off.
    """
    ends: list[str] = []
    reply = with_end_callback(
        StreamedReply(status=200, rest=buffer(b"a")),
        lambda: ends.append("end"),
    )
    rest = rest_of(reply)
    assert rest is not None
    assert await rest.read() == b"a"
    assert ends == []
    rest.close()
    rest.close()
    assert ends == ["end"]
