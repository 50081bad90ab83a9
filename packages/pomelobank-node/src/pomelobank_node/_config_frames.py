"""Builds and dispatches the peer frames that carry the configuration."""

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

# Limits of one push, in records and in bytes of records. A peer that is far
# behind gets its records in several pushes, between which the stream carries
# requests.
MAX_PUSH_RECORDS = 50
MAX_PUSH_BYTES = 256 * 1024


class FeedState(Protocol):
    """The feed as the functions of this module use it.

    Attributes:
        settings: The node's settings.
        store: The configuration store.
        members: The members known to this node.
        clock: Monotonic and wall clock.
        distribution: Decides which frames go to which peers.
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
        """Applies records that a peer pushed."""

    def handle_snapshot(self, push: SnapshotPush) -> None:
        """Restores a snapshot that a peer pushed."""

    def handle_digest(self, digest: VersionDigest) -> None:
        """Handles a peer's version digest."""

    def handle_pull(self, pull: RecordsPull) -> None:
        """Sends records to a peer that has an older version."""


@functools.singledispatch
def handle_frame(frame: WireMessage, feed: FeedState) -> None:
    """Dispatches a frame to the feed by type; ignores other types."""


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
    """Builds the frame of an action from the node's current state.

    Returns:
        The frame, None if the state has made the action obsolete.

    Raises:
        TypeError: If no frame exists for this type of action.
    """
    raise TypeError(
        f"no configuration frame for actions of type {type(action).__name__}"
    )


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
        limit=MAX_PUSH_RECORDS,
        address=feed.members.own.peer_address,
    )


@make_frame.register(PushRecords)
def _(action: PushRecords, feed: FeedState) -> WireMessage | None:
    store = feed.store
    if action.from_version >= store.version:
        return None
    address = feed.members.own.peer_address
    pushed_records = store.recent.since(action.from_version, MAX_PUSH_RECORDS)
    if not pushed_records:
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
        records=_limit_bytes(pushed_records),
        address=address,
        version=store.version,
    )


def _limit_bytes(pushed_records: tuple[bytes, ...]) -> tuple[bytes, ...]:
    size_bytes = 0
    for index, data in enumerate(pushed_records):
        size_bytes += len(data)
        if index and size_bytes > MAX_PUSH_BYTES:
            return pushed_records[:index]
    return pushed_records
