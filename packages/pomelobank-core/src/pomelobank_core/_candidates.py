"""Targets by upstream, prepared once for each change of the members."""

import attrs

from pomelobank_core._members import MemberState, MemberTable
from pomelobank_schema.generated.peer import MemberEntry


@attrs.frozen
class Candidates:
    """The ready targets of an upstream, in the order of their nodes.

    Attributes:
        local: Those in the node's own data centre.
        remote: All others.
    """

    local: tuple[MemberEntry, ...] = ()
    remote: tuple[MemberEntry, ...] = ()

    @property
    def all(self) -> tuple[MemberEntry, ...]:
        """Every target."""
        return self.local + self.remote


NO_CANDIDATES = Candidates()


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
        self.refresh()
        return self.by_upstream.get(upstream, NO_CANDIDATES)

    def available_upstreams(self) -> frozenset[str]:
        """Returns the upstreams with at least one ready target."""
        self.refresh()
        return self.available

    def refresh(self) -> None:
        """Makes the index anew if the members have changed."""
        if self.seen == self.table.serving_changes:
            return
        self.seen = self.table.serving_changes
        self.builds += 1
        ready = [
            entry
            for entry in self.table.all()
            if entry.upstream and entry.state == MemberState.READY.value
        ]
        ready.sort(key=lambda entry: entry.node)
        self.by_upstream = {
            upstream: self._candidates(upstream, ready)
            for upstream in {entry.upstream for entry in ready}
        }
        self.available = frozenset(self.by_upstream)

    def _candidates(
        self, upstream: str, ready: list[MemberEntry]
    ) -> Candidates:
        own_data_centre = self.table.own.data_centre
        local: list[MemberEntry] = []
        remote: list[MemberEntry] = []
        for entry in ready:
            if entry.upstream == upstream:
                near = entry.data_centre == own_data_centre
                (local if near else remote).append(entry)
        return Candidates(tuple(local), tuple(remote))
