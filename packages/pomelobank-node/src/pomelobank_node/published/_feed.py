"""Brings published configurations to this node and on to its peers."""

import asyncio
import functools
import logging
import math
import random
from collections.abc import Iterable

import attrs
import xxhash

from pomelobank_core import Clock, MemberTable
from pomelobank_node._peer_links import PeerLinks
from pomelobank_node.published._packing import PackingError, unpack
from pomelobank_node.published._source import PublishedSource, SourceError
from pomelobank_node.published._store import PublishedStore
from pomelobank_node.published._telling import UNREAD, Telling
from pomelobank_schema import WireMessage
from pomelobank_schema.generated.peer import (
    DocumentPush,
    MemberEntry,
    RecordsPull,
    VersionDigest,
)

_logger = logging.getLogger(__name__)

# Nodes of a data centre that read the source. One is enough, because the
# others notice its silence and read themselves.
READERS = 1
# Longest wait of one read. A source that went silent for this node is noticed
# after this and the time-out of a call; both together leave time to hand over
# within the two seconds in which operators expect a change to be in force.
LONG_POLL_MS = 1000
# Shortest time between two reads that brought news. In a quick succession of
# changes each read would cost a call, and only the last one counts.
SETTLE_MS = 200
# A node that has heard of no read of the source for so long reads itself: two
# long polls whose news did not arrive.
SILENCE_MS = 2500
# The further down a node is in the order of readers, the longer it waits, up to
# four steps. Else all neighbours of a reader that went silent fetch a document
# of 350 KB at once, and on lines of 2.5 Mbit/s each of them keeps its callers
# waiting for a second.
SILENCE_STEP_MS = 250
_MOST_SILENCE_STEPS = 4
# Pause between two words of a reader whose answer is still on its way.
PROGRESS_TOLD_MS = 500
# At its start a node on a slow line leaves the first read to others: a document
# of 470 KB takes a second and a half on a line of 2.5 Mbit/s, from a neighbour
# it comes packed in a tenth of that. The pause is this time on a line of
# 1 Mbit/s, and shorter on faster ones.
FIRST_PAUSE_MS = 2000
_MOST_FIRST_PAUSE_MS = 800
# How long a neighbour that cannot read the source is passed over. It tells so
# with every try, at least once a second.
UNABLE_MS = 2500
# How long a node whose read failed leaves reading to a neighbour that can read.
# Else each neighbour that the source turns away would go on asking it.
REST_MS = 10_000
# Pause between two words of a resting node that it does not read. Neighbours
# pass it over for two and a half times as long.
REST_TOLD_MS = 1000
# Pause before a peer that knows a newer version is asked for it; mostly the
# document is on its way already.
ASK_AFTER_MS = 120
# Pause before a peer of another data centre is asked, so that one node brings
# the document into a data centre and the others have it from there. It grows by
# as much with each neighbour that comes before this node. Of two seconds in
# which operators expect a change to be in force, the last one stays for that.
# When every node that heard of a version from afar asked there, 15 versions of
# 350 KB took 28 MB between five data centres of 63 nodes.
ASK_FAR_AFTER_MS = 250
_MOST_FAR_PAUSES = 4
_TICK_S = 0.1
_FIRST_RETRY_MS = 50
_MAX_RETRY_MS = 1000
_MS_PER_S = 1000


@attrs.define(eq=False)
class PublishedFeed:
    """Keeps the store up to date, with few reads of the source.

    Made for a source whose calls are dear and may fail for some nodes only.
    With every node reading by itself, each change costs a call per node; with
    one reader in all, its loss stops all news. So one node of each data centre
    reads and hands the document to the others there, digests tell the rest,
    and whoever knows less asks whoever knows more. A reader that the source
    turns away says so at once, and the next one takes over: the source may
    refuse just the nodes that read it, and nobody else would notice in time.

    Attributes:
        source: Where configurations are published.
        store: What is kept up to date.
        members: The members that the node knows.
        links: Streams to peers.
        clock: Tells the time.
        seeded: Source of randomness.
        position: Place in the source up to which everything is known.
        read_ms: When the source was last read, here or by the reader.
        neighbour_read_ms: When a neighbour read the source last.
        source_up: Whether the last own read was answered.
        unable: Until when neighbours are passed over as readers, by address.
        progress_told_ms: When neighbours were last told of an answer that is
            still on its way.
        rests_until_ms: Until when reading is left to a neighbour that can.
        reads: Reads of the source, for the metrics.
        pulls_sent: Documents asked for, for the metrics.
        pushes_sent: Documents sent, for the metrics.
        asked_version: Newest version that was asked for.
        behind_since_ms: When a newer version was noticed or last asked for;
            None while there is none.
        far_news: Newest version that a node of another data centre told of,
            and that node's address.
    """

    source: PublishedSource
    store: PublishedStore
    members: MemberTable
    links: PeerLinks
    clock: Clock
    seeded: random.Random = attrs.field(factory=random.Random)
    position: int | None = None
    read_ms: int = 0
    neighbour_read_ms: float = -math.inf
    source_up: bool = True
    unable: dict[str, int] = attrs.field(factory=dict)
    progress_told_ms: int = 0
    rests_until_ms: int = 0
    reads: int = 0
    pulls_sent: int = 0
    pushes_sent: int = 0
    asked_version: int = 0
    behind_since_ms: int | None = None
    far_news: tuple[int, str] = (0, "")
    tasks: list[asyncio.Task[None]] = attrs.field(factory=list)
    telling: Telling = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.telling = Telling(
            self.store, self.members, self.links, self.seeded
        )

    async def start(self) -> None:
        """Starts reading the source and watching the peers' versions."""
        self.read_ms = self.clock.now_ms()
        self.source.on_progress = self._note_progress
        self.tasks = [
            asyncio.create_task(self._read(), name="published-reader"),
            asyncio.create_task(self._watch(), name="published-watch"),
        ]

    async def stop(self) -> None:
        """Ends the tasks."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.telling.stop()

    # Reading the source.

    async def _read(self) -> None:
        await self._let_faster_ones_read()
        retry_ms = _FIRST_RETRY_MS
        while True:
            if not self._has_to_read():
                await asyncio.sleep(_TICK_S)
                continue
            if self._may_rest():
                self._tell_near(UNREAD)
                await asyncio.sleep(REST_TOLD_MS / _MS_PER_S)
                continue
            try:
                news = await self._read_once()
            except SourceError as error:
                self._note_source(up=False, reason=error.message)
                self.rests_until_ms = self.clock.now_ms() + REST_MS
                self._tell_near(UNREAD)
                # Full jitter: nodes that lost the source together would
                # otherwise come back to it in the same instant.
                pause_ms = self.seeded.uniform(retry_ms / 2, retry_ms)
                retry_ms = min(2 * retry_ms, _MAX_RETRY_MS)
                await asyncio.sleep(pause_ms / _MS_PER_S)
                continue
            retry_ms = _FIRST_RETRY_MS
            self._note_source(up=True)
            if not news:
                self._tell_near(self._read_age_ms())
            else:
                await asyncio.sleep(SETTLE_MS / _MS_PER_S)

    async def _let_faster_ones_read(self) -> None:
        line_mbps = max(1, self.members.own.line_mbps)
        pause_ms = min(_MOST_FIRST_PAUSE_MS, FIRST_PAUSE_MS / line_mbps)
        try:
            async with asyncio.timeout(pause_ms / _MS_PER_S):
                while not self.store.ready:
                    await self.store.moved.wait()
        except TimeoutError:
            return

    def _has_to_read(self) -> bool:
        if self.position is None and not self.store.ready:
            return True
        ahead = self._ahead()
        if ahead < READERS:
            return True
        steps = min(ahead - READERS, _MOST_SILENCE_STEPS)
        silence_ms = SILENCE_MS + steps * SILENCE_STEP_MS
        return self.clock.now_ms() - self.read_ms > silence_ms

    def _note_progress(self) -> None:
        # Without a word, neighbours would take a long answer for silence.
        now_ms = self.clock.now_ms()
        self.read_ms = now_ms
        if now_ms - self.progress_told_ms >= PROGRESS_TOLD_MS:
            self.progress_told_ms = now_ms
            self._tell_near(0)

    def _may_rest(self) -> bool:
        now_ms = self.clock.now_ms()
        if not self.store.ready or now_ms >= self.rests_until_ms:
            return False
        return now_ms - self.neighbour_read_ms <= SILENCE_MS

    def is_reader(self) -> bool:
        """Tells whether this node reads the source for its data centre."""
        return self._ahead() < READERS

    def _ahead(self) -> int:
        own = _rank(self.members.own)
        return sum(
            _rank(entry) < own and self._is_able(entry)
            for entry in self.telling.near()
        )

    def _is_able(self, entry: MemberEntry) -> bool:
        until_ms = self.unable.get(entry.peer_address, 0)
        return self.clock.now_ms() >= until_ms

    async def _read_once(self) -> bool:
        self.reads += 1
        if self.position is None:
            document = await self.source.newest()
        else:
            document = await self.source.following(self.position, LONG_POLL_MS)
        self.read_ms = self.clock.now_ms()
        if document is None:
            # Nothing was published yet, or nothing new.
            self.position = self.position or 0
            return False
        self.position = document.position
        before = self.store.version
        if not document.data or not self.store.offer(document.data, "source"):
            return False
        self.telling.news(self._read_age_ms(), before)
        return True

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
        return self.clock.now_ms() - self.read_ms

    def _tell_near(self, read_age_ms: int) -> None:
        digest = self.telling.digest(read_age_ms, heartbeat=True)
        self.telling.send(self.telling.near(), digest)

    # Hearing from peers.

    def receive(self, frame: WireMessage) -> None:
        """Takes a frame about the configuration."""
        take_frame(frame, self)

    def take_document(self, frame: DocumentPush) -> None:
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
            digest = self.telling.digest(self._read_age_ms(), heartbeat=False)
            self.telling.send(self.telling.near(), digest)

    def take_digest(self, frame: VersionDigest) -> None:
        """Takes a peer's version."""
        if frame.heartbeat and frame.log_age_ms == UNREAD:
            self.unable[frame.address] = self.clock.now_ms() + UNABLE_MS
        elif frame.heartbeat:
            self.unable.pop(frame.address, None)
            read_ms = self.clock.now_ms() - frame.log_age_ms
            self.neighbour_read_ms = max(self.neighbour_read_ms, read_ms)
            self.read_ms = max(self.read_ms, read_ms)
        if frame.version <= self.store.version:
            return
        far = {entry.peer_address for entry in self.telling.far()}
        if frame.address in far:
            self.far_news = max(self.far_news, (frame.version, frame.address))
        else:
            self._ask(frame.address, frame.version)

    def take_pull(self, frame: RecordsPull) -> None:
        """Sends the document to a peer that lacks it."""
        if frame.from_offset < self.store.version:
            self.pushes_sent += 1
            document = self.telling.document(frame.from_offset)
            self.telling.post(frame.address, document)

    def _ask(self, address: str, version: int) -> None:
        if version <= self.asked_version:
            return
        self.asked_version = version
        self.pulls_sent += 1
        self.telling.post(
            address,
            RecordsPull(
                from_offset=self.store.version,
                address=self.members.own.peer_address,
            ),
        )

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(_TICK_S)
            self._look_for_newer()

    def _look_for_newer(self) -> None:
        # Gossip tells every member's version. A digest or an answer that was
        # lost would else leave this node behind until the next change.
        version = self.store.version
        newer = [e for e in self.telling.well() if e.version > version]
        if not newer and self.far_news[0] <= version:
            self.behind_since_ms = None
            return
        near = _newest(e for e in newer if self.telling.is_near(e))
        far = _newest(e for e in newer if not self.telling.is_near(e))
        far = max(far, self.far_news)
        now_ms = self.clock.now_ms()
        if self.behind_since_ms is None:
            self.behind_since_ms = now_ms
        age_ms = now_ms - self.behind_since_ms
        if near[0] > version:
            if age_ms >= ASK_AFTER_MS:
                self._ask_again(near, now_ms)
        elif age_ms >= self._far_pause_ms():
            self._ask_again(far, now_ms)

    def _far_pause_ms(self) -> int:
        return ASK_FAR_AFTER_MS * min(1 + self._ahead(), _MOST_FAR_PAUSES)

    def _ask_again(self, newest: tuple[int, str], now_ms: int) -> None:
        version, address = newest
        self.behind_since_ms = now_ms
        self.far_news = (0, "")
        self.asked_version = 0
        self._ask(address, version)


def _newest(entries: Iterable[MemberEntry]) -> tuple[int, str]:
    """Returns the newest version among members, and where it is."""
    found = ((entry.version, entry.peer_address) for entry in entries)
    return max(found, default=(0, ""))


def _rank(entry: MemberEntry) -> tuple[int, int]:
    # The fastest lines first: a reader fetches whole documents.
    chance = xxhash.xxh3_64_intdigest(entry.node.encode())
    return -entry.line_mbps, chance


@functools.singledispatch
def take_frame(frame: WireMessage, feed: PublishedFeed) -> None:
    """Hands a frame to the feed; others are ignored."""


@take_frame.register
def _(frame: DocumentPush, feed: PublishedFeed) -> None:
    feed.take_document(frame)


@take_frame.register
def _(frame: VersionDigest, feed: PublishedFeed) -> None:
    feed.take_digest(frame)


@take_frame.register
def _(frame: RecordsPull, feed: PublishedFeed) -> None:
    feed.take_pull(frame)
