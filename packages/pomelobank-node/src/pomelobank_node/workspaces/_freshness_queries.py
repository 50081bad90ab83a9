"""Queries peers for the age of their knowledge of the source."""

from __future__ import annotations

import asyncio
import logging
import os
import random
from typing import TYPE_CHECKING

import attrs

from pomelobank_core import ReadingRole
from pomelobank_core.workspaces import (
    NEVER_KNOWN_MS,
    ConfigFreshness,
    FreshnessSchedule,
    QueryScope,
)
from pomelobank_node._long_lived import start_long_lived
from pomelobank_schema.generated.peer import (
    FreshnessQuery,
    FreshnessReply,
    MemberEntry,
)
from pomelobank_schema.generated.settings import WorkspaceSettings

if TYPE_CHECKING:
    from pomelobank_node.published import PublishedFeed

_logger = logging.getLogger(__name__)

# Bounds of the pause between two checks whether a query or a read is due. The
# node's role and the age of its knowledge may change during a pause.
_MIN_PAUSE_MS = 10
_MAX_PAUSE_MS = 300
_MS_PER_S = 1000
# Length of the random number of the first query. A reply to an earlier process
# of this node may arrive late; a random start makes sure that no query of this
# process has the same number. The numbers stay below 2**63.
_FIRST_ID_BYTES = 7


def _first_id() -> int:
    # The `secrets` module would load OpenSSL, which takes megabytes.
    return int.from_bytes(os.urandom(_FIRST_ID_BYTES), "big")


@attrs.define(eq=False)
class FreshnessQueries:
    """Keeps the age of the node's knowledge of the source low.

    It runs only where the settings request strict revocation and the
    configuration in force names workspaces. Followers query the relay of their
    data centre, relays that do not read query a reader; so the number of reads
    of the source does not grow with the number of nodes.

    Attributes:
        feed: Reads the source and distributes configurations.
        freshness: What this node knows, and whether it accepts keys.
        rng: Selects the peers to query.
        schedule: Schedules queries and reads; None while it does not run.
        last_id: Number of the last query.
        task: Sends queries; None before the start.
        fresh: Whether keys were accepted at the last check; None before.
        queries_sent: Queries sent to peers, for the metrics.
        rejected: Requests whose key was not accepted, for the metrics.
    """

    feed: PublishedFeed
    freshness: ConfigFreshness
    rng: random.Random = attrs.field(factory=random.Random)
    schedule: FreshnessSchedule | None = None
    last_id: int = attrs.field(factory=_first_id)
    task: asyncio.Task[None] | None = None
    fresh: bool | None = None
    queries_sent: int = 0
    rejected: int = 0

    def __attrs_post_init__(self) -> None:
        self.feed.on_read.append(self.freshness.on_read)

    @classmethod
    def of(
        cls, feed: PublishedFeed, settings: WorkspaceSettings
    ) -> FreshnessQueries:
        """Creates the queries of a node with these settings."""
        revoke_ms = int(settings.revoke_ms) if settings.strict_revoke else 0
        return cls(feed, ConfigFreshness(revoke_ms))

    @property
    def enabled(self) -> bool:
        """Whether the age of the node's knowledge matters."""
        workspaces = self.feed.store.config.workspaces
        return bool(self.freshness.revoke_ms) and workspaces.enabled

    async def start(self) -> None:
        """Starts to query peers if the settings request strict revocation."""
        if self.freshness.revoke_ms:
            self.task = start_long_lived(self._run, "freshness")

    async def stop(self) -> None:
        """Stops querying."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    # The interface `KeyFreshness`.

    def accepts_keys(self, now_ms: int) -> bool:
        """Returns whether a request with a valid key may run."""
        accepted = self.freshness.accepts_keys(now_ms)
        self.rejected += not accepted
        return accepted

    def retry_after_ms(self, now_ms: int) -> int:
        """Returns the delay after which keys are probably accepted again."""
        return self.freshness.retry_after_ms(now_ms)

    def known_age_ms(self) -> int:
        """Returns the age of the node's knowledge in ms; -1 if it has none."""
        age_ms = self.freshness.age_ms(self.feed.clock.now_ms())
        return NEVER_KNOWN_MS if age_ms is None else age_ms

    # Queries and reads.

    async def _run(self) -> None:
        while True:
            # A new configuration may name workspaces for the first time, or may
            # be the version of a reply that does not count yet.
            changed = self.feed.store.changed
            pause_ms = self.tick()
            timeout_s = None if pause_ms is None else pause_ms / _MS_PER_S
            try:
                async with asyncio.timeout(timeout_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def tick(self) -> float | None:
        """Sends a query and requests a read if they are due.

        Returns:
            The pause in ms until the next check; None until the configuration
            changes.
        """
        feed = self.feed
        self.freshness.on_version(feed.store.version)
        if not self.enabled:
            self.schedule = self.fresh = None
            return None
        now_ms = feed.clock.now_ms()
        if self.schedule is None:
            self.schedule = FreshnessSchedule(
                self.freshness, self.rng.random(), now_ms
            )
        role = feed.order.role(now_ms)
        scope = self.schedule.next_query(role, now_ms)
        for entry in self._queried(scope, role, now_ms):
            self._send_query(entry)
        if self.schedule.must_read(role, now_ms):
            feed.request_read()
        self._log_change(now_ms)
        pause_ms = self.schedule.due_ms(role, now_ms) - now_ms
        return min(max(pause_ms, _MIN_PAUSE_MS), _MAX_PAUSE_MS)

    def _queried(
        self, scope: QueryScope, role: ReadingRole, now_ms: int
    ) -> list[MemberEntry]:
        if scope is QueryScope.NONE:
            return []
        if role is ReadingRole.FOLLOWER:
            queried = [self.feed.order.local_relay(now_ms)]
        else:
            queried = self._one_of(self.feed.order.readers(now_ms))
        if scope is QueryScope.WIDE or not queried:
            publisher = self.feed.publisher
            # A data centre may be cut off from the source as a whole, so one
            # of the peers is in another data centre.
            queried += self._one_of(publisher.healthy_local_members())
            queried += self._one_of(publisher.remote_members())
        return list({entry.node: entry for entry in queried}.values())

    def _one_of(self, entries: list[MemberEntry]) -> list[MemberEntry]:
        own = self.feed.members.own
        others = [entry for entry in entries if entry is not own]
        return [self.rng.choice(others)] if others else []

    def _send_query(self, entry: MemberEntry) -> None:
        self.last_id += 1
        self.queries_sent += 1
        self.freshness.on_query(self.last_id, self.feed.clock.now_ms())
        query = FreshnessQuery(
            query_id=self.last_id,
            address=self.feed.members.own.peer_address,
        )
        self.feed.publisher.post(entry.peer_address, query)

    def _log_change(self, now_ms: int) -> None:
        fresh = self.freshness.accepts_keys(now_ms)
        if fresh == self.fresh:
            return
        self.fresh = fresh
        _logger.log(
            logging.INFO if fresh else logging.WARNING,
            "keys.accepted" if fresh else "keys.rejected",
            extra={
                "age_ms": self.freshness.age_ms(now_ms),
                "version": self.feed.store.version,
                "source_up": self.feed.source_up,
            },
        )

    # Frames from peers.

    def receive_query(self, frame: FreshnessQuery) -> None:
        """Replies with the age of this node's knowledge."""
        feed = self.feed
        # A version that has just come into force may make an earlier reply
        # count.
        self.freshness.on_version(feed.store.version)
        reply = FreshnessReply(
            query_id=frame.query_id,
            version=feed.store.version,
            age_ms=self.freshness.reply_age_ms(feed.clock.now_ms()),
            log_era=feed.era.number,
            address=feed.members.own.peer_address,
        )
        feed.publisher.post(frame.address, reply)

    def receive_reply(self, frame: FreshnessReply) -> None:
        """Counts a peer's reply; fetches the peer's version if it is newer."""
        feed = self.feed
        if not feed.era.advance(frame.log_era):
            # The peer has not learned that the source came back from an older
            # copy, so its reads may be of the lost records.
            return
        version = feed.store.version
        counted = self.freshness.on_reply(
            frame.query_id, frame.version, frame.age_ms, version
        )
        if counted and self.schedule is not None:
            self.schedule.on_reply()
        if frame.version > version:
            feed.fetch_version(frame.version, frame.address, 0)
