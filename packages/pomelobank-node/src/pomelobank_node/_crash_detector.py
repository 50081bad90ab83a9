"""Tells a crash of the target from a connection that merely broke."""

import asyncio
import contextlib
from collections.abc import Iterator

import attrs

from pomelobank_node._crash_reports import CrashReports
from pomelobank_node._requests import ForwardRequest
from pomelobank_schema import parse_address

# A target that is there accepts within a round trip on the same instance.
_PROBE_TIMEOUT_S = 0.2
# Several connections that break in one moment are a crash even where the
# platform has the target listening again before it is probed.
_SEVERAL = 2


@attrs.define(eq=False)
class CrashDetector:
    """Watches the requests at the node's target.

    Attributes:
        crash_reports: Told about crashes.
        running: Requests at the target.
        broken: Requests whose connection broke since the last verdict.
        verdict: Being reached on these, None while there are none.
        crashes: Crashes that were seen, for the metrics.
    """

    crash_reports: CrashReports
    running: dict[int, ForwardRequest] = attrs.field(factory=dict)
    broken: int = 0
    verdict: asyncio.Task[None] | None = None
    crashes: int = 0

    @contextlib.contextmanager
    def track(self, request: ForwardRequest) -> Iterator[None]:
        """Watches a request while it is at the target."""
        self.running[id(request)] = request
        try:
            yield
        finally:
            del self.running[id(request)]

    async def on_connection_lost(self, address: str) -> None:
        """Takes a broken connection; returns once its cause is known.

        The news of a crash leaves this node before the caller learns of it,
        so that it mostly arrives elsewhere before the request is sent again.

        Args:
            address: The target's address.
        """
        self.broken += 1
        if self.verdict is None:
            # Whatever shared the target at this moment may be the cause.
            beside = list(self.running.values())
            self.verdict = asyncio.create_task(self._reach(beside, address))
        await asyncio.shield(self.verdict)

    async def _reach(self, beside: list[ForwardRequest], address: str) -> None:
        gone = not await _accepts(address)
        all_broke = self.broken >= max(_SEVERAL, len(beside))
        self.verdict = None
        self.broken = 0
        if gone or all_broke:
            self.crashes += 1
            self.crash_reports.on_target_lost(beside)


async def _accepts(address: str) -> bool:
    host, port = parse_address(address)
    try:
        async with asyncio.timeout(_PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True
