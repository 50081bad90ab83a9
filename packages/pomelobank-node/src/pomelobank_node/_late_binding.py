"""Lets a request wait at several targets; the first with a slot runs it."""

import asyncio

import attrs

from pomelobank_core import Candidates, ErrorKind
from pomelobank_node._bodies import rest_of
from pomelobank_node._forwarding_state import ForwardingState, was_served
from pomelobank_node._requests import ForwardReply

# Slots in front of which a request waits at the same time. Each further target
# shortens the wait by less and costs the same frames; targets with half as many
# slots of their own free one soon enough.
LATE_BINDING_SLOTS = 15
_SEVERAL = 2


def late_binding_target_count(candidates: Candidates) -> int:
    """Returns at how many of an upstream's targets a request waits.

    Args:
        candidates: The upstream's targets.
    """
    return LATE_BINDING_SLOTS // max(1, candidates.max_slots)


def may_bind_late(journey: ForwardingState, candidates: Candidates) -> bool:
    """Tells whether a request may wait at several targets.

    It is sent to each of them, and a peer of an earlier version runs it
    unasked; so it has to be idempotent and without a body. A caller that has
    come back would take several places in queues from newcomers.

    Args:
        journey: The request and where it has been.
        candidates: Its upstream's targets.
    """
    if late_binding_target_count(candidates) < _SEVERAL:
        return False
    request = journey.request
    if journey.runs_isolated or not request.idempotent:
        return False
    return not (request.body or rest_of(request) or request.spent_ms)


@attrs.define(eq=False)
class LateBinding:
    """Decides which of several targets runs a request.

    Load pattern: targets with few slots, all busy with work of hundreds of
    milliseconds, and requests that take a tenth of that. What a sender knows of
    a queue is older than the queue, so a request that picks one target waits
    for that target's next slot; of several targets, one has a slot much sooner
    (late binding: K. Ousterhout et al., "Sparrow: Distributed, Low Latency
    Scheduling", 2013).

    Attributes:
        node: Node of the target that runs it; empty until one has a slot.
        attempts: The request's tries, by node.
    """

    node: str = ""
    attempts: dict[str, asyncio.Task[ForwardReply]] = attrs.field(factory=dict)

    def bind(self, node: str) -> bool:
        """Takes a slot that a target offers; returns whether it is wanted."""
        if not self.node:
            self.node = node
            for other, task in self.attempts.items():
                if other != node:
                    task.cancel()
        return self.node == node

    async def reply(self) -> ForwardReply:
        """Returns the answer, or the refusal that names the shortest wait."""
        refusals: list[ForwardReply] = []
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
                refusals.append(reply)
        return min(refusals, key=_preference)

    def cancel(self) -> None:
        """Withdraws the request from every target."""
        for task in self.attempts.values():
            task.cancel()


def _preference(refusal: ForwardReply) -> tuple[bool, int]:
    # A stream that broke while the request waited says nothing of the others.
    is_lost = refusal.error != ErrorKind.OVERLOADED.value
    return is_lost, refusal.retry_after_ms
