"""The last step of a roll-out, in which all requests move."""

import logging
from collections.abc import Callable

import attrs

from pomelobank_core import Clock, MemberState, MemberTable
from pomelobank_core.rollouts import (
    DrainWatch,
    Evidence,
    RolloutKey,
    Rollouts,
    RolloutState,
    obstacle,
    step_ms,
)
from pomelobank_node._owner import Owner
from pomelobank_node.rollouts._exposure import Exposure
from pomelobank_node.rollouts._judging import Judging
from pomelobank_schema import WireMessage
from pomelobank_schema.generated.peer import PromotionAck, PromotionStep
from pomelobank_schema.generated.records import RolloutRecord

_logger = logging.getLogger(__name__)
# Time for which a node takes part in a step after the last frame of its leader,
# which sends one every quarter of a second. If the leader is lost, requests go
# back to the proven revision afterwards.
LEASE_MS = 1500
# Maximum age of a member's report. The member's lease goes on for longer.
_MAX_REPORT_AGE_MS = 700
# Length of a step after which its leader gives it up, as a multiple of the time
# kept for it, and the pause before the next one.
_MAX_STEP_FACTOR = 2
_PAUSE_MS = 3000
_SERVING = frozenset({MemberState.READY.value, MemberState.SUSPECT.value})

Post = Callable[[str, WireMessage], None]


@attrs.define(eq=False)
class Lease:
    """A step of another node in which this node takes part.

    Attributes:
        leader: Id of the leading node.
        until_ms: End of the lease.
    """

    leader: str
    until_ms: float


@attrs.define(eq=False)
class Step:
    """A step that this node leads.

    Attributes:
        began_ms: Time of its begin.
        watch: Waits for the requests at the old targets.
    """

    began_ms: int
    watch: DrainWatch = attrs.field(factory=DrainWatch)


@attrs.define(eq=False)
class Promotions:
    """Moves all requests to a good revision before the old targets end.

    The old targets end without a drain once the roll-out is completed, so no
    request may be left there. One of the judging nodes leads a step in which
    all members send new requests to the new revision and report how many they
    still have at the old one. If none is left, the roll-out completes. If the
    step fails, or its leader is lost, requests go to the old revision again.

    Attributes:
        table: The members known to this node.
        rollouts: The known roll-outs.
        exposure: Chooses revisions for this node's requests.
        owner: Runs requests on the node's own target.
        judging: The roll-outs that this node judges.
        clock: The node's clock.
        post: Sends a frame to an address.
        decide: Called with a roll-out in its new state.
        leases: Steps that this node takes part in, by upstream.
        steps: Steps that this node leads.
        paused_until_ms: End of the pause after a failed step.
        logged: Last logged obstacle of each roll-out near its deadline.
    """

    table: MemberTable
    rollouts: Rollouts
    exposure: Exposure
    owner: Owner
    judging: Judging
    clock: Clock
    post: Post
    decide: Callable[[RolloutRecord], None]
    leases: dict[str, Lease] = attrs.field(factory=dict)
    steps: dict[RolloutKey, Step] = attrs.field(factory=dict)
    paused_until_ms: int = 0
    logged: dict[RolloutKey, str] = attrs.field(factory=dict)

    def is_held(self, rollout: RolloutRecord) -> bool:
        """Returns whether another node leads a step of a roll-out.

        Only the leader judges then, so that no other node rolls back what it
        completes.
        """
        lease = self.leases.get(rollout.upstream)
        return lease is not None and self.clock.now_ms() < lease.until_ms

    # The leader.

    def lead(self) -> None:
        """Begins, continues or ends the steps that this node has to lead."""
        running = {RolloutKey.of(item): item for item in self.judging.running()}
        for key in self.steps.keys() - running.keys():
            del self.steps[key]
        for key, rollout in running.items():
            judges = self.judging.judging_nodes(rollout)
            is_leader = bool(judges) and judges[0].node == self.table.own.node
            if key in self.steps or (is_leader and not self.is_held(rollout)):
                self._lead(key, rollout)

    def _lead(self, key: RolloutKey, rollout: RolloutRecord) -> None:
        now_ms = self.clock.now_ms()
        reason = obstacle(rollout, self._evidence(key), self.clock.wall_ms())
        step = self.steps.get(key)
        limit_ms = _MAX_STEP_FACTOR * step_ms(rollout)
        if not reason and step and now_ms - step.began_ms > limit_ms:
            reason = "requests left at the old targets"
        if reason:
            self._log_obstacle(key, reason)
            if step is not None:
                self._give_up(key, step, reason)
            return
        if now_ms < self.paused_until_ms:
            return
        if step is None:
            step = self.steps[key] = Step(now_ms)
            _logger.info("rollout.step_began", extra=_fields(rollout))
        self._send_step(rollout, step)
        oldest_ms = now_ms - _MAX_REPORT_AGE_MS
        if step.watch.is_drained(self._members(), oldest_ms):
            del self.steps[key]
            _logger.info(
                "rollout.step_drained",
                extra={
                    **_fields(rollout),
                    "took_ms": now_ms - step.began_ms,
                },
            )
            self.decide(
                attrs.evolve(rollout, state=RolloutState.COMPLETING.value)
            )

    def _evidence(self, key: RolloutKey) -> Evidence:
        judge = self.judging.judges.get(key)
        slots = {True: 0, False: 0}
        for entry in self.table.all():
            if entry.upstream == key.upstream and entry.state in _SERVING:
                slots[entry.revision == key.revision] += entry.slots
        return Evidence(
            judge.answers if judge else 0,
            judge.doubt if judge else 1.0,
            old_slots=slots[False],
            new_slots=slots[True],
        )

    def _log_obstacle(self, key: RolloutKey, reason: str) -> None:
        if self.logged.get(key, "too early") != reason:
            _logger.info(
                "rollout.waits",
                extra={
                    "upstream": key.upstream,
                    "revision": key.revision,
                    "reason": reason,
                },
            )
        self.logged[key] = reason

    def _give_up(self, key: RolloutKey, step: Step, reason: str) -> None:
        del self.steps[key]
        self.exposure.revisions.end_promotion(key.upstream)
        self.paused_until_ms = self.clock.now_ms() + _PAUSE_MS
        _logger.warning(
            "rollout.step_failed",
            extra={
                "upstream": key.upstream,
                "revision": key.revision,
                "reason": reason,
                "outstanding": {
                    node: count
                    for node, (count, _) in step.watch.reports.items()
                    if count
                },
                "silent": sorted(self._members() - step.watch.reports.keys()),
            },
        )

    def _members(self) -> set[str]:
        """Returns the members that can send requests to the old targets."""
        suspect = MemberState.SUSPECT.value
        return {self.table.own.node} | {
            entry.node
            for entry in self.table.present()
            if entry.state != suspect
        }

    def _send_step(self, rollout: RolloutRecord, step: Step) -> None:
        self._take_part(rollout)
        own = self.table.own
        now_ms = self.clock.now_ms()
        step.watch.add(own.node, self._outstanding(rollout), now_ms)
        frame = PromotionStep(
            upstream=rollout.upstream,
            revision=rollout.revision,
            position=rollout.position,
            leader=own.node,
            address=own.peer_address,
        )
        for entry in self.table.present():
            self.post(entry.peer_address, frame)

    def receive_ack(self, frame: PromotionAck) -> None:
        """Handles a member's report about its requests at old targets."""
        for key, step in self.steps.items():
            if (key.upstream, key.position) == (frame.upstream, frame.position):
                now_ms = self.clock.now_ms()
                step.watch.add(frame.node, frame.outstanding, now_ms)

    # The other members.

    def receive_step(self, frame: PromotionStep) -> None:
        """Takes part in a step of another node."""
        rollout = self.rollouts.newest(frame.upstream)
        if rollout is None or (rollout.position, rollout.revision) != (
            frame.position,
            frame.revision,
        ):
            return
        lease = self.leases.get(frame.upstream)
        now_ms = self.clock.now_ms()
        is_other = lease is not None and lease.leader != frame.leader
        if is_other and self.is_held(rollout):
            return
        if RolloutKey.of(rollout) in self.steps or (
            rollout.state != RolloutState.RUNNING.value
        ):
            return
        self.leases[frame.upstream] = Lease(frame.leader, now_ms + LEASE_MS)
        self._take_part(rollout)
        self.post(
            frame.address,
            PromotionAck(
                node=self.table.own.node,
                upstream=frame.upstream,
                position=frame.position,
                outstanding=self._outstanding(rollout),
            ),
        )

    def _take_part(self, rollout: RolloutRecord) -> None:
        self.exposure.revisions.promote(
            rollout.upstream,
            rollout.revision,
            self.clock.now_ms() + LEASE_MS,
        )

    def _outstanding(self, rollout: RolloutRecord) -> int:
        count = self.exposure.outstanding_elsewhere(
            rollout.upstream, rollout.revision
        )
        target = self.owner.target
        if target is not None and (
            target.upstream == rollout.upstream
            and target.revision != rollout.revision
        ):
            count += self.owner.admission_queue.outstanding
        return count


def _fields(rollout: RolloutRecord) -> dict[str, object]:
    return {
        "upstream": rollout.upstream,
        "revision": rollout.revision,
        "position": rollout.position,
    }
