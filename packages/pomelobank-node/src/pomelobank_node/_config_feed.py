"""Reads the configuration from the log and distributes it among peers."""

import asyncio
import logging
import random
from collections import Counter

import attrs

from pomelobank_core import (
    Clock,
    Distribution,
    MemberTable,
    MinServingVersion,
    PullRecords,
    PushRecords,
    SendDigest,
    SnapshotSchedule,
)
from pomelobank_node._config_frames import handle_frame, make_frame
from pomelobank_node._config_outbox import Outbox
from pomelobank_node._config_store import ConfigStore
from pomelobank_node._log import Log, LogError
from pomelobank_node._log_reader import LogReader
from pomelobank_node._long_lived import start_long_lived
from pomelobank_node._peer_links import PeerLinks
from pomelobank_node._snapshot_writer import SnapshotWriter
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

# Pause between reads of the log while an unknown or a trimmed record keeps the
# node from following the log.
BLOCKED_READ_PAUSE_MS = 5000
_MS_PER_S = 1000
# Time, in heartbeats, for which a starting node gathers its peers' versions
# while the log does not answer; see MinServingVersion.
_SETTLE_HEARTBEATS = 3
# Wait for cancelled tasks to end before `stop` cancels them again.
_CANCEL_RETRY_S = 0.5


@attrs.define(eq=False, slots=False)
class ConfigFeed:
    """Keeps the store up to date from the log and from peers.

    Attributes:
        settings: The node's settings.
        log: Client of the log.
        store: The configuration store that the feed updates.
        members: The members known to this node.
        links: Streams to peers.
        clock: Monotonic and wall clock.
        rng: Source of randomness.
        published_version: Newest version that this node sent to peers.
        digests_sent: Digests sent, for the metrics.
        pushes_sent: Pushes of records sent, for the metrics.
        pulls_sent: Pulls sent, for the metrics.
        snapshots_sent: Snapshots sent to peers, for the metrics.
        pushes_useful: Pushes received that advanced the version.
        pushes_useless: Pushes received whose records the node already had.
        lag_ms: Time from the author's request for the newest change until the
            change was in force on this node, by the clocks of two nodes.
        sends_failed: Frames that could not be sent to a peer, for the metrics.
        bytes_sent: Bytes sent to peers by type of frame, for the metrics.
        outboxes: The outbox of each peer, by address.
    """

    settings: NodeSettings
    log: Log
    store: ConfigStore
    members: MemberTable
    links: PeerLinks
    clock: Clock
    rng: random.Random = attrs.field(factory=random.Random)
    published_version: int = 0
    digests_sent: int = 0
    pushes_sent: int = 0
    pulls_sent: int = 0
    snapshots_sent: int = 0
    pushes_useful: int = 0
    pushes_useless: int = 0
    lag_ms: int = 0
    sends_failed: int = 0
    bytes_sent: Counter[str] = attrs.field(factory=Counter)
    outboxes: dict[str, Outbox] = attrs.field(factory=dict)
    tasks: list[asyncio.Task[None]] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        distribution = self.settings.distribution
        self.reader = LogReader(self.log, self.store)
        self.distribution = Distribution(
            distribution, self.settings.log.long_poll_ms, self.rng
        )
        self.min_serving_version = MinServingVersion(
            _SETTLE_HEARTBEATS * distribution.heartbeat_ms
        )
        schedule = SnapshotSchedule(
            self.settings.snapshots, self.settings.node, self.rng
        )
        self.writer = SnapshotWriter(
            schedule, self.store, self.log, self.members, self.clock
        )
        self.store.on_snapshot = self.writer.on_snapshot

    @property
    def log_up(self) -> bool:
        """Whether the log is reachable, by own reads or peers' reports."""
        return self.distribution.is_log_reachable(self.clock.now_ms())

    @property
    def log_state(self) -> str:
        """The last known state of the log: up, down or behind."""
        if not self.log_up:
            return "down"
        return "behind" if self.reader.behind or self.store.blocked else "up"

    async def start(self) -> None:
        """Starts the tasks that read the log and send to peers."""
        for name, work in (
            ("log-reader", self._read_log),
            ("heartbeats", self._run_heartbeats),
            ("snapshots", self._write_snapshots),
        ):
            self.tasks.append(start_long_lived(work, name))

    async def stop(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        outboxes = [item.task for item in self.outboxes.values()]
        running = {task for task in (*self.tasks, *outboxes) if task}
        # When a time-out of a call to the log fires together with a
        # cancellation, the time-out can swallow the cancellation and the task
        # goes on. Waiting for that task would block the node's stop without
        # end, so tasks that still run are cancelled again.
        while running:
            for task in running:
                task.cancel()
            _, running = await asyncio.wait(running, timeout=_CANCEL_RETRY_S)

    async def catch_up(self) -> None:
        """Reads the log to its end.

        Raises:
            LogError: If the log did not answer or the node cannot reach the
                log's end.
        """
        try:
            await self.reader.read_to_end()
        finally:
            self._publish_new_version()
        self._on_log_read()

    async def _read_log(self) -> None:
        await self._sleep(self._first_read_delay_ms())
        while True:
            plan = self.distribution.next_read(self.clock.now_ms())
            if plan.pause_ms:
                await self._sleep(plan.pause_ms)
                continue
            await self._read_once(plan.wait_ms)
            if self.store.blocked or self.reader.behind:
                await self._sleep(BLOCKED_READ_PAUSE_MS)

    def _first_read_delay_ms(self) -> int:
        # Nodes that start together know no members yet, so each takes itself
        # for a reader. A short random wait lets most of them learn of other
        # members before they read the log.
        return self.rng.randint(1, self.settings.distribution.heartbeat_ms)

    async def _read_once(self, wait_ms: int) -> None:
        try:
            await self.reader.read(wait_ms)
        except LogError as error:
            self.distribution.on_log_read_failed(self.clock.now_ms())
            _logger.warning("config.read_failed", extra={"error": str(error)})
        else:
            self._on_log_read()
        self._publish_new_version()

    def _on_log_read(self) -> None:
        version, end_offset = self.store.version, self.reader.end_offset
        self.distribution.on_log_read(
            self.clock.now_ms(), version >= end_offset
        )
        self.min_serving_version.on_log_read(version, end_offset)
        self._update_ready()

    def _update_ready(self) -> None:
        self.min_serving_version.on_version(self.distribution.known_version)
        now_ms = self.clock.now_ms()
        self.store.ready = self.min_serving_version.update(
            self.store.version, now_ms
        )

    def _publish_new_version(self, source: str = "") -> None:
        # A read of the log may end after a peer has pushed the same records.
        # Comparing with `published_version` keeps the node from sending those
        # records to its peers twice.
        previous_version, version = self.published_version, self.store.version
        if version > previous_version:
            self.published_version = version
            self._update_lag()
            _logger.info(
                "config.in_force",
                extra={"version": version, "at_ms": self.clock.wall_ms()},
            )
            self._queue_actions(
                self.distribution.on_applied(previous_version, version, source)
            )
            self._update_ready()

    def _update_lag(self) -> None:
        # A node that is starting applies old changes, whose age does not tell
        # how long a change takes to arrive. So only a node that serves callers
        # measures the lag.
        if self.store.ready and self.store.newest_change_at_ms:
            elapsed_ms = self.clock.wall_ms() - self.store.newest_change_at_ms
            self.lag_ms = max(0, elapsed_ms)

    async def _run_heartbeats(self) -> None:
        heartbeat_ms = self.settings.distribution.heartbeat_ms
        while True:
            self.distribution.update_members(
                self.members.own, self.members.others.values()
            )
            self._update_ready()
            self._drop_idle_outboxes()
            self._queue_actions(self.distribution.heartbeat())
            # Jitter keeps nodes that started together from sending their
            # heartbeats at the same time.
            await self._sleep(int(heartbeat_ms * self.rng.uniform(0.8, 1.2)))

    async def _write_snapshots(self) -> None:
        # Snapshots have a task of their own, since a log that does not answer
        # would otherwise delay the heartbeats by which peers find out which
        # records they lack.
        while True:
            await self.writer.write_if_due()
            await self._sleep(self.settings.distribution.heartbeat_ms)

    def receive(self, frame: WireMessage) -> None:
        """Handles a peer's frame about the configuration."""
        handle_frame(frame, self)

    def _queue_actions(
        self, actions: list[PushRecords | SendDigest | PullRecords]
    ) -> None:
        for action in actions:
            self.outbox(action.address).put(action)

    def outbox(self, address: str) -> Outbox:
        """Returns the outbox of a peer, created on first use."""
        outbox = self.outboxes.get(address)
        if outbox is None:
            outbox = self.outboxes[address] = Outbox(address, self._send)
        return outbox

    def _drop_idle_outboxes(self) -> None:
        # A peer has a new address after each restart, so outboxes of old
        # addresses would accumulate.
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

    def handle_records(self, push: RecordsPush) -> None:
        """Applies records that a peer pushed and pulls missing ones."""
        previous_version = self.store.version
        for index, data in enumerate(push.records):
            self.store.apply(push.first_offset + index, data)
        if self.store.version > previous_version:
            self.pushes_useful += 1
            self._publish_new_version(push.address)
        else:
            self.pushes_useless += 1
        self._pull_missing_records(push)

    def _pull_missing_records(self, push: RecordsPush) -> None:
        # A pull is needed if records are missing before the pushed ones, or if
        # the peer has more records than fit into one push.
        last = push.first_offset + len(push.records)
        has_gap = push.first_offset > self.store.version
        is_truncated = last == self.store.version and last < push.version
        if (
            (has_gap or is_truncated)
            and push.address
            and not self.store.blocked
        ):
            self._queue_actions([PullRecords(push.address, push.version, 0)])

    def handle_snapshot(self, push: SnapshotPush) -> None:
        """Restores a snapshot that a peer pushed, if it is newer."""
        try:
            record = decode(push.data, records.KINDS)
        except SchemaError as error:
            _logger.warning("config.bad_push", extra={"error": str(error)})
            return
        if isinstance(record, SnapshotRecord) and self.store.restore(record):
            self.writer.schedule.on_snapshot_age(
                push.logged_as_of, push.logged_age_ms, self.clock.now_ms()
            )
            self._publish_new_version(push.address)

    def handle_digest(self, digest: VersionDigest) -> None:
        """Handles a peer's version digest."""
        now_ms = self.clock.now_ms()
        known_version = max(digest.version, digest.heard_version)
        self.min_serving_version.on_peer_version(
            known_version, digest.ready, now_ms
        )
        self._queue_actions(
            self.distribution.on_digest(digest, self.store.version, now_ms)
        )
        self._update_ready()

    def handle_pull(self, pull: RecordsPull) -> None:
        """Sends records to a peer that has an older version."""
        if pull.address and pull.from_offset < self.store.version:
            self._queue_actions([PushRecords(pull.address, pull.from_offset)])
