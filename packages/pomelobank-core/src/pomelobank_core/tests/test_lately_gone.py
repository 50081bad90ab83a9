"""Members look for one that went lately, in case it was only restarted."""

import random

import pytest

from pomelobank_core import MemberTable, SendFrame, Swim
from pomelobank_core._swim import POLLERS_PER_GONE_MEMBER, RECENTLY_GONE_MS
from pomelobank_schema.generated.peer import Gossip, MemberEntry, SyncRequest
from pomelobank_schema.generated.settings import MembershipSettings

PERIOD_MS = 500
TICK_MS = 100
# Tries of members that went long ago are left out.
RARELY_MS = 600_000
RESTARTED = "n0"


def _entry(number: int, state: str = "ready") -> MemberEntry:
    return MemberEntry(
        node=f"n{number}",
        incarnation=1,
        state=state,
        peer_address=f"127.0.0.1:{number + 1}",
    )


def _members(count: int) -> list[Swim]:
    """Returns members, all of which know that one has just gone."""
    settings = MembershipSettings(
        period_ms=PERIOD_MS, rejoin_period_ms=RARELY_MS
    )
    members = []
    for number in range(1, count):
        table = MemberTable(_entry(number))
        table.merge(_entry(i) for i in range(1, count) if i != number)
        swim = Swim(table, settings, random.Random(number))
        swim.next_rejoin_ms = RARELY_MS
        swim.on_gossip(Gossip(members=(_entry(0, "gone"),)), now_ms=0)
        members.append(swim)
    return members


def _looks(members: list[Swim], from_ms: int, until_ms: int) -> list[int]:
    """Returns when somebody asked the one that has gone."""
    return [
        now_ms
        for now_ms in range(from_ms, until_ms, TICK_MS)
        for swim in members
        for action in swim.tick(now_ms)
        if isinstance(action, SendFrame)
        and isinstance(action.frame, SyncRequest)
        and action.address == _entry(0).peer_address
    ]


@pytest.mark.parametrize("count", [3, 8, 60])
def test_a_restarted_node_is_found_without_the_log(count: int) -> None:
    """A node is restarted while the log of first contacts is away.

    It knows nobody. Unless somebody asks at its old address, the target beside
    it gets no requests until the log is back.
    """
    looks = _looks(_members(count), 0, 5000)
    waits = [b - a for a, b in zip([0, *looks], looks, strict=False)]
    assert max(waits) <= 2 * PERIOD_MS


def test_few_members_look() -> None:
    """One of 200 nodes is restarted.

    With handshakes from all others every half second it would have no time to
    start.
    """
    rounds = 5000 // PERIOD_MS
    assert (
        len(_looks(_members(200), 0, 5000))
        <= 2 * POLLERS_PER_GONE_MEMBER * rounds
    )


def test_a_member_that_does_not_come_back_is_left_alone() -> None:
    members = _members(8)
    _looks(members, 0, RECENTLY_GONE_MS)
    later = _looks(members, RECENTLY_GONE_MS, RECENTLY_GONE_MS + 10_000)
    rounds = 10_000 // PERIOD_MS
    assert len(later) < rounds
