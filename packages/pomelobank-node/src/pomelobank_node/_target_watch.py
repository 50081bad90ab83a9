"""Keeps the node's entry in step with the target beside it."""

import asyncio
import logging
from collections.abc import Coroutine

import attrs

from pomelobank_core import (
    Clock,
    MemberState,
    TargetChange,
    TargetLease,
    is_departure_of,
)
from pomelobank_node._departure_log import DepartureLog
from pomelobank_node._log import LogError
from pomelobank_node._membership import Membership
from pomelobank_node._owner import Owner, Target
from pomelobank_schema.generated.records import (
    DepartureRecord,
    TargetAnnouncement,
)

_logger = logging.getLogger(__name__)

# Every member is told of a drain at once and hears it by gossip as well; one
# that sends work later than this is refused as not run, so that the target
# gets no new work however far the news went.
REJECT_AFTER_MS = 1000
_MS_PER_S = 1000


@attrs.define(eq=False)
class TargetWatch:
    """Applies what the target's lease decides.

    Attributes:
        owner: Runs requests on the target.
        membership: Tells others of the target.
        clock: Tells the time.
        departures: Targets that have said that they leave.
        lease: Decides.
        reject_after_ms: Time from a drain on after which nothing new is taken.
    """

    owner: Owner
    membership: Membership
    clock: Clock
    departures: DepartureLog
    lease: TargetLease
    reject_after_ms: int = REJECT_AFTER_MS
    refusing: asyncio.Task[None] | None = None
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def start(self) -> None:
        """Begins to watch the lease."""
        self.membership.on_tick.append(self._check)
        await self.departures.start()
        self._begin(self._drain_departed())

    async def stop(self) -> None:
        """Ends what is under way."""
        await self.departures.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self._cancel_refusing()

    def _begin(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _cancel_refusing(self) -> None:
        if self.refusing is not None:
            self.refusing.cancel()
            await asyncio.gather(self.refusing, return_exceptions=True)
            self.refusing = None

    async def handle_announcement(
        self, announcement: TargetAnnouncement
    ) -> None:
        """Takes an announcement of the target."""
        # A process that has just started knows nothing of what the one before
        # it has acknowledged; the log does.
        await self.departures.ready.wait()
        if self._has_left(announcement):
            announcement = attrs.evolve(announcement, draining=True)
        change = self.lease.on_announcement(announcement, self.clock.now_ms())
        if change is TargetChange.DRAINING:
            await self._tell_draining()
        elif change is TargetChange.RESTARTED:
            self._note_return(announcement)
            await self._cancel_refusing()
            self.owner.draining = False
            self._set_target(announcement, restarted=True)
        elif change is TargetChange.ACTIVATED:
            self._set_target(announcement, restarted=False)

    def _has_left(self, target: TargetAnnouncement) -> bool:
        if not target.instance and self.lease.announcement is not None:
            # Without a name only a silence tells a new start, and the lease
            # has noticed it.
            return False
        return self.departures.has_departed(target)

    def _note_return(self, target: TargetAnnouncement) -> None:
        # The departure of a target without a name is that of its next start
        # too; left in the log it would drain that one with each restart of
        # this node.
        if self.departures.has_departed(target):
            departure = attrs.evolve(_departure_of(target), returned=True)
            self.departures.add(departure)
            self._begin(self._keep_return(departure))

    async def _keep_return(self, departure: DepartureRecord) -> None:
        try:
            await self.departures.persist(departure)
        except LogError as error:
            _logger.warning(
                "target.return_not_kept", extra={"error": str(error)}
            )

    def _set_target(self, new: TargetAnnouncement, restarted: bool) -> None:
        # A node that takes a target which had left shows in this line: the
        # same instance and start as in the line of its leaving.
        _logger.info(
            "target.taken",
            extra={
                "instance": new.instance,
                "started_at_ms": new.started_at_ms,
                "restarted": restarted,
            },
        )
        self.owner.set_target(
            Target(
                new.upstream,
                new.address,
                new.slots,
                new.instance,
                new.started_at_ms,
            )
        )
        table = self.membership.table
        state = MemberState.READY.value
        if restarted:
            # Peers may hear of the drain and of the return in either order;
            # only a new incarnation tells them which came last.
            table.restart_own(
                self.clock.wall_ms(),
                state=state,
                upstream=new.upstream,
                slots=new.slots,
            )
        else:
            table.update_own(
                state=state, upstream=new.upstream, slots=new.slots
            )
        self.membership.gossip_own_entry()

    async def handle_departure(self, departure: DepartureRecord) -> None:
        """Takes the word of a target that it leaves, which it says only once.

        Returns once the word is kept. Acknowledged before, it would be lost
        with this process: the next one would take the target back, which goes
        on announcing itself, and send it requests until it ends.

        Raises:
            LogError: If the word may be lost; the target is out all the same.
        """
        target = self.lease.announcement
        if target is not None and departure.instance == target.instance:
            # Without a time of start it is the one that is here.
            started_at_ms = departure.started_at_ms or target.started_at_ms
            departure = attrs.evolve(departure, started_at_ms=started_at_ms)
        self.departures.add(departure)
        if target is not None and is_departure_of(departure, target):
            # Telling every peer may take longer than the target waits.
            self._begin(self._drain())
        await self.departures.persist(departure)

    async def drain(self) -> None:
        """Takes the target out of the mesh until it starts again.

        Raises:
            LogError: If a restart of this node may undo it.
        """
        target = self.lease.announcement
        if target is None:
            await self._drain()
        else:
            await self.handle_departure(_departure_of(target))

    async def _drain(self) -> None:
        if self.lease.drain() is TargetChange.DRAINING:
            await self._tell_draining()

    async def _drain_departed(self) -> None:
        await self.departures.loaded.wait()
        target = self.lease.announcement
        if target is not None and self.departures.has_departed(target):
            await self._drain()

    async def close(self) -> None:
        """Takes the target out of the mesh for the node's own stop."""
        self.lease.close()
        if self.membership.table.own.state != MemberState.DRAINING.value:
            await self._tell_draining()

    async def _tell_draining(self) -> None:
        _logger.info("target.draining", extra=self._target_fields())
        self.membership.table.update_own(state=MemberState.DRAINING.value)
        self.refusing = asyncio.create_task(self._refuse_later())
        await self.membership.broadcast_own_entry()

    def _target_fields(self) -> dict[str, object]:
        target = self.lease.announcement
        if target is None:
            return {"instance": ""}
        return {
            "instance": target.instance,
            "started_at_ms": target.started_at_ms,
        }

    async def _refuse_later(self) -> None:
        await asyncio.sleep(self.reject_after_ms / _MS_PER_S)
        self.owner.reject_new_requests()
        _logger.info("target.refuses", extra=self._target_fields())

    def _check(self, now_ms: int) -> None:
        if self.lease.check(now_ms) is TargetChange.LAPSED:
            _logger.warning("target.lapsed", extra=self._target_fields())
            self.membership.table.update_own(state=MemberState.STARTING.value)
            self.membership.gossip_own_entry()


def _departure_of(target: TargetAnnouncement) -> DepartureRecord:
    return DepartureRecord(
        instance=target.instance,
        started_at_ms=target.started_at_ms,
        address=target.address,
    )
