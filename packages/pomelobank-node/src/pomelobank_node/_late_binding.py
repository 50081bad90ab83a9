"""Queues a request at several targets; the first with a free slot runs it."""

import asyncio

import attrs

from pomelobank_core import Candidates, ErrorKind
from pomelobank_node._bodies import rest_of
from pomelobank_node._forwarding_state import ForwardingState, was_served
from pomelobank_node._requests import ForwardReply

# Maximum number of slots, over all targets, that a late-bound request waits
# for. Each further target shortens the wait by less than the one before and
# costs the same number of frames. A target that has more than half of this
# number of slots frees a slot soon enough on its own, so requests to such
# targets do not bind late.
LATE_BINDING_SLOTS = 15
_MIN_LATE_BINDING_TARGETS = 2


def late_binding_target_count(candidates: Candidates) -> int:
    """Returns the number of an upstream's targets that a request waits at.

    Args:
        candidates: The upstream's targets.
    """
    return LATE_BINDING_SLOTS // max(1, candidates.max_slots)


def may_bind_late(state: ForwardingState, candidates: Candidates) -> bool:
    """Tells whether a request may wait at several targets.

    The request is sent to each of the targets, and a peer of an earlier
    version runs the request without offering a slot first, so the request must
    be idempotent and without a body. The request of a caller that retries does
    not bind late, because it would take a place in several queues from the
    requests of new callers.

    Args:
        state: The request and its attempts so far.
        candidates: The targets of the request's upstream.
    """
    if late_binding_target_count(candidates) < _MIN_LATE_BINDING_TARGETS:
        return False
    request = state.request
    if state.runs_isolated or not request.idempotent:
        return False
    return not (request.body or rest_of(request) or request.spent_ms)


@attrs.define(eq=False)
class LateBinding:
    """Binds a request to the first of several targets that offers a slot.

    Load pattern: targets with few slots, all busy with work of hundreds of
    milliseconds, and requests that take a tenth of that time. A sender's load
    information about a queue is older than the queue itself, so a request that
    is queued at one target waits for the next slot of that target. Of several
    targets, one frees a slot much sooner (late binding: K. Ousterhout et al.,
    "Sparrow: Distributed, Low Latency Scheduling", 2013).

    Attributes:
        node: Node of the target that runs the request; empty until a target
            has offered a slot.
        attempts: The request's attempts, by node.
    """

    node: str = ""
    attempts: dict[str, asyncio.Task[ForwardReply]] = attrs.field(factory=dict)

    def bind(self, node: str) -> bool:
        """Handles an offered slot; returns whether the request accepts it."""
        if not self.node:
            self.node = node
            for other, task in self.attempts.items():
                if other != node:
                    task.cancel()
        return self.node == node

    async def reply(self) -> ForwardReply:
        """Returns the response, or the rejection with the shortest wait."""
        rejections: list[ForwardReply] = []
        pending = set(self.attempts.values())
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for node, task in self.attempts.items():
                if task not in done or task.cancelled():
                    continue
                reply = task.result()
                if node == self.node or was_served(reply):
                    return reply
                rejections.append(reply)
        return min(rejections, key=_preference)

    def cancel(self) -> None:
        """Withdraws the request from every target."""
        for task in self.attempts.values():
            task.cancel()


def _preference(rejection: ForwardReply) -> tuple[bool, int]:
    # A stream that broke while the request waited says nothing about the load
    # of the other targets, so a rejection as overloaded is preferred.
    is_not_overload = rejection.error != ErrorKind.OVERLOADED.value
    return is_not_overload, rejection.retry_after_ms
