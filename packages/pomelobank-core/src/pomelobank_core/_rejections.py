"""Rejections with a randomised time to retry after."""

import random

from pomelobank_core._admission_request import Rejected
from pomelobank_core._errors import ErrorKind

# Bounds of the retry delay. A retry before the minimum would meet the same
# queue again.
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 30_000


def rejection(kind: ErrorKind, wait_ms: float, rng: random.Random) -> Rejected:
    """Returns a rejection with jitter in its retry delay.

    With the same delay, all callers rejected in one burst would retry as the
    next burst; each delay is therefore one to two times the wait.

    Args:
        kind: Error kind of the rejection.
        wait_ms: Time until a slot is likely to be free.
        rng: Random number generator.
    """
    jittered_ms = wait_ms * rng.uniform(1.0, 2.0)
    bounded_ms = min(max(jittered_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
    return Rejected(kind, int(bounded_ms))
