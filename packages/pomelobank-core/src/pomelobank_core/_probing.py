"""Keeps track of the probes that a node has under way."""

import random
from collections.abc import Iterable, Mapping

import attrs

from pomelobank_schema.generated.peer import MemberEntry

# Part of the exchanges that goes to other data centres where there are many
# neighbours. A data centre of 30 nodes then makes seven of them a second, in
# which news leave it and the loss of another one shows.
FAR_SHARE = 1 / 8
# The same while a member of another data centre is suspected: that whole data
# centre may be lost, with every neighbour who would notice.
DOUBTED_FAR_SHARE = 1 / 2


def far_share(neighbours: int) -> float:
    """Returns the part of the exchanges that goes to other data centres.

    >>> far_share(0), far_share(1), far_share(100)
    (1.0, 0.5, 0.125)
    """
    return max(FAR_SHARE, 1 / (1 + neighbours))


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
class Pass:
    """Chooses every member once in a random order, then again in another.

    Purely random choice would leave a member out for long stretches; this
    bounds the time to the first probe of a dead member by one pass.

    Attributes:
        random: Source of randomness.
        order: Members that are still to come in this pass.
    """

    random: random.Random
    order: list[str] = attrs.field(factory=list)

    def choose(self, members: Mapping[str, MemberEntry]) -> MemberEntry | None:
        """Returns the next member, None where there is none."""
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


@attrs.define
class Prober:
    """Probes members, mostly those of the own data centre.

    Attributes:
        random: Source of randomness.
        data_centre: The own data centre.
        near: Members of the own data centre that are still to come.
        far: Those of the others.
        pending: Own probes by number.
        relayed: Probes made for others by number.
        next_sequence: Next number; never used again.
    """

    random: random.Random
    data_centre: str = ""
    near: Pass = attrs.field(init=False)
    far: Pass = attrs.field(init=False)
    pending: dict[int, Probe] = attrs.field(factory=dict)
    relayed: dict[int, RelayedProbe] = attrs.field(factory=dict)
    next_sequence: int = 1

    def __attrs_post_init__(self) -> None:
        self.near = Pass(self.random)
        self.far = Pass(self.random)

    def choose(
        self,
        present: Iterable[MemberEntry],
        doubted: Iterable[MemberEntry] = (),
    ) -> MemberEntry | None:
        """Returns the member to exchange with next, None where there is none.

        Five members in six are far in a mesh of six data centres. Chosen
        evenly, nearly all of what membership sends crosses between them, and
        each node has a stream to everybody.

        Args:
            present: The members that are not gone.
            doubted: Those of them that are suspected.
        """
        near: dict[str, MemberEntry] = {}
        far: dict[str, MemberEntry] = {}
        for entry in present:
            (near if self._is_near(entry) else far)[entry.node] = entry
        share = far_share(len(near))
        if not all(map(self._is_near, doubted)):
            share = max(share, DOUBTED_FAR_SHARE)
        if far and self.random.random() < share:
            return self.far.choose(far)
        return self.near.choose(near) or self.far.choose(far)

    def insert(self, entry: MemberEntry) -> None:
        """Puts a new member somewhere into the current pass."""
        members = self.near if self._is_near(entry) else self.far
        members.insert(entry.node)

    def _is_near(self, entry: MemberEntry) -> bool:
        return entry.data_centre == self.data_centre

    def start_probe(self, node: str, now_ms: int) -> int:
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

    def on_reply(self, sequence: int, node: str) -> None:
        """Ends the probe that an answer belongs to."""
        probe = self.pending.get(sequence)
        if probe is not None and probe.node == node:
            del self.pending[sequence]

    def direct_timeouts(self, now_ms: int, timeout_ms: int) -> list[int]:
        """Returns the probes whose direct answer is overdue."""
        return [
            sequence
            for sequence, probe in self.pending.items()
            if not probe.indirect and now_ms - probe.sent_ms >= timeout_ms
        ]

    def pop_timed_out(self, now_ms: int, timeout_ms: int) -> list[str]:
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

    def next_timeout_ms(
        self, direct_ms: int, whole_ms: int, none_ms: int
    ) -> int:
        """Returns when the next probe is overdue or has failed.

        Args:
            direct_ms: Time that a direct answer may take.
            whole_ms: Time that any answer may take.
            none_ms: Returned where no probe is under way.
        """
        return min(
            (
                probe.sent_ms + (whole_ms if probe.indirect else direct_ms)
                for probe in self.pending.values()
            ),
            default=none_ms,
        )

    def clear(self) -> None:
        """Drops every probe under way."""
        self.pending.clear()
        self.relayed.clear()
