"""Published configurations: versions never decrease and reach every peer."""

import asyncio
import logging
from collections.abc import Callable

import attrs
import pytest

from pomelobank_core import ManualClock, MemberTable, RouteTable
from pomelobank_node.callers import HttpLimits
from pomelobank_node.published import (
    Document,
    PublishedConfig,
    PublishedFeed,
    PublishedStore,
    SourceError,
)
from pomelobank_node.published._feed import (
    HEARTBEAT_MS,
    MAX_READ_AGE_MS,
    MIN_READ_INTERVAL_MS,
    PULL_DELAY_MS,
    PULL_TIMEOUT_MS,
    RANK_DELAY_MS,
    REMOTE_PULL_DELAY_MS,
)
from pomelobank_node.published._packing import PackingError, pack, unpack
from pomelobank_schema import SchemaError, SchemaErrorKind, WireMessage
from pomelobank_schema.generated.peer import (
    DocumentPush,
    MemberEntry,
    RecordsPull,
    VersionDigest,
)

TEST_TIMEOUT_S = 20


def decode(data: bytes) -> PublishedConfig:
    """Decodes a document that consists of its version only."""
    if not data.isdigit():
        raise SchemaError(SchemaErrorKind.MALFORMED, "", "no version")
    return PublishedConfig(RouteTable(int(data), {}), HttpLimits())


class Links:
    """Records the frames sent, with the address of each receiver."""

    def __init__(self) -> None:
        self.sent_frames: list[tuple[str, WireMessage]] = []
        self.address = ""

    def to(self, address: str) -> "Links":
        link = Links()
        link.sent_frames = self.sent_frames
        link.address = address
        return link

    async def send(self, frame: WireMessage) -> None:
        self.sent_frames.append((self.address, frame))


class Source:
    """Returns the documents and errors given by the test, in order."""

    def __init__(self, *documents: Document | SourceError | None) -> None:
        self.documents = list(documents)
        self.positions: list[int | None] = []
        self.idle = asyncio.Event()
        self.on_progress: Callable[[], None] | None = None

    async def newest(self) -> Document | None:
        return await self._next(None)

    async def newest_after(
        self, position: int, wait_ms: int
    ) -> Document | None:
        return await self._next(position)

    async def _next(self, position: int | None) -> Document | None:
        self.positions.append(position)
        if not self.documents:
            self.idle.set()
            await asyncio.Event().wait()
        document = self.documents.pop(0)
        if isinstance(document, SourceError):
            raise document
        return document


def member(node: str, centre: str, version: int = 0) -> MemberEntry:
    return MemberEntry(
        node=node,
        state="ready",
        data_centre=centre,
        peer_address=f"{node}:1",
        version=version,
    )


def create_feed(source: Source, *others: MemberEntry) -> PublishedFeed:
    table = MemberTable(member("own", "hobart"))
    table.merge(others)
    links = Links()
    return PublishedFeed(
        source,
        PublishedStore(decode),
        table,
        links,  # type: ignore[arg-type]
        ManualClock(1000),
    )


def sent_frames(feed: PublishedFeed) -> list[tuple[str, WireMessage]]:
    links = feed.links
    assert isinstance(links, Links)
    return links.sent_frames


@pytest.mark.parametrize(
    ("offered", "version"),
    [
        pytest.param([b"3", b"5"], 5, id="newer"),
        pytest.param([b"5", b"3"], 5, id="late"),
        pytest.param([b"5", b"5"], 5, id="twice"),
        pytest.param([b"5", b"cut of"], 5, id="unreadable"),
        pytest.param([b"cut of", b"5"], 5, id="unreadable first"),
    ],
)
def test_the_configuration_never_goes_back(
    offered: list[bytes], version: int
) -> None:
    """Documents arrive late, twice, or corrupted.

    If the store applied an older document, the node would send requests to a
    service that the operator has replaced in the newer document.
    """
    store = PublishedStore(decode)
    for data in offered:
        store.offer(data, "test", 0)
    assert (store.version, store.ready) == (version, True)


def test_without_a_valid_document_the_store_is_not_ready() -> None:
    """The only document that arrives is corrupted.

    A node without a configuration must not report that it is ready.
    """
    store = PublishedStore(decode)
    assert not store.offer(b"cut of", "test", 0)
    assert (store.ready, store.unreadable) == (False, 1)


async def test_a_reader_announces_what_it_reads() -> None:
    """The reader of a data centre finds a new configuration.

    Peers of the data centre get the document; remote members get only a digest
    with the new version.
    """
    source = Source(Document(b"7", 4), None)
    feed = create_feed(source, member("far", "burnie"))
    await feed.start()
    async with asyncio.timeout(TEST_TIMEOUT_S):
        await source.idle.wait()
    await feed.stop()
    assert feed.store.version == 7
    assert source.positions[:2] == [None, 4]
    digests = [f for _, f in sent_frames(feed) if isinstance(f, VersionDigest)]
    assert any(frame.version == 7 for frame in digests)


async def test_after_a_failed_read_the_newest_is_read_again() -> None:
    """The source fails in the middle of a long poll.

    The source's history may no longer hold what was published meanwhile, so
    a read from the old position could miss a version.
    """
    source = Source(Document(b"7", 4), SourceError("down"), Document(b"9", 6))
    feed = create_feed(source)
    await feed.start()
    async with asyncio.timeout(TEST_TIMEOUT_S):
        await source.idle.wait()
    await feed.stop()
    assert feed.store.version == 9
    assert source.positions[:3] == [None, 4, None]


@pytest.mark.parametrize(
    "document",
    [
        pytest.param(
            Document(b"", 5, complete=False), id="more, but no record"
        ),
        pytest.param(None, id="nothing, without the wait"),
    ],
)
async def test_reads_without_progress_are_paced(
    document: Document | None,
) -> None:
    """Guards against a source that is read without a pause.

    Its responses come at once and hold nothing after the position.
    """
    first = Document(b"7", 5)
    source = Source(first, *1000 * [document])
    feed = create_feed(source)
    await feed.start()
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while not source.positions:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
    began_s = loop.time()
    await asyncio.sleep(5 * MIN_READ_INTERVAL_MS / 1000)
    await feed.stop()
    elapsed_ms = (loop.time() - began_s) * 1000
    assert len(source.positions) <= 3 + elapsed_ms / MIN_READ_INTERVAL_MS


async def test_a_version_announced_twice_is_pulled_once() -> None:
    """Two digests announce the same new version.

    A pull for each digest would transfer the document twice.
    """
    feed = create_feed(Source())
    digest = VersionDigest(version=3, address="far:1")
    feed.receive(digest)
    feed.receive(digest)
    await asyncio.sleep(0)
    pulls = [f for _, f in sent_frames(feed) if isinstance(f, RecordsPull)]
    assert len(pulls) == 1


async def test_a_pull_without_a_response_goes_to_another_peer() -> None:
    """The first peer that announced a version stops before it sends it."""
    peers = [member("near", "hobart"), member("other", "hobart")]
    feed = create_feed(Source(), *peers)
    clock = feed.clock
    assert isinstance(clock, ManualClock)
    for entry in peers:
        feed.receive(VersionDigest(version=3, address=entry.peer_address))
        clock.advance(PULL_TIMEOUT_MS)
    await asyncio.sleep(0)
    assert [a for a, f in sent_frames(feed) if isinstance(f, RecordsPull)] == [
        entry.peer_address for entry in peers
    ]


async def test_a_peer_that_lacks_the_document_gets_it() -> None:
    feed = create_feed(Source())
    feed.store.offer(b"7", "test", 0)
    feed.receive(RecordsPull(from_offset=3, address="far:1"))
    feed.receive(RecordsPull(from_offset=7, address="near:1"))
    await asyncio.sleep(0)
    (far, document_push), (near, digest) = sent_frames(feed)
    assert (far, near) == ("far:1", "near:1")
    assert isinstance(document_push, DocumentPush)
    assert unpack(document_push.data) == b"7"
    assert isinstance(digest, VersionDigest)
    assert (digest.version, digest.heartbeat) == (7, False)


async def test_a_corrupt_push_changes_nothing() -> None:
    """A peer pushes bytes that cannot be decompressed.

    The node must keep its configuration.
    """
    feed = create_feed(Source())
    feed.store.offer(b"7", "test", 0)
    feed.receive(DocumentPush(data=b"rubbish", version=9))
    assert feed.store.version == 7


async def test_a_version_known_by_gossip_alone_is_pulled() -> None:
    """Every digest of a new version is lost, and only gossip carries it.

    Without a pull the node would stay behind until the next change.
    """
    feed = create_feed(Source(), member("far", "burnie", version=8))
    clock = feed.clock
    assert isinstance(clock, ManualClock)
    feed._check_for_newer()
    clock.advance(500)
    feed._check_for_newer()
    await asyncio.sleep(0)
    pulls = [f for _, f in sent_frames(feed) if isinstance(f, RecordsPull)]
    assert len(pulls) == 1


async def test_a_remote_version_is_pulled_by_one_peer() -> None:
    """All nodes of a data centre hear of a version in another data centre.

    If each node pulled the document, the network links between the data centres
    would carry the document once per node.
    """
    remote = member("far", "burnie")
    pulls = []
    for number in range(4):
        local = [member(f"n{n}", "hobart") for n in range(4) if n != number]
        feed = create_feed(Source(), remote, *local)
        feed.members.own = member(f"n{number}", "hobart")
        feed.receive(VersionDigest(version=3, address=remote.peer_address))
        clock = feed.clock
        assert isinstance(clock, ManualClock)
        feed._check_for_newer()
        clock.advance(REMOTE_PULL_DELAY_MS)
        feed._check_for_newer()
        await asyncio.sleep(0)
        pulls += [f for _, f in sent_frames(feed) if isinstance(f, RecordsPull)]
    assert len(pulls) == 1


async def test_a_local_peer_is_preferred_for_pulls() -> None:
    """A remote member has a newer version than a peer in the data centre.

    Pulling from the peer keeps the document off the links between the data
    centres.
    """
    remote = member("far", "burnie", version=9)
    local = member("near", "hobart", version=8)
    feed = create_feed(Source(), remote, local)
    clock = feed.clock
    assert isinstance(clock, ManualClock)
    feed._check_for_newer()
    clock.advance(PULL_DELAY_MS)
    feed._check_for_newer()
    await asyncio.sleep(0)
    assert [a for a, f in sent_frames(feed) if isinstance(f, RecordsPull)] == [
        local.peer_address
    ]


def test_a_reader_that_cannot_read_is_skipped() -> None:
    """The readers report that they cannot read the source.

    If the other nodes kept waiting for these readers, no node would read.
    """
    others = [member(f"n{number}", "hobart") for number in range(9)]
    feed = create_feed(Source(), *others)
    clock = feed.clock
    assert isinstance(clock, ManualClock)
    assert not feed.is_reader()
    for entry in others:
        feed.receive(
            VersionDigest(
                address=entry.peer_address, heartbeat=True, log_age_ms=-1
            )
        )
    assert feed.is_reader()
    clock.advance(10_000)
    assert not feed.is_reader()


async def test_a_failed_read_is_reported_at_once() -> None:
    """The source rejects a reader's first read.

    Without a report, other nodes would leave reading to this reader until its
    heartbeats are overdue.
    """
    source = Source(SourceError("refused"))
    local, remote = member("near", "hobart"), member("far", "burnie")
    feed = create_feed(source, local, remote)
    await feed.start()
    async with asyncio.timeout(TEST_TIMEOUT_S):
        await source.idle.wait()
    await feed.stop()
    announcements = [
        address
        for address, frame in sent_frames(feed)
        if isinstance(frame, VersionDigest) and frame.log_age_ms == -1
    ]
    assert announcements == [local.peer_address, remote.peer_address]


@pytest.mark.parametrize(
    ("neighbours", "pushed"),
    [pytest.param(3, 3, id="few"), pytest.param(166, 4, id="many")],
)
async def test_a_reader_limits_its_pushes(neighbours: int, pushed: int) -> None:
    """A reader has more peers in its data centre than it may push to.

    One document for each peer would fill the reader's network link.
    """
    local = [member(f"n{number}", "hobart") for number in range(neighbours)]
    feed = create_feed(Source(), *local)
    feed.store.offer(b"7", "test", 0)
    feed.publisher.publish_version(read_age_ms=0, previous_version=0, relays=[])
    await asyncio.sleep(0)
    documents = [f for _, f in sent_frames(feed) if isinstance(f, DocumentPush)]
    assert len(documents) == pushed


@pytest.mark.parametrize(
    ("reported_age_ms", "backs_off"),
    [
        pytest.param(100, True, id="a neighbour reads"),
        pytest.param(9_000, False, id="no neighbour has read for long"),
    ],
)
async def test_a_node_that_cannot_read_backs_off_if_a_peer_reads(
    reported_age_ms: int, backs_off: bool
) -> None:
    """The source rejects a node's reads while another node can read.

    If each rejected node kept reading, the source would get needless calls.
    """
    local = member("near", "hobart")
    feed = create_feed(Source(), local)
    feed.store.offer(b"7", "test", 0)
    clock = feed.clock
    assert isinstance(clock, ManualClock)
    clock.advance(20_000)
    feed.backoff_until_ms = clock.now_ms() + 5000
    assert not feed._may_back_off()
    feed.receive(
        VersionDigest(
            address=local.peer_address,
            heartbeat=True,
            log_age_ms=reported_age_ms,
        )
    )
    assert feed._may_back_off() is backs_off


async def test_a_node_that_has_just_started_reports_no_recent_read() -> None:
    """Peers that take a start for a read do not replace silent readers."""
    feed = create_feed(Source(), member("near", "hobart"))
    clock = feed.clock
    assert isinstance(clock, ManualClock)
    clock.advance(MAX_READ_AGE_MS)
    await feed.start()
    feed.store.offer(b"7", "test", clock.now_ms())
    feed.receive(RecordsPull(from_offset=7, address="near:1"))
    await asyncio.sleep(0)
    await feed.stop()
    digests = [f for _, f in sent_frames(feed) if isinstance(f, VersionDigest)]
    assert [item.log_age_ms >= MAX_READ_AGE_MS for item in digests] == [True]


async def test_a_node_that_takes_over_reads_from_the_readers_position() -> None:
    """Without the position, every takeover would fetch a large document."""
    source = Source(None)
    feed = create_feed(source, member("near", "hobart"))
    feed.store.offer(b"7", "test", 0)
    feed.receive(
        VersionDigest(
            version=7, next_offset=4, address="near:1", heartbeat=True
        )
    )
    await feed._read_once()
    assert source.positions == [4]


@pytest.mark.parametrize(
    ("known_era", "reported_era", "position"),
    [
        pytest.param(2, 2, 4, id="same era"),
        pytest.param(2, 1, 0, id="earlier era"),
        pytest.param(1, 2, 4, id="new era"),
        pytest.param(0, 0, 4, id="unknown era"),
    ],
)
async def test_positions_of_an_earlier_era_are_ignored(
    known_era: int, reported_era: int, position: int
) -> None:
    """A node that reads from such a position misses records or never waits."""
    feed = create_feed(Source(), member("near", "hobart"))
    feed.era.advance(known_era)
    feed.store.offer(b"7", "test", 0)
    feed.receive(
        VersionDigest(
            version=7,
            next_offset=4,
            address="near:1",
            heartbeat=True,
            log_era=reported_era,
        )
    )
    assert feed._known_position() == position
    assert feed.era.number == max(known_era, reported_era)


async def test_a_reader_that_backs_off_does_not_seem_able_to_read() -> None:
    """Its peers would wait for this reader, which the source rejects."""
    feed = create_feed(Source(), member("near", "hobart"))
    feed.store.offer(b"7", "test", 0)
    clock = feed.clock
    assert isinstance(clock, ManualClock)
    feed.receive(VersionDigest(address="near:1", heartbeat=True))
    feed.backoff_until_ms = clock.now_ms() + 5000
    feed.last_heartbeat_ms = clock.now_ms() - HEARTBEAT_MS
    await asyncio.sleep(0)
    sent_frames(feed).clear()
    assert feed.is_reader()
    feed.tick(clock.now_ms())
    await asyncio.sleep(0)
    assert not sent_frames(feed)


async def test_each_hop_of_a_version_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Without the hops' times, the log cannot tell why a version was late."""
    caplog.set_level(logging.INFO)
    feed = create_feed(Source(), member("near", "hobart"))
    clock = feed.clock
    assert isinstance(clock, ManualClock)
    digest = VersionDigest(version=3, address="near:1", version_age_ms=40)
    feed.receive(digest)
    clock.advance(PULL_TIMEOUT_MS)
    feed.receive(digest)
    clock.advance(30)
    feed.receive(
        DocumentPush(
            data=pack(b"3"), version=3, address="near:1", version_age_ms=90
        )
    )
    line = next(r for r in caplog.records if r.message == "config.in_force")
    fields = vars(line)
    assert fields["age_ms"] == 40 + PULL_TIMEOUT_MS + 30
    assert fields["announced_ms"] == PULL_TIMEOUT_MS + 30
    assert (fields["pulled_ms"], fields["pulls"]) == (30, 2)
    assert "config.pull_repeated" in [r.message for r in caplog.records]
    push = feed.publisher.document_push(0)
    assert push.version_age_ms == fields["age_ms"]


LINES = [f"{number} leads to {number * 7919 % 997}" for number in range(5000)]


def document(version: int) -> bytes:
    """Returns a large document in which only the version's line changes."""
    lines = [*LINES, f"the newest leads to {version}"]
    return "\n".join([str(version), *lines]).encode()


def first_line(data: bytes) -> PublishedConfig:
    """Decodes a document by the version in its first line."""
    return decode(data.split(b"\n")[0])


@pytest.mark.parametrize(
    ("known_versions", "expected_version", "max_bytes"),
    [
        pytest.param([1], 2, 1000, id="the version before"),
        pytest.param([1, 2], 2, 1000, id="this version already"),
        pytest.param([], 0, 1000, id="none, so it asks for the whole"),
    ],
)
async def test_a_change_is_sent_as_a_delta(
    known_versions: list[int], expected_version: int, max_bytes: int
) -> None:
    """An operator changes one of several thousand routes.

    If each change sent the whole document, a node on a slow network link would
    keep its callers waiting for most of a second at each change.
    """
    reader = create_feed(Source())
    reader.store.decode = first_line
    reader.store.offer(document(1), "test", 0)
    reader.store.offer(document(2), "test", 0)
    push = reader.publisher.document_push(base_version=1)
    assert len(push.data) < max_bytes
    feed = create_feed(Source())
    feed.store.decode = first_line
    for version in known_versions:
        feed.store.offer(document(version), "test", 0)
    feed.receive(push)
    assert feed.store.version == expected_version
    assert feed.pulls_sent == (not known_versions)


async def test_a_node_without_the_base_gets_the_whole_document() -> None:
    """A peer pushes a delta to a version that the node never had.

    The node cannot apply the delta and must pull the whole document.
    """
    reader = create_feed(Source())
    reader.store.decode = first_line
    for version in range(1, 10):
        reader.store.offer(document(version), "test", 0)
    feed = create_feed(Source())
    feed.store.decode = first_line
    feed.store.offer(document(1), "test", 0)
    feed.receive(reader.publisher.document_push(base_version=8))
    await asyncio.sleep(0)
    (pull,) = [f for _, f in sent_frames(feed) if isinstance(f, RecordsPull)]
    reader.receive(pull)
    await asyncio.sleep(0)
    (push,) = [f for _, f in sent_frames(reader) if isinstance(f, DocumentPush)]
    feed.receive(push)
    assert feed.store.data == document(9)


@pytest.mark.parametrize(
    ("packed", "base"),
    [
        pytest.param(b"rubbish", b"", id="not packed"),
        pytest.param(pack(document(2))[:-9], b"", id="cut off"),
        pytest.param(pack(document(2), document(1)), b"", id="without base"),
        pytest.param(
            pack(document(2), document(1)), LINES[0].encode(), id="other base"
        ),
    ],
)
def test_corrupt_documents_raise_packing_errors(
    packed: bytes, base: bytes
) -> None:
    """A push arrives corrupted, or the receiver has no or another base.

    The error must be a `PackingError`, and no damaged document may result.
    """
    with pytest.raises(PackingError):
        unpack(packed, base)


def test_the_node_on_the_fastest_line_reads() -> None:
    """Nodes on slow network links share a data centre with a fast one.

    A reader on a slow link would take long to fetch each document.
    """
    slow = [
        attrs.evolve(member(f"n{number}", "hobart"), line_mbps=3)
        for number in range(9)
    ]
    feed = create_feed(Source(), *slow)
    feed.members.own = attrs.evolve(feed.members.own, line_mbps=50)
    assert feed.is_reader()


async def test_a_reader_sends_heartbeats_during_a_long_response() -> None:
    """The source's response takes longer than the heartbeat interval.

    Without heartbeats during the response, peers would take the reader for
    dead and read the source themselves.
    """
    source = Source(Document(b"7", 4))
    local = member("near", "hobart")
    feed = create_feed(source, local)
    await feed.start()
    assert source.on_progress is not None
    source.on_progress()
    await asyncio.sleep(0)
    await feed.stop()
    announcements = [
        f for _, f in sent_frames(feed) if isinstance(f, VersionDigest)
    ]
    assert any(f.heartbeat and f.log_age_ms == 0 for f in announcements)


def test_peers_of_a_dead_reader_start_reading_one_by_one() -> None:
    """A reader stops responding, and its peers have to replace it.

    If all peers read at once, each would fetch a large document over its
    network link and delay its callers' requests.
    """
    nodes = [member(f"n{number}", "hobart") for number in range(9)]
    reading_ms = []
    for own in nodes:
        feed = create_feed(Source(), *(node for node in nodes if node != own))
        feed.members.own = own
        feed.store.offer(b"7", "test", 0)
        feed.position = 4
        clock = feed.clock
        assert isinstance(clock, ManualClock)
        feed.last_read_ms = clock.now_ms()
        waited_ms = 0
        while not feed._must_read():
            clock.advance(50)
            waited_ms += 50
        reading_ms.append(waited_ms)
    reading_ms.sort()
    assert reading_ms[0] == 0
    assert reading_ms[2] - reading_ms[1] >= RANK_DELAY_MS
