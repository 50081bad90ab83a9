"""Membership under crashes, pauses and network partitions, in memory."""

import pytest

from pomelobank_core import MemberState, SendFrame, Swim
from pomelobank_schema.generated.peer import Gossip
from pomelobank_schema.generated.settings import MembershipSettings
from pomelobank_testing._member_fleet import MemberFleet

READY = MemberState.READY.value
SUSPECT = MemberState.SUSPECT.value
DRAINING = MemberState.DRAINING.value
GONE = MemberState.GONE.value
MINUTE_MS = 60_000
DATA_CENTRE_COUNT = 6
LARGE_MEMBER_COUNT = 194
# Callers send requests this long after the machines have started.
CALLERS_START_MS = 12_000
# A tenth of a node's whole budget for control traffic.
REMOTE_BYTES_PER_S_LIMIT = 3_000
IDLE_LINK_MS = MembershipSettings().idle_link_ms


def address(index: int) -> str:
    return MemberFleet.entry(index).peer_address


def node(index: int) -> str:
    return MemberFleet.entry(index).node


def partition_first(fleet: MemberFleet, count: int) -> None:
    """Partitions the network between the first members and the others."""
    first = {address(index) for index in range(count)}
    fleet.reachable = lambda source, destination: (
        (source in first) == (destination in first)
    )


def test_a_healthy_fleet_suspects_no_member() -> None:
    fleet = MemberFleet.of(20)
    fleet.run(MINUTE_MS)
    assert fleet.all_ready()
    assert not any(swim.suspected for swim in fleet.members.values())


@pytest.mark.parametrize(
    "count",
    [pytest.param(3, id="small"), pytest.param(60, id="large")],
)
def test_all_members_mark_a_dead_member_as_gone(count: int) -> None:
    """Guards against requests sent to a dead instance for a long time."""
    fleet = MemberFleet.of(count)
    fleet.remove(address(0))
    fleet.run_until(lambda: fleet.all_see(node(0), GONE), MINUTE_MS)


def test_survivors_of_many_crashes_stay_ready() -> None:
    """Guards against survivors that also mark each other as gone."""
    fleet = MemberFleet.of(20)
    for index in range(4, 20):
        fleet.remove(address(index))
    fleet.run_until(
        lambda: all(fleet.all_see(node(index), GONE) for index in range(4, 20)),
        2 * MINUTE_MS,
    )
    assert fleet.all_ready()


def test_a_paused_member_is_gone_and_comes_back() -> None:
    """Guards against a resumed member that gets no requests again."""
    fleet = MemberFleet.of(12)
    fleet.run(5_000)
    fleet.frozen = {address(3)}
    fleet.run_until(lambda: fleet.all_see(node(3), GONE), MINUTE_MS)
    fleet.run(MINUTE_MS)
    fleet.frozen = set()
    fleet.run_until(fleet.all_ready, MINUTE_MS)
    paused = fleet.members[address(3)]
    assert (paused.pauses, paused.suspected) == (1, 0)
    assert paused.table.refutations >= 1


def test_one_broken_link_direction_marks_no_member_as_gone() -> None:
    """Guards against a healthy member marked as gone.

    Frames from one member to one other are lost; all other links work.
    """
    fleet = MemberFleet.of(6)
    broken = (address(0), address(1))
    fleet.reachable = lambda source, destination: (
        (source, destination) != broken
    )
    fleet.run(2 * MINUTE_MS)
    assert fleet.all_ready()


def test_both_sides_of_a_partition_serve_and_merge_again() -> None:
    """Guards against members marked as gone when a partition heals."""
    fleet = MemberFleet.of(24)
    partition_first(fleet, 12)
    fleet.run_until(
        lambda: fleet.members[address(0)].table.others[node(23)].state == GONE,
        2 * MINUTE_MS,
    )
    fleet.run(MINUTE_MS)
    for index in range(12):
        for other in range(12):
            entry = fleet.members[address(index)].table.others.get(node(other))
            assert index == other or (
                entry is not None and entry.state == READY
            )
    fleet.reachable = lambda source, destination: True

    def no_member_of_one_side_is_gone() -> bool:
        return all(
            fleet.members[address(index)].table.others[node(other)].state
            != GONE
            for index in range(12)
            for other in range(12)
            if index != other
        )

    while not fleet.all_ready():
        assert no_member_of_one_side_is_gone()
        assert fleet.now_ms < 10 * MINUTE_MS
        fleet.step()


def test_a_drain_reaches_all_members_and_is_never_reverted() -> None:
    """Guards against requests sent to a target that is about to leave."""
    fleet = MemberFleet.of(40)
    drained = fleet.members[address(7)]
    drained.table.update_own(state=DRAINING)
    fleet.execute(address(7), address(7), drained.broadcast_own_entry())
    fleet.step()
    assert fleet.all_see(node(7), DRAINING)
    fleet.run(MINUTE_MS)
    assert fleet.all_see(node(7), DRAINING)


def test_many_members_join_through_one_contact() -> None:
    """Guards against a contact overloaded by the syncs of a whole fleet."""
    fleet = MemberFleet()
    for index in range(60):
        fleet.add(fleet.entry(index))
    for index in range(1, 60):
        fleet.join(address(index), address(0))
    fleet.run_until(fleet.all_ready, MINUTE_MS)
    assert fleet.members[address(0)].throttled_syncs > 0


def started_at_once(count: int) -> MemberFleet:
    """Returns members that start at once and know the same contact."""
    fleet = MemberFleet(MembershipSettings(version_gossip="own"))
    for index in range(count):
        fleet.add(fleet.entry(index))
    for index in range(1, count):
        fleet.join(address(index), address(0))
    return fleet


def test_a_large_fleet_is_complete_before_callers_come() -> None:
    """Guards against nodes that serve while they know only some members."""
    fleet = started_at_once(LARGE_MEMBER_COUNT)
    fleet.run_until(fleet.all_ready, CALLERS_START_MS)


def test_the_start_of_a_large_fleet_sends_few_remote_bytes() -> None:
    """Guards against gossip that fills the links between data centres."""
    fleet = started_at_once(LARGE_MEMBER_COUNT)
    fleet.run(CALLERS_START_MS)
    seconds = CALLERS_START_MS / 1000
    assert (
        fleet.remote_bytes / seconds / LARGE_MEMBER_COUNT
        < REMOTE_BYTES_PER_S_LIMIT
    )


def test_an_idle_node_keeps_few_streams() -> None:
    """Guards against probes that open a stream between every two nodes."""
    fleet = MemberFleet.of(LARGE_MEMBER_COUNT)
    fleet.run(IDLE_LINK_MS)
    partners = [len(item) for item in fleet.partners.values()]
    assert sum(partners) / LARGE_MEMBER_COUNT < LARGE_MEMBER_COUNT / 3


def test_all_others_mark_a_lost_data_centre_as_gone() -> None:
    """Guards against a data centre that no node outside of it probes."""
    fleet = MemberFleet.of(60)
    fleet.run(5_000)
    lost_indexes = range(5, 60, 6)
    for index in lost_indexes:
        fleet.remove(address(index))
    fleet.run_until(
        lambda: all(fleet.all_see(node(index), GONE) for index in lost_indexes),
        MINUTE_MS,
    )


def test_a_change_reaches_each_data_centre_at_once() -> None:
    """Guards against a changed target that remote nodes learn of late."""
    fleet = MemberFleet.of(60)
    changed = fleet.members[address(7)]
    changed.table.update_own(state=DRAINING)
    fleet.execute(address(7), address(7), changed.gossip_own_entry())
    fleet.step()
    informed_data_centres = {
        swim.table.own.data_centre
        for swim in fleet.members.values()
        if swim.table is not changed.table
        and swim.table.others[node(7)].state == DRAINING
    }
    assert len(informed_data_centres) == DATA_CENTRE_COUNT


def test_a_restarted_member_replaces_its_old_incarnation() -> None:
    """Guards against a restarted node taken for its old incarnation."""
    fleet = MemberFleet.of(10)
    fleet.run(5_000)
    fleet.remove(address(2))
    fleet.add(MemberFleet.entry(2, incarnation=2))
    fleet.join(address(2), address(5))
    observer = fleet.members[address(9)].table
    fleet.run_until(
        lambda: observer.others[node(2)].incarnation == 2, MINUTE_MS
    )
    fleet.run_until(fleet.all_ready, MINUTE_MS)


def test_old_gossip_does_not_restore_a_removed_member() -> None:
    """Guards against a dead target that gets requests again.

    Old gossip names the target after the others have removed its entry.
    """
    fleet = MemberFleet.of(4, MembershipSettings(gone_kept_ms=MINUTE_MS))
    dead = MemberFleet.entry(3)
    fleet.remove(dead.peer_address)
    table = fleet.members[address(0)].table
    fleet.run_until(lambda: dead.node not in table.others, 3 * MINUTE_MS)
    fleet.members[address(0)].on_gossip(Gossip(members=(dead,)), fleet.now_ms)
    assert dead.node not in table.others
    assert table.stale_entries >= 1


def test_versions_reach_all_members_without_a_new_sequence() -> None:
    fleet = MemberFleet.of(20)
    for swim in fleet.members.values():
        swim.table.update_version(7)
    fleet.run_until(lambda: versions_seen(fleet) == {7}, MINUTE_MS)
    assert all(swim.table.own.sequence == 0 for swim in fleet.members.values())


def versions_seen(fleet: MemberFleet) -> set[int]:
    return {
        entry.version
        for swim in fleet.members.values()
        for entry in swim.table.all()
    }


def test_a_refused_stream_starts_indirect_probes_at_once() -> None:
    fleet = MemberFleet.of(5)
    swim: Swim = fleet.members[address(0)]
    probes = [item for item in swim.tick(0) if isinstance(item, SendFrame)]
    helpers = swim.on_unreachable(probes[0].address)
    assert len(helpers) == 3
    assert not swim.on_unreachable(probes[0].address)


def test_own_pause_raises_no_suspicion_of_others() -> None:
    """Guards against a resumed node that suspects healthy members.

    Its probes have timed out during its own pause.
    """
    swim = MemberFleet.of(3).members[address(0)]
    assert swim.tick(0)
    swim.tick(MINUTE_MS)
    assert (swim.pauses, swim.suspected) == (1, 0)
