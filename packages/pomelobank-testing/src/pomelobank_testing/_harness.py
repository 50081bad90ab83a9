"""Starts nodes as separate processes, with embedded fakes.

The fakes of the log service and of the targets run in the test's own process.
The harness serves tests and demonstrations; the system itself starts no
process.
"""

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import aiohttp
import attrs
import grpc
import yaml

import pomelobank_cli
import pomelobank_core
import pomelobank_node
import pomelobank_schema
from pomelobank_node import HttpServer
from pomelobank_schema.generated import operator_pb2 as pb
from pomelobank_schema.generated.operator_pb2_grpc import OperatorStub
from pomelobank_testing._log_service import LogService
from pomelobank_testing._upstream_service import UpstreamService, announce

START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 40.0
ANY_PORT = "127.0.0.1:0"
_POLL_INTERVAL_S = 0.02


def source_path() -> str:
    """Returns the PYTHONPATH with which child processes import this code."""
    modules = (
        pomelobank_schema,
        pomelobank_core,
        pomelobank_node,
        pomelobank_cli,
    )
    roots = [
        str(Path(str(module.__file__)).parent.parent) for module in modules
    ]
    roots.append(str(Path(__file__).parent.parent))
    return os.pathsep.join(roots)


def child_environment() -> dict[str, str]:
    """Returns the environment of child processes."""
    return {**os.environ, "PYTHONPATH": source_path()}


@attrs.define(eq=False)
class NodeProcess:
    """A node that runs as a separate process.

    Attributes:
        name: The node's id.
        process: The process.
        addresses: The node's addresses: http, admin, peer and operator.
        lines: The node's log lines so far.
        ready: Set once the node accepts requests.
        reader: The task that reads the log lines.
    """

    name: str
    process: asyncio.subprocess.Process
    addresses: dict[str, str] = attrs.field(factory=dict)
    lines: list[dict[str, Any]] = attrs.field(factory=list)
    ready: asyncio.Event = attrs.field(factory=asyncio.Event)
    reader: asyncio.Task[None] | None = None

    @classmethod
    async def launch(
        cls, name: str, settings: dict[str, Any], folder: Path
    ) -> "NodeProcess":
        """Starts a node and returns before the node is ready.

        Args:
            name: The node's id.
            settings: The node's settings.
            folder: Folder for the settings file.

        Returns:
            The process.
        """
        path = folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pomelobank_node",
            str(path),
            stdout=asyncio.subprocess.PIPE,
            env=child_environment(),
            limit=1 << 20,
        )
        node = cls(name, process)
        node.reader = asyncio.create_task(node._read_log_lines())
        return node

    async def _read_log_lines(self) -> None:
        assert self.process.stdout is not None
        async for raw in self.process.stdout:
            try:
                line = json.loads(raw)
            except ValueError:
                line = {"message": raw.decode(errors="replace")}
            self.lines.append(line)
            if line.get("message") == "node.ready":
                self.addresses = {
                    key: line[key]
                    for key in ("http", "admin", "peer", "operator")
                }
                self.ready.set()

    async def wait_ready(self) -> None:
        """Waits until the node accepts requests."""
        async with asyncio.timeout(START_TIMEOUT_S):
            await self.ready.wait()

    def own_lines(self) -> list[dict[str, Any]]:
        """Returns the log lines without `config.in_force`."""
        return [
            line
            for line in self.lines
            if line.get("message") != "config.in_force"
        ]

    def signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.process.send_signal(signal_number)

    def freeze(self) -> None:
        """Suspends the process; returns once the process is suspended."""
        self.signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.process.pid, os.WSTOPPED | os.WNOWAIT)

    async def wait(self) -> int:
        """Waits until the process ends; returns the exit status."""
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                status = await self.process.wait()
        except TimeoutError:
            last_lines = self.own_lines()[-40:]
            raise TimeoutError(
                f"{self.name} did not exit within {STOP_TIMEOUT_S:g} s;"
                f" last log lines: {last_lines}"
            ) from None
        if self.reader is not None:
            await self.reader
        return status

    async def stop(self) -> int:
        """Stops the node with SIGTERM; returns the exit status."""
        if self.process.returncode is None:
            self.signal(signal.SIGTERM)
        return await self.wait()

    async def kill(self) -> None:
        """Kills the process."""
        if self.process.returncode is None:
            self.process.kill()
        await self.wait()


@attrs.define(eq=False)
class EmbeddedTarget:
    """A fake upstream in this process that is announced to a node.

    Attributes:
        service: The fake upstream.
        server: The fake's HTTP server.
        announcer: The task that announces the fake.
    """

    service: UpstreamService
    server: HttpServer
    announcer: asyncio.Task[None] | None = None

    @classmethod
    async def start(cls, service: UpstreamService) -> "EmbeddedTarget":
        """Starts the fake's server."""
        server = HttpServer(ANY_PORT, service, cancel_on_disconnect=True)
        await server.start()
        return cls(service, server)

    def announce_to(self, admin: str) -> None:
        """Announces the target to a node and to no earlier node any more."""
        if self.announcer is not None:
            self.announcer.cancel()
        self.announcer = asyncio.create_task(
            announce(self.service, self.server.address, admin)
        )

    async def stop(self) -> None:
        """Stops the announcements and the server."""
        if self.announcer is not None:
            self.announcer.cancel()
            await asyncio.gather(self.announcer, return_exceptions=True)
        await self.server.stop()


@attrs.define(eq=False)
class TestMesh:
    """A log, nodes and targets; an asynchronous context manager.

    Attributes:
        overrides: Settings that are added to every node's defaults.
        log: The fake of the log service.
        nodes: Node processes by id.
        targets: Targets by the id of the node beside them.
        folder: Folder for settings files and configuration documents.
        log_server: The HTTP server of the fake log service.
        session: The client session for requests to the nodes.
    """

    __test__ = False

    overrides: dict[str, Any] = attrs.field(factory=dict)
    log: LogService = attrs.field(factory=LogService)
    nodes: dict[str, NodeProcess] = attrs.field(factory=dict)
    targets: dict[str, EmbeddedTarget] = attrs.field(factory=dict)
    folder: tempfile.TemporaryDirectory[str] = attrs.field(
        factory=tempfile.TemporaryDirectory
    )
    log_server: HttpServer | None = None
    session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "TestMesh":
        self.log_server = HttpServer(ANY_PORT, self.log.application())
        await self.log_server.start()
        connector = aiohttp.TCPConnector(limit=0)
        self.session = aiohttp.ClientSession(connector=connector)
        return self

    async def __aexit__(self, *_: object) -> None:
        for node in self.nodes.values():
            if node.process.returncode is None:
                # A suspended process does not handle SIGTERM until it is
                # continued.
                node.signal(signal.SIGCONT)
        await asyncio.gather(
            *(node.stop() for node in self.nodes.values()),
            return_exceptions=True,
        )
        for node in self.nodes.values():
            await node.kill()
        for target in self.targets.values():
            await target.stop()
        assert self.session is not None
        await self.session.close()
        assert self.log_server is not None
        self.log.closing.set()
        await self.log_server.stop()
        self.folder.cleanup()

    def settings(self, name: str, data_centre: str) -> dict[str, Any]:
        """Returns the settings of a node."""
        assert self.log_server is not None
        settings: dict[str, Any] = {
            "node": name,
            "data_centre": data_centre,
            "log": {"address": self.log_server.address},
        }
        for key, value in self.overrides.items():
            if isinstance(value, dict):
                settings[key] = {**settings.get(key, {}), **value}
            else:
                settings[key] = value
        return settings

    async def add_node(
        self,
        name: str,
        data_centre: str,
        service: UpstreamService | None = None,
    ) -> NodeProcess:
        """Starts a node, and a target beside the node if one is given."""
        if service is not None and name not in self.targets:
            self.targets[name] = await EmbeddedTarget.start(service)
        node = await NodeProcess.launch(
            name, self.settings(name, data_centre), Path(self.folder.name)
        )
        self.nodes[name] = node
        await node.wait_ready()
        if name in self.targets:
            self.targets[name].announce_to(node.addresses["admin"])
        return node

    async def request(
        self,
        node: str,
        service: str,
        path: str,
        method: str = "GET",
        **arguments: Any,
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends a request to a node as a caller.

        Returns:
            Status, headers and body.
        """
        headers = {
            "x-pomelobank-service": service,
            **arguments.pop("headers", {}),
        }
        url = f"http://{self.nodes[node].addresses['http']}{path}"
        assert self.session is not None
        async with self.session.request(
            method, url, headers=headers, **arguments
        ) as response:
            return (
                response.status,
                dict(response.headers),
                await response.read(),
            )

    async def command(self, node: str, *arguments: str) -> tuple[int, str]:
        """Runs the command line tool against a node.

        Returns:
            Exit status and standard output.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pomelobank_cli",
            "--node",
            self.nodes[node].addresses["operator"],
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            env=child_environment(),
        )
        output, _ = await process.communicate()
        assert process.returncode is not None
        return process.returncode, output.decode()

    async def apply(
        self, node: str, document: dict[str, Any]
    ) -> tuple[int, str]:
        """Applies a configuration document through a node."""
        folder = Path(self.folder.name)
        path = folder / f"document-{len(list(folder.iterdir()))}.yaml"
        path.write_text(yaml.safe_dump(document))
        return await self.command(node, "apply", str(path), "--output", "json")

    async def wait_version(self, node: str, version: int) -> None:
        """Waits until all members known to a node have a version in force."""
        status, output = await self.command(
            node, "status", "--wait", str(version), "--timeout", "60"
        )
        if status:
            raise TimeoutError(output)
        await asyncio.gather(*map(self.wait_serving, self.nodes))

    async def wait_serving(self, node: str) -> None:
        """Waits until a node accepts callers' requests.

        A starting node may get a version from a peer before the node knows
        that no higher version exists, and refuses callers until then.
        """
        assert self.session is not None
        url = f"http://{self.nodes[node].addresses['admin']}/healthz"
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                async with self.session.get(url) as response:
                    if response.ok:
                        return
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def wait_members(self, count: int, state: str = "ready") -> None:
        """Waits until every node knows a number of members in a state."""
        waiters = (
            self._wait_member_count(name, count, state) for name in self.nodes
        )
        await asyncio.gather(*waiters)

    async def _wait_member_count(
        self, name: str, count: int, state: str
    ) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        async with grpc.aio.insecure_channel(
            self.nodes[name].addresses["operator"]
        ) as channel:
            stub = OperatorStub(channel)
            while time.monotonic() < deadline:
                reply = await stub.GetStatus(pb.StatusRequest())
                states = [member.state for member in reply.members]
                if states.count(state) >= count:
                    return
                await asyncio.sleep(_POLL_INTERVAL_S)
        raise TimeoutError(
            f"{name} did not see {count} members in state {state}"
            f" within {START_TIMEOUT_S:g} s"
        )

    async def metric(self, node: str, name: str) -> int:
        """Returns the sum of a metric's values, by its name on the page."""
        lines = (await self.metrics(node)).splitlines()
        values = [
            line.rsplit(" ", 1)[1] for line in lines if line.startswith(name)
        ]
        return int(sum(map(float, values)))

    async def metrics(self, node: str) -> str:
        """Returns a node's metrics page."""
        assert self.session is not None
        url = f"http://{self.nodes[node].addresses['admin']}/metrics"
        async with self.session.get(url) as response:
            return await response.text()
