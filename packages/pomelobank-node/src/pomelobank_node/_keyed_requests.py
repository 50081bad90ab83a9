"""A keyed request that this node claims and runs."""

import asyncio

import attrs

from pomelobank_core import ClaimAttempt, ClaimAttemptStep, StoredResponse
from pomelobank_node._requests import ForwardReply, ForwardRequest
from pomelobank_schema.generated.peer import Header

REPLAYED_HEADER = b"x-pomelobank-replayed"


@attrs.frozen
class KeyedRequest:
    """A request with an idempotency key, as the claiming node got it.

    Attributes:
        key: The claim key.
        digest: Digest that tells it from other requests under the key.
        request: The request.
        deadline_ms: When it must have ended, on this node's clock.
    """

    key: bytes
    digest: bytes
    request: ForwardRequest
    deadline_ms: int


@attrs.define(eq=False)
class RunningRequest:
    """One attempt and everybody who waits for it.

    Attributes:
        keyed: The request that began it.
        attempt: The attempt.
        step: What the stream decided.
        reply: How it ended; None where another claim holds the key.
        waiters: Callers who wait for the reply.
    """

    keyed: KeyedRequest
    attempt: ClaimAttempt
    step: asyncio.Future[ClaimAttemptStep] = attrs.field(
        factory=lambda: asyncio.get_running_loop().create_future()
    )
    reply: asyncio.Future[ForwardReply | None] = attrs.field(
        factory=lambda: asyncio.get_running_loop().create_future()
    )
    waiters: int = 0

    def decide(self, step: ClaimAttemptStep) -> None:
        """Sets what the stream decided, once."""
        if not self.step.done():
            self.step.set_result(step)

    def finish(self, reply: ForwardReply | None) -> None:
        """Sets how it ended, once."""
        if not self.reply.done():
            self.reply.set_result(reply)


def stored_response(reply: ForwardReply) -> StoredResponse:
    """Returns a target's answer in the form in which it is kept."""
    headers = tuple((item.name, item.value) for item in reply.headers)
    return StoredResponse(reply.status, headers, reply.body)


def replayed_reply(answer: StoredResponse) -> ForwardReply:
    """Returns the reply to a caller that sent its key again."""
    headers = [Header(name=name, value=value) for name, value in answer.headers]
    headers.append(Header(name=REPLAYED_HEADER, value=b"true"))
    return ForwardReply(
        status=answer.status, headers=tuple(headers), body=answer.body
    )
