"""Decisions of pomelobank, without sockets or a real clock."""

from pomelobank_core._claim_answers import AnswerStore
from pomelobank_core._claim_attempts import (
    Attempt,
    AttemptState,
    AttemptStep,
    claim_seen,
    combine_run_states,
    give_up,
    run_ended,
)
from pomelobank_core._claim_batcher import ClaimBatcher
from pomelobank_core._claims import (
    SHARDS,
    Claim,
    ClaimEnded,
    ClaimEvent,
    ClaimId,
    ClaimSeen,
    ClaimStatus,
    ClaimTable,
    KeptAnswer,
    claim_key,
    completion_record,
    rank_claimants,
    request_digest,
    scoped_key,
    service_of,
    shard_of,
)
from pomelobank_core._clock import Clock, ManualClock
from pomelobank_core._errors import ANSWERS, Answer, ErrorKind, RunState
from pomelobank_core._members import MemberState, MemberTable
from pomelobank_core._objects import (
    ConfigObject,
    ObjectKey,
    ObjectKind,
    Snapshot,
    VersionedObject,
    object_key,
    operation_object,
)
from pomelobank_core._placing import RoundRobin
from pomelobank_core._replay import (
    ChangeVerdict,
    ConfigState,
    evaluate,
    replay_change,
    skip_record,
)
from pomelobank_core._routing import RouteTable, is_idempotent, pick_upstream
from pomelobank_core._validation import Problem, ProblemKind, check_objects

__all__ = [
    "ANSWERS",
    "SHARDS",
    "Answer",
    "AnswerStore",
    "Attempt",
    "AttemptState",
    "AttemptStep",
    "ChangeVerdict",
    "Claim",
    "ClaimBatcher",
    "ClaimEnded",
    "ClaimEvent",
    "ClaimId",
    "ClaimSeen",
    "ClaimStatus",
    "ClaimTable",
    "Clock",
    "ConfigObject",
    "ConfigState",
    "ErrorKind",
    "KeptAnswer",
    "ManualClock",
    "MemberState",
    "MemberTable",
    "ObjectKey",
    "ObjectKind",
    "Problem",
    "ProblemKind",
    "RoundRobin",
    "RouteTable",
    "RunState",
    "Snapshot",
    "VersionedObject",
    "check_objects",
    "claim_key",
    "claim_seen",
    "combine_run_states",
    "completion_record",
    "evaluate",
    "give_up",
    "is_idempotent",
    "object_key",
    "operation_object",
    "pick_upstream",
    "rank_claimants",
    "replay_change",
    "request_digest",
    "run_ended",
    "scoped_key",
    "service_of",
    "shard_of",
    "skip_record",
]
