"""Replies to the caller after one or more attempts."""

import asyncio
from collections.abc import Callable

import pytest

from pomelobank_core import (
    ErrorKind,
    Hedging,
    ManualClock,
    MemberTable,
    TwoChoices,
)
from pomelobank_node._bodies import with_rest
from pomelobank_node._crash_reports import CrashReports, request_fingerprint
from pomelobank_node._forwarder import RETRY_HEADER, Forwarder
from pomelobank_node._owner import Owner
from pomelobank_node._requests import (
    ForwardReply,
    ForwardRequest,
    RequestError,
    error_reply,
)
from pomelobank_node._tracing import begin_trace
from pomelobank_schema.generated.peer import Header, MemberEntry
from pomelobank_schema.generated.settings import RequestSettings

ANSWER = ForwardReply(status=200, body=b"whole")
SHED = ForwardReply(status=503, retry_after_ms=200)


class ScriptedLinks:
    """Peers that give the scripted replies in order."""

    def __init__(self, *replies: ForwardReply | ErrorKind) -> None:
        self.replies = list(replies)
        self.sent: list[ForwardRequest] = []
        self.on_forward: Callable[[], None] = lambda: None

    def to(self, address: str) -> "ScriptedLinks":
        return self

    async def send(self, frame: object) -> None:
        return

    async def forward(self, request: ForwardRequest) -> ForwardReply:
        self.sent.append(request)
        self.on_forward()
        reply = self.replies.pop(0)
        if isinstance(reply, ErrorKind):
            return error_reply(0, RequestError(reply))
        return reply


def _forwarder(links: ScriptedLinks) -> Forwarder:
    members = MemberTable(MemberEntry(node="entry"))
    members.merge(
        MemberEntry(
            node=f"t{number}",
            state="ready",
            upstream="stock",
            slots=10,
            peer_address=f"127.0.0.1:{number + 1}",
        )
        for number in range(4)
    )
    clock = ManualClock(1000)
    reports = CrashReports(members, links, clock)
    owner = Owner(RequestSettings(), clock, reports)
    return Forwarder(members, owner, links, clock, TwoChoices())


def _request(idempotent: bool, **changes: object) -> ForwardRequest:
    return ForwardRequest(
        upstream="stock",
        route="stock",
        method="GET",
        target=b"/stock/1",
        remaining_ms=5000,
        traffic_class="interactive",
        idempotent=idempotent,
        **changes,
    )


UPSTREAM_LOST = ErrorKind.UPSTREAM_LOST
OVERLOADED = ErrorKind.OVERLOADED
DRAINING = ErrorKind.DRAINING
TARGET_LIMITED = ErrorKind.TARGET_LIMITED


@pytest.mark.parametrize(
    ("idempotent", "replies", "error", "status"),
    [
        pytest.param(
            True, [UPSTREAM_LOST, ANSWER], "", 200, id="lost_then_answered"
        ),
        pytest.param(
            False, [UPSTREAM_LOST], "upstream_lost", 0, id="lost_once_only"
        ),
        pytest.param(
            False, [OVERLOADED, ANSWER], "", 200, id="full_then_answered"
        ),
        pytest.param(
            True,
            [UPSTREAM_LOST, OVERLOADED],
            "upstream_lost",
            0,
            id="lost_then_full",
        ),
        pytest.param(
            False, [DRAINING, OVERLOADED, ANSWER], "", 200, id="redirected"
        ),
        pytest.param(
            False, [TARGET_LIMITED, ANSWER], "", 200, id="limited_then_answered"
        ),
        pytest.param(
            False, [TARGET_LIMITED] * 4, "target_limited", 0, id="all_limited"
        ),
        pytest.param(True, [SHED, ANSWER], "", 200, id="shed_then_answered"),
        pytest.param(False, [SHED], "", 503, id="shed_is_an_answer"),
        pytest.param(True, [SHED, OVERLOADED], "", 503, id="shed_then_refused"),
    ],
)
async def test_final_reply_after_several_attempts(
    idempotent: bool,
    replies: list[ForwardReply | ErrorKind],
    error: str,
    status: int,
) -> None:
    """Guards against a final "not run" after an attempt that may have run.

    Attempts of one request end differently, and the caller receives one reply.
    A caller that receives "not run" sends its reorder again, so the reorder
    would be placed twice.
    """
    links = ScriptedLinks(*replies)
    reply = await _forwarder(links).forward(_request(idempotent))
    assert (reply.error, reply.status) == (error, status)
    assert not links.replies


async def test_limited_targets_reject_requests_at_the_entry() -> None:
    """Each of them would visit every target before its rejection."""
    links = ScriptedLinks(*[TARGET_LIMITED] * 4)
    forwarder = _forwarder(links)
    await forwarder.forward(_request(idempotent=True))
    assert not links.replies
    with pytest.raises(RequestError) as caught:
        await forwarder.forward(_request(idempotent=True))
    assert caught.value.kind is ErrorKind.OVERLOADED
    assert caught.value.retry_after_ms


class PartlyReadBody:
    """The rest of a body that the first attempt has started to read."""

    started = True

    async def read(self) -> bytes:
        return b""

    def close(self) -> None:
        return


async def test_partly_read_body_is_not_sent_again() -> None:
    """Guards against a truncated upload that is stored as complete.

    A target crashes in the middle of a large idempotent upload. A second
    target would receive the upload without the parts that were sent to the
    first target.
    """
    links = ScriptedLinks(UPSTREAM_LOST, ANSWER)
    upload = with_rest(_request(True), PartlyReadBody())
    reply = await _forwarder(links).forward(upload)
    assert reply.error == "upstream_lost"
    assert len(links.sent) == 1


async def test_targets_are_attempted_once_and_retries_are_marked() -> None:
    links = ScriptedLinks(DRAINING, UPSTREAM_LOST, ANSWER)
    await _forwarder(links).forward(_request(True))
    marked = [
        any(header.name == RETRY_HEADER for header in request.headers)
        for request in links.sent
    ]
    assert marked == [False, False, True]


async def test_call_within_a_retry_is_not_retried() -> None:
    """Guards against retries that multiply along a chain of calls.

    A service calls another service while its own request is being retried.
    """
    header = Header(name=RETRY_HEADER, value=b"1")
    links = ScriptedLinks(UPSTREAM_LOST)
    reply = await _forwarder(links).forward(_request(True, headers=(header,)))
    assert reply.error == "upstream_lost"


async def test_request_quarantined_between_two_attempts() -> None:
    """Guards against "not run" for a request that may have run.

    The report that the request crashes targets arrives during the request's
    first attempt. That attempt may have run, so the caller must not receive
    "not run".
    """
    links = ScriptedLinks(UPSTREAM_LOST)
    forwarder = _forwarder(links)
    reports = forwarder.owner.crash_reports

    def report_two_crashes() -> None:
        reports.on_target_lost([links.sent[0]])
        reports.on_target_lost([links.sent[0]])

    links.on_forward = report_two_crashes
    reply = await forwarder.forward(_request(True))
    assert reply.error == "upstream_lost"
    assert reply.retry_after_ms == 60_000
    with pytest.raises(RequestError) as rejected:
        await forwarder.forward(_request(True))
    assert rejected.value.kind is ErrorKind.QUARANTINED
    assert request_fingerprint(links.sent[0]) in reports.table.entries


class UnresponsiveLinks(ScriptedLinks):
    """Peers that never reply to the first requests."""

    def __init__(
        self, unresponsive: int, *replies: ForwardReply | ErrorKind
    ) -> None:
        super().__init__(*replies)
        self.unresponsive = unresponsive
        self.cancelled = 0
        self.all_sent = asyncio.Event()

    async def forward(self, request: ForwardRequest) -> ForwardReply:
        if len(self.sent) >= self.unresponsive:
            return await super().forward(request)
        self.sent.append(request)
        if len(self.sent) == self.unresponsive:
            self.all_sent.set()
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        raise AssertionError


def _hedging_forwarder(links: ScriptedLinks) -> Forwarder:
    forwarder = _forwarder(links)
    forwarder.hedging = Hedging()
    forwarder.hedging.add_response_time("stock", 1, 1000)
    return forwarder


@pytest.mark.parametrize(
    ("replies", "status"),
    [
        pytest.param([ANSWER], 200, id="answered by the second"),
        pytest.param([ForwardReply(status=500)], 500, id="failed there"),
    ],
)
async def test_slow_look_up_is_hedged(
    replies: list[ForwardReply], status: int
) -> None:
    """Guards against a look-up that waits for its deadline at one target.

    The response of a target was lost, or the target does not respond, while
    other targets are idle. The node cancels the attempt that lost.
    """
    links = UnresponsiveLinks(1, *replies)
    forwarder = _hedging_forwarder(links)
    reply = await forwarder.forward(_request(True))
    assert reply.status == status
    await asyncio.sleep(0)
    assert (len(links.sent), links.cancelled) == (2, 1)
    assert (forwarder.hedged, forwarder.hedges_won) == (1, 1)


async def test_hedge_does_not_queue_at_a_busy_target() -> None:
    """Guards against hedges that take slots from first attempts.

    The other target is busy. The hedge must not queue there, and the first
    attempt continues.
    """
    links = UnresponsiveLinks(1, OVERLOADED)
    forwarding = asyncio.create_task(
        _hedging_forwarder(links).forward(_request(True))
    )
    _, pending = await asyncio.wait({forwarding}, timeout=0.2)
    assert pending
    assert [item.max_wait_ms for item in links.sent] == [0, 1]
    forwarding.cancel()
    await asyncio.gather(forwarding, return_exceptions=True)


@pytest.mark.parametrize(
    ("idempotent", "changes"),
    [
        pytest.param(False, {}, id="may run once only"),
        pytest.param(True, {"max_attempts": 1}, id="one target only"),
    ],
)
async def test_request_that_must_not_run_twice_is_not_hedged(
    idempotent: bool, changes: dict[str, int]
) -> None:
    """Guards against an order that is placed twice.

    An order is past its hedging delay. A hedge could run the order a second
    time.
    """
    links = UnresponsiveLinks(1, ANSWER)
    forwarder = _hedging_forwarder(links)
    forwarding = asyncio.create_task(
        forwarder.forward(_request(idempotent, **changes))
    )
    _, pending = await asyncio.wait({forwarding}, timeout=0.2)
    assert pending
    forwarding.cancel()
    await asyncio.gather(forwarding, return_exceptions=True)
    assert (len(links.sent), forwarder.hedged) == (1, 0)


async def test_cancelled_request_cancels_both_attempts() -> None:
    links = UnresponsiveLinks(2)
    forwarder = _hedging_forwarder(links)
    forwarding = asyncio.create_task(forwarder.forward(_request(True)))
    async with asyncio.timeout(20):
        await links.all_sent.wait()
    forwarding.cancel()
    await asyncio.gather(forwarding, return_exceptions=True)
    assert links.cancelled == 2


async def test_request_suspected_of_crashing_targets_is_not_hedged() -> None:
    """Guards against a hedge that crashes a second target.

    A look-up is past its hedging delay because the target that runs the
    look-up is about to crash.
    """
    links = UnresponsiveLinks(1, ANSWER)
    forwarder = _hedging_forwarder(links)
    forwarder.owner.crash_reports.on_target_lost([_request(True)])
    forwarding = asyncio.create_task(forwarder.forward(_request(True)))
    _, pending = await asyncio.wait({forwarding}, timeout=0.2)
    assert pending
    forwarding.cancel()
    await asyncio.gather(forwarding, return_exceptions=True)
    assert (len(links.sent), forwarder.hedged) == (1, 0)


def _declined(wait_ms: int) -> ForwardReply:
    return error_reply(0, RequestError(ErrorKind.OVERLOADED, wait_ms))


@pytest.mark.parametrize(
    ("replies", "error", "waits"),
    [
        pytest.param([ANSWER], "", [50], id="idle"),
        pytest.param([_declined(90), ANSWER], "", [50, 50], id="second_idle"),
        pytest.param(
            [_declined(90), _declined(70), ANSWER],
            "",
            [50, 50, 0],
            id="none_idle",
        ),
        pytest.param(
            [_declined(90), _declined(70), OVERLOADED, OVERLOADED, OVERLOADED],
            "overloaded",
            [50, 50, 0, 0, 0],
            id="all_full",
        ),
    ],
)
async def test_busy_target_declines_an_offer(
    replies: list[ForwardReply | ErrorKind], error: str, waits: list[int]
) -> None:
    """Guards against a wait at a busy target while other targets are idle.

    A node receives a target's load once a second, but a queue forms within
    less time. Callers would see high latency in a mesh with half of its slots
    free.
    """
    links = ScriptedLinks(*replies)
    forwarder = _forwarder(links)
    forwarder.retries.free_rejections = True
    reply = await forwarder.forward(_request(False, aim_ms=500))
    assert reply.error == error
    assert [request.max_wait_ms for request in links.sent] == waits
    assert not links.replies


async def test_least_busy_target_queues_a_request_that_all_declined() -> None:
    links = ScriptedLinks(_declined(70), _declined(90), ANSWER)
    selected: list[str] = []
    links.to = lambda address: selected.append(address) or links  # type: ignore
    forwarder = _forwarder(links)
    forwarder.retries.free_rejections = True
    await forwarder.forward(_request(False, aim_ms=500))
    assert selected[2] == selected[0] != selected[1]


async def test_trace_lists_the_attempt_in_progress() -> None:
    """Guards against a log line that omits where a cancelled request waited."""
    links = ScriptedLinks(ANSWER)
    forwarder = _forwarder(links)
    trace = begin_trace()
    during_attempt: list[str] = []
    links.on_forward = lambda: during_attempt.extend(
        item.describe(1200) for item in trace.attempts
    )
    await forwarder.forward(_request(idempotent=True))
    node = trace.attempts[0].node
    assert during_attempt == [f"{node}@0:in_progress:200ms"]
    assert trace.attempts[0].describe(1300) == f"{node}@0:200:0ms"
