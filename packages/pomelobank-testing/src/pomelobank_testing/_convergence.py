"""Measures how a change reaches every node and what that costs.

Starts nodes as processes without targets, lets them rest, then applies changes
one after the other, each through another node. Every node logs when a version
is in force; all processes share one machine and so one clock.
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
_STARTS_AT_ONCE = 8
_ARRIVAL_TIMEOUT_S = 30.0
_SETTLE_S = 4.0
_POLL_S = 0.05
_MS_PER_S = 1000
_SOCKET = re.compile(r"bytes_sent:(\d+)")
_OWNER = re.compile(r"pid=(\d+)")


@attrs.frozen
class Cost:
    """What the mesh has spent up to a moment.

    Attributes:
        at_s: When it was read.
        log_reads: Reads that the log answered.
        log_appends: Appends that took effect.
        log_bytes: Bytes of the log's answers to reads.
        sent_bytes: Bytes sent by each process on its open streams, by node.
        processor_s: Processor time of each process, by node.
    """

    at_s: float
    log_reads: int
    log_appends: int
    log_bytes: int
    sent_bytes: dict[str, int]
    processor_s: dict[str, float]

    def until(self, later: "Cost") -> dict[str, Any]:
        """Returns what was spent a second between two moments."""
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
            "log_reads_per_s": _rate(self, later, "log_reads"),
            "log_appends_per_s": _rate(self, later, "log_appends"),
            "log_bytes_per_s": _rate(self, later, "log_bytes"),
            "sent_bytes_per_s_per_node": round(sum(sent) / len(sent)),
            "sent_bytes_per_s_most": round(max(sent)),
            "sent_bytes_per_s_in_all": round(sum(sent)),
            "core_share_per_node": round(sum(processor) / len(processor), 4),
        }


def _rate(before: Cost, later: Cost, name: str) -> float:
    spent: float = getattr(later, name) - getattr(before, name)
    return round(spent / (later.at_s - before.at_s), 2)


def sent_bytes(process_ids: Iterable[int]) -> dict[int, int]:
    """Returns the bytes sent on open TCP streams by each process."""
    output = subprocess.run(
        ["ss", "-tinHpO"], capture_output=True, text=True, check=True
    ).stdout
    totals = dict.fromkeys(process_ids, 0)
    for line in output.splitlines():
        owner, sent = _OWNER.search(line), _SOCKET.search(line)
        if owner and sent and int(owner[1]) in totals:
            totals[int(owner[1])] += int(sent[1])
    return totals


def processor_s(process_id: int) -> float:
    """Returns the processor time of a process, in seconds."""
    text = Path(f"/proc/{process_id}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def arrivals(node: NodeProcess, version: int) -> list[int]:
    """Returns when a node had a version in force, in ms since the epoch."""
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
        rest_s: Length of the rest.
    """

    mesh: TestMesh
    changes: int
    pause_s: float
    rest_s: float
    channels: list[grpc.aio.Channel] = attrs.field(factory=list)

    async def start(self, count: int) -> None:
        """Starts the nodes, a few at a time."""
        slots = asyncio.Semaphore(_STARTS_AT_ONCE)

        async def start_one(index: int) -> None:
            async with slots:
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
        await asyncio.sleep(_SETTLE_S)

    async def _wait_members(
        self, channel: grpc.aio.Channel, count: int
    ) -> None:
        stub = OperatorStub(channel)
        while True:
            reply = await stub.GetStatus(pb.StatusRequest())
            if len(reply.members) >= count:
                return
            await asyncio.sleep(_POLL_S * len(self.channels))

    def cost(self) -> Cost:
        """Reads what was spent so far."""
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
        """Measures a rest and the changes."""
        await self._apply(0, _first_operations())
        await asyncio.sleep(self.pause_s)
        before = self.cost()
        await asyncio.sleep(self.rest_s)
        rested = self.cost()
        from_answer: list[int] = []
        from_request: list[int] = []
        last: list[int] = []
        for index in range(self.changes):
            begun_ms = _wall_ms()
            version, answered_ms = await self._apply(index, [_change(index)])
            times = await self._arrivals(version)
            from_answer += [max(0, at - answered_ms) for at in times]
            from_request += [at - begun_ms for at in times]
            last.append(max(0, max(times) - answered_ms))
            await asyncio.sleep(self.pause_s)
        changed = self.cost()
        return {
            "nodes": len(self.mesh.nodes),
            "changes": self.changes,
            "ms_from_answer": _summary(from_answer),
            "ms_from_request": _summary(from_request),
            "ms_last_node": _summary(last),
            "at_rest": before.until(rested),
            "under_changes": rested.until(changed),
        }

    async def _apply(
        self, index: int, operations: list[pb.Operation]
    ) -> tuple[int, int]:
        stub = OperatorStub(self.channels[index % len(self.channels)])
        request = pb.ApplyRequest(author="measurement", operations=operations)
        reply = await stub.Apply(request)
        if reply.status != pb.CHANGE_ACCEPTED:
            raise RuntimeError(f"not accepted: {reply}")
        return reply.version, _wall_ms()

    async def _arrivals(self, version: int) -> list[int]:
        deadline = time.monotonic() + _ARRIVAL_TIMEOUT_S
        times: list[int] = []
        for name, node in self.mesh.nodes.items():
            while not (found := arrivals(node, version)):
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{name} never got version {version}")
                await asyncio.sleep(_POLL_S)
            times.append(min(found))
        return times

    async def stop(self) -> None:
        """Closes the channels."""
        for channel in self.channels:
            await channel.close(None)


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000


def _first_operations() -> list[pb.Operation]:
    objects = [
        pb.ConfigObject(service=pb.Service(name="counter-desk")),
        pb.ConfigObject(
            upstream=pb.Upstream(name="desk-main", service="counter-desk")
        ),
    ]
    return [pb.Operation(object=item, expected_revision=-1) for item in objects]


def _change(index: int) -> pb.Operation:
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


async def _run(
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


def _line(result: dict[str, Any]) -> str:
    rest, busy = result["at_rest"], result["under_changes"]
    last = result["ms_last_node"]
    return (
        f"{result['nodes']:>4} {result['mode']:<17}"
        f" {result['ms_from_answer']['p50']:>4}"
        f" {result['ms_from_answer']['p99']:>5} {last['max']:>5}"
        f" {rest['log_reads_per_s']:>7} {busy['log_reads_per_s']:>7}"
        f" {rest['log_bytes_per_s']:>8} {busy['log_bytes_per_s']:>8}"
        f" {rest['sent_bytes_per_s_per_node']:>7}"
        f" {busy['sent_bytes_per_s_per_node']:>7}"
        f" {rest['core_share_per_node']:>7}"
    )


_HEAD = (
    "node mode               p50   p99  last  rd/s    rd/s*  logB/s "
    " logB/s*  B/s/nd B/s/nd* core/nd   (* under changes; times in ms)"
)


def main(arguments: list[str] | None = None) -> int:
    """Measures and writes the results; returns 0."""
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
        parser.error(f"at most {MAX_NODES} nodes fit on one machine")
    print(_HEAD)
    results = []
    for size in sizes:
        for mode in MODES if options.mode == "both" else (options.mode,):
            results.append(asyncio.run(_run(size, mode, options)))
            print(_line(results[-1]), flush=True)
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
