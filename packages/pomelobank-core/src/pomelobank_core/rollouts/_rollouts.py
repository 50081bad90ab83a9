"""The roll-outs that a node knows, and what they say about revisions."""

import enum
from collections.abc import Iterable
from typing import NamedTuple

import attrs
import xxhash

from pomelobank_schema import encode
from pomelobank_schema.generated.records import RolloutRecord

# Maximum number of roll-outs in memory and in a frame, about 100 bytes each.
# They cover the last days of an operator who orders a few a day.
_MAX_ROLLOUTS = 128


class RolloutState(enum.Enum):
    """State of a roll-out; a later state replaces an earlier one.

    Until a completion is stored, a roll-back wins over it: a revision that was
    found bad stays bad, whatever another node has decided meanwhile. The store
    accepts one of the two only, under a condition. After a stored completion
    the old targets end, so that a roll-back would leave no target.

    Attributes:
        RUNNING: The revision is not proven yet.
        COMPLETING: The revision is good and gets all requests.
        REVERTED: The revision is bad and gets no requests.
        COMPLETED: As `COMPLETING`, and stored.
    """

    RUNNING = "running"
    COMPLETING = "completing"
    REVERTED = "reverted"
    COMPLETED = "completed"


_ORDER = {state.value: rank for rank, state in enumerate(RolloutState)}


class RevisionStatus(enum.Enum):
    """What the known roll-outs say about a revision.

    Attributes:
        UNKNOWN: No roll-out names the revision.
        UNPROVEN: Its roll-out is running.
        PROVEN: Its roll-out is completing or completed.
        CONDEMNED: Its roll-out was rolled back.
    """

    UNKNOWN = "unknown"
    UNPROVEN = "unproven"
    PROVEN = "proven"
    CONDEMNED = "condemned"


_STATUSES = {
    RolloutState.RUNNING.value: RevisionStatus.UNPROVEN,
    RolloutState.COMPLETING.value: RevisionStatus.PROVEN,
    RolloutState.COMPLETED.value: RevisionStatus.PROVEN,
    RolloutState.REVERTED.value: RevisionStatus.CONDEMNED,
}


class RolloutKey(NamedTuple):
    """Identity of a roll-out.

    The era is no part of it: after the source came back from an older copy,
    the same order is read again in a later era.
    """

    upstream: str
    revision: str
    position: int
    duration_ms: int

    @classmethod
    def of(cls, record: RolloutRecord) -> "RolloutKey":
        """Returns the identity of a record."""
        return cls(
            record.upstream,
            record.revision,
            record.position,
            record.duration_ms,
        )


def join_rollouts(first: RolloutRecord, second: RolloutRecord) -> RolloutRecord:
    """Returns the union of what two records of one roll-out say.

    The operation is associative, commutative and idempotent, so nodes may
    exchange records in any order and any number of times.
    """
    newer = max(first, second, key=_state_rank)
    known_times = [
        item.ordered_at_ms for item in (first, second) if item.ordered_at_ms
    ]
    return attrs.evolve(
        newer,
        era=max(first.era, second.era),
        # A node that starts later reads the order again, at a later time.
        ordered_at_ms=min(known_times, default=0),
    )


def next_status(
    rollout: RolloutRecord, stored: RolloutRecord | None
) -> RolloutRecord | None:
    """Returns the status of an upstream's roll-out to store, if any.

    A status is replaced only by a later state or a newer roll-out. The old
    targets end as soon as a completion is stored, so nothing revokes it.

    Args:
        rollout: The newest roll-out that a node knows.
        stored: The stored status; None without one.

    Returns:
        The record to store, under the condition that `stored` is still the
        newest status; None if the stored status stays.
    """
    if stored is not None:
        if RolloutKey.of(rollout) != RolloutKey.of(stored):
            replaces = _age_rank(rollout) > _age_rank(stored)
        else:
            replaces = _state_rank(rollout)[0] > _state_rank(stored)[0]
        if not replaces:
            return None
    if rollout.state == RolloutState.COMPLETING.value:
        return attrs.evolve(rollout, state=RolloutState.COMPLETED.value)
    return rollout


def _state_rank(record: RolloutRecord) -> tuple[int, str]:
    return _ORDER.get(record.state, 0), record.reason


@attrs.define(eq=False)
class Rollouts:
    """All known roll-outs; a set that only grows, up to a limit.

    Attributes:
        records: The records by identity.
        changes: Counter of the changes.
        digest: Hash of the records, independent of their order; 0 without any.
        newest_cache: Newest record by upstream, and by upstream and revision.
    """

    records: dict[RolloutKey, RolloutRecord] = attrs.field(factory=dict)
    changes: int = 0
    digest: int = 0
    newest_cache: dict[tuple[str, ...], RolloutRecord | None] = attrs.field(
        factory=dict
    )

    def add(self, record: RolloutRecord) -> bool:
        """Adds what a record says; returns whether any of it is new."""
        key = RolloutKey.of(record)
        known = self.records.get(key)
        joined = record if known is None else join_rollouts(known, record)
        if joined == known:
            return False
        self.records[key] = joined
        while len(self.records) > _MAX_ROLLOUTS:
            oldest = min(self.records.values(), key=_age_rank)
            del self.records[RolloutKey.of(oldest)]
        self.changes += 1
        self.newest_cache.clear()
        self.digest = self._compute_digest()
        return True

    def add_all(self, records: Iterable[RolloutRecord]) -> bool:
        """Adds records; returns whether one of them says something new."""
        return sum(map(self.add, records)) > 0

    def _compute_digest(self) -> int:
        digest = 0
        for record in self.records.values():
            digest ^= xxhash.xxh3_64_intdigest(encode(record))
        # The frames carry signed integers.
        return digest >> 1

    def newest(self, upstream: str) -> RolloutRecord | None:
        """Returns the newest roll-out of an upstream; None without any."""
        return self._newest((upstream,))

    def status(self, upstream: str, revision: str) -> RevisionStatus:
        """Returns what the newest roll-out to a revision says about it."""
        record = self._newest((upstream, revision))
        if record is None:
            return RevisionStatus.UNKNOWN
        return _STATUSES.get(record.state, RevisionStatus.UNPROVEN)

    def _newest(self, names: tuple[str, ...]) -> RolloutRecord | None:
        # Cached, because each answer of a target asks for it.
        if names not in self.newest_cache:
            matching = (
                record
                for key, record in self.records.items()
                if key[: len(names)] == names
            )
            self.newest_cache[names] = max(
                matching, key=_age_rank, default=None
            )
        return self.newest_cache[names]


def _age_rank(record: RolloutRecord) -> tuple[int, int]:
    return record.era, record.position
