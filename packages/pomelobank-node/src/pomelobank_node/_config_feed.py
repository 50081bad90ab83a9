"""Brings the configuration to this node and on to its peers."""

import asyncio
import functools
import logging
import random
from collections import Counter

import attrs

from pomelobank_core import (
    Clock,
    Distribution,
    MemberState,
    MemberTable,
    PullRecords,
    PushRecords,
    SendDigest,
    SnapshotSchedule,
    VersionFloor,
)
from pomelobank_node._config_outbox import Outbox
from pomelobank_node._config_store import ConfigStore
from pomelobank_node._log_client import CONFIG_STREAM, LogClient, LogError
from pomelobank_node._log_reader import LogReader
from pomelobank_node._peer_links import PeerLinks
from pomelobank_schema import SchemaError, WireMessage, decode, encode
from pomelobank_schema.generated import records
from pomelobank_schema.generated.peer import (
    RecordsPull,
    RecordsPush,
    SnapshotPush,
    VersionDigest,
)
from pomelobank_schema.generated.records import SnapshotRecord
from pomelobank_schema.generated.settings import NodeSettings

_logger = logging.getLogger(__name__)

BLOCKED_PAUSE_MS = 5000
_MS_PER_S = 1000
# Most records of one push, and their bytes: a peer that is far behind gets
# them in parts, between which its requests go on.
PUSH_LIMIT = 50
PUSH_BYTES = 256 * 1024
_FLOOR_HEARTBEATS = 3


@attrs.define(eq=False, slots=False)
class ConfigFeed:
    """Keeps the store up to date from the log and from peers.

    Attributes:
        settings: The node's settings.
        log: The log's client.
        store: What is kept up to date.
        members: The members that the node knows.
        links: Streams to peers.
        clock: Tells the time.
        seeded: Source of randomness.
        log_up: Whether the last call to the log succeeded.
        passed_on: Version up to which peers were told.
        digests_sent: Digests sent, for the metrics.
        pushes_sent: Pushes of records sent, for the metrics.
        pulls_sent: Pulls sent, for the metrics.
        snapshots_sent: Snapshots sent to peers, for the metrics.
        pushes_useful: Pushes received that moved the version on.
        pushes_useless: Pushes received that the node had already.
        snapshots_written: Snapshots appended to the log, for the metrics.
        sends_failed: Frames that no peer took, for the metrics.
        bytes_sent: Bytes sent to peers by type of frame, for the metrics.
    """

    settings: NodeSettings
    log: LogClient
    store: ConfigStore
    members: MemberTable
    links: PeerLinks
    clock: Clock
    seeded: random.Random = attrs.field(factory=random.Random)
    log_up: bool = False
    passed_on: int = 0
    digests_sent: int = 0
    pushes_sent: int = 0
    pulls_sent: int = 0
    snapshots_sent: int = 0
    pushes_useful: int = 0
    pushes_useless: int = 0
    snapshots_written: int = 0
    sends_failed: int = 0
    bytes_sent: Counter[str] = attrs.field(factory=Counter)
    outboxes: dict[str, Outbox] = attrs.field(factory=dict)
    tasks: list[asyncio.Task[None]] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        distribution = self.settings.distribution
        self.reader = LogReader(self.log, self.store)
        self.distribution = Distribution(
            distribution, self.settings.log.long_poll_ms, self.seeded
        )
        self.floor = VersionFloor(_FLOOR_HEARTBEATS * distribution.heartbeat_ms)
        self.schedule = SnapshotSchedule(
            self.settings.snapshots, self.settings.node, self.seeded
        )
        self.store.on_snapshot = self._saw_snapshot

    @property
    def log_state(self) -> str:
        """How the log looked last: up, down or behind."""
        if not self.log_up:
            return "down"
        return "behind" if self.reader.behind or self.store.blocked else "up"

    async def start(self) -> None:
        """Starts reading and telling peers."""
        for work in (self._read_log(), self._beat()):
            self.tasks.append(asyncio.create_task(work))

    async def stop(self) -> None:
        """Ends every task."""
        outboxes = list(self.outboxes.values())
        tasks = self.tasks + [item.task for item in outboxes if item.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def catch_up(self) -> None:
        """Reads the log to its end.

        Raises:
            LogError: If the log did not answer.
        """
        try:
            await self.reader.read_to_end()
        finally:
            self._advanced()
        self._log_answered()

    async def _read_log(self) -> None:
        await self._sleep(self._first_pause_ms())
        while True:
            plan = self.distribution.next_read(self.clock.now_ms())
            if plan.pause_ms:
                await self._sleep(plan.pause_ms)
                continue
            await self._read_once(plan.wait_ms)
            if self.store.blocked or self.reader.behind:
                await self._sleep(BLOCKED_PAUSE_MS)

    def _first_pause_ms(self) -> int:
        # Nodes that start in a herd know no members yet, so each would hold
        # itself for a reader; a short wait lets most of them hear of others.
        return self.seeded.randint(1, self.settings.distribution.heartbeat_ms)

    async def _read_once(self, wait_ms: int) -> None:
        try:
            await self.reader.read(wait_ms)
        except LogError as error:
            self.log_up = False
            self.distribution.log_failed(self.clock.now_ms())
            _logger.warning("config.read_failed", extra={"error": str(error)})
        else:
            self._log_answered()
        self._advanced()

    def _log_answered(self) -> None:
        self.log_up = True
        version, end = self.store.version, self.reader.end_offset
        self.distribution.log_answered(self.clock.now_ms(), version >= end)
        self.floor.read_log(version, end)
        self._update_ready()

    def _update_ready(self) -> None:
        self.floor.hear(self.distribution.heard_version)
        now_ms = self.clock.now_ms()
        self.store.ready = self.floor.update(self.store.version, now_ms)

    def _advanced(self, source: str = "") -> None:
        # A read of the log may end after a peer brought the same records; what
        # was passed on once is not passed on again.
        before, version = self.passed_on, self.store.version
        if version > before:
            self.passed_on = version
            _logger.info(
                "config.in_force",
                extra={"version": version, "at_ms": self.clock.wall_ms()},
            )
            self._do(self.distribution.advanced(before, version, source))
            self._update_ready()

    async def _beat(self) -> None:
        heartbeat_ms = self.settings.distribution.heartbeat_ms
        while True:
            self.distribution.update_members(
                self.members.own, self.members.others.values()
            )
            self._update_ready()
            self._drop_idle_outboxes()
            self._do(self.distribution.heartbeat())
            await self._write_snapshot()
            # Jitter keeps the nodes of a herd from beating in step.
            await self._sleep(int(heartbeat_ms * self.seeded.uniform(0.8, 1.2)))

    async def _write_snapshot(self) -> None:
        live = [
            item.node
            for item in self.members.all()
            if item.state != MemberState.GONE.value
        ]
        now_ms = self.clock.now_ms()
        if not self.store.ready or not self.schedule.should_write(
            self.store.version, live, now_ms
        ):
            return
        data = self.store.whole(self.settings.node, self.clock.wall_ms())
        # Until it was read back the schedule stays due: an append whose
        # answer was lost may not have happened. A second one is harmless.
        self.schedule.failed(now_ms)
        try:
            await self.log.append(CONFIG_STREAM, data)
            self.snapshots_written += 1
        except LogError as error:
            _logger.warning(
                "config.snapshot_failed", extra={"error": str(error)}
            )

    def _saw_snapshot(self, record: SnapshotRecord) -> None:
        self.schedule.seen(record, self.clock.now_ms(), self.clock.wall_ms())

    def receive(self, frame: WireMessage) -> None:
        """Takes a peer's frame about the configuration."""
        take_frame(frame, self)

    def _do(
        self, actions: list[PushRecords | SendDigest | PullRecords]
    ) -> None:
        for action in actions:
            self.outbox(action.address).put(action)

    def outbox(self, address: str) -> Outbox:
        """Returns the outbox of a peer."""
        found = self.outboxes.get(address)
        if found is None:
            found = self.outboxes[address] = Outbox(address, self._send)
        return found

    def _drop_idle_outboxes(self) -> None:
        # Every restart of a peer brings a new address.
        for address, outbox in list(self.outboxes.items()):
            if not outbox.busy:
                self.sends_failed += outbox.failures
                del self.outboxes[address]

    async def _send(self, address: str, action: object) -> None:
        frame = make_frame(action, self)
        if frame is not None:
            size = len(encode(frame))
            await self.links.to(address).send(frame)
            self.bytes_sent[type(frame).__name__] += size

    async def _sleep(self, pause_ms: int) -> None:
        await asyncio.sleep(pause_ms / _MS_PER_S)

    def take_records(self, push: RecordsPush) -> None:
        """Applies records that a peer sent."""
        before = self.store.version
        for index, data in enumerate(push.records):
            self.store.apply(push.first_offset + index, data)
        if self.store.version > before:
            self.pushes_useful += 1
            self._advanced(push.address)
        else:
            self.pushes_useless += 1
        self._ask_for_more(push)

    def _ask_for_more(self, push: RecordsPush) -> None:
        # Either records are missing before these, or the peer sent as much as
        # fits in one push.
        last = push.first_offset + len(push.records)
        gap = push.first_offset > self.store.version
        full = last == self.store.version and last < push.version
        if (gap or full) and push.address and not self.store.blocked:
            self._do([PullRecords(push.address, push.version, 0)])

    def take_snapshot(self, push: SnapshotPush) -> None:
        """Takes over a snapshot that a peer sent."""
        try:
            record = decode(push.data, records.KINDS)
        except SchemaError as error:
            _logger.warning("config.bad_push", extra={"error": str(error)})
            return
        if isinstance(record, SnapshotRecord) and self.store.restore(record):
            self._advanced(push.address)

    def take_digest(self, digest: VersionDigest) -> None:
        """Takes a peer's version."""
        now_ms = self.clock.now_ms()
        heard = max(digest.version, digest.heard_version)
        self.floor.hear_peer(heard, digest.ready, now_ms)
        self._do(self.distribution.hear(digest, self.store.version, now_ms))
        self._update_ready()

    def take_pull(self, pull: RecordsPull) -> None:
        """Answers a peer that is behind."""
        if pull.address and pull.from_offset < self.store.version:
            self._do([PushRecords(pull.address, pull.from_offset)])


@functools.singledispatch
def take_frame(frame: WireMessage, feed: ConfigFeed) -> None:
    """Hands a frame to the feed; others are ignored."""


@take_frame.register
def _(frame: RecordsPush, feed: ConfigFeed) -> None:
    feed.take_records(frame)


@take_frame.register
def _(frame: SnapshotPush, feed: ConfigFeed) -> None:
    feed.take_snapshot(frame)


@take_frame.register
def _(frame: VersionDigest, feed: ConfigFeed) -> None:
    feed.take_digest(frame)


@take_frame.register
def _(frame: RecordsPull, feed: ConfigFeed) -> None:
    feed.take_pull(frame)


@functools.singledispatch
def make_frame(action: object, feed: ConfigFeed) -> WireMessage | None:
    """Builds the frame of an action from the node's present state."""
    raise TypeError(f"no frame for {type(action).__name__}")


@make_frame.register
def _(action: SendDigest, feed: ConfigFeed) -> WireMessage | None:
    feed.digests_sent += 1
    version = feed.store.version
    return VersionDigest(
        version=version,
        next_offset=version,
        address=feed.members.own.peer_address,
        heard_version=max(version, feed.distribution.heard_version),
        log_age_ms=feed.distribution.log_age_ms(feed.clock.now_ms()),
        heartbeat=action.heartbeat,
        ready=feed.store.ready,
    )


@make_frame.register
def _(action: PullRecords, feed: ConfigFeed) -> WireMessage | None:
    if feed.store.version >= action.version:
        return None
    feed.pulls_sent += 1
    return RecordsPull(
        from_offset=feed.store.version,
        limit=PUSH_LIMIT,
        address=feed.members.own.peer_address,
    )


@make_frame.register
def _(action: PushRecords, feed: ConfigFeed) -> WireMessage | None:
    store = feed.store
    if action.from_version >= store.version:
        return None
    address = feed.members.own.peer_address
    found = store.recent.since(action.from_version, PUSH_LIMIT)
    if not found:
        feed.snapshots_sent += 1
        data = store.whole(feed.settings.node, feed.clock.wall_ms())
        return SnapshotPush(data=data, address=address)
    feed.pushes_sent += 1
    return RecordsPush(
        first_offset=action.from_version,
        records=_within_bytes(found),
        address=address,
        version=store.version,
    )


def _within_bytes(items: tuple[bytes, ...]) -> tuple[bytes, ...]:
    size = 0
    for index, data in enumerate(items):
        size += len(data)
        if index and size > PUSH_BYTES:
            return items[:index]
    return items
