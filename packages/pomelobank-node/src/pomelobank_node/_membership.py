"""Runs the membership protocol over the streams to peers."""

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
from pomelobank_node._long_lived import start_long_lived
from pomelobank_node._peer_links import PeerLinks
from pomelobank_node._requests import RequestError
from pomelobank_schema import WireMessage
from pomelobank_schema.generated.peer import MemberEntry
from pomelobank_schema.generated.settings import MembershipSettings

_logger = logging.getLogger(__name__)
_MS_PER_S = 1000
# Minimum pause between two ticks.
_MIN_TICK_PAUSE_MS = 10
# Time limit for broadcasting the own entry when the node drains or leaves.
# Members not reached within this time learn of the change by gossip.
_BROADCAST_TIMEOUT_S = 1.5
# Maximum number of membership frames that wait for a stream. Normally only a
# few frames wait. When a data centre is partitioned off, each stream takes a
# second to fail, and a node that kept every frame would run out of memory.
# Gossip repeats its contents, so further frames can be dropped.
_MAX_PENDING_FRAMES = 2048
# States whose changes operators should see. Other changes are logged at debug
# level, since a starting node learns of all members at once.
_LOG_LEVELS = {
    MemberState.SUSPECT.value: logging.INFO,
    MemberState.DRAINING.value: logging.INFO,
    MemberState.GONE.value: logging.INFO,
}


class Versioned(Protocol):
    """Any object that has the version of the configuration in force."""

    @property
    def version(self) -> int:
        """Version of the configuration in force."""


@attrs.define(eq=False)
class Membership:
    """Monitors the members and keeps the member table up to date.

    Attributes:
        table: The member table.
        settings: Periods, time-outs and seed addresses.
        log: Client of the log that holds the contacts.
        links: Streams to peers.
        store: Provides the version of the configuration in force.
        clock: Monotonic clock.
        on_tick: Callbacks that get the monotonic time in ms at every tick,
            about twice per period. Components register their periodic checks
            here, so that one timer wakes the process for all of them.
        on_member_changed: Callbacks for changed entries of other members.
        dropped_frames: Frames dropped because too many were waiting, for the
            metrics.
        failed_sends: Frames whose peer was unreachable, for the metrics.
        tick_due: Set when the next tick is due.
        timer: Timer that sets `tick_due`.
        tasks: Tasks of the membership and of the contact finder.
        send_tasks: Frames that are being sent or wait for a stream.
        draining: Nodes of the members whose last known state is draining.
        swim: Implements the membership protocol.
        finder: Finds the first members to contact.
        send_slots: Limits the frames that are being sent at a time.
    """

    table: MemberTable
    settings: MembershipSettings
    log: Log
    links: PeerLinks
    store: Versioned
    clock: Clock
    on_tick: list[Callable[[int], None]] = attrs.field(factory=list)
    on_member_changed: list[Callable[[MemberEntry], None]] = attrs.field(
        factory=list
    )
    dropped_frames: int = 0
    failed_sends: int = 0
    tick_due: asyncio.Event = attrs.field(factory=asyncio.Event)
    timer: asyncio.TimerHandle | None = None
    tasks: list[asyncio.Task[None]] = attrs.field(factory=list)
    send_tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    draining: set[str] = attrs.field(factory=set)
    swim: Swim = attrs.field(init=False)
    finder: ContactFinder = attrs.field(init=False)
    send_slots: asyncio.Semaphore = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        rng = random.Random()
        self.swim = Swim(self.table, self.settings, rng)
        self.finder = ContactFinder(
            BootstrapContacts(rng),
            self.swim,
            self.log,
            self.links,
            self.clock,
        )
        # Membership frames use at most half of the concurrent handshakes, so
        # that frames to members that do not answer cannot delay requests.
        limit = max(1, self.settings.connect_limit // 2)
        self.send_slots = asyncio.Semaphore(limit)

    async def start(self) -> None:
        """Starts the tasks that join the mesh and monitor its members."""
        self.links.on_frame = self._receive_from_link
        self.finder.contacts.add(self.settings.seeds)
        self.tasks = [
            start_long_lived(self._run, "membership"),
            start_long_lived(self.finder.run, "first-contact"),
        ]

    async def stop(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        if self.timer is not None:
            self.timer.cancel()
        tasks = [*self.tasks, *self.send_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def receive(
        self, frame: WireMessage, reply: Callable[[WireMessage], None]
    ) -> None:
        """Handles a membership frame.

        Args:
            frame: The frame.
            reply: Sends a frame back on the same stream.
        """
        actions = handle_frame(frame, self.swim, self.clock.now_ms())
        self._run_actions(actions, reply)
        self._process_changes()
        self._schedule_tick()

    def _receive_from_link(
        self, frame: WireMessage, reply: Callable[[WireMessage], None]
    ) -> None:
        self.receive(frame, reply)

    def gossip_own_entry(self) -> None:
        """Starts to spread a change of the own entry by gossip."""
        self._run_actions(self.swim.gossip_own_entry())

    async def broadcast_own_entry(self) -> None:
        """Sends the own entry directly to every member.

        Returns once all frames were sent or `_BROADCAST_TIMEOUT_S` has passed.
        """
        actions = self.swim.broadcast_own_entry()
        # Peers that sent requests lately have an open stream and get the entry
        # before any handshake starts. The sort is stable, so suspected members
        # stay last within both groups.
        actions.sort(key=lambda action: not self._has_stream(action))
        tasks = self._run_actions(actions)
        if tasks:
            await asyncio.wait(tasks, timeout=_BROADCAST_TIMEOUT_S)

    def _has_stream(self, action: SwimAction) -> bool:
        return isinstance(action, SendFrame) and self.links.is_open(
            action.address
        )

    async def leave(self) -> None:
        """Announces to every member that this node has stopped."""
        self.table.update_own(state=MemberState.GONE.value)
        await self.broadcast_own_entry()

    async def _run(self) -> None:
        while True:
            self.tick_due.clear()
            self._tick()
            self.links.close_idle(self.settings.idle_link_ms)
            self._schedule_tick()
            await self.tick_due.wait()

    def _schedule_tick(self) -> None:
        """Sets the timer for the next tick."""
        if self.timer is not None:
            self.timer.cancel()
        pause_ms = self.swim.due_ms() - self.clock.now_ms()
        self.timer = asyncio.get_running_loop().call_later(
            max(_MIN_TICK_PAUSE_MS, pause_ms) / _MS_PER_S, self.tick_due.set
        )

    def _tick(self) -> None:
        now_ms = self.clock.now_ms()
        if self.table.own.version != self.store.version:
            self.table.update_version(self.store.version)
        for callback in self.on_tick:
            callback(now_ms)
        self._run_actions(self.swim.tick(now_ms))
        self._process_changes()

    def _process_changes(self) -> None:
        for entry in self.swim.pop_changes():
            _logger.log(
                _LOG_LEVELS.get(entry.state, logging.DEBUG),
                "members.changed",
                extra={
                    "member": entry.node,
                    "state": entry.state,
                    "incarnation": entry.incarnation,
                },
            )
            if entry.state == MemberState.GONE.value:
                # Bytes queued for a partitioned peer wait for the kernel's TCP
                # retries, which are minutes apart by then. Callers' requests on
                # the same stream would wait for these retries too, and the
                # first frames after the partition would arrive late. A member
                # that has left as planned still sends its last replies.
                if entry.node in self.draining:
                    self.links.finish(entry.peer_address)
                else:
                    self.links.disconnect(entry.peer_address)
            self._track_draining(entry)
            for callback in self.on_member_changed:
                callback(entry)
        self._update_joined()

    def _track_draining(self, entry: MemberEntry) -> None:
        if entry.state == MemberState.DRAINING.value:
            self.draining.add(entry.node)
        else:
            self.draining.discard(entry.node)

    def _update_joined(self) -> None:
        if self.table.present():
            self.finder.joined.set()
        else:
            self.finder.joined.clear()

    def _run_actions(
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
        if len(self.send_tasks) >= _MAX_PENDING_FRAMES:
            self.dropped_frames += 1
            return []
        task = asyncio.create_task(self._deliver(action))
        self.send_tasks.add(task)
        task.add_done_callback(self.send_tasks.discard)
        return [task]

    async def _deliver(self, action: SendFrame) -> None:
        try:
            async with self.send_slots:
                await self.links.to(action.address).send(action.frame)
        except RequestError:
            self.failed_sends += 1
            self._run_actions(self.swim.on_unreachable(action.address))
