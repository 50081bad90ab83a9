"""Keeps track of the probes that a node has under way."""

import random

import attrs

from pomelobank_schema.generated.peer import MemberEntry


@attrs.define
class Probe:
    """One probe that waits for its answer.

    Attributes:
        node: Member that is probed.
        sent_ms: When it was sent.
        indirect: Whether others were already asked to try.
    """

    node: str
    sent_ms: int
    indirect: bool = False


@attrs.frozen
class RelayedProbe:
    """A probe made for another member.

    Attributes:
        requester: Where the other member is reached.
        sequence: The other member's number of the probe.
        sent_ms: When it was sent.
    """

    requester: str
    sequence: int
    sent_ms: int


@attrs.define
class Prober:
    """Probes every member once in a random order, then again in another.

    Purely random choice would leave a member out for long stretches; this
    bounds the time to the first probe of a dead member by one pass.

    Attributes:
        random: Source of randomness.
        order: Members that are still to come in this pass.
        pending: Own probes by number.
        relayed: Probes made for others by number.
        next_sequence: Next number; never used again.
    """

    random: random.Random
    order: list[str] = attrs.field(factory=list)
    pending: dict[int, Probe] = attrs.field(factory=dict)
    relayed: dict[int, RelayedProbe] = attrs.field(factory=dict)
    next_sequence: int = 1

    def choose(self, present: list[MemberEntry]) -> MemberEntry | None:
        """Returns the member to probe next, None where there is none."""
        members = {entry.node: entry for entry in present}
        while self.order:
            entry = members.get(self.order.pop())
            if entry is not None:
                return entry
        self.order = sorted(members)
        self.random.shuffle(self.order)
        return members[self.order.pop()] if self.order else None

    def insert(self, node: str) -> None:
        """Puts a new member somewhere into the current pass."""
        place = self.random.randrange(len(self.order) + 1)
        self.order.insert(place, node)

    def start(self, node: str, now_ms: int) -> int:
        """Notes a probe of a member and returns its number."""
        sequence = self.take_sequence()
        self.pending[sequence] = Probe(node, now_ms)
        return sequence

    def relay(self, requester: str, sequence: int, now_ms: int) -> int:
        """Notes a probe for another member and returns its number."""
        own = self.take_sequence()
        self.relayed[own] = RelayedProbe(requester, sequence, now_ms)
        return own

    def take_sequence(self) -> int:
        """Returns a new number."""
        sequence = self.next_sequence
        self.next_sequence += 1
        return sequence

    def settle(self, sequence: int, node: str) -> None:
        """Ends the probe that an answer belongs to."""
        probe = self.pending.get(sequence)
        if probe is not None and probe.node == node:
            del self.pending[sequence]

    def overdue(self, now_ms: int, timeout_ms: int) -> list[int]:
        """Returns the probes whose direct answer is overdue."""
        return [
            sequence
            for sequence, probe in self.pending.items()
            if not probe.indirect and now_ms - probe.sent_ms >= timeout_ms
        ]

    def failed(self, now_ms: int, timeout_ms: int) -> list[str]:
        """Removes the probes without any answer and returns their members."""
        ended = [
            sequence
            for sequence, probe in self.pending.items()
            if now_ms - probe.sent_ms >= timeout_ms
        ]
        for sequence, probe in list(self.relayed.items()):
            if now_ms - probe.sent_ms >= timeout_ms:
                del self.relayed[sequence]
        return [self.pending.pop(sequence).node for sequence in ended]

    def clear(self) -> None:
        """Drops every probe under way."""
        self.pending.clear()
        self.relayed.clear()
