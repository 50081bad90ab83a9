"""A small deployment: nodes as processes of their own, and stand-ins."""

import asyncio
import contextlib
import dataclasses
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, TextIO

from stand_ins_2.consumer import send
from stand_ins_2.store import Store
from stand_ins_2.target import Target
from stand_ins_2.wire import BrokenMessageError, encode, read_message

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
STABILITY_WINDOW_S = 3.0
_BEAT_S = 1.5
# Below the ports that the kernel gives to outgoing connections.
_PORTS = range(12000, 30000)
_BEAT_TIMEOUT_S = 1.0
_START_TIMEOUT_S = 20.0
_RESTART_DELAY_S = 0.5

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_COULD_NOT_RUN = 2


class CannotRunError(Exception):
    """The case could not be run, so that it says nothing."""


def with_trouble() -> bool:
    """Whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file in which a case keeps what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self.file: TextIO = path.open("w")
        self.began_s = time.monotonic()

    def write(self, line: str) -> None:
        """Writes a line with the time since the start."""
        self.file.write(f"{time.monotonic() - self.began_s:8.3f} {line}\n")

    def say(self, line: str) -> None:
        """Writes a line to the record and to the output."""
        self.write(line)
        print(line, flush=True)


_used_ports: set[int] = set()


def _free_port() -> int:
    while True:
        port = random.choice(_PORTS)
        if port in _used_ports:
            continue
        _used_ports.add(port)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


@dataclasses.dataclass
class Machine:
    """A machine: a target and the node beside it.

    Attributes:
        name: Name of the machine.
        zone: Zone of the machine.
        target: The target.
        ports: Ports of the node, by purpose.
        process: The node's process; None while it is down.
        started_s: When the process was started last.
        beats: Whether the target sends heartbeats.
        is_ready: Whether the node's last answer to the poll was 200.
    """

    name: str
    zone: str
    target: Target
    ports: dict[str, int]
    process: asyncio.subprocess.Process | None = None
    started_s: float = 0.0
    beats: bool = True
    is_ready: bool = False

    def address(self, purpose: str) -> str:
        """Returns an address of the node."""
        return f"127.0.0.1:{self.ports[purpose]}"


class Deployment:
    """Starts and stops the processes of a deployment.

    Attributes:
        record: The case's record.
        store: The platform's store.
        machines: The machines.
        zones: Zones of the deployment.
        settings: Changes of the settings of each node.
    """

    def __init__(self, record: Record, **settings: Any) -> None:
        self.record = record
        self.store = Store()
        self.machines: list[Machine] = []
        self.settings = settings
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.tasks: set[asyncio.Task[None]] = set()
        self.is_first_start = True
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = shlex.split(deploy["roles"]["node"]["run"])

    def add(self, target: Target) -> Machine:
        """Adds a machine with a target."""
        name = f"sidecar-{target.zone}-{len(self.machines) + 1}"
        purposes = ("http", "ready", "control", "peer", "metrics")
        ports = {purpose: _free_port() for purpose in purposes}
        machine = Machine(name, target.zone, target, ports)
        self.machines.append(machine)
        return machine

    async def start(self, document: dict[str, object]) -> None:
        """Starts all parts and waits until every node is ready.

        Raises:
            CannotRunError: If a part does not start.
        """
        if not (ROOT / "target/deps/pomelobank_platform").is_dir():
            raise CannotRunError("the build of the deploy file is missing")
        await self.store.start()
        self.store.publish(document)
        for machine in self.machines:
            await machine.target.start()
        for machine in self.machines:
            await self.start_node(machine)
        for machine in self.machines:
            self.spawn(self._send_beats(machine))
            self.spawn(self._poll(machine))
        await self.wait_ready()
        self.is_first_start = False

    async def wait_ready(self) -> None:
        """Waits until every node is ready and knows every target.

        Raises:
            CannotRunError: If this takes too long.
        """
        end_s = asyncio.get_running_loop().time() + _START_TIMEOUT_S
        while not all(item.is_ready for item in self.machines):
            if asyncio.get_running_loop().time() > end_s:
                raise CannotRunError("a node does not become ready")
            await asyncio.sleep(0.1)

    async def wait_served(self, paths: list[str]) -> None:
        """Waits until every node serves each of some paths ten times in a row.

        Raises:
            CannotRunError: If this takes too long.
        """
        try:
            async with asyncio.timeout(_START_TIMEOUT_S):
                for machine in self.machines:
                    for path in paths:
                        await self._wait_path(machine, path)
        except TimeoutError:
            raise CannotRunError("a route is not served") from None

    async def _wait_path(self, machine: Machine, path: str) -> None:
        served = 0
        while served < 10:
            address = machine.address("http")
            attempt = await send(machine.name, address, HOST, path, 2.0)
            served = served + 1 if attempt.status == 200 else 0
            if not served:
                await asyncio.sleep(0.1)

    def spawn(self, work: Any) -> asyncio.Task[None]:
        """Runs work until the deployment ends."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def start_node(self, machine: Machine) -> None:
        """Starts the node of a machine."""
        path = self.folder / f"{machine.name}.yaml"
        path.write_text(json.dumps(self._settings(machine)))
        kept = ("PATH", "HOME", "LANG")
        environment = {
            key: os.environ[key] for key in kept if key in os.environ
        }
        environment["POMELOBANK_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        log = (self.folder / f"{machine.name}.log").open("ab")
        machine.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self.command[1:],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()
        machine.started_s = asyncio.get_running_loop().time()
        self.record.write(f"start {machine.name} pid {machine.process.pid}")
        self.spawn(self._restart_ended(machine, machine.process))

    async def _restart_ended(
        self, machine: Machine, process: asyncio.subprocess.Process
    ) -> None:
        # The platform restarts a process that ends by itself.
        status = await process.wait()
        if machine.process is process:
            self.record.say(f"{machine.name} ended by itself: {status}")
            await asyncio.sleep(_RESTART_DELAY_S)
            await self.start_node(machine)

    async def kill_node(
        self, machine: Machine, number: signal.Signals = signal.SIGKILL
    ) -> None:
        """Signals the node of a machine and waits for its end."""
        assert machine.process is not None
        process, machine.process = machine.process, None
        self.record.write(f"{number.name} {machine.name} pid {process.pid}")
        process.send_signal(number)
        await process.wait()

    def _settings(self, machine: Machine) -> dict[str, Any]:
        bounds = {"drain_ms": 2000}
        settings: dict[str, Any] = {
            "node": machine.name,
            "data_centre": machine.zone,
            "region": "tas",
            "line_mbps": 1000.0,
            "buffers": {"memory_mb": 300},
            "connections": {"max_descriptors": 4100},
            "first_start": self.is_first_start,
            "listen": {
                "http": machine.address("http"),
                "ready": machine.address("ready"),
                "control": machine.address("control"),
                "peer": machine.address("peer"),
                "metrics": machine.address("metrics"),
            },
            "log": {"address": self.store.address},
            "target": {
                "upstream": machine.target.service,
                "address": machine.target.address,
                **bounds,
            },
            "stop": {"grace_s": 6},
            "retries": {"ratio": 0.2, "slack": 60, "window_s": 10},
            "rollouts": {"max_share": 0},
            "requests": {
                "admission": "by_deadline",
                "ramp_ms": 3000,
                "ramp_start_percent": 50,
            },
            "workspaces": {"strict_revoke": False},
            "membership": {
                "target_lease_ms": 8000,
                "version_gossip": "own",
            },
        }
        settings.update(self.settings)
        return settings

    async def _send_beats(self, machine: Machine) -> None:
        while True:
            target = machine.target
            if machine.beats and target.server is not None:
                path, body = target.heartbeat()
                with contextlib.suppress(
                    OSError, TimeoutError, BrokenMessageError
                ):
                    await self.call_control(machine, path, body)
            await asyncio.sleep(_BEAT_S)

    async def call_control(
        self, machine: Machine, path: str, body: bytes
    ) -> int:
        """Sends a call of a target to its node; returns the status."""
        async with asyncio.timeout(_BEAT_TIMEOUT_S):
            return await _call(machine.address("control"), "POST", path, body)

    async def _poll(self, machine: Machine) -> None:
        misses = 0
        while True:
            status = 0
            try:
                async with asyncio.timeout(1.0):
                    status = await _call(
                        machine.address("ready"), "GET", "/api/readiness", b""
                    )
            except (OSError, TimeoutError, BrokenMessageError):
                status = 0
            misses = 0 if status == 200 else misses + 1
            if misses in (0, 2):
                machine.is_ready = status == 200
            await asyncio.sleep(1.0)

    def write_runs(self) -> None:
        """Writes what reached the targets to the record."""
        for machine in self.machines:
            for run in machine.target.runs:
                self.record.write(
                    f"at {machine.name} {run.arrived_s:.3f} {run.request_id}"
                    f" {run.path} from {run.caller}:"
                    f" {'ran' if run.ran else 'not run'}, {run.ended}"
                )

    async def stop(self) -> None:
        """Ends every process and stand-in that the case has started."""
        for task in list(self.tasks):
            task.cancel()
        for machine in self.machines:
            if machine.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    await self.kill_node(machine)
        if os.environ.get("KEEP_LOGS"):
            print(f"logs of the nodes: {self.folder}")
            return
        for path in self.folder.iterdir():
            path.unlink()
        self.folder.rmdir()


Case = Callable[[Deployment, Record], Coroutine[Any, Any, int]]


def play(path: Path, case: Case, **settings: Any) -> int:
    """Plays a case and returns its exit status.

    Args:
        path: File of the record.
        case: Starts and judges the deployment.
        settings: Changes of the settings of each node.
    """
    record = Record(path)
    try:
        return asyncio.run(_play(record, case, settings))
    except CannotRunError as error:
        record.say(f"could not run: {error}")
        return EXIT_COULD_NOT_RUN
    finally:
        record.file.close()


async def _play(record: Record, case: Case, settings: dict[str, Any]) -> int:
    deployment = Deployment(record, **settings)
    task = asyncio.current_task()
    assert task is not None
    # A case that is stopped from outside ends its processes, too.
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await case(deployment, record)
    except asyncio.CancelledError:
        raise CannotRunError("the case was stopped") from None
    finally:
        await deployment.stop()
        deployment.write_runs()


async def _call(address: str, method: str, path: str, body: bytes) -> int:
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        writer.write(
            encode(f"{method} {path} HTTP/1.1", {"Host": address}, body)
        )
        answer = await read_message(reader)
        return answer.status if answer else 0
    finally:
        writer.close()


def route(
    name: str, prefix: str, service: str, **spec: object
) -> dict[str, object]:
    """Returns a route of a configuration."""
    fields: dict[str, object] = {
        "Host": HOST,
        "PathPrefix": prefix,
        "Kind": "idempotent",
        "TimeoutMs": 2000,
        "AimMs": 600,
        "Priority": 2,
        "Service": service,
        "MaxAttempts": 2,
        **spec,
    }
    return {
        "ResourceType": "Routes",
        "Metadata": {"Name": name},
        "Spec": fields,
    }


def configuration(
    version: int, services: list[str], routes: list[dict[str, object]]
) -> dict[str, object]:
    """Returns a configuration."""
    resources: list[dict[str, object]] = list(routes)
    for service in services:
        spec = {
            "HealthPath": "/health",
            "MaxConnections": 120,
            "Protocol": "h1",
            "Tls": False,
        }
        resources.append(
            {
                "ResourceType": "Services",
                "Metadata": {"Name": service},
                "Spec": spec,
            }
        )
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 67108864,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    resources.append({"ResourceType": "Limits", "Metadata": {}, "Spec": limits})
    return {"Version": version, "Resources": resources}
