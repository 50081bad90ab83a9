"""Measures goodput under load: `python -m pomelobank_testing goodput`.

Nodes and targets are processes of their own; callers are in this process.
Goodput counts answers with status 200 within the caller's time. The design is
compared with plain round-robin without admission, and the ways of sharing a
target between classes with each other.
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
# The short work sets the capacity of the first part: 4 targets with 10 slots
# each run 160 requests of 250 ms a second. That leaves the processors idle, so
# that the figures show the decisions and not the machine.
_SHORT_WORK_MS = 250
_SHORT_TIMEOUT_MS = 2000
# The second part: look-ups beside reports.
_LOOK_UP_WORK_MS = 20
_LOOK_UPS_PER_S = 100
_REPORT_WORK_MS = 500
_REPORT_TIMEOUT_MS = 5000
_REPORT_LOAD = 3
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
        path: Its path.
        work_ms: Time that a target works on it.
        timeout_ms: Time that its caller waits.
    """

    path: str
    work_ms: int
    timeout_ms: int

    def capacity(self) -> float:
        """Returns how many all targets run in a second."""
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
    """Sends one kind of work to all nodes at random times.

    Attributes:
        addresses: Where the nodes take requests.
        work: The kind of work.
        rate: Requests a second in all.
        taken_us: Times to the answers that count, by status.
    """

    addresses: list[tuple[str, int]]
    work: Work
    rate: float
    taken_us: dict[int, list[int]] = attrs.field(factory=dict)
    idle: dict[tuple[str, int], collections.deque[LightConnection]] = (
        attrs.field(factory=dict)
    )
    in_flight: int = 0
    quiet: asyncio.Event = attrs.field(factory=asyncio.Event)
    connecting: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def run(self, seconds: float) -> None:
        """Warms up, then measures for a time and waits for the last answer."""
        rng = random.Random(1)
        data = self.work.data()
        begun = time.monotonic()
        due = begun
        while due < begun + _WARM_UP_S + seconds:
            due += rng.expovariate(self.rate)
            pause_s = due - time.monotonic()
            if pause_s > 0:
                await asyncio.sleep(pause_s)
            counts = due >= begun + _WARM_UP_S
            self._send(rng.choice(self.addresses), data, counts)
        if self.in_flight:
            await self.quiet.wait()
        for connections in self.idle.values():
            for connection in connections:
                assert connection.transport is not None
                connection.transport.close()

    def _send(
        self, address: tuple[str, int], data: bytes, counts: bool
    ) -> None:
        self.in_flight += 1
        self.quiet.clear()
        idle = self.idle.setdefault(address, collections.deque())
        if idle:
            self._begin(idle.popleft(), data, counts, idle)
            return
        task = asyncio.create_task(self._connect(address, data, counts, idle))
        self.connecting.add(task)
        task.add_done_callback(self.connecting.discard)

    async def _connect(
        self,
        address: tuple[str, int],
        data: bytes,
        counts: bool,
        idle: collections.deque[LightConnection],
    ) -> None:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: LightConnection(lambda *_: None), *address
        )
        self._begin(connection, data, counts, idle)

    def _begin(
        self,
        connection: LightConnection,
        data: bytes,
        counts: bool,
        idle: collections.deque[LightConnection],
    ) -> None:
        def done(ended: LightConnection, taken_us: int, status: int) -> None:
            if counts:
                self.taken_us.setdefault(status, []).append(taken_us)
            idle.append(ended)
            self.in_flight -= 1
            if not self.in_flight:
                self.quiet.set()

        connection.done = done
        connection.send(data)

    def summary(self, seconds: float) -> dict[str, Any]:
        """Returns the figures, times in ms."""
        answered = self.taken_us.get(_OK, [])
        limit_us = self.work.timeout_ms * _US_PER_MS
        in_time = sum(taken_us <= limit_us for taken_us in answered)
        return {
            "offered_per_s": round(self.rate, 1),
            "goodput_per_s": round(in_time / seconds, 1),
            "by_status": {
                str(status): len(taken)
                for status, taken in sorted(self.taken_us.items())
            },
            "answered_ms": quantiles_ms(answered),
            "refused_ms": quantiles_ms(self.taken_us.get(_REFUSED, [])),
        }


def quantiles_ms(taken_us: list[int]) -> dict[str, float]:
    """Returns p50 and p99 in ms; empty without a sample.

    >>> quantiles_ms([1000, 2000, 3000])
    {'p50': 2.0, 'p99': 3.0}
    """
    if not taken_us:
        return {}
    ordered = sorted(taken_us)
    last = len(ordered) - 1
    return {
        f"p{percent}": ordered[min(last, len(ordered) * percent // 100)]
        / _US_PER_MS
        for percent in (50, 99)
    }


class Bench:
    """Nodes and targets with one way of admission and placing."""

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

    def callers(self, work: Work, rate: float) -> Callers:
        """Returns callers of one kind of work."""
        addresses = [
            parse_address(node.addresses["http"])
            for node in self.mesh.nodes.values()
        ]
        return Callers(addresses, work, rate)


def main(arguments: list[str] | None = None) -> int:
    """Measures and writes the results."""
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
        "design": await _goodput(DESIGN, loads, seconds),
        "round_robin_without_admission": await _goodput(
            BASELINE, loads, seconds
        ),
    }
    classes = {
        name: await _classes({**DESIGN, "admission": name}, seconds)
        for name in ("guaranteed_shared", "fixed_partition", "first_come")
    }
    return {
        "command": "python -m pomelobank_testing goodput "
        f"--loads {options.loads} --seconds {seconds}",
        "note": options.note,
        "processors": os.cpu_count(),
        "nodes": _NODES,
        "slots": _SLOTS,
        "capacity_per_s": SHORT.capacity(),
        "goodput": goodput,
        "classes": classes,
    }


async def _goodput(
    requests: dict[str, Any], loads: list[float], seconds: float
) -> dict[str, Any]:
    figures = {}
    for load in loads:
        async with Bench(requests) as rig:
            callers = rig.callers(SHORT, load * SHORT.capacity())
            await callers.run(seconds)
            figures[f"{load:g}"] = callers.summary(seconds)
    peak = max(1.0, *(item["goodput_per_s"] for item in figures.values()))
    for item in figures.values():
        item["of_peak"] = round(item["goodput_per_s"] / peak, 3)
    return figures


async def _classes(requests: dict[str, Any], seconds: float) -> dict[str, Any]:
    async with Bench(requests) as rig:
        alone = rig.callers(LOOK_UP, _LOOK_UPS_PER_S)
        await alone.run(seconds)
        beside = rig.callers(LOOK_UP, _LOOK_UPS_PER_S)
        reports = rig.callers(REPORT, _REPORT_LOAD * REPORT.capacity())
        await asyncio.gather(beside.run(seconds), reports.run(seconds))
        report_figures = reports.summary(seconds)
        capacity = REPORT.capacity()
        report_figures["of_capacity"] = round(
            report_figures["goodput_per_s"] / capacity, 3
        )
        return {
            "interactive_unloaded": alone.summary(seconds),
            "interactive_under_batch": beside.summary(seconds),
            "batch": report_figures,
        }
