"""TCP relays in front of nodes, with which tests partition data centres."""

import asyncio
import contextlib
from pathlib import Path
from typing import Any

import attrs
import grpc
import msgpack

from pomelobank_schema import SchemaError, decode_values, parse_address
from pomelobank_schema.generated import operator_pb2 as pb
from pomelobank_schema.generated import peer
from pomelobank_schema.generated.operator_pb2_grpc import OperatorStub
from pomelobank_testing._harness import (
    EmbeddedTarget,
    NodeProcess,
    TestMesh,
)
from pomelobank_testing._upstream_service import UpstreamService

_READ_SIZE_BYTES = 64 * 1024
_POLL_INTERVAL_S = 0.05


@attrs.define(eq=False)
class TcpRelay:
    """Forwards streams to one node, unless their source is partitioned.

    As on a real network, bytes to a partitioned node are not lost from the
    middle of a stream: the relay keeps the bytes, and delivers them after the
    partition if the sender has kept the stream open.

    Attributes:
        target: Address that streams are forwarded to; if empty, the relay
            closes new streams.
        address: Address that the relay listens on.
        silent: Data centres whose bytes are held back while their streams stay
            open.
        refused: Data centres whose streams are closed and refused.
        changed: Replaced and set when `silent` or `refused` changes.
        server: The listening server.
        tasks: The tasks of open streams.
    """

    target: str = ""
    address: str = ""
    silent: set[str] = attrs.field(factory=set)
    refused: set[str] = attrs.field(factory=set)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    server: asyncio.Server | None = None
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def start(self) -> None:
        """Starts listening."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stops listening and closes every stream."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def set_partition(self, silent: set[str], refused: set[str]) -> None:
        """Partitions data centres; empty sets end the partition."""
        self.silent, self.refused = silent, refused
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            await self._relay(reader, writer)
        except (OSError, SchemaError):
            return
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        first = await reader.read(_READ_SIZE_BYTES)
        if not first or not self.target:
            return
        source = _data_centre(first)
        await self._wait_until_delivered(source)
        if source in self.refused:
            return
        host, port = parse_address(self.target)
        target_reader, target_writer = await asyncio.open_connection(host, port)
        target_writer.write(first)
        copies = [
            asyncio.create_task(self._copy(source, reader, target_writer)),
            asyncio.create_task(self._copy(source, target_reader, writer)),
            asyncio.create_task(self._wait_refused(source)),
        ]
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for copy in copies:
                copy.cancel()
            await asyncio.gather(*copies, return_exceptions=True)
            target_writer.close()

    async def _copy(
        self,
        source: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while data := await reader.read(_READ_SIZE_BYTES):
            await self._wait_until_delivered(source)
            writer.write(data)
            await writer.drain()

    async def _wait_until_delivered(self, source: str) -> None:
        while source in self.silent:
            await self.changed.wait()

    async def _wait_refused(self, source: str) -> None:
        while source not in self.refused:
            await self.changed.wait()


def _data_centre(data: bytes) -> str:
    """Returns the data centre in a stream's first frame."""
    unpacker = msgpack.Unpacker()
    unpacker.feed(data)
    hello = decode_values(next(unpacker), peer.KINDS)
    return hello.data_centre if isinstance(hello, peer.Hello) else ""


@attrs.define(eq=False)
class RelayedMesh(TestMesh):
    """A mesh whose nodes reach each other through relays.

    Attributes:
        relays: Relays, by the node that each forwards to.
        places: Data centres, by node.
    """

    __test__ = False

    relays: dict[str, TcpRelay] = attrs.field(factory=dict)
    places: dict[str, str] = attrs.field(factory=dict)

    async def __aexit__(self, *arguments: object) -> None:
        self.heal()
        await super().__aexit__(*arguments)
        for relay in self.relays.values():
            await relay.stop()

    def settings(self, name: str, data_centre: str) -> dict[str, Any]:
        """Returns the settings of a node, with its relay's address."""
        settings = super().settings(name, data_centre)
        listen = settings.setdefault("listen", {})
        listen["peer_advertised"] = self.relays[name].address
        return settings

    async def add_node(
        self,
        name: str,
        data_centre: str,
        service: UpstreamService | None = None,
    ) -> NodeProcess:
        """Starts a node and its relay."""
        if name not in self.relays:
            self.relays[name] = TcpRelay()
            await self.relays[name].start()
        self.places[name] = data_centre
        relay = self.relays[name]
        relay.target = ""
        if service is not None and name not in self.targets:
            self.targets[name] = await EmbeddedTarget.start(service)
        node = await NodeProcess.launch(
            name, self.settings(name, data_centre), Path(self.folder.name)
        )
        self.nodes[name] = node
        await node.wait_ready()
        relay.target = node.addresses["peer"]
        if name in self.targets:
            self.targets[name].announce_to(node.addresses["admin"])
        return node

    def partition(self, data_centre: str, silent: bool) -> None:
        """Partitions a data centre from all other data centres.

        Args:
            data_centre: The data centre.
            silent: Whether bytes are held back while streams stay open;
                otherwise streams are closed and new streams are refused.
        """
        others = set(self.places.values()) - {data_centre}
        for name, relay in self.relays.items():
            inside = self.places[name] == data_centre
            sources = others if inside else {data_centre}
            relay.set_partition(
                *((sources, set()) if silent else (set(), sources))
            )

    def heal(self) -> None:
        """Ends every partition."""
        for relay in self.relays.values():
            relay.set_partition(set(), set())


async def member_states(mesh: TestMesh, node: str) -> dict[str, str]:
    """Returns the state of each member as a node sees it."""
    address = mesh.nodes[node].addresses["operator"]
    async with grpc.aio.insecure_channel(address) as channel:
        reply = await OperatorStub(channel).GetStatus(pb.StatusRequest())
    return {member.node: member.state for member in reply.members}


async def wait_states(
    mesh: TestMesh,
    watchers: list[str],
    expected: dict[str, str],
    timeout_s: float = 60.0,
) -> None:
    """Waits until nodes see members in the given states.

    Args:
        mesh: The mesh.
        watchers: Nodes that must see the states.
        expected: States by member; other members are not compared.
        timeout_s: Maximum wait for each node.

    Raises:
        TimeoutError: If a node does not see the states within the wait.
    """
    for watcher in watchers:
        states: dict[str, str] = {}
        try:
            async with asyncio.timeout(timeout_s):
                while not expected.items() <= states.items():
                    await asyncio.sleep(_POLL_INTERVAL_S)
                    with contextlib.suppress(grpc.aio.AioRpcError):
                        states = await member_states(mesh, watcher)
        except TimeoutError:
            raise TimeoutError(
                f"{watcher} sees {states} after {timeout_s:g} s;"
                f" expected {expected}"
            ) from None
