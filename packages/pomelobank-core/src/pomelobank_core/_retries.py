"""Decides whether a request is sent to another target, and when."""

import enum
import random
from collections.abc import Callable

import attrs

from pomelobank_core._errors import ErrorKind
from pomelobank_core._retry_budget import Budget, RetryBudget

# Tries of one request, the first included. Three reach past one dead target
# and one that dies meanwhile; more only add load when most are dead.
MAX_ATTEMPTS = 3
# Two targets drawn by their load that are both full mean a full upstream.
MAX_LOAD_TRIES = 2
# Tries that were turned away before they cost a target anything.
MAX_TRANSPARENT_RETRIES = 4
# The shortest pause lets the news of a crash arrive before the next try.
MIN_DELAY_MS = 10.0
FIRST_DELAY_MS = 40.0
MAX_DELAY_MS = 500.0


class RetryCost(enum.Enum):
    """What another try costs the upstream.

    Attributes:
        NEVER: Another try cannot help or is not allowed.
        TRANSPARENT: Nothing yet: the target's node was not reached or is
            leaving.
        NOT_RUN: The request did not run and costs its work once.
        IDEMPOTENT: It may run again; allowed for idempotent work only.
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
    ErrorKind.UPSTREAM_UNREACHABLE: RetryCost.NOT_RUN,
    ErrorKind.OVERLOADED: RetryCost.NOT_RUN,
    ErrorKind.TARGET_REFUSED: RetryCost.NOT_RUN,
    ErrorKind.TARGET_REPLACED: RetryCost.NOT_RUN,
    ErrorKind.PEER_LOST: RetryCost.IDEMPOTENT,
    ErrorKind.UPSTREAM_LOST: RetryCost.IDEMPOTENT,
    ErrorKind.ANSWER_TRUNCATED: RetryCost.IDEMPOTENT,
}


# Failures that tell of too much work, where waiting would not help.
_LOAD_ERRORS = (None, ErrorKind.OVERLOADED, ErrorKind.TARGET_REFUSED)


@attrs.frozen
class FailedAttempt:
    """A try that has failed.

    Attributes:
        error: How; None where the target shed the request with an answer.
        idempotent: Whether the request may run more than once.
        attempts: Tries so far.
        transparent_retries: How many of them cost the upstream nothing.
        remaining_ms: Time to the caller's deadline.
        expected_ms: Time that an answer usually takes.
        is_retry: Whether the request came in as part of another's retry.
        other_has_capacity: Whether a target that was not tried plausibly has
            room.
        max_attempts: Most tries, the first included.
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


@attrs.frozen
class Retry:
    """The request is sent to another target.

    Attributes:
        delay_ms: Pause before that.
        transparent: Whether the failed try cost the upstream nothing.
    """

    delay_ms: float
    transparent: bool


def retry_cost(error: ErrorKind | None) -> RetryCost:
    """Returns what another try costs; None stands for a shed request.

    A target that sheds has answered, so it is not certain that the request
    did not run.
    """
    if error is None:
        return RetryCost.IDEMPOTENT
    return RETRY_COSTS.get(error, RetryCost.NEVER)


@attrs.define(eq=False)
class RetryPolicy:
    """Decides about retries; one budget for each upstream.

    Only the node nearest to a failure retries. What comes back from a target
    is an answer, also when a service behind it failed, and is passed on; and a
    request that is itself part of a retry is not retried again. So retries do
    not multiply along a chain of calls.

    Attributes:
        rng: Source of randomness.
        new_budget: Makes the budget of an upstream.
        free_rejections: Whether a try that the target's node refused costs
            nothing, because the budget bounds what targets themselves see.
        budgets: Budgets by upstream.
    """

    rng: random.Random = attrs.field(factory=random.Random)
    new_budget: Callable[[], Budget] = RetryBudget
    free_rejections: bool = False
    budgets: dict[str, Budget] = attrs.field(factory=dict)

    def on_first_attempt(self, upstream: str, now_ms: float) -> None:
        """Takes a request's first try."""
        self._budget(upstream).on_first_attempt(now_ms)

    def allow_hedge(self, upstream: str, now_ms: float) -> bool:
        """Takes one try out of the budget without a failed one before it."""
        return self._budget(upstream).try_acquire(now_ms)

    def decide(
        self, upstream: str, attempt: FailedAttempt, now_ms: float
    ) -> Retry | None:
        """Decides about a failed try.

        Args:
            upstream: The upstream it was for.
            attempt: The failed try.
            now_ms: Current time.

        Returns:
            When to try again, None where the caller gets the error now.
        """
        cost = self._cost(attempt.error)
        if not self._may(cost, attempt):
            return None
        after_ms = self._delay_ms(cost, attempt)
        if after_ms + attempt.expected_ms >= attempt.remaining_ms:
            return None
        if cost is RetryCost.TRANSPARENT:
            return Retry(after_ms, transparent=True)
        if not self._budget(upstream).try_acquire(now_ms):
            return None
        return Retry(after_ms, transparent=False)

    def _cost(self, error: ErrorKind | None) -> RetryCost:
        if error is ErrorKind.OVERLOADED and self.free_rejections:
            return RetryCost.TRANSPARENT
        return retry_cost(error)

    def _may(self, cost: RetryCost, attempt: FailedAttempt) -> bool:
        if cost is RetryCost.NEVER:
            return False
        if cost is RetryCost.TRANSPARENT:
            if attempt.error is ErrorKind.OVERLOADED:
                return (
                    attempt.other_has_capacity
                    and attempt.transparent_retries < MAX_LOAD_TRIES
                )
            return attempt.transparent_retries < MAX_TRANSPARENT_RETRIES
        sent = attempt.attempts - attempt.transparent_retries
        if attempt.is_retry or sent >= attempt.max_attempts:
            return False
        if cost is RetryCost.IDEMPOTENT and not attempt.idempotent:
            return False
        # A full upstream as a whole is not helped by asking it again.
        is_load = attempt.error in _LOAD_ERRORS
        if is_load and sent >= MAX_LOAD_TRIES:
            return False
        return attempt.other_has_capacity or not is_load

    def _delay_ms(self, cost: RetryCost, attempt: FailedAttempt) -> float:
        # Nodes that lost the same target at the same moment would all come to
        # the next one together; a delay of any length up to the bound spreads
        # them (full jitter).
        if cost is RetryCost.TRANSPARENT and attempt.transparent_retries <= 1:
            return 0.0
        if attempt.error in (ErrorKind.OVERLOADED, ErrorKind.TARGET_REFUSED):
            # Another target has room now or not; waiting would only make a
            # refusal late.
            return 0.0
        bound_ms = FIRST_DELAY_MS * 2 ** (attempt.attempts - 1)
        bound_ms = min(MAX_DELAY_MS, bound_ms)
        return MIN_DELAY_MS + self.rng.uniform(0.0, bound_ms)

    def _budget(self, upstream: str) -> Budget:
        budget = self.budgets.get(upstream)
        if budget is None:
            budget = self.budgets[upstream] = self.new_budget()
        return budget
