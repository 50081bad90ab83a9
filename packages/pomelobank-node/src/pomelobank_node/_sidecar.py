"""The node as it runs on a platform that existed before the mesh.

The platform publishes the configuration as one document and polls the readiness
of each node, and its targets announce themselves in the platform's format. This
node therefore has no operators' calls, no changes in the log, no snapshots and
no idempotency keys. An adapter supplies the parts that differ between
platforms.
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
# Bytes per millisecond on a network link of 1 Mbit/s.
_BYTES_PER_MS_AT_1_MBPS = 125
# Time from the start of a stop until the platform no longer routes callers to
# the node. The platform polls readiness once per second and stops routing after
# two negative responses; the remaining 600 ms are for calls in transit.
ROUTING_STOP_MS = 2600
# Time for the update that a stopping node's target takes no more work to reach
# all peers. The node sends this update only this long before the platform's
# routing has stopped. The process has to run until then anyway, and a target
# that is closed earlier is idle meanwhile: in a rolling restart, a third of all
# targets would be idle.
TARGET_CLOSE_UPDATE_MS = 600
# Part of the platform's grace period that is reserved for an orderly shutdown
# of the components.
SHUTDOWN_RESERVE_MS = 500
# Part of the grace period that is left when the last component has to stop. A
# stream that does not close can take seconds. If the platform kills the process
# meanwhile, the end is not logged and responses being written are truncated.
PROCESS_EXIT_RESERVE_MS = 150
# Longest wait at start-up for the configuration. Without this wait, the node
# would reject callers that are already queued on the listener as not ready.
MAX_CONFIG_WAIT_MS = 1000
# Longest wait for peers to receive a stopping node's leave message. A peer that
# misses the message detects the node's end by its probes.
LEAVE_TIMEOUT_MS = 200


@attrs.define(eq=False)
class PlatformAdapter:
    """The parts of a node that differ between platforms.

    Attributes:
        http_conventions: Header names and HTTP behaviour of the platform.
        log: Log in which nodes announce themselves as first contacts.
        source: Source of published configurations.
        decode: Decodes a published configuration.
        new_readiness_handler: Creates the handler of the platform's readiness
            polls.
        new_control_handler: Creates the handler of the target's announcements.
        components: Additional components, started first and stopped last.
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
    """A node beside one target on a platform.

    Attributes:
        settings: The node's settings.
        adapter: The parts that differ between platforms.
        stopping: Whether the stop of the node has begun.
        started_components: Components to stop, in the order of their start.
    """

    settings: NodeSettings
    adapter: PlatformAdapter
    stopping: bool = False
    started_components: list[Component] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        settings, adapter = self.settings, self.adapter
        self.clock = SystemClock()
        identity = Identity.of(settings, self.clock)
        self.store = PublishedStore(adapter.decode)
        self.links = PeerLinks(
            identity.hello, settings.membership.connect_limit
        )
        self.table = MemberTable(identity.entry)
        self.feed = PublishedFeed(
            adapter.source, self.store, self.table, self.links, self.clock
        )
        self.crash_reports = CrashReports(self.table, self.links, self.clock)
        self.owner = Owner(
            settings.requests,
            self.clock,
            self.crash_reports,
            adapter.http_conventions,
        )
        self.membership = Membership(
            self.table,
            settings.membership,
            adapter.log,
            self.links,
            self.store,
            self.clock,
        )
        self.target = TargetWatch(
            self.owner,
            self.membership,
            self.clock,
            DepartureLog(adapter.log, settings.first_start),
            TargetLease(settings.membership.target_lease_ms),
            int(min(REJECT_AFTER_MS, settings.target.drain_ms / 2)),
        )
        self._build_request_path()
        self._build_servers()

    def _build_request_path(self) -> None:
        settings, conventions = self.settings, self.adapter.http_conventions
        self.forwarder = Forwarder(
            self.table,
            self.owner,
            self.links,
            self.clock,
            new_load_balancer(settings.requests),
            retry_header=conventions.retry,
            retries=RetryPolicy(
                new_budget=self._new_budget, free_rejections=True
            ),
            hedging=Hedging(),
            uplink_bytes_per_ms=settings.line_mbps * _BYTES_PER_MS_AT_1_MBPS
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
            self.dispatcher, self.clock, conventions, settings.target.upstream
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
        listen, adapter = self.settings.listen, self.adapter
        self.http = CallerServer(
            listen.http,
            self.ingress,
            adapter.http_conventions,
            auto_check_timeouts=False,
            listener=adapter.listener,
        )
        self.readiness_server = CallerServer(
            listen.ready,
            adapter.new_readiness_handler(self),
            auto_check_timeouts=False,
        )
        self.control_server = CallerServer(
            listen.control,
            adapter.new_control_handler(self),
            auto_check_timeouts=False,
        )
        self.peers = PeerServer(
            listen.peer, self.owner, self.membership, self.feed, None
        )
        self.limits = LimitsWatch(self.store, self.http)
        self.membership.on_tick += [self.feed.tick, self._check_timeouts]

    def _check_timeouts(self, _: int) -> None:
        for server in (self.http, self.readiness_server, self.control_server):
            server.check_timeouts()

    async def serve_metrics(self, output: BoundedOutput) -> None:
        """Serves the metrics if the settings contain an address for them."""
        if self.settings.listen.metrics:
            handler = MetricsHandler(self, output)
            await self._start(
                CallerServer(self.settings.listen.metrics, handler)
            )

    @property
    def log(self) -> Log:
        """Log in which nodes announce themselves as first contacts."""
        return self.adapter.log

    @property
    def accepts_callers(self) -> bool:
        """Whether the platform may route callers to this node."""
        return self.store.ready and not self.stopping

    async def start(self) -> None:
        """Starts all components; the server for callers starts last."""
        for component in (
            *self.adapter.components,
            self.links,
            self.crash_reports,
            self.peers,
        ):
            await self._start(component)
        advertised = self.settings.listen.peer_advertised
        self.table.update_own(peer_address=advertised or self.peers.address)
        for component in (
            self.target,
            self.control_server,
            self.feed,
            self.membership,
            self.limits,
            self.readiness_server,
        ):
            await self._start(component)
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
            async with asyncio.timeout(MAX_CONFIG_WAIT_MS / _MS_PER_S):
                while not self.store.ready:
                    await self.store.changed.wait()
        except TimeoutError:
            _logger.info("node.config_wait_timed_out")

    async def _start(self, component: Component) -> None:
        await component.start()
        self.started_components.append(component)

    def apply_settings(self, settings: NodeSettings) -> None:
        """Applies the settings that may change while the node runs."""
        self.settings = settings
        self.ingress.origin = settings.target.upstream

    async def stop(self) -> None:
        """Drains the node, then stops all components.

        The node first reports to the platform that it is not ready. Shortly
        before the platform stops routing callers to it, the node tells its
        peers to send no more work. Connections close only afterwards, each once
        its pending responses are written, so that no request that ends within
        the grace period is cut off.
        """
        stop_started_ms = self.clock.now_ms()
        grace_ms = int(self.settings.stop.grace_s * _MS_PER_S)
        end_ms = stop_started_ms + grace_ms - SHUTDOWN_RESERVE_MS
        self.stopping = True
        _logger.info("node.draining", extra=self._work_in_progress())
        # A short grace period must also leave time for the requests under way.
        routing_stop_ms = min(ROUTING_STOP_MS, grace_ms // 2)
        close_update_ms = min(TARGET_CLOSE_UPDATE_MS, routing_stop_ms // 4)
        await self._sleep_until(
            stop_started_ms + routing_stop_ms - close_update_ms
        )
        await self.stop_delay.wait(
            stop_started_ms + routing_stop_ms, end_ms, close_update_ms
        )
        closed_ms = self.clock.now_ms()
        await self.target.close()
        await self._sleep_until(
            max(stop_started_ms + routing_stop_ms, closed_ms + close_update_ms)
        )
        self.dispatcher.shutdown_admission.shutdown_at_ms = end_ms
        self.http.drain()
        await self._wait_for_requests(end_ms)
        _logger.info("node.drained", extra=self._work_in_progress())
        await self._leave()
        # A request may still arrive after the last response. This request gets
        # the rest of the grace period like the earlier ones, because the caller
        # of a non-idempotent request that is cut off does not know whether the
        # request has run. At `end_ms`, callers of unfinished requests receive
        # an error response while there is time left to send it.
        self.http.stop_timeout_ms = max(0, end_ms - self.clock.now_ms())
        await self._stop_components(
            stop_started_ms + grace_ms - PROCESS_EXIT_RESERVE_MS
        )
        _logger.info("node.stopped")

    async def _stop_components(self, until_ms: int) -> None:
        for component in reversed(self.started_components):
            remaining_ms = max(0, until_ms - self.clock.now_ms())
            try:
                async with asyncio.timeout(remaining_ms / _MS_PER_S):
                    await component.stop()
            except TimeoutError:
                _logger.warning(
                    "node.part_cut_off",
                    extra={"part": type(component).__name__},
                )

    async def _leave(self) -> None:
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_MS / _MS_PER_S):
                await self.membership.leave()
        except TimeoutError:
            _logger.info("node.left_unheard")

    def _work_in_progress(self) -> dict[str, int]:
        return {
            "connections": len(self.http.connections),
            "requests": self.http.in_flight,
            "at_target": self.owner.in_flight,
        }

    async def _sleep_until(self, at_ms: int) -> None:
        remaining_ms = at_ms - self.clock.now_ms()
        await asyncio.sleep(max(0, remaining_ms) / _MS_PER_S)

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
    """Updates a server's limits when the configuration changes.

    Attributes:
        store: Holds the configuration in force.
        server: Server to which the limits apply.
        task: Waits for new configurations; None before the start.
    """

    store: PublishedStore
    server: CallerServer
    task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts the task that waits for new configurations."""
        self.task = asyncio.create_task(self._follow())

    async def stop(self) -> None:
        """Cancels the task."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def _follow(self) -> None:
        while True:
            if self.store.ready:
                self.server.limits = self.store.config.limits
            await self.store.changed.wait()
