"""Targets by upstream, prepared once for each change of the members."""

import attrs

from pomelobank_core._members import MemberTable
from pomelobank_schema.generated.peer import MemberEntry


@attrs.frozen
class Candidates:
    """The targets of an upstream, in the order of their nodes.

    Attributes:
        local: Those in the node's own data centre.
        remote: All others.
        targets: Every target.
        max_slots: Slots of the target that has most.
    """

    local: tuple[MemberEntry, ...] = ()
    remote: tuple[MemberEntry, ...] = ()
    targets: tuple[MemberEntry, ...] = attrs.field(init=False)

    @targets.default
    def _every_target(self) -> tuple[MemberEntry, ...]:
        return self.local + self.remote

    max_slots: int = attrs.field(init=False)

    @max_slots.default
    def _most_slots(self) -> int:
        return max((entry.slots for entry in self.targets), default=0)


@attrs.define
class CandidateIndex:
    """Finds an upstream's targets without a look at every member.

    With 1,000 members a scan for each request would cost more time than the
    whole request may. The index is made anew only when a member changed in a
    way that counts here; a new configuration version of a member does not.

    Attributes:
        table: The members.
        seen: The table's change count that the index was made for.
        by_upstream: Targets by upstream.
        available: Upstreams with at least one target.
        builds: How often the index was made.
    """

    table: MemberTable
    seen: int = -1
    by_upstream: dict[str, Candidates] = attrs.field(factory=dict)
    available: frozenset[str] = frozenset()
    builds: int = 0

    def of(self, upstream: str) -> Candidates:
        """Returns the targets of an upstream."""
        self._refresh()
        found = self.by_upstream.get(upstream)
        if found is None:
            found = self.by_upstream[upstream] = self._candidates(upstream)
        return found

    def available_upstreams(self) -> frozenset[str]:
        """Returns the upstreams with at least one target to send work to."""
        self._refresh()
        return self.available

    def _refresh(self) -> None:
        if self.seen == self.table.serving_changes:
            return
        self.seen = self.table.serving_changes
        self.builds += 1
        self.by_upstream.clear()
        self.available = self.table.available_upstreams()

    def _candidates(self, upstream: str) -> Candidates:
        own_data_centre = self.table.own.data_centre
        local: list[MemberEntry] = []
        remote: list[MemberEntry] = []
        entries = self.table.ready_for(upstream)
        for entry in sorted(entries, key=lambda item: item.node):
            near = entry.data_centre == own_data_centre
            (local if near else remote).append(entry)
        return Candidates(tuple(local), tuple(remote))
