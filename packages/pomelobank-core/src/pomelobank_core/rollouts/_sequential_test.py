"""Detects that the rate of bad answers has risen above a reference."""

import math

import attrs

# Rates that the test compares with the reference, as the part of the good
# answers that turned bad. A small one finds a revision of which few answers are
# bad, a large one finds a broken revision within some ten answers.
RISES = (0.1, 0.25, 0.5, 0.9)
# Logarithm of the likelihood ratio at which the test decides. With it, each sum
# is wrong once in some twenty thousand answers of a revision whose rate is the
# reference, which lies above the rate of the other revisions.
THRESHOLD = 10.0


@attrs.define(eq=False)
class SequentialTest:
    """Cumulative sums of log-likelihood ratios (CUSUM; E. S. Page, 1954).

    Each sum compares the reference rate with one higher rate and starts again
    at 0 whenever it would fall below, so that a revision which turns bad after
    many good answers is found as soon as one that is bad from the start. The
    test may look at the data after every answer.

    Attributes:
        sums: One sum for each of `RISES`.
    """

    sums: list[float] = attrs.field(factory=lambda: [0.0] * len(RISES))

    def add(self, bad: int, good: int, reference: float) -> bool:
        """Adds answers; returns whether the rate of bad ones has risen.

        Args:
            bad: Number of bad answers.
            good: Number of other answers.
            reference: Rate of bad answers that is expected at most, above 0 and
                below 1.
        """
        for index, rise in enumerate(RISES):
            rate = reference + (1.0 - reference) * rise
            gain = bad * math.log(rate / reference)
            loss = good * math.log((1.0 - rate) / (1.0 - reference))
            self.sums[index] = max(0.0, self.sums[index] + gain + loss)
        return max(self.sums) >= THRESHOLD
