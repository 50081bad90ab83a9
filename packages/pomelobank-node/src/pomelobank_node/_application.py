"""The application object, which creates, starts and stops all components."""

import asyncio
import logging
from collections.abc import Callable

import attrs

from pomelobank_core import MemberTable, TargetLease
from pomelobank_node._admin import AdminApi
from pomelobank_node._claims import ClaimService
from pomelobank_node._clock import SystemClock
from pomelobank_node._component import Component
from pomelobank_node._config_feed import ConfigFeed
from pomelobank_node._config_store import ConfigStore
from pomelobank_node._crash_reports import CrashReports
from pomelobank_node._dispatcher import Dispatcher
from pomelobank_node._forwarder import Forwarder, new_load_balancer
from pomelobank_node._http_server import HttpServer
from pomelobank_node._identity import Identity
from pomelobank_node._log_client import LogClient
from pomelobank_node._membership import Membership
from pomelobank_node._metrics import Metrics
from pomelobank_node._observations import observe_node
from pomelobank_node._operator import OperatorServer, OperatorService
from pomelobank_node._owner import Owner
from pomelobank_node._peer_links import PeerLinks
from pomelobank_node._peer_server import PeerServer
from pomelobank_node._target_watch import TargetWatch
from pomelobank_node.buffering import BufferManager
from pomelobank_node.callers import CallerServer, HttpLimits, Ingress
from pomelobank_node.departures import DepartureRegistry
from pomelobank_node.workspaces import WorkspaceGate
from pomelobank_schema.generated.settings import NodeSettings

_logger = logging.getLogger(__name__)

# Part of the drain time-out that is left when requests that have not started at
# a target are withdrawn. The part is at most half of the time-out.
_WITHDRAWAL_RESERVE_MS = 500
# Time limit for closing the admin server's connections, and for closing the
# streams of peers.
_SERVER_STOP_TIMEOUT_MS = 1000
_MS_PER_S = 1000


@attrs.define(eq=False, slots=False)
class NodeApplication:
    """A node that uses the product's own log for its configuration.

    Attributes:
        settings: The node's settings.
        started_components: Components to stop, in the order of their start.
    """

    settings: NodeSettings
    started_components: list[Component] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        self.clock = SystemClock()
        self.buffers = BufferManager(
            settings.buffers, settings.connections, self.clock
        )
        identity = Identity.of(settings, self.clock)
        self.store = ConfigStore()
        self.log = LogClient(settings.log)
        self.links = PeerLinks(
            identity.hello, settings.membership.connect_limit
        )
        self.table = MemberTable(identity.entry)
        self.feed = ConfigFeed(
            settings,
            self.log,
            self.store,
            self.table,
            self.links,
            self.clock,
        )
        self.crash_reports = CrashReports(self.table, self.links, self.clock)
        self.owner = Owner(
            settings.requests,
            self.clock,
            self.crash_reports,
            buffers=self.buffers,
        )
        self.membership = Membership(
            self.table,
            settings.membership,
            self.log,
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
                self.log, self.membership, self.clock, settings.first_start
            ),
            TargetLease(settings.membership.target_lease_ms),
        )
        self._build_servers()

    def _build_servers(self) -> None:
        settings = self.settings
        self.forwarder = Forwarder(
            self.table,
            self.owner,
            self.links,
            self.clock,
            new_load_balancer(settings.requests),
            shutdown_admission=self.owner.shutdown_admission,
        )
        self.gate = WorkspaceGate(self.store, self.table, self.clock)
        dispatcher = Dispatcher(
            self.store,
            self.forwarder,
            self.clock,
            shutdown_admission=self.owner.shutdown_admission,
            gate=self.gate,
        )
        self._build_claims(dispatcher)
        self.ingress = Ingress(dispatcher, self.clock)
        self.metrics = Metrics(settings.node, settings.data_centre)
        self.admin_api = AdminApi(self.target, self.store)
        operator = OperatorService(
            self.store, self.log, self.feed, self.membership, self.clock
        )
        listen = settings.listen
        admin_application = self.admin_api.application()
        admin_application.add_route("/metrics", self.metrics.handle_request)
        self.http = CallerServer(
            listen.http,
            self.ingress,
            buffers=self.buffers,
            limits=HttpLimits(body_bytes=settings.requests.max_body_bytes),
        )
        self.admin = HttpServer(
            listen.admin,
            admin_application,
            max_connections=self.buffers.connection_limits().platform,
        )
        self.peers = PeerServer(
            listen.peer,
            self.owner,
            self.membership,
            self.feed,
            self.claims,
            departures=self.target.departures.peers,
            buffers=self.buffers,
            stop_timeout_ms=_SERVER_STOP_TIMEOUT_MS,
        )
        self.operator = OperatorServer(listen.operator, operator)
        observe_node(self.metrics, self)

    def _build_claims(self, dispatcher: Dispatcher) -> None:
        self.claims = ClaimService(
            self.table,
            self.links,
            self.log,
            self.clock,
            self.settings.claims,
            dispatcher.dispatch_claimed,
            shutdown_admission=self.owner.shutdown_admission,
        )
        dispatcher.claims = self.claims

    async def start(self) -> None:
        """Starts all components; the callers' server is one of the last."""
        for component in (
            self.metrics,
            self.log,
            self.links,
            self.crash_reports,
            self.claims,
            self.peers,
            self.operator,
        ):
            await self._start(component)
        await self._start(self.feed)
        await self._start(self.target)
        for server in (self.http, self.admin):
            await self._start(server)
        advertised = self.settings.listen.peer_advertised
        self.table.update_own(
            peer_address=advertised or self.peers.address,
            http_address=self.http.address,
        )
        await self._start(self.membership)
        _logger.info(
            "node.ready",
            extra={
                "http": self.http.address,
                "admin": self.admin.address,
                "peer": self.peers.address,
                "operator": self.operator.address,
            },
        )

    async def _start(self, component: Component) -> None:
        await component.start()
        self.started_components.append(component)

    async def stop(self) -> None:
        """Drains the node, then stops all components.

        Requests from peers end first. Callers' requests end next, because they
        still need the streams to peers. Membership runs until the node has
        announced that it leaves, and the streams to peers close last. In this
        order, no request that ends within the drain time-out, which begins with
        the stop, is cut off.
        """
        _logger.info("node.draining")
        requests_end_ms = self._limit_requests()
        self.ingress.draining = self.claims.draining = True
        await self.target.close()
        remaining_ms = self._remaining_ms(requests_end_ms)
        await asyncio.gather(
            self.owner.drain(remaining_ms), self.claims.drain(remaining_ms)
        )
        _logger.info("node.drained")
        self.http.stop_timeout_ms = self._remaining_ms(requests_end_ms)
        await self.http.stop()
        await self._stop_admin()
        _logger.info("node.servers_stopped")
        await self.membership.leave()
        for component in reversed(self.started_components):
            if component not in (self.http, self.admin):
                await component.stop()
        _logger.info("node.stopped")

    async def _stop_admin(self) -> None:
        # A client that does not finish its request must not delay the stop.
        try:
            async with asyncio.timeout(_SERVER_STOP_TIMEOUT_MS / _MS_PER_S):
                await self.admin.stop()
        except TimeoutError:
            _logger.info("admin.cut_off")

    def _limit_requests(self) -> int:
        """Sets the end of the requests and returns its time."""
        timeout_ms = self.settings.requests.drain_timeout_ms
        requests_end_ms = self.clock.now_ms() + timeout_ms
        reserve_ms = min(_WITHDRAWAL_RESERVE_MS, timeout_ms // 2)
        shutdown = self.owner.shutdown_admission
        shutdown.shutdown_at_ms = requests_end_ms
        shutdown.last_start_ms = requests_end_ms - reserve_ms
        # A request that waits at a peer would get an error at the end that does
        # not tell whether it has run.
        asyncio.get_running_loop().call_later(
            (timeout_ms - reserve_ms) / _MS_PER_S, self._reject_waiting_requests
        )
        return requests_end_ms

    def _reject_waiting_requests(self) -> None:
        self.owner.reject_new_requests()
        self.links.withdraw_requests()

    def _remaining_ms(self, until_ms: int) -> int:
        return max(0, until_ms - self.clock.now_ms())


async def run_until(
    application: NodeApplication,
    ended: asyncio.Event,
    on_started: Callable[[], None],
) -> None:
    """Starts a node, waits until `ended` is set and stops the node."""
    await application.start()
    on_started()
    await ended.wait()
    await application.stop()
