"""Frames about the configuration: who handles them and what is in them."""

from __future__ import annotations

import functools
from typing import Protocol

from pomelobank_core import (
    Clock,
    Distribution,
    MemberTable,
    PullRecords,
    PushRecords,
    SendDigest,
)
from pomelobank_node._config_store import ConfigStore
from pomelobank_node._snapshot_writer import SnapshotWriter
from pomelobank_schema import WireMessage
from pomelobank_schema.generated.peer import (
    RecordsPull,
    RecordsPush,
    SnapshotPush,
    VersionDigest,
)
from pomelobank_schema.generated.settings import NodeSettings

# Most records of one push, and their bytes: a peer that is far behind gets
# them in parts, between which its requests go on.
PUSH_LIMIT = 50
PUSH_BYTES = 256 * 1024


class FeedState(Protocol):
    """What frames are made of, and what takes them.

    Attributes:
        settings: The node's settings.
        store: The configuration.
        members: The members that the node knows.
        clock: Tells the time.
        distribution: Decides what to tell whom.
        writer: Writes snapshots.
        digests_sent: Digests sent, for the metrics.
        pulls_sent: Pulls sent, for the metrics.
        pushes_sent: Pushes of records sent, for the metrics.
        snapshots_sent: Snapshots sent to peers, for the metrics.
    """

    settings: NodeSettings
    store: ConfigStore
    members: MemberTable
    clock: Clock
    distribution: Distribution
    writer: SnapshotWriter
    digests_sent: int
    pulls_sent: int
    pushes_sent: int
    snapshots_sent: int

    def handle_records(self, push: RecordsPush) -> None:
        """Takes records that a peer sent."""

    def handle_snapshot(self, push: SnapshotPush) -> None:
        """Takes a snapshot that a peer sent."""

    def handle_digest(self, digest: VersionDigest) -> None:
        """Takes a peer's version."""

    def handle_pull(self, pull: RecordsPull) -> None:
        """Answers a peer that lacks records."""


@functools.singledispatch
def handle_frame(frame: WireMessage, feed: FeedState) -> None:
    """Hands a frame to the feed; others are ignored."""


@handle_frame.register(RecordsPush)
def _(frame: RecordsPush, feed: FeedState) -> None:
    feed.handle_records(frame)


@handle_frame.register(SnapshotPush)
def _(frame: SnapshotPush, feed: FeedState) -> None:
    feed.handle_snapshot(frame)


@handle_frame.register(VersionDigest)
def _(frame: VersionDigest, feed: FeedState) -> None:
    feed.handle_digest(frame)


@handle_frame.register(RecordsPull)
def _(frame: RecordsPull, feed: FeedState) -> None:
    feed.handle_pull(frame)


@functools.singledispatch
def make_frame(action: object, feed: FeedState) -> WireMessage | None:
    """Builds the frame of an action from the node's present state."""
    raise TypeError(f"no frame for {type(action).__name__}")


@make_frame.register(SendDigest)
def _(action: SendDigest, feed: FeedState) -> WireMessage | None:
    feed.digests_sent += 1
    version = feed.store.version
    return VersionDigest(
        version=version,
        next_offset=version,
        address=feed.members.own.peer_address,
        heard_version=max(version, feed.distribution.known_version),
        log_age_ms=feed.distribution.log_age_ms(feed.clock.now_ms()),
        heartbeat=action.heartbeat,
        ready=feed.store.ready,
    )


@make_frame.register(PullRecords)
def _(action: PullRecords, feed: FeedState) -> WireMessage | None:
    if feed.store.version >= action.version:
        return None
    feed.pulls_sent += 1
    return RecordsPull(
        from_offset=feed.store.version,
        limit=PUSH_LIMIT,
        address=feed.members.own.peer_address,
    )


@make_frame.register(PushRecords)
def _(action: PushRecords, feed: FeedState) -> WireMessage | None:
    store = feed.store
    if action.from_version >= store.version:
        return None
    address = feed.members.own.peer_address
    found = store.recent.since(action.from_version, PUSH_LIMIT)
    if not found:
        feed.snapshots_sent += 1
        data = store.encoded_snapshot(feed.settings.node, feed.clock.wall_ms())
        return SnapshotPush(
            data=data,
            address=address,
            logged_as_of=feed.writer.schedule.as_of,
            logged_age_ms=feed.writer.age_ms(),
        )
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
