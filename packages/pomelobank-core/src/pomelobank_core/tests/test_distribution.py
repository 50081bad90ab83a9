"""Selection of log readers and of the peers that each node notifies."""

import random
from collections import deque

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from pomelobank_core import (
    Distribution,
    Neighbours,
    PullRecords,
    PushRecords,
    ReadPlan,
    SendDigest,
    find_neighbours,
)
from pomelobank_core._distribution import MAX_RETRY_MS
from pomelobank_schema.generated.peer import MemberEntry, VersionDigest
from pomelobank_schema.generated.settings import DistributionSettings

SETTINGS = DistributionSettings()


def member(
    index: int, data_centre: str = "hobart", state: str = "ready"
) -> MemberEntry:
    return MemberEntry(
        node=f"n{index}",
        data_centre=data_centre,
        state=state,
        peer_address=f"10.0.0.1:{index + 1}",
    )


def views(members: list[MemberEntry]) -> dict[str, Neighbours]:
    """Returns the neighbours of every member, by address."""
    return {
        own.peer_address: find_neighbours(
            own, [item for item in members if item is not own], SETTINGS
        )
        for own in members
    }


def reached(found: dict[str, Neighbours], dead: set[str]) -> set[str]:
    """Returns the live addresses that a record reaches from the readers."""
    waiting = deque(
        item
        for item, view in found.items()
        if view.is_reader and item not in dead
    )
    seen = set(waiting)
    while waiting:
        view = found[waiting.popleft()]
        for peer in (*view.push_to, *view.notify):
            if peer not in seen and peer not in dead:
                seen.add(peer)
                waiting.append(peer)
    return seen


@settings(max_examples=60, deadline=None)
@given(count=st.integers(2, 200), dead=st.integers(0, 10_000))
@example(count=3, dead=0)
@example(count=22, dead=174)
def test_one_paused_member_blocks_no_other_member(
    count: int, dead: int
) -> None:
    """A paused member neither receives nor forwards records.

    Until membership detects the pause, the members below the paused one would
    route by an outdated version. The second tree must notify these members.
    """
    members = [member(index) for index in range(count)]
    found = views(members)
    paused = members[dead % count].peer_address
    everyone = {item.peer_address for item in members}
    assert reached(found, set()) == everyone
    assert reached(found, {paused}) == everyone - {paused}


def test_readers_and_sends_do_not_grow_with_the_members() -> None:
    found = views([member(index) for index in range(170)])
    readers = [view for view in found.values() if view.is_reader]
    assert len(readers) == SETTINGS.readers
    max_sends = max(
        len(view.push_to) + len(view.notify) for view in found.values()
    )
    assert max_sends <= 3 * SETTINGS.fan_out + SETTINGS.readers


@pytest.mark.parametrize(
    "state",
    [
        pytest.param("gone", id="gone"),
        pytest.param("suspect", id="suspect"),
        pytest.param("draining", id="draining"),
    ],
)
def test_an_unavailable_member_is_no_reader(state: str) -> None:
    own = member(0)
    others = [member(index, state=state) for index in range(1, 20)]
    view = find_neighbours(own, others, SETTINGS)
    assert view.is_reader
    assert not view.push_to


def distribution(reader: bool, seed: int = 1) -> Distribution:
    return Distribution(
        SETTINGS, 5000, random.Random(seed), Neighbours(is_reader=reader)
    )


def test_a_reader_always_keeps_a_read_open() -> None:
    node = distribution(reader=True)
    assert node.next_read(0) == ReadPlan(0, 0)
    node.on_log_read(10, at_end=False)
    assert node.next_read(10) == ReadPlan(0, 0)
    node.on_log_read(20, at_end=True)
    assert node.next_read(20) == ReadPlan(0, 5000)


def test_other_nodes_do_not_read_while_a_reader_reads() -> None:
    node = distribution(reader=False)
    digest = VersionDigest(version=0, log_age_ms=100, heartbeat=True)
    for now_ms in range(0, 60_000, 500):
        node.on_digest(digest, 0, now_ms)
        assert node.next_read(now_ms).pause_ms > 0


def test_a_node_reads_the_log_when_all_readers_are_dead() -> None:
    """Every member considers another, dead member to be the reader.

    Without the fall-back, no node would read the log, and an accepted change
    would reach no node.
    """
    node = distribution(reader=False)
    node.on_log_read(0, at_end=True)
    latest_ms = SETTINGS.silence_ms + SETTINGS.fallback_ms
    plans = [node.next_read(now) for now in range(0, latest_ms + 2, 100)]
    plans.append(node.next_read(latest_ms + 2))
    assert any(plan.pause_ms == 0 for plan in plans)


def test_reads_after_an_outage_are_spread() -> None:
    """A thousand nodes lose the log at the same instant.

    Simultaneous reads after the outage would overload the log again, and
    changes by operators would be delayed further.
    """
    due = []
    for seed in range(1000):
        node = distribution(reader=True, seed=seed)
        for now_ms in range(10):
            node.on_log_read_failed(now_ms)
        assert node.read_due_ms is not None
        due.append(node.read_due_ms)
    slots = [0] * 10
    for item in due:
        slots[min(9, item * 10 // MAX_RETRY_MS)] += 1
    assert max(slots) < 200


def test_records_are_not_sent_back_to_their_source() -> None:
    node = distribution(reader=True)
    node.neighbours = Neighbours(True, ("a:1", "b:1"), ("c:1",))
    assert node.on_applied(4, 6, source="a:1") == [
        PushRecords("b:1", 4),
        SendDigest("c:1", heartbeat=False),
    ]


@pytest.mark.parametrize(
    ("version", "heartbeat", "expected"),
    [
        pytest.param(9, True, [PullRecords("p:1", 9, 0)], id="ahead"),
        pytest.param(9, False, [PullRecords("p:1", 9, 25)], id="announced"),
        pytest.param(3, True, [SendDigest("p:1", False)], id="behind"),
        pytest.param(3, False, [], id="outdated-announcement"),
        pytest.param(5, True, [], id="same-version"),
    ],
)
def test_digests(version: int, heartbeat: bool, expected: list[object]) -> None:
    node = distribution(reader=False)
    digest = VersionDigest(
        version=version, address="p:1", heartbeat=heartbeat, log_age_ms=-1
    )
    assert node.on_digest(digest, 5, 0) == expected


def test_several_digests_cause_only_one_pull() -> None:
    node = distribution(reader=False)
    digest = VersionDigest(version=9, address="p:1")
    assert node.on_digest(digest, 5, 0)
    assert not node.on_digest(digest, 5, 10)
    assert node.on_digest(digest, 5, 1000)


@pytest.mark.parametrize(
    ("reader", "own_read", "peer_age_ms", "expected"),
    [
        pytest.param(True, "none", -1, False, id="reader-before-its-first"),
        pytest.param(True, "answered", -1, True, id="reader-reads"),
        pytest.param(True, "failed", 10, False, id="reader-fails"),
        pytest.param(False, "none", -1, False, id="no-known-read"),
        pytest.param(False, "none", 10, True, id="a-peer-has-read"),
        pytest.param(False, "failed", 10, True, id="failed-long-ago"),
        pytest.param(False, "none", 60_000, False, id="long-ago"),
    ],
)
def test_is_log_reachable(
    reader: bool, own_read: str, peer_age_ms: int, expected: bool
) -> None:
    node = distribution(reader)
    if own_read == "answered":
        node.on_log_read(0, at_end=True)
    if own_read == "failed":
        node.on_log_read_failed(0)
    now_ms = 100_000
    node.on_digest(VersionDigest(log_age_ms=peer_age_ms), 0, now_ms)
    assert node.is_log_reachable(now_ms) is expected
