"""Slots that stalled bodies lose."""

import contextlib

import pytest

from pomelobank_core import ErrorKind, ManualClock
from pomelobank_node._bodies import BodyBuffer, BodyWithEndCallback
from pomelobank_node._requests import RequestError
from pomelobank_node.buffering import BufferManager, SlotBodies


async def test_complete_body_that_loses_its_slot_does_not_look_complete() -> (
    None
):
    """Guards against a response that is cut short without an error."""
    clock = ManualClock(1_000_000)
    bodies = SlotBodies(BufferManager(clock=clock))
    buffer = BodyBuffer(lambda _: None, lambda: None)
    buffer.put(b"first")
    released: list[bool] = []
    response = bodies.download(
        BodyWithEndCallback(buffer, lambda: released.append(True))
    )
    assert await response.read() == b"first"
    buffer.put(b"second")
    buffer.end()
    assert not bodies.end_stalled()
    clock.advance(10_000)
    assert bodies.end_stalled()
    assert released == [True]
    with pytest.raises(RequestError) as raised:
        await response.read()
    assert raised.value.kind is ErrorKind.ANSWER_TRUNCATED
    response.close()
    assert (released, bodies.running) == ([True], set())


def test_upload_is_forgotten_when_its_request_ends_before_it() -> None:
    """Guards against bodies that stay in memory after their request."""
    bodies = SlotBodies(BufferManager(clock=ManualClock()))
    buffer = BodyBuffer(lambda _: None, lambda: None)
    with contextlib.suppress(RequestError), bodies.uploading(buffer):
        assert len(bodies.running) == 1
        raise RequestError(ErrorKind.UPSTREAM_UNREACHABLE)
    assert bodies.running == set()
