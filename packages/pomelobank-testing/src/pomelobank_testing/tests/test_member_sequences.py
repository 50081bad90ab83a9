"""Membership after random sequences of failures."""

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from pomelobank_core import MemberState
from pomelobank_schema.generated.settings import MembershipSettings
from pomelobank_testing._member_fleet import MemberFleet

MEMBER_COUNT = 5
FAST_SETTINGS = MembershipSettings(
    period_ms=500, sync_period_ms=3000, rejoin_period_ms=2000
)
DRAINING = MemberState.DRAINING.value
GONE = MemberState.GONE.value
MINUTE_MS = 60_000


@attrs.frozen
class Event:
    """An event at one member, and the time until the next event."""

    kind: str
    member: int
    pause_ms: int


events = st.builds(
    Event,
    st.sampled_from(["kill", "start", "freeze", "wake", "cut", "drain"]),
    st.integers(0, MEMBER_COUNT - 1),
    st.integers(1, 120).map(lambda steps: 100 * steps),
)


@attrs.define
class Scenario:
    """A fleet, and the state that its events have changed."""

    fleet: MemberFleet = attrs.field(
        factory=lambda: MemberFleet.of(MEMBER_COUNT, FAST_SETTINGS)
    )
    incarnations: list[int] = attrs.field(factory=lambda: [1] * MEMBER_COUNT)
    cut_off: set[str] = attrs.field(factory=set)

    def apply(self, event: Event) -> None:
        entry = MemberFleet.entry(event.member)
        address = entry.peer_address
        getattr(self, event.kind)(address, event.member)
        self.fleet.run(event.pause_ms)

    def kill(self, address: str, index: int) -> None:
        # One member must stay, since a started member needs one to join.
        if address in self.fleet.members and len(self.fleet.members) > 1:
            self.fleet.frozen.discard(address)
            self.fleet.remove(address)

    def start(self, address: str, index: int) -> None:
        if address in self.fleet.members:
            return
        self.incarnations[index] += 1
        contacts = sorted(self.fleet.members)
        self.fleet.add(MemberFleet.entry(index, self.incarnations[index]))
        for contact in contacts:
            self.fleet.join(address, contact)

    def freeze(self, address: str, index: int) -> None:
        if address in self.fleet.members:
            self.fleet.frozen.add(address)

    def wake(self, address: str, index: int) -> None:
        self.fleet.frozen.discard(address)

    def cut(self, address: str, index: int) -> None:
        self.cut_off ^= {address}
        cut_off = frozenset(self.cut_off)
        self.fleet.reachable = lambda source, destination: (
            (source in cut_off) == (destination in cut_off)
        )

    def drain(self, address: str, index: int) -> None:
        swim = self.fleet.members.get(address)
        if swim is None or address in self.fleet.frozen:
            return
        if swim.table.own.state != DRAINING:
            swim.table.update_own(state=DRAINING)
            self.fleet.execute(address, address, swim.broadcast_own_entry())

    def end_faults(self) -> None:
        self.fleet.frozen.clear()
        self.fleet.reachable = lambda source, destination: True

    def is_converged(self) -> bool:
        members = self.fleet.members.values()
        own = {swim.table.own.node: swim.table.own for swim in members}
        return all(
            swim.table.others.get(node) == entry
            for swim in members
            for node, entry in own.items()
            if node != swim.table.own.node
        ) and all(
            entry.node in own or entry.state == GONE
            for swim in members
            for entry in swim.table.others.values()
        )


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(events, max_size=10))
def test_all_views_are_correct_after_the_faults_end(
    sequence: list[Event],
) -> None:
    """Kills, starts, freezes, partitions and drains come in any order.

    An event may also come repeatedly. A member whose view stays wrong
    afterwards sends requests to a missing target, or leaves a healthy target
    idle permanently.
    """
    scenario = Scenario()
    for event in sequence:
        scenario.apply(event)
    scenario.end_faults()
    scenario.fleet.run_until(scenario.is_converged, 5 * MINUTE_MS)
