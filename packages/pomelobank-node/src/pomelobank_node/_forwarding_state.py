"""State of a request while it is forwarded, and how replies are classified."""

import attrs

from pomelobank_core import (
    ERROR_RESPONSES,
    ErrorKind,
    RequestOutcome,
    RunState,
    TargetResult,
    target_result,
)
from pomelobank_core.shedding import CallGroup, is_random_rejection
from pomelobank_node._http_messages import ERROR_HEADER
from pomelobank_node._requests import ForwardReply, ForwardRequest, reply_error
from pomelobank_schema.generated.peer import MemberEntry

# Number of targets that may decline a request before the least busy of them has
# to queue the request. At a load at which six of ten slots are busy and one
# target in three has no free slot, two targets in a row have none for one
# request in nine. A third offer would therefore shorten few waits.
MAX_OFFERS = 2
# The same limit for a request that can bind late. Such a request then waits at
# several targets at once, so further offers to one target after the other
# would not find a free slot sooner.
MAX_OFFERS_BEFORE_LATE_BINDING = 1
# Longest expected wait with which a target accepts a hedge; 1 ms is the
# smallest limit, because 0 means any wait. A hedge may use a slot that is free
# now, but a hedge that queues under load would take a slot from a first
# attempt.
HEDGE_MAX_WAIT_MS = 1
# Fraction of the latency objective that a request may wait at an offered
# target before the node offers the request to another target. An offer takes a
# few milliseconds, so waiting pays only if the wait is about as short.
OFFER_WAIT_FRACTION = 0.1


@attrs.define(eq=False)
class ForwardingState:
    """A request and its attempts so far.

    Attributes:
        request: The request.
        deadline_ms: Time at which the caller stops waiting.
        is_retry: Whether the request arrived as part of a retry by another
            node.
        attempted_nodes: Nodes that the request was sent to.
        attempts: Number of attempts so far.
        transparent_retries: Number of these attempts that did not use the
            upstream's retry budget.
        reply_that_may_have_run: Reply of the last attempt that may have run, if
            any.
        offers_left: Number of targets that may still decline the request.
        declined_wait_ms: Expected wait at each target that declined the
            request.
        runs_isolated: Whether the request is suspected of crashing targets.
        call_group: Parallel calls that the request belongs to; None if it is no
            call of running work.
    """

    request: ForwardRequest
    deadline_ms: int
    is_retry: bool
    attempted_nodes: set[str] = attrs.field(factory=set)
    attempts: int = 0
    transparent_retries: int = 0
    reply_that_may_have_run: ForwardReply | None = None
    offers_left: int = 0
    declined_wait_ms: dict[MemberEntry, int] = attrs.field(factory=dict)
    runs_isolated: bool = False
    call_group: CallGroup | None = None

    @property
    def max_wait_ms(self) -> int:
        """Longest wait that a target may accept the request with; 0 for any."""
        if not self.offers_left:
            return 0
        request = self.request
        objective_ms = request.aim_ms or request.remaining_ms
        return max(1, int(OFFER_WAIT_FRACTION * objective_ms))

    def record_decline(
        self, target: MemberEntry, reply: ForwardReply, is_offer: bool = True
    ) -> None:
        """Handles a declined offer, which does not count as an attempt.

        Args:
            target: The target that declined the request.
            reply: The reply of the target's node.
            is_offer: Whether the declined attempt was an offer; False for a
                hedge, which does not use up an offer.
        """
        self.attempts -= 1
        if is_offer:
            self.offers_left -= 1
            self.declined_wait_ms[target] = reply.retry_after_ms

    def discard_attempt(self, target: MemberEntry) -> None:
        """Removes an attempt in which the request only waited at a target."""
        self.attempts -= 1
        self.attempted_nodes.discard(target.node)

    def least_busy(self) -> MemberEntry:
        """Returns the declining target with the shortest expected wait."""
        return min(
            self.declined_wait_ms,
            key=lambda entry: self.declined_wait_ms[entry],
        )

    def record_reply(self, reply: ForwardReply) -> None:
        """Keeps the reply of an attempt that may have run."""
        error = reply_error(reply)
        has_not_run = (
            error and ERROR_RESPONSES[error.kind].run_state is RunState.NOT_RUN
        )
        if not has_not_run:
            self.reply_that_may_have_run = reply

    def final_reply(self, reply: ForwardReply) -> ForwardReply:
        """Returns the reply for the caller, given the last attempt's reply.

        The last attempt may have been rejected as not run after an earlier
        attempt was lost at a target. A caller that received only the last
        reply would conclude that the request has not run at all and would send
        the request again.
        """
        error = reply_error(reply)
        if error is None or self.reply_that_may_have_run is None:
            return reply
        if ERROR_RESPONSES[error.kind].run_state is not RunState.NOT_RUN:
            return reply
        return attrs.evolve(
            self.reply_that_may_have_run, retry_after_ms=reply.retry_after_ms
        )


def rejection_key(request: ForwardRequest) -> str:
    """Returns the key by which rejections by a target are remembered.

    The key joins traffic class and priority, because a target that has no
    capacity for a report may still accept a request that runs before reports.
    """
    return f"{request.traffic_class}/{request.priority}"


def is_shed(reply: ForwardReply) -> bool:
    """Tells whether the target itself shed the request with its response.

    A target that passes on a node's error about its own call has not shed
    load: the node nearest to that failure has already retried the call where
    a retry was allowed.
    """
    if reply.error or not reply.retry_after_ms:
        return False
    return all(header.name != ERROR_HEADER for header in reply.headers)


def was_served(reply: ForwardReply) -> bool:
    """Tells whether a target has responded without shedding the request."""
    return not reply.error and not is_shed(reply)


def was_declined(request: ForwardRequest, reply: ForwardReply) -> bool:
    """Tells whether a target declined an offer that limits the wait."""
    is_overloaded = reply.error == ErrorKind.OVERLOADED.value
    return is_overloaded and request.max_wait_ms > 0


def observation(
    request: ForwardRequest, reply: ForwardReply, took_ms: int, aim_ms: int
) -> RequestOutcome:
    """Returns the outcome that the load balancer records for the target.

    Args:
        request: The request as it was sent in this attempt.
        reply: The reply.
        took_ms: Time that the attempt took.
        aim_ms: Latency objective of the whole request, part of which earlier
            attempts may have used.
    """
    error = reply_error(reply)
    if was_declined(request, reply):
        result = TargetResult.WOULD_WAIT
    elif error is not None and is_random_rejection(
        error.kind, reply.retry_after_ms
    ):
        result = TargetResult.NEUTRAL
    elif error is not None:
        result = target_result(error.kind, request.remaining_ms)
    elif is_shed(reply):
        result = TargetResult.FULL
    else:
        result = TargetResult.RESPONDED
    return RequestOutcome(
        result,
        rejection_key(request),
        took_ms,
        reply.outstanding,
        reply.retry_after_ms,
        request.route,
        aim_ms,
    )
