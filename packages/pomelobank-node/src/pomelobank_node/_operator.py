"""Operators' remote procedure calls."""

import asyncio
import uuid

import attrs
import grpc
from returns.result import Failure

from pomelobank_core import (
    ChangeVerdict,
    Clock,
    ObjectKey,
    Problem,
    VersionedObject,
    evaluate,
    object_key,
    operation_object,
)
from pomelobank_node._config_feed import LogPoller
from pomelobank_node._config_store import ConfigStore
from pomelobank_node._log_client import (
    CONFIG_STREAM,
    LogClient,
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
ASK_AGAIN_MS = 1000


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
    log: LogClient
    feed: LogPoller
    membership: Membership
    clock: Clock

    async def Apply(
        self, request: pb.ApplyRequest, context: object
    ) -> pb.ApplyReply:
        """Publishes a transaction and answers once it was read back."""
        change_id = request.change_id or uuid.uuid4().hex
        known = self.store.state.verdicts.get(change_id)
        if known is not None:
            return _verdict_reply(known)
        try:
            record = change_record(request, change_id, self.clock.wall_ms())
        except SchemaError as error:
            return _invalid(change_id, error)
        snapshot = self.store.state.snapshot
        result = evaluate(snapshot, snapshot.version + 1, record)
        if isinstance(result, Failure):
            return _rejected(change_id, result.failure())
        if request.dry_run:
            return pb.ApplyReply(change_id=change_id, status=pb.CHANGE_ACCEPTED)
        return await self._publish(record)

    async def _publish(self, record: ChangeRecord) -> pb.ApplyReply:
        try:
            await self.log.append(CONFIG_STREAM, encode(record))
        except LogError as error:
            if error.kind is LogErrorKind.REFUSED:
                return _unknown(record.change_id)
        try:
            async with asyncio.timeout(READ_BACK_TIMEOUT_S):
                verdict = await self.store.wait_for_change(record.change_id)
        except TimeoutError:
            return _unknown(record.change_id)
        return _verdict_reply(verdict)

    async def GetChange(
        self, request: pb.ChangeRequest, context: object
    ) -> pb.ApplyReply:
        """Looks up an earlier change by its id."""
        verdict = self.store.state.verdicts.get(request.change_id)
        if verdict is None:
            return _unknown(request.change_id)
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
        verdicts = reversed(list(self.store.state.verdicts.values()))
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
            log_state="up" if self.feed.log_up else "down",
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


def _verdict_reply(verdict: ChangeVerdict) -> pb.ApplyReply:
    status = pb.CHANGE_ACCEPTED if verdict.accepted else pb.CHANGE_REJECTED
    return pb.ApplyReply(
        change_id=verdict.record.change_id,
        status=status,
        version=verdict.version,
        problems=problem_messages(verdict.problems),
    )


def _rejected(change_id: str, problems: tuple[Problem, ...]) -> pb.ApplyReply:
    return pb.ApplyReply(
        change_id=change_id,
        status=pb.CHANGE_REJECTED,
        problems=problem_messages(problems),
    )


def _invalid(change_id: str, error: SchemaError) -> pb.ApplyReply:
    problem = pb.ChangeProblem(
        kind=error.kind.value, object=error.where, message=error.message
    )
    return pb.ApplyReply(
        change_id=change_id, status=pb.CHANGE_REJECTED, problems=[problem]
    )


def _unknown(change_id: str) -> pb.ApplyReply:
    return pb.ApplyReply(
        change_id=change_id,
        status=pb.CHANGE_UNKNOWN,
        retry_after_ms=ASK_AGAIN_MS,
    )


def _audit_entry(verdict: ChangeVerdict) -> pb.AuditEntry:
    record = verdict.record
    values = [operation_object(item) for item in record.operations]
    return pb.AuditEntry(
        version=verdict.version,
        change_id=record.change_id,
        author=record.author,
        reason=record.reason,
        at_ms=record.at_ms,
        status=pb.CHANGE_ACCEPTED if verdict.accepted else pb.CHANGE_REJECTED,
        objects=[str(object_key(value)) for value in values if value],
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
