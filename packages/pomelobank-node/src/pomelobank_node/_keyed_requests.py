"""Keyed requests that this node claims and runs, and their responses."""

import asyncio

import attrs

from pomelobank_core import ClaimAttempt, ClaimAttemptStep, StoredResponse
from pomelobank_node._requests import ForwardReply, ForwardRequest
from pomelobank_schema.generated.peer import Header

REPLAYED_HEADER = b"x-pomelobank-replayed"


@attrs.frozen
class KeyedRequest:
    """A request with an idempotency key, as received by the claiming node.

    Attributes:
        key: The claim key.
        digest: Digest that distinguishes different requests with the same key.
        request: The request.
        deadline_ms: The request's deadline on this node's clock.
    """

    key: bytes
    digest: bytes
    request: ForwardRequest
    deadline_ms: int


@attrs.define(eq=False)
class RunningRequest:
    """One attempt to claim and run a request, and its pending results.

    Attributes:
        keyed_request: The request that started the attempt.
        attempt: State of the attempt.
        step: The next step once the claim was read from the stream or the
            attempt was abandoned.
        reply: The reply to the request; None if another claim holds the key.
        waiters: Number of callers that wait for the reply.
    """

    keyed_request: KeyedRequest
    attempt: ClaimAttempt
    step: asyncio.Future[ClaimAttemptStep] = attrs.field(
        factory=lambda: asyncio.get_running_loop().create_future()
    )
    reply: asyncio.Future[ForwardReply | None] = attrs.field(
        factory=lambda: asyncio.get_running_loop().create_future()
    )
    waiters: int = 0

    def decide(self, step: ClaimAttemptStep) -> None:
        """Sets the next step, unless a step is already set."""
        if not self.step.done():
            self.step.set_result(step)

    def finish(self, reply: ForwardReply | None) -> None:
        """Sets the reply, unless a reply is already set."""
        if not self.reply.done():
            self.reply.set_result(reply)


def stored_response(reply: ForwardReply) -> StoredResponse:
    """Converts a target's reply to the form in which responses are stored."""
    headers = tuple((item.name, item.value) for item in reply.headers)
    return StoredResponse(reply.status, headers, reply.body)


def replayed_reply(response: StoredResponse) -> ForwardReply:
    """Returns a stored response as the reply to a resent request.

    A header marks the reply as replayed.
    """
    headers = [
        Header(name=name, value=value) for name, value in response.headers
    ]
    headers.append(Header(name=REPLAYED_HEADER, value=b"true"))
    return ForwardReply(
        status=response.status, headers=tuple(headers), body=response.body
    )
