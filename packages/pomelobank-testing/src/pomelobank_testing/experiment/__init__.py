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
    Pattern,
    RouteLoad,
    TargetGroup,
)

__all__ = [
    "MECHANISMS",
    "PATTERNS",
    "Burst",
    "Fault",
    "InnerCalls",
    "Outcomes",
    "Pattern",
    "RouteLoad",
    "RouteOutcome",
    "TargetGroup",
    "max_value_ratio",
    "run_pattern",
]
