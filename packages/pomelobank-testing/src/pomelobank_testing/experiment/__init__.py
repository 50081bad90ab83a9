"""Replays load patterns against the product's code in virtual time."""

from pomelobank_testing.experiment._callers import run_pattern
from pomelobank_testing.experiment._mechanisms import MECHANISMS
from pomelobank_testing.experiment._outcomes import (
    Outcomes,
    RouteOutcome,
    max_value_ratio,
)
from pomelobank_testing.experiment._patterns import (
    PATTERNS,
    Burst,
    Fault,
    InnerCalls,
    LongRequests,
    Pattern,
    Pauses,
    PowerLoss,
    RouteLoad,
    TargetGroup,
    Wave,
)

__all__ = [
    "MECHANISMS",
    "PATTERNS",
    "Burst",
    "Fault",
    "InnerCalls",
    "LongRequests",
    "Outcomes",
    "Pattern",
    "Pauses",
    "PowerLoss",
    "RouteLoad",
    "RouteOutcome",
    "TargetGroup",
    "Wave",
    "max_value_ratio",
    "run_pattern",
]
