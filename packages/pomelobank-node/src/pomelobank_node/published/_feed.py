"""Brings published configurations to this node and on to its peers."""

import asyncio
import functools
import logging
import math
import random
from collections.abc import Iterable

import attrs

from pomelobank_core import Clock, MemberTable, ReadingOrder, ReadingRole
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
from pomelobank_schema import WireMessage
from pomelobank_schema.generated.peer import (
    DocumentPush,
    MemberEntry,
    RecordsPull,
    VersionDigest,
)

_logger = logging.getLogger(__name__)

# Longest wait of one read. A source that went silent for this node is noticed
# after this and the time-out of a call, within the three seconds that a node
# has to be in step again after a disturbance.
LONG_POLL_MS = 2000
# Shortest pause between two heartbeats of a reader or relay.
HEARTBEAT_MS = 1000
# Shortest time between two reads that brought news. In a quick succession of
# changes each read would cost a call, and only the last one counts.
SETTLE_MS = 200
# A node that has heard of no read of the source for so long reads itself: two
# heartbeats that did not arrive.
MAX_READ_AGE_MS = 2500
# The further down a node is in the order of readers, the longer it waits, up to
# four steps. Else all neighbours of a reader that went silent fetch a document
# of 350 KB at once, and on lines of 2.5 Mbit/s each of them keeps its callers
# waiting for a second.
RANK_DELAY_MS = 250
_MOST_SILENCE_STEPS = 4
# At its start a node on a slow line leaves the first read to others: a document
# of 470 KB takes a second and a half on a line of 2.5 Mbit/s, from a neighbour
# it comes packed in a tenth of that. The pause is this time on a line of
# 1 Mbit/s, and shorter on faster ones.
FIRST_PAUSE_MS = 8000
_MOST_FIRST_PAUSE_MS = 800
# How long a node whose read failed leaves reading to a neighbour that can read.
# Else each neighbour that the source turns away would go on asking it.
REST_MS = 10_000
# Pause between two words of a resting node that it does not read. Neighbours
# pass it over for two and a half times as long.
REST_TOLD_MS = 1000
# Pause before a peer that knows a newer version is asked for it; mostly the
# document is on its way already.
PULL_DELAY_MS = 120
# Pause before a peer of another data centre is asked, for each neighbour that
# comes before this node: one node brings the document into a data centre and
# the others have it from there. Of two seconds in which operators expect a
# change to be in force, the last one stays for that.
# When every node that heard of a version from afar asked there, 15 versions of
# 350 KB took 28 MB between five data centres of 63 nodes.
REMOTE_PULL_DELAY_MS = 250
_MOST_FAR_PAUSES = 4
_FIRST_RETRY_MS = 50
_MAX_RETRY_MS = 1000
_MS_PER_S = 1000


@attrs.define(eq=False)
class PublishedFeed:
    """Keeps the store up to date, with few reads of the source.

    Made for a source whose calls are dear and may fail for some nodes only.
    With every node reading by itself, each change costs a call per node; with
    one reader in all, its loss stops all news. So a few nodes read and tell one
    relay in each data centre, which tells its neighbours; whoever knows less
    asks whoever knows more. A reader that the source turns away says so at
    once, and the next one takes over: the source may refuse just the nodes that
    read it, and nobody else would notice in time.

    Attributes:
        source: Where configurations are published.
        store: What is kept up to date.
        members: The members that the node knows.
        links: Streams to peers.
        clock: Tells the time.
        rng: Source of randomness.
        position: Place in the source up to which everything is known.
        last_read_ms: When the source was last read, as far as this node knows.
        heard_ms: When another node read the source last.
        reading: Whether a read is under way.
        source_up: Whether the last own read was answered.
        told_ms: When the last heartbeat was sent.
        backoff_until_ms: Until when reading is left to a node that can.
        turn: Set when this node has to read.
        reads: Reads of the source, for the metrics.
        pulls_sent: Documents asked for, for the metrics.
        pushes_sent: Documents sent, for the metrics.
        asked_version: Newest version that was asked for.
        behind_since_ms: When a newer version was noticed or last asked for;
            None while there is none.
        far_news: Newest version that a node of another data centre told of,
            and that node's address.
        order: Decides who reads.
    """

    source: PublishedSource
    store: PublishedStore
    members: MemberTable
    links: PeerLinks
    clock: Clock
    rng: random.Random = attrs.field(factory=random.Random)
    position: int | None = None
    last_read_ms: int = 0
    heard_ms: float = -math.inf
    reading: bool = False
    source_up: bool = True
    told_ms: int = 0
    backoff_until_ms: int = 0
    turn: asyncio.Event = attrs.field(factory=asyncio.Event)
    reads: int = 0
    pulls_sent: int = 0
    pushes_sent: int = 0
    asked_version: int = 0
    behind_since_ms: int | None = None
    far_news: tuple[int, str] = (0, "")
    look_timer: asyncio.TimerHandle | None = None
    task: asyncio.Task[None] | None = None
    order: ReadingOrder = attrs.field(init=False)
    publisher: PeerPublisher = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.order = ReadingOrder(self.members)
        self.publisher = PeerPublisher(
            self.store, self.members, self.links, self.rng
        )

    async def start(self) -> None:
        """Starts reading the source."""
        self.last_read_ms = self.clock.now_ms()
        self.source.on_progress = self._note_progress
        self.task = asyncio.create_task(self._read(), name="published-reader")

    async def stop(self) -> None:
        """Ends what is under way."""
        if self.look_timer is not None:
            self.look_timer.cancel()
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        await self.publisher.stop()

    def tick(self, now_ms: int) -> None:
        """Does what is due; called once or twice a second."""
        role = self.order.role(now_ms)
        is_informed = role is not ReadingRole.FOLLOWER
        if is_informed and now_ms - self.told_ms >= HEARTBEAT_MS:
            self._tell(role, self._read_age_ms())
        if self._has_to_read():
            self.turn.set()
        self._check_for_newer()

    # Reading the source.

    async def _read(self) -> None:
        await self._let_faster_ones_read()
        retry_ms = _FIRST_RETRY_MS
        while True:
            if not self._has_to_read():
                await self._wait_for_turn()
                continue
            if self._may_back_off():
                self._tell_unread()
                await asyncio.sleep(REST_TOLD_MS / _MS_PER_S)
                continue
            try:
                news = await self._read_once()
            except SourceError as error:
                self._note_source(up=False, reason=error.message)
                self.backoff_until_ms = self.clock.now_ms() + REST_MS
                self._tell_unread()
                # Full jitter: nodes that lost the source together would
                # otherwise come back to it in the same instant.
                pause_ms = self.rng.uniform(retry_ms / 2, retry_ms)
                retry_ms = min(2 * retry_ms, _MAX_RETRY_MS)
                await asyncio.sleep(pause_ms / _MS_PER_S)
                continue
            retry_ms = _FIRST_RETRY_MS
            self._note_source(up=True)
            if news:
                await asyncio.sleep(SETTLE_MS / _MS_PER_S)

    async def _let_faster_ones_read(self) -> None:
        line_mbps = max(1, self.members.own.line_mbps)
        pause_ms = min(_MOST_FIRST_PAUSE_MS, FIRST_PAUSE_MS / line_mbps)
        try:
            async with asyncio.timeout(pause_ms / _MS_PER_S):
                while not self.store.ready:
                    await self.store.changed.wait()
        except TimeoutError:
            return

    async def _wait_for_turn(self) -> None:
        self.turn.clear()
        silent_ms = self.clock.now_ms() - self.last_read_ms
        left_ms = max(1, self._silence_ms() - silent_ms)
        try:
            async with asyncio.timeout(left_ms / _MS_PER_S):
                await self.turn.wait()
        except TimeoutError:
            return

    def _has_to_read(self) -> bool:
        if self.is_reader():
            return True
        silent_ms = self.clock.now_ms() - self.last_read_ms
        return silent_ms >= self._silence_ms()

    def _silence_ms(self) -> int:
        ahead = self.order.neighbours_ahead(self.clock.now_ms())
        steps = min(max(0, ahead - 1), _MOST_SILENCE_STEPS)
        return MAX_READ_AGE_MS + steps * RANK_DELAY_MS

    def _note_progress(self) -> None:
        # Without a heartbeat, neighbours would take a long answer for silence.
        now_ms = self.clock.now_ms()
        self.last_read_ms = now_ms
        if now_ms - self.told_ms >= HEARTBEAT_MS:
            self._tell(ReadingRole.READER, 0)

    def _may_back_off(self) -> bool:
        now_ms = self.clock.now_ms()
        if not self.store.ready or now_ms >= self.backoff_until_ms:
            return False
        return now_ms - self.heard_ms <= MAX_READ_AGE_MS

    def is_reader(self) -> bool:
        """Tells whether this node reads the source for the others."""
        return self.order.role(self.clock.now_ms()) is ReadingRole.READER

    async def _read_once(self) -> bool:
        self.reads += 1
        self.reading = True
        try:
            document = await self._next_document()
        finally:
            self.reading = False
        self.last_read_ms = self.clock.now_ms()
        if document is None:
            # Nothing was published yet, or nothing new.
            self.position = self.position or 0
            return False
        self.position = document.position
        before = self.store.version
        if not document.data or not self.store.offer(document.data, "source"):
            return False
        relays = self.order.remote_relays(self.clock.now_ms())
        self.publisher.publish_version(self._read_age_ms(), before, relays)
        return True

    async def _next_document(self) -> Document | None:
        if self.position is None:
            return await self.source.newest()
        return await self.source.newest_after(self.position, LONG_POLL_MS)

    def _note_source(self, up: bool, reason: str = "") -> None:
        if not up:
            # What was published meanwhile may have left the history.
            self.position = None
        if up == self.source_up:
            return
        self.source_up = up
        _logger.warning(
            "source.regained" if up else "source.lost",
            extra={"reason": reason, "version": self.store.version},
        )

    def _read_age_ms(self) -> int:
        # A read that is under way ends in time, or says that it has failed.
        return 0 if self.reading else self.clock.now_ms() - self.last_read_ms

    def _tell(self, role: ReadingRole, read_age_ms: int) -> None:
        now_ms = self.told_ms = self.clock.now_ms()
        to = self.publisher.local_members()
        if role is ReadingRole.READER:
            to += self.order.remote_relays(now_ms)
        self.publisher.send(
            to, self.publisher.digest(read_age_ms, heartbeat=True)
        )

    def _tell_unread(self) -> None:
        self._tell(ReadingRole.READER, NO_READ_AGE_MS)

    # Hearing from peers.

    def receive(self, frame: WireMessage) -> None:
        """Takes a frame about the configuration."""
        handle_frame(frame, self)

    def handle_document(self, frame: DocumentPush) -> None:
        """Takes a document that a peer sent."""
        if frame.version <= self.store.version and self.store.ready:
            return
        base = b""
        if frame.base_version:
            base = self.store.document(frame.base_version)
            if not base:
                self._ask(frame.address, frame.version)
                return
        try:
            data = unpack(frame.data, base)
        except PackingError as error:
            _logger.warning(
                "config.unreadable",
                extra={"origin": frame.address, "error": str(error)},
            )
            return
        if self.store.offer(data, frame.address):
            digest = self.publisher.digest(self._read_age_ms(), heartbeat=False)
            self.publisher.send(self.publisher.local_members(), digest)

    def handle_digest(self, frame: VersionDigest) -> None:
        """Takes a peer's version."""
        if frame.heartbeat:
            self._take_heartbeat(frame)
        if frame.version <= self.store.version:
            return
        if self._is_far(frame.address):
            self.far_news = max(self.far_news, (frame.version, frame.address))
            self._check_for_newer()
        else:
            self._ask(frame.address, frame.version)

    def _take_heartbeat(self, frame: VersionDigest) -> None:
        now_ms = self.clock.now_ms()
        if frame.log_age_ms == NO_READ_AGE_MS:
            self.order.note_unable(frame.address, now_ms)
            self.turn.set()
            return
        self.order.note_able(frame.address)
        self.heard_ms = max(self.heard_ms, now_ms - frame.log_age_ms)
        self.last_read_ms = max(self.last_read_ms, now_ms - frame.log_age_ms)
        is_due = now_ms - self.told_ms >= HEARTBEAT_MS
        if is_due and self.order.role(now_ms) is ReadingRole.RELAY:
            self._tell(ReadingRole.RELAY, self._read_age_ms())

    def _is_far(self, address: str) -> bool:
        return any(
            entry.peer_address == address
            for entry in self.publisher.remote_members()
        )

    def handle_pull(self, frame: RecordsPull) -> None:
        """Sends the document to a peer that lacks it."""
        if frame.from_offset < self.store.version:
            self.pushes_sent += 1
            document = self.publisher.document_push(frame.from_offset)
            self.publisher.post(frame.address, document)

    def _ask(self, address: str, version: int) -> None:
        if version <= self.asked_version:
            return
        self.asked_version = version
        self.pulls_sent += 1
        self.publisher.post(
            address,
            RecordsPull(
                from_offset=self.store.version,
                address=self.members.own.peer_address,
            ),
        )

    def _check_for_newer(self) -> None:
        # Gossip tells every member's version. A digest or an answer that was
        # lost would else leave this node behind until the next change.
        version = self.store.version
        newer = [
            e for e in self.publisher.healthy_members() if e.version > version
        ]
        if not newer and self.far_news[0] <= version:
            self.behind_since_ms = None
            return
        near = _newest(e for e in newer if self.publisher.is_local(e))
        far = _newest(e for e in newer if not self.publisher.is_local(e))
        is_near = near[0] > version
        now_ms = self.clock.now_ms()
        if self.behind_since_ms is None:
            self.behind_since_ms = now_ms
        pause_ms = PULL_DELAY_MS if is_near else self._far_pause_ms()
        left_ms = self.behind_since_ms + pause_ms - now_ms
        if left_ms > 0:
            self._look_again(left_ms)
        else:
            self._ask_again(near if is_near else max(far, self.far_news))

    def _look_again(self, after_ms: int) -> None:
        if self.look_timer is not None:
            self.look_timer.cancel()
        self.look_timer = asyncio.get_running_loop().call_later(
            after_ms / _MS_PER_S, self._check_for_newer
        )

    def _far_pause_ms(self) -> int:
        now_ms = self.clock.now_ms()
        # A node that reads will have it from the source any moment.
        pauses = self.order.neighbours_ahead(
            now_ms
        ) + self.order.has_local_reader(now_ms)
        return REMOTE_PULL_DELAY_MS * min(pauses, _MOST_FAR_PAUSES)

    def _ask_again(self, newest: tuple[int, str]) -> None:
        version, address = newest
        self.behind_since_ms = self.clock.now_ms()
        self.far_news = (0, "")
        self.asked_version = 0
        self._ask(address, version)


def _newest(entries: Iterable[MemberEntry]) -> tuple[int, str]:
    """Returns the newest version among members, and where it is."""
    found = ((entry.version, entry.peer_address) for entry in entries)
    return max(found, default=(0, ""))


@functools.singledispatch
def handle_frame(frame: WireMessage, feed: PublishedFeed) -> None:
    """Hands a frame to the feed; others are ignored."""


@handle_frame.register
def _(frame: DocumentPush, feed: PublishedFeed) -> None:
    feed.handle_document(frame)


@handle_frame.register
def _(frame: VersionDigest, feed: PublishedFeed) -> None:
    feed.handle_digest(frame)


@handle_frame.register
def _(frame: RecordsPull, feed: PublishedFeed) -> None:
    feed.handle_pull(frame)
