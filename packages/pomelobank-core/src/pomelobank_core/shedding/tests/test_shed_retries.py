"""Retries at an upstream whose targets all reject 55% at random."""

import random
from collections import Counter, deque

import attrs
import pytest

from pomelobank_core import (
    ErrorKind,
    FailedAttempt,
    MeshRetryBudget,
    RetryPolicy,
)
from pomelobank_core.shedding import (
    RESERVE_HOLD_MS,
    BudgetReserve,
    Importance,
    RouteImportance,
)

UPSTREAM = "documents"
OBJECTIVES_MS = {"index": 309, "archive": 1524, "receipt": 5112}
SHED_SHARE = 0.55
RATIO, SLACK, WINDOW_MS = 0.2, 10.0, 10_000


@pytest.mark.parametrize(
    ("objectives_ms", "calls"),
    [
        pytest.param(OBJECTIVES_MS, {"index"}, id="far below the others"),
        pytest.param({"a": 87, "b": 310}, {"a"}, id="two routes"),
        pytest.param({"a": 90, "b": 87, "c": 610}, {"a", "b"}, id="two calls"),
        pytest.param({"a": 200, "b": 400}, set(), id="similar objectives"),
        pytest.param({"a": 50}, set(), id="only route"),
        pytest.param({"a": 0, "b": 400}, set(), id="no objective"),
    ],
)
def test_calls_are_recognised_by_their_objective(
    objectives_ms: dict[str, int], calls: set[str]
) -> None:
    """Guards against callers' requests that count as calls."""
    importance = RouteImportance()
    for route, objective_ms in objectives_ms.items():
        importance.on_request(UPSTREAM, route, objective_ms)
    found = {
        route
        for route in objectives_ms
        if importance.of(UPSTREAM, route, True) is Importance.CALL
    }
    assert found == calls
    assert importance.of("other", "a", idempotent=False) is Importance.RUN_ONCE


def _policy() -> RetryPolicy:
    return RetryPolicy(
        random.Random(1),
        new_budget=lambda: MeshRetryBudget(RATIO, SLACK, WINDOW_MS, lambda: 1),
        free_rejections=True,
    )


REJECTED = FailedAttempt(
    ErrorKind.TARGET_REFUSED,
    idempotent=True,
    attempts=1,
    transparent_retries=0,
    remaining_ms=1000,
    is_random=True,
)


@attrs.define
class _Replay:
    """Sends 100 requests a second for 30 s; each is retried up to twice."""

    policy: RetryPolicy = attrs.field(factory=_policy)
    rng: random.Random = attrs.field(factory=lambda: random.Random(2))
    rejected: Counter[str] = attrs.field(factory=Counter)
    retried: Counter[str] = attrs.field(factory=Counter)
    retry_times_ms: list[int] = attrs.field(factory=list)
    request_times_ms: list[int] = attrs.field(factory=list)

    def run(self, *, is_random: bool) -> "_Replay":
        for now_ms in range(0, 30_000, 10):
            self._send(self.rng.choice([*OBJECTIVES_MS]), is_random, now_ms)
        return self

    def _send(self, route: str, is_random: bool, now_ms: int) -> None:
        aim_ms = OBJECTIVES_MS[route]
        self.policy.on_first_attempt(UPSTREAM, now_ms, route, aim_ms)
        self.request_times_ms.append(now_ms)
        attempts = 1
        while self.rng.random() < SHED_SHARE:
            self.rejected[route] += 1
            attempt = attrs.evolve(
                REJECTED, route=route, attempts=attempts, is_random=is_random
            )
            if self.policy.decide(UPSTREAM, attempt, now_ms) is None:
                return
            self.retried[route] += 1
            self.retry_times_ms.append(now_ms)
            attempts += 1

    def retried_share(self, route: str) -> float:
        return self.retried[route] / self.rejected[route]


def test_retry_budget_is_never_exceeded_while_targets_shed() -> None:
    """Guards against retries beyond the budget of any 10 s."""
    replay = _Replay().run(is_random=True)
    window: deque[int] = deque()
    for now_ms in replay.retry_times_ms:
        window.append(now_ms)
        while window[0] <= now_ms - WINDOW_MS:
            window.popleft()
        requests = sum(
            now_ms - WINDOW_MS < at_ms <= now_ms
            for at_ms in replay.request_times_ms
        )
        assert len(window) <= RATIO * requests + SLACK


def test_calls_get_the_retry_budget_before_callers_requests() -> None:
    """Guards against running work that is lost for want of a retry."""
    replay = _Replay().run(is_random=True)
    assert replay.retried_share("index") > 5 * replay.retried_share("archive")
    assert replay.retried["archive"] > 0
    total = replay.policy.budgets[UPSTREAM].spent
    assert total == sum(replay.retried.values())


def test_budget_has_no_order_where_targets_are_really_full() -> None:
    """Guards against changed retries of deployments that do not shed."""
    replay = _Replay().run(is_random=False)
    assert not replay.policy.reserves
    assert replay.retried_share("index") == pytest.approx(
        replay.retried_share("archive"), rel=0.3
    )


def test_hedges_leave_the_reserve_to_rejected_calls() -> None:
    """Guards against hedged requests that use up the budget of calls."""
    policy = _Replay().run(is_random=True).policy
    assert not policy.allow_hedge(UPSTREAM, 30_000)


def test_random_rejections_do_not_end_the_retries_of_a_request() -> None:
    """Guards against two rejections that count as a full upstream."""
    policy = _policy()
    policy.on_first_attempt(UPSTREAM, 0)
    attempt = attrs.evolve(REJECTED, idempotent=False, attempts=2)
    assert policy.decide(UPSTREAM, attempt, 0) is not None
    full = attrs.evolve(attempt, is_random=False)
    assert policy.decide(UPSTREAM, full, 0) is None


def test_no_retry_is_spent_on_a_call_whose_sibling_has_failed() -> None:
    """Guards against retries whose response cannot save the parent's work."""
    policy = _policy()
    for route, aim_ms in OBJECTIVES_MS.items():
        policy.on_first_attempt(UPSTREAM, 0, route, aim_ms)
    group = policy.call_group(UPSTREAM, "index", 928, 0)
    assert group is policy.call_group(UPSTREAM, "index", 929, 1)
    assert group is not None
    assert policy.call_group(UPSTREAM, "index", 940, 1) is not group
    assert policy.call_group(UPSTREAM, "archive", 928, 0) is None
    attempt = attrs.evolve(REJECTED, route="index", group=group)
    assert policy.decide(UPSTREAM, attempt, 5) is not None
    group.lost = True
    assert policy.decide(UPSTREAM, attempt, 5) is None


def test_groups_of_calls_end_with_a_pause_between_arrivals() -> None:
    """Guards against calls of different requests that count as siblings."""
    policy = _policy()
    for route, aim_ms in OBJECTIVES_MS.items():
        policy.on_first_attempt(UPSTREAM, 0, route, aim_ms)
    group = policy.call_group(UPSTREAM, "index", 928, 0)
    assert policy.call_group(UPSTREAM, "index", 928, 10) is not group


def test_calls_rejected_together_leave_the_budget_to_single_ones() -> None:
    """Guards against two retries for one parent while others need one each."""
    policy = _policy()
    for route, aim_ms in OBJECTIVES_MS.items():
        policy.on_first_attempt(UPSTREAM, 0, route, aim_ms)
    group = policy.call_group(UPSTREAM, "index", 928, 0)
    assert group is policy.call_group(UPSTREAM, "index", 928, 0)
    assert group is not None
    attempt = attrs.evolve(REJECTED, route="index", group=group)
    group.rejected = 2
    assert policy.decide(UPSTREAM, attempt, 5) is not None
    while policy.decide(UPSTREAM, attempt, 5) is not None:
        continue
    group.rejected = 1
    assert policy.decide(UPSTREAM, attempt, 5) is not None


@pytest.mark.parametrize(
    ("importance", "used_fraction", "allowed"),
    [
        pytest.param(Importance.CALL, 0.9, True, id="call"),
        pytest.param(Importance.RUN_ONCE, 0.4, True, id="run once"),
        pytest.param(Importance.RUN_ONCE, 0.6, False, id="reserved for calls"),
        pytest.param(Importance.OTHER, 0.2, True, id="other"),
        pytest.param(Importance.OTHER, 0.4, False, id="reserved for both"),
    ],
)
def test_each_importance_leaves_a_share_of_the_budget_to_higher_ones(
    importance: Importance, used_fraction: float, allowed: bool
) -> None:
    """Guards against an importance that gets nothing, or everything."""
    reserve = BudgetReserve()
    assert reserve.allows(importance, used_fraction, 0)
    reserve.on_random_rejection(Importance.CALL, 0)
    assert reserve.allows(importance, used_fraction, 100) is allowed
    assert reserve.allows(importance, used_fraction, RESERVE_HOLD_MS + 1)
