"""Learns roll-outs from the source of configurations and shares them."""

import asyncio
import logging
import math
from collections.abc import Callable, Iterable

import attrs

from pomelobank_core import Clock, MemberTable
from pomelobank_core.rollouts import (
    Revisions,
    RevisionStatus,
    RolloutKey,
    Rollouts,
    RolloutState,
)
from pomelobank_node._peer_links import PeerLinks
from pomelobank_node._requests import RequestError
from pomelobank_schema import SchemaError, WireMessage, decode, encode
from pomelobank_schema.generated.peer import RolloutSync, VersionDigest
from pomelobank_schema.generated.records import KINDS, RolloutRecord

_logger = logging.getLogger(__name__)
# Minimum pause between two queries to one peer. A reply takes one round trip.
_QUERY_INTERVAL_MS = 200
_GOOD_STATES = frozenset(
    {RolloutState.COMPLETING.value, RolloutState.COMPLETED.value}
)


@attrs.define(eq=False)
class RolloutRegistry:
    """The roll-outs that a node knows, from the source and from its peers.

    A reader of the source sends a new roll-out to every member at once. The
    regular digests of the configuration carry a hash of the known roll-outs and
    the age of the knowledge, so that a member which missed a frame, or has just
    started, queries the sender. Without roll-outs nothing else is sent.

    Attributes:
        table: The members known to this node.
        links: Streams to peers.
        clock: The node's clock.
        rollouts: The known roll-outs.
        revisions: Tells the revisions of upstreams apart.
        on_changed: Callbacks for changes of the known roll-outs.
        load_statuses: Returns whether the stored states of roll-outs were read;
            starts to read them if not.
        stored_digest: Returns the digest of the roll-outs whose states are
            stored.
        queried_ms: When each peer was last queried, by address.
        tasks: Frames that are being sent.
    """

    table: MemberTable
    links: PeerLinks
    clock: Clock
    rollouts: Rollouts = attrs.field(factory=Rollouts)
    revisions: Revisions = attrs.field()
    on_changed: list[Callable[[], None]] = attrs.field(factory=list)
    load_statuses: Callable[[], bool] = lambda: True
    stored_digest: Callable[[], int] = lambda: 0
    queried_ms: dict[str, int] = attrs.field(factory=dict)
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    @revisions.default
    def _new_revisions(self) -> Revisions:
        return Revisions(self.rollouts)

    async def stop(self) -> None:
        """Cancels the frames that are being sent."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    # The source.

    def on_source_read(
        self, orders: Iterable[RolloutRecord], as_of_ms: int, complete: bool
    ) -> None:
        """Handles a read of the source.

        Args:
            orders: Orders of roll-outs that the read returned.
            as_of_ms: Time at which the read began.
            complete: Whether the source held nothing beyond the read.
        """
        wall_ms = self.clock.wall_ms()
        self._learn(
            (attrs.evolve(order, ordered_at_ms=wall_ms) for order in orders),
            "source",
        )
        if not complete:
            return
        # The status of a roll-out outlives its order.
        is_relevant = self.rollouts.records or self.revisions.has_unexplained
        if is_relevant and not self.load_statuses():
            return
        self.revisions.confirm(as_of_ms)

    def add_statuses(self, records: Iterable[RolloutRecord]) -> None:
        """Adds the stored states of roll-outs."""
        self._learn(records, "status")

    def is_condemned(self, upstream: str, revision: str) -> bool:
        """Returns whether a revision must not get requests."""
        if not self.rollouts.records:
            return False
        status = self.rollouts.status(upstream, revision)
        return status is RevisionStatus.CONDEMNED

    def _learn(self, records: Iterable[RolloutRecord], origin: str) -> None:
        """Adds records; passes what the source or a decision adds to all."""
        new = [record for record in records if self._add(record)]
        for record in new:
            _logger.info(
                "rollout.learned",
                extra={
                    "upstream": record.upstream,
                    "revision": record.revision,
                    "position": record.position,
                    "state": record.state,
                    "reason": record.reason,
                    "origin": origin,
                },
            )
        if not new:
            return
        if origin != "peer":
            self.broadcast()
        for callback in self.on_changed:
            callback()

    def _add(self, record: RolloutRecord) -> bool:
        known = self.rollouts.records.get(RolloutKey.of(record))
        is_new = self.rollouts.add(record)
        if (
            known is not None
            and known.state == RolloutState.RUNNING.value
            and record.state in _GOOD_STATES
        ):
            # A node that learns of an earlier completion later may have seen
            # revisions that came after it.
            self.revisions.supersede(record.upstream, record.revision)
        return is_new

    def decide(self, record: RolloutRecord) -> None:
        """Adds a state of a roll-out that this node has decided."""
        self._learn([record], "decision")

    # Peers.

    def broadcast(self) -> None:
        """Sends the known roll-outs to every member."""
        frame = self._frame()
        for entry in self.table.present():
            self.post(entry.peer_address, frame)

    def _frame(self, address: str = "") -> RolloutSync:
        return RolloutSync(
            rollouts=tuple(map(encode, self.rollouts.records.values())),
            age_ms=self.age_ms,
            address=address,
            stored_digest=self.stored_digest(),
        )

    @property
    def age_ms(self) -> int:
        """Age of the knowledge of the source, plus 1 ms; 0 if there is none."""
        known_as_of_ms = self.revisions.known_as_of_ms
        if math.isinf(known_as_of_ms):
            return 0
        return 1 + max(0, int(self.clock.now_ms() - known_as_of_ms))

    def matches(self, digest: VersionDigest) -> bool:
        """Returns whether a peer knows the same roll-outs."""
        return digest.rollouts_digest == self.rollouts.digest

    def on_digest(self, digest: VersionDigest) -> None:
        """Handles what a peer's digest says of the roll-outs."""
        if self.matches(digest):
            self._confirm(digest.rollouts_age_ms)
        else:
            self._query(digest.address)

    def _confirm(self, age_ms: int) -> None:
        if age_ms:
            self.revisions.confirm(self.clock.now_ms() - (age_ms - 1))

    def _query(self, address: str) -> None:
        now_ms = self.clock.now_ms()
        if now_ms - self.queried_ms.get(address, -math.inf) < (
            _QUERY_INTERVAL_MS
        ):
            return
        self.queried_ms = {
            key: sent_ms
            for key, sent_ms in self.queried_ms.items()
            if now_ms - sent_ms < _QUERY_INTERVAL_MS
        }
        self.queried_ms[address] = now_ms
        self.post(address, self._frame(self.table.own.peer_address))

    def receive(self, frame: WireMessage) -> None:
        """Adds a peer's roll-outs, and replies to a query."""
        assert isinstance(frame, RolloutSync)
        self._learn(decode_rollouts(frame.rollouts), "peer")
        self._confirm(frame.age_ms)
        if frame.address:
            self.post(frame.address, self._frame())

    def post(self, address: str, frame: WireMessage) -> None:
        """Starts to send a frame to one address and returns at once."""
        if not address:
            return
        task = asyncio.create_task(self._send(address, frame))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send(self, address: str, frame: WireMessage) -> None:
        try:
            await self.links.to(address).send(frame)
        except RequestError as error:
            _logger.debug(
                "rollout.not_sent",
                extra={"peer": address, "error": error.kind.value},
            )


def decode_rollouts(records: Iterable[bytes]) -> list[RolloutRecord]:
    """Decodes roll-outs; skips records that this program cannot decode."""
    rollouts = []
    for data in records:
        try:
            record = decode(data, KINDS)
        except SchemaError as error:
            _logger.warning("rollout.unreadable", extra={"error": str(error)})
            continue
        if isinstance(record, RolloutRecord):
            rollouts.append(record)
    return rollouts
