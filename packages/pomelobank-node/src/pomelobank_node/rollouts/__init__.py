"""Roll-outs at a node: limits, judges and ends the exposure of revisions."""

from pomelobank_node.rollouts._exposure import Exposure
from pomelobank_node.rollouts._registry import RolloutRegistry
from pomelobank_node.rollouts._service import RolloutService
from pomelobank_node.rollouts._statuses import (
    StatusStore,
    StatusWriter,
    StoredStatuses,
)

__all__ = [
    "Exposure",
    "RolloutRegistry",
    "RolloutService",
    "StatusStore",
    "StatusWriter",
    "StoredStatuses",
]
