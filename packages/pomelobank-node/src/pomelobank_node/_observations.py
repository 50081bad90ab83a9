"""Connects the list of metrics to the parts of a node."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import TYPE_CHECKING, Protocol

from pomelobank_core import TwoChoices
from pomelobank_node import _instruments as listed
from pomelobank_node._metrics import Instrument, Metrics, ValueCallback

if TYPE_CHECKING:
    from pomelobank_core import Clock, MemberTable
    from pomelobank_node._admin import AdminApi
    from pomelobank_node._claims import ClaimService
    from pomelobank_node._config_feed import ConfigFeed
    from pomelobank_node._config_store import ConfigStore
    from pomelobank_node._crash_reports import CrashReports
    from pomelobank_node._forwarder import Forwarder
    from pomelobank_node._log import Log
    from pomelobank_node._log_client import LogClient
    from pomelobank_node._membership import Membership
    from pomelobank_node._owner import Owner
    from pomelobank_node._peer_links import PeerLinks
    from pomelobank_node._peer_server import PeerServer
    from pomelobank_node._target_watch import TargetWatch
    from pomelobank_node.callers import Ingress
    from pomelobank_node.published import PublishedFeed, PublishedStore
    from pomelobank_schema.generated.settings import NodeSettings

Readings = Iterator[tuple[Instrument, ValueCallback]]


class ObservedNode(Protocol):
    """The parts that every node has, however it is assembled."""

    @property
    def table(self) -> MemberTable:
        """The members."""

    @property
    def membership(self) -> Membership:
        """What watches them."""

    @property
    def links(self) -> PeerLinks:
        """Streams to peers."""

    @property
    def peers(self) -> PeerServer:
        """Streams of peers."""

    @property
    def owner(self) -> Owner:
        """The own target's owner."""

    @property
    def target(self) -> TargetWatch:
        """The own target's state."""

    @property
    def forwarder(self) -> Forwarder:
        """What places requests."""

    @property
    def ingress(self) -> Ingress:
        """What answers callers."""

    @property
    def crash_reports(self) -> CrashReports:
        """Requests that crash targets."""


class ObservedSidecar(ObservedNode, Protocol):
    """The parts of a node on a platform."""

    @property
    def settings(self) -> NodeSettings:
        """Its settings."""

    @property
    def store(self) -> PublishedStore:
        """The configuration."""

    @property
    def feed(self) -> PublishedFeed:
        """What keeps it up to date."""

    @property
    def log(self) -> Log:
        """Where first contacts are announced."""


class ObservedApplication(ObservedNode, Protocol):
    """The parts of a node with the product's own log."""

    @property
    def store(self) -> ConfigStore:
        """The configuration."""

    @property
    def feed(self) -> ConfigFeed:
        """What keeps it up to date."""

    @property
    def log(self) -> LogClient:
        """The log."""

    @property
    def clock(self) -> Clock:
        """Tells the time."""

    @property
    def claims(self) -> ClaimService:
        """Idempotency keys."""

    @property
    def admin_api(self) -> AdminApi:
        """The target's announcements."""


def peer_bytes(node: ObservedNode) -> int:
    """Returns the bytes sent to peers so far."""
    return node.links.bytes_sent + node.peers.bytes_sent


def observe_sidecar(
    metrics: Metrics, node: ObservedSidecar, unwritten: ValueCallback
) -> None:
    """Adds every metric of a node on a platform.

    Args:
        metrics: Takes the instruments; not started yet.
        node: Whose parts are read.
        unwritten: Tells the lines that nobody read.
    """
    for readings in (
        _published(node),
        _first_contacts(node),
        _members(node),
        _target(node),
        _requests(node),
        _placing(node),
        _quarantine(node),
    ):
        for instrument, read in readings:
            metrics.observe(instrument, read)
    metrics.observe(listed.OUTPUT_DROPPED, unwritten)


def _published(node: ObservedSidecar) -> Readings:
    store, feed = node.store, node.feed
    yield listed.CONFIG_VERSION, lambda: store.version
    yield listed.CONFIG_READY, lambda: int(store.ready)
    yield listed.CONFIG_APPLIED, lambda: store.applied
    yield listed.CONFIG_UNREADABLE, lambda: store.unreadable
    yield listed.CONFIG_READER, lambda: int(feed.is_reader())
    yield listed.SOURCE_UP, lambda: int(feed.source_up)
    yield listed.SOURCE_READS, lambda: feed.reads


def observe_node(metrics: Metrics, node: ObservedApplication) -> None:
    """Adds every metric of a node.

    Args:
        metrics: Takes the instruments; not started yet.
        node: Whose parts are read.
    """
    for readings in (
        _configuration(node),
        _distribution(node),
        _log(node),
        _members(node),
        _target(node),
        _requests(node),
        _placing(node),
        _quarantine(node),
        _claims(node),
    ):
        for instrument, read in readings:
            metrics.observe(instrument, read)
    pages = node.admin_api
    metrics.observe(listed.BAD_ANNOUNCEMENTS, lambda: pages.bad_announcements)


def _configuration(node: ObservedApplication) -> Readings:
    store = node.store
    yield listed.CONFIG_VERSION, lambda: store.version
    yield listed.CONFIG_BLOCKED, lambda: int(store.blocked)
    yield listed.CONFIG_READY, lambda: int(store.ready)
    yield listed.CONFIG_APPLIED, lambda: store.applied
    yield listed.CONFIG_UNREADABLE, lambda: store.unreadable


def _distribution(node: ObservedApplication) -> Readings:
    feed, clock = node.feed, node.clock
    plan = feed.distribution
    yield listed.CONFIG_LOG_AGE, lambda: plan.log_age_ms(clock.now_ms())
    yield listed.CONFIG_LAG, lambda: feed.lag_ms
    yield listed.CONFIG_READER, lambda: int(plan.neighbours.is_reader)
    yield listed.CONFIG_BYTES_SENT, lambda: feed.bytes_sent
    yield listed.CONFIG_SENDS_FAILED, lambda: feed.sends_failed
    yield listed.CONFIG_USEFUL, lambda: feed.pushes_useful
    yield listed.CONFIG_USELESS, lambda: feed.pushes_useless
    yield listed.CONFIG_SNAPSHOTS, lambda: feed.writer.written


def _log(node: ObservedApplication) -> Readings:
    log, feed = node.log, node.feed
    yield listed.LOG_UP, lambda: int(feed.log_up)
    yield listed.LOG_READS, lambda: log.reads
    yield listed.LOG_APPENDS, lambda: log.appends
    yield listed.LOG_BYTES_READ, lambda: log.bytes_read


def _first_contacts(node: ObservedSidecar) -> Readings:
    log, feed = node.log, node.feed
    yield listed.LOG_UP, lambda: int(feed.source_up)
    yield listed.LOG_READS, lambda: log.reads
    yield listed.LOG_APPENDS, lambda: log.appends


def _members(node: ObservedNode) -> Readings:
    table, swim = node.table, node.membership.swim
    yield (
        listed.MEMBERS,
        lambda: Counter(entry.state for entry in table.all()),
    )
    yield listed.MEMBERS_SUSPECTED, lambda: swim.suspected
    yield listed.MEMBERS_REFUTED, lambda: table.refutations
    yield listed.MEMBERS_PAUSES, lambda: swim.pauses
    yield listed.PEER_BYTES_SENT, lambda: peer_bytes(node)
    yield listed.PEER_LATE_FRAMES, lambda: node.links.late_replies
    yield listed.PEER_REFUSED_STREAMS, lambda: node.peers.rejected_streams


def _target(node: ObservedNode) -> Readings:
    owner, gate = node.owner, node.owner.admission_queue
    admission = gate.admission
    yield listed.REQUESTS_IN_FLIGHT, lambda: owner.in_flight
    yield (
        listed.TARGET_SLOTS,
        lambda: owner.target.slots if owner.target else 0,
    )
    yield listed.TARGET_WAITING, lambda: admission.waiting
    yield listed.TARGET_WAITS, lambda: gate.wait_count
    yield listed.TARGET_WAITED, lambda: gate.total_wait_ms
    yield listed.TARGET_LIMIT, lambda: admission.limit.current
    yield listed.TARGET_REFUSED, lambda: admission.rejected
    yield listed.TARGET_EXPIRED, lambda: admission.expired
    yield listed.TARGET_DECLINED, lambda: admission.declined
    yield listed.TARGET_CRASHES, lambda: owner.crash_detector.crashes
    yield listed.TARGET_LAPSES, lambda: node.target.lease.lapses


def _requests(node: ObservedNode) -> Readings:
    budgets = node.forwarder.retries.budgets
    ingress, forwarder = node.ingress, node.forwarder
    yield listed.REQUESTS, lambda: ingress.outcomes
    yield listed.LATENCY, ingress.latency.cumulative
    yield listed.LATENCY_SUM, lambda: ingress.latency.sum_ms
    yield listed.HEDGED, lambda: forwarder.hedged
    yield listed.HEDGES_WON, lambda: forwarder.hedges_won
    yield listed.LINES_DROPPED, lambda: ingress.log_limiter.dropped_total
    yield listed.TURNED_AWAY, lambda: node.forwarder.rejected
    yield (
        listed.RETRIES,
        lambda: {name: item.spent for name, item in budgets.items()},
    )
    yield (
        listed.RETRIES_DENIED,
        lambda: {name: item.denied for name, item in budgets.items()},
    )


def _placing(node: ObservedNode) -> Readings:
    placing = node.forwarder.load_balancer
    if isinstance(placing, TwoChoices):
        yield listed.EJECTIONS, lambda: placing.ejections
        yield listed.SPILLS, lambda: placing.overflows


def _quarantine(node: ObservedNode) -> Readings:
    reports = node.crash_reports
    yield listed.SUSPECT_REQUESTS, lambda: len(reports.table.entries)
    yield listed.QUARANTINE_REFUSED, lambda: reports.rejected


def _claims(node: ObservedApplication) -> Readings:
    claims = node.claims
    yield listed.CLAIM_KEYS, lambda: claims.keys
    yield listed.CLAIMS_FORWARDED, lambda: claims.forwarded
    yield listed.CLAIMS_REFUSED, lambda: claims.rejected
    yield listed.CLAIM_ANSWER_SIZE, lambda: claims.responses.stored_bytes
