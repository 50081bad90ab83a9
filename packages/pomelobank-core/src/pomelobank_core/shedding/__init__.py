"""Targets that reject requests at random although they have free slots."""

from pomelobank_core.shedding._budget_reserve import (
    RESERVE_HOLD_MS,
    BudgetReserve,
)
from pomelobank_core.shedding._importance import Importance, RouteImportance
from pomelobank_core.shedding._random_rejections import RandomRejections
from pomelobank_core.shedding._rejection_delay import (
    FULL_TARGET_DELAY_MS,
    RejectionDelay,
    is_random_rejection,
)
from pomelobank_core.shedding._sibling_calls import CallGroup, SiblingCalls

__all__ = [
    "FULL_TARGET_DELAY_MS",
    "RESERVE_HOLD_MS",
    "BudgetReserve",
    "CallGroup",
    "Importance",
    "RandomRejections",
    "RejectionDelay",
    "RouteImportance",
    "SiblingCalls",
    "is_random_rejection",
]
