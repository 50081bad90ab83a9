"""A node accepts keys only while its knowledge of the source is recent."""

import pytest

from pomelobank_core import ReadingRole
from pomelobank_core.workspaces import (
    NEVER_KNOWN_MS,
    ConfigFreshness,
    FreshnessSchedule,
    QueryScope,
)
from pomelobank_core.workspaces._freshness_schedule import (
    FOLLOWER_INTERVAL_MS,
    READ_INTERVAL_MS,
    REPLY_TIMEOUT_MS,
    STALE_TIMEOUT_MS,
)

REVOKE_MS = 5000
MAX_AGE_MS = 4950
FOLLOWER = ReadingRole.FOLLOWER


def queried(sent_ms: int = 1000) -> ConfigFreshness:
    """Returns what a node knows that has sent query 1."""
    freshness = ConfigFreshness(REVOKE_MS)
    freshness.on_query(1, sent_ms)
    return freshness


def test_keys_are_accepted_up_to_the_highest_age() -> None:
    freshness = ConfigFreshness(REVOKE_MS)
    freshness.on_read(1000)
    assert freshness.accepts_keys(1000 + MAX_AGE_MS)
    assert not freshness.accepts_keys(1001 + MAX_AGE_MS)


def test_without_strict_revocation_keys_are_always_accepted() -> None:
    freshness = ConfigFreshness(0)
    assert freshness.accepts_keys(10**9)
    assert freshness.retry_after_ms(10**9) == 0


def test_a_delayed_reply_counts_from_the_sending_of_the_query() -> None:
    """A reply that is under way for 4 s must not look as new as its age."""
    freshness = queried(sent_ms=1000)
    freshness.on_reply(1, version=3, age_ms=200, in_force=3)
    assert freshness.known_as_of_ms == 800
    assert not freshness.accepts_keys(801 + MAX_AGE_MS)


def test_a_reply_counts_once() -> None:
    """A peer or the network repeats a reply; its age is that of long ago."""
    freshness = queried()
    assert freshness.on_reply(1, 3, 200, 3)
    freshness.on_query(2, 9000)
    assert not freshness.on_reply(1, 3, 200, 3)
    assert freshness.known_as_of_ms == 800


def test_a_peer_that_replies_an_older_age_takes_nothing_back() -> None:
    """A peer that is cut off replies an age that grows with each query."""
    freshness = queried()
    freshness.on_read(900)
    freshness.on_reply(1, 3, 4000, 3)
    assert freshness.known_as_of_ms == 900


@pytest.mark.parametrize("age_ms", [NEVER_KNOWN_MS, -2000])
def test_a_reply_without_a_valid_age_does_not_count(age_ms: int) -> None:
    """A peer that has just started, or is faulty, knows nothing."""
    freshness = queried()
    assert not freshness.on_reply(1, 3, age_ms, 3)
    assert freshness.known_as_of_ms is None


def test_a_newer_version_counts_once_it_is_in_force() -> None:
    """The version that the peer has may have removed a key."""
    freshness = queried()
    freshness.on_reply(1, version=4, age_ms=200, in_force=3)
    freshness.on_version(3)
    assert freshness.known_as_of_ms is None
    freshness.on_version(4)
    assert freshness.known_as_of_ms == 800


def test_nodes_that_query_each_other_do_not_grow_younger() -> None:
    """Two nodes are cut off together, and their clocks round down.

    One reads its clock just after a full millisecond, one just before it.
    Without rounding up, each exchange would gain almost 1 ms.
    """
    first, second = ConfigFreshness(REVOKE_MS), ConfigFreshness(REVOKE_MS)
    first.on_read(0)
    for number in range(1, 100):
        # The second node's clock shows one more than the first one's, while
        # the exchange takes no time.
        second.on_query(number, number + 1)
        second.on_reply(number, 1, first.reply_age_ms(number), 1)
        first.on_query(number, number + 1)
        first.on_reply(number, 1, second.reply_age_ms(number + 1), 1)
    assert first.known_as_of_ms == 0


def test_the_retry_delay_grows_with_the_outage() -> None:
    freshness = ConfigFreshness(REVOKE_MS)
    assert freshness.retry_after_ms(0) == 200
    freshness.on_read(0)
    delays = [
        freshness.retry_after_ms(MAX_AGE_MS + stale_ms)
        for stale_ms in (0, 100, 1000, 60_000)
    ]
    assert delays == [0, 200, 500, 2000]


def test_a_lost_reply_leads_to_queries_of_more_peers() -> None:
    """The relay does not respond; the keys must not expire meanwhile."""
    freshness = ConfigFreshness(REVOKE_MS)
    freshness.on_read(0)
    schedule = FreshnessSchedule(freshness, 0.0, 0)
    assert schedule.next_query(FOLLOWER, 0) is QueryScope.NEXT
    before_ms = REPLY_TIMEOUT_MS - 1
    assert schedule.next_query(FOLLOWER, before_ms) is QueryScope.NONE
    assert schedule.next_query(FOLLOWER, before_ms + 1) is QueryScope.WIDE
    schedule.on_reply()
    next_ms = REPLY_TIMEOUT_MS + FOLLOWER_INTERVAL_MS
    assert schedule.next_query(FOLLOWER, next_ms - 1) is QueryScope.NONE
    assert schedule.next_query(FOLLOWER, next_ms) is QueryScope.NEXT


def test_a_relay_that_knows_nothing_new_counts_as_no_answer() -> None:
    """The relay replies but is itself cut off from the source."""
    freshness = ConfigFreshness(REVOKE_MS)
    freshness.on_read(0)
    schedule = FreshnessSchedule(freshness, 0.0, 0)
    schedule.next_query(FOLLOWER, 2400)
    schedule.on_reply()
    assert schedule.next_query(FOLLOWER, 2900) is QueryScope.WIDE


def test_a_reader_queries_only_after_its_reads_have_failed() -> None:
    freshness = ConfigFreshness(REVOKE_MS)
    freshness.on_read(0)
    schedule = FreshnessSchedule(freshness, 0.0, 0)
    assert schedule.next_query(ReadingRole.READER, 1999) is QueryScope.NONE
    assert schedule.next_query(ReadingRole.READER, 2000) is QueryScope.NEXT


def test_a_started_node_queries_several_peers_often() -> None:
    """Without any knowledge each moment costs callers their requests."""
    schedule = FreshnessSchedule(ConfigFreshness(REVOKE_MS), 0.0, 100)
    assert schedule.next_query(FOLLOWER, 100) is QueryScope.WIDE
    due_ms = 100 + STALE_TIMEOUT_MS
    assert schedule.due_ms(FOLLOWER, 100) == due_ms
    assert schedule.next_query(FOLLOWER, due_ms) is QueryScope.WIDE


@pytest.mark.parametrize(
    ("role", "spread", "due_ms"),
    [
        pytest.param(ReadingRole.RELAY, 1.0, 2500, id="relay"),
        pytest.param(FOLLOWER, 0.0, 3000, id="first follower"),
        pytest.param(FOLLOWER, 1.0, 3500, id="last follower"),
    ],
)
def test_relays_read_before_their_followers(
    role: ReadingRole, spread: float, due_ms: int
) -> None:
    """Otherwise every node would read at once, and reads grow with nodes."""
    freshness = ConfigFreshness(REVOKE_MS)
    freshness.on_read(0)
    schedule = FreshnessSchedule(freshness, spread, 0)
    assert not schedule.must_read(role, due_ms - 1)
    assert schedule.must_read(role, due_ms)
    assert not schedule.must_read(role, due_ms + READ_INTERVAL_MS - 1)
