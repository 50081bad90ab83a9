"""A request on its way from target to target, and what each reply means."""

import attrs

from pomelobank_core import (
    ERROR_RESPONSES,
    ErrorKind,
    RequestOutcome,
    RunState,
    TargetResult,
    target_result,
)
from pomelobank_node._http_messages import ERROR_HEADER
from pomelobank_node._requests import ForwardReply, ForwardRequest, reply_error
from pomelobank_schema.generated.peer import MemberEntry

# Targets that may decline a request before the least busy of them has to take
# it. With six of ten slots busy, one target in three has none free, and of two
# in a row one in nine; a third would shorten few waits.
MAX_OFFERS = 2
# The same for a request that then waits at several targets: whichever has a
# slot first is found without a look at one after the other.
MAX_OFFERS_BEFORE_LATE_BINDING = 1
# Longest wait with which a second try of an overdue request is taken. It gets a
# slot that is free now; under load it would take one from a first try.
HEDGE_MAX_WAIT_MS = 1
# Part of the objective that a request waits at a target without looking for
# another one. The way to the next takes a few milliseconds, so waiting pays
# only where it is about as short.
OFFER_WAIT_PART = 0.1


@attrs.define(eq=False)
class ForwardingState:
    """A request and where it has been.

    Attributes:
        request: The request.
        deadline_ms: When its caller stops waiting.
        is_retry: Whether it came in as part of another's retry.
        attempted_nodes: Nodes that it was sent to.
        attempts: How often it was sent.
        redirects: How many of these cost the upstream nothing.
        may_have_run: Reply of the last try that may have run, if any.
        offers_left: How many targets may still decline it.
        declined_wait_ms: Targets that declined it, each with its expected wait.
        runs_isolated: Whether it is suspected to crash targets.
    """

    request: ForwardRequest
    deadline_ms: int
    is_retry: bool
    attempted_nodes: set[str] = attrs.field(factory=set)
    attempts: int = 0
    redirects: int = 0
    may_have_run: ForwardReply | None = None
    offers_left: int = 0
    declined_wait_ms: dict[MemberEntry, int] = attrs.field(factory=dict)
    runs_isolated: bool = False

    @property
    def max_wait_ms(self) -> int:
        """Longest wait with which it is offered now; 0 for any."""
        if not self.offers_left:
            return 0
        request = self.request
        objective_ms = request.aim_ms or request.remaining_ms
        return max(1, int(OFFER_WAIT_PART * objective_ms))

    def record_decline(
        self, target: MemberEntry, reply: ForwardReply, is_offer: bool = True
    ) -> None:
        """Takes note that a target declined it, which is no try.

        Args:
            target: The target.
            reply: What its node said.
            is_offer: Whether it was the first try, and not one beside it.
        """
        self.attempts -= 1
        if is_offer:
            self.offers_left -= 1
            self.declined_wait_ms[target] = reply.retry_after_ms

    def discard_attempt(self, target: MemberEntry) -> None:
        """Takes note that it only waited at a target, which is no try."""
        self.attempts -= 1
        self.attempted_nodes.discard(target.node)

    def least_busy(self) -> MemberEntry:
        """Returns the target with the shortest wait of those that declined."""
        return min(
            self.declined_wait_ms,
            key=lambda entry: self.declined_wait_ms[entry],
        )

    def record_reply(self, reply: ForwardReply) -> None:
        """Keeps the reply of a try that may have run."""
        error = reply_error(reply)
        not_run = (
            error and ERROR_RESPONSES[error.kind].run_state is RunState.NOT_RUN
        )
        if not not_run:
            self.may_have_run = reply

    def final_reply(self, reply: ForwardReply) -> ForwardReply:
        """Returns what the caller is told, given the last try's reply.

        The last try may have been refused as not run after an earlier one was
        lost at a target. Told of the last one only, the caller would believe
        that the request has not run at all and lodge it anew.
        """
        error = reply_error(reply)
        if error is None or self.may_have_run is None:
            return reply
        if ERROR_RESPONSES[error.kind].run_state is not RunState.NOT_RUN:
            return reply
        return attrs.evolve(
            self.may_have_run, retry_after_ms=reply.retry_after_ms
        )


def load_class(request: ForwardRequest) -> str:
    """Returns the requests that a target's refusal of one tells about.

    A target that has no room for a report may well take a call that runs
    before the reports.
    """
    return f"{request.traffic_class}/{request.priority}"


def is_shed(reply: ForwardReply) -> bool:
    """Tells whether a target turned the request away with its answer.

    A target that passes on what a node said to its own call has not shed:
    the node nearest to that failure has retried what could be retried.
    """
    if reply.error or not reply.retry_after_ms:
        return False
    return all(header.name != ERROR_HEADER for header in reply.headers)


def was_served(reply: ForwardReply) -> bool:
    """Tells whether a target has answered, whatever it said."""
    return not reply.error and not is_shed(reply)


def was_declined(request: ForwardRequest, reply: ForwardReply) -> bool:
    """Tells whether a target declined a request that was offered to it."""
    busy = reply.error == ErrorKind.OVERLOADED.value
    return busy and request.max_wait_ms > 0


def observation(
    request: ForwardRequest, reply: ForwardReply, took_ms: int, aim_ms: int
) -> RequestOutcome:
    """Returns what a reply says about the target that sent it.

    Args:
        request: The request as it was sent in this try.
        reply: The reply.
        took_ms: Time that the try took.
        aim_ms: Objective of the whole request, of which earlier tries may have
            used a part.
    """
    error = reply_error(reply)
    if was_declined(request, reply):
        result = TargetResult.WOULD_WAIT
    elif error is not None:
        result = target_result(error.kind, request.remaining_ms)
    elif is_shed(reply):
        result = TargetResult.FULL
    else:
        result = TargetResult.RESPONDED
    return RequestOutcome(
        result,
        load_class(request),
        took_ms,
        reply.outstanding,
        reply.retry_after_ms,
        request.route,
        aim_ms,
    )
