"""The node as it runs on a platform that was there before the mesh.

The platform publishes the configuration as one document, asks each node
whether it is ready, and its targets announce themselves in their own words. So
operators' calls, changes in the log, snapshots and idempotency keys are left
out here; what differs from platform to platform comes in as ports.
"""

import asyncio
import logging
import math
import socket
from collections.abc import Callable

import attrs

from pomelobank_core import (
    Hedging,
    MemberTable,
    MeshRetryBudget,
    RetryPolicy,
    TargetLease,
)
from pomelobank_node._clock import SystemClock
from pomelobank_node._component import Component
from pomelobank_node._crash_reports import CrashReports
from pomelobank_node._departure_log import DepartureLog
from pomelobank_node._dispatcher import Dispatcher
from pomelobank_node._forwarder import Forwarder, new_load_balancer
from pomelobank_node._http_conventions import HttpConventions
from pomelobank_node._identity import Identity
from pomelobank_node._log import Log
from pomelobank_node._log_output import BoundedOutput
from pomelobank_node._membership import Membership
from pomelobank_node._metrics_handler import MetricsHandler
from pomelobank_node._owner import Owner
from pomelobank_node._peer_links import PeerLinks
from pomelobank_node._peer_server import PeerServer
from pomelobank_node._stop_delay import StopDelay
from pomelobank_node._target_watch import REJECT_AFTER_MS, TargetWatch
from pomelobank_node.callers import CallerServer, Handler, Ingress
from pomelobank_node.published import (
    Decoder,
    PublishedFeed,
    PublishedSource,
    PublishedStore,
)
from pomelobank_schema.generated.settings import NodeSettings

_logger = logging.getLogger(__name__)
_MS_PER_S = 1000
# Bytes that a line of one Mbit/s carries in a millisecond.
_BYTES_PER_MBIT_MS = 125
# The platform asks once a second whether callers may be sent here and stops
# after two answers that they may not; the rest of a second is for calls that
# are on their way.
ROUTED_AWAY_MS = 2600
# For the news that a stopping node's target takes no more work. Until then the
# node goes on serving it to others: callers are sent here all that time, so the
# process has to stay, and a target that is taken out at once stands idle. When
# nodes are restarted one after the other, that is a third of all targets.
NEWS_MS = 600
# Kept from the platform's grace to end what is left in order.
END_RESERVE_MS = 500
# Left of the grace when the process has to be done. A stream that does not
# close can take seconds; a process that is killed meanwhile logs nothing of its
# end and breaks off what it was still writing.
LAST_MOMENT_MS = 150
# Longest wait at startup for the configuration. Callers that are already queued
# on the listener would otherwise be refused as not ready.
CONFIG_WAIT_MS = 1000
# Longest wait for peers to take the last word of a node that has ended its
# work; whoever misses it notices by its probes.
LEAVE_MS = 200


@attrs.define(eq=False)
class PlatformAdapter:
    """What differs from platform to platform.

    Attributes:
        http_conventions: Names of headers.
        log: Where first contacts are announced.
        source: Where configurations are published.
        decode: Reads a published configuration.
        new_readiness_handler: Makes the handler of the platform's question
            whether callers may be sent to a node.
        new_control_handler: Makes the handler of the target's announcements.
        components: Further parts to start first and stop last.
        listener: Socket already listening for callers; None to open one.
    """

    http_conventions: HttpConventions
    log: Log
    source: PublishedSource
    decode: Decoder
    new_readiness_handler: Callable[["SidecarNode"], Handler]
    new_control_handler: Callable[["SidecarNode"], Handler]
    components: tuple[Component, ...] = ()
    listener: socket.socket | None = None


@attrs.define(eq=False, slots=False)
class SidecarNode:
    """One node beside one target.

    Attributes:
        settings: Its settings.
        adapter: What differs from platform to platform.
        stopping: Whether it was told to stop.
        started_components: Parts to stop, in the order of their start.
    """

    settings: NodeSettings
    adapter: PlatformAdapter
    stopping: bool = False
    started_components: list[Component] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        settings, ports = self.settings, self.adapter
        self.clock = SystemClock()
        identity = Identity.of(settings, self.clock)
        self.store = PublishedStore(ports.decode)
        self.links = PeerLinks(
            identity.hello, settings.membership.connect_limit
        )
        self.table = MemberTable(identity.entry)
        self.feed = PublishedFeed(
            ports.source, self.store, self.table, self.links, self.clock
        )
        self.crash_reports = CrashReports(self.table, self.links, self.clock)
        self.owner = Owner(
            settings.requests,
            self.clock,
            self.crash_reports,
            ports.http_conventions,
        )
        self.membership = Membership(
            self.table,
            settings.membership,
            ports.log,
            self.links,
            self.store,
            self.clock,
        )
        self.target = TargetWatch(
            self.owner,
            self.membership,
            self.clock,
            DepartureLog(ports.log, settings.first_start),
            TargetLease(settings.membership.target_lease_ms),
            int(min(REJECT_AFTER_MS, settings.target.drain_ms / 2)),
        )
        self._build_request_path()
        self._build_servers()

    def _build_request_path(self) -> None:
        settings, dialect = self.settings, self.adapter.http_conventions
        self.forwarder = Forwarder(
            self.table,
            self.owner,
            self.links,
            self.clock,
            new_load_balancer(settings.requests),
            retry_header=dialect.retry,
            retries=RetryPolicy(
                new_budget=self._new_budget, free_rejections=True
            ),
            hedging=Hedging(),
            uplink_bytes_per_ms=settings.line_mbps * _BYTES_PER_MBIT_MS
            or math.inf,
        )
        self.dispatcher = Dispatcher(
            self.store,
            self.forwarder,
            self.clock,
            exact_weights=True,
            shutdown_admission=self.owner.shutdown_admission,
        )
        self.stop_delay = StopDelay(
            self.membership,
            self.owner.admission_queue,
            self.clock,
            self.dispatcher.shutdown_admission,
        )
        self.ingress = Ingress(
            self.dispatcher, self.clock, dialect, settings.target.upstream
        )

    def _new_budget(self) -> MeshRetryBudget:
        retries = self.settings.retries
        return MeshRetryBudget(
            retries.ratio,
            retries.slack,
            retries.window_s * _MS_PER_S,
            lambda: len(self.table.others) + 1,
        )

    def _build_servers(self) -> None:
        listen, ports = self.settings.listen, self.adapter
        self.http = CallerServer(
            listen.http,
            self.ingress,
            ports.http_conventions,
            auto_check_timeouts=False,
            listener=ports.listener,
        )
        self.readiness_server = CallerServer(
            listen.ready,
            ports.new_readiness_handler(self),
            auto_check_timeouts=False,
        )
        self.control_server = CallerServer(
            listen.control,
            ports.new_control_handler(self),
            auto_check_timeouts=False,
        )
        self.peers = PeerServer(
            listen.peer, self.owner, self.membership, self.feed, None
        )
        self.limits = LimitsWatch(self.store, self.http)
        self.membership.on_tick += [self.feed.tick, self._sweep]

    def _sweep(self, _: int) -> None:
        for server in (self.http, self.readiness_server, self.control_server):
            server.check_timeouts()

    async def serve_metrics(self, output: BoundedOutput) -> None:
        """Serves the metrics, where the settings name an address for them."""
        if self.settings.listen.metrics:
            page = MetricsHandler(self, output)
            await self._start(CallerServer(self.settings.listen.metrics, page))

    @property
    def log(self) -> Log:
        """Where first contacts are announced."""
        return self.adapter.log

    @property
    def accepts_callers(self) -> bool:
        """Whether callers may be sent here."""
        return self.store.ready and not self.stopping

    async def start(self) -> None:
        """Starts every part; the first requests are taken at the end."""
        for part in (
            *self.adapter.components,
            self.links,
            self.crash_reports,
            self.peers,
        ):
            await self._start(part)
        advertised = self.settings.listen.peer_advertised
        self.table.update_own(peer_address=advertised or self.peers.address)
        for part in (
            self.target,
            self.control_server,
            self.feed,
            self.membership,
            self.limits,
            self.readiness_server,
        ):
            await self._start(part)
        if self.adapter.listener is not None:
            await self._wait_for_config()
        await self._start(self.http)
        _logger.info(
            "node.started",
            extra={
                "callers": self.http.address,
                "peers": self.peers.address,
                "control": self.control_server.address,
                "incarnation": self.table.own.incarnation,
                "first_start": self.settings.first_start,
            },
        )

    async def _wait_for_config(self) -> None:
        try:
            async with asyncio.timeout(CONFIG_WAIT_MS / _MS_PER_S):
                while not self.store.ready:
                    await self.store.changed.wait()
        except TimeoutError:
            _logger.info("node.config_wait_timed_out")

    async def _start(self, part: Component) -> None:
        await part.start()
        self.started_components.append(part)

    def apply_settings(self, settings: NodeSettings) -> None:
        """Takes over what may change while the node runs."""
        self.settings = settings
        self.ingress.origin = settings.target.upstream

    async def stop(self) -> None:
        """Drains, then stops every part without cutting a request off.

        First the platform hears that callers should go elsewhere, and shortly
        before that has taken effect peers are told to send no more work. Only
        then do connections end, each after the answers under way.
        """
        begun_ms = self.clock.now_ms()
        grace_ms = int(self.settings.stop.grace_s * _MS_PER_S)
        end_ms = begun_ms + grace_ms - END_RESERVE_MS
        self.stopping = True
        _logger.info("node.draining", extra=self._under_way())
        # A short grace has to leave time for the requests under way as well.
        routed_ms = min(ROUTED_AWAY_MS, grace_ms // 2)
        news_ms = min(NEWS_MS, routed_ms // 4)
        await self._sleep_until(begun_ms + routed_ms - news_ms)
        await self.stop_delay.wait(begun_ms + routed_ms, end_ms, news_ms)
        closed_ms = self.clock.now_ms()
        await self.target.close()
        await self._sleep_until(max(begun_ms + routed_ms, closed_ms + news_ms))
        self.dispatcher.shutdown_admission.shutdown_at_ms = end_ms
        self.http.drain()
        await self._wait_for_requests(end_ms)
        _logger.info("node.drained", extra=self._under_way())
        await self._leave()
        # Somebody may come after the last answer, and has the rest of the grace
        # like those before: cut off sooner, an order's caller would not know
        # whether it has run.
        # Past the end, what hangs is told so while that can still leave.
        self.http.stop_timeout_ms = max(0, end_ms - self.clock.now_ms())
        await self._stop_parts(begun_ms + grace_ms - LAST_MOMENT_MS)
        _logger.info("node.stopped")

    async def _stop_parts(self, until_ms: int) -> None:
        for part in reversed(self.started_components):
            left_ms = max(0, until_ms - self.clock.now_ms())
            try:
                async with asyncio.timeout(left_ms / _MS_PER_S):
                    await part.stop()
            except TimeoutError:
                _logger.warning(
                    "node.part_cut_off", extra={"part": type(part).__name__}
                )

    async def _leave(self) -> None:
        try:
            async with asyncio.timeout(LEAVE_MS / _MS_PER_S):
                await self.membership.leave()
        except TimeoutError:
            _logger.info("node.left_unheard")

    def _under_way(self) -> dict[str, int]:
        return {
            "connections": len(self.http.connections),
            "requests": self.http.in_flight,
            "at_target": self.owner.in_flight,
        }

    async def _sleep_until(self, at_ms: int) -> None:
        left_ms = at_ms - self.clock.now_ms()
        await asyncio.sleep(max(0, left_ms) / _MS_PER_S)

    async def _wait_for_requests(self, until_ms: int) -> None:
        while self.clock.now_ms() < until_ms:
            if (
                not self.http.in_flight
                and not self.owner.admission_queue.outstanding
            ):
                return
            await asyncio.sleep(0.02)


@attrs.define(eq=False)
class LimitsWatch:
    """Keeps what callers may send in step with the configuration.

    Attributes:
        store: The configuration.
        server: Whose limits they are.
    """

    store: PublishedStore
    server: CallerServer
    task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begins to follow the configuration."""
        self.task = asyncio.create_task(self._follow())

    async def stop(self) -> None:
        """Ends that."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def _follow(self) -> None:
        while True:
            if self.store.ready:
                self.server.limits = self.store.config.limits
            await self.store.changed.wait()
