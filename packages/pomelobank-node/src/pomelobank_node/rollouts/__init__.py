"""Roll-outs at a node: limits the exposure of revisions, shares the orders."""

from pomelobank_node.rollouts._exposure import Exposure
from pomelobank_node.rollouts._registry import RolloutRegistry

__all__ = ["Exposure", "RolloutRegistry"]
