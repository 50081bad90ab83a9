"""Index of targets by upstream, rebuilt when the members change."""

import attrs

from pomelobank_core._members import MemberTable
from pomelobank_schema.generated.peer import MemberEntry


@attrs.frozen
class Candidates:
    """Targets of an upstream, sorted by node.

    Attributes:
        local: Targets in the node's own data centre.
        remote: Targets in other data centres.
        targets: All targets, local ones first.
        max_slots: Largest number of slots of any target; 0 without targets.
    """

    local: tuple[MemberEntry, ...] = ()
    remote: tuple[MemberEntry, ...] = ()
    targets: tuple[MemberEntry, ...] = attrs.field(init=False)

    @targets.default
    def _all_targets(self) -> tuple[MemberEntry, ...]:
        return self.local + self.remote

    max_slots: int = attrs.field(init=False)

    @max_slots.default
    def _largest_slots(self) -> int:
        return max((entry.slots for entry in self.targets), default=0)


@attrs.define
class CandidateIndex:
    """Finds the targets of an upstream without scanning all members.

    With 1,000 members, a scan for each request would take more time than the
    whole request may take. The index is rebuilt only when the table counts a
    serving change, which a member's new configuration version is not.

    Attributes:
        table: The members.
        indexed_serving_changes: Value of the table's `serving_changes` at the
            last rebuild.
        by_upstream: Targets by upstream, filled on first use.
        available: Upstreams with at least one target.
        builds: Number of rebuilds.
    """

    table: MemberTable
    indexed_serving_changes: int = -1
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
        """Returns the upstreams with at least one target for requests."""
        self._refresh()
        return self.available

    def _refresh(self) -> None:
        if self.indexed_serving_changes == self.table.serving_changes:
            return
        self.indexed_serving_changes = self.table.serving_changes
        self.builds += 1
        self.by_upstream.clear()
        self.available = self.table.available_upstreams()

    def _candidates(self, upstream: str) -> Candidates:
        own_data_centre = self.table.own.data_centre
        local: list[MemberEntry] = []
        remote: list[MemberEntry] = []
        entries = self.table.ready_for(upstream)
        for entry in sorted(entries, key=lambda item: item.node):
            is_local = entry.data_centre == own_data_centre
            (local if is_local else remote).append(entry)
        return Candidates(tuple(local), tuple(remote))
