"""Tests of admission by class under bursts, overload and mixed work."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pomelobank_core import (
    Admission,
    AdmissionPolicy,
    AdmissionRequest,
    ConcurrencyLimit,
    ErrorKind,
    Rejected,
    Started,
    TrafficClass,
    WorkResult,
)
from pomelobank_core.tests.load_support import POLICIES, Bench, quantile

INTERACTIVE = TrafficClass.INTERACTIVE
BATCH = TrafficClass.BATCH
SHARED = POLICIES["guaranteed_shared"]


def test_burst_waits_and_is_served() -> None:
    """Guards against rejections of a short burst.

    A delivery causes thirty look-ups in 0.3 ms at a target with ten slots.
    Without a queue two thirds of them would be rejected, although the target
    has free slots again 30 ms later.
    """
    bench = Bench(SHARED)
    bench.load(200, 500)
    for index in range(30):
        bench.call(1000 + index / 100)
    bench.events.run()
    assert set(bench.outcomes()) == {"answered"}
    assert max(bench.outcomes()["answered"]) < 100


@pytest.mark.parametrize("load", [1, 2, 5])
def test_saturation_keeps_goodput(load: int) -> None:
    """Guards against a loss of goodput under lasting overload.

    Callers send up to five times the requests that the target can serve. With
    an unbounded queue every response would come after its caller's deadline.
    """
    bench = Bench(SHARED)
    bench.load(load * 1000, 3000, timeout_ms=300)
    bench.events.run()
    outcomes = bench.outcomes()
    assert len(outcomes["answered"]) > 0.9 * 2900
    assert quantile(outcomes["answered"], 0.99) <= 250
    assert "deadline_unknown" not in outcomes
    assert max(outcomes.get("overloaded", [0.0])) == 0.0


@pytest.mark.parametrize(
    ("policy", "batch_share", "interactive_answered"),
    [
        pytest.param("guaranteed_shared", 0.5, True, id="guaranteed_shared"),
        pytest.param("fixed_partition", 0.1, True, id="fixed_partition"),
        pytest.param("first_come", 0.8, False, id="first_come"),
    ],
)
def test_batch_overload_beside_look_ups(
    policy: str, batch_share: float, interactive_answered: bool
) -> None:
    """Guards against batch work that starves look-ups or leaves slots idle.

    The weekly reports are all requested at once on Sunday evening. With a
    first-come, first-served queue a look-up waits behind reports; with fixed
    shares the reports leave most of the target idle.
    """
    bench = Bench(POLICIES[policy])
    bench.load(60, 20_000, work_ms=10, timeout_ms=250)
    bench.load(
        500,
        20_000,
        seed=2,
        traffic_class=BATCH,
        work_ms=200,
        timeout_ms=5000,
    )
    bench.events.run()
    interactive = bench.outcomes(INTERACTIVE)
    calls = sum(len(times) for times in interactive.values())
    answered_fraction = len(interactive["answered"]) / calls
    assert (answered_fraction > 0.99) is interactive_answered
    if interactive_answered:
        assert quantile(interactive["answered"], 0.99) <= 20
    served = len(bench.outcomes(BATCH)["answered"]) * 200
    assert served / (20_000 * bench.slots) >= batch_share


def test_one_class_uses_all_slots_but_one() -> None:
    """Guards against slots that stay idle for classes without requests."""
    bench = Bench(SHARED)
    for _ in range(100):
        bench.call(0, BATCH, work_ms=50, timeout_ms=10_000)
    bench.events.run()
    assert bench.max_in_flight == bench.slots - 1


def test_target_that_becomes_slow() -> None:
    """Guards against a queue that is planned with outdated service times.

    A target becomes ten times slower for all requests. Requests that are
    admitted with the old service times would fill the queue and miss their
    deadlines while they wait.
    """
    bench = Bench(SHARED)
    bench.load(800, 4000, timeout_ms=400)
    bench.events.schedule(1000, lambda: setattr(bench, "slow_factor", 10.0))
    bench.events.run()
    outcomes = bench.outcomes()
    past_deadline = len(outcomes.get("deadline_unknown", []))
    past_deadline += len(outcomes.get("deadline_not_run", []))
    assert past_deadline <= 0.02 * len(bench.calls)
    assert len(outcomes["answered"]) >= 0.9 * (800 + 3 * 50)


def test_long_and_short_work_on_one_target() -> None:
    """Guards against look-ups that wait behind archives of one second each."""
    bench = Bench(SHARED, slots=10)
    bench.load(300, 10_000, work_ms=5, timeout_ms=500)
    bench.load(
        20, 10_000, 2, traffic_class=BATCH, work_ms=1000, timeout_ms=8000
    )
    bench.events.run()
    short = bench.outcomes(INTERACTIVE)
    assert len(short["answered"]) == sum(map(len, short.values()))
    assert quantile(short["answered"], 0.99) <= 50


def test_fewer_slots_start_nothing_new() -> None:
    """Guards against starting requests above a limit that was lowered.

    Eight requests run when the limit is lowered to four. The queued request
    must wait until only three of the eight still run.
    """
    admission = Admission(SHARED, ConcurrencyLimit(8, 8, False), 1000)
    running = [AdmissionRequest(INTERACTIVE, "r", 10_000) for _ in range(8)]
    for request in running:
        assert isinstance(admission.offer(request, 0), Started)
    admission.set_slots(4, 1)
    admission.offer(AdmissionRequest(INTERACTIVE, "r", 10_000), 2)
    for request in running[:4]:
        assert not admission.finish(request, WorkResult.RESPONDED, 5).started
    change = admission.finish(running[4], WorkResult.RESPONDED, 6)
    assert len(change.started) == 1


@pytest.mark.parametrize(
    ("limit", "guaranteed"),
    [
        pytest.param(1, [0, 0, 0], id="one"),
        pytest.param(2, [1, 0, 0], id="two"),
        pytest.param(3, [1, 1, 0], id="three"),
        pytest.param(4, [1, 1, 1], id="four"),
        pytest.param(10, [4, 1, 1], id="ten"),
        pytest.param(20, [8, 2, 2], id="twenty"),
    ],
)
def test_guaranteed_slots_of_a_low_limit(
    limit: int, guaranteed: list[int]
) -> None:
    """Guards against batch work in the last slots of a shedding target.

    A target that sheds requests has a low limit. Slots that are guaranteed to
    batch work would then leave no slot to more urgent requests.
    """
    assert [
        SHARED.slots_for(item, limit) for item in TrafficClass
    ] == guaranteed


def test_passed_deadline_and_cancellation() -> None:
    """Guards against queued requests that start after their caller has left.

    One queued request is cancelled and the deadline of another one passes.
    """
    admission = Admission(SHARED, ConcurrencyLimit(1, 1, False), 1000)
    first = AdmissionRequest(INTERACTIVE, "r", 10_000)
    assert isinstance(admission.offer(first, 0), Started)
    cancelled = AdmissionRequest(INTERACTIVE, "r", 10_000)
    expired = AdmissionRequest(INTERACTIVE, "r", 400)
    admission.offer(cancelled, 1)
    admission.offer(expired, 1)
    admission.cancel(cancelled, 2)
    change = admission.finish(first, WorkResult.RESPONDED, 500)
    assert (change.started, change.expired) == ((), (expired,))
    assert (admission.waiting, admission.in_flight) == (0, 0)


def test_rejection_has_a_retry_delay() -> None:
    """Guards against rejections without a useful retry delay.

    A thousand callers meet a full queue at the same time. Without a retry
    delay, all rejected callers would retry immediately.
    """
    admission = Admission(
        SHARED, ConcurrencyLimit(10, 10, False), 200, random.Random(1)
    )
    decisions = [
        admission.offer(AdmissionRequest(INTERACTIVE, "r", 60_000), 0)
        for _ in range(1000)
    ]
    rejected = [item for item in decisions if isinstance(item, Rejected)]
    assert {item.kind for item in rejected} == {ErrorKind.OVERLOADED}
    assert all(200 <= item.retry_after_ms <= 500 for item in rejected)


def test_suspect_runs_alone() -> None:
    """Guards against a crash that takes other requests down with a suspect.

    A request that may crash its target must run alone.
    """
    admission = Admission(SHARED, ConcurrencyLimit(4, 4, False), 1000)
    harmless = AdmissionRequest(INTERACTIVE, "r", 10_000)
    admission.offer(harmless, 0)
    suspect = AdmissionRequest(INTERACTIVE, "s", 10_000, isolated=True)
    later = AdmissionRequest(INTERACTIVE, "r", 10_000)
    admission.offer(suspect, 1)
    admission.offer(later, 2)
    assert isinstance(
        admission.offer(
            AdmissionRequest(INTERACTIVE, "s", 10_000, isolated=True), 3
        ),
        Rejected,
    )
    change = admission.finish(harmless, WorkResult.RESPONDED, 5)
    assert change.started == (suspect,)
    change = admission.finish(suspect, WorkResult.RESPONDED, 9)
    assert change.started == (later,)


STEP = st.tuples(
    st.sampled_from(["offer", "finish", "leave", "slots", "wait"]),
    st.integers(0, 30),
    st.sampled_from(list(TrafficClass)),
)


@pytest.mark.parametrize("policy", POLICIES.values(), ids=POLICIES)
@settings(max_examples=150, deadline=None)
@given(steps=st.lists(STEP, max_size=60), slots=st.integers(1, 12))
def test_any_sequence(
    policy: AdmissionPolicy,
    steps: list[tuple[str, int, TrafficClass]],
    slots: int,
) -> None:
    admission = Admission(policy, ConcurrencyLimit(slots, slots, False), 100)
    running: list[AdmissionRequest] = []
    waiting: list[AdmissionRequest] = []
    now_ms = 0.0
    for action, number, traffic_class in steps:
        now_ms += 1
        change = None
        before = admission.in_flight
        if action == "offer":
            isolated = number == 0
            request = AdmissionRequest(
                traffic_class, "r", now_ms + 10 * number, isolated
            )
            decision = admission.offer(request, now_ms)
            if isinstance(decision, Started):
                running.append(request)
            elif not isinstance(decision, Rejected):
                waiting.append(request)
        elif action == "finish" and running:
            request = running.pop(number % len(running))
            before -= 1
            change = admission.finish(request, WorkResult.RESPONDED, now_ms)
        elif action == "leave" and waiting:
            request = waiting.pop(number % len(waiting))
            change = admission.cancel(request, now_ms)
        elif action == "slots":
            change = admission.set_slots(1 + number % 12, now_ms)
        elif action == "wait":
            now_ms += 10 * number
            change = admission.start_waiting(now_ms)
        for request in change.started if change else ():
            waiting.remove(request)
            running.append(request)
        for request in change.expired if change else ():
            waiting.remove(request)
        _check_counts(admission, running, waiting, before)
    # The next call of start_waiting drops all expired requests.
    admission.start_waiting(now_ms)
    assert all(t.deadline_ms > now_ms for t in admission.queued_requests())


def _check_counts(
    admission: Admission,
    running: list[AdmissionRequest],
    waiting: list[AdmissionRequest],
    before: int,
) -> None:
    assert admission.in_flight == len(running)
    assert admission.waiting == len(waiting)
    # More requests run than the limit allows only if the limit has fallen.
    assert len(running) <= max(admission.limit.current, before)
    if any(request.isolated for request in running):
        assert len(running) == 1
    if admission.isolated_request is None and admission.policy is SHARED:
        _check_guarantees(admission)


def _check_guarantees(admission: Admission) -> None:
    free = admission.limit.current - admission.in_flight
    for traffic_class, queue in admission.queues.items():
        reserved = admission.reserved(traffic_class, 0)
        below = admission.running[traffic_class] < reserved
        assert not (queue and below and free > 0)
