"""Policies of how classes of requests share the slots of a target."""

import functools
from collections import deque
from typing import Protocol

import attrs

from pomelobank_core._admission_request import AdmissionRequest, TrafficClass
from pomelobank_core._concurrency import ConcurrencyLimit

_PERCENT = 100
_URGENCY = tuple(TrafficClass)


class Slots(Protocol):
    """The slots of a target and who is in them, as far as policies look.

    Attributes:
        limit: Requests tried at once.
        running: Requests at the target, by class.
        queues: Waiting requests, by class.
    """

    limit: ConcurrencyLimit
    running: dict[TrafficClass, int]
    queues: dict[TrafficClass, deque[AdmissionRequest]]

    @property
    def in_flight(self) -> int:
        """Requests at the target."""

    def reserved(self, traffic_class: TrafficClass, now_ms: float) -> int:
        """Returns the slots kept free for a class just now."""


@attrs.frozen
class GuaranteedShared:
    """Each class has a part of its own; the rest is for all.

    Attributes:
        percent: Guaranteed part of each class, of the slots.
    """

    percent: dict[TrafficClass, int]

    def slots_for(self, traffic_class: TrafficClass, limit: int) -> int:
        """Returns the slots that are guaranteed to a class.

        With few slots the most urgent classes get theirs first, and one slot
        is always shared. A target that sheds may be down to two slots; look-ups
        must not wait behind reports just then.
        """
        if limit <= _URGENCY.index(traffic_class) + 1:
            return 0
        return max(1, limit * self.percent[traffic_class] // _PERCENT)


@attrs.frozen
class FixedPartition:
    """Each class has its part and never more; a baseline.

    Attributes:
        percent: Relative parts of the classes.
    """

    percent: dict[TrafficClass, int]

    def slots_for(self, traffic_class: TrafficClass, limit: int) -> int:
        """Returns the slots of a class."""
        share = limit * self.percent[traffic_class]
        return max(1, share // sum(self.percent.values()))


@attrs.frozen
class FirstCome:
    """All requests wait in one queue, whatever their class; a baseline."""


@attrs.frozen
class Unlimited:
    """Every request goes to the target at once; a baseline."""


AdmissionPolicy = GuaranteedShared | FixedPartition | FirstCome | Unlimited


@functools.singledispatch
def may_start(
    policy: AdmissionPolicy,
    state: Slots,
    traffic_class: TrafficClass,
    now_ms: float,
) -> bool:
    """Tells whether a class may take one more slot."""
    raise NotImplementedError(type(policy).__name__)


@may_start.register
def _(
    policy: GuaranteedShared,
    state: Slots,
    traffic_class: TrafficClass,
    now_ms: float,
) -> bool:
    limit = state.limit.current
    if state.in_flight >= limit:
        return False
    if state.running[traffic_class] < state.reserved(traffic_class, now_ms):
        return True
    shared = limit
    for other in TrafficClass:
        kept = state.reserved(other, now_ms)
        shared -= max(kept, state.running[other])
    return shared > 0


@may_start.register
def _(
    policy: FixedPartition,
    state: Slots,
    traffic_class: TrafficClass,
    now_ms: float,
) -> bool:
    part = policy.slots_for(traffic_class, state.limit.current)
    if state.in_flight >= state.limit.current:
        return False
    return state.running[traffic_class] < part


@may_start.register
def _(
    policy: FirstCome,
    state: Slots,
    traffic_class: TrafficClass,
    now_ms: float,
) -> bool:
    return state.in_flight < state.limit.current


@may_start.register
def _(
    policy: Unlimited,
    state: Slots,
    traffic_class: TrafficClass,
    now_ms: float,
) -> bool:
    return True


def queued_ahead(
    policy: AdmissionPolicy, state: Slots, traffic_class: TrafficClass
) -> int:
    """Returns how many requests wait in front of a new one of a class."""
    if isinstance(policy, FirstCome):
        return sum(len(queue) for queue in state.queues.values())
    return len(state.queues[traffic_class])


def next_class(
    policy: AdmissionPolicy, state: Slots, now_ms: float
) -> TrafficClass | None:
    """Returns the class whose first waiting request starts next, if any."""
    ready = [
        traffic_class
        for traffic_class, queue in state.queues.items()
        if queue and may_start(policy, state, traffic_class, now_ms)
    ]
    if not ready:
        return None
    if isinstance(policy, FirstCome):
        return min(ready, key=lambda item: state.queues[item][0].offered_ms)
    # A class below its guaranteed part goes first; the shared rest then goes
    # to the most urgent class. Batch work is not starved: it has its part.
    return min(
        ready,
        key=lambda item: state.running[item] >= state.reserved(item, now_ms),
    )


def usable_busy_slots(
    policy: AdmissionPolicy,
    state: Slots,
    traffic_class: TrafficClass,
    now_ms: float,
) -> dict[TrafficClass, int]:
    """Returns the busy slots whose end lets a class's next request start.

    Args:
        policy: How classes share the slots.
        state: The slots.
        traffic_class: The class that waits.
        now_ms: Current time.

    Returns:
        Slots by the class that runs in them. Their number divided by that
        class's service time is the rate at which the queue moves on.
    """
    running = dict(state.running)
    if isinstance(policy, FirstCome) or not running[traffic_class]:
        return running
    own = {traffic_class: running[traffic_class]}
    if not isinstance(policy, GuaranteedShared):
        return own
    for other in _URGENCY[_URGENCY.index(traffic_class) + 1 :]:
        # Shared slots under less urgent work pass to this class as they end.
        own[other] = max(0, running[other] - state.reserved(other, now_ms))
    return own
