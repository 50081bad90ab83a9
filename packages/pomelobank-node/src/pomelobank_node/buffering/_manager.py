"""Applies the decisions about a node's buffers and connections."""

import logging
import resource
from collections import Counter
from typing import Protocol

import attrs

from pomelobank_core import Clock
from pomelobank_core.buffering import (
    BufferAccount,
    BufferBudget,
    CloseReason,
    ConnectionLimits,
)
from pomelobank_node._clock import SystemClock
from pomelobank_node._log_rate_limiter import LogRateLimiter
from pomelobank_schema.generated.settings import (
    BufferSettings,
    ConnectionSettings,
)

_logger = logging.getLogger(__name__)
_BYTES_PER_MB = 1024 * 1024
# Part of the machine's memory that may hold what clients and peers send.
_MEMORY_SHARE = 0.25
# Accounts below this size are booked as empty, so that an ordinary request
# costs no bookkeeping.
MIN_BOOKED_BYTES = 8 * 1024
# Maximum number of streams that a mesh of 1,000 nodes opens to one node, while
# those that are being replaced still count.
MAX_STREAMS = 2048


class BufferHolder(Protocol):
    """A connection that holds bytes."""

    def release_buffers(self) -> None:
        """Refuses what the connection holds, or closes the connection."""


@attrs.define(eq=False)
class BufferManager:
    """The one account of what clients and peers make the process hold.

    Attributes:
        settings: Limits of bytes.
        connections: Limits of connections.
        clock: The node's clock.
        budget: Decides who gets room.
        closed: Number of refused requests and closed connections, by reason.
        log_limiter: Limits the rate of log lines.
    """

    settings: BufferSettings = attrs.field(factory=BufferSettings)
    connections: ConnectionSettings = attrs.field(factory=ConnectionSettings)
    clock: Clock = attrs.field(factory=SystemClock)
    budget: BufferBudget = attrs.field(init=False)
    closed: Counter[str] = attrs.field(factory=Counter)
    log_limiter: LogRateLimiter = attrs.field(factory=LogRateLimiter)

    @budget.default
    def _new_budget(self) -> BufferBudget:
        memory_bytes = self.settings.memory_mb * _BYTES_PER_MB
        return BufferBudget(
            int(memory_bytes * _MEMORY_SHARE),
            self.settings.short_request_percent / 100,
        )

    def connection_limits(self) -> ConnectionLimits:
        """Returns how many connections each listener accepts."""
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if self.connections.max_descriptors:
            descriptors = min(descriptors, self.connections.max_descriptors)
        return ConnectionLimits.of(
            descriptors,
            self.connections.reserved_descriptors,
            self.connections.max_callers,
            self.connections.max_platform,
            MAX_STREAMS,
        )

    def book(
        self,
        account: BufferAccount,
        held_bytes: int,
        waits_for_client: bool,
        moved_bytes: int,
    ) -> None:
        """Books what a connection holds; may end this or other connections.

        Args:
            account: The connection's account; its holder is a `BufferHolder`.
            held_bytes: Bytes that the connection holds now.
            waits_for_client: Whether it holds them because of its client.
            moved_bytes: Bytes that the connection has moved in all.
        """
        if held_bytes < MIN_BOOKED_BYTES:
            if not account.held_bytes:
                return
            held_bytes = 0
        chosen = self.budget.book(
            account,
            held_bytes,
            waits_for_client,
            moved_bytes,
            self.clock.now_ms(),
        )
        for item in chosen:
            holder: BufferHolder = item.holder  # type: ignore[assignment]
            self.budget.release(item)
            holder.release_buffers()

    def record(self, reason: CloseReason, listener: str, client: str) -> None:
        """Counts and logs a refused request or a closed connection.

        Args:
            reason: Why it was refused or closed.
            listener: Name of the listener.
            client: Address of the client; empty if unknown.
        """
        self.closed[reason.value] += 1
        if not self.log_limiter.allow_failure(self.clock.now_ms()):
            return
        _logger.info(
            "connection.closed",
            extra={
                "reason": reason.value,
                "listener": listener,
                "client": client,
                "held_bytes": self.budget.held_bytes,
                "lines_dropped": self.log_limiter.pop_dropped(),
            },
        )
