"""Tests that members poll a recently gone member.

The member may have been restarted and know no peer.
"""

import random

import pytest

from pomelobank_core import MemberTable, SendFrame, Swim
from pomelobank_core._swim import POLLERS_PER_GONE_MEMBER, RECENTLY_GONE_MS
from pomelobank_schema.generated.peer import Gossip, MemberEntry, SyncRequest
from pomelobank_schema.generated.settings import MembershipSettings

PERIOD_MS = 500
TICK_MS = 100
# Longer than the simulated time, so that no member polls members that went long
# ago.
REJOIN_PERIOD_MS = 600_000
RESTARTED = "n0"


def _entry(number: int, state: str = "ready") -> MemberEntry:
    return MemberEntry(
        node=f"n{number}",
        incarnation=1,
        state=state,
        peer_address=f"127.0.0.1:{number + 1}",
    )


def _members(count: int) -> list[Swim]:
    """Returns members that all know of one member that has just gone."""
    settings = MembershipSettings(
        period_ms=PERIOD_MS, rejoin_period_ms=REJOIN_PERIOD_MS
    )
    members = []
    for number in range(1, count):
        table = MemberTable(_entry(number))
        table.merge(_entry(i) for i in range(1, count) if i != number)
        swim = Swim(table, settings, random.Random(number))
        swim.next_gone_sync_ms = REJOIN_PERIOD_MS
        swim.on_gossip(Gossip(members=(_entry(0, "gone"),)), now_ms=0)
        members.append(swim)
    return members


def _poll_times(members: list[Swim], from_ms: int, until_ms: int) -> list[int]:
    """Returns the times at which a member polled the gone member."""
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
    """A node is restarted while the log with the contacts is unavailable.

    The restarted node knows no members. Unless a member polls the node's old
    address, the target beside the node gets no requests until the log is
    available again.
    """
    polls = _poll_times(_members(count), 0, 5000)
    waits = [b - a for a, b in zip([0, *polls], polls, strict=False)]
    assert max(waits) <= 2 * PERIOD_MS


def test_few_members_poll_a_gone_member() -> None:
    """One of 200 nodes is restarted.

    If all other nodes polled the restarted node every half second, the node
    would have no time to start.
    """
    rounds = 5000 // PERIOD_MS
    assert (
        len(_poll_times(_members(200), 0, 5000))
        <= 2 * POLLERS_PER_GONE_MEMBER * rounds
    )


def test_polling_of_a_gone_member_ends() -> None:
    members = _members(8)
    _poll_times(members, 0, RECENTLY_GONE_MS)
    later = _poll_times(members, RECENTLY_GONE_MS, RECENTLY_GONE_MS + 10_000)
    rounds = 10_000 // PERIOD_MS
    assert len(later) < rounds
