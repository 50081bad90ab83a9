"""Forwards a request to targets of its upstream, with retries and hedging."""

import asyncio
import math
import random
from collections.abc import Coroutine
from collections.abc import Set as AbstractSet

import attrs

from pomelobank_core import (
    ERROR_RESPONSES,
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
    RunState,
    ShutdownAdmission,
    TargetResult,
    TwoChoices,
    isolation_target,
)
from pomelobank_core.rollouts import RevisionSplit
from pomelobank_core.shedding import CallGroup, is_random_rejection
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
    observation,
    rejection_key,
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
from pomelobank_node._tracing import current_trace
from pomelobank_node.rollouts import Exposure
from pomelobank_schema.generated.peer import Header, MemberEntry
from pomelobank_schema.generated.settings import RequestSettings

# Marks a retried request. If a target copies this header to its own calls, the
# nodes that forward those calls do not retry them, except after attempts that
# cost no work. Otherwise, retries would multiply along a chain of calls.
RETRY_HEADER = HttpConventions().retry
_MS_PER_S = 1000
# Minimum size of a deferred body, which is sent only once its target has a
# slot. For a target in a remote data centre, no other condition applies.
# Deferring a smaller body would save nothing, because the frames that ask for
# the body take as many bytes.
DEFERRED_BODY_MIN_BYTES = 1024
# Minimum transmission time, on the node's uplink, of a body that is deferred
# for a target in the local data centre. Asking for a body takes an extra round
# trip, which costs more than a shorter use of the uplink.
DEFERRED_BODY_MIN_UPLINK_MS = 1.0
# Time for which the node waits for the rejections of a rejected call's siblings
# before it decides about a retry: about the time that a rejection takes to
# arrive, and short next to objectives of some tens of ms.
SIBLING_WAIT_MS = 4
_PERCENT = 100
_MIN_ATTEMPTS_TO_HEDGE = 2


def new_load_balancer(settings: RequestSettings) -> LoadBalancer:
    """Returns the load balancer that the settings select."""
    if settings.placing == "round_robin":
        return RoundRobin()
    ramp = Ramp(settings.ramp_start_percent / _PERCENT, settings.ramp_ms)
    return TwoChoices(random.Random(), ramp)


@attrs.define(eq=False)
class Forwarder:
    """Selects targets for requests, retries failures and hedges slow requests.

    Attributes:
        members: Known members and their targets.
        owner: Runs requests on the node's own target.
        links: Streams to peers.
        clock: Source of the current time.
        load_balancer: Selects the target of each attempt.
        retry_header: Header that marks a retried request; empty if the
            requests are not marked.
        index: The targets of each upstream.
        exposure: Bounds the requests sent to unproven revisions.
        retries: Decides whether a failed attempt is retried.
        deferred_body_min_bytes: Size from which a body for a remote data
            centre is sent only once its target has a slot.
        uplink_bytes_per_ms: Bandwidth of the node's uplink; infinite if
            unknown.
        hedging: Decides when a slow request is sent to a second target; None
            if requests are never hedged.
        hedged: Number of hedged requests, for the metrics.
        hedges_won: Number of hedged requests that the second target answered
            first.
        rejected: Number of requests that this node rejected because every
            target had just rejected requests of the same class.
        lost_runs: Number of running requests that lost their work because one
            of their calls was rejected.
        shutdown_admission: Time after which a stopping node sends no request to
            a target.
    """

    members: MemberTable
    owner: Owner
    links: PeerLinks
    clock: Clock
    load_balancer: LoadBalancer
    retry_header: bytes = RETRY_HEADER
    index: CandidateIndex = attrs.field()
    exposure: Exposure = attrs.field()
    retries: RetryPolicy = attrs.field(factory=RetryPolicy)
    deferred_body_min_bytes: int = DEFERRED_BODY_MIN_BYTES
    uplink_bytes_per_ms: float = math.inf
    hedging: Hedging | None = None
    rejected: int = 0
    hedged: int = 0
    hedges_won: int = 0
    lost_runs: int = 0
    shutdown_admission: ShutdownAdmission = attrs.field(
        factory=ShutdownAdmission
    )

    @index.default
    def _new_index(self) -> CandidateIndex:
        return CandidateIndex(self.members)

    @exposure.default
    def _new_exposure(self) -> Exposure:
        return Exposure(self.clock)

    async def forward(self, request: ForwardRequest) -> ForwardReply:
        """Forwards one request until a target answers or no retry is left.

        Args:
            request: The request; its remaining time counts from now.

        Returns:
            The target's response or an error report.

        Raises:
            RequestError: NO_TARGET, OVERLOADED or QUARANTINED; the request has
                not run.
        """
        now_ms = self.clock.now_ms()
        names = {header.name for header in request.headers}
        state = ForwardingState(
            request,
            now_ms + request.remaining_ms,
            bool(self.retry_header) and self.retry_header in names,
        )
        self.retries.on_first_attempt(
            request.upstream, now_ms, request.route, request.aim_ms
        )
        state.call_group = self.retries.call_group(
            request.upstream, request.route, state.deadline_ms, now_ms
        )
        try:
            reply = await self._forward(state, now_ms)
        except RequestError as error:
            self._record_lost_run(state, error)
            raise
        self._record_lost_run(state, reply_error(reply))
        return reply

    def _record_lost_run(
        self, state: ForwardingState, error: RequestError | None
    ) -> None:
        group = state.call_group
        if error is None or group is None or group.lost:
            return
        group.lost = True
        if ERROR_RESPONSES[error.kind].run_state is RunState.NOT_RUN:
            self.lost_runs += 1

    async def _forward(
        self, state: ForwardingState, now_ms: int
    ) -> ForwardReply:
        request = state.request
        target = self._choose_target(state)
        if target is None:
            raise RequestError(ErrorKind.NO_TARGET)
        if not self.exposure.is_limited(target):
            self._reject_if_all_full(request, now_ms)
        state.offers_left = self._max_offers(state)
        while True:
            offers = state.offers_left
            reply = await self._with_hedge(state, self._attempt(state, target))
            declined = state.offers_left < offers
            # If the offer was declined after the request was hedged, the reply
            # of the hedge counts.
            if declined and reply.error == ErrorKind.OVERLOADED.value:
                if self._remaining_ms(state) <= 0:
                    return state.final_reply(reply)
                if not self._may_bind_late(state):
                    target = self._target_after_decline(state)
                    continue
                reply = await self._with_hedge(state, self._bind_late(state))
                if reply.error == ErrorKind.OVERLOADED.value:
                    return state.final_reply(reply)
            retry = await self._decide_retry(state, reply)
            if retry is None:
                return state.final_reply(reply)
            state.record_reply(reply)
            await asyncio.sleep(retry.delay_ms / _MS_PER_S)
            try:
                next_target = self._choose_target(state)
            except RequestError as error:
                # Since the first attempt, the request was quarantined because
                # it crashes targets.
                rejection = error_reply(request.request_id, error)
                return state.final_reply(rejection)
            if next_target is None:
                return state.final_reply(reply)
            target = next_target

    def _max_offers(self, state: ForwardingState) -> int:
        targets = self._split(state.request.upstream).proven.targets
        if not self.retries.free_rejections or state.runs_isolated:
            return 0
        if len(targets) < MAX_OFFERS:
            return 0
        if self._may_bind_late(state):
            return MAX_OFFERS_BEFORE_LATE_BINDING
        return MAX_OFFERS

    def _may_bind_late(self, state: ForwardingState) -> bool:
        split = self._split(state.request.upstream)
        return may_bind_late(state, split.proven)

    def _split(self, upstream: str) -> RevisionSplit:
        return self.exposure.split(upstream, self.index.of(upstream))

    def _pick(
        self,
        state: ForwardingState,
        now_ms: float,
        excluded: AbstractSet[str] = frozenset(),
    ) -> MemberEntry | None:
        """Picks a target of a proven revision that was not attempted yet.

        Args:
            state: The request and its attempts so far.
            now_ms: Current time.
            excluded: Nodes that the request must not go to, in place of those
                of unproven revisions.
        """
        split = self._split(state.request.upstream)
        excluded = excluded or split.limited_nodes
        attempted = state.attempted_nodes
        return self.load_balancer.pick(
            split.all_targets,
            attempted | excluded if excluded else attempted,
            rejection_key(state.request),
            now_ms,
        )

    def _pick_unproven(
        self, state: ForwardingState, now_ms: float
    ) -> MemberEntry | None:
        """Picks a target of an unproven revision if the credit allows that.

        Only first attempts go there, so that retries reach a proven revision.
        """
        if state.attempts:
            return None
        upstream = state.request.upstream
        split = self._split(upstream)
        if not split.limited_nodes:
            return None
        allowed = self.exposure.exposed_targets(upstream, split)
        if not allowed:
            return None
        others = {item.node for item in split.all_targets.targets} - allowed
        target = self._pick(state, now_ms, others)
        if target is None or not self.load_balancer.may_accept(
            target, rejection_key(state.request), now_ms
        ):
            return None
        self.exposure.spend(upstream)
        return target

    def _target_after_decline(self, state: ForwardingState) -> MemberEntry:
        now_ms = self.clock.now_ms()
        traffic_class = rejection_key(state.request)
        if state.offers_left:
            other = self._choose_target(state)
            if other and self.load_balancer.may_accept(
                other, traffic_class, now_ms
            ):
                return other
        # The offers are used up, or no other target may accept one. Of the
        # targets that declined, the one with the shortest expected wait queues
        # the request.
        state.offers_left = 0
        return state.least_busy()

    def _reject_if_all_full(self, request: ForwardRequest, now_ms: int) -> None:
        retry_after_ms = self.load_balancer.all_full_retry_after_ms(
            self._split(request.upstream).proven, rejection_key(request), now_ms
        )
        if retry_after_ms:
            self.rejected += 1
            raise RequestError(ErrorKind.OVERLOADED, retry_after_ms)

    def _choose_target(self, state: ForwardingState) -> MemberEntry | None:
        request = state.request
        now_ms = self.clock.now_ms()
        quarantine_state = self.owner.crash_reports.check(request)
        state.runs_isolated = quarantine_state is QuarantineState.SUSPECT
        if state.runs_isolated:
            # Every node sends a suspect request to the same target, so that
            # its copies run one at a time and a crash stops one target only.
            fingerprint = request_fingerprint(request)
            return isolation_target(
                self._split(request.upstream).proven,
                fingerprint,
                state.attempted_nodes,
            )
        return self._pick_unproven(state, now_ms) or self._pick(state, now_ms)

    async def _bind_late(self, state: ForwardingState) -> ForwardReply:
        candidates = self._split(state.request.upstream).proven
        targets = self.load_balancer.pick_several(
            candidates,
            late_binding_target_count(candidates),
            self.clock.now_ms(),
        )
        if not targets:
            state.offers_left = 0
            return await self._attempt(state, state.least_busy())
        binding = LateBinding()
        for target in targets:
            binding.attempts[target.node] = asyncio.create_task(
                self._attempt(state, target, binding=binding)
            )
        try:
            return await binding.reply()
        finally:
            binding.cancel()

    async def _with_hedge(
        self,
        state: ForwardingState,
        first_attempt: Coroutine[None, None, ForwardReply],
    ) -> ForwardReply:
        delay_ms = self._hedge_delay_ms(state)
        if delay_ms is None:
            return await first_attempt
        attempts = [asyncio.create_task(first_attempt)]
        try:
            await asyncio.wait(attempts, timeout=delay_ms / _MS_PER_S)
            other = None if attempts[0].done() else self._second_target(state)
            if other is not None:
                self.hedged += 1
                hedge = self._attempt(state, other, is_hedge=True)
                attempts.append(asyncio.create_task(hedge))
            return await self._first_served(state, attempts)
        finally:
            for item in attempts:
                item.cancel()

    def _is_suspect(self, request: ForwardRequest) -> bool:
        # A request that may crash targets must not be hedged, because its
        # copies may run on one target at a time only.
        try:
            return (
                self.owner.crash_reports.check(request)
                is not QuarantineState.CLEAR
            )
        except RequestError:
            return True

    def _hedge_delay_ms(self, state: ForwardingState) -> float | None:
        request = state.request
        single_attempt = (
            request.max_attempts or MAX_ATTEMPTS
        ) < _MIN_ATTEMPTS_TO_HEDGE
        if self.hedging is None or single_attempt or not request.idempotent:
            return None
        if state.attempts or rest_of(request) is not None:
            return None
        now_ms = self.clock.now_ms()
        remaining_ms = state.deadline_ms - now_ms
        return self.hedging.delay_ms(request.route, remaining_ms, now_ms)

    def _second_target(self, state: ForwardingState) -> MemberEntry | None:
        request = state.request
        if self._is_suspect(request) or self._remaining_ms(state) <= 0:
            return None
        now_ms = self.clock.now_ms()
        other = self._pick(state, now_ms)
        if other is None or not self.load_balancer.has_capacity(
            other, rejection_key(request), now_ms
        ):
            return None
        if not self.retries.allow_hedge(request.upstream, now_ms):
            return None
        return other

    async def _first_served(
        self, state: ForwardingState, attempts: list[asyncio.Task[ForwardReply]]
    ) -> ForwardReply:
        first_attempt, pending = attempts[0], set(attempts)
        while True:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            replies = [(item, item.result()) for item in done]
            served = [pair for pair in replies if was_served(pair[1])]
            if served or not pending:
                chosen, reply = served[0] if served else replies[-1]
                self.hedges_won += chosen is not first_attempt
                for item, other in replies:
                    if item is not chosen:
                        _discard_reply(state, other)
                return reply
            for _, reply in replies:
                state.record_reply(reply)

    async def _attempt(
        self,
        state: ForwardingState,
        target: MemberEntry,
        is_hedge: bool = False,
        binding: LateBinding | None = None,
    ) -> ForwardReply:
        started_ms = self.clock.now_ms()
        remaining_ms = state.deadline_ms - started_ms
        original = state.request
        spent_ms = original.spent_ms + original.remaining_ms - remaining_ms
        max_wait_ms = HEDGE_MAX_WAIT_MS if is_hedge else state.max_wait_ms
        if self.exposure.is_limited(target):
            # The targets of an unproven revision have little load, and a
            # declined request would have to go there again.
            max_wait_ms = 0
        request = attrs.evolve(
            original,
            sent_ms=started_ms,
            remaining_ms=remaining_ms,
            # A request past its objective is sent with 1 ms, because 0 means
            # that the route has no latency objective.
            aim_ms=max(1, original.aim_ms - spent_ms) if original.aim_ms else 0,
            max_wait_ms=max_wait_ms,
            bind_late=binding is not None,
        )
        if binding is None and state.attempts > state.transparent_retries:
            request = self._mark_retry(request)
        state.attempts += 1
        state.attempted_nodes.add(target.node)
        self.load_balancer.on_sent(target, started_ms)
        self.exposure.on_sent(target)
        # This attempt may be cancelled, for example because another target
        # answered first. A cancellation counts against the target only if the
        # request took longer than the hedge delay there and was not just
        # waiting for a slot.
        outcome = RequestOutcome(TargetResult.NEUTRAL)
        trace = current_trace()
        attempt = trace.begin_attempt(
            target.node, target.incarnation, started_ms, target.revision
        )
        try:
            reply = await self._send(target, request, binding)
            took_ms = self.clock.now_ms() - started_ms
            self.exposure.on_reply(target, reply)
            if was_declined(request, reply):
                state.record_decline(target, reply, is_offer=not is_hedge)
            outcome = observation(request, reply, took_ms, original.aim_ms)
            attempt.end(reply.error or str(reply.status), took_ms)
            if self.hedging is not None and was_served(reply):
                self.hedging.add_response_time(
                    request.route, took_ms, self.clock.now_ms()
                )
            if reply.error == ErrorKind.PEER_LOST.value:
                self.owner.crash_reports.on_node_lost(request)
            return reply
        except asyncio.CancelledError:
            if binding is not None and binding.node != target.node:
                trace.attempts.remove(attempt)
                raise
            took_ms = self.clock.now_ms() - started_ms
            attempt.end("given_up", took_ms)
            if self._is_past_hedge_delay(request, took_ms):
                outcome = RequestOutcome(
                    TargetResult.SLOW,
                    took_ms=took_ms,
                    route=original.route,
                    aim_ms=original.aim_ms,
                )
            raise
        finally:
            candidates = self.index.of(request.upstream)
            now_ms = self.clock.now_ms()
            self.load_balancer.on_ended(target, candidates, outcome, now_ms)
            self.exposure.on_ended(target)
            if binding is not None and binding.node != target.node:
                state.discard_attempt(target)

    def _is_past_hedge_delay(
        self, request: ForwardRequest, took_ms: float
    ) -> bool:
        if self.hedging is None:
            return False
        now_ms = self.clock.now_ms()
        hedge_delay_ms = self.hedging.delay_ms(request.route, math.inf, now_ms)
        return hedge_delay_ms is not None and took_ms >= hedge_delay_ms

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
            request = self._defer_body(request, target)
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

    def _defer_body(
        self, request: ForwardRequest, target: MemberEntry
    ) -> ForwardRequest:
        min_bytes: float = self.deferred_body_min_bytes
        if target.data_centre == self.members.own.data_centre:
            min_bytes = max(
                min_bytes,
                DEFERRED_BODY_MIN_UPLINK_MS * self.uplink_bytes_per_ms,
            )
        if rest_of(request) or len(request.body) < min_bytes:
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

    async def _decide_retry(
        self, state: ForwardingState, reply: ForwardReply
    ) -> Retry | None:
        error = reply_error(reply)
        if error is None and not is_shed(reply):
            return None
        request = state.request
        if rest_of(reply) is not None or not can_resend(request):
            return None
        is_random = error is not None and is_random_rejection(
            error.kind, reply.retry_after_ms
        )
        group = state.call_group if is_random else None
        if group is not None:
            await _await_sibling_rejections(group)
        now_ms = self.clock.now_ms()
        attempt = FailedAttempt(
            error=error.kind if error else None,
            idempotent=request.idempotent,
            attempts=state.attempts,
            transparent_retries=state.transparent_retries,
            remaining_ms=self._remaining_ms(state),
            is_retry=state.is_retry,
            other_has_capacity=self._other_has_capacity(state, now_ms),
            max_attempts=request.max_attempts or MAX_ATTEMPTS,
            route=request.route,
            is_random=is_random,
            group=group,
        )
        retry = self.retries.decide(request.upstream, attempt, now_ms)
        if group is not None and retry is not None:
            group.rejected -= 1
        if retry is not None and retry.transparent:
            state.transparent_retries += 1
        return retry

    def _remaining_ms(self, state: ForwardingState) -> float:
        """Returns the time in which another attempt may begin."""
        shutdown = self.shutdown_admission
        last_start_ms: float = state.deadline_ms
        if state.deadline_ms > shutdown.latest_deadline_ms:
            last_start_ms = min(last_start_ms, shutdown.last_start_ms)
        return last_start_ms - self.clock.now_ms()

    def _other_has_capacity(self, state: ForwardingState, now_ms: int) -> bool:
        traffic_class = rejection_key(state.request)
        other = self._pick(state, now_ms)
        if other is None:
            return False
        if self.retries.free_rejections:
            # An offer that is rejected does not use the retry budget, and a
            # target with all slots busy may still queue an urgent request.
            return self.load_balancer.may_accept(other, traffic_class, now_ms)
        return self.load_balancer.has_capacity(other, traffic_class, now_ms)


async def _await_sibling_rejections(group: CallGroup) -> None:
    group.rejected += 1
    if group.has_siblings:
        await asyncio.sleep(SIBLING_WAIT_MS / _MS_PER_S)


def _discard_reply(state: ForwardingState, reply: ForwardReply) -> None:
    """Records a reply that lost to the other attempt and closes its body."""
    state.record_reply(reply)
    rest = rest_of(reply)
    if rest is not None:
        # No caller reads this body. Left open, the body would occupy a slot
        # of its target until the request's deadline.
        rest.close()
