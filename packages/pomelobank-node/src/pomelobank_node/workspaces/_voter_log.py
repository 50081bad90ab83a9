"""Reads and changes the stored voters of usage caps."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Protocol

import attrs

from pomelobank_core import Clock, MemberState
from pomelobank_core.workspaces import (
    SHARDS,
    CapMembers,
    CapVoters,
    VotersReview,
    choose_successor,
    choose_voters,
    first_editor,
)
from pomelobank_node._log import LogError, LogErrorKind
from pomelobank_schema.generated.records import CapVotersRecord

_logger = logging.getLogger(__name__)

# Number of members at the head of a shard's order that read the voters at
# intervals. Others read them when they are asked for tokens.
_READERS = 2
# Interval of reads. One of them may fail without any effect.
READ_INTERVAL_MS = 25_000
# Time without a new member after which the first voters are chosen, and the
# same for a node that knows no other member. Later changes take a minute.
SETTLED_MS = 1500
ALONE_MS = 10_000
# Interval of reads where no voters are stored yet.
_MISSING_MS = 2000
# Interval in which the node that writes the voters looks for a change to make.
_CHECK_MS = 500
_MAX_RETRY_MS = 5000
# Maximum number of attempts to leave the voters, beside others that leave.
_LEAVE_ATTEMPTS = 8
_JITTER = (0.8, 1.1)
_MS_PER_S = 1000


@attrs.frozen
class StoredVoters:
    """The voters as they are stored.

    Attributes:
        record: The record; None if there is none.
        end: Position after it, for a conditional write.
    """

    record: CapVotersRecord | None
    end: int


class VoterStore(Protocol):
    """Stores the voters of usage caps."""

    async def read_voters(self) -> StoredVoters:
        """Reads the voters.

        Raises:
            LogError: If the store does not answer or its answer is malformed.
        """

    async def write_voters(self, record: CapVotersRecord, end: int) -> None:
        """Stores voters if none were stored since a read.

        Args:
            record: The voters.
            end: `StoredVoters.end` of the read.

        Raises:
            LogError: REJECTED if they were certainly not stored, UNKNOWN if
                they may have been.
        """


@attrs.define(eq=False)
class VoterLog:
    """Keeps the known voters up to date with the stored ones.

    Members that may soon be an authority read them. One member, by a hash of
    the ids, writes the first ones and changes them when many are lost or new.

    Attributes:
        store: Holds the voters.
        members: Members that may become voters.
        clock: Monotonic clock.
        on_confirmed: Called with the voters and the time of the sending of the
            read that showed them.
        rng: Source of randomness.
        review: Decides when they are changed.
        voters: The newest known voters; None before the first read.
        read_due: Set when the voters have to be read before the next regular
            read.
        attempted_ms: Time of the last read.
        confirmed_ms: Sending of the newest call that showed the present voters.
        has_read: Whether this process has read the voters. Before, it may have
            left the voters in an earlier process without knowing.
    """

    store: VoterStore
    members: CapMembers
    clock: Clock
    on_confirmed: Callable[[CapVoters, int], None]
    rng: random.Random = attrs.field(factory=random.Random)
    review: VotersReview = attrs.field(factory=VotersReview)
    voters: CapVoters | None = None
    read_due: asyncio.Event = attrs.field(factory=asyncio.Event)
    attempted_ms: int = -_MISSING_MS
    confirmed_ms: int = 0
    has_read: bool = False

    async def run(self) -> None:
        """Reads the voters at intervals, and writes them when that is due."""
        retry_ms = _CHECK_MS
        while True:
            await self._wait_until_needed()
            try:
                wait_ms = await self._read_and_write()
                retry_ms = _CHECK_MS
            except LogError as error:
                _logger.info("caps.voters_failed", extra={"error": str(error)})
                wait_ms, retry_ms = retry_ms, min(2 * retry_ms, _MAX_RETRY_MS)
            await self._wait(wait_ms * self.rng.uniform(*_JITTER))

    def is_voter(self) -> bool:
        """Tells whether this node is certainly a voter; reads if it is not."""
        voters = self.voters
        if self.has_read and voters and self.members.own in voters.all:
            return True
        self.request_read()
        return False

    def learn(self, voters: CapVoters, confirmed_ms: int) -> None:
        """Takes over voters that a peer has read.

        Args:
            voters: The voters.
            confirmed_ms: Time, not later than the sending of the peer's read.
        """
        if self.voters is None or voters.epoch > self.voters.epoch:
            self._apply(voters, confirmed_ms)

    async def leave(self) -> None:
        """Passes the own vote on to another member, because this node ends.

        Must be called once all votes that this node gave are over. A failure
        costs the vote until the voters are changed.
        """
        own = self.members.own
        if self.voters is None or own not in self.voters.all:
            return
        try:
            for _ in range(_LEAVE_ATTEMPTS):
                stored = await self.store.read_voters()
                if stored.record is None:
                    return
                former = CapVoters.of_record(stored.record)
                successor = choose_successor(
                    former, self._present(), self.members.table.own.data_centre
                )
                if own not in former.all or not successor:
                    return
                # A change that is not acknowledged may be stored later, when
                # this node may have started again. It must not name a
                # successor until this node knows that it is no voter.
                left = former.without(own)
                if not await self._store(left, stored.end):
                    continue
                following = left.with_successor(former, successor)
                await self._store(following, stored.end + 1)
                return
        except LogError as error:
            _logger.info("caps.voters_failed", extra={"error": str(error)})

    async def _store(self, voters: CapVoters, end: int) -> bool:
        """Stores voters; returns whether nothing else was stored meanwhile."""
        sent_ms = self.clock.now_ms()
        try:
            await self.store.write_voters(voters.record(), end)
        except LogError as error:
            if error.kind is not LogErrorKind.REJECTED:
                raise
            return False
        _logger.info(
            "caps.voters_stored",
            extra={
                "epoch": voters.epoch,
                "voters": len(voters.voters),
                "next_voters": len(voters.next_voters),
                "vacant": voters.vacant,
            },
        )
        self._apply(voters, sent_ms)
        return True

    def _present(self) -> dict[str, str]:
        """Returns the data centre of each member that may become a voter."""
        return {
            node: entry.data_centre
            for node, entry in self.members.eligible.items()
            if entry.state != MemberState.DRAINING.value
        }

    def request_read(self) -> None:
        """Reads the voters now, unless the last read was a short while ago."""
        if self.clock.now_ms() - self.attempted_ms >= _MISSING_MS:
            self.read_due.set()

    async def _wait_until_needed(self) -> None:
        while not (self._is_needed() or self.read_due.is_set()):
            await self._wait(_CHECK_MS)
        self.read_due.clear()

    def _is_needed(self) -> bool:
        members = self.members
        now_ms = self.clock.now_ms()
        members.refresh(now_ms)
        # A node that does not know the members yet seems to be the first.
        if not members.is_settled(SETTLED_MS, now_ms):
            return False
        return self._is_editor() or any(
            members.own in members.order(shard)[:_READERS]
            for shard in range(SHARDS)
        )

    def _is_editor(self) -> bool:
        return first_editor(self.members.eligible) == self.members.own

    async def _wait(self, wait_ms: float) -> None:
        try:
            async with asyncio.timeout(wait_ms / _MS_PER_S):
                await self.read_due.wait()
        except TimeoutError:
            return

    async def _read_and_write(self) -> int:
        """Returns the time until the next read."""
        sent_ms = self.attempted_ms = self.clock.now_ms()
        stored = await self.store.read_voters()
        self.has_read = True
        if stored.record is not None:
            self._apply(CapVoters.of_record(stored.record), sent_ms)
        following = self._next_voters(stored)
        if following is None:
            if self.voters is not None:
                return READ_INTERVAL_MS
            return _CHECK_MS if self._is_editor() else _MISSING_MS
        if not await self._store(following, stored.end):
            return _CHECK_MS
        return READ_INTERVAL_MS

    def _apply(self, voters: CapVoters, confirmed_ms: int) -> None:
        if self.voters is None or voters.epoch >= self.voters.epoch:
            self.voters = voters
            self.confirmed_ms = max(self.confirmed_ms, confirmed_ms)
            self.review.on_known(voters, self.clock.now_ms())
            self.on_confirmed(voters, confirmed_ms)

    def _next_voters(self, stored: StoredVoters) -> CapVoters | None:
        now_ms = self.clock.now_ms()
        self.members.refresh(now_ms)
        present = self._present()
        if not self._is_editor():
            return None
        if self.voters is None:
            settled_ms = SETTLED_MS if len(present) > 1 else ALONE_MS
            if not self.members.is_settled(settled_ms, now_ms):
                return None
            return CapVoters(1, choose_voters(present))
        if stored.record is None or stored.record.epoch < self.voters.epoch:
            # The store has come back from an older copy.
            return attrs.evolve(self.voters, epoch=self.voters.epoch + 1)
        return self.review.next_voters(self.voters, present, now_ms)
