"""Connects the list of metrics to the parts of a node."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import TYPE_CHECKING

from pomelobank_core import TwoChoices
from pomelobank_node import _instruments as listed
from pomelobank_node._metrics import Instrument, Metrics, Read

if TYPE_CHECKING:
    from pomelobank_node._application import NodeApplication

Readings = Iterator[tuple[Instrument, Read]]


def observe_node(metrics: Metrics, node: NodeApplication) -> None:
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


def _configuration(node: NodeApplication) -> Readings:
    store = node.store
    yield listed.CONFIG_VERSION, lambda: store.version
    yield listed.CONFIG_BLOCKED, lambda: int(store.blocked)
    yield listed.CONFIG_READY, lambda: int(store.ready)
    yield listed.CONFIG_APPLIED, lambda: store.applied
    yield listed.CONFIG_UNREADABLE, lambda: store.unreadable


def _distribution(node: NodeApplication) -> Readings:
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


def _log(node: NodeApplication) -> Readings:
    log, feed = node.log, node.feed
    yield listed.LOG_UP, lambda: int(feed.log_up)
    yield listed.LOG_READS, lambda: log.reads
    yield listed.LOG_APPENDS, lambda: log.appends
    yield listed.LOG_BYTES_READ, lambda: log.bytes_read


def _members(node: NodeApplication) -> Readings:
    table, swim = node.table, node.membership.swim
    yield (
        listed.MEMBERS,
        lambda: Counter(entry.state for entry in table.all()),
    )
    yield listed.MEMBERS_SUSPECTED, lambda: swim.suspected
    yield listed.MEMBERS_REFUTED, lambda: table.refutations
    yield listed.MEMBERS_PAUSES, lambda: swim.pauses
    yield listed.PEER_BYTES_SENT, node.peer_bytes
    yield listed.PEER_LATE_FRAMES, lambda: node.links.late_replies
    yield listed.PEER_REFUSED_STREAMS, lambda: node.peers.refused_streams


def _target(node: NodeApplication) -> Readings:
    owner, gate = node.owner, node.owner.gate
    admission = gate.admission
    yield listed.REQUESTS_IN_FLIGHT, lambda: owner.in_flight
    yield (
        listed.TARGET_SLOTS,
        lambda: owner.target.slots if owner.target else 0,
    )
    yield listed.TARGET_WAITING, lambda: admission.waiting
    yield listed.TARGET_WAITS, lambda: gate.waits
    yield listed.TARGET_WAITED, lambda: gate.waited_ms
    yield listed.TARGET_LIMIT, lambda: admission.limit.current
    yield listed.TARGET_REFUSED, lambda: admission.refused
    yield listed.TARGET_EXPIRED, lambda: admission.expired
    yield listed.TARGET_CRASHES, lambda: owner.watch.crashes
    yield listed.TARGET_LAPSES, lambda: node.target.lease.lapses
    yield listed.BAD_ANNOUNCEMENTS, lambda: node.pages.bad_announcements


def _requests(node: NodeApplication) -> Readings:
    budgets = node.forwarder.retries.budgets
    yield listed.REQUESTS, lambda: node.ingress.outcomes
    yield listed.TURNED_AWAY, lambda: node.forwarder.turned_away
    yield (
        listed.RETRIES,
        lambda: {name: item.spent for name, item in budgets.items()},
    )
    yield (
        listed.RETRIES_DENIED,
        lambda: {name: item.denied for name, item in budgets.items()},
    )


def _placing(node: NodeApplication) -> Readings:
    placing = node.forwarder.placing
    if isinstance(placing, TwoChoices):
        yield listed.EJECTIONS, lambda: placing.ejections
        yield listed.SPILLS, lambda: placing.spills


def _quarantine(node: NodeApplication) -> Readings:
    reports = node.crash_reports
    yield listed.SUSPECT_REQUESTS, lambda: len(reports.table.entries)
    yield listed.QUARANTINE_REFUSED, lambda: reports.refused


def _claims(node: NodeApplication) -> Readings:
    claims = node.claims
    yield listed.CLAIM_KEYS, lambda: claims.keys
    yield listed.CLAIMS_FORWARDED, lambda: claims.forwarded
    yield listed.CLAIMS_REFUSED, lambda: claims.refused
    yield listed.CLAIM_ANSWER_SIZE, lambda: claims.answers.kept_bytes
