"""Monitors the nodes' configurations while a test injects faults."""

import asyncio
import uuid
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import grpc

from pomelobank_schema.generated import operator_pb2 as pb
from pomelobank_schema.generated.operator_pb2_grpc import OperatorStub
from pomelobank_testing._harness import TestMesh

_POLL_INTERVAL_S = 0.02
_CALL_TIMEOUT_S = 1.0
_WAIT_TIMEOUT_S = 20.0


@attrs.define(eq=False)
class ConfigWatch:
    """Polls every node's configuration.

    The class is an asynchronous context manager. Its exit fails the test if a
    node's version decreased, or if two nodes had different objects at one
    version.

    Attributes:
        mesh: The mesh.
        versions: Every version seen, by process id of the node.
        objects: Configuration objects, by version.
        problems: Violations found so far.
        channels: Channels to the nodes' operator interfaces.
        task: The polling task.
    """

    mesh: TestMesh
    versions: dict[int, list[int]] = attrs.field(factory=dict)
    objects: dict[int, list[Any]] = attrs.field(factory=dict)
    problems: list[str] = attrs.field(factory=list)
    channels: dict[str, grpc.aio.Channel] = attrs.field(factory=dict)
    task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "ConfigWatch":
        self.task = asyncio.create_task(self._sample_forever())
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
        """Returns the client of a node's operator interface."""
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
        """Returns the status of a change, as a node knows it."""
        request = pb.ChangeRequest(change_id=change_id)
        reply = await self.stub(node).GetChange(request)
        assert isinstance(reply, pb.ApplyReply)
        return reply

    async def config(self, node: str) -> pb.GetConfigReply:
        """Returns a node's configuration."""
        reply = await self.stub(node).GetConfig(
            pb.GetConfigRequest(), timeout=_CALL_TIMEOUT_S
        )
        assert isinstance(reply, pb.GetConfigReply)
        return reply

    async def wait_all(
        self, version: int, nodes: Iterable[str] = ()
    ) -> pb.GetConfigReply:
        """Waits until nodes have a version; returns the last node's config."""
        last_config = None
        for node in nodes or list(self.mesh.nodes):
            last_config = await self.wait_for(node, lambda v: v >= version)
        assert last_config is not None
        return last_config

    async def wait_for(
        self, node: str, accept: Callable[[int], bool]
    ) -> pb.GetConfigReply:
        """Waits until a node has an accepted version; returns its config."""
        async with asyncio.timeout(_WAIT_TIMEOUT_S):
            while True:
                reply = await self.config(node)
                if accept(reply.version):
                    return reply
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def _sample_forever(self) -> None:
        while True:
            for name, node in list(self.mesh.nodes.items()):
                if node.ready.is_set() and node.process.returncode is None:
                    await self._sample_node(name, node.process.pid)
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _sample_node(self, name: str, process_id: int) -> None:
        try:
            reply = await self.stub(name).GetConfig(
                pb.GetConfigRequest(), timeout=_POLL_INTERVAL_S * 5
            )
        except grpc.aio.AioRpcError:
            # The node has ended or is suspended at present.
            return
        seen_versions = self.versions.setdefault(process_id, [])
        if seen_versions and reply.version < seen_versions[-1]:
            self.problems.append(
                f"{name}: version fell"
                f" from {seen_versions[-1]} to {reply.version}"
            )
        seen_versions.append(reply.version)
        expected_objects = self.objects.setdefault(
            reply.version, list(reply.objects)
        )
        if expected_objects != list(reply.objects):
            self.problems.append(
                f"{name}: objects differ from another node's"
                f" at version {reply.version}"
            )


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
    """Returns an operation that writes the service's only route."""
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
