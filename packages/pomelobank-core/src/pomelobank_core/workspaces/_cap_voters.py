"""Voters whose votes decide who grants the tokens of usage caps."""

import functools
from collections.abc import Iterable, Mapping, Set
from itertools import chain, zip_longest

import attrs

from pomelobank_core._rendezvous import rendezvous_order
from pomelobank_schema.generated.records import CapVotersRecord

# Votes, of so many voters, from which an authority grants whole caps. With the
# rest of the votes or fewer it grants nothing, so two authorities together
# never exceed a cap. Two fifths of the voters may be lost without any effect.
_WHOLE_VOTES, _OF_VOTERS = 3, 5
# Maximum number of voters. An authority asks each of them several times a
# second, and more of them would only add messages. About half of the members
# are no voters, so that one can take over from a voter that leaves.
MAX_VOTERS = 31
_MIN_VOTERS = 3
# Time for which a read of the stored voters may be relied on. A change of the
# voters waits so long for its second step, and an outage of the store that
# lasts longer stops the grants.
VOTERS_VALID_MS = 60_000
# Part of the voters that are not present, or of members that are no voters,
# from which the voters are changed.
_CHANGED_PART = 0.2
# Time for which that must be so. Members that restart are back sooner.
CHANGE_DELAY_MS = 20_000
_VOTERS_SALT = "caps voters"


@attrs.frozen
class CapVoters:
    """The nodes whose votes count.

    Attributes:
        epoch: Number of the record; each change raises it.
        voters: Ids of the voters.
        next_voters: Ids of the voters after a change under way; empty without
            one.
        vacant: Number of further votes that nobody can give, because a voter
            has left.
        next_vacant: The same after a change under way.
    """

    epoch: int
    voters: frozenset[str]
    next_voters: frozenset[str] = frozenset()
    vacant: int = 0
    next_vacant: int = 0

    @classmethod
    def of_record(cls, record: CapVotersRecord) -> "CapVoters":
        """Returns the voters that a record names."""
        return cls(
            record.epoch,
            frozenset(record.voters),
            frozenset(record.next_voters),
            max(0, record.vacant),
            max(0, record.next_vacant),
        )

    def record(self) -> CapVotersRecord:
        """Returns the record to store."""
        return CapVotersRecord(
            epoch=self.epoch,
            voters=tuple(sorted(self.voters)),
            next_voters=tuple(sorted(self.next_voters)),
            vacant=self.vacant,
            next_vacant=self.next_vacant,
        )

    @functools.cached_property
    def all(self) -> tuple[str, ...]:
        """Ids of all voters, those of a change under way included."""
        return tuple(sorted(self.voters | self.next_voters))

    def fraction(self, votes: Set[str]) -> float:
        """Returns the part of each cap that an authority may grant.

        The parts of all authorities together are at most 1, because a voter
        votes for one of them at a time. This also holds while some of them
        count by other records: between the two steps of a change the part is
        bounded by the votes of each set, and a voter that leaves gives no vote
        before its successor does.

        Args:
            votes: Ids of the nodes that vote for the authority.

        >>> voters = CapVoters(1, frozenset("abcde"))
        >>> [voters.fraction(set("abcde"[:count])) for count in range(6)]
        [0.0, 0.0, 0.0, 1.0, 1.0, 1.0]
        """
        voters, vacant = self.voters, self.vacant
        fraction = _fraction(len(votes & voters), len(voters) + vacant)
        if self.next_voters and fraction:
            voters, vacant = self.next_voters, self.next_vacant
            count = len(votes & voters)
            fraction = min(fraction, _fraction(count, len(voters) + vacant))
        return fraction

    def begin_change(self, next_voters: Iterable[str]) -> "CapVoters":
        """Returns the first step of a change: both sets of voters count."""
        return attrs.evolve(
            self, epoch=self.epoch + 1, next_voters=frozenset(next_voters)
        )

    def end_change(self) -> "CapVoters":
        """Returns the second step of a change: the new voters count alone."""
        return CapVoters(
            self.epoch + 1, self.next_voters, vacant=self.next_vacant
        )

    def without(self, node: str) -> "CapVoters":
        """Returns the voters after one has left that gives no vote any more."""
        return attrs.evolve(
            self,
            epoch=self.epoch + 1,
            voters=self.voters - {node},
            next_voters=self.next_voters - {node},
            vacant=self.vacant + (node in self.voters),
            next_vacant=self.next_vacant + (node in self.next_voters),
        )

    def with_successor(self, former: "CapVoters", node: str) -> "CapVoters":
        """Returns the voters after a node has taken over from one that left.

        Args:
            former: The voters before the other node left.
            node: A node that was no voter.
        """
        left = len(self.voters) < len(former.voters)
        next_left = len(self.next_voters) < len(former.next_voters)
        return attrs.evolve(
            self,
            epoch=self.epoch + 1,
            voters=self.voters | ({node} if left else set()),
            next_voters=self.next_voters | ({node} if next_left else set()),
            vacant=self.vacant - left,
            next_vacant=self.next_vacant - next_left,
        )


def _fraction(votes: int, voters: int) -> float:
    if votes * _OF_VOTERS >= voters * _WHOLE_VOTES:
        return 1.0 if voters else 0.0
    if votes * _OF_VOTERS <= voters * (_OF_VOTERS - _WHOLE_VOTES):
        return 0.0
    return votes / voters


def choose_voters(
    present: Mapping[str, str], keep: Set[str] = frozenset()
) -> frozenset[str]:
    """Returns the voters among the members that are present.

    As far as possible, all data centres have equally many.

    Args:
        present: Data centre of each member.
        keep: Present voters, which are preferred.

    >>> sorted(choose_voters({"a": "south", "b": "north"}))
    ['a', 'b']
    """
    order = rendezvous_order(present, _VOTERS_SALT)
    order.sort(key=lambda node: node not in keep)
    by_data_centre: dict[str, list[str]] = {}
    for node in order:
        by_data_centre.setdefault(present[node], []).append(node)
    in_turn = chain.from_iterable(zip_longest(*by_data_centre.values()))
    return frozenset([node for node in in_turn if node][: _size(len(present))])


def _size(members: int) -> int:
    return min(MAX_VOTERS, max(_MIN_VOTERS, (members + 1) // 2))


def choose_successor(
    voters: CapVoters, present: Mapping[str, str], data_centre: str
) -> str:
    """Returns the member that takes over from a voter that leaves.

    Args:
        voters: The voters.
        present: Data centre of each member that is present.
        data_centre: Data centre of the voter that leaves, which is preferred.

    Returns:
        Id of the member; empty if all members are voters.
    """
    free = present.keys() - set(voters.all)
    order = rendezvous_order(free, _VOTERS_SALT)
    order.sort(key=lambda node: present[node] != data_centre)
    return order[0] if order else ""


def first_editor(present: Iterable[str]) -> str:
    """Returns the member that writes changes of the voters; empty if none."""
    order = rendezvous_order(present, _VOTERS_SALT)
    return order[0] if order else ""


@attrs.define
class VotersReview:
    """Decides when the stored voters are changed.

    Attributes:
        differs_since_ms: Time since which the voters differ from the members
            that are present; None if they don't.
        change_seen_ms: Epoch of a change under way, and the time at which this
            node first knew that it was stored.
    """

    differs_since_ms: int | None = None
    change_seen_ms: tuple[int, int] = (0, 0)

    def on_known(self, voters: CapVoters, now_ms: int) -> None:
        """Notes stored voters."""
        if voters.next_voters and self.change_seen_ms[0] != voters.epoch:
            self.change_seen_ms = (voters.epoch, now_ms)

    def next_voters(
        self, voters: CapVoters, present: Mapping[str, str], now_ms: int
    ) -> CapVoters | None:
        """Returns the voters to store in place of the present ones, if due.

        The second step of a change is due once no authority can still rely on
        a read that did not show the first one.

        Args:
            voters: The stored voters.
            present: Data centre of each member that is present.
            now_ms: Monotonic time.
        """
        if voters.next_voters:
            seen_ms = self.change_seen_ms[1]
            if now_ms - seen_ms <= VOTERS_VALID_MS:
                return None
            return voters.end_change()
        chosen = choose_voters(present, voters.voters)
        size = len(voters.voters) + voters.vacant
        lost = len(voters.voters - present.keys()) + voters.vacant
        grown = len(chosen) - size
        if max(lost, grown) <= _CHANGED_PART * size or not chosen:
            self.differs_since_ms = None
            return None
        if self.differs_since_ms is None:
            self.differs_since_ms = now_ms
        if now_ms - self.differs_since_ms < CHANGE_DELAY_MS:
            return None
        self.differs_since_ms = None
        return voters.begin_change(chosen)
