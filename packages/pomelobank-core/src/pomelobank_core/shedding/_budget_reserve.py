"""Reserves parts of a retry budget for more important requests."""

import attrs

from pomelobank_core.shedding._importance import Importance

# Fraction of the budget up to which requests of an importance may use it while
# more important ones are rejected at random. Each importance leaves half of
# what it may use to the higher ones.
_MAX_USED_FRACTION = {
    Importance.CALL: 1.0,
    Importance.RUN_ONCE: 0.5,
    Importance.OTHER: 0.25,
}
# Time for which the reserve is kept after a random rejection. Requests that
# this node sends to the upstream a few times a second are rejected again
# within it while the target's fault lasts.
RESERVE_HOLD_MS = 2_000


@attrs.define
class BudgetReserve:
    """Reserve of one upstream's retry budget.

    Handles an upstream whose targets all reject more requests than the budget
    allows to retry. Without a reserve, requests whose callers retry anyway use
    the budget up, and calls whose failure loses running work get none of it.
    The reserve exists only while requests are rejected at random.

    Attributes:
        rejected_ms: Time of the last random rejection, by importance.
    """

    rejected_ms: dict[Importance, float] = attrs.field(factory=dict)

    def on_random_rejection(
        self, importance: Importance, now_ms: float
    ) -> None:
        """Records a random rejection of a request."""
        self.rejected_ms[importance] = now_ms

    def allows(
        self, importance: Importance, used_fraction: float, now_ms: float
    ) -> bool:
        """Returns whether a request may use the retry budget.

        Args:
            importance: Importance of the request.
            used_fraction: Fraction of the budget that is used.
            now_ms: Current time.
        """
        return (
            not self._more_important_is_rejected(importance, now_ms)
            or used_fraction < _MAX_USED_FRACTION[importance]
        )

    def _more_important_is_rejected(
        self, importance: Importance, now_ms: float
    ) -> bool:
        return any(
            other < importance and now_ms - at_ms <= RESERVE_HOLD_MS
            for other, at_ms in self.rejected_ms.items()
        )
