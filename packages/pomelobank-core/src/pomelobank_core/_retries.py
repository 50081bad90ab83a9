"""Decides whether a request is sent to another target, and when."""

import enum
import random

import attrs

from pomelobank_core._errors import ErrorKind

# Tries of one request, the first included. Three reach past one dead target
# and one that dies meanwhile; more only add load when most are dead.
MAX_TRIES = 3
# Two targets drawn by their load that are both full mean a full upstream.
MAX_LOAD_TRIES = 2
# Tries that were turned away before they cost a target anything.
MAX_REDIRECTS = 4
# One try in ten more than the first tries: a failing upstream gets 10% more
# load, not a multiple. Over 13 hops that is at most 1.1^13 = 3.5 times, where
# three tries at each hop would be 3^13 = 1.6 million times.
BUDGET_RATIO = 0.1
# Kept for bursts of failures, as when a target with ten requests dies.
BUDGET_MOST = 20.0
# So that an upstream with one request a minute may still retry it.
BUDGET_FLOOR_PER_S = 0.5
# The shortest pause lets the news of a crash arrive before the next try.
MIN_DELAY_MS = 10.0
FIRST_DELAY_MS = 40.0
MAX_DELAY_MS = 500.0
_MS_PER_S = 1000.0


class RetryCost(enum.Enum):
    """What another try costs the upstream.

    Attributes:
        NEVER: Another try cannot help or is not allowed.
        REDIRECT: Nothing yet: the target's node was not reached or is leaving.
        NOT_RUN: The request did not run and costs its work once.
        IDEMPOTENT: It may run again; allowed for idempotent work only.
    """

    NEVER = "never"
    REDIRECT = "redirect"
    NOT_RUN = "not-run"
    IDEMPOTENT = "idempotent"


RETRY_COSTS: dict[ErrorKind, RetryCost] = {
    ErrorKind.DRAINING: RetryCost.REDIRECT,
    ErrorKind.PEER_UNREACHABLE: RetryCost.REDIRECT,
    ErrorKind.NO_TARGET: RetryCost.REDIRECT,
    ErrorKind.NOT_READY: RetryCost.REDIRECT,
    ErrorKind.UPSTREAM_UNREACHABLE: RetryCost.NOT_RUN,
    ErrorKind.OVERLOADED: RetryCost.NOT_RUN,
    ErrorKind.PEER_LOST: RetryCost.IDEMPOTENT,
    ErrorKind.UPSTREAM_LOST: RetryCost.IDEMPOTENT,
    ErrorKind.ANSWER_TRUNCATED: RetryCost.IDEMPOTENT,
}


@attrs.define
class RetryBudget:
    """Tries that one upstream may be given beyond the first ones.

    Made for an upstream that fails or is overloaded as a whole. Without it
    each failed request comes back up to three times, and the upstream stays
    down under the tries. One notices by load that grows while answers fall.

    Attributes:
        tokens: Tries that are left.
        refilled_ms: When the floor was last added.
        spent: Tries that were allowed.
        denied: Tries that were not.
    """

    tokens: float = BUDGET_MOST
    refilled_ms: float | None = None
    spent: int = 0
    denied: int = 0

    def first_try(self, now_ms: float) -> None:
        """Takes a request's first try."""
        self._refill(now_ms)
        self.tokens = min(BUDGET_MOST, self.tokens + BUDGET_RATIO)

    def take(self, now_ms: float) -> bool:
        """Takes one try out; returns whether there was one."""
        self._refill(now_ms)
        if self.tokens < 1.0:
            self.denied += 1
            return False
        self.tokens -= 1.0
        self.spent += 1
        return True

    def _refill(self, now_ms: float) -> None:
        if self.refilled_ms is not None:
            passed_ms = max(0.0, now_ms - self.refilled_ms)
            floor = BUDGET_FLOOR_PER_S * passed_ms / _MS_PER_S
            self.tokens = min(BUDGET_MOST, self.tokens + floor)
        self.refilled_ms = now_ms


@attrs.frozen
class FailedTry:
    """A try that has failed.

    Attributes:
        error: How; None where the target shed the request with an answer.
        idempotent: Whether the request may run more than once.
        tries: Tries so far.
        redirects: How many of them cost the upstream nothing.
        left_ms: Time to the caller's deadline.
        usual_ms: Time that an answer usually takes.
        is_retry: Whether the request came in as part of another's retry.
        other_room: Whether a target that was not tried plausibly has room.
    """

    error: ErrorKind | None
    idempotent: bool
    tries: int
    redirects: int
    left_ms: float
    usual_ms: float = 0.0
    is_retry: bool = False
    other_room: bool = True


@attrs.frozen
class Retry:
    """The request is sent to another target.

    Attributes:
        after_ms: Pause before that.
        redirect: Whether the failed try cost the upstream nothing.
    """

    after_ms: float
    redirect: bool


def retry_cost(error: ErrorKind | None) -> RetryCost:
    """Returns what another try costs; None stands for a shed request.

    A target that sheds has answered, so it is not certain that the request
    did not run.
    """
    if error is None:
        return RetryCost.IDEMPOTENT
    return RETRY_COSTS.get(error, RetryCost.NEVER)


@attrs.define(eq=False)
class Retries:
    """Decides about retries; one budget for each upstream.

    Only the node nearest to a failure retries. What comes back from a target
    is an answer, also when a service behind it failed, and is passed on; and a
    request that is itself part of a retry is not retried again. So retries do
    not multiply along a chain of calls.

    Attributes:
        seeded: Source of randomness.
        budgets: Budgets by upstream.
    """

    seeded: random.Random = attrs.field(factory=random.Random)
    budgets: dict[str, RetryBudget] = attrs.field(factory=dict)

    def first_try(self, upstream: str, now_ms: float) -> None:
        """Takes a request's first try."""
        self._budget(upstream).first_try(now_ms)

    def decide(
        self, upstream: str, attempt: FailedTry, now_ms: float
    ) -> Retry | None:
        """Decides about a failed try.

        Args:
            upstream: The upstream it was for.
            attempt: The failed try.
            now_ms: Current time.

        Returns:
            When to try again, None where the caller gets the error now.
        """
        cost = retry_cost(attempt.error)
        if not self._may(cost, attempt):
            return None
        after_ms = self._delay_ms(cost, attempt)
        if after_ms + attempt.usual_ms >= attempt.left_ms:
            return None
        if cost is RetryCost.REDIRECT:
            return Retry(after_ms, redirect=True)
        if not self._budget(upstream).take(now_ms):
            return None
        return Retry(after_ms, redirect=False)

    def _may(self, cost: RetryCost, attempt: FailedTry) -> bool:
        if cost is RetryCost.NEVER:
            return False
        if cost is RetryCost.REDIRECT:
            return attempt.redirects < MAX_REDIRECTS
        if attempt.is_retry or attempt.tries - attempt.redirects >= MAX_TRIES:
            return False
        if cost is RetryCost.IDEMPOTENT and not attempt.idempotent:
            return False
        # A full upstream as a whole is not helped by asking it again.
        is_load = attempt.error in (None, ErrorKind.OVERLOADED)
        if is_load and attempt.tries - attempt.redirects >= MAX_LOAD_TRIES:
            return False
        return attempt.other_room or not is_load

    def _delay_ms(self, cost: RetryCost, attempt: FailedTry) -> float:
        # Nodes that lost the same target at the same moment would all come to
        # the next one together; a delay of any length up to the bound spreads
        # them (full jitter).
        if cost is RetryCost.REDIRECT and attempt.redirects <= 1:
            return 0.0
        if attempt.error is ErrorKind.OVERLOADED:
            # Another target has room now or not; waiting would only make a
            # refusal late.
            return 0.0
        bound_ms = FIRST_DELAY_MS * 2 ** (attempt.tries - 1)
        bound_ms = min(MAX_DELAY_MS, bound_ms)
        return MIN_DELAY_MS + self.seeded.uniform(0.0, bound_ms)

    def _budget(self, upstream: str) -> RetryBudget:
        return self.budgets.setdefault(upstream, RetryBudget())
