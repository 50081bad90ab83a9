"""Measures how fast a change reaches every node, and the cost.

The tool starts nodes as separate processes without targets, measures a period
without changes, and then applies changes one after the other, each through
another node. Every node logs the time at which a version is in force. All
processes run on one machine, so these times come from one clock.
"""

import argparse
import asyncio
import json
import os
import re
import subprocess
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import attrs
import grpc

from pomelobank_schema.generated import operator_pb2 as pb
from pomelobank_schema.generated.operator_pb2_grpc import OperatorStub
from pomelobank_testing._harness import NodeProcess, TestMesh

MODES = ("readers", "every_node_polls")
DATA_CENTRES = ("hobart", "launceston", "devonport", "burnie")
MAX_NODES = 105
_MAX_CONCURRENT_STARTS = 8
_ARRIVAL_TIMEOUT_S = 30.0
_SETTLE_TIME_S = 4.0
_POLL_INTERVAL_S = 0.05
_MS_PER_S = 1000
_BYTES_SENT_PATTERN = re.compile(r"bytes_sent:(\d+)")
_PROCESS_ID_PATTERN = re.compile(r"pid=(\d+)")


@attrs.frozen
class Cost:
    """Resources that the mesh has used since its start.

    Attributes:
        at_s: Time at which the counters were read.
        log_reads: Reads that the log answered.
        log_appends: Appends that took effect.
        log_bytes: Bytes of the log's responses to reads.
        sent_bytes: Bytes sent by each process on its open streams, by node.
        processor_s: Processor time of each process, by node.
    """

    at_s: float
    log_reads: int
    log_appends: int
    log_bytes: int
    sent_bytes: dict[str, int]
    processor_s: dict[str, float]

    def rates_until(self, later: "Cost") -> dict[str, Any]:
        """Returns the resources used a second between two readings."""
        seconds = later.at_s - self.at_s
        sent = [
            max(0, later.sent_bytes[name] - self.sent_bytes[name]) / seconds
            for name in self.sent_bytes
        ]
        processor = [
            (later.processor_s[name] - self.processor_s[name]) / seconds
            for name in self.processor_s
        ]
        return {
            "seconds": round(seconds, 1),
            "log_reads_per_s": _rate_per_s(self, later, "log_reads"),
            "log_appends_per_s": _rate_per_s(self, later, "log_appends"),
            "log_bytes_per_s": _rate_per_s(self, later, "log_bytes"),
            "sent_bytes_per_s_per_node": round(sum(sent) / len(sent)),
            "sent_bytes_per_s_most": round(max(sent)),
            "sent_bytes_per_s_in_all": round(sum(sent)),
            "core_share_per_node": round(sum(processor) / len(processor), 4),
        }


def _rate_per_s(before: Cost, later: Cost, name: str) -> float:
    difference: float = getattr(later, name) - getattr(before, name)
    return round(difference / (later.at_s - before.at_s), 2)


def sent_bytes(process_ids: Iterable[int]) -> dict[int, int]:
    """Returns the bytes sent on open TCP streams by each process."""
    output = subprocess.run(
        ["ss", "-tinHpO"], capture_output=True, text=True, check=True
    ).stdout
    totals = dict.fromkeys(process_ids, 0)
    for line in output.splitlines():
        process_id_match, sent = (
            _PROCESS_ID_PATTERN.search(line),
            _BYTES_SENT_PATTERN.search(line),
        )
        if process_id_match and sent and int(process_id_match[1]) in totals:
            totals[int(process_id_match[1])] += int(sent[1])
    return totals


def processor_s(process_id: int) -> float:
    """Returns the processor time of a process, in seconds."""
    text = Path(f"/proc/{process_id}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def in_force_times_ms(node: NodeProcess, version: int) -> list[int]:
    """Returns when a node had a version or a later one in force.

    The times are in ms since the epoch. A node may skip versions, so a later
    version counts as well.
    """
    return [
        line["at_ms"]
        for line in node.lines
        if line.get("message") == "config.in_force"
        and line["version"] >= version
    ]


@attrs.define(eq=False)
class Run:
    """One fleet size in one mode.

    Attributes:
        mesh: The mesh.
        changes: Number of changes.
        pause_s: Pause between two changes.
        rest_s: Length of the period without changes.
        channels: Channels to the nodes' operator interfaces.
    """

    mesh: TestMesh
    changes: int
    pause_s: float
    rest_s: float
    channels: list[grpc.aio.Channel] = attrs.field(factory=list)

    async def start(self, count: int) -> None:
        """Starts the nodes, a limited number at a time."""
        start_slots = asyncio.Semaphore(_MAX_CONCURRENT_STARTS)

        async def start_one(index: int) -> None:
            async with start_slots:
                data_centre = DATA_CENTRES[index % len(DATA_CENTRES)]
                await self.mesh.add_node(f"node-{index}", data_centre)

        await asyncio.gather(*(start_one(index) for index in range(count)))
        self.channels = [
            grpc.aio.insecure_channel(node.addresses["operator"])
            for node in self.mesh.nodes.values()
        ]
        await asyncio.gather(
            *(self._wait_members(channel, count) for channel in self.channels)
        )
        await asyncio.sleep(_SETTLE_TIME_S)

    async def _wait_members(
        self, channel: grpc.aio.Channel, count: int
    ) -> None:
        stub = OperatorStub(channel)
        while True:
            reply = await stub.GetStatus(pb.StatusRequest())
            if len(reply.members) >= count:
                return
            await asyncio.sleep(_POLL_INTERVAL_S * len(self.channels))

    def cost(self) -> Cost:
        """Reads the counters of used resources."""
        log, nodes = self.mesh.log, self.mesh.nodes
        sent = sent_bytes(node.process.pid for node in nodes.values())
        return Cost(
            at_s=time.monotonic(),
            log_reads=log.reads,
            log_appends=log.appends,
            log_bytes=log.bytes_read,
            sent_bytes={
                name: sent[node.process.pid] for name, node in nodes.items()
            },
            processor_s={
                name: processor_s(node.process.pid)
                for name, node in nodes.items()
            },
        )

    async def measure(self) -> dict[str, Any]:
        """Measures a period without changes, and the changes."""
        await self._apply(0, _first_operations())
        await asyncio.sleep(self.pause_s)
        before = self.cost()
        await asyncio.sleep(self.rest_s)
        after_rest = self.cost()
        since_response_ms: list[int] = []
        since_request_ms: list[int] = []
        last_node_ms: list[int] = []
        for index in range(self.changes):
            request_sent_ms = _wall_clock_ms()
            version, response_ms = await self._apply(
                index, [_route_operation(index)]
            )
            times = await self._wait_in_force(version)
            since_response_ms += [max(0, at - response_ms) for at in times]
            since_request_ms += [at - request_sent_ms for at in times]
            last_node_ms.append(max(0, max(times) - response_ms))
            await asyncio.sleep(self.pause_s)
        after_changes = self.cost()
        return {
            "nodes": len(self.mesh.nodes),
            "changes": self.changes,
            "ms_from_answer": _summary(since_response_ms),
            "ms_from_request": _summary(since_request_ms),
            "ms_last_node": _summary(last_node_ms),
            "at_rest": before.rates_until(after_rest),
            "under_changes": after_rest.rates_until(after_changes),
        }

    async def _apply(
        self, index: int, operations: list[pb.Operation]
    ) -> tuple[int, int]:
        stub = OperatorStub(self.channels[index % len(self.channels)])
        request = pb.ApplyRequest(author="measurement", operations=operations)
        reply = await stub.Apply(request)
        if reply.status != pb.CHANGE_ACCEPTED:
            raise RuntimeError(f"change was not accepted: {reply}")
        return reply.version, _wall_clock_ms()

    async def _wait_in_force(self, version: int) -> list[int]:
        deadline = time.monotonic() + _ARRIVAL_TIMEOUT_S
        times: list[int] = []
        for name, node in self.mesh.nodes.items():
            while not (found := in_force_times_ms(node, version)):
                if time.monotonic() > deadline:
                    raise TimeoutError(
                        f"{name}: version {version} not in force"
                        f" within {_ARRIVAL_TIMEOUT_S:g} s"
                    )
                await asyncio.sleep(_POLL_INTERVAL_S)
            times.append(min(found))
        return times

    async def stop(self) -> None:
        """Closes the channels."""
        for channel in self.channels:
            await channel.close(None)


def _wall_clock_ms() -> int:
    return time.time_ns() // 1_000_000


def _first_operations() -> list[pb.Operation]:
    objects = [
        pb.ConfigObject(service=pb.Service(name="counter-desk")),
        pb.ConfigObject(
            upstream=pb.Upstream(name="desk-main", service="counter-desk")
        ),
    ]
    return [pb.Operation(object=item, expected_revision=-1) for item in objects]


def _route_operation(index: int) -> pb.Operation:
    route = pb.Route(
        name="stock",
        service="counter-desk",
        path_prefix="/stock",
        destinations=[pb.Destination(upstream="desk-main", weight=1 + index)],
    )
    return pb.Operation(
        object=pb.ConfigObject(route=route), expected_revision=-1
    )


def _summary(values: list[int]) -> dict[str, int]:
    ordered = sorted(values)
    return {
        "p50": ordered[len(ordered) // 2],
        "p99": ordered[min(len(ordered) - 1, len(ordered) * 99 // 100)],
        "max": ordered[-1],
    }


async def _measure(
    count: int, mode: str, options: argparse.Namespace
) -> dict[str, Any]:
    distribution: dict[str, Any] = {"mode": mode}
    if options.readers:
        distribution["readers"] = options.readers
    if options.fan_out:
        distribution["fan_out"] = options.fan_out
    async with TestMesh({"distribution": distribution}) as mesh:
        run = Run(mesh, options.changes, options.pause_s, options.rest_s)
        try:
            await run.start(count)
            return {"mode": mode, **distribution, **(await run.measure())}
        finally:
            await run.stop()


def _table_row(result: dict[str, Any]) -> str:
    at_rest, busy = result["at_rest"], result["under_changes"]
    last = result["ms_last_node"]
    return (
        f"{result['nodes']:>4} {result['mode']:<17}"
        f" {result['ms_from_answer']['p50']:>4}"
        f" {result['ms_from_answer']['p99']:>5} {last['max']:>5}"
        f" {at_rest['log_reads_per_s']:>7} {busy['log_reads_per_s']:>7}"
        f" {at_rest['log_bytes_per_s']:>8} {busy['log_bytes_per_s']:>8}"
        f" {at_rest['sent_bytes_per_s_per_node']:>7}"
        f" {busy['sent_bytes_per_s_per_node']:>7}"
        f" {at_rest['core_share_per_node']:>7}"
    )


_TABLE_HEADER = (
    "node mode               p50   p99  last  rd/s    rd/s*  logB/s "
    " logB/s*  B/s/nd B/s/nd* core/nd   (* under changes; times in ms)"
)


def main(arguments: list[str] | None = None) -> int:
    """Measures, prints and writes the results; returns 0."""
    parser = argparse.ArgumentParser(prog="convergence", description=__doc__)
    parser.add_argument("--nodes", default="4,13")
    parser.add_argument("--mode", choices=(*MODES, "both"), default="both")
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--pause-s", type=float, default=0.5)
    parser.add_argument("--rest-s", type=float, default=10.0)
    parser.add_argument("--readers", type=int, default=0)
    parser.add_argument("--fan-out", type=int, default=0)
    parser.add_argument("--note", default="")
    parser.add_argument("--output", type=Path, default=None)
    options = parser.parse_args(arguments)
    sizes = [int(item) for item in options.nodes.split(",")]
    if max(sizes) > MAX_NODES:
        parser.error(f"--nodes allows at most {MAX_NODES} nodes on one machine")
    print(_TABLE_HEADER)
    results = []
    for size in sizes:
        for mode in MODES if options.mode == "both" else (options.mode,):
            results.append(asyncio.run(_measure(size, mode, options)))
            print(_table_row(results[-1]), flush=True)
    if options.output is not None:
        options.output.parent.mkdir(parents=True, exist_ok=True)
        document = {
            "command": "python -m pomelobank_testing convergence"
            f" --nodes {options.nodes} --mode {options.mode}"
            f" --changes {options.changes} --pause-s {options.pause_s}"
            f" --rest-s {options.rest_s}",
            "note": options.note,
            "processors": os.cpu_count(),
            "runs": results,
        }
        options.output.write_text(json.dumps(document, indent=2) + "\n")
    return 0
