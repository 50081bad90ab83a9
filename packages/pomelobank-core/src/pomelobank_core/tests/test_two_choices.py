"""Responses to callers when targets differ in speed, fail and return."""

import random
import sys

import pytest

from pomelobank_core import (
    CandidateIndex,
    MemberTable,
    RequestOutcome,
    TargetResult,
    TwoChoices,
)
from pomelobank_core._candidates import Candidates
from pomelobank_core._target_load import Ramp
from pomelobank_core.tests.fleet_support import TRAFFIC_CLASS, Fleet, member
from pomelobank_core.tests.load_support import quantile
from pomelobank_schema.generated.peer import MemberEntry

FOUR = [member(f"t{number}") for number in range(4)]


def _share(outcomes: dict[str, list[float]], outcome: str) -> float:
    calls = sum(len(times) for times in outcomes.values())
    return len(outcomes.get(outcome, [])) / calls


def _runs(fleet: Fleet) -> dict[str, int]:
    return {name: target.runs for name, target in fleet.targets.items()}


@pytest.mark.parametrize(
    ("round_robin", "keeps_up"),
    [
        pytest.param(False, True, id="two_choices"),
        pytest.param(True, False, id="round_robin"),
    ],
)
def test_one_slow_target(round_robin: bool, keeps_up: bool) -> None:
    """One of four targets responds twenty times slower than the others.

    With round-robin, one request in four waits for the slow target or is
    refused by the slow target.
    """
    fleet = Fleet(FOUR, round_robin=round_robin)
    fleet.targets["t0"].slow_factor = 20
    fleet.load(1200, 5000)
    fleet.events.run()
    outcomes = fleet.outcomes(from_ms=1000)
    good = _share(outcomes, "answered") > 0.99
    fast = quantile(outcomes["answered"], 0.95) <= 50
    assert (good and fast) is keeps_up


def test_skewed_demand() -> None:
    """Nine of ten requests arrive at one entry node.

    If that node does not balance the load, some targets get more than others.
    """
    fleet = Fleet(FOUR, entries=4)
    fleet.load(2500, 4000, weights=(27, 1, 1, 1))
    fleet.events.run()
    assert _share(fleet.outcomes(), "answered") > 0.99
    runs = [target.runs for target in fleet.targets.values()]
    assert max(runs) < 1.3 * min(runs)


def test_crash_and_return_of_half_the_targets() -> None:
    """A rack with half of an upstream's targets fails and returns cold.

    Membership still lists the targets as ready. Every caller must get a
    response: requests in flight are retried, and ejection keeps further
    requests away from the dead targets.
    """
    fleet = Fleet(FOUR)
    fleet.load(800, 15_000)
    for name in ("t0", "t1"):
        fleet.events.schedule(2000, lambda n=name: fleet.kill(n))
        fleet.events.schedule(
            4000, lambda n=name: setattr(fleet.targets[n], "dead", False)
        )
    before = {}
    fleet.events.schedule(12_000, lambda: before.update(_runs(fleet)))
    fleet.events.run()
    assert set(fleet.outcomes()) == {"answered"}
    assert max(fleet.runs.values()) <= 3
    recent = {name: runs - before[name] for name, runs in _runs(fleet).items()}
    assert recent["t0"] > 0.6 * recent["t2"], "a returned target works again"


def test_all_targets_fail_for_a_while() -> None:
    """Every target fails all requests for two seconds.

    If all targets were ejected, requests would fail for longer than the two
    seconds.
    """
    fleet = Fleet(FOUR)
    fleet.load(500, 6000)
    for target in fleet.targets.values():
        fleet.events.schedule(1000, lambda t=target: setattr(t, "dead", True))
        fleet.events.schedule(3000, lambda t=target: setattr(t, "dead", False))
    ejected = []
    fleet.events.schedule(
        2900,
        lambda: ejected.extend(
            len(entry.load_balancer.ejected_nodes()) for entry in fleet.entries
        ),
    )
    fleet.events.run()
    assert set(ejected) == {2}
    assert _share(fleet.outcomes(from_ms=3100), "answered") > 0.99


def test_saturated_upstream_gets_no_repeated_attempts() -> None:
    """Callers send three times as many requests as all targets can run.

    Repeated attempts would use up capacity and delay the refusals.
    """
    fleet = Fleet(FOUR)
    fleet.load(12_000, 2000, timeout_ms=300)
    fleet.events.run()
    outcomes = fleet.outcomes()
    assert len(outcomes["answered"]) > 0.9 * 4000 * 2
    assert quantile(outcomes["overloaded"], 0.99) <= 2 + 300
    assert quantile(outcomes["overloaded"], 0.5) <= 10
    assert max(fleet.runs.values()) == 1
    assert fleet.attempts <= 1.02 * len(fleet.calls)


def test_local_data_centre_is_preferred_and_overflows() -> None:
    """The local data centre has one target; a load peak needs three.

    Without overflow, callers are refused; at low load, requests stay local.
    """
    members = [
        member("local", "hobart"),
        member("remote-1", "burnie"),
        member("remote-2", "burnie"),
    ]
    fleet = Fleet(members)
    fleet.load(300, 2000)
    fleet.load(1800, 4000, from_ms=2100, seed=2)
    fleet.events.run()
    assert _share(fleet.outcomes(), "answered") > 0.99
    quiet = Fleet(members)
    quiet.load(300, 2000)
    quiet.events.run()
    assert quiet.targets["local"].runs > 0.98 * len(quiet.calls)


def test_slow_local_target_causes_overflow() -> None:
    """A local target becomes slow without being full; a remote target is fast.

    If only a full target caused overflow, callers would wait for the slow
    target.
    """
    table = MemberTable(member("entry", upstream=""))
    local, remote = member("local"), member("remote", "burnie")
    table.merge([local, remote])
    candidates = CandidateIndex(table).of("stock")
    balancer = TwoChoices(random.Random(1))
    for target, took_ms in ((local, 30.0), (remote, 12.0)):
        outcome = RequestOutcome(TargetResult.RESPONDED, TRAFFIC_CLASS, took_ms)
        balancer.on_ended(target, candidates, outcome, 0)
    assert balancer.pick(candidates, set(), TRAFFIC_CLASS, 1) == local
    for _ in range(20):
        outcome = RequestOutcome(TargetResult.RESPONDED, TRAFFIC_CLASS, 200.0)
        balancer.on_ended(local, candidates, outcome, 2)
    assert balancer.pick(candidates, set(), TRAFFIC_CLASS, 3) == remote


def test_full_hint_expires() -> None:
    """A full target refuses one request and has free slots soon afterwards.

    If the hint did not expire, the target would get no further requests.
    """
    table = MemberTable(member("entry", upstream=""))
    table.merge([member("a")])
    index = CandidateIndex(table)
    balancer = TwoChoices(random.Random(1))
    entry = balancer.pick(index.of("stock"), set(), TRAFFIC_CLASS, 0)
    assert entry is not None
    balancer.on_sent(entry, 0)
    full = RequestOutcome(
        TargetResult.FULL, TRAFFIC_CLASS, outstanding=30, retry_after_ms=60_000
    )
    balancer.on_ended(entry, index.of("stock"), full, 1)
    assert not balancer.has_capacity(entry, TRAFFIC_CLASS, 100)
    assert balancer.has_capacity(entry, "batch", 100)
    assert balancer.has_capacity(entry, TRAFFIC_CLASS, 300)
    assert (
        balancer.all_full_retry_after_ms(index.of("stock"), TRAFFIC_CLASS, 10)
        == 60_000
    )
    assert balancer.all_full_retry_after_ms(index.of("stock"), "batch", 10) == 0
    assert (
        balancer.all_full_retry_after_ms(index.of("stock"), TRAFFIC_CLASS, 30)
        == 0
    )


def test_new_target_gets_its_share_slowly() -> None:
    """A cold target joins an upstream under load.

    If its share did not grow step by step, the target would get its full share
    at once and fail to keep up.
    """
    fleet = Fleet(FOUR[:3])
    new_target = member("t3")
    fleet.targets["t3"] = Fleet([new_target]).targets["t3"]
    fleet.load(2000, 16_000)
    fleet.events.schedule(2000, lambda: fleet.merge(new_target))
    early = []
    fleet.events.schedule(4000, lambda: early.append(fleet.targets["t3"].runs))
    fleet.events.run()
    assert early[0] < 0.5 * 2000 * 2 / 4
    assert fleet.targets["t3"].runs - early[0] > 0.7 * 2000 * 12 / 4


def test_ejected_target_is_probed_by_one_request() -> None:
    """A target is ejected after three failures and still fails later.

    The end of an ejection does not show that the target has recovered. If one
    request did not probe the target first, many requests would fail at once.
    """
    table = MemberTable(member("entry", upstream=""))
    table.merge(FOUR)
    index = CandidateIndex(table)
    candidates = index.of("stock")
    balancer = TwoChoices(random.Random(1))
    failed = RequestOutcome(TargetResult.FAILED)
    for _ in range(3):
        balancer.on_sent(FOUR[0], 0)
        balancer.on_ended(FOUR[0], candidates, failed, 0)

    def picks_of_ejected(now_ms: float) -> int:
        count = 0
        for _ in range(200):
            entry = balancer.pick(candidates, set(), TRAFFIC_CLASS, now_ms)
            assert entry is not None
            if entry.node == "t0":
                balancer.on_sent(entry, now_ms)
                count += 1
        return count

    assert picks_of_ejected(500) == 0
    assert picks_of_ejected(1500) == 1
    balancer.on_ended(FOUR[0], candidates, failed, 1600)
    assert picks_of_ejected(2500) == 0
    assert picks_of_ejected(5000) == 1


def test_index_is_rebuilt_only_after_serving_changes() -> None:
    table = MemberTable(member("entry", upstream=""))
    table.merge(
        member(f"n{number}", upstream=f"u{number % 32}")
        for number in range(1000)
    )
    index = CandidateIndex(table)
    assert len(index.of("u0").targets) == 32
    for version in range(100):
        table.merge(
            [member("n0", upstream="u0", sequence=version + 1, version=version)]
        )
        index.of("u0")
    assert index.builds == 1
    table.merge([member("n0", upstream="u0", sequence=200, state="draining")])
    assert len(index.of("u0").targets) == 31
    assert index.builds == 2


def test_data_centre_with_slow_machines_overflows() -> None:
    """The local data centre has slow machines, the remote one idle fast ones.

    Because no local target is full, a balancer that considers only load keeps
    all requests local. Callers wait more than twice as long as necessary.
    """
    local = [member(f"local-{number}", "hobart") for number in range(4)]
    remote = [member(f"remote-{number}", "burnie") for number in range(4)]
    fleet = Fleet([*local, *remote], aim_ms=30)
    for entry in local:
        fleet.targets[entry.node].slow_factor = 2.5
    fleet.load(800, 6000)
    fleet.events.run()
    took = fleet.outcomes(from_ms=2000)["answered"]
    assert quantile(took, 0.5) <= 15
    even = Fleet([*local, *remote], aim_ms=30)
    even.load(800, 6000)
    even.events.run()
    local_runs = sum(even.targets[entry.node].runs for entry in local)
    assert local_runs > 0.95 * len(even.calls)


@pytest.mark.parametrize("seed", range(30))
def test_comparison_of_all_targets_finds_the_best_rank(seed: int) -> None:
    """Guards against a comparison that orders targets otherwise than `_rank`.

    The comparison of all targets computes the parts of the rank by itself.
    """
    rng = random.Random(seed)
    balancer = TwoChoices(rng, Ramp(0.5, 3000))
    now_ms = 100_000.0
    targets = [
        MemberEntry(
            node=f"node-{number}",
            incarnation=rng.randint(1, 2),
            state="ready",
            data_centre=rng.choice("ab"),
            upstream="blue",
            slots=rng.randint(0, 9),
        )
        for number in range(20)
    ]
    candidates = Candidates(tuple(targets))
    outcomes = [
        RequestOutcome(
            result,
            took_ms=rng.randint(1, 900),
            retry_after_ms=rng.randint(0, 400),
            outstanding=rng.randint(0, 9),
            traffic_class="interactive",
            route="/a",
            aim_ms=rng.choice([0, 300]),
        )
        for result in TargetResult
    ]
    for _ in range(120):
        now_ms += rng.uniform(0, 90)
        target = rng.choice(targets)
        balancer.on_sent(target, now_ms)
        if rng.random() < 0.9:
            balancer.on_ended(target, candidates, rng.choice(outcomes), now_ms)
        if rng.random() < 0.1:
            balancer.loads[target.node].ramp_from_ms = now_ms
        attempted = {item.node for item in rng.sample(targets, 3)}
        usable = [
            item
            for item in targets
            if balancer._usable(item, attempted, now_ms)
        ]
        found = balancer._cheapest_usable(
            targets, attempted, "interactive", now_ms
        )
        ranks = [balancer._rank(item, "interactive", now_ms) for item in usable]
        if not usable:
            assert found is None
            continue
        assert found is not None
        assert balancer._rank(found, "interactive", now_ms) == min(ranks)
        assert found is usable[ranks.index(min(ranks))]


def test_comparison_of_full_targets_takes_few_calls() -> None:
    """Guards against picks that take most of the time under overload."""
    balancer = TwoChoices(random.Random(1))
    targets = [
        MemberEntry(
            node=f"node-{number}",
            state="ready",
            data_centre="a",
            upstream="blue",
            slots=5,
        )
        for number in range(40)
    ]
    candidates = Candidates(tuple(targets))
    balancer.pick(candidates, set(), "interactive", 0)
    full = RequestOutcome(
        TargetResult.WOULD_WAIT,
        retry_after_ms=300,
        traffic_class="interactive",
    )
    for target in targets:
        balancer.on_sent(target, 1)
        balancer.on_ended(target, candidates, full, 1)
    calls = 0

    def on_event(_: object, event: str, __: object) -> None:
        nonlocal calls
        calls += event == "call"

    sys.setprofile(on_event)
    try:
        balancer.pick(candidates, set(), "interactive", 2)
    finally:
        sys.setprofile(None)
    assert calls <= 5 * len(targets)
