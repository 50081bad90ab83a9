"""The departures that a node knows, and how it learns and keeps them."""

import asyncio
import logging
from collections.abc import Callable

import attrs

from pomelobank_core import Clock
from pomelobank_core.departures import (
    MAX_QUERIED_PEERS,
    REFRESH_PEERS,
    Departures,
    key_of,
)
from pomelobank_node._log import Log, LogError
from pomelobank_node._long_lived import start_long_lived
from pomelobank_node._membership import Membership
from pomelobank_node.departures._departure_log import DepartureLog
from pomelobank_node.departures._peer_departures import PeerDepartures
from pomelobank_schema.generated.records import (
    DepartureRecord,
    TargetAnnouncement,
)

_logger = logging.getLogger(__name__)
# Time limit of the wait for the log before the node queries its peers. The log
# normally answers within a few ms.
_EXPECTED_READ_S = 0.2
# Time after which a start that still does not know the departures is logged.
# The log answers within some tenths of a second on a slow network link, and
# peers take a second at most once the node has joined the mesh.
_EXPECTED_LOAD_S = 1.0


@attrs.frozen
class DepartureNotKeptError(Exception):
    """A departure that may be unknown to the next process of this node.

    Attributes:
        message: Why it may be unknown.
    """

    message: str


@attrs.define(eq=False)
class DepartureRegistry:
    """Keeps departures in the log and at the peers; loads them at the start.

    A node that starts does not know which departures its earlier process
    acknowledged. It learns them from the log or, while the log is unavailable,
    from its peers.

    Attributes:
        log: Departures in the log.
        membership: Knows the peers and whether this node was cut off from them.
        clock: The node's clock.
        first_start: Whether the node starts for the first time, so that no
            earlier process can have acknowledged a departure.
        known: The departures that this process knows.
        complete: Set once these include every departure that was acknowledged
            before the start.
        on_learned: Callbacks for new departures from the log or a peer.
        peers: Departures at the peers.
        interruptions: Number of pauses and refuted suspicions of this node at
            the last check.
        tasks: Running background tasks.
    """

    log: DepartureLog
    membership: Membership
    clock: Clock
    first_start: bool = False
    known: Departures = attrs.field(factory=Departures)
    complete: asyncio.Event = attrs.field(factory=asyncio.Event)
    on_learned: list[Callable[[], None]] = attrs.field(factory=list)
    peers: PeerDepartures = attrs.field(init=False)
    interruptions: int = 0
    tasks: list[asyncio.Task[None]] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.peers = PeerDepartures(
            self.known,
            self.membership.table,
            self.membership.links,
            self.clock,
            self.membership.finder.joined,
            self.complete,
            self._notify_learned,
        )

    @classmethod
    def of(
        cls, log: Log, membership: Membership, clock: Clock, first_start: bool
    ) -> "DepartureRegistry":
        """Creates the registry of a node."""
        return cls(DepartureLog(log), membership, clock, first_start)

    async def start(self) -> None:
        """Starts to load the departures that earlier processes acknowledged."""
        await self.log.start()
        self.membership.on_tick.append(self._tick)
        if self.first_start:
            self.complete.set()
            return
        self.tasks += [
            start_long_lived(self._load_from_log, "departures-log"),
            start_long_lived(self._load_from_peers, "departures-peers"),
            asyncio.create_task(self._log_long_load()),
        ]

    async def stop(self) -> None:
        """Cancels the background tasks."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.peers.stop()
        await self.log.stop()

    async def _load_from_log(self) -> None:
        departures = await self.log.read()
        if self.known.add_all(departures):
            self._notify_learned()
        self._set_complete("log")
        await self.log.drop_stale(departures, self.clock.wall_ms())

    async def _load_from_peers(self) -> None:
        try:
            async with asyncio.timeout(_EXPECTED_READ_S):
                await self.complete.wait()
        except TimeoutError:
            await self.peers.collect(MAX_QUERIED_PEERS)
            self._set_complete("peers")
        else:
            # The log may have lost its newest records.
            await self._refresh()

    def _set_complete(self, origin: str) -> None:
        if self.complete.is_set():
            return
        self.complete.set()
        self.peers.reply_again()
        _logger.info(
            "departures.loaded",
            extra={"origin": origin, "departures": len(self.known.latest)},
        )

    async def _log_long_load(self) -> None:
        await asyncio.sleep(_EXPECTED_LOAD_S)
        if not self.complete.is_set():
            _logger.warning("departures.not_loaded")

    def _tick(self, _: int) -> None:
        self.peers.send_notices()
        self._check_interruptions()

    def _check_interruptions(self) -> None:
        # Peers that could not reach this node may have acknowledged departures
        # without it.
        membership = self.membership
        interruptions = membership.swim.pauses + membership.table.refutations
        if interruptions == self.interruptions:
            return
        if not self.complete.is_set() or self.peers.survey is not None:
            # The next check follows once the present survey has ended.
            return
        self.interruptions = interruptions
        self.tasks = [task for task in self.tasks if not task.done()]
        self.tasks.append(asyncio.create_task(self._refresh()))

    async def _refresh(self) -> None:
        if self.peers.survey is None:
            await self.peers.collect(REFRESH_PEERS)

    def _notify_learned(self) -> None:
        for callback in self.on_learned:
            callback()

    def has_departed(self, target: TargetAnnouncement) -> bool:
        """Returns whether this node's target has announced its departure."""
        departed = self.known.has_departed(target)
        if departed:
            key = target.instance or target.address
            self.log.stored.setdefault(key, self.known.latest[key])
        return departed

    def add(self, departure: DepartureRecord) -> DepartureRecord:
        """Adds a departure in this process only.

        Returns:
            The record with the time at which this node recorded it.
        """
        previous = self.known.latest.get(key_of(departure))
        at_ms = self.clock.wall_ms()
        if previous is not None:
            # The wall clock may have been set back.
            at_ms = max(at_ms, previous.at_ms + 1)
        departure = attrs.evolve(departure, at_ms=at_ms)
        self.known.add(departure)
        return departure

    async def keep(self, departure: DepartureRecord) -> None:
        """Stores a departure in the log and sends it to the peers.

        Raises:
            DepartureNotKeptError: If it is not certain that the departure is in
                the log, or if no peer that this node reaches has confirmed it.
        """
        stored, confirmed = await asyncio.gather(
            self.log.store(departure),
            self.peers.notify(departure),
            return_exceptions=True,
        )
        if isinstance(stored, LogError):
            raise DepartureNotKeptError(str(stored))
        for result in (stored, confirmed):
            if isinstance(result, BaseException):
                raise result
        if not confirmed:
            raise DepartureNotKeptError("no peer has confirmed the departure")
