"""What a node knows about the members of the mesh."""

import enum
from collections.abc import Iterable
from typing import Any

import attrs

from pomelobank_schema.generated.peer import MemberEntry


class MemberState(enum.Enum):
    """Life cycle of a member as others see it."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    SUSPECT = "suspect"
    GONE = "gone"


# Within one incarnation a member only moves towards its end, so of two entries
# with equal numbers the one further on is the newer.
_ORDER = {
    MemberState.STARTING.value: 0,
    MemberState.READY.value: 1,
    MemberState.SUSPECT.value: 2,
    MemberState.DRAINING.value: 3,
    MemberState.GONE.value: 4,
}


def is_newer(entry: MemberEntry, known: MemberEntry) -> bool:
    """Tells whether an entry replaces the known one of the same node."""
    return _rank(entry) > _rank(known)


def _rank(entry: MemberEntry) -> tuple[int, int, int]:
    return entry.incarnation, entry.sequence, _ORDER[entry.state]


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
        heard_ms: When each other member was last heard of at first hand.
        serving_changes: Grows whenever it changes who serves what, and where.
    """

    own: MemberEntry
    others: dict[str, MemberEntry] = attrs.field(factory=dict)
    heard_ms: dict[str, int] = attrs.field(factory=dict)
    serving_changes: int = 0

    def update_own(self, **changes: Any) -> None:
        """Changes the own entry so that others take the change."""
        sequence = self.own.sequence + 1
        before = self.own
        self.own = attrs.evolve(self.own, sequence=sequence, **changes)
        self._note(before, self.own)

    def merge(self, entries: Iterable[MemberEntry]) -> list[MemberEntry]:
        """Takes what a peer knows.

        Args:
            entries: The peer's entries.

        Returns:
            Those that were news.
        """
        news = []
        for entry in entries:
            if entry.node == self.own.node:
                self._refute(entry)
                continue
            known = self.others.get(entry.node)
            if known is None or is_newer(entry, known):
                self.others[entry.node] = entry
                self._note(known, entry)
                news.append(entry)
        return news

    def _note(self, before: MemberEntry | None, after: MemberEntry) -> None:
        if before is None or _serving(before) != _serving(after):
            self.serving_changes += 1

    def _refute(self, entry: MemberEntry) -> None:
        # A node that was paused may be held to be gone by its peers; unless it
        # says otherwise with a higher sequence it would get no work for good.
        if is_newer(entry, self.own):
            self.own = attrs.evolve(
                self.own,
                incarnation=max(self.own.incarnation, entry.incarnation),
                sequence=entry.sequence + 1,
            )

    def heard(self, node: str, now_ms: int) -> None:
        """Notes that a member was heard at first hand."""
        self.heard_ms[node] = now_ms

    def expire(self, now_ms: int, silence_ms: int) -> list[MemberEntry]:
        """Holds members to be gone that were silent for too long.

        Args:
            now_ms: Current time.
            silence_ms: Longest silence that is allowed.

        Returns:
            The members that are newly gone.
        """
        gone = []
        for node, entry in self.others.items():
            last = self.heard_ms.setdefault(node, now_ms)
            silent = now_ms - last > silence_ms
            if silent and entry.state != MemberState.GONE.value:
                entry = attrs.evolve(entry, state=MemberState.GONE.value)
                self.others[node] = entry
                self.serving_changes += 1
                gone.append(entry)
        return gone

    def all(self) -> list[MemberEntry]:
        """Returns every entry, the own one first."""
        return [self.own, *self.others.values()]
