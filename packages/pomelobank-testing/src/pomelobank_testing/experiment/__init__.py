"""Loads replayed against the product's decisions, in virtual time."""

from pomelobank_testing.experiment._callers import play
from pomelobank_testing.experiment._mechanisms import MECHANISMS
from pomelobank_testing.experiment._outcomes import (
    Outcomes,
    RouteOutcome,
    worth_bound,
)
from pomelobank_testing.experiment._patterns import (
    PATTERNS,
    Burst,
    InnerCalls,
    Pattern,
    RouteLoad,
    TargetGroup,
    Trouble,
)

__all__ = [
    "MECHANISMS",
    "PATTERNS",
    "Burst",
    "InnerCalls",
    "Outcomes",
    "Pattern",
    "RouteLoad",
    "RouteOutcome",
    "TargetGroup",
    "Trouble",
    "play",
    "worth_bound",
]
