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
from pomelobank_core._distribution import (
    Distribution,
    Neighbours,
    PullRecords,
    PushRecords,
    ReadPlan,
    SendDigest,
    find_neighbours,
)
from pomelobank_core._errors import ANSWERS, Answer, ErrorKind, RunState
from pomelobank_core._floor import VersionFloor
from pomelobank_core._members import MemberState, MemberTable
from pomelobank_core._objects import (
    ConfigObject,
    ObjectKey,
    ObjectKind,
    Snapshot,
    VersionedObject,
    object_key,
    operation_object,
    snapshot_object_value,
)
from pomelobank_core._placing import RoundRobin
from pomelobank_core._rendezvous import rank_of, rendezvous_order
from pomelobank_core._replay import (
    ChangeVerdict,
    ConfigState,
    evaluate,
    replay_change,
    skip_record,
)
from pomelobank_core._routing import RouteTable, is_idempotent, pick_upstream
from pomelobank_core._snapshots import (
    Recovery,
    SnapshotSchedule,
    restore_snapshot,
    snapshot_record,
    usable_snapshot,
)
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
    "Distribution",
    "ErrorKind",
    "FirstCome",
    "FixedPartition",
    "GuaranteedShared",
    "ManualClock",
    "MemberState",
    "MemberTable",
    "Neighbours",
    "ObjectKey",
    "ObjectKind",
    "Problem",
    "ProblemKind",
    "PullRecords",
    "PushRecords",
    "Queued",
    "ReadPlan",
    "Recovery",
    "Refused",
    "RoundRobin",
    "RouteTable",
    "RunState",
    "SendDigest",
    "Snapshot",
    "SnapshotSchedule",
    "Started",
    "Ticket",
    "TrafficClass",
    "Unlimited",
    "Verdict",
    "VersionFloor",
    "VersionedObject",
    "WorkResult",
    "check_objects",
    "evaluate",
    "find_neighbours",
    "is_idempotent",
    "object_key",
    "operation_object",
    "pick_upstream",
    "rank_of",
    "rendezvous_order",
    "replay_change",
    "restore_snapshot",
    "skip_record",
    "snapshot_object_value",
    "snapshot_record",
    "usable_snapshot",
]
