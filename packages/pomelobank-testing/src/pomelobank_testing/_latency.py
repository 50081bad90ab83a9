"""Measures what a node adds to a call: `python -m pomelobank_testing latency`.

Nodes and target are processes of their own. Blocks of calls straight to the
target, through the node beside it and through a peer take turns in one run, so
that a change in the machine's load meets all three.
"""

import argparse
import asyncio
import gc
import json
import os
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

from pomelobank_schema import parse_address
from pomelobank_testing._harness import TestMesh, child_environment
from pomelobank_testing._light_client import LightClient
from pomelobank_testing._process_usage import processor_us, resident_bytes

_HIGHEST_US = 60_000_000
_CONNECTIONS = 16
_SERVICE = "counter-desk"
_BODY = b'{"shade": "coral"}' + b" " * 182
_WARM_UP_CALLS = 500
_PERCENTILES = (50, 90, 99, 99.9)
_DOCUMENT: dict[str, Any] = {
    "author": "latency",
    "reason": "measurement",
    "services": [{"name": _SERVICE}, {"name": "other"}],
    "upstreams": [
        {"name": "desk-main", "service": _SERVICE},
        {"name": "other-main", "service": "other"},
    ],
    "routes": [
        {
            "name": "desk",
            "service": _SERVICE,
            "path_prefix": "/stock",
            "destinations": [{"upstream": "desk-main", "weight": 1}],
        }
    ],
}


@attrs.define(eq=False)
class RequestPath:
    """One way to the target, with what was measured on it.

    Attributes:
        name: direct, local or peer.
        address: Where the calls go.
        histogram: Latencies in microseconds.
        calls: Calls so far.
        failed: Calls that were not answered with 200.
        processor_us: Processor time of both nodes during its blocks.
        blocks: Percentiles of each block, in microseconds.
    """

    name: str
    address: str
    histogram: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, _HIGHEST_US, 3)
    )
    calls: int = 0
    failed: int = 0
    processor_us: int = 0
    blocks: list[dict[float, int]] = attrs.field(factory=list)

    def add_block(self, latencies_us: list[int]) -> None:
        """Takes the latencies of one block."""
        block = HdrHistogram(1, _HIGHEST_US, 3)
        for value in latencies_us:
            block.record_value(max(1, value))
        self.histogram.add(block)
        self.blocks.append(
            {point: block.get_value_at_percentile(point) for point in (50, 99)}
        )

    def summary(self) -> dict[str, Any]:
        """Returns the figures of this way."""
        return {
            "calls": self.calls,
            "failed": self.failed,
            "us": {
                f"p{point:g}": self.histogram.get_value_at_percentile(point)
                for point in _PERCENTILES
            },
            "node_processor_us_per_call": round(
                self.processor_us / max(1, self.calls), 1
            ),
        }


@attrs.define(eq=False)
class Bench:
    """The processes that are measured.

    Attributes:
        mesh: The log and the nodes.
        target: The target's process.
        addresses: Address of each way.
        method: HTTP method of the calls.
    """

    mesh: TestMesh
    target: subprocess.Popen[str]
    addresses: dict[str, str]
    method: str

    def pids(self) -> list[int]:
        """Returns the nodes' process ids."""
        return [node.process.pid for node in self.mesh.nodes.values()]

    def request(self) -> bytes:
        """Returns the bytes of one call."""
        body = b"" if self.method == "GET" else _BODY
        return (
            f"{self.method} /stock/shades/coral HTTP/1.1\r\n"
            f"host: {_SERVICE}\r\nuser-agent: counter\r\n"
            f"accept: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
        ).encode() + body

    async def level(self, rate: int, seconds: float, blocks: int) -> Any:
        """Measures one load level.

        Args:
            rate: Calls a second; 0 for one call after the other.
            seconds: Length of a block.
            blocks: Blocks of each way.

        Returns:
            The figures of each way and what each adds to a direct call.
        """
        ways = [
            RequestPath(name, item) for name, item in self.addresses.items()
        ]
        for _ in range(blocks):
            for way in ways:
                await self._block(way, rate, seconds)
        figures = {way.name: way.summary() for way in ways}
        direct = figures["direct"]["us"]
        added = {
            name: {key: item["us"][key] - direct[key] for key in direct}
            for name, item in figures.items()
            if name != "direct"
        }
        turns = {way.name: _added_by_turn(ways[0], way) for way in ways[1:]}
        return {
            "rate": rate,
            "ways": figures,
            "added_us": added,
            "added_us_by_turn": turns,
        }

    async def _block(self, way: RequestPath, rate: int, seconds: float) -> None:
        client = LightClient(parse_address(way.address), self.request())
        await client.open(_CONNECTIONS if rate else 1)
        await client.run_closed(_CONNECTIONS)
        client.latencies_us.clear()
        before = sum(processor_us(pid) for pid in self.pids())
        if rate:
            await client.run_open(rate, seconds)
        else:
            deadline = time.monotonic() + seconds
            while time.monotonic() < deadline:
                await client.run_closed(20)
        way.processor_us += sum(processor_us(pid) for pid in self.pids())
        way.processor_us -= before
        client.close()
        way.add_block(client.latencies_us)
        way.calls += len(client.latencies_us)
        way.failed += client.failed


def _added_by_turn(
    direct: RequestPath, way: RequestPath
) -> dict[str, list[int]]:
    """Returns what each block adds to the direct block of the same turn.

    On a machine that does other work too, the lowest turns are those that
    were disturbed least.
    """
    return {
        f"p{point}": sorted(
            block[point] - base[point]
            for base, block in zip(direct.blocks, way.blocks, strict=True)
        )
        for point in (50, 99)
    }


def main(arguments: list[str] | None = None) -> int:
    """Measures and writes the results; returns 0 where no call failed."""
    parser = argparse.ArgumentParser(prog="latency", description=__doc__)
    parser.add_argument("--rates", default="0,200,1000")
    parser.add_argument("--seconds", type=float, default=1.0)
    parser.add_argument("--blocks", type=int, default=5)
    parser.add_argument("--method", default="POST")
    parser.add_argument("--note", default="")
    parser.add_argument("--output", type=Path, default=None)
    options = parser.parse_args(arguments)
    result = asyncio.run(_measure(options))
    text = json.dumps(result, indent=2)
    print(_table(result))
    if options.output is not None:
        options.output.parent.mkdir(parents=True, exist_ok=True)
        options.output.write_text(text + "\n")
    failed = sum(
        way["failed"]
        for level in result["levels"]
        for way in level["ways"].values()
    )
    return 1 if failed else 0


async def _measure(options: argparse.Namespace) -> dict[str, Any]:
    async with TestMesh() as mesh:
        for name in ("beside", "other"):
            await mesh.add_node(name, "hobart")
        target, address = _start_target(mesh)
        try:
            await mesh.wait_members(2)
            await mesh.apply("beside", _DOCUMENT)
            await mesh.wait_version("beside", 1)
            bench = Bench(
                mesh,
                target,
                {
                    "direct": address,
                    "local": mesh.nodes["beside"].addresses["http"],
                    "peer": mesh.nodes["other"].addresses["http"],
                },
                options.method,
            )
            return await _run_levels(bench, options)
        finally:
            target.terminate()
            target.wait()


def _start_target(mesh: TestMesh) -> tuple[subprocess.Popen[str], str]:
    announce = (
        f"desk-main@{mesh.nodes['beside'].addresses['admin']}",
        f"other-main@{mesh.nodes['other'].addresses['admin']}",
    )
    command = [sys.executable, "-m", "pomelobank_testing", "light-target"]
    for item in announce:
        command += ["--announce", item]
    target = subprocess.Popen(
        command, stdout=subprocess.PIPE, env=child_environment(), text=True
    )
    assert target.stdout is not None
    return target, target.stdout.readline().strip()


async def _run_levels(
    bench: Bench, options: argparse.Namespace
) -> dict[str, Any]:
    resident = {
        name: resident_bytes(node.process.pid)
        for name, node in bench.mesh.nodes.items()
    }
    gc.freeze()
    for address in bench.addresses.values():
        client = LightClient(parse_address(address), bench.request())
        await client.open(1)
        await client.run_closed(_WARM_UP_CALLS)
        client.close()
    levels = [
        await bench.level(int(rate), options.seconds, options.blocks)
        for rate in options.rates.split(",")
    ]
    return {
        "command": "python -m pomelobank_testing latency "
        f"--rates {options.rates} --seconds {options.seconds} "
        f"--blocks {options.blocks} --method {options.method}",
        "note": options.note,
        "processors": os.cpu_count(),
        "resident_bytes_at_rest": resident,
        "levels": levels,
    }


def _lowest_and_median(level: dict[str, Any], name: str) -> str:
    turns = level["added_us_by_turn"].get(name)
    if turns is None:
        return ""
    values = turns["p99"]
    return f"{values[0]}, {values[len(values) // 2]}"


def _table(result: dict[str, Any]) -> str:
    lines = [
        "rate  way     calls  fail   p50    p99  +p50   +p99  cpu/call"
        "  +p99 of turns: lowest, median"
    ]
    for level in result["levels"]:
        for name, way in level["ways"].items():
            added = level["added_us"].get(name, {"p50": 0, "p99": 0})
            lines.append(
                f"{level['rate']:>4}  {name:<6} {way['calls']:>6} "
                f"{way['failed']:>5} {way['us']['p50']:>5} "
                f"{way['us']['p99']:>6} {added['p50']:>5} {added['p99']:>6} "
                f"{way['node_processor_us_per_call']:>8}"
                f"  {_lowest_and_median(level, name)}"
            )
    lines.append(f"resident at rest: {result['resident_bytes_at_rest']}")
    return "\n".join(lines)
