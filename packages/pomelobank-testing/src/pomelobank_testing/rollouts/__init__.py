"""Roll-outs in virtual time: exposure and judgement of revisions."""

from pomelobank_testing.rollouts._model import (
    REVISIONS,
    RULES,
    Outcome,
    RolloutModel,
)

__all__ = ["REVISIONS", "RULES", "Outcome", "RolloutModel"]
