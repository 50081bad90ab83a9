"""The gRPC service for operators."""

import asyncio
import contextlib
import uuid

import attrs
import grpc
from returns.result import Failure

from pomelobank_core import (
    ChangeDecision,
    Clock,
    ObjectKey,
    Problem,
    VersionedObject,
    evaluate,
    operations_digest,
)
from pomelobank_node._config_feed import ConfigFeed
from pomelobank_node._config_store import ConfigStore
from pomelobank_node._log import (
    CONFIG_STREAM,
    Log,
    LogError,
    LogErrorKind,
)
from pomelobank_node._membership import Membership
from pomelobank_node._operator_messages import (
    change_record,
    config_object,
    problem_messages,
)
from pomelobank_schema import SchemaError, encode
from pomelobank_schema.generated import operator_pb2 as pb
from pomelobank_schema.generated import operator_pb2_grpc as pb_grpc
from pomelobank_schema.generated.records import ChangeRecord

# Limit for reading a change back from the log.
READ_BACK_TIMEOUT_S = 5.0
# Pause after the first read; each further pause is twice as long, up to
# RETRY_AFTER_MS.
READ_BACK_INITIAL_PAUSE_MS = 100
# Retry delay sent to operators if the outcome of a change is unknown.
RETRY_AFTER_MS = 1000
_MS_PER_S = 1000

_PROBLEM_APPEND_REJECTED = pb.ChangeProblem(
    kind="log_refused",
    message="the log took nothing; apply again with the same change id",
)
_PROBLEM_LOG_TIMEOUT = pb.ChangeProblem(
    kind="log_silent",
    message="the log did not answer in time; the change may still be accepted,"
    " ask for its id or apply again with the same one",
)
_PROBLEM_NOT_IN_LOG = pb.ChangeProblem(
    kind="not_in_log",
    message="the log does not hold the change up to now; applying again with"
    " the same change id is safe",
)


@attrs.define(eq=False)
class OperatorService(pb_grpc.OperatorServicer):  # type: ignore[misc]
    """Implements the operators' calls.

    Attributes:
        store: Holds the configuration in force and the decisions on changes.
        log: Log to which changes are appended.
        feed: Reads the log into the store and reports the log's state.
        membership: Provides the states of the mesh's nodes.
        clock: Provides the current time.
    """

    store: ConfigStore
    log: Log
    feed: ConfigFeed
    membership: Membership
    clock: Clock

    async def Apply(
        self, request: pb.ApplyRequest, context: object
    ) -> pb.ApplyReply:
        """Publishes a change and responds after reading it back."""
        change_id = request.change_id or uuid.uuid4().hex
        try:
            record = change_record(request, change_id, self.clock.wall_ms())
        except SchemaError as error:
            return _invalid_request(change_id, error)
        earlier_decision = self.store.state.decisions.get(change_id)
        if earlier_decision is not None:
            return _decision_or_conflict(earlier_decision, record)
        problems = self._validate(record)
        if problems or request.dry_run:
            return await self._validate_at_log_end(record, request.dry_run)
        return await self._publish(record)

    def _validate(self, record: ChangeRecord) -> tuple[Problem, ...]:
        snapshot = self.store.state.snapshot
        result = evaluate(snapshot, snapshot.version + 1, record)
        if isinstance(result, Failure):
            return tuple(result.failure())
        return ()

    async def _validate_at_log_end(
        self, record: ChangeRecord, dry_run: bool
    ) -> pb.ApplyReply:
        # This node's configuration may lag behind the log. The log may already
        # contain the service that the change refers to, or the same change,
        # sent through another node whose response was lost. The node therefore
        # rejects a change only after it has read the log to its end.
        try:
            async with asyncio.timeout(READ_BACK_TIMEOUT_S):
                await self.feed.catch_up()
        except (LogError, TimeoutError):
            return _unknown_outcome(record.change_id, _PROBLEM_LOG_TIMEOUT)
        earlier_decision = self.store.state.decisions.get(record.change_id)
        if earlier_decision is not None:
            return _decision_or_conflict(earlier_decision, record)
        problems = self._validate(record)
        if problems:
            return _rejected(record.change_id, problems)
        if dry_run:
            return pb.ApplyReply(
                change_id=record.change_id, status=pb.CHANGE_ACCEPTED
            )
        return await self._publish(record)

    async def _publish(self, record: ChangeRecord) -> pb.ApplyReply:
        try:
            await self.log.append(CONFIG_STREAM, encode(record))
        except LogError as error:
            if error.kind is LogErrorKind.REJECTED:
                return _unknown_outcome(
                    record.change_id, _PROBLEM_APPEND_REJECTED
                )
        # At this point, either the append succeeded or the log's response was
        # lost, and only a read of the log shows which. Because this node reads
        # the log at once, it is also the first to distribute the change.
        try:
            async with asyncio.timeout(READ_BACK_TIMEOUT_S):
                decision = await self._read_back(record.change_id)
                return _decision_or_conflict(decision, record)
        except TimeoutError:
            return _unknown_outcome(record.change_id, _PROBLEM_LOG_TIMEOUT)

    async def _read_back(self, change_id: str) -> ChangeDecision:
        reading = asyncio.create_task(self._poll_log(change_id))
        try:
            return await self.store.wait_for_change(change_id)
        finally:
            reading.cancel()

    async def _poll_log(self, change_id: str) -> None:
        pause_ms = READ_BACK_INITIAL_PAUSE_MS
        while change_id not in self.store.state.decisions:
            with contextlib.suppress(LogError):
                await self.feed.catch_up()
            await asyncio.sleep(pause_ms / _MS_PER_S)
            pause_ms = min(2 * pause_ms, RETRY_AFTER_MS)

    async def GetChange(
        self, request: pb.ChangeRequest, context: object
    ) -> pb.ApplyReply:
        """Returns the decision on an earlier change, found by its id."""
        decision = self.store.state.decisions.get(request.change_id)
        if decision is not None:
            return _decision_reply(decision)
        try:
            async with asyncio.timeout(READ_BACK_TIMEOUT_S):
                await self.feed.catch_up()
        except (LogError, TimeoutError):
            return _unknown_outcome(request.change_id, _PROBLEM_LOG_TIMEOUT)
        decision = self.store.state.decisions.get(request.change_id)
        if decision is None:
            return _unknown_outcome(request.change_id, _PROBLEM_NOT_IN_LOG)
        return _decision_reply(decision)

    async def GetConfig(
        self, request: pb.GetConfigRequest, context: object
    ) -> pb.GetConfigReply:
        """Returns the configuration in force."""
        snapshot = self.store.state.snapshot
        ordered = sorted(snapshot.objects.items(), key=_by_key)
        return pb.GetConfigReply(
            version=snapshot.version,
            objects=[config_object(item) for _, item in ordered],
        )

    async def GetAudit(
        self, request: pb.AuditRequest, context: object
    ) -> pb.AuditReply:
        """Returns the decisions on changes, the newest first."""
        decisions = reversed(list(self.store.state.decisions.values()))
        entries = [
            entry
            for entry in map(_audit_entry, decisions)
            if request.author in ("", entry.author)
            and (not request.object or request.object in entry.objects)
        ]
        return pb.AuditReply(entries=entries[: request.limit or None])

    async def GetStatus(
        self, request: pb.StatusRequest, context: object
    ) -> pb.StatusReply:
        """Returns the state of the node and of all members that it knows."""
        own = self.membership.table.own
        return pb.StatusReply(
            node=own.node,
            data_centre=own.data_centre,
            version=self.store.version,
            log_state=self.feed.log_state,
            members=[
                pb.MemberStatus(
                    node=entry.node,
                    data_centre=entry.data_centre,
                    state=entry.state,
                    version=(
                        self.store.version if entry is own else entry.version
                    ),
                    upstream=entry.upstream,
                    http_address=entry.http_address,
                    peer_address=entry.peer_address,
                )
                for entry in self.membership.table.all()
            ],
        )


def _by_key(item: tuple[ObjectKey, VersionedObject]) -> str:
    return str(item[0])


def _decision_reply(decision: ChangeDecision) -> pb.ApplyReply:
    status = pb.CHANGE_ACCEPTED if decision.accepted else pb.CHANGE_REJECTED
    return pb.ApplyReply(
        change_id=decision.change_id,
        status=status,
        version=decision.version,
        problems=problem_messages(decision.problems),
    )


def _decision_or_conflict(
    earlier_decision: ChangeDecision, record: ChangeRecord
) -> pb.ApplyReply:
    if earlier_decision.digest == operations_digest(record):
        return _decision_reply(earlier_decision)
    problem = pb.ChangeProblem(
        kind="change_id_in_use",
        message="another change has this id already; choose a new one",
    )
    return pb.ApplyReply(
        change_id=record.change_id,
        status=pb.CHANGE_REJECTED,
        problems=[problem],
    )


def _rejected(change_id: str, problems: tuple[Problem, ...]) -> pb.ApplyReply:
    return pb.ApplyReply(
        change_id=change_id,
        status=pb.CHANGE_REJECTED,
        problems=problem_messages(problems),
    )


def _invalid_request(change_id: str, error: SchemaError) -> pb.ApplyReply:
    problem = pb.ChangeProblem(
        kind=error.kind.value, object=error.field_path, message=error.message
    )
    return pb.ApplyReply(
        change_id=change_id, status=pb.CHANGE_REJECTED, problems=[problem]
    )


def _unknown_outcome(
    change_id: str, problem: pb.ChangeProblem
) -> pb.ApplyReply:
    return pb.ApplyReply(
        change_id=change_id,
        status=pb.CHANGE_UNKNOWN,
        problems=[problem],
        retry_after_ms=RETRY_AFTER_MS,
    )


def _audit_entry(decision: ChangeDecision) -> pb.AuditEntry:
    return pb.AuditEntry(
        version=decision.version,
        change_id=decision.change_id,
        author=decision.author,
        reason=decision.reason,
        at_ms=decision.at_ms,
        status=pb.CHANGE_ACCEPTED if decision.accepted else pb.CHANGE_REJECTED,
        objects=decision.objects,
        problems=problem_messages(decision.problems),
    )


@attrs.define(eq=False)
class OperatorServer:
    """Runs the gRPC server for operators.

    Attributes:
        listen: Address to listen on.
        service: Implements the calls.
        address: Address with the port in use; empty before the server listens.
        server: The gRPC server; None before the start.
    """

    listen: str
    service: OperatorService
    address: str = ""
    server: grpc.aio.Server | None = None

    async def start(self) -> None:
        """Starts the server."""
        self.server = grpc.aio.server()
        pb_grpc.add_OperatorServicer_to_server(self.service, self.server)
        port = self.server.add_insecure_port(self.listen)
        await self.server.start()
        self.address = f"{self.listen.rpartition(':')[0]}:{port}"

    async def stop(self) -> None:
        """Stops the server; calls under way get one second to finish."""
        if self.server is not None:
            await self.server.stop(grace=1)
