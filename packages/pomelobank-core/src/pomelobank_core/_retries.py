"""Decides whether a request is sent to another target, and when."""

import enum
import random
from collections.abc import Callable

import attrs

from pomelobank_core._errors import ErrorKind
from pomelobank_core._retry_budget import Budget, RetryBudget
from pomelobank_core.shedding import (
    BudgetReserve,
    CallGroup,
    Importance,
    RouteImportance,
    SiblingCalls,
)

# Maximum number of attempts of one request, the first included. Three attempts
# get past a dead target and a second target that dies meanwhile; more attempts
# only add load when most targets are dead.
MAX_ATTEMPTS = 3
# Number of attempts after which an overload error is no longer retried; where
# overload rejections are free, the number of free retries. If two targets that
# were selected by their load are both full, the whole upstream is full.
MAX_OVERLOAD_ATTEMPTS = 2
# Maximum number of retries of one request after attempts that cost the upstream
# no work (`RetryCost.TRANSPARENT`). Free overload rejections are limited by
# `MAX_OVERLOAD_ATTEMPTS` instead.
MAX_TRANSPARENT_RETRIES = 4
# Limits of the random pause before a retry. The pause is the minimum, which
# lets the report of a crash arrive before the next attempt, plus a random time
# up to a bound. The bound starts at the first value and doubles with each
# further attempt up to the maximum.
MIN_DELAY_MS = 10.0
FIRST_DELAY_BOUND_MS = 40.0
MAX_DELAY_BOUND_MS = 500.0
# Fraction of the budget from which calls that were rejected together are not
# retried. Each of them needs a retry that is served, so that a retry saves the
# parent's work less than half as often as that of a call rejected alone.
MAX_USED_BY_PAIRS = 0.25


class RetryCost(enum.Enum):
    """Cost of another attempt for the upstream.

    Attributes:
        NEVER: Another attempt cannot help or is not allowed.
        TRANSPARENT: The failed attempt cost nothing, because the target's node
            was not reached or is leaving.
        NOT_RUN: The request did not run, so its work is done once.
        IDEMPOTENT: The request may have run and would run again; only
            idempotent requests are retried.
    """

    NEVER = "never"
    TRANSPARENT = "redirect"
    NOT_RUN = "not-run"
    IDEMPOTENT = "idempotent"


RETRY_COSTS: dict[ErrorKind, RetryCost] = {
    ErrorKind.DRAINING: RetryCost.TRANSPARENT,
    ErrorKind.PEER_UNREACHABLE: RetryCost.TRANSPARENT,
    ErrorKind.NO_TARGET: RetryCost.TRANSPARENT,
    ErrorKind.NOT_READY: RetryCost.TRANSPARENT,
    ErrorKind.TARGET_LIMITED: RetryCost.TRANSPARENT,
    ErrorKind.UPSTREAM_UNREACHABLE: RetryCost.NOT_RUN,
    ErrorKind.OVERLOADED: RetryCost.NOT_RUN,
    ErrorKind.TARGET_REFUSED: RetryCost.NOT_RUN,
    ErrorKind.TARGET_REPLACED: RetryCost.NOT_RUN,
    ErrorKind.PEER_LOST: RetryCost.IDEMPOTENT,
    ErrorKind.UPSTREAM_LOST: RetryCost.IDEMPOTENT,
    ErrorKind.ANSWER_TRUNCATED: RetryCost.IDEMPOTENT,
}


# Failures caused by overload; None stands for a response with which the target
# shed the request.
_OVERLOAD_ERRORS = (None, ErrorKind.OVERLOADED, ErrorKind.TARGET_REFUSED)


# Rejections of a request that another target may have room for now.
_REJECTED_BY_LOAD = (
    ErrorKind.OVERLOADED,
    ErrorKind.TARGET_REFUSED,
    ErrorKind.TARGET_LIMITED,
)


@attrs.frozen
class FailedAttempt:
    """A failed attempt of a request.

    Attributes:
        error: Kind of the failure; None if the target shed the request with a
            response.
        idempotent: Whether the request may run more than once.
        attempts: Number of attempts so far.
        transparent_retries: Number of attempts that cost the upstream nothing.
        remaining_ms: Time to the caller's deadline.
        expected_ms: Expected time to a response.
        is_retry: Whether the request itself belongs to a retry of its caller.
        other_has_capacity: Whether a target without an attempt probably has a
            free slot.
        max_attempts: Maximum number of attempts, the first included.
        route: The request's route.
        is_random: Whether a target with free slots rejected the request.
        group: Parallel calls that the request belongs to; None if it is no call
            of running work.
    """

    error: ErrorKind | None
    idempotent: bool
    attempts: int
    transparent_retries: int
    remaining_ms: float
    expected_ms: float = 0.0
    is_retry: bool = False
    other_has_capacity: bool = True
    max_attempts: int = MAX_ATTEMPTS
    route: str = ""
    is_random: bool = False
    group: CallGroup | None = None


@attrs.frozen
class Retry:
    """Decision to send the request to another target.

    Attributes:
        delay_ms: Pause before the next attempt.
        transparent: Whether the failed attempt cost the upstream nothing.
    """

    delay_ms: float
    transparent: bool


def retry_cost(error: ErrorKind | None) -> RetryCost:
    """Returns the cost of another attempt; None stands for a shed request.

    A target that sheds a request has sent a response, so the node cannot be
    certain that the request did not run.
    """
    if error is None:
        return RetryCost.IDEMPOTENT
    return RETRY_COSTS.get(error, RetryCost.NEVER)


@attrs.define(eq=False)
class RetryPolicy:
    """Decides about retries, with a retry budget for each upstream.

    Only the node nearest to a failure retries, so that retries do not multiply
    along a chain of calls. A node passes on every response of a target, even if
    a service behind the target failed, and does not retry a request that itself
    belongs to a retry.

    Attributes:
        rng: Random number generator.
        new_budget: Makes the budget of an upstream.
        free_rejections: Whether an attempt that the target's node rejected
            costs nothing, because the budget bounds the load of the targets
            themselves.
        budgets: Budgets by upstream.
        importance: Tells which requests need the budget most.
        siblings: Groups the parallel calls of one request.
        reserves: Reserves of the budgets by upstream.
    """

    rng: random.Random = attrs.field(factory=random.Random)
    new_budget: Callable[[], Budget] = RetryBudget
    free_rejections: bool = False
    budgets: dict[str, Budget] = attrs.field(factory=dict)
    importance: RouteImportance = attrs.field(factory=RouteImportance)
    siblings: SiblingCalls = attrs.field(factory=SiblingCalls)
    reserves: dict[str, BudgetReserve] = attrs.field(factory=dict)

    def on_first_attempt(
        self, upstream: str, now_ms: float, route: str = "", aim_ms: int = 0
    ) -> None:
        """Records the first attempt of a request.

        Args:
            upstream: Name of the request's upstream.
            now_ms: Current time.
            route: The request's route.
            aim_ms: The route's latency objective; 0 without one.
        """
        self._budget(upstream).on_first_attempt(now_ms)
        self.importance.on_request(upstream, route, aim_ms)

    def call_group(
        self, upstream: str, route: str, deadline_ms: float, now_ms: float
    ) -> CallGroup | None:
        """Returns the group of a call; None for any other request."""
        if self.importance.of(upstream, route, True) is not Importance.CALL:
            return None
        return self.siblings.join(route, deadline_ms, now_ms)

    def allow_hedge(self, upstream: str, now_ms: float) -> bool:
        """Takes a hedged request from the budget; returns whether it may go."""
        return self._try_acquire(upstream, Importance.OTHER, now_ms)

    def decide(
        self, upstream: str, attempt: FailedAttempt, now_ms: float
    ) -> Retry | None:
        """Decides whether a failed attempt is followed by another attempt.

        Args:
            upstream: Name of the request's upstream.
            attempt: The failed attempt.
            now_ms: Current time.

        Returns:
            The retry; None if the caller gets the error now.
        """
        importance = self.importance.of(
            upstream, attempt.route, attempt.idempotent
        )
        if attempt.is_random:
            reserve = self.reserves.setdefault(upstream, BudgetReserve())
            reserve.on_random_rejection(importance, now_ms)
        cost = self._cost(attempt.error)
        if not self._is_allowed(cost, attempt):
            return None
        delay_ms = self._delay_ms(cost, attempt)
        if delay_ms + attempt.expected_ms >= attempt.remaining_ms:
            return None
        if cost is RetryCost.TRANSPARENT:
            return Retry(delay_ms, transparent=True)
        if attempt.is_random and self._is_useless(upstream, attempt, now_ms):
            return None
        if not self._try_acquire(upstream, importance, now_ms):
            return None
        return Retry(delay_ms, transparent=False)

    def _is_useless(
        self, upstream: str, attempt: FailedAttempt, now_ms: float
    ) -> bool:
        group = attempt.group
        if group is None:
            return False
        if group.lost:
            return True
        used_fraction = self._budget(upstream).used_fraction(now_ms)
        return group.rejected > 1 and used_fraction > MAX_USED_BY_PAIRS

    def _try_acquire(
        self, upstream: str, importance: Importance, now_ms: float
    ) -> bool:
        budget = self._budget(upstream)
        reserve = self.reserves.get(upstream)
        if reserve is not None and not reserve.allows(
            importance, budget.used_fraction(now_ms), now_ms
        ):
            budget.denied += 1
            return False
        return budget.try_acquire(now_ms)

    def _cost(self, error: ErrorKind | None) -> RetryCost:
        if error is ErrorKind.OVERLOADED and self.free_rejections:
            return RetryCost.TRANSPARENT
        return retry_cost(error)

    def _is_allowed(self, cost: RetryCost, attempt: FailedAttempt) -> bool:
        if cost is RetryCost.NEVER:
            return False
        if cost is RetryCost.TRANSPARENT:
            if (
                attempt.error in _REJECTED_BY_LOAD
                and not attempt.other_has_capacity
            ):
                return False
            max_retries = (
                MAX_OVERLOAD_ATTEMPTS
                if attempt.error is ErrorKind.OVERLOADED
                else MAX_TRANSPARENT_RETRIES
            )
            return attempt.transparent_retries < max_retries
        sent = attempt.attempts - attempt.transparent_retries
        if attempt.is_retry or sent >= attempt.max_attempts:
            return False
        if cost is RetryCost.IDEMPOTENT and not attempt.idempotent:
            return False
        # If all targets of the upstream are full, a retry only adds load.
        # A random rejection says nothing about free slots.
        is_overload = (
            attempt.error in _OVERLOAD_ERRORS and not attempt.is_random
        )
        if is_overload and sent >= MAX_OVERLOAD_ATTEMPTS:
            return False
        return attempt.other_has_capacity or not is_overload

    def _delay_ms(self, cost: RetryCost, attempt: FailedAttempt) -> float:
        # Nodes that lose the same target at the same time would all retry at
        # the next target together (thundering herd); a random delay up to the
        # bound spreads their attempts (full jitter).
        if cost is RetryCost.TRANSPARENT and attempt.transparent_retries <= 1:
            return 0.0
        if attempt.error in _REJECTED_BY_LOAD:
            # The retry goes to another target that is believed to have a free
            # slot now. A pause would not make a slot more likely; it would only
            # delay the response or the rejection.
            return 0.0
        bound_ms = FIRST_DELAY_BOUND_MS * 2 ** (attempt.attempts - 1)
        bound_ms = min(MAX_DELAY_BOUND_MS, bound_ms)
        return MIN_DELAY_MS + self.rng.uniform(0.0, bound_ms)

    def _budget(self, upstream: str) -> Budget:
        budget = self.budgets.get(upstream)
        if budget is None:
            budget = self.budgets[upstream] = self.new_budget()
        return budget
