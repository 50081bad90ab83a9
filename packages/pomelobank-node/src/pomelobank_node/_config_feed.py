"""Brings the configuration to this node and on to its peers."""

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

BLOCKED_PAUSE_MS = 5000
_MS_PER_S = 1000
_FLOOR_HEARTBEATS = 3
_CANCEL_AGAIN_S = 0.5


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
        rng: Source of randomness.
        passed_on: Version up to which peers were told.
        digests_sent: Digests sent, for the metrics.
        pushes_sent: Pushes of records sent, for the metrics.
        pulls_sent: Pulls sent, for the metrics.
        snapshots_sent: Snapshots sent to peers, for the metrics.
        pushes_useful: Pushes received that moved the version on.
        pushes_useless: Pushes received that the node had already.
        lag_ms: Time from its author's call until the newest change was in
            force here, by the clocks of two nodes.
        sends_failed: Frames that no peer took, for the metrics.
        bytes_sent: Bytes sent to peers by type of frame, for the metrics.
    """

    settings: NodeSettings
    log: Log
    store: ConfigStore
    members: MemberTable
    links: PeerLinks
    clock: Clock
    rng: random.Random = attrs.field(factory=random.Random)
    passed_on: int = 0
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
            _FLOOR_HEARTBEATS * distribution.heartbeat_ms
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
        """Whether the log looks up, from here or from what peers told."""
        return self.distribution.is_log_reachable(self.clock.now_ms())

    @property
    def log_state(self) -> str:
        """How the log looked last: up, down or behind."""
        if not self.log_up:
            return "down"
        return "behind" if self.reader.behind or self.store.blocked else "up"

    async def start(self) -> None:
        """Starts reading and telling peers."""
        for work in (
            self._read_log(),
            self._beat(),
            self._write_snapshots(),
        ):
            self.tasks.append(asyncio.create_task(work))

    async def stop(self) -> None:
        """Ends every task."""
        outboxes = [item.task for item in self.outboxes.values()]
        waiting = {task for task in (*self.tasks, *outboxes) if task}
        # A time-out of a call to the log that fires in the same instant as a
        # cancellation takes its place, and the task goes on. The node would
        # wait for it without end, so whatever still runs is cancelled again.
        while waiting:
            for task in waiting:
                task.cancel()
            _, waiting = await asyncio.wait(waiting, timeout=_CANCEL_AGAIN_S)

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
        return self.rng.randint(1, self.settings.distribution.heartbeat_ms)

    async def _read_once(self, wait_ms: int) -> None:
        try:
            await self.reader.read(wait_ms)
        except LogError as error:
            self.distribution.on_log_read_failed(self.clock.now_ms())
            _logger.warning("config.read_failed", extra={"error": str(error)})
        else:
            self._log_answered()
        self._advanced()

    def _log_answered(self) -> None:
        version, end = self.store.version, self.reader.end_offset
        self.distribution.on_log_read(self.clock.now_ms(), version >= end)
        self.min_serving_version.on_log_read(version, end)
        self._update_ready()

    def _update_ready(self) -> None:
        self.min_serving_version.on_version(self.distribution.known_version)
        now_ms = self.clock.now_ms()
        self.store.ready = self.min_serving_version.update(
            self.store.version, now_ms
        )

    def _advanced(self, source: str = "") -> None:
        # A read of the log may end after a peer brought the same records; what
        # was passed on once is not passed on again.
        before, version = self.passed_on, self.store.version
        if version > before:
            self.passed_on = version
            self._note_lag()
            _logger.info(
                "config.in_force",
                extra={"version": version, "at_ms": self.clock.wall_ms()},
            )
            self._do(self.distribution.on_applied(before, version, source))
            self._update_ready()

    def _note_lag(self) -> None:
        # Only a change that has just come tells how long changes take; what a
        # starting node catches up with is old.
        if self.store.ready and self.store.newest_change_at_ms:
            passed_ms = self.clock.wall_ms() - self.store.newest_change_at_ms
            self.lag_ms = max(0, passed_ms)

    async def _beat(self) -> None:
        heartbeat_ms = self.settings.distribution.heartbeat_ms
        while True:
            self.distribution.update_members(
                self.members.own, self.members.others.values()
            )
            self._update_ready()
            self._drop_idle_outboxes()
            self._do(self.distribution.heartbeat())
            # Jitter keeps the nodes of a herd from beating in step.
            await self._sleep(int(heartbeat_ms * self.rng.uniform(0.8, 1.2)))

    async def _write_snapshots(self) -> None:
        # In a task of its own: a log that does not answer would hold up the
        # heartbeats by which peers repair what they have missed.
        while True:
            await self.writer.write_if_due()
            await self._sleep(self.settings.distribution.heartbeat_ms)

    def receive(self, frame: WireMessage) -> None:
        """Takes a peer's frame about the configuration."""
        handle_frame(frame, self)

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

    def handle_records(self, push: RecordsPush) -> None:
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

    def handle_snapshot(self, push: SnapshotPush) -> None:
        """Takes over a snapshot that a peer sent."""
        try:
            record = decode(push.data, records.KINDS)
        except SchemaError as error:
            _logger.warning("config.bad_push", extra={"error": str(error)})
            return
        if isinstance(record, SnapshotRecord) and self.store.restore(record):
            self.writer.schedule.on_snapshot_age(
                push.logged_as_of, push.logged_age_ms, self.clock.now_ms()
            )
            self._advanced(push.address)

    def handle_digest(self, digest: VersionDigest) -> None:
        """Takes a peer's version."""
        now_ms = self.clock.now_ms()
        heard = max(digest.version, digest.heard_version)
        self.min_serving_version.on_peer_version(heard, digest.ready, now_ms)
        self._do(
            self.distribution.on_digest(digest, self.store.version, now_ms)
        )
        self._update_ready()

    def handle_pull(self, pull: RecordsPull) -> None:
        """Answers a peer that is behind."""
        if pull.address and pull.from_offset < self.store.version:
            self._do([PushRecords(pull.address, pull.from_offset)])
