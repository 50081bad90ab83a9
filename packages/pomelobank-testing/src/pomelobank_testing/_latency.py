"""Measures the latency that a node adds to a call.

Usage: `python -m pomelobank_testing latency`. Nodes and target are separate
processes. Blocks of calls directly to the target, through the node beside the
target and through a peer alternate in one run, so a change in the machine's
load affects all three request paths.
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

_MAX_LATENCY_US = 60_000_000
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
    """One request path to the target, with its measurements.

    Attributes:
        name: direct, local or peer.
        address: Address that the calls are sent to.
        histogram: Latencies in microseconds.
        calls: Calls so far.
        failed: Calls that were not answered with 200.
        processor_us: Processor time of both nodes during the path's blocks.
        blocks: Percentiles of each block, in microseconds.
    """

    name: str
    address: str
    histogram: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, _MAX_LATENCY_US, 3)
    )
    calls: int = 0
    failed: int = 0
    processor_us: int = 0
    blocks: list[dict[float, int]] = attrs.field(factory=list)

    def add_block(self, latencies_us: list[int]) -> None:
        """Adds the latencies of one block."""
        block = HdrHistogram(1, _MAX_LATENCY_US, 3)
        for value in latencies_us:
            block.record_value(max(1, value))
        self.histogram.add(block)
        self.blocks.append(
            {
                percentile: block.get_value_at_percentile(percentile)
                for percentile in (50, 99)
            }
        )

    def summary(self) -> dict[str, Any]:
        """Returns the results of this path."""
        return {
            "calls": self.calls,
            "failed": self.failed,
            "us": {
                f"p{percentile:g}": self.histogram.get_value_at_percentile(
                    percentile
                )
                for percentile in _PERCENTILES
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
        addresses: Address of each request path, by name.
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

    async def measure_level(
        self, rate: int, seconds: float, blocks: int
    ) -> Any:
        """Measures one load level.

        Args:
            rate: Calls a second; 0 for one call after the other.
            seconds: Length of a block.
            blocks: Blocks of each request path.

        Returns:
            The results of each path and the latency that each path adds to a
            direct call.
        """
        request_paths = [
            RequestPath(name, item) for name, item in self.addresses.items()
        ]
        for _ in range(blocks):
            for request_path in request_paths:
                await self._block(request_path, rate, seconds)
        figures = {
            request_path.name: request_path.summary()
            for request_path in request_paths
        }
        direct = figures["direct"]["us"]
        added = {
            name: {key: item["us"][key] - direct[key] for key in direct}
            for name, item in figures.items()
            if name != "direct"
        }
        rounds = {
            request_path.name: _added_by_round(request_paths[0], request_path)
            for request_path in request_paths[1:]
        }
        return {
            "rate": rate,
            "ways": figures,
            "added_us": added,
            "added_us_by_turn": rounds,
        }

    async def _block(
        self, request_path: RequestPath, rate: int, seconds: float
    ) -> None:
        client = LightClient(
            parse_address(request_path.address), self.request()
        )
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
        request_path.processor_us += sum(
            processor_us(pid) for pid in self.pids()
        )
        request_path.processor_us -= before
        client.close()
        request_path.add_block(client.latencies_us)
        request_path.calls += len(client.latencies_us)
        request_path.failed += client.failed


def _added_by_round(
    direct: RequestPath, request_path: RequestPath
) -> dict[str, list[int]]:
    """Returns the latency that each block adds to its round's direct block.

    The lists are sorted. On a machine with other load, the lowest values come
    from the rounds that this load disturbed least.
    """
    return {
        f"p{percentile}": sorted(
            block[percentile] - base[percentile]
            for base, block in zip(
                direct.blocks, request_path.blocks, strict=True
            )
        )
        for percentile in (50, 99)
    }


def main(arguments: list[str] | None = None) -> int:
    """Measures and writes the results; returns 0 if no call failed."""
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
        request_path["failed"]
        for load_level in result["levels"]
        for request_path in load_level["ways"].values()
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
    resident_memory = {
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
        await bench.measure_level(int(rate), options.seconds, options.blocks)
        for rate in options.rates.split(",")
    ]
    return {
        "command": "python -m pomelobank_testing latency "
        f"--rates {options.rates} --seconds {options.seconds} "
        f"--blocks {options.blocks} --method {options.method}",
        "note": options.note,
        "processors": os.cpu_count(),
        "resident_bytes_at_rest": resident_memory,
        "levels": levels,
    }


def _lowest_and_median_p99(load_level: dict[str, Any], name: str) -> str:
    rounds = load_level["added_us_by_turn"].get(name)
    if rounds is None:
        return ""
    values = rounds["p99"]
    return f"{values[0]}, {values[len(values) // 2]}"


def _table(result: dict[str, Any]) -> str:
    lines = [
        "rate  way     calls  fail   p50    p99  +p50   +p99  cpu/call"
        "  +p99 of rounds: lowest, median"
    ]
    for load_level in result["levels"]:
        for name, path in load_level["ways"].items():
            added = load_level["added_us"].get(name, {"p50": 0, "p99": 0})
            lines.append(
                f"{load_level['rate']:>4}  {name:<6} {path['calls']:>6} "
                f"{path['failed']:>5} {path['us']['p50']:>5} "
                f"{path['us']['p99']:>6} {added['p50']:>5} {added['p99']:>6} "
                f"{path['node_processor_us_per_call']:>8}"
                f"  {_lowest_and_median_p99(load_level, name)}"
            )
    lines.append(f"resident at rest: {result['resident_bytes_at_rest']}")
    return "\n".join(lines)
