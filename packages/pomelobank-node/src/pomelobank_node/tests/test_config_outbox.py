"""The outbox of one peer: bounded memory and merged actions."""

import asyncio

import pytest

from pomelobank_core import ErrorKind, PullRecords, PushRecords, SendDigest
from pomelobank_node._config_outbox import DistributionAction, Outbox
from pomelobank_node._requests import RequestError
from pomelobank_schema import SchemaError, SchemaErrorKind


async def test_a_slow_peer_queues_one_action_of_each_type() -> None:
    """A peer reads no bytes for a while, and changes continue.

    Without merging, each change would queue another frame for the peer, and the
    node would run out of memory.
    """
    sent: list[DistributionAction] = []
    peer_reads = asyncio.Event()

    async def send(_: str, action: DistributionAction) -> None:
        await peer_reads.wait()
        sent.append(action)

    outbox = Outbox("p:1", send)
    outbox.put(SendDigest("p:1", heartbeat=True))
    await asyncio.sleep(0)
    for version in range(9, 3, -1):
        outbox.put(PushRecords("p:1", version))
        outbox.put(SendDigest("p:1", heartbeat=False))
        outbox.put(PullRecords("p:1", version, 0))
    assert len(outbox.pending) == 3
    peer_reads.set()
    assert outbox.task is not None
    await outbox.task
    assert sent[1] == PushRecords("p:1", 4)
    assert len(sent) == 4


@pytest.mark.parametrize(
    "error",
    [
        pytest.param(
            RequestError(ErrorKind.PEER_UNREACHABLE), id="unreachable"
        ),
        pytest.param(
            SchemaError(SchemaErrorKind.MALFORMED, "", "x"), id="bad-address"
        ),
        pytest.param(ConnectionResetError(), id="reset"),
    ],
)
async def test_send_errors_are_counted_and_do_not_end_the_task(
    error: Exception,
) -> None:
    """Each send to the peer fails.

    If the error ended the sending task, later actions would never be sent.
    """

    async def send(_: str, __: DistributionAction) -> None:
        raise error

    outbox = Outbox("p:1", send)
    outbox.put(SendDigest("p:1", heartbeat=True))
    outbox.put(PushRecords("p:1", 0))
    assert outbox.task is not None
    await outbox.task
    assert (outbox.failures, outbox.pending) == (2, {})
