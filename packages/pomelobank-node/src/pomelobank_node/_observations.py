"""Connects the metric definitions to the components of a node."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import TYPE_CHECKING, Protocol

from pomelobank_core import TwoChoices
from pomelobank_node import _instruments as instruments
from pomelobank_node._event_loop import running_monitor
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
    from pomelobank_node.buffering import BufferManager
    from pomelobank_node.callers import CallerServer, Ingress
    from pomelobank_node.published import PublishedFeed, PublishedStore
    from pomelobank_node.rollouts import Exposure, RolloutService
    from pomelobank_node.workspaces import (
        FreshnessQueries,
        LeasedUsageCaps,
        WorkspaceGate,
    )
    from pomelobank_schema.generated.settings import NodeSettings

Readings = Iterator[tuple[Instrument, ValueCallback]]


class ObservedNode(Protocol):
    """The components that every kind of node has."""

    @property
    def table(self) -> MemberTable:
        """Membership table of the mesh."""

    @property
    def membership(self) -> Membership:
        """Detects failures and updates the membership table."""

    @property
    def links(self) -> PeerLinks:
        """Outgoing streams to peers."""

    @property
    def peers(self) -> PeerServer:
        """Incoming streams from peers."""

    @property
    def owner(self) -> Owner:
        """Runs requests on the node's own target."""

    @property
    def target(self) -> TargetWatch:
        """Tracks the state of the node's own target."""

    @property
    def forwarder(self) -> Forwarder:
        """Chooses targets and forwards requests to them."""

    @property
    def ingress(self) -> Ingress:
        """Serves callers' requests."""

    @property
    def http(self) -> CallerServer:
        """Accepts callers' connections."""

    @property
    def buffers(self) -> BufferManager:
        """Books what clients and peers make the node hold."""

    @property
    def gate(self) -> WorkspaceGate:
        """Checks API keys and usage caps."""

    @property
    def crash_reports(self) -> CrashReports:
        """Quarantines requests that crash targets."""


class ObservedSidecar(ObservedNode, Protocol):
    """The components of a node on a platform."""

    @property
    def settings(self) -> NodeSettings:
        """The node's settings."""

    @property
    def store(self) -> PublishedStore:
        """Holds the configuration in force."""

    @property
    def feed(self) -> PublishedFeed:
        """Reads published configurations into the store."""

    @property
    def freshness(self) -> FreshnessQueries:
        """Bounds the age of the configuration whose keys are accepted."""

    @property
    def log(self) -> Log:
        """Log in which nodes announce themselves as first contacts."""

    @property
    def usage_caps(self) -> LeasedUsageCaps:
        """Limits the rates of workspaces."""

    @property
    def exposure(self) -> Exposure:
        """Bounds the requests sent to unproven revisions."""

    @property
    def rollouts(self) -> RolloutService | None:
        """Judges and ends roll-outs; None if revisions are not told apart."""


class ObservedApplication(ObservedNode, Protocol):
    """The components of a node that uses the product's own log."""

    @property
    def store(self) -> ConfigStore:
        """Holds the configuration in force."""

    @property
    def feed(self) -> ConfigFeed:
        """Reads configuration changes into the store."""

    @property
    def log(self) -> LogClient:
        """Client of the log."""

    @property
    def clock(self) -> Clock:
        """Provides the current time."""

    @property
    def claims(self) -> ClaimService:
        """Handles requests with an idempotency key."""

    @property
    def admin_api(self) -> AdminApi:
        """Receives the target's announcements."""


def peer_bytes(node: ObservedNode) -> int:
    """Returns the bytes sent to peers since the start."""
    return node.links.bytes_sent + node.peers.bytes_sent


def observe_sidecar(
    metrics: Metrics, node: ObservedSidecar, dropped_lines: ValueCallback
) -> None:
    """Adds all metrics of a node on a platform.

    Args:
        metrics: Registry to add the metrics to; must not be started yet.
        node: The node whose components are read.
        dropped_lines: Returns the number of log lines that were dropped because
            the output was blocked.
    """
    for readings in (
        _published(node),
        _first_contacts(node),
        _usage_caps(node),
        _members(node),
        _target(node),
        _requests(node),
        _buffers(node),
        _load_balancing(node),
        _quarantine(node),
        _rollouts(node),
        _workspaces(node),
        _event_loop(),
    ):
        for instrument, read in readings:
            metrics.observe(instrument, read)
    metrics.observe(instruments.OUTPUT_DROPPED, dropped_lines)


def _published(node: ObservedSidecar) -> Readings:
    store, feed = node.store, node.feed
    yield instruments.CONFIG_VERSION, lambda: store.version
    yield instruments.CONFIG_READY, lambda: int(store.ready)
    yield instruments.CONFIG_APPLIED, lambda: store.applied
    yield instruments.CONFIG_UNREADABLE, lambda: store.unreadable
    yield instruments.CONFIG_READER, lambda: int(feed.is_reader())
    yield instruments.SOURCE_UP, lambda: int(feed.source_up)
    yield instruments.SOURCE_READS, lambda: feed.reads
    yield instruments.CONFIG_QUERIES, lambda: feed.queries_sent
    yield instruments.CONFIG_DELAY, lambda: store.propagation.delay_ms
    yield instruments.CONFIG_PULLS, lambda: feed.pulls_sent
    yield instruments.CONFIG_PUSHES, lambda: feed.pushes_sent
    freshness = node.freshness
    yield instruments.KEYS_AGE, freshness.known_age_ms
    yield instruments.KEYS_QUERIES, lambda: freshness.queries_sent
    yield instruments.KEYS_STALE, lambda: freshness.rejected


def _rollouts(node: ObservedSidecar) -> Readings:
    rollouts, exposure = node.rollouts, node.exposure
    yield instruments.ROLLOUTS_EXPOSED, lambda: exposure.exposed
    yield instruments.ROLLOUTS_LIMITED, lambda: exposure.limited_targets
    if rollouts is not None:
        judging, writer = rollouts.judging, rollouts.writer
        yield instruments.ROLLOUTS_RUNNING, lambda: len(judging.running())
        yield instruments.ROLLOUTS_CONDEMNED, lambda: judging.condemned
        yield instruments.ROLLOUTS_STORED, lambda: int(writer.is_stored)


def _usage_caps(node: ObservedSidecar) -> Readings:
    caps = node.usage_caps
    yield instruments.CAP_TOKENS, lambda: caps.authority.granted
    yield instruments.CAP_ACTIVITY, lambda: caps.activity.totals
    yield instruments.CAP_REFUSED, lambda: caps.refused
    yield instruments.CAP_UNAVAILABLE, lambda: caps.unavailable
    yield instruments.CAP_UNANSWERED, lambda: caps.unanswered
    yield instruments.CAP_AUTHORITIES, lambda: caps.authority_changes
    yield instruments.CAP_RESETS, lambda: caps.authority.cuts
    yield instruments.CAP_SHARE, lambda: sum(caps.fractions.values())


def observe_node(metrics: Metrics, node: ObservedApplication) -> None:
    """Adds all metrics of a node that uses the product's own log.

    Args:
        metrics: Registry to add the metrics to; must not be started yet.
        node: The node whose components are read.
    """
    for readings in (
        _configuration(node),
        _distribution(node),
        _log(node),
        _members(node),
        _target(node),
        _requests(node),
        _buffers(node),
        _load_balancing(node),
        _quarantine(node),
        _workspaces(node),
        _claims(node),
        _event_loop(),
    ):
        for instrument, read in readings:
            metrics.observe(instrument, read)
    admin_api = node.admin_api
    metrics.observe(
        instruments.BAD_ANNOUNCEMENTS, lambda: admin_api.bad_announcements
    )


def _configuration(node: ObservedApplication) -> Readings:
    store = node.store
    yield instruments.CONFIG_VERSION, lambda: store.version
    yield instruments.CONFIG_BLOCKED, lambda: int(store.blocked)
    yield instruments.CONFIG_READY, lambda: int(store.ready)
    yield instruments.CONFIG_APPLIED, lambda: store.applied
    yield instruments.CONFIG_UNREADABLE, lambda: store.unreadable


def _distribution(node: ObservedApplication) -> Readings:
    feed, clock = node.feed, node.clock
    plan = feed.distribution
    yield instruments.CONFIG_LOG_AGE, lambda: plan.log_age_ms(clock.now_ms())
    yield instruments.CONFIG_LAG, lambda: feed.lag_ms
    yield instruments.CONFIG_READER, lambda: int(plan.neighbours.is_reader)
    yield instruments.CONFIG_BYTES_SENT, lambda: feed.bytes_sent
    yield instruments.CONFIG_SENDS_FAILED, lambda: feed.sends_failed
    yield instruments.CONFIG_USEFUL, lambda: feed.pushes_useful
    yield instruments.CONFIG_USELESS, lambda: feed.pushes_useless
    yield instruments.CONFIG_SNAPSHOTS, lambda: feed.writer.written


def _log(node: ObservedApplication) -> Readings:
    log, feed = node.log, node.feed
    yield instruments.LOG_UP, lambda: int(feed.log_up)
    yield instruments.LOG_READS, lambda: log.reads
    yield instruments.LOG_APPENDS, lambda: log.appends
    yield instruments.LOG_BYTES_READ, lambda: log.bytes_read


def _first_contacts(node: ObservedSidecar) -> Readings:
    log, feed = node.log, node.feed
    yield instruments.LOG_UP, lambda: int(feed.source_up)
    yield instruments.LOG_READS, lambda: log.reads
    yield instruments.LOG_APPENDS, lambda: log.appends


def _members(node: ObservedNode) -> Readings:
    table, swim = node.table, node.membership.swim
    yield (
        instruments.MEMBERS,
        lambda: Counter(entry.state for entry in table.all()),
    )
    yield instruments.MEMBERS_SUSPECTED, lambda: swim.suspected
    yield instruments.MEMBERS_REFUTED, lambda: table.refutations
    yield instruments.MEMBERS_PAUSES, lambda: swim.pauses
    yield instruments.PEER_BYTES_SENT, lambda: peer_bytes(node)
    yield instruments.PEER_LATE_FRAMES, lambda: node.links.late_replies
    yield instruments.PEER_REFUSED_STREAMS, lambda: node.peers.rejected_streams


def _target(node: ObservedNode) -> Readings:
    owner, admission_queue = node.owner, node.owner.admission_queue
    admission = admission_queue.admission
    yield instruments.REQUESTS_IN_FLIGHT, lambda: owner.in_flight
    yield (
        instruments.TARGET_SLOTS,
        lambda: owner.target.slots if owner.target else 0,
    )
    yield instruments.TARGET_WAITING, lambda: admission.waiting
    yield instruments.TARGET_WAITS, lambda: admission_queue.wait_count
    yield instruments.TARGET_WAITED, lambda: admission_queue.total_wait_ms
    yield instruments.TARGET_LIMIT, lambda: admission.limit.current
    yield instruments.TARGET_REFUSED, lambda: admission.rejected
    yield instruments.TARGET_EXPIRED, lambda: admission.expired
    yield instruments.TARGET_DECLINED, lambda: admission.declined
    yield (
        instruments.TARGET_RATE_LIMIT,
        lambda: owner.rate_limit.per_s if owner.rate_limit.is_limited else 0,
    )
    yield instruments.TARGET_RATE_LIMITED, lambda: owner.rate_limited
    yield (
        instruments.TARGET_RANDOM_REJECTIONS,
        lambda: owner.random_rejections.count,
    )
    yield (
        instruments.TARGET_RANDOM_SHARE,
        lambda: owner.random_rejections.share,
    )
    yield instruments.TARGET_CRASHES, lambda: owner.crash_detector.crashes
    yield instruments.TARGET_LAPSES, lambda: node.target.lease.lapses


def _requests(node: ObservedNode) -> Readings:
    budgets = node.forwarder.retries.budgets
    ingress, forwarder = node.ingress, node.forwarder
    yield instruments.REQUESTS, lambda: ingress.outcomes
    yield instruments.LATENCY, ingress.latency.cumulative
    yield instruments.LATENCY_SUM, lambda: ingress.latency.sum_ms
    yield instruments.LOST_RUNS, lambda: forwarder.lost_runs
    yield instruments.HEDGED, lambda: forwarder.hedged
    yield instruments.HEDGES_WON, lambda: forwarder.hedges_won
    yield instruments.LINES_DROPPED, lambda: ingress.log_limiter.dropped_total
    yield instruments.TURNED_AWAY, lambda: node.forwarder.rejected
    yield (
        instruments.RETRIES,
        lambda: {name: item.spent for name, item in budgets.items()},
    )
    yield (
        instruments.RETRIES_DENIED,
        lambda: {name: item.denied for name, item in budgets.items()},
    )


def _buffers(node: ObservedNode) -> Readings:
    buffers = node.buffers
    yield instruments.CONNECTIONS_CLOSED, lambda: buffers.closed
    yield instruments.CONNECTIONS_OPEN, lambda: len(node.http.connections)
    yield instruments.BUFFERS_HELD, lambda: buffers.budget.held_bytes
    yield instruments.BUFFERS_CAPACITY, lambda: buffers.budget.capacity_bytes


def _event_loop() -> Readings:
    monitor = running_monitor()
    yield instruments.LOOP_LONGEST_TURN, lambda: monitor.longest_turn_ms
    yield instruments.LOOP_LONG_TURNS, lambda: monitor.long_turns
    yield instruments.LOOP_LONGEST_STRETCH, lambda: monitor.longest_stretch_ms
    yield (
        instruments.LOOP_STRETCH_PROCESSOR,
        lambda: monitor.longest_stretch_processor_ms,
    )
    yield (
        instruments.LOOP_ITERATIONS,
        lambda: monitor.most_iterations_without_wait,
    )
    yield instruments.LOOP_UNMOVED_POLLS, lambda: monitor.most_unmoved_polls


def _load_balancing(node: ObservedNode) -> Readings:
    load_balancer = node.forwarder.load_balancer
    if isinstance(load_balancer, TwoChoices):
        yield instruments.EJECTIONS, lambda: load_balancer.ejections
        yield instruments.SPILLS, lambda: load_balancer.overflows


def _quarantine(node: ObservedNode) -> Readings:
    reports = node.crash_reports
    yield instruments.SUSPECT_REQUESTS, lambda: len(reports.table.entries)
    yield instruments.QUARANTINE_REFUSED, lambda: reports.rejected


def _workspaces(node: ObservedNode) -> Readings:
    usage = node.gate.usage
    yield instruments.WORKSPACE_REQUESTS, usage.accepted.reading
    yield instruments.WORKSPACE_REJECTED, usage.rejected.reading
    yield instruments.KEYS_REJECTED, lambda: usage.rejected_keys


def _claims(node: ObservedApplication) -> Readings:
    claims = node.claims
    yield instruments.CLAIM_KEYS, lambda: claims.keys
    yield instruments.CLAIMS_FORWARDED, lambda: claims.forwarded
    yield instruments.CLAIMS_REFUSED, lambda: claims.rejected
    yield instruments.CLAIM_ANSWER_SIZE, lambda: claims.responses.stored_bytes
