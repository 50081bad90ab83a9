"""What callers get from admission under bursts, floods and mixes."""

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
    """A delivery brings thirty look-ups within a moment to ten slots.

    Refusing two thirds of them would show at the counter although the target
    is free again 30 ms later.
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
    """Callers ask for several times what the target can do.

    Without a bounded queue every answer would come after its caller's time;
    what users would notice is that nothing is answered at all.
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
def test_batch_flood_beside_a_counter(
    policy: str, batch_share: float, interactive_answered: bool
) -> None:
    """The weekly reports are asked for all at once on Sunday evening.

    First come, first served, a look-up at the counter waits behind reports;
    with fixed parts the reports leave most of the target idle.
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
    part = len(interactive["answered"]) / calls
    assert (part > 0.99) is interactive_answered
    if interactive_answered:
        assert quantile(interactive["answered"], 0.99) <= 20
    served = len(bench.outcomes(BATCH)["answered"]) * 200
    assert served / (20_000 * bench.slots) >= batch_share


def test_one_class_uses_every_slot_but_one() -> None:
    """A ledger that serves only reports must not idle for absent classes."""
    bench = Bench(SHARED)
    for _ in range(100):
        bench.call(0, BATCH, work_ms=50, timeout_ms=10_000)
    bench.events.run()
    assert bench.max_in_flight == bench.slots - 1


def test_target_that_turns_slow() -> None:
    """A target answers ten times slower than before, for all its requests.

    Requests that were planned with the old times would fill the queue and
    miss their deadlines while they wait, one after the other.
    """
    bench = Bench(SHARED)
    bench.load(800, 4000, timeout_ms=400)
    bench.events.schedule(1000, lambda: setattr(bench, "slow_factor", 10.0))
    bench.events.run()
    outcomes = bench.outcomes()
    late = len(outcomes.get("deadline_unknown", []))
    late += len(outcomes.get("deadline_not_run", []))
    assert late <= 0.02 * len(bench.calls)
    assert len(outcomes["answered"]) >= 0.9 * (800 + 3 * 50)


def test_long_and_short_work_on_one_target() -> None:
    """Archives that take seconds share a target with page look-ups."""
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
    """A target announces half its slots while all are taken."""
    admission = Admission(SHARED, ConcurrencyLimit(8, 8, False), 1000)
    running = [AdmissionRequest(INTERACTIVE, "r", 10_000) for _ in range(8)]
    for ticket in running:
        assert isinstance(admission.offer(ticket, 0), Started)
    admission.set_slots(4, 1)
    admission.offer(AdmissionRequest(INTERACTIVE, "r", 10_000), 2)
    for ticket in running[:4]:
        assert not admission.finish(ticket, WorkResult.RESPONDED, 5).started
    change = admission.finish(running[4], WorkResult.RESPONDED, 6)
    assert len(change.started) == 1


@pytest.mark.parametrize(
    ("limit", "parts"),
    [
        pytest.param(1, [0, 0, 0], id="one"),
        pytest.param(2, [1, 0, 0], id="two"),
        pytest.param(3, [1, 1, 0], id="three"),
        pytest.param(4, [1, 1, 1], id="four"),
        pytest.param(10, [4, 1, 1], id="ten"),
        pytest.param(20, [8, 2, 2], id="twenty"),
    ],
)
def test_parts_of_few_slots(limit: int, parts: list[int]) -> None:
    """A target sheds and is down to a few slots during a batch run."""
    assert [SHARED.slots_for(item, limit) for item in TrafficClass] == parts


def test_passed_deadline_and_cancellation() -> None:
    """A caller hangs up in the queue; another one's time runs out there."""
    admission = Admission(SHARED, ConcurrencyLimit(1, 1, False), 1000)
    first = AdmissionRequest(INTERACTIVE, "r", 10_000)
    assert isinstance(admission.offer(first, 0), Started)
    hung_up = AdmissionRequest(INTERACTIVE, "r", 10_000)
    too_late = AdmissionRequest(INTERACTIVE, "r", 400)
    admission.offer(hung_up, 1)
    admission.offer(too_late, 1)
    admission.cancel(hung_up, 2)
    change = admission.finish(first, WorkResult.RESPONDED, 500)
    assert (change.started, change.expired) == ((), (too_late,))
    assert (admission.waiting, admission.in_flight) == (0, 0)


def test_refusal_says_when_to_come_back() -> None:
    """A caller that is refused at a full queue asks when to return."""
    admission = Admission(
        SHARED, ConcurrencyLimit(10, 10, False), 200, random.Random(1)
    )
    verdicts = [
        admission.offer(AdmissionRequest(INTERACTIVE, "r", 60_000), 0)
        for _ in range(1000)
    ]
    refused = [item for item in verdicts if isinstance(item, Rejected)]
    assert {item.kind for item in refused} == {ErrorKind.OVERLOADED}
    assert all(200 <= item.retry_after_ms <= 500 for item in refused)


def test_suspect_runs_alone() -> None:
    """A request that may crash the target must have no neighbours."""
    admission = Admission(SHARED, ConcurrencyLimit(4, 4, False), 1000)
    innocent = AdmissionRequest(INTERACTIVE, "r", 10_000)
    admission.offer(innocent, 0)
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
    change = admission.finish(innocent, WorkResult.RESPONDED, 5)
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
            alone = number == 0
            ticket = AdmissionRequest(
                traffic_class, "r", now_ms + 10 * number, alone
            )
            verdict = admission.offer(ticket, now_ms)
            if isinstance(verdict, Started):
                running.append(ticket)
            elif not isinstance(verdict, Rejected):
                waiting.append(ticket)
        elif action == "finish" and running:
            ticket = running.pop(number % len(running))
            before -= 1
            change = admission.finish(ticket, WorkResult.RESPONDED, now_ms)
        elif action == "leave" and waiting:
            ticket = waiting.pop(number % len(waiting))
            change = admission.cancel(ticket, now_ms)
        elif action == "slots":
            change = admission.set_slots(1 + number % 12, now_ms)
        elif action == "wait":
            now_ms += 10 * number
            change = admission.start_waiting(now_ms)
        for ticket in change.started if change else ():
            waiting.remove(ticket)
            running.append(ticket)
        for ticket in change.expired if change else ():
            waiting.remove(ticket)
        _check(admission, running, waiting, before)
    # The next look at any time drops whatever has expired.
    admission.start_waiting(now_ms)
    assert all(t.deadline_ms > now_ms for t in admission.queued_requests())


def _check(
    admission: Admission,
    running: list[AdmissionRequest],
    waiting: list[AdmissionRequest],
    before: int,
) -> None:
    assert admission.in_flight == len(running)
    assert admission.waiting == len(waiting)
    # More run than the limit only where the limit fell meanwhile.
    assert len(running) <= max(admission.limit.current, before)
    if any(ticket.isolated for ticket in running):
        assert len(running) == 1
    if admission.isolated_request is None and admission.policy is SHARED:
        _check_parts(admission)


def _check_parts(admission: Admission) -> None:
    free = admission.limit.current - admission.in_flight
    for traffic_class, queue in admission.queues.items():
        kept = admission.reserved(traffic_class, 0)
        below = admission.running[traffic_class] < kept
        assert not (queue and below and free > 0)
