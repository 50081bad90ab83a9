"""Decisions of pomelobank, without sockets or a real clock."""

from pomelobank_core._clock import Clock, ManualClock
from pomelobank_core._errors import ANSWERS, Answer, ErrorKind, RunState
from pomelobank_core._first_contact import (
    TAIL_RECORDS,
    FirstContact,
    contacts_record,
    is_announcer,
)
from pomelobank_core._members import EntryRank, MemberState, MemberTable
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
from pomelobank_core._swim import Action, Reply, Send, Swim
from pomelobank_core._swim_frames import take_frame
from pomelobank_core._target_lease import TargetChange, TargetLease
from pomelobank_core._validation import Problem, ProblemKind, check_objects

__all__ = [
    "ANSWERS",
    "TAIL_RECORDS",
    "Action",
    "Answer",
    "ChangeVerdict",
    "Clock",
    "ConfigObject",
    "ConfigState",
    "EntryRank",
    "ErrorKind",
    "FirstContact",
    "ManualClock",
    "MemberState",
    "MemberTable",
    "ObjectKey",
    "ObjectKind",
    "Problem",
    "ProblemKind",
    "Reply",
    "RoundRobin",
    "RouteTable",
    "RunState",
    "Send",
    "Snapshot",
    "Swim",
    "TargetChange",
    "TargetLease",
    "VersionedObject",
    "check_objects",
    "contacts_record",
    "evaluate",
    "is_announcer",
    "is_idempotent",
    "object_key",
    "operation_object",
    "pick_upstream",
    "replay_change",
    "skip_record",
    "take_frame",
]
