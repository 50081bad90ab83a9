"""Connects the list of metrics to the parts of a node."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from pomelobank_node import _instruments
from pomelobank_node._metrics import Metrics

if TYPE_CHECKING:
    from pomelobank_node._application import NodeApplication


def observe_node(metrics: Metrics, node: NodeApplication) -> None:
    """Adds every metric of a node.

    Args:
        metrics: Takes the instruments; not started yet.
        node: Whose parts are read.
    """
    _observe_configuration(metrics, node)
    _observe_log(metrics, node)
    _observe_members(metrics, node)
    _observe_requests(metrics, node)


def _observe_configuration(metrics: Metrics, node: NodeApplication) -> None:
    store = node.store
    metrics.observe(_instruments.CONFIG_VERSION, lambda: store.version)
    metrics.observe(_instruments.CONFIG_BLOCKED, lambda: int(store.blocked))


def _observe_log(metrics: Metrics, node: NodeApplication) -> None:
    log, feed = node.log, node.feed
    metrics.observe(_instruments.LOG_UP, lambda: int(feed.log_up))
    metrics.observe(_instruments.LOG_READS, lambda: log.reads)
    metrics.observe(_instruments.LOG_APPENDS, lambda: log.appends)
    metrics.observe(_instruments.LOG_BYTES_READ, lambda: log.bytes_read)


def _observe_members(metrics: Metrics, node: NodeApplication) -> None:
    def by_state() -> Counter[str]:
        return Counter(entry.state for entry in node.table.all())

    metrics.observe(_instruments.MEMBERS, by_state)
    metrics.observe(_instruments.PEER_BYTES_SENT, node.peer_bytes)


def _observe_requests(metrics: Metrics, node: NodeApplication) -> None:
    owner = node.owner
    metrics.observe(_instruments.REQUESTS_IN_FLIGHT, lambda: owner.in_flight)
    metrics.observe(
        _instruments.TARGET_SLOTS,
        lambda: owner.target.slots if owner.target else 0,
    )
    metrics.observe(_instruments.REQUESTS, lambda: node.entry.outcomes)
