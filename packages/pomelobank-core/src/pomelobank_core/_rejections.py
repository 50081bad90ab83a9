"""When a refused caller is told to come back."""

import random

from pomelobank_core._admission_request import Rejected
from pomelobank_core._errors import ErrorKind

# Sooner than this a caller would meet the same queue again.
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 30_000


def rejection(kind: ErrorKind, wait_ms: float, rng: random.Random) -> Rejected:
    """Returns a refusal that spreads the callers' return.

    Told the same time, all those refused in one burst would come back as the
    next burst; so each gets once to twice the wait.

    Args:
        kind: Why the request is refused.
        wait_ms: Time until there is likely to be room.
        rng: Source of randomness.
    """
    spread_ms = wait_ms * rng.uniform(1.0, 2.0)
    within_ms = min(max(spread_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
    return Rejected(kind, int(within_ms))
