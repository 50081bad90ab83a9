"""A node's table of the members of the mesh."""

import enum
from collections.abc import Iterable
from typing import Any

import attrs

from pomelobank_schema.generated.peer import MemberEntry, MemberVersion

# Maximum number of tombstones. On an ordinary day at most 350 members are
# replaced, so the limit covers a week at about 100 bytes per member and keeps a
# faulty peer from filling the node's memory.
MAX_TOMBSTONES = 4096


class MemberState(enum.Enum):
    """State of a member in its life cycle as other members see it."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    SUSPECT = "suspect"
    GONE = "gone"


# Position of each state in the life cycle. Only a member itself raises its
# incarnation and sequence, and other members only move its state towards its
# end. Of two entries with equal numbers, the entry with the later state is
# therefore the newer one.
_ORDER = {
    MemberState.STARTING.value: 0,
    MemberState.READY.value: 1,
    MemberState.SUSPECT.value: 2,
    MemberState.DRAINING.value: 3,
    MemberState.GONE.value: 4,
}
_FINAL_STATES = (MemberState.DRAINING.value, MemberState.GONE.value)


@attrs.frozen(order=True)
class EntryRank:
    """Rank of an entry; of two entries of a node, the higher rank is newer.

    Attributes:
        incarnation: The entry's incarnation.
        sequence: The entry's sequence.
        order: Position of the entry's state in the life cycle.
    """

    incarnation: int
    sequence: int
    order: int

    @classmethod
    def of(cls, entry: MemberEntry) -> "EntryRank":
        """Returns the rank of an entry."""
        return cls(entry.incarnation, entry.sequence, _ORDER[entry.state])


def is_newer(entry: MemberEntry, known: MemberEntry) -> bool:
    """Returns whether an entry replaces the known entry of its node."""
    return EntryRank.of(entry) > EntryRank.of(known)


def join_entries(first: MemberEntry, second: MemberEntry) -> MemberEntry:
    """Returns the union of the information in two entries of one node.

    The result is the newer entry, with the higher version of the two entries
    if both have the same incarnation. A version only grows within an
    incarnation, so a new version need not raise the sequence, and gossip can
    send the version alone in a few bytes.
    """
    newer, older = first, second
    if is_newer(second, first):
        newer, older = second, first
    if newer.incarnation == older.incarnation and older.version > newer.version:
        return attrs.evolve(newer, version=older.version)
    return newer


def _serving_fields(entry: MemberEntry) -> tuple[object, ...]:
    return (
        entry.incarnation,
        entry.state,
        entry.data_centre,
        entry.peer_address,
        entry.upstream,
        entry.slots,
        entry.revision,
    )


@attrs.define
class MemberTable:
    """Members by node id; a peer's gossip never replaces the own entry.

    Attributes:
        own: The node's own entry.
        others: Entries of all other known members.
        tombstones: Ranks of gone members whose entries were removed.
        refutations: How often this node refuted an entry of a peer about
            itself, such as a suspicion.
        stale_entries: Ignored entries of removed members.
        serving_changes: Counter of the changes of the members that serve, their
            upstreams, slots and addresses.
        revision: Counter of all changes of the table.
        candidates_cache: Cache of `ready_for` by upstream.
        present_cache: Cache of `present`.
    """

    own: MemberEntry
    others: dict[str, MemberEntry] = attrs.field(factory=dict)
    tombstones: dict[str, EntryRank] = attrs.field(factory=dict)
    refutations: int = 0
    stale_entries: int = 0
    serving_changes: int = 0
    revision: int = 0
    candidates_cache: dict[str, list[MemberEntry]] = attrs.field(
        factory=dict, init=False, repr=False
    )
    present_cache: list[MemberEntry] | None = attrs.field(
        default=None, init=False, repr=False
    )

    def update_own(self, **changes: Any) -> None:
        """Changes the own entry and raises its sequence.

        Peers accept the change because of the higher sequence.

        Raises:
            ValueError: If the change would move a draining or gone member to an
                earlier state, such as ready. The member has to start a new
                incarnation instead: peers that received the two states in
                different orders would otherwise route requests to a draining
                target or exclude a ready one.
        """
        state = changes.get("state", self.own.state)
        if (
            self.own.state in _FINAL_STATES
            and _ORDER[state] < _ORDER[self.own.state]
        ):
            raise ValueError(
                f"member in state {self.own.state} cannot become {state} within"
                " one incarnation"
            )
        sequence = self.own.sequence + 1
        self._set_own(attrs.evolve(self.own, sequence=sequence, **changes))

    def update_version(self, version: int) -> None:
        """Sets the version of the own entry without raising the sequence."""
        self._set_own(attrs.evolve(self.own, version=version))

    def restart_own(self, incarnation: int, **changes: Any) -> None:
        """Starts a new incarnation, for example after a restart of the target.

        Args:
            incarnation: Requested incarnation; the method raises the value to
                the next incarnation if it is lower.
            changes: Fields of the entry to change.
        """
        incarnation = max(incarnation, self.own.incarnation + 1)
        self._set_own(
            attrs.evolve(
                self.own, incarnation=incarnation, sequence=0, **changes
            )
        )

    def _set_own(self, entry: MemberEntry) -> None:
        self._count_serving_change(self.own, entry)
        self.own = entry
        self._on_changed()

    def _count_serving_change(
        self, before: MemberEntry | None, after: MemberEntry
    ) -> None:
        if before is None or _serving_fields(before) != _serving_fields(after):
            self.serving_changes += 1

    def merge(self, entries: Iterable[MemberEntry]) -> list[MemberEntry]:
        """Merges the entries of a peer into the table.

        Args:
            entries: The peer's entries.

        Returns:
            The entries that added a member or are newer than the known entry.
        """
        return [entry for entry in entries if self._merge_entry(entry)]

    def _merge_entry(self, entry: MemberEntry) -> bool:
        if entry.node == self.own.node:
            self._refute(entry)
            return False
        known = self.others.get(entry.node)
        if known is None and self._is_stale(entry):
            return False
        joined = entry if known is None else join_entries(entry, known)
        if joined == known:
            return False
        self._count_serving_change(known, joined)
        self.others[entry.node] = joined
        self.tombstones.pop(entry.node, None)
        self._on_changed()
        return known is None or is_newer(joined, known)

    def _is_stale(self, entry: MemberEntry) -> bool:
        # A node that was paused or partitioned for hours still gossips members
        # that all other nodes have removed. Without the tombstone, the removed
        # members would become ready again and receive requests. A member that
        # is alive receives the tombstone with the reply to its probe and raises
        # its rank.
        rank = self.tombstones.get(entry.node)
        if rank is None or EntryRank.of(entry) > rank:
            return False
        self.stale_entries += 1
        return True

    def merge_versions(
        self, versions: Iterable[MemberVersion]
    ) -> list[MemberVersion]:
        """Merges changed versions; returns those newer than the known ones."""
        return [item for item in versions if self._merge_version(item)]

    def _merge_version(self, item: MemberVersion) -> bool:
        known = self.others.get(item.node)
        if known is None or known.incarnation != item.incarnation:
            return False
        if item.version <= known.version:
            return False
        self.others[item.node] = attrs.evolve(known, version=item.version)
        self._on_changed()
        return True

    def _refute(self, entry: MemberEntry) -> None:
        # After a pause of this node, its peers may have marked the node as
        # gone. Unless the node refutes that entry with a higher rank, its
        # target never receives requests again.
        if not is_newer(entry, self.own):
            return
        self.refutations += 1
        if entry.incarnation > self.own.incarnation:
            # The clock was set back between two starts of this node, so the
            # entry of this node that the peer holds from an earlier start has a
            # higher incarnation.
            self.restart_own(entry.incarnation + 1)
            return
        self._set_own(attrs.evolve(self.own, sequence=entry.sequence + 1))

    def remove(self, node: str) -> None:
        """Removes the entry of a gone member and keeps its rank."""
        entry = self.others.pop(node)
        self.serving_changes += 1
        self._on_changed()
        self.tombstones[node] = EntryRank.of(entry)
        while len(self.tombstones) > MAX_TOMBSTONES:
            self.tombstones.pop(next(iter(self.tombstones)))

    def known_entry(self, node: str) -> MemberEntry | None:
        """Returns the entry of a node, or a gone entry from its tombstone."""
        entry = self.others.get(node)
        rank = self.tombstones.get(node)
        if entry is not None or rank is None:
            return entry
        return MemberEntry(
            node=node,
            incarnation=rank.incarnation,
            sequence=rank.sequence,
            state=MemberState.GONE.value,
        )

    def all(self) -> list[MemberEntry]:
        """Returns all entries, the own entry first."""
        return [self.own, *self.others.values()]

    def present(self) -> list[MemberEntry]:
        """Returns the other members that are not gone."""
        # Cached, because each frame and each tick reads the list, while the
        # table changes rarely.
        if self.present_cache is None:
            gone = MemberState.GONE.value
            self.present_cache = [
                entry for entry in self.others.values() if entry.state != gone
            ]
        return list(self.present_cache)

    def _on_changed(self) -> None:
        self.revision += 1
        self.candidates_cache.clear()
        self.present_cache = None

    def ready_for(self, upstream: str) -> list[MemberEntry]:
        """Returns the members whose target serves an upstream.

        The result excludes suspect members unless they outnumber the ready
        ones. If most members are suspect, the likely cause is this node's
        own view, for example during a network partition or because of the
        outdated gossip after its end. Excluding the suspects would then put
        the whole load on the few ready members or stop the service. A request
        to a suspect that is down costs one refused stream; the request was not
        run, so the node sends it to another target.
        """
        if upstream not in self.candidates_cache:
            self.candidates_cache[upstream] = self._find_candidates(upstream)
        return list(self.candidates_cache[upstream])

    def _find_candidates(self, upstream: str) -> list[MemberEntry]:
        serving = [entry for entry in self.all() if entry.upstream == upstream]
        ready = [
            entry for entry in serving if entry.state == MemberState.READY.value
        ]
        suspect = [
            entry
            for entry in serving
            if entry.state == MemberState.SUSPECT.value
        ]
        return ready if len(ready) >= len(suspect) else ready + suspect

    def available_upstreams(self) -> frozenset[str]:
        """Returns the upstreams of the ready and the suspect members."""
        available_states = (MemberState.READY.value, MemberState.SUSPECT.value)
        return frozenset(
            entry.upstream
            for entry in self.all()
            if entry.upstream and entry.state in available_states
        )
