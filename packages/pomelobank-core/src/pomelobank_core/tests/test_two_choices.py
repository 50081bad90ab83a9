"""What callers get from placing when targets differ, fail and return."""

import random

import pytest

from pomelobank_core import (
    CandidateIndex,
    MemberTable,
    RequestOutcome,
    TargetResult,
    TwoChoices,
)
from pomelobank_core.tests.fleet_support import TRAFFIC_CLASS, Fleet, member
from pomelobank_core.tests.load_support import quantile

FOUR = [member(f"t{number}") for number in range(4)]


def _part(outcomes: dict[str, list[float]], outcome: str) -> float:
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
def test_one_slow_upstream(round_robin: bool, keeps_up: bool) -> None:
    """One of four targets answers twenty times slower than the others.

    Taking turns, one caller in four waits for it or is refused by it.
    """
    fleet = Fleet(FOUR, round_robin=round_robin)
    fleet.targets["t0"].slow_factor = 20
    fleet.load(1200, 5000)
    fleet.events.run()
    outcomes = fleet.outcomes(from_ms=1000)
    good = _part(outcomes, "answered") > 0.99
    fast = quantile(outcomes["answered"], 0.95) <= 50
    assert (good and fast) is keeps_up


def test_skewed_demand() -> None:
    """Nine of ten callers come in through one node."""
    fleet = Fleet(FOUR, entries=4)
    fleet.load(2500, 4000, weights=(27, 1, 1, 1))
    fleet.events.run()
    assert _part(fleet.outcomes(), "answered") > 0.99
    runs = [target.runs for target in fleet.targets.values()]
    assert max(runs) < 1.3 * min(runs)


def test_crash_and_return_of_half_the_targets() -> None:
    """A rack with half of an upstream's targets fails and comes back cold.

    Membership does not know yet. Callers must notice little: what was in
    flight is tried again once, and nothing more is sent to the dead ones.
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
    lately = {name: runs - before[name] for name, runs in _runs(fleet).items()}
    assert lately["t0"] > 0.6 * lately["t2"], "a returned target works again"


def test_all_targets_fail_for_a_while() -> None:
    """Every request fails for two seconds; ejecting all would go on longer."""
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
    assert _part(fleet.outcomes(from_ms=3100), "answered") > 0.99


def test_saturated_upstream_is_not_asked_again_and_again() -> None:
    """Callers ask for three times what all targets together can do."""
    fleet = Fleet(FOUR)
    fleet.load(12_000, 2000, timeout_ms=300)
    fleet.events.run()
    outcomes = fleet.outcomes()
    assert len(outcomes["answered"]) > 0.9 * 4000 * 2
    assert quantile(outcomes["overloaded"], 0.99) <= 2 + 300
    assert quantile(outcomes["overloaded"], 0.5) <= 10
    assert max(fleet.runs.values()) == 1
    assert fleet.attempts <= 1.02 * len(fleet.calls)


def test_own_data_centre_first_then_spill() -> None:
    """The counter's own data centre has one target; a rush needs three."""
    members = [
        member("near", "hobart"),
        member("far-1", "burnie"),
        member("far-2", "burnie"),
    ]
    fleet = Fleet(members)
    fleet.load(300, 2000)
    fleet.load(1800, 4000, from_ms=2100, seed=2)
    fleet.events.run()
    assert _part(fleet.outcomes(), "answered") > 0.99
    quiet = Fleet(members)
    quiet.load(300, 2000)
    quiet.events.run()
    assert quiet.targets["near"].runs > 0.98 * len(quiet.calls)


def test_slow_data_centre_is_left() -> None:
    """The near target turns slow without being full; far ones answer fast."""
    table = MemberTable(member("entry", upstream=""))
    near, far = member("near"), member("far", "burnie")
    table.merge([near, far])
    candidates = CandidateIndex(table).of("stock")
    placing = TwoChoices(random.Random(1))
    for target, took_ms in ((near, 30.0), (far, 12.0)):
        seen = RequestOutcome(TargetResult.RESPONDED, TRAFFIC_CLASS, took_ms)
        placing.on_ended(target, candidates, seen, 0)
    assert placing.pick(candidates, set(), TRAFFIC_CLASS, 1) == near
    for _ in range(20):
        seen = RequestOutcome(TargetResult.RESPONDED, TRAFFIC_CLASS, 200.0)
        placing.on_ended(near, candidates, seen, 2)
    assert placing.pick(candidates, set(), TRAFFIC_CLASS, 3) == far


def test_full_hint_ages_out() -> None:
    """A target refused once for want of room; soon it has room again."""
    table = MemberTable(member("entry", upstream=""))
    table.merge([member("a")])
    index = CandidateIndex(table)
    placing = TwoChoices(random.Random(1))
    entry = placing.pick(index.of("stock"), set(), TRAFFIC_CLASS, 0)
    assert entry is not None
    placing.on_sent(entry, 0)
    full = RequestOutcome(
        TargetResult.FULL, TRAFFIC_CLASS, outstanding=30, retry_after_ms=60_000
    )
    placing.on_ended(entry, index.of("stock"), full, 1)
    assert not placing.has_capacity(entry, TRAFFIC_CLASS, 100)
    assert placing.has_capacity(entry, "batch", 100)
    assert placing.has_capacity(entry, TRAFFIC_CLASS, 300)
    assert (
        placing.all_full_retry_after_ms(index.of("stock"), TRAFFIC_CLASS, 10)
        == 60_000
    )
    assert placing.all_full_retry_after_ms(index.of("stock"), "batch", 10) == 0
    assert (
        placing.all_full_retry_after_ms(index.of("stock"), TRAFFIC_CLASS, 30)
        == 0
    )


def test_new_target_gets_its_part_slowly() -> None:
    """A target starts cold in a running upstream and could not take a rush."""
    fleet = Fleet(FOUR[:3])
    newcomer = member("t3")
    fleet.targets["t3"] = Fleet([newcomer]).targets["t3"]
    fleet.load(2000, 16_000)
    fleet.events.schedule(2000, lambda: fleet.merge(newcomer))
    early = []
    fleet.events.schedule(4000, lambda: early.append(fleet.targets["t3"].runs))
    fleet.events.run()
    assert early[0] < 0.5 * 2000 * 2 / 4
    assert fleet.targets["t3"].runs - early[0] > 0.7 * 2000 * 12 / 4


def test_ejected_target_is_probed_by_one_request() -> None:
    table = MemberTable(member("entry", upstream=""))
    table.merge(FOUR)
    index = CandidateIndex(table)
    candidates = index.of("stock")
    placing = TwoChoices(random.Random(1))
    failed = RequestOutcome(TargetResult.FAILED)
    for _ in range(3):
        placing.on_sent(FOUR[0], 0)
        placing.on_ended(FOUR[0], candidates, failed, 0)

    def chosen(now_ms: float) -> int:
        count = 0
        for _ in range(200):
            entry = placing.pick(candidates, set(), TRAFFIC_CLASS, now_ms)
            assert entry is not None
            if entry.node == "t0":
                placing.on_sent(entry, now_ms)
                count += 1
        return count

    assert chosen(500) == 0
    assert chosen(1500) == 1
    placing.on_ended(FOUR[0], candidates, failed, 1600)
    assert chosen(2500) == 0
    assert chosen(5000) == 1


def test_index_is_made_for_changes_that_count_only() -> None:
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


def test_a_data_centre_with_slow_machines_sends_work_next_door() -> None:
    """One data centre has the slow machines, the other one idle fast ones.

    No target is full, so nothing looks wrong; callers in the slow data centre
    wait more than twice as long as they need.
    """
    near = [member(f"near-{number}", "hobart") for number in range(4)]
    far = [member(f"far-{number}", "burnie") for number in range(4)]
    fleet = Fleet([*near, *far], aim_ms=30)
    for entry in near:
        fleet.targets[entry.node].slow_factor = 2.5
    fleet.load(800, 6000)
    fleet.events.run()
    took = fleet.outcomes(from_ms=2000)["answered"]
    assert quantile(took, 0.5) <= 15
    even = Fleet([*near, *far], aim_ms=30)
    even.load(800, 6000)
    even.events.run()
    stayed = sum(even.targets[entry.node].runs for entry in near)
    assert stayed > 0.95 * len(even.calls)
