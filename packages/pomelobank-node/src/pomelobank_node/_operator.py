"""Operators' remote procedure calls."""

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

READ_BACK_TIMEOUT_S = 5.0
READ_BACK_PAUSE_MS = 100
ASK_AGAIN_MS = 1000
_MS_PER_S = 1000

_LOG_REFUSED = pb.ChangeProblem(
    kind="log_refused",
    message="the log took nothing; apply again with the same change id",
)
_LOG_SILENT = pb.ChangeProblem(
    kind="log_silent",
    message="the log did not answer in time; the change may still be accepted,"
    " ask for its id or apply again with the same one",
)
_NOT_IN_LOG = pb.ChangeProblem(
    kind="not_in_log",
    message="the log does not hold the change up to now; applying again with"
    " the same change id is safe",
)


@attrs.define(eq=False)
class OperatorService(pb_grpc.OperatorServicer):  # type: ignore[misc]
    """Answers operators.

    Attributes:
        store: The configuration in force.
        log: Where changes are published.
        feed: Tells how the log looked last.
        membership: Tells the fleet's state.
        clock: Tells the time.
    """

    store: ConfigStore
    log: Log
    feed: ConfigFeed
    membership: Membership
    clock: Clock

    async def Apply(
        self, request: pb.ApplyRequest, context: object
    ) -> pb.ApplyReply:
        """Publishes a transaction and answers once it was read back."""
        change_id = request.change_id or uuid.uuid4().hex
        try:
            record = change_record(request, change_id, self.clock.wall_ms())
        except SchemaError as error:
            return _invalid(change_id, error)
        known = self.store.state.decisions.get(change_id)
        if known is not None:
            return _same_or_rejected(known, record)
        problems = self._check(record)
        if problems or request.dry_run:
            return await self._check_again(record, request.dry_run)
        return await self._publish(record)

    def _check(self, record: ChangeRecord) -> tuple[Problem, ...]:
        snapshot = self.store.state.snapshot
        result = evaluate(snapshot, snapshot.version + 1, record)
        if isinstance(result, Failure):
            return tuple(result.failure())
        return ()

    async def _check_again(
        self, record: ChangeRecord, dry_run: bool
    ) -> pb.ApplyReply:
        # This node may be a moment behind: the service that the change needs
        # may have been accepted just now, or the same change, sent through
        # another node whose answer was lost, may be in the log already. Only
        # a check at the log's end may end in "rejected".
        try:
            async with asyncio.timeout(READ_BACK_TIMEOUT_S):
                await self.feed.catch_up()
        except (LogError, TimeoutError):
            return _unknown(record.change_id, _LOG_SILENT)
        known = self.store.state.decisions.get(record.change_id)
        if known is not None:
            return _same_or_rejected(known, record)
        problems = self._check(record)
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
                return _unknown(record.change_id, _LOG_REFUSED)
        # Here the append took effect, or its answer was lost and nobody can
        # know: only the log itself tells. Reading it at once also makes this
        # node the first to pass the change on.
        try:
            async with asyncio.timeout(READ_BACK_TIMEOUT_S):
                verdict = await self._read_back(record.change_id)
                return _same_or_rejected(verdict, record)
        except TimeoutError:
            return _unknown(record.change_id, _LOG_SILENT)

    async def _read_back(self, change_id: str) -> ChangeDecision:
        reading = asyncio.create_task(self._keep_reading(change_id))
        try:
            return await self.store.wait_for_change(change_id)
        finally:
            reading.cancel()

    async def _keep_reading(self, change_id: str) -> None:
        pause_ms = READ_BACK_PAUSE_MS
        while change_id not in self.store.state.decisions:
            with contextlib.suppress(LogError):
                await self.feed.catch_up()
            await asyncio.sleep(pause_ms / _MS_PER_S)
            pause_ms = min(2 * pause_ms, ASK_AGAIN_MS)

    async def GetChange(
        self, request: pb.ChangeRequest, context: object
    ) -> pb.ApplyReply:
        """Looks up an earlier change by its id."""
        verdict = self.store.state.decisions.get(request.change_id)
        if verdict is not None:
            return _verdict_reply(verdict)
        try:
            async with asyncio.timeout(READ_BACK_TIMEOUT_S):
                await self.feed.catch_up()
        except (LogError, TimeoutError):
            return _unknown(request.change_id, _LOG_SILENT)
        verdict = self.store.state.decisions.get(request.change_id)
        if verdict is None:
            return _unknown(request.change_id, _NOT_IN_LOG)
        return _verdict_reply(verdict)

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
        """Returns what was asked for, by whom, and what was decided."""
        verdicts = reversed(list(self.store.state.decisions.values()))
        entries = [
            entry
            for entry in map(_audit_entry, verdicts)
            if request.author in ("", entry.author)
            and (not request.object or request.object in entry.objects)
        ]
        return pb.AuditReply(entries=entries[: request.limit or None])

    async def GetStatus(
        self, request: pb.StatusRequest, context: object
    ) -> pb.StatusReply:
        """Returns the state of the node and of the fleet as it sees it."""
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


def _verdict_reply(verdict: ChangeDecision) -> pb.ApplyReply:
    status = pb.CHANGE_ACCEPTED if verdict.accepted else pb.CHANGE_REJECTED
    return pb.ApplyReply(
        change_id=verdict.change_id,
        status=status,
        version=verdict.version,
        problems=problem_messages(verdict.problems),
    )


def _same_or_rejected(
    known: ChangeDecision, record: ChangeRecord
) -> pb.ApplyReply:
    if known.digest == operations_digest(record):
        return _verdict_reply(known)
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


def _invalid(change_id: str, error: SchemaError) -> pb.ApplyReply:
    problem = pb.ChangeProblem(
        kind=error.kind.value, object=error.field_path, message=error.message
    )
    return pb.ApplyReply(
        change_id=change_id, status=pb.CHANGE_REJECTED, problems=[problem]
    )


def _unknown(change_id: str, why: pb.ChangeProblem) -> pb.ApplyReply:
    return pb.ApplyReply(
        change_id=change_id,
        status=pb.CHANGE_UNKNOWN,
        problems=[why],
        retry_after_ms=ASK_AGAIN_MS,
    )


def _audit_entry(verdict: ChangeDecision) -> pb.AuditEntry:
    return pb.AuditEntry(
        version=verdict.version,
        change_id=verdict.change_id,
        author=verdict.author,
        reason=verdict.reason,
        at_ms=verdict.at_ms,
        status=pb.CHANGE_ACCEPTED if verdict.accepted else pb.CHANGE_REJECTED,
        objects=verdict.objects,
        problems=problem_messages(verdict.problems),
    )


@attrs.define(eq=False)
class OperatorServer:
    """Serves the remote procedure calls.

    Attributes:
        listen: Address to listen on.
        service: Answers the calls.
        address: Address that is really used, once it listens.
    """

    listen: str
    service: OperatorService
    address: str = ""
    server: grpc.aio.Server | None = None

    async def start(self) -> None:
        """Starts listening."""
        self.server = grpc.aio.server()
        pb_grpc.add_OperatorServicer_to_server(self.service, self.server)
        port = self.server.add_insecure_port(self.listen)
        await self.server.start()
        self.address = f"{self.listen.rpartition(':')[0]}:{port}"

    async def stop(self) -> None:
        """Stops after the calls under way."""
        if self.server is not None:
            await self.server.stop(grace=1)
