"""Reads published configurations and distributes them among peers."""

import asyncio
import functools
import logging
import math
import random
from collections.abc import Callable

import attrs

from pomelobank_core import Clock, MemberTable, ReadingOrder, ReadingRole
from pomelobank_node._log_era import LogEra
from pomelobank_node._long_lived import start_long_lived
from pomelobank_node._peer_links import PeerLinks
from pomelobank_node.published._packing import PackingError, unpack
from pomelobank_node.published._peer_publisher import (
    NO_READ_AGE_MS,
    PeerPublisher,
)
from pomelobank_node.published._source import (
    Document,
    PublishedSource,
    SourceError,
)
from pomelobank_node.published._store import PublishedStore
from pomelobank_node.rollouts import RolloutRegistry
from pomelobank_schema import WireMessage
from pomelobank_schema.generated.peer import (
    DocumentPush,
    RecordsPull,
    VersionDigest,
)
from pomelobank_schema.generated.records import RolloutRecord

_logger = logging.getLogger(__name__)

# Maximum wait of one long poll. A read shows the source's state only when it
# ends, so the newest known read is usually up to this old. Operators expect a
# change in force within 2 s, also if every reader stops just before the change.
LONG_POLL_MS = 700
# Minimum interval between two heartbeats of a relay or of a reader whose reads
# do not end.
HEARTBEAT_MS = 1000
# Minimum interval between two heartbeats that a relay forwards. It is shorter
# than a long poll, so that each read of a single reader is reported.
FORWARD_INTERVAL_MS = 500
# Pause after a read that brought a new version. Without the pause, each of
# several changes in quick succession could cost a call, although only the last
# change counts.
PAUSE_AFTER_UPDATE_MS = 200
# Shortest time between the begins of two reads that bring no record. It delays
# a change that follows such a read by a twentieth of the time that operators
# allow.
MIN_READ_INTERVAL_MS = 100
# Age of the newest known read of the source at which a node reads the source
# itself. It exceeds a long poll by half a second, in which a busy reader's
# heartbeat arrives; of the 2 s for a change, 0.8 s remain for the read and the
# distribution.
MAX_READ_AGE_MS = 1200
# Extra wait before a node reads the source itself, for each node ahead of it in
# the reading order but the first, up to `_MAX_RANK_DELAYS` times. Without this
# wait all peers of a reader that stopped responding would fetch a document of
# 350 KB at once, and on network links of 2.5 Mbit/s each of them would keep its
# callers waiting for a second.
RANK_DELAY_MS = 150
_MAX_RANK_DELAYS = 4
# Delay of the first read of a node on a network link of 1 Mbit/s. The delay is
# inversely proportional to the link's rate and at most
# `_MAX_FIRST_READ_DELAY_MS`. A document of 470 KB takes 1.5 s to read from the
# source on a link of 2.5 Mbit/s; a peer of the same data centre sends the
# document compressed, in a tenth of that time. So nodes on slow links give
# their peers time to send the document first.
FIRST_READ_DELAY_AT_1_MBPS_MS = 8000
_MAX_FIRST_READ_DELAY_MS = 800
# Time for which a node whose read failed leaves reading to a peer that can
# read. Otherwise each node that the source rejects would go on calling it.
READ_BACKOFF_MS = 10_000
# Interval between the heartbeats in which a node that backs off reports that it
# cannot read. Peers skip the node in the reading order for 2.5 times as long
# after each report.
UNABLE_HEARTBEAT_MS = 1000
# Delay before a node that learns of a newer version by gossip pulls that
# version from a peer of its own data centre. Mostly the document is already on
# its way, so that no pull is needed.
PULL_DELAY_MS = 120
# Time after which a pull may be repeated, to any peer that announces the
# version. A compressed document of 350 KB takes a quarter of a second on a
# network link of 2.5 Mbit/s.
PULL_TIMEOUT_MS = 500
# Delay before a node pulls a version from another data centre, for each peer
# that comes before this node in the reading order, up to
# `_MAX_REMOTE_PULL_DELAYS`. One node fetches the document into the data centre,
# and the other nodes there get the document from that node. Operators expect a
# change in force within 2 s. The longest delay is one second, so the last
# second remains for the distribution within the data centre. When every node
# that heard of a remote version pulled the document from the other data centre,
# 15 versions of 350 KB took 28 MB of traffic between five data centres of 63
# nodes.
REMOTE_PULL_DELAY_MS = 250
_MAX_REMOTE_PULL_DELAYS = 4
# Age of the newest known read at which a node queries peers for a newer one.
# Heartbeats arrive more often, unless the peers suspect the node or do not know
# it yet. On a network link of 5 Mbit/s, a document takes up to a second from
# the source, during which probes time out and more peers suspect the node; a
# peer replies with a delta or with the age of its newest read.
QUERY_AGE_MS = 1000
_QUERIED_PEERS = 2
_FIRST_RETRY_MS = 50
_MAX_RETRY_MS = 1000
_MS_PER_S = 1000


@attrs.define(eq=False)
class PublishedFeed:
    """Keeps the store up to date, with few reads of the source.

    Calls to the source are expensive, and the source may fail for some nodes
    only. If every node read the source, each change would cost one call per
    node; if a single node read it, no change would arrive after that node's
    loss. So a few nodes are readers and notify one relay in each data centre,
    and the relay notifies the peers there. A node with an older version pulls
    from a node with a newer version. A reader that the source rejects reports
    the failure at once, and the next node in the reading order takes over: the
    source may reject exactly the nodes that read it, and no other node would
    detect that in time.

    Attributes:
        source: Source of published configurations.
        store: The configuration store that the feed updates.
        members: The members known to this node.
        links: Streams to peers.
        clock: Monotonic clock.
        rng: Source of randomness.
        era: Era of the source, to which positions belong.
        rollouts: Gets the orders of roll-outs that the source holds; None if
            this node does not handle any.
        position: Position up to which the source was read; None if unknown.
        peer_position: Highest position that a peer has read up to, if this
            node has the version read there; 0 if unknown.
        last_read_ms: Time of the newest read of the source, by any node, that
            this node knows of; 0 if it knows of none. A read shows the source's
            state at the beginning of its response.
        started_ms: Time at which this node started. It then waits for others
            to read as if a read had ended, but reports none.
        last_peer_read_ms: Time of the newest read that a peer reported.
        read_started_ms: Time at which this node's last read began.
        response_began_ms: Time at which the response to this node's last read
            began; None if it has not begun or arrived at once.
        source_up: Whether this node's last read succeeded.
        last_heartbeat_ms: Time at which this node sent its last heartbeat.
        backoff_until_ms: Time until which this node leaves reading to a peer
            that can read.
        read_due: Set when this node has to read.
        took_over: Whether this node, which is no reader, has logged that it
            reads the source because no recent read is known.
        read_requested: Whether a read was requested that has not begun.
        contains_source: Whether the configuration in force contains the newest
            state of the source that this node has read.
        tolerated: Position and hash of the last unreadable document before
            which the configuration in force contained the source's state; None
            if there was none in this era.
        on_read: Callbacks that get the beginning, in ms, of each read whose
            state is contained in the configuration in force.
        reads: Reads of the source, for the metrics.
        queried_ms: Time at which this node last queried peers.
        queries_sent: Number of these queries, for the metrics.
        pulls_sent: Pulls sent to peers, for the metrics.
        pushes_sent: Documents sent in response to pulls, for the metrics.
        requested_version: Newest version that this node pulled.
        requested_ms: Time of this pull.
        announcers: Peers of the data centre that announced a newer version, by
            address.
        unanswered: Addresses from which this node pulled since it got its
            version; they come last for the next pull.
        behind_since_ms: Time at which this node noticed a newer version or last
            pulled one; None while no newer version is known.
        newest_remote: Newest version that a node of another data centre
            announced, and that node's address.
        check_timer: Timer of the next check for a newer version.
        order: Decides which nodes read the source.
        publisher: Sends documents and digests to peers.
    """

    source: PublishedSource
    store: PublishedStore
    members: MemberTable
    links: PeerLinks
    clock: Clock
    rng: random.Random = attrs.field(factory=random.Random)
    era: LogEra = attrs.field(factory=LogEra)
    rollouts: RolloutRegistry | None = None
    position: int | None = None
    peer_position: int = 0
    last_read_ms: int = 0
    started_ms: int = 0
    last_peer_read_ms: float = -math.inf
    read_started_ms: int = 0
    response_began_ms: int | None = None
    source_up: bool = True
    last_heartbeat_ms: int = 0
    backoff_until_ms: int = 0
    read_due: asyncio.Event = attrs.field(factory=asyncio.Event)
    took_over: bool = False
    read_requested: bool = False
    contains_source: bool = True
    tolerated: tuple[int, int] | None = None
    on_read: list[Callable[[int], None]] = attrs.field(factory=list)
    reads: int = 0
    queried_ms: int = 0
    queries_sent: int = 0
    pulls_sent: int = 0
    pushes_sent: int = 0
    requested_version: int = 0
    requested_ms: int = 0
    announcers: dict[str, int] = attrs.field(factory=dict)
    unanswered: set[str] = attrs.field(factory=set)
    behind_since_ms: int | None = None
    newest_remote: tuple[int, str] = (0, "")
    check_timer: asyncio.TimerHandle | None = None
    task: asyncio.Task[None] | None = None
    order: ReadingOrder = attrs.field(init=False)
    publisher: PeerPublisher = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.era.on_change.append(self._on_new_era)
        self.order = ReadingOrder(self.members)
        self.publisher = PeerPublisher(
            self.store, self.members, self.links, self.clock, self.rng
        )
        self.publisher.rollouts = self.rollouts

    def _on_new_era(self) -> None:
        self.position = None
        self.peer_position = 0
        self.tolerated = None

    async def start(self) -> None:
        """Starts to read the source."""
        self.started_ms = self.clock.now_ms()
        self.source.on_progress = self._on_progress
        self.task = start_long_lived(self._read, "published-reader")

    async def stop(self) -> None:
        """Stops reading and sending."""
        if self.check_timer is not None:
            self.check_timer.cancel()
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        await self.publisher.stop()

    def tick(self, now_ms: int) -> None:
        """Sends due heartbeats and checks for newer versions.

        Called about twice a second.
        """
        self._forward_heartbeat(HEARTBEAT_MS)
        if self._must_read():
            self.read_due.set()
        self._query_peers_if_due()
        self._check_for_newer()

    # Reading the source.

    async def _read(self) -> None:
        await self._delay_first_read()
        retry_ms = _FIRST_RETRY_MS
        while True:
            if not self._must_read():
                self.took_over = False
                await self._wait_until_read_due()
                continue
            if self._may_back_off() and not self.read_requested:
                self._send_unable_heartbeat()
                await asyncio.sleep(self._backoff_pause_ms() / _MS_PER_S)
                continue
            position = self.position
            try:
                updated = await self._read_once()
            except SourceError as error:
                self._set_source_up(up=False, reason=error.message)
                self.backoff_until_ms = self.clock.now_ms() + READ_BACKOFF_MS
                self._send_unable_heartbeat()
                # Jitter spreads the retries of nodes that lost the source
                # together; otherwise all of them would read at the same time.
                pause_ms = self.rng.uniform(retry_ms / 2, retry_ms)
                retry_ms = min(2 * retry_ms, _MAX_RETRY_MS)
                await asyncio.sleep(pause_ms / _MS_PER_S)
                continue
            retry_ms = _FIRST_RETRY_MS
            self._set_source_up(up=True)
            if updated:
                # Meanwhile, the peers get the version from each other. A
                # heartbeat now would make all of them pull it from this node.
                await asyncio.sleep(PAUSE_AFTER_UPDATE_MS / _MS_PER_S)
            self._send_heartbeat(ReadingRole.READER, self._read_age_ms())
            if self.position == position:
                await self._pace_reads()

    async def _pace_reads(self) -> None:
        # The wait for new records is the source's part, which may respond at
        # once all the same.
        elapsed_ms = self.clock.now_ms() - self.read_started_ms
        if elapsed_ms < MIN_READ_INTERVAL_MS:
            pause_ms = MIN_READ_INTERVAL_MS - elapsed_ms
            await asyncio.sleep(pause_ms / _MS_PER_S)

    async def _delay_first_read(self) -> None:
        line_mbps = max(1, self.members.own.line_mbps)
        pause_ms = min(
            _MAX_FIRST_READ_DELAY_MS, FIRST_READ_DELAY_AT_1_MBPS_MS / line_mbps
        )
        try:
            async with asyncio.timeout(pause_ms / _MS_PER_S):
                while not self.store.ready:
                    await self.store.changed.wait()
        except TimeoutError:
            return

    async def _wait_until_read_due(self) -> None:
        self.read_due.clear()
        remaining_ms = max(1, self._max_read_age_ms() - self._waited_ms())
        try:
            async with asyncio.timeout(remaining_ms / _MS_PER_S):
                await self.read_due.wait()
        except TimeoutError:
            return

    def request_read(self) -> None:
        """Makes this node read the source soon, whatever peers have read."""
        self.read_requested = True
        self.read_due.set()

    def _must_read(self) -> bool:
        if self.read_requested or self.is_reader():
            return True
        return self._waited_ms() >= self._max_read_age_ms()

    def _max_read_age_ms(self) -> int:
        nodes_ahead = self.order.neighbours_ahead(self.clock.now_ms())
        delays = min(max(0, nodes_ahead - 1), _MAX_RANK_DELAYS)
        return MAX_READ_AGE_MS + delays * RANK_DELAY_MS

    def _on_progress(self) -> None:
        # A long response keeps this node from sending heartbeats after its
        # reads. Without this heartbeat peers would assume that the node has
        # failed. The response shows the source's state at its beginning.
        now_ms = self.clock.now_ms()
        if self.response_began_ms is None:
            self.response_began_ms = now_ms
        self.last_read_ms = max(self.last_read_ms, self.response_began_ms)
        if now_ms - self.last_heartbeat_ms >= FORWARD_INTERVAL_MS:
            self._send_heartbeat(ReadingRole.READER, self._read_age_ms())

    def _may_back_off(self) -> bool:
        now_ms = self.clock.now_ms()
        if not self.store.ready or now_ms >= self.backoff_until_ms:
            return False
        return now_ms - self.last_peer_read_ms <= MAX_READ_AGE_MS

    def _backoff_pause_ms(self) -> float:
        # Ends when the newest read of a peer becomes too old to rely on.
        peer_read_age_ms = self.clock.now_ms() - self.last_peer_read_ms
        remaining_ms = MAX_READ_AGE_MS + 1 - peer_read_age_ms
        return min(UNABLE_HEARTBEAT_MS, max(1, remaining_ms))

    def is_reader(self) -> bool:
        """Tells whether this node is one of the source's readers."""
        return self.order.role(self.clock.now_ms()) is ReadingRole.READER

    async def _read_once(self) -> bool:
        self._log_takeover()
        self.reads += 1
        self.read_requested = False
        start = self._known_position()
        self.read_started_ms = self.clock.now_ms()
        self.response_began_ms = None
        document = await self._next_document()
        now_ms = self.clock.now_ms()
        began_ms = self.response_began_ms
        read_ms = now_ms if began_ms is None else began_ms
        self.last_read_ms = max(self.last_read_ms, read_ms)
        if document is None:
            # The source has no document at all, or none after the position.
            self.position = self._known_position()
            self._report_read()
            self._report_orders(())
            return False
        self.position = document.position
        self._report_orders(document.orders, document.complete)
        previous_version = self.store.version
        self.store.propagation.on_read(now_ms)
        updated = bool(document.data) and self.store.offer(
            document.data, "source", now_ms
        )
        if document.data:
            self._note_contained(document, start)
        if document.complete:
            self._report_read()
        if not updated:
            return False
        relays = self.order.remote_relays(self.clock.now_ms())
        self.publisher.publish_version(
            self._read_age_ms(), previous_version, relays
        )
        return True

    def _note_contained(self, document: Document, start: int) -> None:
        """Notes whether the configuration in force contains a read document.

        The store does not apply a document with an earlier version: the source
        has lost its newest records, and the configuration in force stays until
        the operator writes again. An unreadable document comes into force
        nowhere, but it may have replaced a readable one that this node has not
        read.
        """
        version = self.store.offered_version
        if version is not None:
            self.contains_source = version < self.store.version or (
                document.data == self.store.data
            )
            return
        unreadable = (document.position, hash(document.data))
        if unreadable == self.tolerated:
            self.contains_source = True
            return
        is_next = bool(start) and document.position == start + 1
        self.contains_source = self.contains_source and is_next
        if self.contains_source:
            self.tolerated = unreadable

    def _report_orders(
        self, orders: tuple[RolloutRecord, ...], complete: bool = True
    ) -> None:
        if self.rollouts is not None:
            self.rollouts.on_source_read(orders, self.read_started_ms, complete)

    def _report_read(self) -> None:
        if not self.contains_source:
            return
        for callback in self.on_read:
            callback(self.read_started_ms)

    def _log_takeover(self) -> None:
        if self.took_over or self.is_reader():
            return
        self.took_over = True
        now_ms = self.clock.now_ms()
        _logger.info(
            "source.taken_over",
            extra={
                "read_age_ms": self._waited_ms(),
                "nodes_ahead": self.order.neighbours_ahead(now_ms),
                "version": self.store.version,
            },
        )

    async def _next_document(self) -> Document | None:
        position = self._known_position()
        if self.position is None and not position:
            return await self.source.newest()
        return await self.source.newest_after(position, self._poll_wait_ms())

    def _known_position(self) -> int:
        return max(self.position or 0, self.peer_position)

    def _poll_wait_ms(self) -> int:
        # While no recent read is known, changes may have been missed, and peers
        # wait for a read that ends.
        is_recent = self._waited_ms() < MAX_READ_AGE_MS
        return LONG_POLL_MS if is_recent and self.is_reader() else 0

    def _set_source_up(self, up: bool, reason: str = "") -> None:
        if not up:
            # The source's history may no longer hold documents that were
            # published during the failure, so the next read starts afresh.
            self.position = None
            self.peer_position = 0
        if up == self.source_up:
            return
        self.source_up = up
        _logger.warning(
            "source.regained" if up else "source.lost",
            extra={
                "reason": reason,
                "version": self.store.version,
                "read_ms": self.clock.now_ms() - self.read_started_ms,
            },
        )

    def _read_age_ms(self) -> int:
        # A read in progress does not count: the source may never respond to it,
        # and peers that trust it would not read meanwhile.
        return self.clock.now_ms() - self.last_read_ms

    def _waited_ms(self) -> int:
        """Returns how long this node has been without a newer read."""
        since_ms = max(self.last_read_ms, self.started_ms)
        return self.clock.now_ms() - since_ms

    def _send_heartbeat(self, role: ReadingRole, read_age_ms: int) -> None:
        now_ms = self.last_heartbeat_ms = self.clock.now_ms()
        recipients = self.publisher.local_members()
        if role is ReadingRole.READER:
            recipients += self.order.remote_relays(now_ms)
        digest = self.publisher.digest(
            read_age_ms,
            heartbeat=True,
            position=self._known_position() if self.contains_source else 0,
            era=self.era.number,
        )
        self.publisher.send(recipients, digest)

    def _forward_heartbeat(self, min_interval_ms: int) -> None:
        """Reports the newest known read to the neighbours if it is due."""
        now_ms = self.clock.now_ms()
        if now_ms - self.last_heartbeat_ms < min_interval_ms:
            return
        role = self.order.role(now_ms)
        # A reader that backs off reports that it cannot read; a heartbeat in
        # between would make its peers wait for it again.
        backs_off = role is ReadingRole.READER and self._may_back_off()
        if role is not ReadingRole.FOLLOWER and not backs_off:
            self._send_heartbeat(ReadingRole.RELAY, self._read_age_ms())

    def _send_unable_heartbeat(self) -> None:
        self._send_heartbeat(ReadingRole.READER, NO_READ_AGE_MS)

    # Frames from peers.

    def receive(self, frame: WireMessage) -> None:
        """Handles a peer's frame about the configuration."""
        handle_frame(frame, self)

    def handle_document(self, frame: DocumentPush) -> None:
        """Applies a document that a peer pushed."""
        if frame.version <= self.store.version and self.store.ready:
            return
        now_ms = self.clock.now_ms()
        self.store.propagation.on_received(
            frame.version, frame.version_age_ms, now_ms
        )
        base = b""
        if frame.base_version:
            base = self.store.document(frame.base_version)
            if not base:
                self._send_pull(frame.address, frame.version)
                return
        try:
            data = unpack(frame.data, base)
        except PackingError as error:
            _logger.warning(
                "config.unreadable",
                extra={"origin": frame.address, "error": str(error)},
            )
            return
        if self.store.offer(data, frame.address, now_ms):
            self.unanswered.clear()
            digest = self.publisher.digest(self._read_age_ms(), heartbeat=False)
            self.publisher.send(self.publisher.local_members(), digest)

    def handle_digest(self, frame: VersionDigest) -> None:
        """Handles a peer's version digest; pulls a newer version."""
        is_current_era = self.era.advance(frame.log_era)
        knows_orders = self.rollouts is None or self.rollouts.matches(frame)
        if self.rollouts is not None:
            self.rollouts.on_digest(frame)
        if frame.heartbeat:
            self._handle_heartbeat(frame)
        elif frame.version == self.store.version:
            self._note_peer_read(frame.log_age_ms)
        if frame.version <= self.store.version:
            # A read after the peer's position would miss the orders before it.
            if self.store.ready and is_current_era and knows_orders:
                self.peer_position = max(self.peer_position, frame.next_offset)
            return
        self.fetch_version(frame.version, frame.address, frame.version_age_ms)

    def fetch_version(self, version: int, address: str, age_ms: int) -> None:
        """Fetches a version that a peer has announced.

        Args:
            version: The version, newer than the one in force.
            address: Address of the peer.
            age_ms: Least time in ms since a node first read the version.
        """
        now_ms = self.clock.now_ms()
        self.store.propagation.on_announced(version, age_ms, now_ms)
        if self._is_remote(address):
            self.newest_remote = max(self.newest_remote, (version, address))
            self._check_for_newer()
        else:
            self.announcers[address] = version
            if self.behind_since_ms is None:
                self.behind_since_ms = now_ms
            self._send_pull(address, version)

    def _handle_heartbeat(self, frame: VersionDigest) -> None:
        now_ms = self.clock.now_ms()
        if frame.log_age_ms == NO_READ_AGE_MS:
            self.order.note_unable(frame.address, now_ms)
            self.read_due.set()
            return
        self.order.note_able(frame.address)
        self._note_peer_read(frame.log_age_ms)
        self._forward_heartbeat(FORWARD_INTERVAL_MS)

    def _note_peer_read(self, age_ms: int) -> None:
        read_ms = self.clock.now_ms() - age_ms
        self.last_peer_read_ms = max(self.last_peer_read_ms, read_ms)
        self.last_read_ms = max(self.last_read_ms, read_ms)

    def _is_remote(self, address: str) -> bool:
        return any(
            entry.peer_address == address
            for entry in self.publisher.remote_members()
        )

    def handle_pull(self, frame: RecordsPull) -> None:
        """Sends the document, or the newest read's age if there is no newer."""
        if frame.from_offset < self.store.version:
            self.pushes_sent += 1
            document = self.publisher.document_push(frame.from_offset)
            self.publisher.post(frame.address, document)
        elif frame.from_offset == self.store.version:
            digest = self.publisher.digest(self._read_age_ms(), heartbeat=False)
            self.publisher.post(frame.address, digest)

    def _query_peers_if_due(self) -> None:
        now_ms = self.clock.now_ms()
        waited_ms = self._waited_ms()
        if waited_ms < QUERY_AGE_MS:
            return
        # During an outage of the source no peer knows of a newer read, so the
        # node queries them less and less often.
        if now_ms - self.queried_ms < waited_ms / 2:
            return
        self.queried_ms = now_ms
        self.queries_sent += 1
        peers = self.publisher.healthy_local_members()
        peers = peers or self.publisher.healthy_members()
        queried = self.rng.sample(peers, min(_QUERIED_PEERS, len(peers)))
        self.publisher.send(queried, self._pull_frame())

    def _pull_frame(self) -> RecordsPull:
        return RecordsPull(
            from_offset=self.store.version,
            address=self.members.own.peer_address,
        )

    def _send_pull(self, address: str, version: int) -> None:
        now_ms = self.clock.now_ms()
        is_pending = now_ms - self.requested_ms < PULL_TIMEOUT_MS
        if version <= self.requested_version and is_pending:
            return
        self.requested_version = version
        self.requested_ms = now_ms
        self.unanswered.add(address)
        self._schedule_check(PULL_TIMEOUT_MS)
        self.pulls_sent += 1
        self._log_repeated_pull(address, version)
        self.store.propagation.on_pull(now_ms)
        self.publisher.post(address, self._pull_frame())

    def _log_repeated_pull(self, address: str, version: int) -> None:
        if not self.store.propagation.pulls:
            return
        _logger.info(
            "config.pull_repeated",
            extra={
                "peer": address,
                "version": version,
                "before": self.store.version,
                **self.store.propagation.durations(self.clock.now_ms()),
            },
        )

    def _check_for_newer(self) -> None:
        # Gossip carries every member's version. This check finds a newer
        # version also when its digest or document was lost; otherwise this
        # node would stay behind until the next change.
        local, remote = self._newer_peers()
        now_ms = self.clock.now_ms()
        if not local and not remote:
            self.behind_since_ms = None
            self.unanswered.clear()
            return
        if self.behind_since_ms is None:
            self.behind_since_ms = now_ms
        pause_ms = PULL_DELAY_MS if local else self._remote_pull_delay_ms()
        due_ms = self.behind_since_ms + pause_ms
        if self.unanswered:
            due_ms = max(due_ms, self.requested_ms + PULL_TIMEOUT_MS)
        if due_ms > now_ms:
            self._schedule_check(due_ms - now_ms)
        else:
            self._pull_newest(local or remote)

    def _newer_peers(self) -> tuple[dict[str, int], dict[str, int]]:
        """Returns the versions of peers that have a newer one, by address.

        Returns:
            The peers of this data centre and those of the others.
        """
        version = self.store.version
        local = {a: v for a, v in self.announcers.items() if v > version}
        self.announcers = dict(local)
        remote: dict[str, int] = {}
        for entry in self.publisher.healthy_members():
            if entry.version > version:
                peers = local if self.publisher.is_local(entry) else remote
                peers[entry.peer_address] = entry.version
        newest_remote, address = self.newest_remote
        if newest_remote > version:
            remote[address] = newest_remote
        return local, remote

    def _schedule_check(self, delay_ms: int) -> None:
        if self.check_timer is not None:
            self.check_timer.cancel()
        self.check_timer = asyncio.get_running_loop().call_later(
            delay_ms / _MS_PER_S, self._check_for_newer
        )

    def _remote_pull_delay_ms(self) -> int:
        now_ms = self.clock.now_ms()
        # The node waits one delay for each able neighbour that precedes it. If
        # this data centre has a reader, the node waits one further delay,
        # because that reader is about to get the version from the source.
        delays = self.order.neighbours_ahead(
            now_ms
        ) + self.order.has_local_reader(now_ms)
        return REMOTE_PULL_DELAY_MS * min(delays, _MAX_REMOTE_PULL_DELAYS)

    def _pull_newest(self, peers: dict[str, int]) -> None:
        # A peer that has not responded may have stopped, long before the other
        # members suspect it.
        choices = peers.keys() - self.unanswered or peers.keys()
        newest = max(peers[address] for address in choices)
        address = self.rng.choice(
            sorted(item for item in choices if peers[item] == newest)
        )
        self.behind_since_ms = self.clock.now_ms()
        self.newest_remote = (0, "")
        self.requested_version = 0
        self._send_pull(address, newest)


@functools.singledispatch
def handle_frame(frame: WireMessage, feed: PublishedFeed) -> None:
    """Dispatches a frame to the feed by type; ignores other types."""


@handle_frame.register
def _(frame: DocumentPush, feed: PublishedFeed) -> None:
    feed.handle_document(frame)


@handle_frame.register
def _(frame: VersionDigest, feed: PublishedFeed) -> None:
    feed.handle_digest(frame)


@handle_frame.register
def _(frame: RecordsPull, feed: PublishedFeed) -> None:
    feed.handle_pull(frame)
