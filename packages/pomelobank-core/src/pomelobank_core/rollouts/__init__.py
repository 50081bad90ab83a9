"""Roll-outs: how far a new revision is exposed, and whether it is good."""

from pomelobank_core.rollouts._answer_counts import AnswerCounts
from pomelobank_core.rollouts._exposure_credit import (
    EARNED_PART,
    ExposureCredit,
)
from pomelobank_core.rollouts._judge import Judge, Verdict
from pomelobank_core.rollouts._promotion import (
    DrainWatch,
    Evidence,
    obstacle,
    step_ms,
)
from pomelobank_core.rollouts._revisions import (
    CONFIRMATION_MARGIN_MS,
    Revisions,
    RevisionSplit,
)
from pomelobank_core.rollouts._rollouts import (
    RevisionStatus,
    RolloutKey,
    Rollouts,
    RolloutState,
    join_rollouts,
    next_status,
)
from pomelobank_core.rollouts._sequential_test import SequentialTest

__all__ = [
    "CONFIRMATION_MARGIN_MS",
    "EARNED_PART",
    "AnswerCounts",
    "DrainWatch",
    "Evidence",
    "ExposureCredit",
    "Judge",
    "RevisionSplit",
    "RevisionStatus",
    "Revisions",
    "RolloutKey",
    "RolloutState",
    "Rollouts",
    "SequentialTest",
    "Verdict",
    "join_rollouts",
    "next_status",
    "obstacle",
    "step_ms",
]
