"""Policies by which traffic classes share the slots of a target."""

import functools
from collections import deque
from typing import Protocol

import attrs

from pomelobank_core._admission_request import AdmissionRequest, TrafficClass
from pomelobank_core._concurrency import ConcurrencyLimit

_PERCENT = 100
_BY_URGENCY = tuple(TrafficClass)


class Slots(Protocol):
    """State of a target's slots and queues that the policies read.

    Attributes:
        limit: Limit of concurrent requests at the target.
        running: Number of requests at the target, by class.
        queues: Queued requests, by class.
    """

    limit: ConcurrencyLimit
    running: dict[TrafficClass, int]
    queues: dict[TrafficClass, deque[AdmissionRequest]]

    @property
    def in_flight(self) -> int:
        """Number of requests at the target."""

    def reserved(self, traffic_class: TrafficClass, now_ms: float) -> int:
        """Returns the number of slots now reserved for a class."""


@attrs.frozen
class GuaranteedShared:
    """Guarantees each class some slots; all classes share the other slots.

    Attributes:
        percent: Guaranteed percentage of the slots, by class.
    """

    percent: dict[TrafficClass, int]

    def slots_for(self, traffic_class: TrafficClass, limit: int) -> int:
        """Returns the number of slots that are guaranteed to a class.

        With few slots the most urgent classes get a guaranteed slot first, and
        one slot is always shared. The limit of a target that sheds load may be
        down to two slots, and look-ups must not wait behind reports then.
        """
        if limit <= _BY_URGENCY.index(traffic_class) + 1:
            return 0
        return max(1, limit * self.percent[traffic_class] // _PERCENT)


@attrs.frozen
class FixedPartition:
    """Limits each class to a fixed share of the slots; a baseline.

    Attributes:
        percent: Relative share of each class.
    """

    percent: dict[TrafficClass, int]

    def slots_for(self, traffic_class: TrafficClass, limit: int) -> int:
        """Returns the number of slots of a class."""
        weighted = limit * self.percent[traffic_class]
        return max(1, weighted // sum(self.percent.values()))


@attrs.frozen
class FirstCome:
    """Serves requests of all classes in order of arrival; a baseline."""


@attrs.frozen
class Unlimited:
    """Sends every request to the target without a limit; a baseline."""


AdmissionPolicy = GuaranteedShared | FixedPartition | FirstCome | Unlimited


@functools.singledispatch
def may_start(
    policy: AdmissionPolicy,
    state: Slots,
    traffic_class: TrafficClass,
    now_ms: float,
) -> bool:
    """Tells whether a request of a class may take a slot now."""
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
    shared_slots = limit
    for other in TrafficClass:
        reserved_slots = state.reserved(other, now_ms)
        shared_slots -= max(reserved_slots, state.running[other])
    return shared_slots > 0


@may_start.register
def _(
    policy: FixedPartition,
    state: Slots,
    traffic_class: TrafficClass,
    now_ms: float,
) -> bool:
    share = policy.slots_for(traffic_class, state.limit.current)
    if state.in_flight >= state.limit.current:
        return False
    return state.running[traffic_class] < share


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
    """Returns the number of requests queued before a new one of a class."""
    if isinstance(policy, FirstCome):
        return sum(len(queue) for queue in state.queues.values())
    return len(state.queues[traffic_class])


def next_class(
    policy: AdmissionPolicy, state: Slots, now_ms: float
) -> TrafficClass | None:
    """Returns the class whose first queued request starts next, if any."""
    ready = [
        traffic_class
        for traffic_class, queue in state.queues.items()
        if queue and may_start(policy, state, traffic_class, now_ms)
    ]
    if not ready:
        return None
    if isinstance(policy, FirstCome):
        return min(ready, key=lambda item: state.queues[item][0].offered_ms)
    # A class below its guaranteed slots goes first; the shared slots then go to
    # the most urgent class. Guaranteed slots keep batch work from starving.
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
    """Returns the busy slots whose release lets a class's next request start.

    Args:
        policy: How classes share the slots.
        state: The slots.
        traffic_class: The class whose request is queued.
        now_ms: Current time.

    Returns:
        Number of slots by the class that runs in them. Each number divided by
        its class's service time, summed, is the rate at which the queue drains.
    """
    running = dict(state.running)
    if isinstance(policy, FirstCome) or not running[traffic_class]:
        return running
    usable = {traffic_class: running[traffic_class]}
    if not isinstance(policy, GuaranteedShared):
        return usable
    for other in _BY_URGENCY[_BY_URGENCY.index(traffic_class) + 1 :]:
        # Shared slots with less urgent work go to this class once released.
        usable[other] = max(0, running[other] - state.reserved(other, now_ms))
    return usable
