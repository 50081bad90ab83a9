"""What a caller is told after one or more tries."""

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
from pomelobank_schema.generated.peer import Header, MemberEntry
from pomelobank_schema.generated.settings import RequestSettings

ANSWER = ForwardReply(status=200, body=b"whole")
SHED = ForwardReply(status=503, retry_after_ms=200)


class ScriptedLinks:
    """Peers that reply as the test has written down."""

    def __init__(self, *replies: ForwardReply | ErrorKind) -> None:
        self.replies = list(replies)
        self.sent: list[ForwardRequest] = []
        self.before: Callable[[], None] = lambda: None

    def to(self, address: str) -> "ScriptedLinks":
        return self

    async def send(self, frame: object) -> None:
        return

    async def forward(self, request: ForwardRequest) -> ForwardReply:
        self.sent.append(request)
        self.before()
        reply = self.replies.pop(0)
        if isinstance(reply, ErrorKind):
            return error_reply(0, RequestError(reply))
        return reply


def _forwarder(links: ScriptedLinks) -> Forwarder:
    table = MemberTable(MemberEntry(node="entry"))
    table.merge(
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
    reports = CrashReports(table, links, clock)
    owner = Owner(RequestSettings(), clock, reports)
    return Forwarder(table, owner, links, clock, TwoChoices())


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


LOST = ErrorKind.UPSTREAM_LOST
FULL = ErrorKind.OVERLOADED
DRAINING = ErrorKind.DRAINING


@pytest.mark.parametrize(
    ("idempotent", "replies", "error", "status"),
    [
        pytest.param(True, [LOST, ANSWER], "", 200, id="lost_then_answered"),
        pytest.param(False, [LOST], "upstream_lost", 0, id="lost_once_only"),
        pytest.param(False, [FULL, ANSWER], "", 200, id="full_then_answered"),
        pytest.param(
            True, [LOST, FULL], "upstream_lost", 0, id="lost_then_full"
        ),
        pytest.param(False, [DRAINING, FULL, ANSWER], "", 200, id="redirected"),
        pytest.param(True, [SHED, ANSWER], "", 200, id="shed_then_answered"),
        pytest.param(False, [SHED], "", 503, id="shed_is_an_answer"),
        pytest.param(True, [SHED, FULL], "", 503, id="shed_then_refused"),
    ],
)
async def test_last_word(
    idempotent: bool,
    replies: list[ForwardReply | ErrorKind],
    error: str,
    status: int,
) -> None:
    """Tries end differently; the caller hears of one of them.

    Where one may have run, "not run" would make a caller send a reorder anew.
    """
    links = ScriptedLinks(*replies)
    reply = await _forwarder(links).forward(_request(idempotent))
    assert (reply.error, reply.status) == (error, status)
    assert not links.replies


class SpentBody:
    """The rest of a body that a first target has taken."""

    started = True

    async def read(self) -> bytes:
        return b""

    def close(self) -> None:
        return


async def test_a_body_that_was_taken_is_not_sent_again() -> None:
    """A target dies in the middle of a large upload that may run twice.

    Sent on, the upload would lack what the first target took, and be stored
    as if it were whole.
    """
    links = ScriptedLinks(LOST, ANSWER)
    upload = with_rest(_request(True), SpentBody())
    reply = await _forwarder(links).forward(upload)
    assert reply.error == "upstream_lost"
    assert len(links.sent) == 1


async def test_no_target_is_tried_twice_and_retries_are_marked() -> None:
    links = ScriptedLinks(DRAINING, LOST, ANSWER)
    await _forwarder(links).forward(_request(True))
    marked = [
        any(header.name == RETRY_HEADER for header in request.headers)
        for request in links.sent
    ]
    assert marked == [False, False, True]


async def test_part_of_a_retry_is_not_retried() -> None:
    """A service calls another while its own request is being retried."""
    header = Header(name=RETRY_HEADER, value=b"1")
    links = ScriptedLinks(LOST)
    reply = await _forwarder(links).forward(_request(True, headers=(header,)))
    assert reply.error == "upstream_lost"


async def test_quarantined_between_two_tries() -> None:
    """The news that a request crashes targets comes during its first try.

    It may have run there, so the caller must not hear that it has not.
    """
    links = ScriptedLinks(LOST)
    forwarder = _forwarder(links)
    reports = forwarder.owner.crash_reports

    def crash_alone_twice() -> None:
        reports.on_target_lost([links.sent[0]])
        reports.on_target_lost([links.sent[0]])

    links.before = crash_alone_twice
    reply = await forwarder.forward(_request(True))
    assert reply.error == "upstream_lost"
    assert reply.retry_after_ms == 60_000
    with pytest.raises(RequestError) as refused:
        await forwarder.forward(_request(True))
    assert refused.value.kind is ErrorKind.QUARANTINED
    assert request_fingerprint(links.sent[0]) in reports.table.entries


class SilentLinks(ScriptedLinks):
    """Peers of which the first ones asked never answer."""

    def __init__(self, silent: int, *replies: ForwardReply | ErrorKind) -> None:
        super().__init__(*replies)
        self.silent = silent
        self.cancelled = 0
        self.all_asked = asyncio.Event()

    async def forward(self, request: ForwardRequest) -> ForwardReply:
        if len(self.sent) >= self.silent:
            return await super().forward(request)
        self.sent.append(request)
        if len(self.sent) == self.silent:
            self.all_asked.set()
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        raise AssertionError


def _hedging(links: ScriptedLinks) -> Forwarder:
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
async def test_an_overdue_look_up_is_sent_to_a_second_target(
    replies: list[ForwardReply], status: int
) -> None:
    """The answer of a target was lost on its way, or the target stands still.

    The look-up would wait for its deadline while other targets stand idle.
    What is no longer needed is cancelled.
    """
    links = SilentLinks(1, *replies)
    forwarder = _hedging(links)
    reply = await forwarder.forward(_request(True))
    assert reply.status == status
    await asyncio.sleep(0)
    assert (len(links.sent), links.cancelled) == (2, 1)
    assert (forwarder.hedged, forwarder.hedges_won) == (1, 1)


async def test_a_second_try_does_not_queue_at_a_busy_target() -> None:
    """Guards against overdue requests that take slots from first tries."""
    links = SilentLinks(1, FULL)
    asked = asyncio.create_task(_hedging(links).forward(_request(True)))
    _, pending = await asyncio.wait({asked}, timeout=0.2)
    assert pending
    assert [item.max_wait_ms for item in links.sent] == [0, 1]
    asked.cancel()
    await asyncio.gather(asked, return_exceptions=True)


@pytest.mark.parametrize(
    ("idempotent", "changes"),
    [
        pytest.param(False, {}, id="may run once only"),
        pytest.param(True, {"max_attempts": 1}, id="one target only"),
    ],
)
async def test_what_may_not_run_twice_waits(
    idempotent: bool, changes: dict[str, int]
) -> None:
    """An order is overdue; sent again it could be lodged twice."""
    links = SilentLinks(1, ANSWER)
    forwarder = _hedging(links)
    asked = asyncio.create_task(
        forwarder.forward(_request(idempotent, **changes))
    )
    _, pending = await asyncio.wait({asked}, timeout=0.2)
    assert pending
    asked.cancel()
    await asyncio.gather(asked, return_exceptions=True)
    assert (len(links.sent), forwarder.hedged) == (1, 0)


async def test_a_caller_that_goes_cancels_both_tries() -> None:
    links = SilentLinks(2)
    forwarder = _hedging(links)
    asked = asyncio.create_task(forwarder.forward(_request(True)))
    async with asyncio.timeout(20):
        await links.all_asked.wait()
    asked.cancel()
    await asyncio.gather(asked, return_exceptions=True)
    assert links.cancelled == 2


async def test_a_request_that_may_crash_targets_is_not_sent_twice() -> None:
    """A look-up is overdue because the target that runs it is about to crash.

    Sent to a second target as well, it would take that one with it.
    """
    links = SilentLinks(1, ANSWER)
    forwarder = _hedging(links)
    forwarder.owner.crash_reports.on_target_lost([_request(True)])
    asked = asyncio.create_task(forwarder.forward(_request(True)))
    _, pending = await asyncio.wait({asked}, timeout=0.2)
    assert pending
    asked.cancel()
    await asyncio.gather(asked, return_exceptions=True)
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
            [_declined(90), _declined(70), FULL, FULL, FULL],
            "overloaded",
            [50, 50, 0, 0, 0],
            id="all_full",
        ),
    ],
)
async def test_a_busy_target_declines_while_others_may_be_idle(
    replies: list[ForwardReply | ErrorKind], error: str, waits: list[int]
) -> None:
    """A node hears of a target's load once a second, and queues form sooner.

    The request would wait in one while a target next door stands idle; its
    caller notices by answers that come late on a mesh with half of its slots
    free.
    """
    links = ScriptedLinks(*replies)
    forwarder = _forwarder(links)
    forwarder.retries.free_rejections = True
    reply = await forwarder.forward(_request(False, aim_ms=500))
    assert reply.error == error
    assert [request.max_wait_ms for request in links.sent] == waits
    assert not links.replies


async def test_the_least_busy_target_takes_what_all_declined() -> None:
    links = ScriptedLinks(_declined(70), _declined(90), ANSWER)
    asked: list[str] = []
    links.to = lambda address: asked.append(address) or links  # type: ignore
    forwarder = _forwarder(links)
    forwarder.retries.free_rejections = True
    await forwarder.forward(_request(False, aim_ms=500))
    assert asked[2] == asked[0] != asked[1]
