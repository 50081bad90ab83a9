"""Sends a request to targets of its upstream until one of them has it."""

import asyncio
import math
import random
from collections.abc import Coroutine

import attrs

from pomelobank_core import (
    MAX_ATTEMPTS,
    CandidateIndex,
    Clock,
    ErrorKind,
    FailedAttempt,
    Hedging,
    LoadBalancer,
    MemberTable,
    QuarantineState,
    Ramp,
    RequestOutcome,
    Retry,
    RetryPolicy,
    RoundRobin,
    TargetResult,
    TwoChoices,
    isolation_target,
)
from pomelobank_node._bodies import (
    DeferredBody,
    can_resend,
    rest_of,
    with_rest,
)
from pomelobank_node._crash_reports import request_fingerprint
from pomelobank_node._forwarding_state import (
    HEDGE_MAX_WAIT_MS,
    MAX_OFFERS,
    MAX_OFFERS_BEFORE_LATE_BINDING,
    ForwardingState,
    is_shed,
    load_class,
    observation,
    was_declined,
    was_served,
)
from pomelobank_node._http_conventions import HttpConventions
from pomelobank_node._late_binding import (
    LateBinding,
    late_binding_target_count,
    may_bind_late,
)
from pomelobank_node._owner import Owner
from pomelobank_node._peer_links import PeerLinks
from pomelobank_node._requests import (
    ForwardReply,
    ForwardRequest,
    RequestError,
    error_reply,
    reply_error,
)
from pomelobank_node._tracing import AttemptTrace, current_trace
from pomelobank_schema.generated.peer import Header, MemberEntry
from pomelobank_schema.generated.settings import RequestSettings

# Marks a request that is part of a retry. A target that passes it on with the
# calls it makes keeps the nodes behind it from retrying those as well.
RETRY_HEADER = HttpConventions().retry
_MS_PER_S = 1000
# Bodies from this size on are sent to another data centre only once the target
# has a slot. Smaller ones are no longer than the frames that ask for them.
HOLD_BACK_BYTES = 1024
# The same within a data centre for bodies that fill the node's line for longer
# than the round trip that asking for them takes.
HOLD_BACK_MS = 1.0
_PERCENT = 100
_TWICE = 2


def new_load_balancer(settings: RequestSettings) -> LoadBalancer:
    """Returns the placing that the settings name."""
    if settings.placing == "round_robin":
        return RoundRobin()
    ramp = Ramp(settings.ramp_start_percent / _PERCENT, settings.ramp_ms)
    return TwoChoices(random.Random(), ramp)


@attrs.define(eq=False)
class Forwarder:
    """Places requests and retries them.

    Attributes:
        members: Who can serve.
        owner: The node's own target.
        links: Streams to peers.
        clock: Tells the time.
        load_balancer: Chooses the target.
        retry_header: Marks a request that is part of a retry; empty for none.
        index: The targets of each upstream.
        retries: Decides about further tries.
        deferred_body_min_bytes: Size from which bodies to another data centre
            wait for a slot.
        uplink_bytes_per_ms: Speed of the node's line; infinite where unknown.
        hedging: Decides when an overdue request is sent twice; None for never.
        hedged: Requests that were sent twice, for the metrics.
        hedges_won: Those of them that the second target answered first.
        rejected: Requests refused here because all targets just refused.
    """

    members: MemberTable
    owner: Owner
    links: PeerLinks
    clock: Clock
    load_balancer: LoadBalancer
    retry_header: bytes = RETRY_HEADER
    index: CandidateIndex = attrs.field()
    retries: RetryPolicy = attrs.field(factory=RetryPolicy)
    deferred_body_min_bytes: int = HOLD_BACK_BYTES
    uplink_bytes_per_ms: float = math.inf
    hedging: Hedging | None = None
    rejected: int = 0
    hedged: int = 0
    hedges_won: int = 0

    @index.default
    def _new_index(self) -> CandidateIndex:
        return CandidateIndex(self.members)

    async def forward(self, request: ForwardRequest) -> ForwardReply:
        """Answers one request.

        Args:
            request: The request, its time left counted from now.

        Returns:
            The target's answer or an error report.

        Raises:
            RequestError: NO_TARGET, OVERLOADED or QUARANTINED; it has not run.
        """
        now_ms = self.clock.now_ms()
        names = {header.name for header in request.headers}
        journey = ForwardingState(
            request,
            now_ms + request.remaining_ms,
            bool(self.retry_header) and self.retry_header in names,
        )
        self.retries.on_first_attempt(request.upstream, now_ms)
        target = self._place(journey)
        if target is None:
            raise RequestError(ErrorKind.NO_TARGET)
        self._turn_away(request, now_ms)
        journey.offers_left = self._offers(journey)
        while True:
            offers = journey.offers_left
            reply = await self._hedged(journey, self._try(journey, target))
            declined = journey.offers_left < offers
            # Where it was sent twice meanwhile, the other reply counts.
            if declined and reply.error == ErrorKind.OVERLOADED.value:
                if not self._may_bind_late(journey):
                    target = self._after_decline(journey)
                    continue
                reply = await self._hedged(
                    journey, self._queue_at_several(journey)
                )
                if reply.error == ErrorKind.OVERLOADED.value:
                    return journey.final_reply(reply)
            retry = self._decide(journey, reply)
            if retry is None:
                return journey.final_reply(reply)
            journey.record_reply(reply)
            await asyncio.sleep(retry.delay_ms / _MS_PER_S)
            try:
                following = self._place(journey)
            except RequestError as error:
                # By now the request is known to crash targets.
                refusal = error_reply(request.request_id, error)
                return journey.final_reply(refusal)
            if following is None:
                return journey.final_reply(reply)
            target = following

    def _offers(self, journey: ForwardingState) -> int:
        targets = self.index.of(journey.request.upstream).targets
        if not self.retries.free_rejections or journey.runs_isolated:
            return 0
        if len(targets) < MAX_OFFERS:
            return 0
        if self._may_bind_late(journey):
            return MAX_OFFERS_BEFORE_LATE_BINDING
        return MAX_OFFERS

    def _may_bind_late(self, journey: ForwardingState) -> bool:
        candidates = self.index.of(journey.request.upstream)
        return may_bind_late(journey, candidates)

    def _after_decline(self, journey: ForwardingState) -> MemberEntry:
        now_ms = self.clock.now_ms()
        kind = load_class(journey.request)
        if journey.offers_left:
            other = self._place(journey)
            if other and self.load_balancer.may_accept(other, kind, now_ms):
                return other
        # No idle target was found; the one with the shortest queue has to
        # take it.
        journey.offers_left = 0
        return journey.least_busy()

    def _turn_away(self, request: ForwardRequest, now_ms: int) -> None:
        candidates = self.index.of(request.upstream)
        retry_after_ms = self.load_balancer.all_full_retry_after_ms(
            candidates, load_class(request), now_ms
        )
        if retry_after_ms:
            self.rejected += 1
            raise RequestError(ErrorKind.OVERLOADED, retry_after_ms)

    def _place(self, journey: ForwardingState) -> MemberEntry | None:
        request = journey.request
        candidates = self.index.of(request.upstream)
        now_ms = self.clock.now_ms()
        standing = self.owner.crash_reports.check(request)
        journey.runs_isolated = standing is QuarantineState.SUSPECT
        if journey.runs_isolated:
            # Every node sends it to the same target, so that it runs once at
            # a time and a crash takes that one target only.
            print_ = request_fingerprint(request)
            return isolation_target(candidates, print_, journey.attempted_nodes)
        return self.load_balancer.pick(
            candidates, journey.attempted_nodes, load_class(request), now_ms
        )

    async def _queue_at_several(self, journey: ForwardingState) -> ForwardReply:
        candidates = self.index.of(journey.request.upstream)
        targets = self.load_balancer.pick_several(
            candidates,
            late_binding_target_count(candidates),
            self.clock.now_ms(),
        )
        if not targets:
            journey.offers_left = 0
            return await self._try(journey, journey.least_busy())
        binding = LateBinding()
        for target in targets:
            binding.attempts[target.node] = asyncio.create_task(
                self._try(journey, target, binding=binding)
            )
        try:
            return await binding.reply()
        finally:
            binding.cancel()

    async def _hedged(
        self,
        journey: ForwardingState,
        first: Coroutine[None, None, ForwardReply],
    ) -> ForwardReply:
        after_ms = self._hedge_after_ms(journey)
        if after_ms is None:
            return await first
        tries = [asyncio.create_task(first)]
        try:
            await asyncio.wait(tries, timeout=after_ms / _MS_PER_S)
            other = None if tries[0].done() else self._second_target(journey)
            if other is not None:
                self.hedged += 1
                hedge = self._try(journey, other, is_hedge=True)
                tries.append(asyncio.create_task(hedge))
            return await self._first_good(journey, tries)
        finally:
            for item in tries:
                item.cancel()

    def _is_suspect(self, request: ForwardRequest) -> bool:
        # A request that may crash targets runs on one at a time.
        try:
            return (
                self.owner.crash_reports.check(request)
                is not QuarantineState.CLEAR
            )
        except RequestError:
            return True

    def _hedge_after_ms(self, journey: ForwardingState) -> float | None:
        request = journey.request
        once = (request.max_attempts or MAX_ATTEMPTS) < _TWICE
        if self.hedging is None or once or not request.idempotent:
            return None
        if journey.attempts or rest_of(request) is not None:
            return None
        now_ms = self.clock.now_ms()
        left_ms = journey.deadline_ms - now_ms
        return self.hedging.delay_ms(request.route, left_ms, now_ms)

    def _second_target(self, journey: ForwardingState) -> MemberEntry | None:
        request = journey.request
        if self._is_suspect(request):
            return None
        now_ms = self.clock.now_ms()
        candidates = self.index.of(request.upstream)
        kind = load_class(request)
        other = self.load_balancer.pick(
            candidates, journey.attempted_nodes, kind, now_ms
        )
        if other is None or not self.load_balancer.has_capacity(
            other, kind, now_ms
        ):
            return None
        if not self.retries.allow_hedge(request.upstream, now_ms):
            return None
        return other

    async def _first_good(
        self, journey: ForwardingState, tries: list[asyncio.Task[ForwardReply]]
    ) -> ForwardReply:
        first, pending = tries[0], set(tries)
        while True:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            replies = [(item, item.result()) for item in done]
            good = [pair for pair in replies if was_served(pair[1])]
            if good or not pending:
                chosen, reply = good[0] if good else replies[-1]
                self.hedges_won += chosen is not first
                for item, other in replies:
                    if item is not chosen:
                        _put_away(journey, other)
                return reply
            for _, reply in replies:
                journey.record_reply(reply)

    async def _try(
        self,
        journey: ForwardingState,
        target: MemberEntry,
        is_hedge: bool = False,
        binding: LateBinding | None = None,
    ) -> ForwardReply:
        begun_ms = self.clock.now_ms()
        left_ms = journey.deadline_ms - begun_ms
        first = journey.request
        spent_ms = first.spent_ms + first.remaining_ms - left_ms
        request = attrs.evolve(
            first,
            sent_ms=begun_ms,
            remaining_ms=left_ms,
            # What is late already keeps the shortest aim that can be told.
            aim_ms=max(1, first.aim_ms - spent_ms) if first.aim_ms else 0,
            max_wait_ms=HEDGE_MAX_WAIT_MS if is_hedge else journey.max_wait_ms,
            bind_late=binding is not None,
        )
        if binding is None and journey.attempts > journey.redirects:
            request = self._mark_retry(request)
        journey.attempts += 1
        journey.attempted_nodes.add(target.node)
        self.load_balancer.on_sent(target, begun_ms)
        # Where another target answers first, this try is cancelled.
        seen = RequestOutcome(TargetResult.NEUTRAL)
        try:
            reply = await self._send(target, request, binding)
            took_ms = self.clock.now_ms() - begun_ms
            if was_declined(request, reply):
                journey.record_decline(target, reply, is_offer=not is_hedge)
            seen = observation(request, reply, took_ms, first.aim_ms)
            _trace_try(target, reply.error or str(reply.status), took_ms)
            if self.hedging is not None and was_served(reply):
                self.hedging.add_response_time(
                    request.route, took_ms, self.clock.now_ms()
                )
            if reply.error == ErrorKind.PEER_LOST.value:
                self.owner.crash_reports.on_node_lost(request)
            return reply
        except asyncio.CancelledError:
            if binding is not None and binding.node != target.node:
                raise
            took_ms = self.clock.now_ms() - begun_ms
            _trace_try(target, "given_up", took_ms)
            if self._is_overdue(request, took_ms):
                seen = RequestOutcome(
                    TargetResult.SLOW,
                    took_ms=took_ms,
                    route=first.route,
                    aim_ms=first.aim_ms,
                )
            raise
        finally:
            candidates = self.index.of(request.upstream)
            now_ms = self.clock.now_ms()
            self.load_balancer.on_ended(target, candidates, seen, now_ms)
            if binding is not None and binding.node != target.node:
                journey.discard_attempt(target)

    def _is_overdue(self, request: ForwardRequest, took_ms: float) -> bool:
        if self.hedging is None:
            return False
        now_ms = self.clock.now_ms()
        after_ms = self.hedging.delay_ms(request.route, math.inf, now_ms)
        return after_ms is not None and took_ms >= after_ms

    async def _send(
        self,
        target: MemberEntry,
        request: ForwardRequest,
        binding: LateBinding | None,
    ) -> ForwardReply:
        if request.remaining_ms <= 0:
            error = RequestError(ErrorKind.DEADLINE_NOT_RUN)
            return error_reply(request.request_id, error)
        is_own = target.node == self.members.own.node
        if not is_own:
            request = self._hold_back(request, target)
        if binding is None:
            if is_own:
                return await self.owner.serve(request)
            return await self.links.to(target.peer_address).forward(request)
        if is_own:

            async def take_slot() -> bool:
                return binding.bind(target.node)

            return await self.owner.serve(request, take_slot)
        return await self.links.to(target.peer_address).forward(
            request, lambda: binding.bind(target.node)
        )

    def _hold_back(
        self, request: ForwardRequest, target: MemberEntry
    ) -> ForwardRequest:
        least: float = self.deferred_body_min_bytes
        if target.data_centre == self.members.own.data_centre:
            least = max(least, HOLD_BACK_MS * self.uplink_bytes_per_ms)
        if rest_of(request) or len(request.body) < least:
            return request
        head = attrs.evolve(
            request, body=b"", fingerprint=request_fingerprint(request)
        )
        return with_rest(head, DeferredBody(request.body))

    def _mark_retry(self, request: ForwardRequest) -> ForwardRequest:
        name = self.retry_header
        if not name or any(item.name == name for item in request.headers):
            return request
        marked = (*request.headers, Header(name=name, value=b"1"))
        return attrs.evolve(request, headers=marked)

    def _decide(
        self, journey: ForwardingState, reply: ForwardReply
    ) -> Retry | None:
        error = reply_error(reply)
        if error is None and not is_shed(reply):
            return None
        request = journey.request
        if rest_of(reply) is not None or not can_resend(request):
            return None
        now_ms = self.clock.now_ms()
        attempt = FailedAttempt(
            error=error.kind if error else None,
            idempotent=request.idempotent,
            attempts=journey.attempts,
            transparent_retries=journey.redirects,
            remaining_ms=journey.deadline_ms - now_ms,
            is_retry=journey.is_retry,
            other_has_capacity=self._other_room(journey, now_ms),
            max_attempts=request.max_attempts or MAX_ATTEMPTS,
        )
        retry = self.retries.decide(request.upstream, attempt, now_ms)
        if retry is not None and retry.transparent:
            journey.redirects += 1
        return retry

    def _other_room(self, journey: ForwardingState, now_ms: int) -> bool:
        traffic_class = load_class(journey.request)
        candidates = self.index.of(journey.request.upstream)
        other = self.load_balancer.pick(
            candidates, journey.attempted_nodes, traffic_class, now_ms
        )
        if other is None:
            return False
        if self.retries.free_rejections:
            # Asking costs nothing, and what is urgent may be taken also where
            # all slots are busy.
            return self.load_balancer.may_accept(other, traffic_class, now_ms)
        return self.load_balancer.has_capacity(other, traffic_class, now_ms)


def _put_away(journey: ForwardingState, reply: ForwardReply) -> None:
    """Takes a reply that came beside a better one."""
    journey.record_reply(reply)
    rest = rest_of(reply)
    if rest is not None:
        # Nobody will read it; its target would stay busy until the deadline.
        rest.close()


def _trace_try(target: MemberEntry, outcome: str, took_ms: int) -> None:
    current_trace().attempts.append(
        AttemptTrace(target.node, target.incarnation, outcome, took_ms)
    )
