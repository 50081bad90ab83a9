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
from pomelobank_core._clock import Clock, ManualClock
from pomelobank_core._concurrency import ConcurrencyLimit
from pomelobank_core._errors import ANSWERS, Answer, ErrorKind, RunState
from pomelobank_core._exchange import (
    ExchangeState,
    ExchangeTable,
    FrameAge,
    FrameVerdict,
    deadline_kind,
    lost_kind,
)
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
    "Admission",
    "AdmissionPolicy",
    "Answer",
    "Change",
    "ChangeVerdict",
    "Clock",
    "ConcurrencyLimit",
    "ConfigObject",
    "ConfigState",
    "ErrorKind",
    "ExchangeState",
    "ExchangeTable",
    "FirstCome",
    "FixedPartition",
    "FrameAge",
    "FrameVerdict",
    "GuaranteedShared",
    "ManualClock",
    "MemberState",
    "MemberTable",
    "ObjectKey",
    "ObjectKind",
    "Problem",
    "ProblemKind",
    "Queued",
    "Refused",
    "RoundRobin",
    "RouteTable",
    "RunState",
    "Snapshot",
    "Started",
    "Ticket",
    "TrafficClass",
    "Unlimited",
    "Verdict",
    "VersionedObject",
    "WorkResult",
    "check_objects",
    "deadline_kind",
    "evaluate",
    "is_idempotent",
    "lost_kind",
    "object_key",
    "operation_object",
    "pick_upstream",
    "replay_change",
    "skip_record",
]
