"""Frames about the configuration: who handles them and what is in them."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from pomelobank_core import PullRecords, PushRecords, SendDigest
from pomelobank_schema import WireMessage
from pomelobank_schema.generated.peer import (
    RecordsPull,
    RecordsPush,
    SnapshotPush,
    VersionDigest,
)

if TYPE_CHECKING:
    from pomelobank_node._config_feed import ConfigFeed

# Most records of one push, and their bytes: a peer that is far behind gets
# them in parts, between which its requests go on.
PUSH_LIMIT = 50
PUSH_BYTES = 256 * 1024


@functools.singledispatch
def take_frame(frame: WireMessage, feed: ConfigFeed) -> None:
    """Hands a frame to the feed; others are ignored."""


@take_frame.register(RecordsPush)
def _(frame: RecordsPush, feed: ConfigFeed) -> None:
    feed.take_records(frame)


@take_frame.register(SnapshotPush)
def _(frame: SnapshotPush, feed: ConfigFeed) -> None:
    feed.take_snapshot(frame)


@take_frame.register(VersionDigest)
def _(frame: VersionDigest, feed: ConfigFeed) -> None:
    feed.take_digest(frame)


@take_frame.register(RecordsPull)
def _(frame: RecordsPull, feed: ConfigFeed) -> None:
    feed.take_pull(frame)


@functools.singledispatch
def make_frame(action: object, feed: ConfigFeed) -> WireMessage | None:
    """Builds the frame of an action from the node's present state."""
    raise TypeError(f"no frame for {type(action).__name__}")


@make_frame.register(SendDigest)
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


@make_frame.register(PullRecords)
def _(action: PullRecords, feed: ConfigFeed) -> WireMessage | None:
    if feed.store.version >= action.version:
        return None
    feed.pulls_sent += 1
    return RecordsPull(
        from_offset=feed.store.version,
        limit=PUSH_LIMIT,
        address=feed.members.own.peer_address,
    )


@make_frame.register(PushRecords)
def _(action: PushRecords, feed: ConfigFeed) -> WireMessage | None:
    store = feed.store
    if action.from_version >= store.version:
        return None
    address = feed.members.own.peer_address
    found = store.recent.since(action.from_version, PUSH_LIMIT)
    if not found:
        feed.snapshots_sent += 1
        data = store.whole(feed.settings.node, feed.clock.wall_ms())
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
