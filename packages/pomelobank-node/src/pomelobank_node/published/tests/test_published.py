"""Published configurations: never back, and on to those who lack them."""

import asyncio
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
    PULL_DELAY_MS,
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

GUARD_S = 20


def decode(data: bytes) -> PublishedConfig:
    """Reads a document that is nothing but its version."""
    if not data.isdigit():
        raise SchemaError(SchemaErrorKind.MALFORMED, "", "no version")
    return PublishedConfig(RouteTable(int(data), {}), HttpLimits())


class Links:
    """Notes what is sent to whom."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, WireMessage]] = []
        self.address = ""

    def to(self, address: str) -> "Links":
        link = Links()
        link.sent = self.sent
        link.address = address
        return link

    async def send(self, frame: WireMessage) -> None:
        self.sent.append((self.address, frame))


class Source:
    """Publishes what the test has written down."""

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


def feed(source: Source, *others: MemberEntry) -> PublishedFeed:
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


def sent(item: PublishedFeed) -> list[tuple[str, WireMessage]]:
    links = item.links
    assert isinstance(links, Links)
    return links.sent


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
    """Documents come late, twice, or broken.

    Taken as they come, requests would go back to a service that the operator
    has moved them away from.
    """
    store = PublishedStore(decode)
    for data in offered:
        store.offer(data, "test")
    assert (store.version, store.ready) == (version, True)


def test_without_a_sound_document_nothing_is_served() -> None:
    store = PublishedStore(decode)
    assert not store.offer(b"cut of", "test")
    assert (store.ready, store.unreadable) == (False, 1)


async def test_a_reader_hands_on_what_it_reads() -> None:
    """The node that reads for its data centre finds a new configuration.

    Its neighbours get the document, others only the news that there is one.
    """
    source = Source(Document(b"7", 4), None)
    item = feed(source, member("far", "burnie"))
    await item.start()
    async with asyncio.timeout(GUARD_S):
        await source.idle.wait()
    await item.stop()
    assert item.store.version == 7
    assert source.positions[:2] == [None, 4]
    digests = [f for _, f in sent(item) if isinstance(f, VersionDigest)]
    assert any(frame.version == 7 for frame in digests)


async def test_after_a_failed_read_the_newest_is_read_again() -> None:
    """The source fails in the middle of a long poll.

    What was published meanwhile may have left its history, so going on where
    the poll stood could miss it.
    """
    source = Source(Document(b"7", 4), SourceError("down"), Document(b"9", 6))
    item = feed(source)
    await item.start()
    async with asyncio.timeout(GUARD_S):
        await source.idle.wait()
    await item.stop()
    assert item.store.version == 9
    assert source.positions[:3] == [None, 4, None]


async def test_news_of_a_newer_version_is_asked_for_once() -> None:
    """Two peers tell of the same new version."""
    item = feed(Source())
    digest = VersionDigest(version=3, address="far:1")
    item.receive(digest)
    item.receive(digest)
    await asyncio.sleep(0)
    pulls = [f for _, f in sent(item) if isinstance(f, RecordsPull)]
    assert len(pulls) == 1


async def test_a_peer_that_lacks_the_document_gets_it() -> None:
    item = feed(Source())
    item.store.offer(b"7", "test")
    item.receive(RecordsPull(from_offset=3, address="far:1"))
    item.receive(RecordsPull(from_offset=7, address="near:1"))
    await asyncio.sleep(0)
    assert [address for address, _ in sent(item)] == ["far:1"]
    frame = sent(item)[0][1]
    assert isinstance(frame, DocumentPush)
    assert unpack(frame.data) == b"7"


async def test_a_document_that_cannot_be_unpacked_changes_nothing() -> None:
    item = feed(Source())
    item.store.offer(b"7", "test")
    item.receive(DocumentPush(data=b"rubbish", version=9))
    assert item.store.version == 7


async def test_a_version_known_by_gossip_alone_is_asked_for() -> None:
    """Guards against a node left behind when each digest is lost."""
    item = feed(Source(), member("far", "burnie", version=8))
    clock = item.clock
    assert isinstance(clock, ManualClock)
    item._check_for_newer()
    clock.advance(500)
    item._check_for_newer()
    await asyncio.sleep(0)
    pulls = [f for _, f in sent(item) if isinstance(f, RecordsPull)]
    assert len(pulls) == 1


async def test_a_version_from_afar_is_asked_for_by_one_neighbour() -> None:
    """Guards against a document fetched from afar by each neighbour."""
    far = member("far", "burnie")
    asked = []
    for number in range(4):
        near = [member(f"n{n}", "hobart") for n in range(4) if n != number]
        item = feed(Source(), far, *near)
        item.members.own = member(f"n{number}", "hobart")
        item.receive(VersionDigest(version=3, address=far.peer_address))
        clock = item.clock
        assert isinstance(clock, ManualClock)
        item._check_for_newer()
        clock.advance(REMOTE_PULL_DELAY_MS)
        item._check_for_newer()
        await asyncio.sleep(0)
        asked += [f for _, f in sent(item) if isinstance(f, RecordsPull)]
    assert len(asked) == 1


async def test_a_neighbour_that_knows_more_is_asked_before_others() -> None:
    far = member("far", "burnie", version=9)
    near = member("near", "hobart", version=8)
    item = feed(Source(), far, near)
    clock = item.clock
    assert isinstance(clock, ManualClock)
    item._check_for_newer()
    clock.advance(PULL_DELAY_MS)
    item._check_for_newer()
    await asyncio.sleep(0)
    assert [a for a, f in sent(item) if isinstance(f, RecordsPull)] == [
        near.peer_address
    ]


def test_a_reader_that_is_turned_away_is_passed_over() -> None:
    """Guards against neighbours that wait for a refused reader."""
    others = [member(f"n{number}", "hobart") for number in range(9)]
    item = feed(Source(), *others)
    clock = item.clock
    assert isinstance(clock, ManualClock)
    assert not item.is_reader()
    for entry in others:
        item.receive(
            VersionDigest(
                address=entry.peer_address, heartbeat=True, log_age_ms=-1
            )
        )
    assert item.is_reader()
    clock.advance(10_000)
    assert not item.is_reader()


async def test_a_failed_read_is_told_at_once() -> None:
    source = Source(SourceError("refused"))
    near, far = member("near", "hobart"), member("far", "burnie")
    item = feed(source, near, far)
    await item.start()
    async with asyncio.timeout(GUARD_S):
        await source.idle.wait()
    await item.stop()
    told = [
        address
        for address, frame in sent(item)
        if isinstance(frame, VersionDigest) and frame.log_age_ms == -1
    ]
    assert told == [near.peer_address, far.peer_address]


@pytest.mark.parametrize(
    ("neighbours", "pushed"),
    [pytest.param(3, 3, id="few"), pytest.param(166, 4, id="many")],
)
async def test_a_reader_is_not_run_over_by_its_neighbours(
    neighbours: int, pushed: int
) -> None:
    """Guards against a line filled by one document for each node."""
    near = [member(f"n{number}", "hobart") for number in range(neighbours)]
    item = feed(Source(), *near)
    item.store.offer(b"7", "test")
    item.publisher.publish_version(read_age_ms=0, previous_version=0, relays=[])
    await asyncio.sleep(0)
    documents = [f for _, f in sent(item) if isinstance(f, DocumentPush)]
    assert len(documents) == pushed


@pytest.mark.parametrize(
    ("told_ms", "rests"),
    [
        pytest.param(100, True, id="a neighbour reads"),
        pytest.param(9_000, False, id="no neighbour has read for long"),
    ],
)
def test_a_node_that_cannot_read_leaves_it_to_a_neighbour(
    told_ms: int, rests: bool
) -> None:
    """Guards against refused nodes that all go on asking."""
    near = member("near", "hobart")
    item = feed(Source(), near)
    item.store.offer(b"7", "test")
    clock = item.clock
    assert isinstance(clock, ManualClock)
    clock.advance(20_000)
    item.backoff_until_ms = clock.now_ms() + 5000
    assert not item._may_back_off()
    item.receive(
        VersionDigest(
            address=near.peer_address, heartbeat=True, log_age_ms=told_ms
        )
    )
    assert item._may_back_off() is rests


LINES = [f"{number} leads to {number * 7919 % 997}" for number in range(5000)]


def document(version: int) -> bytes:
    """Returns a large document that a version changes in one place."""
    lines = [*LINES, f"the newest leads to {version}"]
    return "\n".join([str(version), *lines]).encode()


def first_line(data: bytes) -> PublishedConfig:
    """Reads the version in the first line of a document."""
    return decode(data.split(b"\n")[0])


@pytest.mark.parametrize(
    ("has", "ends_with", "most_bytes"),
    [
        pytest.param([1], 2, 1000, id="the version before"),
        pytest.param([1, 2], 2, 1000, id="this version already"),
        pytest.param([], 0, 1000, id="none, so it asks for the whole"),
    ],
)
async def test_a_change_travels_without_the_rest(
    has: list[int], ends_with: int, most_bytes: int
) -> None:
    """An operator changes one of some thousand routes.

    With the whole document, a node on a slow line keeps its callers waiting
    for most of a second at each change.
    """
    reader = feed(Source())
    reader.store.decode = first_line
    reader.store.offer(document(1), "test")
    reader.store.offer(document(2), "test")
    push = reader.publisher.document_push(base_version=1)
    assert len(push.data) < most_bytes
    item = feed(Source())
    item.store.decode = first_line
    for version in has:
        item.store.offer(document(version), "test")
    item.receive(push)
    assert item.store.version == ends_with
    assert item.pulls_sent == (not has)


async def test_a_node_that_lacks_the_base_gets_the_whole() -> None:
    reader = feed(Source())
    reader.store.decode = first_line
    for version in range(1, 10):
        reader.store.offer(document(version), "test")
    item = feed(Source())
    item.store.decode = first_line
    item.store.offer(document(1), "test")
    item.receive(reader.publisher.document_push(base_version=8))
    await asyncio.sleep(0)
    (pull,) = [f for _, f in sent(item) if isinstance(f, RecordsPull)]
    reader.receive(pull)
    await asyncio.sleep(0)
    (push,) = [f for _, f in sent(reader) if isinstance(f, DocumentPush)]
    item.receive(push)
    assert item.store.data == document(9)


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
def test_what_cannot_be_unpacked_is_told(packed: bytes, base: bytes) -> None:
    with pytest.raises(PackingError):
        unpack(packed, base)


def test_the_node_on_the_fastest_line_reads() -> None:
    """Guards against a reader on a slow line."""
    slow = [
        attrs.evolve(member(f"n{number}", "hobart"), line_mbps=3)
        for number in range(9)
    ]
    item = feed(Source(), *slow)
    item.members.own = attrs.evolve(item.members.own, line_mbps=50)
    assert item.is_reader()


async def test_a_reader_that_is_still_loading_is_not_taken_for_silent() -> None:
    """Guards against a long answer taken for a dead reader."""
    source = Source(Document(b"7", 4))
    near = member("near", "hobart")
    item = feed(source, near)
    await item.start()
    assert source.on_progress is not None
    source.on_progress()
    await asyncio.sleep(0)
    await item.stop()
    told = [f for _, f in sent(item) if isinstance(f, VersionDigest)]
    assert any(f.heartbeat and f.log_age_ms == 0 for f in told)


def test_neighbours_of_a_silent_reader_do_not_read_all_at_once() -> None:
    nodes = [member(f"n{number}", "hobart") for number in range(9)]
    reading_ms = []
    for own in nodes:
        item = feed(Source(), *(node for node in nodes if node != own))
        item.members.own = own
        item.store.offer(b"7", "test")
        item.position = 4
        clock = item.clock
        assert isinstance(clock, ManualClock)
        item.last_read_ms = clock.now_ms()
        waited_ms = 0
        while not item._has_to_read():
            clock.advance(50)
            waited_ms += 50
        reading_ms.append(waited_ms)
    reading_ms.sort()
    assert reading_ms[0] == 0
    assert reading_ms[2] - reading_ms[1] >= RANK_DELAY_MS
