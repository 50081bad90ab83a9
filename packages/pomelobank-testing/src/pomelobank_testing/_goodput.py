"""Measures goodput under load: `python -m pomelobank_testing goodput`.

Nodes and targets are separate processes; callers run in this process. Goodput
is the rate of responses with status 200 before the caller's timeout. The tool
compares the design with round robin without admission, and compares the
admission modes that share a target between traffic classes.
"""

import argparse
import asyncio
import collections
import json
import os
import random
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import attrs

from pomelobank_schema import parse_address
from pomelobank_testing._harness import TestMesh, child_environment
from pomelobank_testing._light_client import LightConnection

_NODES = 4
_SLOTS = 10
_OK = 200
_REFUSED = 503
_US_PER_MS = 1000
_MS_PER_S = 1000
# Service time in the comparison by load: 4 targets with 10 slots each run 160
# requests of 250 ms a second. This rate leaves the processors idle, so the
# results show the effect of admission and load balancing and not the machine's
# speed.
_SHORT_WORK_MS = 250
_SHORT_TIMEOUT_MS = 2000
# The comparison of admission modes: interactive look-ups beside batch reports.
_LOOK_UP_WORK_MS = 20
_LOOK_UPS_PER_S = 100
_REPORT_WORK_MS = 500
_REPORT_TIMEOUT_MS = 5000
_REPORT_LOAD_FACTOR = 3
_WARM_UP_S = 1.5
_DOCUMENT: dict[str, Any] = {
    "author": "goodput",
    "reason": "measurement",
    "services": [{"name": "desk"}],
    "upstreams": [{"name": "desk-main", "service": "desk"}],
    "routes": [
        {
            "name": "stock",
            "service": "desk",
            "path_prefix": "/stock",
            "destinations": [{"upstream": "desk-main", "weight": 1}],
        },
        {
            "name": "reports",
            "service": "desk",
            "path_prefix": "/reports",
            "traffic_class": "batch",
            "destinations": [{"upstream": "desk-main", "weight": 1}],
        },
    ],
}
DESIGN = {"admission": "guaranteed_shared", "placing": "two_choices"}
BASELINE = {"admission": "none", "placing": "round_robin"}


@attrs.frozen
class Work:
    """One kind of request.

    Attributes:
        path: Path of the request.
        work_ms: Service time at a target.
        timeout_ms: Time that the caller waits.
    """

    path: str
    work_ms: int
    timeout_ms: int

    def capacity_per_s(self) -> float:
        """Returns how many requests all targets together run in a second."""
        return _NODES * _SLOTS * _MS_PER_S / self.work_ms

    def data(self) -> bytes:
        """Returns the bytes of a request."""
        return (
            f"GET {self.path} HTTP/1.1\r\nhost: desk\r\n"
            f"x-work-ms: {self.work_ms}\r\n"
            f"x-pomelobank-timeout-ms: {self.timeout_ms}\r\n\r\n"
        ).encode()


SHORT = Work("/stock/1", _SHORT_WORK_MS, _SHORT_TIMEOUT_MS)
LOOK_UP = Work("/stock/2", _LOOK_UP_WORK_MS, _SHORT_TIMEOUT_MS)
REPORT = Work("/reports/1", _REPORT_WORK_MS, _REPORT_TIMEOUT_MS)


@attrs.define(eq=False)
class Callers:
    """Sends one kind of request to all nodes at random times.

    Attributes:
        addresses: The nodes' addresses for callers.
        work: The kind of request.
        rate_per_s: Requests a second to all nodes together.
        latencies_us: Latencies of the measured requests, by status.
        idle: Connections without a request in flight, by address.
        in_flight: Number of requests in flight.
        all_answered: Set when the last request in flight is answered.
        connecting: Tasks that open a connection.
    """

    addresses: list[tuple[str, int]]
    work: Work
    rate_per_s: float
    latencies_us: dict[int, list[int]] = attrs.field(factory=dict)
    idle: dict[tuple[str, int], collections.deque[LightConnection]] = (
        attrs.field(factory=dict)
    )
    in_flight: int = 0
    all_answered: asyncio.Event = attrs.field(factory=asyncio.Event)
    connecting: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def run(self, seconds: float) -> None:
        """Warms up, measures for a time and waits for the last response."""
        rng = random.Random(1)
        data = self.work.data()
        start_s = time.monotonic()
        due_s = start_s
        while due_s < start_s + _WARM_UP_S + seconds:
            due_s += rng.expovariate(self.rate_per_s)
            pause_s = due_s - time.monotonic()
            if pause_s > 0:
                await asyncio.sleep(pause_s)
            is_measured = due_s >= start_s + _WARM_UP_S
            self._send(rng.choice(self.addresses), data, is_measured)
        if self.in_flight:
            await self.all_answered.wait()
        for connections in self.idle.values():
            for connection in connections:
                assert connection.transport is not None
                connection.transport.close()

    def _send(
        self, address: tuple[str, int], data: bytes, is_measured: bool
    ) -> None:
        self.in_flight += 1
        self.all_answered.clear()
        idle = self.idle.setdefault(address, collections.deque())
        if idle:
            self._send_on(idle.popleft(), data, is_measured, idle)
            return
        task = asyncio.create_task(
            self._connect(address, data, is_measured, idle)
        )
        self.connecting.add(task)
        task.add_done_callback(self.connecting.discard)

    async def _connect(
        self,
        address: tuple[str, int],
        data: bytes,
        is_measured: bool,
        idle: collections.deque[LightConnection],
    ) -> None:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: LightConnection(lambda *_: None), *address
        )
        self._send_on(connection, data, is_measured, idle)

    def _send_on(
        self,
        connection: LightConnection,
        data: bytes,
        is_measured: bool,
        idle: collections.deque[LightConnection],
    ) -> None:
        def done(ended: LightConnection, latency_us: int, status: int) -> None:
            if is_measured:
                self.latencies_us.setdefault(status, []).append(latency_us)
            idle.append(ended)
            self.in_flight -= 1
            if not self.in_flight:
                self.all_answered.set()

        connection.done = done
        connection.send(data)

    def summary(self, seconds: float) -> dict[str, Any]:
        """Returns the results, with latencies in ms."""
        answered = self.latencies_us.get(_OK, [])
        limit_us = self.work.timeout_ms * _US_PER_MS
        in_time = sum(latency_us <= limit_us for latency_us in answered)
        return {
            "offered_per_s": round(self.rate_per_s, 1),
            "goodput_per_s": round(in_time / seconds, 1),
            "by_status": {
                str(status): len(latencies)
                for status, latencies in sorted(self.latencies_us.items())
            },
            "answered_ms": quantiles_ms(answered),
            "refused_ms": quantiles_ms(self.latencies_us.get(_REFUSED, [])),
        }


def quantiles_ms(latencies_us: list[int]) -> dict[str, float]:
    """Returns p50 and p99 in ms, or an empty dictionary without a sample.

    >>> quantiles_ms([1000, 2000, 3000])
    {'p50': 2.0, 'p99': 3.0}
    """
    if not latencies_us:
        return {}
    ordered = sorted(latencies_us)
    last = len(ordered) - 1
    return {
        f"p{percent}": ordered[min(last, len(ordered) * percent // 100)]
        / _US_PER_MS
        for percent in (50, 99)
    }


class Bench:
    """Nodes and targets with one mode of admission and load balancing."""

    def __init__(self, requests: dict[str, Any]) -> None:
        self.mesh = TestMesh(overrides={"requests": requests})
        self.targets: list[subprocess.Popen[str]] = []

    async def __aenter__(self) -> "Bench":
        await self.mesh.__aenter__()
        names = [f"node-{number}" for number in range(_NODES)]
        await asyncio.gather(
            *(self.mesh.add_node(name, "hobart") for name in names)
        )
        for name in names:
            self._start_target(self.mesh.nodes[name].addresses["admin"])
        await self.mesh.wait_members(_NODES)
        status, output = await self.mesh.apply(names[0], _DOCUMENT)
        if status:
            raise RuntimeError(output)
        await self.mesh.wait_version(names[0], 1)
        return self

    def _start_target(self, admin: str) -> None:
        command = [sys.executable, "-m", "pomelobank_testing"]
        command += ["queueing-target", "--slots", str(_SLOTS)]
        command += ["--upstream", "desk-main", "--admin", admin]
        target = subprocess.Popen(
            command, stdout=subprocess.PIPE, env=child_environment(), text=True
        )
        assert target.stdout is not None
        target.stdout.readline()
        self.targets.append(target)

    async def __aexit__(self, *error: object) -> None:
        for target in self.targets:
            target.terminate()
            target.wait()
        await self.mesh.__aexit__(*error)

    def callers(self, work: Work, rate_per_s: float) -> Callers:
        """Returns callers that send one kind of request."""
        addresses = [
            parse_address(node.addresses["http"])
            for node in self.mesh.nodes.values()
        ]
        return Callers(addresses, work, rate_per_s)


def main(arguments: list[str] | None = None) -> int:
    """Measures, prints and writes the results; returns 0."""
    parser = argparse.ArgumentParser(prog="goodput", description=__doc__)
    parser.add_argument("--loads", default="0.5,1,2,5")
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--note", default="")
    parser.add_argument("--output", type=Path, default=None)
    options = parser.parse_args(arguments)
    result = asyncio.run(_measure(options))
    text = json.dumps(result, indent=2)
    print(text)
    if options.output is not None:
        options.output.parent.mkdir(parents=True, exist_ok=True)
        options.output.write_text(text + "\n")
    return 0


async def _measure(options: argparse.Namespace) -> dict[str, Any]:
    loads = [float(item) for item in options.loads.split(",")]
    seconds = options.seconds
    goodput = {
        "design": await _measure_goodput(DESIGN, loads, seconds),
        "round_robin_without_admission": await _measure_goodput(
            BASELINE, loads, seconds
        ),
    }
    classes = {
        name: await _measure_classes({**DESIGN, "admission": name}, seconds)
        for name in ("guaranteed_shared", "fixed_partition", "first_come")
    }
    return {
        "command": "python -m pomelobank_testing goodput "
        f"--loads {options.loads} --seconds {seconds}",
        "note": options.note,
        "processors": os.cpu_count(),
        "nodes": _NODES,
        "slots": _SLOTS,
        "capacity_per_s": SHORT.capacity_per_s(),
        "goodput": goodput,
        "classes": classes,
    }


async def _measure_goodput(
    requests: dict[str, Any], loads: list[float], seconds: float
) -> dict[str, Any]:
    figures = {}
    for load in loads:
        async with Bench(requests) as bench:
            callers = bench.callers(SHORT, load * SHORT.capacity_per_s())
            await callers.run(seconds)
            figures[f"{load:g}"] = callers.summary(seconds)
    peak = max(1.0, *(item["goodput_per_s"] for item in figures.values()))
    for item in figures.values():
        item["of_peak"] = round(item["goodput_per_s"] / peak, 3)
    return figures


async def _measure_classes(
    requests: dict[str, Any], seconds: float
) -> dict[str, Any]:
    async with Bench(requests) as bench:
        unloaded = bench.callers(LOOK_UP, _LOOK_UPS_PER_S)
        await unloaded.run(seconds)
        under_batch = bench.callers(LOOK_UP, _LOOK_UPS_PER_S)
        batch = bench.callers(
            REPORT, _REPORT_LOAD_FACTOR * REPORT.capacity_per_s()
        )
        await asyncio.gather(under_batch.run(seconds), batch.run(seconds))
        report_figures = batch.summary(seconds)
        capacity_per_s = REPORT.capacity_per_s()
        report_figures["of_capacity"] = round(
            report_figures["goodput_per_s"] / capacity_per_s, 3
        )
        return {
            "interactive_unloaded": unloaded.summary(seconds),
            "interactive_under_batch": under_batch.summary(seconds),
            "batch": report_figures,
        }
