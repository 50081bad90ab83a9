"""Decision logic of pomelobank, without sockets or a real clock.

Each name of this package is imported lazily, on first use. A node on a platform
that stores configuration and keys itself needs only half of the names, and
importing all of them took 60 of the 400 ms of the node's start.
"""

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pomelobank_core._admission import (
        Admission,
    )
    from pomelobank_core._admission_request import (
        AdmissionDecision,
        AdmissionRequest,
        QueueChange,
        Queued,
        Rejected,
        Started,
        TrafficClass,
        WorkResult,
    )
    from pomelobank_core._bootstrap_contacts import (
        TAIL_RECORDS,
        BootstrapContacts,
        contacts_record,
        maintains_contacts,
    )
    from pomelobank_core._brief_work import BriefWork
    from pomelobank_core._caller_timeouts import (
        CallerTimeouts,
    )
    from pomelobank_core._candidates import (
        CandidateIndex,
        Candidates,
    )
    from pomelobank_core._claim_attempts import (
        ClaimAttempt,
        ClaimAttemptState,
        ClaimAttemptStep,
        abandon,
        combine_run_states,
        on_claim_seen,
        on_run_ended,
    )
    from pomelobank_core._claim_batcher import (
        ClaimBatcher,
    )
    from pomelobank_core._claim_responses import (
        ResponseStore,
    )
    from pomelobank_core._claims import (
        SHARD_COUNT,
        Claim,
        ClaimEnded,
        ClaimEvent,
        ClaimId,
        ClaimSeen,
        ClaimStatus,
        ClaimTable,
        StoredResponse,
        claim_key,
        completion_record,
        rank_claimants,
        request_digest,
        shard_of,
    )
    from pomelobank_core._clock import (
        Clock,
        ManualClock,
    )
    from pomelobank_core._concurrency import (
        ConcurrencyLimit,
        SlotLimit,
    )
    from pomelobank_core._deadline_admission import (
        DeadlineAdmission,
    )
    from pomelobank_core._distribution import (
        Distribution,
        Neighbours,
        PullRecords,
        PushRecords,
        ReadPlan,
        SendDigest,
        find_neighbours,
    )
    from pomelobank_core._errors import (
        ERROR_RESPONSES,
        ErrorKind,
        ErrorResponse,
        RunState,
    )
    from pomelobank_core._exchange import (
        ExchangeState,
        ExchangeTable,
        FrameAge,
        FrameDecision,
        deadline_error_kind,
        lost_error_kind,
    )
    from pomelobank_core._hedging import (
        Hedging,
    )
    from pomelobank_core._load_balancer import (
        LoadBalancer,
        RequestOutcome,
        TargetResult,
        target_result,
    )
    from pomelobank_core._members import (
        EntryRank,
        MemberState,
        MemberTable,
    )
    from pomelobank_core._min_serving_version import (
        MinServingVersion,
    )
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
    from pomelobank_core._quarantine import (
        POINTS_NODE_LOST,
        POINTS_TARGET_LOST,
        Evidence,
        QuarantineState,
        QuarantineTable,
        fingerprint,
    )
    from pomelobank_core._rank_load import (
        Rank,
        RankLoad,
    )
    from pomelobank_core._rate_limit import RateLimit
    from pomelobank_core._reading_order import (
        READER_COUNT,
        ReadingOrder,
        ReadingRole,
    )
    from pomelobank_core._rendezvous import (
        is_among_first,
        rank_of,
        rendezvous_order,
    )
    from pomelobank_core._replay import (
        ChangeDecision,
        ConfigState,
        advance,
        evaluate,
        operations_digest,
        replay_change,
        skip_record,
    )
    from pomelobank_core._retries import (
        MAX_ATTEMPTS,
        FailedAttempt,
        Retry,
        RetryPolicy,
    )
    from pomelobank_core._retry_budget import (
        Budget,
        MeshRetryBudget,
        RetryBudget,
    )
    from pomelobank_core._round_robin import (
        RoundRobin,
    )
    from pomelobank_core._routing import (
        RouteTable,
        is_idempotent,
        pick_upstream,
    )
    from pomelobank_core._scoped_keys import (
        scoped_key,
        service_of,
    )
    from pomelobank_core._shutdown_admission import (
        ShutdownAdmission,
    )
    from pomelobank_core._slot_sharing import (
        AdmissionPolicy,
        FirstCome,
        FixedPartition,
        GuaranteedShared,
        Unlimited,
    )
    from pomelobank_core._snapshots import (
        Recovery,
        SnapshotSchedule,
        adopt_snapshot,
        restore_snapshot,
        snapshot_record,
        usable_snapshot,
    )
    from pomelobank_core._stop_order import WORK_RESERVE_FACTOR, StopOrder
    from pomelobank_core._stop_schedule import StopSchedule
    from pomelobank_core._swim import (
        ReplyFrame,
        SendFrame,
        Swim,
        SwimAction,
    )
    from pomelobank_core._swim_frames import (
        handle_frame,
    )
    from pomelobank_core._target_lease import (
        TargetChange,
        TargetLease,
    )
    from pomelobank_core._target_load import (
        Ramp,
    )
    from pomelobank_core._two_choices import (
        TwoChoices,
        isolation_target,
    )
    from pomelobank_core._validation import (
        Problem,
        ProblemKind,
        check_objects,
    )

__all__ = [
    "ERROR_RESPONSES",
    "MAX_ATTEMPTS",
    "POINTS_NODE_LOST",
    "POINTS_TARGET_LOST",
    "READER_COUNT",
    "SHARD_COUNT",
    "TAIL_RECORDS",
    "WORK_RESERVE_FACTOR",
    "Admission",
    "AdmissionDecision",
    "AdmissionPolicy",
    "AdmissionRequest",
    "BootstrapContacts",
    "BriefWork",
    "Budget",
    "CallerTimeouts",
    "CandidateIndex",
    "Candidates",
    "ChangeDecision",
    "Claim",
    "ClaimAttempt",
    "ClaimAttemptState",
    "ClaimAttemptStep",
    "ClaimBatcher",
    "ClaimEnded",
    "ClaimEvent",
    "ClaimId",
    "ClaimSeen",
    "ClaimStatus",
    "ClaimTable",
    "Clock",
    "ConcurrencyLimit",
    "ConfigObject",
    "ConfigState",
    "DeadlineAdmission",
    "Distribution",
    "EntryRank",
    "ErrorKind",
    "ErrorResponse",
    "Evidence",
    "ExchangeState",
    "ExchangeTable",
    "FailedAttempt",
    "FirstCome",
    "FixedPartition",
    "FrameAge",
    "FrameDecision",
    "GuaranteedShared",
    "Hedging",
    "LoadBalancer",
    "ManualClock",
    "MemberState",
    "MemberTable",
    "MeshRetryBudget",
    "MinServingVersion",
    "Neighbours",
    "ObjectKey",
    "ObjectKind",
    "Problem",
    "ProblemKind",
    "PullRecords",
    "PushRecords",
    "QuarantineState",
    "QuarantineTable",
    "QueueChange",
    "Queued",
    "Ramp",
    "Rank",
    "RankLoad",
    "RateLimit",
    "ReadPlan",
    "ReadingOrder",
    "ReadingRole",
    "Recovery",
    "Rejected",
    "ReplyFrame",
    "RequestOutcome",
    "ResponseStore",
    "Retry",
    "RetryBudget",
    "RetryPolicy",
    "RoundRobin",
    "RouteTable",
    "RunState",
    "SendDigest",
    "SendFrame",
    "ShutdownAdmission",
    "SlotLimit",
    "Snapshot",
    "SnapshotSchedule",
    "Started",
    "StopOrder",
    "StopSchedule",
    "StoredResponse",
    "Swim",
    "SwimAction",
    "TargetChange",
    "TargetLease",
    "TargetResult",
    "TrafficClass",
    "TwoChoices",
    "Unlimited",
    "VersionedObject",
    "WorkResult",
    "abandon",
    "adopt_snapshot",
    "advance",
    "check_objects",
    "claim_key",
    "combine_run_states",
    "completion_record",
    "contacts_record",
    "deadline_error_kind",
    "evaluate",
    "find_neighbours",
    "fingerprint",
    "handle_frame",
    "is_among_first",
    "is_idempotent",
    "isolation_target",
    "lost_error_kind",
    "maintains_contacts",
    "object_key",
    "on_claim_seen",
    "on_run_ended",
    "operation_object",
    "operations_digest",
    "pick_upstream",
    "rank_claimants",
    "rank_of",
    "rendezvous_order",
    "replay_change",
    "request_digest",
    "restore_snapshot",
    "scoped_key",
    "service_of",
    "shard_of",
    "skip_record",
    "snapshot_object_value",
    "snapshot_record",
    "target_result",
    "usable_snapshot",
]

_NAMES_BY_MODULE = {
    "_admission": ("Admission",),
    "_admission_request": (
        "AdmissionDecision",
        "AdmissionRequest",
        "QueueChange",
        "Queued",
        "Rejected",
        "Started",
        "TrafficClass",
        "WorkResult",
    ),
    "_bootstrap_contacts": (
        "BootstrapContacts",
        "TAIL_RECORDS",
        "contacts_record",
        "maintains_contacts",
    ),
    "_brief_work": ("BriefWork",),
    "_caller_timeouts": ("CallerTimeouts",),
    "_candidates": (
        "CandidateIndex",
        "Candidates",
    ),
    "_claim_attempts": (
        "ClaimAttempt",
        "ClaimAttemptState",
        "ClaimAttemptStep",
        "abandon",
        "combine_run_states",
        "on_claim_seen",
        "on_run_ended",
    ),
    "_claim_batcher": ("ClaimBatcher",),
    "_claim_responses": ("ResponseStore",),
    "_claims": (
        "Claim",
        "ClaimEnded",
        "ClaimEvent",
        "ClaimId",
        "ClaimSeen",
        "ClaimStatus",
        "ClaimTable",
        "SHARD_COUNT",
        "StoredResponse",
        "claim_key",
        "completion_record",
        "rank_claimants",
        "request_digest",
        "shard_of",
    ),
    "_clock": (
        "Clock",
        "ManualClock",
    ),
    "_concurrency": (
        "ConcurrencyLimit",
        "SlotLimit",
    ),
    "_deadline_admission": ("DeadlineAdmission",),
    "_distribution": (
        "Distribution",
        "Neighbours",
        "PullRecords",
        "PushRecords",
        "ReadPlan",
        "SendDigest",
        "find_neighbours",
    ),
    "_errors": (
        "ERROR_RESPONSES",
        "ErrorKind",
        "ErrorResponse",
        "RunState",
    ),
    "_exchange": (
        "ExchangeState",
        "ExchangeTable",
        "FrameAge",
        "FrameDecision",
        "deadline_error_kind",
        "lost_error_kind",
    ),
    "_hedging": ("Hedging",),
    "_load_balancer": (
        "LoadBalancer",
        "RequestOutcome",
        "TargetResult",
        "target_result",
    ),
    "_members": (
        "EntryRank",
        "MemberState",
        "MemberTable",
    ),
    "_min_serving_version": ("MinServingVersion",),
    "_objects": (
        "ConfigObject",
        "ObjectKey",
        "ObjectKind",
        "Snapshot",
        "VersionedObject",
        "object_key",
        "operation_object",
        "snapshot_object_value",
    ),
    "_quarantine": (
        "Evidence",
        "POINTS_NODE_LOST",
        "POINTS_TARGET_LOST",
        "QuarantineState",
        "QuarantineTable",
        "fingerprint",
    ),
    "_rank_load": (
        "Rank",
        "RankLoad",
    ),
    "_rate_limit": ("RateLimit",),
    "_reading_order": (
        "READER_COUNT",
        "ReadingOrder",
        "ReadingRole",
    ),
    "_rendezvous": (
        "is_among_first",
        "rank_of",
        "rendezvous_order",
    ),
    "_replay": (
        "ChangeDecision",
        "ConfigState",
        "advance",
        "evaluate",
        "operations_digest",
        "replay_change",
        "skip_record",
    ),
    "_retries": (
        "FailedAttempt",
        "MAX_ATTEMPTS",
        "Retry",
        "RetryPolicy",
    ),
    "_retry_budget": (
        "Budget",
        "MeshRetryBudget",
        "RetryBudget",
    ),
    "_round_robin": ("RoundRobin",),
    "_routing": (
        "RouteTable",
        "is_idempotent",
        "pick_upstream",
    ),
    "_scoped_keys": (
        "scoped_key",
        "service_of",
    ),
    "_shutdown_admission": ("ShutdownAdmission",),
    "_slot_sharing": (
        "AdmissionPolicy",
        "FirstCome",
        "FixedPartition",
        "GuaranteedShared",
        "Unlimited",
    ),
    "_snapshots": (
        "Recovery",
        "SnapshotSchedule",
        "adopt_snapshot",
        "restore_snapshot",
        "snapshot_record",
        "usable_snapshot",
    ),
    "_stop_order": (
        "StopOrder",
        "WORK_RESERVE_FACTOR",
    ),
    "_stop_schedule": ("StopSchedule",),
    "_swim": (
        "ReplyFrame",
        "SendFrame",
        "Swim",
        "SwimAction",
    ),
    "_swim_frames": ("handle_frame",),
    "_target_lease": (
        "TargetChange",
        "TargetLease",
    ),
    "_target_load": ("Ramp",),
    "_two_choices": (
        "TwoChoices",
        "isolation_target",
    ),
    "_validation": (
        "Problem",
        "ProblemKind",
        "check_objects",
    ),
}
_MODULE_BY_NAME = {
    name: module for module, names in _NAMES_BY_MODULE.items() for name in names
}


def __getattr__(name: str) -> Any:
    """Imports a name of the package on first use."""
    if name not in _MODULE_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = importlib.import_module(f"{__name__}.{_MODULE_BY_NAME[name]}")
    value = getattr(module, name)
    globals()[name] = value
    return value
