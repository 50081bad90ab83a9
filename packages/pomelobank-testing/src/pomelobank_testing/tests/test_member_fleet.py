"""Membership of many members under deaths, pauses and cuts, in memory."""

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
DATA_CENTRES = 6
LARGE = 194
# Callers come so long after the machines have started.
UNTIL_CALLERS_MS = 12_000
# A tenth of what a node may spend for control in all.
FAR_BYTES_PER_S = 3_000
IDLE_LINK_MS = MembershipSettings().idle_link_ms


def address(index: int) -> str:
    return MemberFleet.entry(index).peer_address


def node(index: int) -> str:
    return MemberFleet.entry(index).node


def halves(fleet: MemberFleet, count: int) -> None:
    """Cuts the first members off from the others."""
    first = {address(index) for index in range(count)}
    fleet.reachable = lambda source, destination: (
        (source in first) == (destination in first)
    )


def test_a_quiet_fleet_suspects_nobody() -> None:
    fleet = MemberFleet.of(20)
    fleet.run(MINUTE_MS)
    assert fleet.all_ready()
    assert not any(swim.suspected for swim in fleet.members.values())


@pytest.mark.parametrize(
    "count",
    [pytest.param(3, id="small"), pytest.param(60, id="many")],
)
def test_a_dead_member_is_found_gone_by_all(count: int) -> None:
    """Guards against work that is sent to a dead instance for long."""
    fleet = MemberFleet.of(count)
    fleet.remove(address(0))
    fleet.run_until(lambda: fleet.all_see(node(0), GONE), MINUTE_MS)


def test_most_members_dying_at_once_leaves_the_others_ready() -> None:
    """Guards against survivors that lose each other with the dead."""
    fleet = MemberFleet.of(20)
    for index in range(4, 20):
        fleet.remove(address(index))
    fleet.run_until(
        lambda: all(fleet.all_see(node(index), GONE) for index in range(4, 20)),
        2 * MINUTE_MS,
    )
    assert fleet.all_ready()


def test_a_paused_member_is_gone_and_comes_back() -> None:
    """Guards against a paused member that gets no work again."""
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


def test_one_broken_way_harms_nobody() -> None:
    """Guards against a healthy member lost by one broken way."""
    fleet = MemberFleet.of(6)
    broken = (address(0), address(1))
    fleet.reachable = lambda source, destination: (
        (source, destination) != broken
    )
    fleet.run(2 * MINUTE_MS)
    assert fleet.all_ready()


def test_both_sides_of_a_cut_serve_and_meet_again() -> None:
    """Guards against members taken out when a cut heals."""
    fleet = MemberFleet.of(24)
    halves(fleet, 12)
    fleet.run_until(
        lambda: fleet.members[address(0)].table.others[node(23)].state == GONE,
        2 * MINUTE_MS,
    )
    fleet.run(MINUTE_MS)
    for index in range(12):
        for other in range(12):
            held = fleet.members[address(index)].table.others.get(node(other))
            assert index == other or (held is not None and held.state == READY)
    fleet.reachable = lambda source, destination: True

    def no_neighbour_is_gone() -> bool:
        return all(
            fleet.members[address(index)].table.others[node(other)].state
            != GONE
            for index in range(12)
            for other in range(12)
            if index != other
        )

    while not fleet.all_ready():
        assert no_neighbour_is_gone()
        assert fleet.now_ms < 10 * MINUTE_MS
        fleet.step()


def test_a_drain_reaches_all_at_once_and_is_never_taken_back() -> None:
    """Guards against work sent to a target that is about to leave."""
    fleet = MemberFleet.of(40)
    drained = fleet.members[address(7)]
    drained.table.update_own(state=DRAINING)
    fleet.execute(address(7), address(7), drained.broadcast_own_entry())
    fleet.step()
    assert fleet.all_see(node(7), DRAINING)
    fleet.run(MINUTE_MS)
    assert fleet.all_see(node(7), DRAINING)


def test_a_herd_of_new_members_is_taken_in() -> None:
    """Guards against a contact that a whole fleet overloads."""
    fleet = MemberFleet()
    for index in range(60):
        fleet.add(fleet.entry(index))
    for index in range(1, 60):
        fleet.join(address(index), address(0))
    fleet.run_until(fleet.all_ready, MINUTE_MS)
    assert fleet.members[address(0)].throttled_syncs > 0


def herd(count: int) -> MemberFleet:
    """Returns members that start together and know one contact."""
    fleet = MemberFleet(MembershipSettings(version_gossip="own"))
    for index in range(count):
        fleet.add(fleet.entry(index))
    for index in range(1, count):
        fleet.join(address(index), address(0))
    return fleet


def test_a_large_herd_knows_itself_before_callers_come() -> None:
    """Guards against nodes that serve while they know a part of the mesh."""
    fleet = herd(LARGE)
    fleet.run_until(fleet.all_ready, UNTIL_CALLERS_MS)


def test_the_start_of_a_large_mesh_crosses_data_centres_little() -> None:
    """Guards against gossip that fills the lines between data centres."""
    fleet = herd(LARGE)
    fleet.run(UNTIL_CALLERS_MS)
    seconds = UNTIL_CALLERS_MS / 1000
    assert fleet.remote_bytes / seconds / LARGE < FAR_BYTES_PER_S


def test_at_rest_a_node_keeps_few_streams() -> None:
    """Guards against probes that open a stream from each node to each."""
    fleet = MemberFleet.of(LARGE)
    fleet.run(IDLE_LINK_MS)
    partners = [len(item) for item in fleet.partners.values()]
    assert sum(partners) / LARGE < LARGE / 3


def test_a_lost_data_centre_is_noticed_by_all_others() -> None:
    """Guards against a data centre that nobody outside it watches."""
    fleet = MemberFleet.of(60)
    fleet.run(5_000)
    lost = range(5, 60, 6)
    for index in lost:
        fleet.remove(address(index))
    fleet.run_until(
        lambda: all(fleet.all_see(node(index), GONE) for index in lost),
        MINUTE_MS,
    )


def test_a_change_reaches_each_data_centre_at_once() -> None:
    """Guards against a new target that far nodes hear of late."""
    fleet = MemberFleet.of(60)
    changed = fleet.members[address(7)]
    changed.table.update_own(state=DRAINING)
    fleet.execute(address(7), address(7), changed.gossip_own_entry())
    fleet.step()
    told = {
        swim.table.own.data_centre
        for swim in fleet.members.values()
        if swim.table is not changed.table
        and swim.table.others[node(7)].state == DRAINING
    }
    assert len(told) == DATA_CENTRES


def test_a_restarted_member_replaces_its_old_incarnation() -> None:
    """Guards against a restarted node held for the old one."""
    fleet = MemberFleet.of(10)
    fleet.run(5_000)
    fleet.remove(address(2))
    fleet.add(MemberFleet.entry(2, incarnation=2))
    fleet.join(address(2), address(5))
    watcher = fleet.members[address(9)].table
    fleet.run_until(lambda: watcher.others[node(2)].incarnation == 2, MINUTE_MS)
    fleet.run_until(fleet.all_ready, MINUTE_MS)


def test_a_forgotten_member_is_not_brought_back_by_old_gossip() -> None:
    """Guards against a long dead target that is sent work again."""
    fleet = MemberFleet.of(4, MembershipSettings(gone_kept_ms=MINUTE_MS))
    dead = MemberFleet.entry(3)
    fleet.remove(dead.peer_address)
    table = fleet.members[address(0)].table
    fleet.run_until(lambda: dead.node not in table.others, 3 * MINUTE_MS)
    fleet.members[address(0)].on_gossip(Gossip(members=(dead,)), fleet.now_ms)
    assert dead.node not in table.others
    assert table.stale_entries >= 1


def test_versions_reach_everybody_without_a_new_sequence() -> None:
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


def test_a_refused_stream_asks_others_without_waiting() -> None:
    fleet = MemberFleet.of(5)
    swim: Swim = fleet.members[address(0)]
    probes = [item for item in swim.tick(0) if isinstance(item, SendFrame)]
    helpers = swim.on_unreachable(probes[0].address)
    assert len(helpers) == 3
    assert not swim.on_unreachable(probes[0].address)


def test_own_pause_is_not_taken_for_the_death_of_others() -> None:
    """Guards against a paused node that suspects healthy ones."""
    swim = MemberFleet.of(3).members[address(0)]
    assert swim.tick(0)
    swim.tick(MINUTE_MS)
    assert (swim.pauses, swim.suspected) == (1, 0)
