"""Rejections of targets with free slots, from the target to the caller."""

import asyncio
from typing import Any

import attrs
import pytest

from pomelobank_core import ErrorKind, ManualClock, MemberTable, TargetResult
from pomelobank_core.shedding import FULL_TARGET_DELAY_MS
from pomelobank_node._crash_reports import CrashReports
from pomelobank_node._forwarding_state import observation
from pomelobank_node._owner import Owner, Target
from pomelobank_node._requests import (
    ForwardReply,
    ForwardRequest,
    RequestError,
    error_reply,
)
from pomelobank_node._upstream_client import UpstreamResponse
from pomelobank_node.tests.forwarding_support import new_forwarder
from pomelobank_schema.generated.peer import MemberEntry
from pomelobank_schema.generated.settings import RequestSettings

SLOTS = 3
RANDOM = error_reply(0, RequestError(ErrorKind.TARGET_REFUSED, 12))
FULL = error_reply(0, RequestError(ErrorKind.TARGET_REFUSED))
SERVED = ForwardReply(status=200)
REQUEST = ForwardRequest(
    upstream="stock",
    route="stock",
    method="GET",
    target=b"/stock/1",
    remaining_ms=5000,
    traffic_class="interactive",
    idempotent=False,
)


@attrs.define(eq=False)
class RejectingTarget:
    """Runs the first requests until they are cancelled, rejects the others."""

    running: int
    received: int = 0

    async def request(self, *_: object, **__: object) -> UpstreamResponse:
        self.received += 1
        if self.received <= self.running:
            await asyncio.Event().wait()
        raise RequestError(ErrorKind.TARGET_REFUSED)


async def _reply_of_target(owner: Owner, running: int) -> ForwardReply:
    target: Any = RejectingTarget(running)
    owner.target = Target("stock", "127.0.0.1:1", SLOTS)
    owner.admission_queue.set_slots(SLOTS)
    owner.pool = target
    tasks = [asyncio.create_task(owner.serve(REQUEST)) for _ in range(running)]
    await asyncio.sleep(0)
    reply = await owner.serve(REQUEST)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return reply


def _owner(admission: str = "by_deadline") -> Owner:
    members = MemberTable(MemberEntry(node="own"))
    links: Any = None
    clock = ManualClock(1000)
    reports = CrashReports(members, links, clock)
    return Owner(RequestSettings(admission=admission), clock, reports)


@pytest.mark.parametrize(
    ("running", "is_random"),
    [
        pytest.param(0, True, id="free slots"),
        pytest.param(SLOTS - 1, False, id="last slot"),
    ],
)
async def test_owner_tells_random_rejections_from_a_full_target(
    running: int, is_random: bool
) -> None:
    """Guards against needless waits, and a full target that counts as free."""
    owner = _owner()
    reply = await _reply_of_target(owner, running)
    assert reply.error == ErrorKind.TARGET_REFUSED.value
    assert (reply.retry_after_ms < FULL_TARGET_DELAY_MS) is is_random
    assert owner.random_rejections.count == is_random


async def test_random_rejections_do_not_lower_the_concurrency_limit() -> None:
    """Guards against idle slots at targets that reject at random."""
    owner = _owner("guaranteed_shared")
    owner.target = Target("stock", "127.0.0.1:1", SLOTS)
    before = owner.admission_queue.admission.limit.current
    await _reply_of_target(owner, 0)
    assert owner.admission_queue.admission.limit.current >= before


async def test_requests_given_up_while_they_ran_still_fill_their_slots() -> (
    None
):
    """Guards against a target that counts as free while it is full."""
    owner = _owner()
    await _reply_of_target(owner, SLOTS - 1)
    assert len(owner.random_rejections.abandoned_until_ms) == SLOTS - 1


@pytest.mark.parametrize(
    ("reply", "result"),
    [
        pytest.param(RANDOM, TargetResult.NEUTRAL, id="random"),
        pytest.param(FULL, TargetResult.FULL, id="full"),
    ],
)
def test_only_full_targets_are_marked_as_full(
    reply: ForwardReply, result: TargetResult
) -> None:
    """Guards against hints that keep requests from targets with free slots."""
    assert observation(REQUEST, reply, 3, 0).result is result


class RepliesInOrder:
    """Peers that give the scripted replies in order."""

    def __init__(self, *replies: ForwardReply) -> None:
        self.replies = list(replies)
        self.sent: list[str] = []
        self.address = ""

    def to(self, address: str) -> "RepliesInOrder":
        self.address = address
        return self

    async def send(self, frame: object) -> None:
        return

    async def forward(
        self, request: ForwardRequest, on_slot: object = None
    ) -> ForwardReply:
        self.sent.append(self.address)
        return self.replies.pop(0)


async def test_rejected_request_that_may_run_once_runs_once() -> None:
    """Guards against another attempt of a request that has run."""
    links = RepliesInOrder(RANDOM, RANDOM, SERVED, SERVED)
    reply = await new_forwarder(links, lambda _: "a").forward(REQUEST)
    assert reply.status == SERVED.status
    assert len(links.sent) == len(set(links.sent)) == 3


async def test_lost_request_that_may_run_once_is_not_retried() -> None:
    """Guards against a second run after a random rejection and a loss."""
    lost = error_reply(0, RequestError(ErrorKind.UPSTREAM_LOST))
    links = RepliesInOrder(RANDOM, lost, SERVED)
    reply = await new_forwarder(links, lambda _: "a").forward(REQUEST)
    assert reply.error == ErrorKind.UPSTREAM_LOST.value
    assert len(links.sent) == 2


async def test_run_that_loses_a_call_is_counted_once() -> None:
    """Guards against lost runs that operators cannot see."""
    links = RepliesInOrder(*[RANDOM] * 10)
    forwarder = new_forwarder(links, lambda _: "a")
    for route, aim_ms in (("stock", 100), ("report", 1000)):
        forwarder.retries.on_first_attempt("stock", 1000, route, aim_ms)
    call = attrs.evolve(REQUEST, aim_ms=100, max_attempts=1)
    replies = await asyncio.gather(
        forwarder.forward(call), forwarder.forward(call)
    )
    assert all(reply.error for reply in replies)
    assert forwarder.lost_runs == 1
