"""Selects the members to probe and tracks the pending probes of a node."""

import random
from collections.abc import Iterable, Mapping

import attrs

from pomelobank_schema.generated.peer import MemberEntry

# Minimum fraction of the exchanges that go to other data centres, for a data
# centre with many members. A data centre of 30 nodes then makes seven such
# exchanges a second, which are enough to pass on its gossip and to detect the
# loss of another data centre.
MIN_REMOTE_FRACTION = 1 / 8
# The same fraction while a member of another data centre is suspect. That whole
# data centre may be lost, and with it all members that would probe the suspect
# more often, so the members of other data centres probe it more often instead.
SUSPECT_REMOTE_FRACTION = 1 / 2


def remote_fraction(neighbours: int) -> float:
    """Returns the fraction of the exchanges that go to other data centres.

    Args:
        neighbours: Number of other members in the node's data centre.

    >>> remote_fraction(0), remote_fraction(1), remote_fraction(100)
    (1.0, 0.5, 0.125)
    """
    return max(MIN_REMOTE_FRACTION, 1 / (1 + neighbours))


@attrs.define
class Probe:
    """A probe that waits for its reply.

    Attributes:
        node: Member that is probed.
        sent_ms: When the probe was sent.
        indirect: Whether other members were already asked for indirect probes.
    """

    node: str
    sent_ms: int
    indirect: bool = False


@attrs.frozen
class RelayedProbe:
    """An indirect probe on behalf of another member.

    Attributes:
        requester: Address of the member that requested the probe.
        sequence: Sequence number of the probe at the requester.
        sent_ms: When the probe was sent.
    """

    requester: str
    sequence: int
    sent_ms: int


@attrs.define
class ProbeRound:
    """Chooses every member once per round, each round in a new random order.

    With an independent random choice for each probe, a member could remain
    without a probe for a long time. A round bounds the time until the first
    probe of a dead member.

    Attributes:
        random: Source of randomness.
        order: Members that this round has not chosen yet, the next one last.
    """

    random: random.Random
    order: list[str] = attrs.field(factory=list)

    def choose(self, members: Mapping[str, MemberEntry]) -> MemberEntry | None:
        """Returns the next member, or None if there is no member."""
        while self.order:
            entry = members.get(self.order.pop())
            if entry is not None:
                return entry
        self.order = sorted(members)
        self.random.shuffle(self.order)
        return members[self.order.pop()] if self.order else None

    def insert(self, node: str) -> None:
        """Inserts a new member at a random position of the current round."""
        position = self.random.randrange(len(self.order) + 1)
        self.order.insert(position, node)


@attrs.define
class Prober:
    """Probes members, mostly those of the own data centre.

    Attributes:
        random: Source of randomness.
        data_centre: The own data centre.
        local_round: Round over the members of the own data centre.
        remote_round: Round over the members of all other data centres.
        pending: Own probes by sequence number.
        relayed: Probes on behalf of other members by sequence number.
        next_sequence: Next sequence number; a number is never reused.
    """

    random: random.Random
    data_centre: str = ""
    local_round: ProbeRound = attrs.field(init=False)
    remote_round: ProbeRound = attrs.field(init=False)
    pending: dict[int, Probe] = attrs.field(factory=dict)
    relayed: dict[int, RelayedProbe] = attrs.field(factory=dict)
    next_sequence: int = 1

    def __attrs_post_init__(self) -> None:
        self.local_round = ProbeRound(self.random)
        self.remote_round = ProbeRound(self.random)

    def choose(
        self,
        present: Iterable[MemberEntry],
        doubted: Iterable[MemberEntry] = (),
    ) -> MemberEntry | None:
        """Returns the next member to exchange with, or None if there is none.

        In a mesh of six data centres, five members in six are remote. With a
        uniform choice, nearly all membership traffic would cross between the
        data centres, and each node would keep a stream to every member.

        Args:
            present: The members that are not gone.
            doubted: The present members that are suspect.
        """
        local: dict[str, MemberEntry] = {}
        remote: dict[str, MemberEntry] = {}
        for entry in present:
            (local if self._is_local(entry) else remote)[entry.node] = entry
        remote_share = remote_fraction(len(local))
        if not all(map(self._is_local, doubted)):
            remote_share = max(remote_share, SUSPECT_REMOTE_FRACTION)
        if remote and self.random.random() < remote_share:
            return self.remote_round.choose(remote)
        return self.local_round.choose(local) or self.remote_round.choose(
            remote
        )

    def insert(self, entry: MemberEntry) -> None:
        """Inserts a new member at a random position of the current round."""
        current = (
            self.local_round if self._is_local(entry) else self.remote_round
        )
        current.insert(entry.node)

    def _is_local(self, entry: MemberEntry) -> bool:
        return entry.data_centre == self.data_centre

    def start_probe(self, node: str, now_ms: int) -> int:
        """Registers a probe of a member and returns its sequence number."""
        sequence = self.new_sequence()
        self.pending[sequence] = Probe(node, now_ms)
        return sequence

    def relay(self, requester: str, sequence: int, now_ms: int) -> int:
        """Registers a probe for another member; returns its sequence number."""
        own_sequence = self.new_sequence()
        self.relayed[own_sequence] = RelayedProbe(requester, sequence, now_ms)
        return own_sequence

    def new_sequence(self) -> int:
        """Returns a new sequence number."""
        sequence = self.next_sequence
        self.next_sequence += 1
        return sequence

    def on_reply(self, sequence: int, node: str) -> None:
        """Removes the pending probe that a reply belongs to."""
        probe = self.pending.get(sequence)
        if probe is not None and probe.node == node:
            del self.pending[sequence]

    def direct_timeouts(self, now_ms: int, timeout_ms: int) -> list[int]:
        """Returns the probes whose direct reply timed out."""
        return [
            sequence
            for sequence, probe in self.pending.items()
            if not probe.indirect and now_ms - probe.sent_ms >= timeout_ms
        ]

    def pop_timed_out(self, now_ms: int, timeout_ms: int) -> list[str]:
        """Removes the probes without any reply and returns their members."""
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
        """Returns when the next probe times out, directly or altogether.

        Args:
            direct_ms: Time-out of a direct reply.
            whole_ms: Time-out of any reply, direct or indirect.
            none_ms: Result if no probe is pending.
        """
        return min(
            (
                probe.sent_ms + (whole_ms if probe.indirect else direct_ms)
                for probe in self.pending.values()
            ),
            default=none_ms,
        )

    def clear(self) -> None:
        """Drops all pending probes."""
        self.pending.clear()
        self.relayed.clear()
