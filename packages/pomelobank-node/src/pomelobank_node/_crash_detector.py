"""Distinguishes a crash of the target from a single broken connection."""

import asyncio
import contextlib
from collections.abc import Iterator

import attrs

from pomelobank_node._crash_reports import CrashReports
from pomelobank_node._requests import ForwardRequest
from pomelobank_schema import parse_address

# Time-out of the probe connection. The target is on the same instance, so a
# running target accepts within one round trip, in far less than this time.
_PROBE_TIMEOUT_S = 0.2
# Minimum number of connections whose common loss counts as a crash although the
# probe succeeds. The probe alone misses a crash if the platform restarts the
# target before the probe.
_MIN_BROKEN_CONNECTIONS = 2


@attrs.define(eq=False)
class CrashDetector:
    """Tracks the requests at the node's target and detects its crashes.

    Attributes:
        crash_reports: Receives the requests that were in flight at a crash.
        running: Requests at the target, by object id.
        broken_connections: Requests whose connection broke since the last
            verdict.
        verdict_task: Task that decides whether the broken connections were lost
            in a crash of the target; None if no connection broke.
        crashes: Number of detected crashes, for the metrics.
    """

    crash_reports: CrashReports
    running: dict[int, ForwardRequest] = attrs.field(factory=dict)
    broken_connections: int = 0
    verdict_task: asyncio.Task[None] | None = None
    crashes: int = 0

    @contextlib.contextmanager
    def track(self, request: ForwardRequest) -> Iterator[None]:
        """Tracks a request while the request is at the target."""
        self.running[id(request)] = request
        try:
            yield
        finally:
            del self.running[id(request)]

    async def on_connection_lost(self, address: str) -> None:
        """Handles a broken connection; returns once its cause is known.

        The node sends its crash report before the caller receives the error.
        Other nodes therefore mostly receive the report before the caller
        retries the request there.

        Args:
            address: The target's address.
        """
        self.broken_connections += 1
        if self.verdict_task is None:
            # Every request that was at the target may be the cause of a crash.
            in_flight = list(self.running.values())
            self.verdict_task = asyncio.create_task(
                self._decide(in_flight, address)
            )
        await asyncio.shield(self.verdict_task)

    async def _decide(
        self, in_flight: list[ForwardRequest], address: str
    ) -> None:
        unreachable = not await _accepts(address)
        all_broke = self.broken_connections >= max(
            _MIN_BROKEN_CONNECTIONS, len(in_flight)
        )
        self.verdict_task = None
        self.broken_connections = 0
        if unreachable or all_broke:
            self.crashes += 1
            self.crash_reports.on_target_lost(in_flight)


async def _accepts(address: str) -> bool:
    host, port = parse_address(address)
    try:
        async with asyncio.timeout(_PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True
