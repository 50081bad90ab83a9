"""Watches nodes' configurations while a test makes things fail."""

import asyncio
import uuid
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import grpc

from pomelobank_schema.generated import operator_pb2 as pb
from pomelobank_schema.generated.operator_pb2_grpc import OperatorStub
from pomelobank_testing._harness import TestMesh

_POLL_S = 0.02
_CALL_TIMEOUT_S = 1.0
_WAIT_S = 20.0


@attrs.define(eq=False)
class ConfigWatch:
    """Reads every node's configuration over and over.

    Use it as an asynchronous context manager. At the end it fails the test
    where a node's version went back or two nodes of one version differed.

    Attributes:
        mesh: The mesh.
        versions: Every version seen, by node process.
        objects: What a version holds, by version.
        problems: What went wrong.
    """

    mesh: TestMesh
    versions: dict[int, list[int]] = attrs.field(factory=dict)
    objects: dict[int, list[Any]] = attrs.field(factory=dict)
    problems: list[str] = attrs.field(factory=list)
    channels: dict[str, grpc.aio.Channel] = attrs.field(factory=dict)
    task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "ConfigWatch":
        self.task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, kind: type | None, *_: object) -> None:
        assert self.task is not None
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        for channel in self.channels.values():
            await channel.close(None)
        if kind is None:
            assert self.problems == []

    def stub(self, node: str) -> OperatorStub:
        """Returns the operators' calls of a node."""
        address = self.mesh.nodes[node].addresses["operator"]
        if address not in self.channels:
            self.channels[address] = grpc.aio.insecure_channel(address)
        return OperatorStub(self.channels[address])

    async def apply(
        self,
        node: str,
        *operations: pb.Operation,
        change_id: str = "",
        timeout_s: float | None = None,
    ) -> pb.ApplyReply:
        """Applies a change through a node."""
        request = pb.ApplyRequest(
            change_id=change_id or uuid.uuid4().hex,
            author="test",
            operations=operations,
        )
        reply = await self.stub(node).Apply(request, timeout=timeout_s)
        assert isinstance(reply, pb.ApplyReply)
        return reply

    async def change(self, node: str, change_id: str) -> pb.ApplyReply:
        """Asks a node for a change."""
        request = pb.ChangeRequest(change_id=change_id)
        reply = await self.stub(node).GetChange(request)
        assert isinstance(reply, pb.ApplyReply)
        return reply

    async def config(self, node: str) -> pb.GetConfigReply:
        """Reads a node's configuration."""
        reply = await self.stub(node).GetConfig(
            pb.GetConfigRequest(), timeout=_CALL_TIMEOUT_S
        )
        assert isinstance(reply, pb.GetConfigReply)
        return reply

    async def wait_all(
        self, version: int, nodes: Iterable[str] = ()
    ) -> pb.GetConfigReply:
        """Waits until nodes have a version; returns what they agree on."""
        found = None
        for node in nodes or list(self.mesh.nodes):
            found = await self.wait_for(node, lambda v: v >= version)
        assert found is not None
        return found

    async def wait_for(
        self, node: str, accept: Callable[[int], bool]
    ) -> pb.GetConfigReply:
        """Waits until a node's version is as wanted."""
        async with asyncio.timeout(_WAIT_S):
            while True:
                reply = await self.config(node)
                if accept(reply.version):
                    return reply
                await asyncio.sleep(_POLL_S)

    async def _run(self) -> None:
        while True:
            for name, node in list(self.mesh.nodes.items()):
                if node.ready.is_set() and node.process.returncode is None:
                    await self._sample(name, node.process.pid)
            await asyncio.sleep(_POLL_S)

    async def _sample(self, name: str, process_id: int) -> None:
        try:
            reply = await self.stub(name).GetConfig(
                pb.GetConfigRequest(), timeout=_POLL_S * 5
            )
        except grpc.aio.AioRpcError:
            # The node is dead or paused at the moment.
            return
        seen = self.versions.setdefault(process_id, [])
        if seen and reply.version < seen[-1]:
            self.problems.append(f"{name}: {seen[-1]}, then {reply.version}")
        seen.append(reply.version)
        known = self.objects.setdefault(reply.version, list(reply.objects))
        if known != list(reply.objects):
            self.problems.append(f"{name} differs at version {reply.version}")


def put_service(name: str, expected_revision: int = -1) -> pb.Operation:
    """Returns an operation that writes a service."""
    return pb.Operation(
        object=pb.ConfigObject(service=pb.Service(name=name)),
        expected_revision=expected_revision,
    )


def put_upstream(name: str, service: str) -> pb.Operation:
    """Returns an operation that writes an upstream."""
    upstream = pb.Upstream(name=name, service=service)
    return pb.Operation(
        object=pb.ConfigObject(upstream=upstream), expected_revision=-1
    )


def put_route(
    service: str,
    upstream: str,
    path_prefix: str = "/",
    expected_revision: int = -1,
) -> pb.Operation:
    """Returns an operation that writes the service's one route."""
    route = pb.Route(
        name=service,
        service=service,
        path_prefix=path_prefix,
        destinations=[pb.Destination(upstream=upstream, weight=1)],
    )
    return pb.Operation(
        object=pb.ConfigObject(route=route),
        expected_revision=expected_revision,
    )
