"""Runs membership over the streams to peers."""

import asyncio
import logging
import random
from collections.abc import Callable, Iterable
from typing import Protocol

import attrs

from pomelobank_core import (
    BootstrapContacts,
    Clock,
    MemberState,
    MemberTable,
    ReplyFrame,
    SendFrame,
    Swim,
    SwimAction,
    handle_frame,
)
from pomelobank_node._contact_finder import ContactFinder
from pomelobank_node._log import Log
from pomelobank_node._peer_links import PeerLinks
from pomelobank_node._requests import RequestError
from pomelobank_schema import WireMessage
from pomelobank_schema.generated.settings import MembershipSettings

_logger = logging.getLogger(__name__)
_MS_PER_S = 1000
# Shortest pause between two ticks.
_SHORTEST_PAUSE_MS = 10
# Everybody who may send work hears of a drain within this time, or by gossip.
_TELL_ALL_S = 1.5
# Frames that wait for a stream. At rest there are a handful; when a data
# centre is cut off, streams take a second to fail, and a node that kept every
# frame for it would run out of memory. Gossip repeats itself, so they may go.
_MAX_DELIVERIES = 2048
# Only what operators should see: a starting node learns of everybody at once.
_LEVELS = {
    MemberState.SUSPECT.value: logging.INFO,
    MemberState.DRAINING.value: logging.INFO,
    MemberState.GONE.value: logging.INFO,
}


class Versioned(Protocol):
    """Tells the configuration version in force."""

    @property
    def version(self) -> int:
        """Version in force."""


@attrs.define(eq=False)
class Membership:
    """Watches the members and keeps the table of them up to date.

    Attributes:
        table: What is known.
        settings: Periods, time-outs and seeds.
        log: Where first contacts are announced.
        links: Streams to peers.
        store: Tells the version in force.
        clock: Tells the time.
        on_tick: Called with the time at every tick, about twice in a period.
            Parts that have to look at something now and then do so here, so
            that the process wakes up once for all of them.
        swim: Decides.
        finder: Finds a first member.
        dropped_frames: Frames that found no room, for the metrics.
        failed_sends: Frames whose peer was unreachable, for the metrics.
    """

    table: MemberTable
    settings: MembershipSettings
    log: Log
    links: PeerLinks
    store: Versioned
    clock: Clock
    on_tick: list[Callable[[int], None]] = attrs.field(factory=list)
    dropped_frames: int = 0
    failed_sends: int = 0
    woken: asyncio.Event = attrs.field(factory=asyncio.Event)
    timer: asyncio.TimerHandle | None = None
    tasks: list[asyncio.Task[None]] = attrs.field(factory=list)
    deliveries: set[asyncio.Task[None]] = attrs.field(factory=set)
    swim: Swim = attrs.field(init=False)
    finder: ContactFinder = attrs.field(init=False)
    slots: asyncio.Semaphore = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        source = random.Random()
        self.swim = Swim(self.table, self.settings, source)
        self.finder = ContactFinder(
            BootstrapContacts(source),
            self.swim,
            self.log,
            self.links,
            self.clock,
        )
        # Half of the handshakes stay free for requests, so that frames to
        # members that do not answer cannot hold requests up.
        limit = max(1, self.settings.connect_limit // 2)
        self.slots = asyncio.Semaphore(limit)

    async def start(self) -> None:
        """Starts the tasks that join the mesh and watch its members."""
        self.links.on_frame = self._take_from_link
        self.finder.contacts.add(self.settings.seeds)
        self.tasks = [
            asyncio.create_task(self._run(), name="membership"),
            asyncio.create_task(self.finder.run(), name="first-contact"),
        ]

    async def stop(self) -> None:
        """Ends the tasks."""
        if self.timer is not None:
            self.timer.cancel()
        tasks = [*self.tasks, *self.deliveries]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def receive(
        self, frame: WireMessage, reply: Callable[[WireMessage], None]
    ) -> None:
        """Takes a frame of membership.

        Args:
            frame: The frame.
            reply: Sends a frame back on the same stream.
        """
        actions = handle_frame(frame, self.swim, self.clock.now_ms())
        self._act(actions, reply)
        self._note_changes()
        self._plan()

    def _take_from_link(
        self, frame: WireMessage, reply: Callable[[WireMessage], None]
    ) -> None:
        self.receive(frame, reply)

    def gossip_own_entry(self) -> None:
        """Spreads a change of the own entry, beginning at once."""
        self._act(self.swim.gossip_own_entry())

    async def broadcast_own_entry(self) -> None:
        """Sends the own entry straight to every member."""
        actions = self.swim.broadcast_own_entry()
        # Peers that sent work lately have a stream; they are told before any
        # handshake is waited for. Sorting keeps suspects behind the others.
        actions.sort(key=lambda action: not self._has_stream(action))
        tasks = self._act(actions)
        if tasks:
            await asyncio.wait(tasks, timeout=_TELL_ALL_S)

    def _has_stream(self, action: SwimAction) -> bool:
        return isinstance(action, SendFrame) and self.links.is_open(
            action.address
        )

    async def leave(self) -> None:
        """Tells every member that this node has ended its work."""
        self.table.update_own(state=MemberState.GONE.value)
        await self.broadcast_own_entry()

    async def _run(self) -> None:
        while True:
            self.woken.clear()
            self._tick()
            self.links.close_idle(self.settings.idle_link_ms)
            self._plan()
            await self.woken.wait()

    def _plan(self) -> None:
        """Sets the timer to what is due next."""
        if self.timer is not None:
            self.timer.cancel()
        pause_ms = self.swim.due_ms() - self.clock.now_ms()
        self.timer = asyncio.get_running_loop().call_later(
            max(_SHORTEST_PAUSE_MS, pause_ms) / _MS_PER_S, self.woken.set
        )

    def _tick(self) -> None:
        now_ms = self.clock.now_ms()
        if self.table.own.version != self.store.version:
            self.table.update_version(self.store.version)
        for look in self.on_tick:
            look(now_ms)
        self._act(self.swim.tick(now_ms))
        self._note_changes()

    def _note_changes(self) -> None:
        for entry in self.swim.pop_changes():
            _logger.log(
                _LEVELS.get(entry.state, logging.DEBUG),
                "members.changed",
                extra={
                    "member": entry.node,
                    "state": entry.state,
                    "incarnation": entry.incarnation,
                },
            )
            if entry.state == MemberState.GONE.value:
                # Bytes for a peer that was cut off wait for the kernel's
                # retries, which come minutes apart by then; callers would
                # wait too, and the first words after the cut come late.
                self.links.disconnect(entry.peer_address)
        self._note_joined()

    def _note_joined(self) -> None:
        if self.table.present():
            self.finder.joined.set()
        else:
            self.finder.joined.clear()

    def _act(
        self,
        actions: Iterable[SwimAction],
        reply: Callable[[WireMessage], None] | None = None,
    ) -> list[asyncio.Task[None]]:
        tasks = []
        for action in actions:
            if isinstance(action, SendFrame):
                tasks += self._post(action)
            elif isinstance(action, ReplyFrame) and reply is not None:
                reply(action.frame)
        return tasks

    def _post(self, action: SendFrame) -> list[asyncio.Task[None]]:
        if len(self.deliveries) >= _MAX_DELIVERIES:
            self.dropped_frames += 1
            return []
        task = asyncio.create_task(self._deliver(action))
        self.deliveries.add(task)
        task.add_done_callback(self.deliveries.discard)
        return [task]

    async def _deliver(self, action: SendFrame) -> None:
        try:
            async with self.slots:
                await self.links.to(action.address).send(action.frame)
        except RequestError:
            self.failed_sends += 1
            self._act(self.swim.on_unreachable(action.address))
