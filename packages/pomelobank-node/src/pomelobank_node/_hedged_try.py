"""One try of a request that is sent a second time where it is overdue."""

import asyncio
from collections.abc import Callable, Coroutine

import attrs

from pomelobank_node._bodies import rest_of
from pomelobank_node._journey import Journey, is_answer
from pomelobank_node._requests import ForwardReply

_MS_PER_S = 1000
Try = Coroutine[None, None, ForwardReply]


@attrs.define(eq=False)
class HedgedTry:
    """Waits for the first good reply of one or two tries.

    Attributes:
        journey: The request.
        second: Begins the second try; None where there is no reason for one.
        loop: The event loop.
        settled: The reply, once it is known.
        tries: Those under way.
        first: The first one.
        won: Whether the second one gave the reply.
    """

    journey: Journey
    second: Callable[[], Try | None]
    loop: asyncio.AbstractEventLoop
    settled: asyncio.Future[ForwardReply] = attrs.field(init=False)
    tries: set[asyncio.Task[ForwardReply]] = attrs.field(factory=set)
    first: asyncio.Task[ForwardReply] | None = None
    won: bool = False

    async def run(self, first: Try, after_ms: float) -> ForwardReply:
        """Returns the first good reply, or the last one.

        Args:
            first: The first try.
            after_ms: Time after which it is overdue.
        """
        self.settled = self.loop.create_future()
        self.first = self._begin(first)
        overdue = self.loop.call_later(after_ms / _MS_PER_S, self._overdue)
        try:
            return await self.settled
        finally:
            overdue.cancel()
            for item in self.tries:
                item.cancel()

    def _begin(self, coroutine: Try) -> asyncio.Task[ForwardReply]:
        task = self.loop.create_task(coroutine)
        self.tries.add(task)
        task.add_done_callback(self._ended)
        return task

    def _overdue(self) -> None:
        other = self.second()
        if other is not None:
            self._begin(other)

    def _ended(self, task: asyncio.Task[ForwardReply]) -> None:
        self.tries.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._settle_error(error)
        elif self.settled.done():
            put_away(self.journey, task.result())
        elif is_answer(task.result()) or not self.tries:
            self.won = task is not self.first
            self.settled.set_result(task.result())
        else:
            self.journey.remember(task.result())

    def _settle_error(self, error: BaseException) -> None:
        if not self.settled.done():
            self.settled.set_exception(error)


def put_away(journey: Journey, reply: ForwardReply) -> None:
    """Takes a reply that came beside a better one."""
    journey.remember(reply)
    rest = rest_of(reply)
    if rest is not None:
        # Nobody will read it; its target would stay busy until the deadline.
        rest.close()
