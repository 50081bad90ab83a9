"""The platform: its store, its machines and the consumers on them."""

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import signal
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

from stand_ins.http import ABORT, Request, Response, Server, call, is_free

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 0.87
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "StabilityWindowMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 6,
    "LostMs": 200,
    "ConfigMs": 2000,
    "RollbackSlackMs": 250,
    "OuterMs": 5000,
    "BudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "BudgetSlack": 58,
    "RecoverS": 15,
}
PORTS = {"app": 8301, "ready": 8302, "outbound": 8304, "control": 8306}
STORE_PORT = 8309
PEER_PORT = 7620
METRICS_PORT = 9464
HOST = "shop.example"


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_s = time.monotonic()

    def now_s(self) -> float:
        """Returns the time since the start of the record."""
        return time.monotonic() - self.started_s

    def add(self, text: str) -> float:
        """Writes a line and returns its time."""
        now_s = self.now_s()
        self.file.write(f"{now_s:8.3f} {text}\n")
        self.file.flush()
        return now_s


class Store:
    """The platform's store: a log, with the newest record of keyed topics.

    Attributes:
        mode: `up`, or `reset` while each call's connection is reset.
    """

    def __init__(self, address: str, record: Record) -> None:
        self.record = record
        self.mode = "up"
        self.topics: dict[str, list[bytes]] = {}
        self.changed = asyncio.Event()
        self.server = Server(address, self._handle)

    def set_mode(self, mode: str) -> None:
        """Begins or ends an outage."""
        self.mode = mode
        self.record.add(f"store is {mode}")
        if mode != "up":
            self.server.reset()

    def put_config(self, config: dict[str, Any]) -> None:
        """Writes `op/config`, as the operator does."""
        key, value = b"config", json.dumps(config).encode()
        self._append("keyed.op", [bytes([len(key)]) + key + value])
        self.record.add(f"operator: version {config['Version']} acknowledged")

    def _append(self, topic: str, records: list[bytes]) -> int:
        stored = self.topics.setdefault(topic, [])
        stored += records
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return len(stored) - len(records)

    async def _handle(self, request: Request) -> Response:
        if self.mode != "up":
            return Response(ABORT)
        await asyncio.sleep(0.004)
        path, _, query = request.path.partition("?")
        fields = {key: item[0] for key, item in parse_qs(query).items()}
        name = path.rpartition("/")[2]
        topic = fields.get("Topic", "")
        if name == "log-append":
            offset = self._append(topic, _records(request.body))
            self.record.add(f"store: append to {topic} at {offset}")
            end = len(self.topics[topic])
            response = _json({"Offset": offset, "End": end})
        elif name == "log-read":
            response = await self._read(topic, fields)
        elif name == "log-newest":
            response = self._newest(topic)
        else:
            response = Response(404)
        return response if self.mode == "up" else Response(ABORT)

    async def _read(self, topic: str, fields: dict[str, str]) -> Response:
        start = int(fields["From"])
        until_s = time.monotonic() + int(fields.get("WaitMs", 0)) / 1000
        while start >= len(self.topics.get(topic, [])):
            remaining_s = until_s - time.monotonic()
            if remaining_s <= 0 or self.mode != "up":
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(0.05, remaining_s)):
                    await self.changed.wait()
        stored = self.topics.get(topic, [])
        body = len(stored).to_bytes(8, "big") + bytes(8)
        for item in stored[start:]:
            body += len(item).to_bytes(4, "big") + item
        return Response(200, {}, body)

    def _newest(self, topic: str) -> Response:
        newest = {}
        stored = self.topics.get(topic, [])
        for offset, item in enumerate(stored):
            key, value = item[1 : 1 + item[0]], item[1 + item[0] :]
            newest[key.decode()] = (value, offset)
        items = [
            {
                "Key": key,
                "Value": base64.b64encode(value).decode(),
                "Offset": offset,
            }
            for key, (value, offset) in newest.items()
        ]
        return _json({"items": items, "More": False, "End": len(stored)})


def _records(data: bytes) -> list[bytes]:
    records = []
    while data:
        size = int.from_bytes(data[:4], "big")
        records.append(data[4 : 4 + size])
        data = data[4 + size :]
    return records


def _json(fields: dict[str, Any]) -> Response:
    headers = {"Content-Type": "application/json"}
    return Response(200, headers, json.dumps(fields).encode())


class Target:
    """An application target: runs requests and sends heartbeats.

    Attributes:
        arrivals: Time and id of each request that it ran.
        large_bytes: Size of each response to a request of `/archive/`.
        break_share: Share of the responses that it breaks off.
        broken: Ids of the requests whose responses it broke off.
    """

    def __init__(
        self, service: str, address: str, control: str, record: Record
    ) -> None:
        self.service, self.address = service, address
        self.control, self.record = control, record
        self.instance = f"i-{random.getrandbits(40):010x}"
        self.sequence = 0
        self.running = 0
        self.arrivals: list[tuple[float, str]] = []
        self.large_bytes = 0
        self.break_share = 0.0
        self.broken: list[str] = []
        self.server = Server(address, self._handle)
        self.beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts to serve and to send heartbeats."""
        await self.server.start()
        self.beats = asyncio.create_task(self._beat())
        self.record.add(f"target {self.instance} of {self.service} starts")

    async def stop(self) -> None:
        """Ends."""
        if self.beats is not None:
            self.beats.cancel()
        await self.server.stop()
        self.record.add(f"target {self.instance} ends")

    async def _beat(self) -> None:
        while True:
            self.sequence += 1
            fields = {
                "Service": self.service,
                "Address": self.address,
                "Zone": "zone-a",
                "Version": "v1",
                "Slots": 9,
                "State": "ready",
                "WarmupLeftMs": 0,
                "Sequence": self.sequence,
            }
            await self._call("instances.heartbeat", json.dumps(fields))
            await asyncio.sleep(HEARTBEAT_S)

    async def _call(self, name: str, body: str = "") -> int:
        path = f"/api/rpc?call={name}&of={self.instance}"
        headers = {"Content-Type": "application/json"}
        response = await call(
            self.control, "POST", path, headers, body.encode()
        )
        return response.status

    async def deregister(self) -> float:
        """Says that it leaves, until that is acknowledged.

        Returns:
            The time of the acknowledgement.
        """
        while True:
            status = await self._call("instances.deregister")
            now_s = self.record.add(
                f"target {self.instance} deregisters: {status}"
            )
            if 200 <= status < 300:
                return now_s
            await asyncio.sleep(0.2)

    async def _handle(self, request: Request) -> Response:
        headers = {"X-Instance-Id": self.instance}
        if request.path == "/health":
            return Response(200, headers)
        request_id = request.headers.get("x-request-id", "")
        headers["X-Request-Id"] = request_id
        if request.headers.get("x-expect-instance") != self.instance:
            self.record.add(f"target {self.instance} 421 {request_id}")
            return Response(421, headers)
        if self.running >= 9:
            return Response(503, {**headers, "X-Not-Run": "1"})
        self.arrivals.append((self.record.now_s(), request_id))
        self.record.add(f"target {self.instance} runs {request_id}")
        self.running += 1
        try:
            await asyncio.sleep(0.02)
        finally:
            self.running -= 1
        headers["X-Response-Stamp"] = f"{self.instance}.{request_id}"
        body = request_id.encode()
        if request.path.startswith("/archive/"):
            body = body.ljust(self.large_bytes, b".")
        response = Response(200, headers, body)
        if random.random() < self.break_share:
            self.broken.append(request_id)
            response.cut_at = random.randrange(1, len(body))
            self.record.add(
                f"target {self.instance} breaks off {request_id}"
                f" after {response.cut_at} bytes"
            )
        return response


class Machine:
    """A machine with a node, a target and consumers.

    Attributes:
        started_s: Time of the last start of the node's process.
        exits: Exit statuses of processes that ended by themselves.
        routed: Whether the platform gives work to the consumers.
        link_mbps: Bandwidth of the machine's link, for its settings.
    """

    def __init__(
        self, number: int, net: str, service: str, platform: "Platform"
    ) -> None:
        self.name = f"sidecar-zone-a-{number}"
        self.ip = f"{net}.{10 + number}"
        self.service, self.platform = service, platform
        self.record = platform.record
        self.settings = platform.folder / f"{self.name}.yaml"
        self.log = platform.folder / f"{self.name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.started_s = 0.0
        self.exits: list[int] = []
        self.ending = False
        self.routed = False
        self.link_mbps = 1000.0
        self.target = Target(
            service, self._at("app"), self._at("control"), self.record
        )

    def _at(self, name: str) -> str:
        return f"{self.ip}:{PORTS[name]}"

    @property
    def outbound(self) -> str:
        """Address to which the consumers of this machine send."""
        return self._at("outbound")

    def write_settings(self, first_start: bool) -> None:
        """Fills in the template of the settings file."""
        fields = {
            "Node": self.name,
            "Zone": "zone-a",
            "Region": "region-a",
            "Bootstrap": first_start,
            "Ip": self.ip,
            "AppAddr": self._at("app"),
            "Service": self.service,
            "Limits": {"LinkMbps": self.link_mbps},
            "PortRange": [PEER_PORT, PEER_PORT + 15],
            "Listen": {
                "Outbound": self._at("outbound"),
                "Ready": self._at("ready"),
                "Control": self._at("control"),
            },
            "Platform": {"Address": self.platform.store_address},
            "Bounds": BOUNDS,
        }
        template = self.platform.role["template"]
        text = (ROOT / template).read_text(encoding="utf-8")
        self.settings.write_text(fill_in(text, fields), encoding="utf-8")

    async def start(self, first_start: bool = False) -> None:
        """Starts the node with the deploy file's command."""
        self.write_settings(first_start)
        self.ending = False
        self.started_s = self.record.add(f"{self.name}: process starts")
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.platform.role["run"].split(),
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "POMELOBANK_SETTINGS": str(self.settings),
                },
                stdout=log,
                stderr=log,
            )
        self.platform.spawn(self._watch(self.process))

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        status = await process.wait()
        self.record.add(f"{self.name}: process ended, status {status}")
        if not self.ending:
            self.exits.append(status)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the node's process."""
        self.record.add(f"{self.name}: {number.name}")
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """Sends SIGTERM, and SIGKILL after the grace period."""
        self.ending = True
        self.signal(signal.SIGTERM)
        assert self.process is not None
        try:
            async with asyncio.timeout(BOUNDS["GraceS"]):
                await self.process.wait()
        except TimeoutError:
            await self.kill()

    async def kill(self) -> None:
        """Kills the node's process."""
        self.ending = True
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def poll_readiness(self) -> None:
        """Polls the node once a second, as the platform does."""
        misses = 0
        while True:
            response = await call(self._at("ready"), "GET", "/api/readiness")
            misses = 0 if response.status == 200 else misses + 1
            routed = misses < 2 and (self.routed or not misses)
            if routed != self.routed:
                self.routed = routed
                self.record.add(f"{self.name}: routed {routed}")
            await asyncio.sleep(1.0)

    async def consume(self, path: str, method: str, gap_s: float) -> None:
        """Sends a consumer's requests while the platform routes them here."""
        while True:
            await asyncio.sleep(gap_s * random.uniform(0.5, 1.5))
            if self.routed:
                self.platform.spawn(self.send(path, method))

    async def send(self, path: str, method: str) -> Response:
        """Sends one request of a consumer."""
        request_id = f"{self.name[-1]}-{random.getrandbits(48):012x}"
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "1500",
        }
        body = b"order" if method == "POST" else b""
        self.record.add(f"{self.name}: {method} {path} {request_id}")
        response = await call(
            self.outbound, method, path, headers, body, timeout_s=2.5
        )
        self.record.add(f"{self.name}: {response.status} for {request_id}")
        self.platform.answers.append((request_id, response.status))
        return response


class Platform:
    """A small deployment: a store and machines with nodes and targets."""

    def __init__(self, folder: Path, services: list[str]) -> None:
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.record = Record(folder / "record.txt")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.role = deploy["roles"]["node"]
        net = _free_net(len(services))
        self.store_address = f"{net}.1:{STORE_PORT}"
        self.store = Store(self.store_address, self.record)
        self.tasks: set[asyncio.Task[Any]] = set()
        self.answers: list[tuple[str, int]] = []
        self.machines = [
            Machine(number, net, service, self)
            for number, service in enumerate(services, 1)
        ]

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Runs a coroutine beside the others."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def start(self, config: dict[str, Any]) -> None:
        """Starts everything and waits until all nodes are ready."""
        await self.store.server.start()
        self.store.put_config(config)
        for machine in self.machines:
            await machine.start(first_start=True)
            await machine.target.start()
            self.spawn(machine.poll_readiness())
        await self.wait_until_routed()

    async def wait_until_routed(self) -> None:
        """Waits until the platform gives work to all machines."""
        async with asyncio.timeout(20):
            while True:
                if all(machine.routed for machine in self.machines):
                    return
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Ends all processes and servers."""
        # First the tasks, so that none starts a process again.
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for machine in self.machines:
            if machine.process and machine.process.returncode is None:
                await machine.kill()
            await machine.target.stop()
        await self.store.server.stop()
        self.temporary.cleanup()


def _free_net(machines: int) -> str:
    ports = [*PORTS.values(), STORE_PORT, PEER_PORT, METRICS_PORT]
    while True:
        net = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        hosts = [f"{net}.{10 + number}" for number in range(machines + 1)]
        if all(is_free(host, ports) for host in [f"{net}.1", *hosts]):
            return net


def fill_in(template: str, fields: dict[str, Any]) -> str:
    """Fills in a template of settings as the page DEPLOY describes it."""

    def value_of(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = (value or {}).get(part)
        return value

    def section(match: re.Match[str]) -> str:
        kind, name, text = match.groups()
        return text if bool(value_of(name)) == (kind == "#") else ""

    def placeholder(match: re.Match[str]) -> str:
        name, as_json = match.groups()
        value = value_of(name)
        return json.dumps(value) if as_json else str(value)

    text = re.sub(
        r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}",
        section,
        template,
        flags=re.DOTALL,
    )
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


def route(name: str, prefix: str, service: str, kind: str) -> dict[str, Any]:
    """Returns a route of a configuration."""
    return {
        "ResourceType": "Routes",
        "Metadata": {"Name": name},
        "Spec": {
            "Host": HOST,
            "PathPrefix": prefix,
            "Kind": kind,
            "TimeoutMs": 1500,
            "AimMs": 600,
            "Priority": 1,
            "Service": service,
            "MaxAttempts": 2,
        },
    }


def configuration(
    version: int, routes: list[dict[str, Any]], services: list[str]
) -> dict[str, Any]:
    """Returns a configuration for `op/config`."""
    resources = list(routes)
    for service in sorted(set(services)):
        spec = {
            "HealthPath": "/health",
            "MaxConnections": 110,
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
