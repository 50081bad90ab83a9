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
    StopSchedule,
    TargetLease,
)
from pomelobank_node._clock import SystemClock
from pomelobank_node._component import Component
from pomelobank_node._crash_reports import CrashReports
from pomelobank_node._dispatcher import Dispatcher
from pomelobank_node._forwarder import Forwarder, new_load_balancer
from pomelobank_node._http_conventions import HttpConventions
from pomelobank_node._identity import Identity
from pomelobank_node._log import Log
from pomelobank_node._log_output import BoundedOutput
from pomelobank_node._long_lived import start_long_lived
from pomelobank_node._membership import Membership
from pomelobank_node._metrics_handler import MetricsHandler
from pomelobank_node._owner import Owner
from pomelobank_node._peer_links import PeerLinks
from pomelobank_node._peer_server import PeerServer
from pomelobank_node._stop_delay import StopDelay
from pomelobank_node._target_watch import REJECT_AFTER_MS, TargetWatch
from pomelobank_node.buffering import BufferManager
from pomelobank_node.callers import CallerServer, Handler, Ingress
from pomelobank_node.departures import DepartureRegistry
from pomelobank_node.published import (
    Decoder,
    PublishedFeed,
    PublishedSource,
    PublishedStore,
)
from pomelobank_node.rollouts import (
    Exposure,
    RolloutRegistry,
    RolloutService,
    StatusStore,
    StatusWriter,
)
from pomelobank_node.workspaces import (
    FreshnessQueries,
    LeasedUsageCaps,
    VoterStore,
    WorkspaceGate,
)
from pomelobank_schema.generated.settings import NodeSettings

_logger = logging.getLogger(__name__)
_MS_PER_S = 1000
# Bytes per millisecond on a network link of 1 Mbit/s.
_BYTES_PER_MS_AT_1_MBPS = 125
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
        status_store: Store of the states of roll-outs.
        voter_store: Store of the voters of usage caps.
        components: Additional components, started first and stopped last.
        listener: Socket already listening for callers; None to open one.
    """

    http_conventions: HttpConventions
    log: Log
    source: PublishedSource
    decode: Decoder
    new_readiness_handler: Callable[["SidecarNode"], Handler]
    new_control_handler: Callable[["SidecarNode"], Handler]
    status_store: StatusStore
    voter_store: VoterStore
    components: tuple[Component, ...] = ()
    listener: socket.socket | None = None


@attrs.define(eq=False, slots=False)
class SidecarNode:
    """A node beside one target on a platform.

    Attributes:
        settings: The node's settings.
        adapter: The parts that differ between platforms.
        stopping: Whether the stop of the node has begun.
        stop_requested: Set once the platform has asked the node to stop.
        stop_requested_ms: Time of this request; None before.
        started_components: Components to stop, in the order of their start.
    """

    settings: NodeSettings
    adapter: PlatformAdapter
    stopping: bool = False
    stop_requested: asyncio.Event = attrs.field(factory=asyncio.Event)
    stop_requested_ms: int | None = None
    started_components: list[Component] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        settings, adapter = self.settings, self.adapter
        self.clock = SystemClock()
        self.buffers = BufferManager(
            settings.buffers, settings.connections, self.clock
        )
        identity = Identity.of(settings, self.clock)
        self.store = PublishedStore(adapter.decode)
        self.links = PeerLinks(
            identity.hello, settings.membership.connect_limit
        )
        self.table = MemberTable(identity.entry)
        self.exposure = Exposure(self.clock, settings.rollouts.max_share)
        registry = None
        if self.exposure.share:
            registry = RolloutRegistry(self.table, self.links, self.clock)
            self.exposure.revisions = registry.revisions
        self.feed = PublishedFeed(
            adapter.source,
            self.store,
            self.table,
            self.links,
            self.clock,
            era=adapter.log.era,
            rollouts=registry,
        )
        self.freshness = FreshnessQueries.of(self.feed, settings.workspaces)
        self.crash_reports = CrashReports(self.table, self.links, self.clock)
        self.owner = Owner(
            settings.requests,
            self.clock,
            self.crash_reports,
            adapter.http_conventions,
            buffers=self.buffers,
        )
        self.rollouts = self._new_rollouts(registry)
        self.membership = Membership(
            self.table,
            settings.membership,
            adapter.log,
            self.links,
            self.store,
            self.clock,
        )
        self.membership.on_member_changed.append(
            self.crash_reports.on_member_changed
        )
        self.target = TargetWatch(
            self.owner,
            self.membership,
            self.clock,
            DepartureRegistry.of(
                adapter.log, self.membership, self.clock, settings.first_start
            ),
            TargetLease(settings.membership.target_lease_ms),
            int(min(REJECT_AFTER_MS, settings.target.drain_ms / 2)),
        )
        self.usage_caps = LeasedUsageCaps(
            self.table,
            self.links,
            self.store,
            self.clock,
            adapter.voter_store,
            settings.workspaces,
        )
        adapter.log.era.on_change.append(self.usage_caps.voter_log.read_due.set)
        self._build_request_path()
        self._build_servers()

    def _new_rollouts(
        self, registry: RolloutRegistry | None
    ) -> RolloutService | None:
        if registry is None:
            return None
        writer = StatusWriter(
            self.table,
            registry.rollouts,
            self.adapter.status_store,
            self.adapter.log.era,
        )
        return RolloutService(registry, self.owner, writer, self.exposure)

    def _build_request_path(self) -> None:
        settings, conventions = self.settings, self.adapter.http_conventions
        self.forwarder = Forwarder(
            self.table,
            self.owner,
            self.links,
            self.clock,
            new_load_balancer(settings.requests),
            exposure=self.exposure,
            retry_header=conventions.retry,
            retries=RetryPolicy(
                new_budget=self._new_budget, free_rejections=True
            ),
            hedging=Hedging(),
            uplink_bytes_per_ms=settings.line_mbps * _BYTES_PER_MS_AT_1_MBPS
            or math.inf,
            shutdown_admission=self.owner.shutdown_admission,
        )
        self.gate = WorkspaceGate(
            self.store,
            self.table,
            self.clock,
            conventions,
            freshness=self.freshness,
            usage_caps=self.usage_caps,
        )
        self.dispatcher = Dispatcher(
            self.store,
            self.forwarder,
            self.clock,
            exact_weights=True,
            shutdown_admission=self.owner.shutdown_admission,
            gate=self.gate,
        )
        self.stop_delay = StopDelay(
            self.membership,
            self.owner.admission_queue,
            self.clock,
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
            buffers=self.buffers,
            auto_check_timeouts=False,
            listener=adapter.listener,
        )
        self.readiness_server = CallerServer(
            listen.ready,
            adapter.new_readiness_handler(self),
            name="ready",
            buffers=self.buffers,
            auto_check_timeouts=False,
        )
        self.control_server = CallerServer(
            listen.control,
            adapter.new_control_handler(self),
            name="control",
            buffers=self.buffers,
            auto_check_timeouts=False,
        )
        self.peers = PeerServer(
            listen.peer,
            self.owner,
            self.membership,
            self.feed,
            None,
            self.freshness,
            self.usage_caps,
            self.target.departures.peers,
            self.rollouts,
            buffers=self.buffers,
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
                CallerServer(
                    self.settings.listen.metrics,
                    handler,
                    name="metrics",
                    buffers=self.buffers,
                )
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
        if self.rollouts is not None:
            await self._start(self.rollouts)
        advertised = self.settings.listen.peer_advertised
        self.table.update_own(peer_address=advertised or self.peers.address)
        for component in (
            self.target,
            self.control_server,
            self.feed,
            self.freshness,
            self.membership,
            self.usage_caps,
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

    def request_stop(self) -> None:
        """Asks for the stop; the grace period begins now."""
        if self.stop_requested_ms is None:
            self.stop_requested_ms = self.clock.now_ms()
        self.stop_requested.set()

    async def stop(self) -> None:
        """Drains the node, then stops all components.

        The node first reports to the platform that it is not ready. Shortly
        before the platform stops routing callers to it, the node tells its
        peers to send no more work. Connections close only afterwards, each once
        its pending responses are written, so that no request that ends within
        the grace period is cut off. Each phase ends at its time in the
        `StopSchedule`.
        """
        self.request_stop()
        assert self.stop_requested_ms is not None
        grace_ms = int(self.settings.stop.grace_s * _MS_PER_S)
        schedule = StopSchedule.of(self.stop_requested_ms, grace_ms)
        self.stopping = True
        self.usage_caps.begin_stop()
        self.owner.shutdown_admission.apply_schedule(schedule)
        _logger.info("node.draining", extra=self._work_in_progress())
        if self.http.acceptor is None and self.adapter.listener is not None:
            # The stop was requested during the start. Callers that wait for the
            # listener can use another node at once.
            self.adapter.listener.close()
        timers = [
            self._call_at(
                schedule.routing_stops_ms, self._reject_outlasting_requests
            ),
            self._call_at(
                schedule.last_start_ms, self._reject_waiting_requests
            ),
        ]
        try:
            close = await self._close_target(schedule)
            self.http.drain()
            await self._wait_for_requests(schedule.requests_end_ms)
            _logger.info("node.drained", extra=self._work_in_progress())
            await self._stop_components(schedule)
            self._end_close(close)
        finally:
            for timer in timers:
                timer.cancel()
        _logger.info("node.stopped")

    async def _close_target(self, schedule: StopSchedule) -> asyncio.Task[None]:
        await self._sleep_until(
            schedule.routing_stops_ms - schedule.close_update_ms
        )
        await self.stop_delay.wait(schedule)
        update_ends_ms = self.clock.now_ms() + schedule.close_update_ms
        # The update to a peer that does not respond must not delay the stop.
        close = asyncio.create_task(self.target.close())
        await self._sleep_until(max(schedule.routing_stops_ms, update_ends_ms))
        return close

    def _reject_outlasting_requests(self) -> None:
        # A queued request that starts from now on could be cut off like one
        # that arrives now.
        self.owner.admission_queue.reject_waiting(
            self.owner.shutdown_admission.latest_deadline_ms
        )

    def _reject_waiting_requests(self) -> None:
        # A request that starts now could be cut off by the end of the stop. Its
        # caller is told that it has not run while there is time to run it
        # elsewhere.
        _logger.info("node.rejects_waiting", extra=self._work_in_progress())
        self.owner.reject_new_requests()
        self.links.withdraw_requests()

    async def _stop_components(self, schedule: StopSchedule) -> None:
        # A request may still arrive after the last response. This request gets
        # the rest of the time like the earlier ones, because the caller of a
        # non-idempotent request that is cut off does not know whether the
        # request has run.
        self.http.stop_timeout_ms = self._remaining_ms(schedule.requests_end_ms)
        self.http.final_write_timeout_ms = (
            schedule.servers_end_ms - schedule.requests_end_ms
        )
        self.peers.stop_timeout_ms = self._remaining_ms(schedule.servers_end_ms)
        servers = (
            self.http,
            self.peers,
            self.readiness_server,
            self.control_server,
        )
        self.usage_caps.resign()
        await asyncio.gather(
            self._leave(),
            *(self._stop_component(item, schedule) for item in servers),
        )
        for component in reversed(self.started_components):
            if component not in servers:
                await self._stop_component(component, schedule)

    async def _stop_component(
        self, component: Component, schedule: StopSchedule
    ) -> None:
        remaining_ms = self._remaining_ms(schedule.components_end_ms)
        try:
            async with asyncio.timeout(remaining_ms / _MS_PER_S):
                await component.stop()
        except TimeoutError:
            _logger.warning(
                "node.part_cut_off",
                extra={"part": type(component).__name__},
            )
        except Exception:
            # The other components still have to stop.
            _logger.exception(
                "node.part_failed", extra={"part": type(component).__name__}
            )

    def _end_close(self, close: asyncio.Task[None]) -> None:
        if not close.done():
            close.cancel()
            _logger.info("target.draining_unheard")
        elif close.exception() is not None:
            _logger.error("target.close_failed", exc_info=close.exception())

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

    def _remaining_ms(self, until_ms: int) -> int:
        return max(0, until_ms - self.clock.now_ms())

    def _call_at(
        self, at_ms: int, callback: Callable[[], None]
    ) -> asyncio.TimerHandle:
        return asyncio.get_running_loop().call_later(
            self._remaining_ms(at_ms) / _MS_PER_S, callback
        )

    async def _sleep_until(self, at_ms: int) -> None:
        await asyncio.sleep(self._remaining_ms(at_ms) / _MS_PER_S)

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
        self.task = start_long_lived(self._follow, "limits")

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
