"""Decisions of pomelobank, without sockets or a real clock."""

from pomelobank_core._admission import (
    Admission,
    AdmissionPolicy,
    Change,
    FirstCome,
    FixedPartition,
    GuaranteedShared,
    Queued,
    Refused,
    Started,
    Ticket,
    TrafficClass,
    Unlimited,
    Verdict,
    WorkResult,
)
from pomelobank_core._candidates import CandidateIndex, Candidates
from pomelobank_core._clock import Clock, ManualClock
from pomelobank_core._concurrency import ConcurrencyLimit
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
from pomelobank_core._placing import (
    Observation,
    Placing,
    RoundRobin,
    TargetResult,
    TwoChoices,
    target_result,
)
from pomelobank_core._replay import (
    ChangeVerdict,
    ConfigState,
    evaluate,
    replay_change,
    skip_record,
)
from pomelobank_core._retries import Attempt, Retries, Retry, RetryBudget
from pomelobank_core._routing import RouteTable, is_idempotent, pick_upstream
from pomelobank_core._validation import Problem, ProblemKind, check_objects

__all__ = [
    "ANSWERS",
    "Admission",
    "AdmissionPolicy",
    "Answer",
    "Attempt",
    "CandidateIndex",
    "Candidates",
    "Change",
    "ChangeVerdict",
    "Clock",
    "ConcurrencyLimit",
    "ConfigObject",
    "ConfigState",
    "ErrorKind",
    "FirstCome",
    "FixedPartition",
    "GuaranteedShared",
    "ManualClock",
    "MemberState",
    "MemberTable",
    "ObjectKey",
    "ObjectKind",
    "Observation",
    "Placing",
    "Problem",
    "ProblemKind",
    "Queued",
    "Refused",
    "Retries",
    "Retry",
    "RetryBudget",
    "RoundRobin",
    "RouteTable",
    "RunState",
    "Snapshot",
    "Started",
    "TargetResult",
    "Ticket",
    "TrafficClass",
    "TwoChoices",
    "Unlimited",
    "Verdict",
    "VersionedObject",
    "WorkResult",
    "check_objects",
    "evaluate",
    "is_idempotent",
    "object_key",
    "operation_object",
    "pick_upstream",
    "replay_change",
    "skip_record",
    "target_result",
]
