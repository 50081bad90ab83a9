"""What a node knows about the members of the mesh."""

import enum
from collections.abc import Iterable
from typing import Any

import attrs

from pomelobank_schema.generated.peer import MemberEntry, MemberVersion

# At most 350 members are replaced on an ordinary day; this covers a week of
# them at about 100 bytes each, while a broken peer cannot fill our memory.
FORGOTTEN_LIMIT = 4096


class MemberState(enum.Enum):
    """Life cycle of a member as others see it."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    SUSPECT = "suspect"
    GONE = "gone"


# Only the member itself raises its numbers, and others only claim worse of it;
# so of two entries with equal numbers the one further on is the newer.
_ORDER = {
    MemberState.STARTING.value: 0,
    MemberState.READY.value: 1,
    MemberState.SUSPECT.value: 2,
    MemberState.DRAINING.value: 3,
    MemberState.GONE.value: 4,
}
_ENDING = (MemberState.DRAINING.value, MemberState.GONE.value)


@attrs.frozen(order=True)
class EntryRank:
    """Age of an entry; of two entries of a node the higher one is newer.

    Attributes:
        incarnation: The entry's incarnation.
        sequence: The entry's sequence.
        order: How far the entry's state is towards the member's end.
    """

    incarnation: int
    sequence: int
    order: int

    @classmethod
    def of(cls, entry: MemberEntry) -> "EntryRank":
        """Returns the rank of an entry."""
        return cls(entry.incarnation, entry.sequence, _ORDER[entry.state])


def is_newer(entry: MemberEntry, known: MemberEntry) -> bool:
    """Tells whether an entry replaces the known one of the same node."""
    return EntryRank.of(entry) > EntryRank.of(known)


def join_entries(first: MemberEntry, second: MemberEntry) -> MemberEntry:
    """Returns what two entries of one node say together.

    The newer entry is taken. Within an incarnation a version only grows, so
    it is taken from either; this is why a version need not raise the sequence
    and travels in a few bytes.
    """
    newer, older = first, second
    if is_newer(second, first):
        newer, older = second, first
    if newer.incarnation == older.incarnation and older.version > newer.version:
        return attrs.evolve(newer, version=older.version)
    return newer


def _serving(entry: MemberEntry) -> tuple[object, ...]:
    return (
        entry.incarnation,
        entry.state,
        entry.data_centre,
        entry.peer_address,
        entry.upstream,
        entry.slots,
    )


@attrs.define
class MemberTable:
    """Members by node id; the own entry is never taken from others.

    Attributes:
        own: The node's own entry.
        others: Every other member that was heard of.
        tombstones: Ranks of gone members whose entries were dropped.
        refutations: How often others held this node to be suspect or gone.
        stale_entries: Entries of forgotten members that were passed over.
        serving_changes: Grows whenever it changes who serves what, and where.
        revision: Grows with every change.
    """

    own: MemberEntry
    others: dict[str, MemberEntry] = attrs.field(factory=dict)
    tombstones: dict[str, EntryRank] = attrs.field(factory=dict)
    refutations: int = 0
    stale_entries: int = 0
    serving_changes: int = 0
    revision: int = 0
    candidates: dict[str, list[MemberEntry]] = attrs.field(
        factory=dict, init=False, repr=False
    )
    known_present: list[MemberEntry] | None = attrs.field(
        default=None, init=False, repr=False
    )

    def update_own(self, **changes: Any) -> None:
        """Changes the own entry so that others take the change.

        Raises:
            ValueError: If a draining member would become ready again; it has
                to start a new incarnation, else peers that learn of the two
                states in another order would send it work or keep it out.
        """
        state = changes.get("state", self.own.state)
        if self.own.state in _ENDING and _ORDER[state] < _ORDER[self.own.state]:
            raise ValueError(f"{self.own.state} cannot become {state}")
        sequence = self.own.sequence + 1
        self._set_own(attrs.evolve(self.own, sequence=sequence, **changes))

    def update_version(self, version: int) -> None:
        """Sets the own version; it travels without a new sequence."""
        self._set_own(attrs.evolve(self.own, version=version))

    def restart_own(self, incarnation: int, **changes: Any) -> None:
        """Starts a new incarnation, as after a restart of the target.

        Args:
            incarnation: The incarnation wanted; at least the next one is taken.
            changes: Fields of the entry to change.
        """
        incarnation = max(incarnation, self.own.incarnation + 1)
        self._set_own(
            attrs.evolve(
                self.own, incarnation=incarnation, sequence=0, **changes
            )
        )

    def _set_own(self, entry: MemberEntry) -> None:
        self._note(self.own, entry)
        self.own = entry
        self._changed()

    def _note(self, before: MemberEntry | None, after: MemberEntry) -> None:
        if before is None or _serving(before) != _serving(after):
            self.serving_changes += 1

    def merge(self, entries: Iterable[MemberEntry]) -> list[MemberEntry]:
        """Takes what a peer knows.

        Args:
            entries: The peer's entries.

        Returns:
            Those that were news.
        """
        return [entry for entry in entries if self._take(entry)]

    def _take(self, entry: MemberEntry) -> bool:
        if entry.node == self.own.node:
            self._refute(entry)
            return False
        known = self.others.get(entry.node)
        if known is None and self._is_stale(entry):
            return False
        joined = entry if known is None else join_entries(entry, known)
        if joined == known:
            return False
        self._note(known, joined)
        self.others[entry.node] = joined
        self.tombstones.pop(entry.node, None)
        self._changed()
        return known is None or is_newer(joined, known)

    def _is_stale(self, entry: MemberEntry) -> bool:
        # A node that was paused or cut off for hours still gossips members
        # that everybody else has forgotten. Without the remembered rank they
        # would come back as ready and be sent work; a member that really
        # lives learns of it by the answer to its probe and raises its rank.
        rank = self.tombstones.get(entry.node)
        if rank is None or EntryRank.of(entry) > rank:
            return False
        self.stale_entries += 1
        return True

    def merge_versions(
        self, versions: Iterable[MemberVersion]
    ) -> list[MemberVersion]:
        """Takes versions that moved; returns those that were news."""
        return [item for item in versions if self._take_version(item)]

    def _take_version(self, item: MemberVersion) -> bool:
        known = self.others.get(item.node)
        if known is None or known.incarnation != item.incarnation:
            return False
        if item.version <= known.version:
            return False
        self.others[item.node] = attrs.evolve(known, version=item.version)
        self._changed()
        return True

    def _refute(self, entry: MemberEntry) -> None:
        # A node that was paused may be held to be gone by its peers; unless it
        # says otherwise with a higher rank it would get no work for good.
        if not is_newer(entry, self.own):
            return
        self.refutations += 1
        if entry.incarnation > self.own.incarnation:
            # The clock went back between two starts.
            self.restart_own(entry.incarnation + 1)
            return
        self._set_own(attrs.evolve(self.own, sequence=entry.sequence + 1))

    def remove(self, node: str) -> None:
        """Drops the entry of a gone member and remembers its rank."""
        entry = self.others.pop(node)
        self.serving_changes += 1
        self._changed()
        self.tombstones[node] = EntryRank.of(entry)
        while len(self.tombstones) > FORGOTTEN_LIMIT:
            self.tombstones.pop(next(iter(self.tombstones)))

    def known_entry(self, node: str) -> MemberEntry | None:
        """Returns what is held of a node, also where it was forgotten."""
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
        """Returns every entry, the own one first."""
        return [self.own, *self.others.values()]

    def present(self) -> list[MemberEntry]:
        """Returns the other members that are not gone."""
        # Asked with each frame and each tick, changed now and then.
        if self.known_present is None:
            gone = MemberState.GONE.value
            self.known_present = [
                entry for entry in self.others.values() if entry.state != gone
            ]
        return list(self.known_present)

    def _changed(self) -> None:
        self.revision += 1
        self.candidates.clear()
        self.known_present = None

    def ready_for(self, upstream: str) -> list[MemberEntry]:
        """Returns the members whose target serves an upstream.

        Suspects are left out while most members are ready. Where most are
        suspect, the likely cause is this node's own view, such as a cut or the
        rumours after its end, and leaving them out would put the whole load on
        the few others or stop the service. A suspect that is really down costs
        one refused stream, and the request goes elsewhere as not run.
        """
        if upstream not in self.candidates:
            self.candidates[upstream] = self._select(upstream)
        return list(self.candidates[upstream])

    def _select(self, upstream: str) -> list[MemberEntry]:
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
        """Returns the upstreams with at least one member to send work to."""
        usable = (MemberState.READY.value, MemberState.SUSPECT.value)
        return frozenset(
            entry.upstream
            for entry in self.all()
            if entry.upstream and entry.state in usable
        )
