"""Keeps the node's member entry up to date with the state of its target."""

import asyncio
import logging
from collections.abc import Coroutine

import attrs

from pomelobank_core import (
    Clock,
    MemberState,
    TargetChange,
    TargetLease,
)
from pomelobank_core.departures import is_departure_of
from pomelobank_node._long_lived import start_long_lived
from pomelobank_node._membership import Membership
from pomelobank_node._owner import Owner, Target
from pomelobank_node.departures import (
    DepartureNotKeptError,
    DepartureRegistry,
)
from pomelobank_schema.generated.records import (
    DepartureRecord,
    TargetAnnouncement,
)

_logger = logging.getLogger(__name__)

# Time from the start of a drain until the node rejects new requests. The node
# notifies every member of the drain directly and by gossip. Requests that a
# member still sends after this time are rejected as not run, so that the target
# gets no new work even if the notification did not reach that member.
REJECT_AFTER_MS = 1000
_MS_PER_S = 1000


@attrs.define(eq=False)
class TargetWatch:
    """Applies the changes of the target's lease to the owner and membership.

    Attributes:
        owner: Runs requests on the target.
        membership: Publishes the node's member entry.
        clock: The node's clock.
        departures: Targets that have announced their departure.
        lease: Decides how announcements change the target's state.
        reject_after_ms: Time from the start of a drain after which new requests
            are rejected.
        held_back: Newest announcement that arrived before the node knew the
            departures.
        held_back_ms: When it arrived.
        rejection_task: Task that starts to reject new requests; None outside a
            drain.
        tasks: Running background tasks.
    """

    owner: Owner
    membership: Membership
    clock: Clock
    departures: DepartureRegistry
    lease: TargetLease
    reject_after_ms: int = REJECT_AFTER_MS
    held_back: TargetAnnouncement | None = None
    held_back_ms: int = 0
    rejection_task: asyncio.Task[None] | None = None
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def start(self) -> None:
        """Starts to check the lease and to load departures."""
        self.membership.on_tick.append(self._check_lease)
        self.owner.on_leaving = self._handle_leaving_response
        self.departures.on_learned.append(self._check_departed)
        await self.departures.start()
        self._track(start_long_lived(self._handle_held_back, "held-back"))

    async def stop(self) -> None:
        """Cancels the background tasks and stops the departure registry."""
        await self.departures.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self._cancel_rejection()

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        self._track(asyncio.create_task(work))

    def _track(self, task: asyncio.Task[None]) -> None:
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _cancel_rejection(self) -> None:
        if self.rejection_task is not None:
            self.rejection_task.cancel()
            await asyncio.gather(self.rejection_task, return_exceptions=True)
            self.rejection_task = None

    async def handle_announcement(
        self, announcement: TargetAnnouncement
    ) -> None:
        """Handles an announcement of the target.

        An earlier process of this node may have acknowledged the departure of
        the target, which goes on announcing itself as ready. Until the node
        knows the departures, it cannot tell such a target from a healthy one
        and holds the newest announcement back.
        """
        if not self.departures.complete.is_set():
            self.held_back = announcement
            self.held_back_ms = self.clock.now_ms()
            return
        self.held_back = None
        await self._apply_announcement(announcement)

    async def _handle_held_back(self) -> None:
        await self.departures.complete.wait()
        announcement, self.held_back = self.held_back, None
        age_ms = self.clock.now_ms() - self.held_back_ms
        if announcement is not None and age_ms <= self.lease.lease_ms:
            await self._apply_announcement(announcement)

    async def _apply_announcement(
        self, announcement: TargetAnnouncement
    ) -> None:
        if self.owner.answers is not None:
            self.owner.answers.warming_up = announcement.warming_up
        if self._has_departed(announcement):
            announcement = attrs.evolve(announcement, draining=True)
        change = self.lease.on_announcement(announcement, self.clock.now_ms())
        if change is TargetChange.DRAINING:
            await self._broadcast_draining()
        elif change is TargetChange.RESTARTED:
            self._record_return(announcement)
            await self._cancel_rejection()
            self.owner.draining = False
            self._set_target(announcement, restarted=True)
        elif change is TargetChange.ACTIVATED:
            self._set_target(announcement, restarted=False)

    def _has_departed(self, target: TargetAnnouncement) -> bool:
        if not target.instance and self.lease.announcement is not None:
            # A target without an instance name is new only after its lease
            # lapsed, and the lease has handled that case.
            return False
        return self.departures.has_departed(target)

    def _record_return(self, target: TargetAnnouncement) -> None:
        # Two starts of a target without an instance name are indistinguishable.
        # A record of the return therefore cancels the departure. Without that
        # record, a restarted node would read the departure from the log and
        # drain the target's present start.
        if self.departures.has_departed(target):
            departure = self.departures.add(
                attrs.evolve(_departure_of(target), returned=True)
            )
            self._spawn(self._keep_return(departure))

    async def _keep_return(self, departure: DepartureRecord) -> None:
        try:
            await self.departures.keep(departure)
        except DepartureNotKeptError as error:
            _logger.warning(
                "target.return_not_kept", extra={"error": str(error)}
            )

    def _set_target(
        self, announcement: TargetAnnouncement, restarted: bool
    ) -> None:
        # If a node wrongly activates a departed target, this line shows the
        # same instance and start time as the target's `target.draining` line.
        _logger.info(
            "target.taken",
            extra={
                "instance": announcement.instance,
                "started_at_ms": announcement.started_at_ms,
                "revision": announcement.revision,
                "restarted": restarted,
            },
        )
        self.owner.set_target(
            Target(
                announcement.upstream,
                announcement.address,
                announcement.slots,
                announcement.instance,
                announcement.started_at_ms,
                announcement.revision,
            )
        )
        table = self.membership.table
        state = MemberState.READY.value
        if restarted:
            # Peers may receive the drain and the restart in either order; only
            # a new incarnation tells them which of the two is the later.
            table.restart_own(
                self.clock.wall_ms(),
                state=state,
                upstream=announcement.upstream,
                slots=announcement.slots,
                revision=announcement.revision,
            )
        else:
            table.update_own(
                state=state,
                upstream=announcement.upstream,
                slots=announcement.slots,
                revision=announcement.revision,
            )
        self.membership.gossip_own_entry()

    async def handle_departure(self, departure: DepartureRecord) -> None:
        """Handles a target's departure, which the target announces only once.

        The method returns once the log and the peers have the departure. If the
        departure were acknowledged earlier and this process were killed, the
        node's next process would activate the target again, because the target
        goes on announcing itself, and would send it requests until the target
        ends.

        Raises:
            DepartureNotKeptError: If it is not certain that the departure is
                kept. The target is drained nevertheless.
        """
        target = self.lease.announcement
        if target is not None and departure.instance == target.instance:
            # A departure without a start time concerns the current target.
            started_at_ms = departure.started_at_ms or target.started_at_ms
            departure = attrs.evolve(departure, started_at_ms=started_at_ms)
        departure = self.departures.add(departure)
        if target is not None and is_departure_of(departure, target):
            # The drain runs in the background, since notifying every peer may
            # take longer than the target waits for a response.
            self._spawn(self._drain())
        await self.departures.keep(departure)

    def _handle_leaving_response(self, target: Target) -> None:
        announced = self.lease.announcement
        if announced is None or announced.instance != target.instance:
            return
        if self.lease.draining or self.departures.has_departed(announced):
            return
        _logger.info("target.leaves", extra=self._target_fields())
        self._spawn(self._drain_leaving())

    async def _drain_leaving(self) -> None:
        # The target goes on announcing itself as ready if it reports its
        # departure to the node only at its end or not at all.
        try:
            await self.drain()
        except DepartureNotKeptError as error:
            _logger.warning(
                "target.leaving_not_kept",
                extra={**self._target_fields(), "error": str(error)},
            )

    async def drain(self) -> None:
        """Marks the target as draining until the target starts again.

        Without an announced target, the drain is not kept.

        Raises:
            DepartureNotKeptError: If it is not certain that the drain is kept;
                a restart of this node may then undo the drain.
        """
        target = self.lease.announcement or self.held_back
        if target is None:
            await self._drain()
        else:
            await self.handle_departure(_departure_of(target))

    async def _drain(self) -> None:
        if self.lease.drain() is TargetChange.DRAINING:
            await self._broadcast_draining()

    def _check_departed(self) -> None:
        target = self.lease.announcement
        if target is not None and self.departures.has_departed(target):
            self._spawn(self._drain())

    async def close(self) -> None:
        """Drains the target because the node itself stops."""
        self.lease.close()
        if self.membership.table.own.state != MemberState.DRAINING.value:
            await self._broadcast_draining()

    async def _broadcast_draining(self) -> None:
        _logger.info("target.draining", extra=self._target_fields())
        self.membership.table.update_own(state=MemberState.DRAINING.value)
        self.rejection_task = asyncio.create_task(self._reject_after_delay())
        await self.membership.broadcast_own_entry()

    def _target_fields(self) -> dict[str, object]:
        target = self.lease.announcement
        if target is None:
            return {"instance": ""}
        return {
            "instance": target.instance,
            "started_at_ms": target.started_at_ms,
        }

    async def _reject_after_delay(self) -> None:
        await asyncio.sleep(self.reject_after_ms / _MS_PER_S)
        self.owner.reject_new_requests()
        _logger.info("target.refuses", extra=self._target_fields())

    def _check_lease(self, now_ms: int) -> None:
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
