"""Roll-outs: how far a new revision is exposed, and whether it is good."""

from pomelobank_core.rollouts._exposure_credit import (
    EARNED_PART,
    ExposureCredit,
)
from pomelobank_core.rollouts._revisions import (
    CONFIRMATION_MARGIN_MS,
    Revisions,
    RevisionSplit,
)
from pomelobank_core.rollouts._rollouts import (
    RevisionStatus,
    Rollouts,
    RolloutState,
)

__all__ = [
    "CONFIRMATION_MARGIN_MS",
    "EARNED_PART",
    "ExposureCredit",
    "RevisionSplit",
    "RevisionStatus",
    "Revisions",
    "RolloutState",
    "Rollouts",
]
