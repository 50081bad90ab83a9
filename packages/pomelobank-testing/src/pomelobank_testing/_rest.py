"""Measures nodes at rest: `python -m pomelobank_testing rest --nodes 13,50`."""

import argparse
import asyncio
import json
import statistics
import time
from pathlib import Path

import attrs

from pomelobank_testing._core_members import write_results
from pomelobank_testing._harness import TestMesh
from pomelobank_testing._process_usage import processor_us, resident_bytes
from pomelobank_testing._upstream_service import UpstreamService

# The start of a node uses about a second of processor time, so more starts at
# once would only delay each other.
_MAX_CONCURRENT_STARTS = 8
_US_PER_S = 1_000_000


@attrs.frozen
class RestCosts:
    """Resources that a node uses without requests and changes.

    Attributes:
        nodes: Number of nodes.
        processor_percent: Percentage of a processor core; median of the nodes.
        processor_percent_highest: Percentage of a processor core; maximum of
            the nodes.
        sent_bytes_per_s: Bytes of all frames sent to peers; mean of the nodes.
        resident_mib: Resident memory; median of the nodes.
        log_reads_per_s: Reads that the log answered for all nodes together.
        log_appends: Records that all nodes together appended during start.
    """

    nodes: int
    processor_percent: float
    processor_percent_highest: float
    sent_bytes_per_s: float
    resident_mib: float
    log_reads_per_s: float
    log_appends: int


async def measure(count: int, duration_s: float) -> RestCosts:
    """Measures a mesh of one size."""
    async with TestMesh() as mesh:
        start_slots = asyncio.Semaphore(_MAX_CONCURRENT_STARTS)

        async def start(index: int) -> None:
            async with start_slots:
                await mesh.add_node(
                    f"node-{index:03}",
                    f"data-centre-{index % 4}",
                    UpstreamService(f"target-{index}", "counter-desk-main"),
                )

        await asyncio.gather(*(start(index) for index in range(count)))
        await mesh.wait_members(count)
        appends = mesh.log.stream("members").end_offset
        # Membership updates still spread after the start; this pause keeps
        # their traffic out of the results.
        await asyncio.sleep(duration_s / 2)
        return await _measure_rest(mesh, duration_s, appends)


async def _measure_rest(
    mesh: TestMesh, duration_s: float, appends: int
) -> RestCosts:
    pids = [node.process.pid for node in mesh.nodes.values()]
    before = [processor_us(pid) for pid in pids]
    sent_bytes, reads, start_s = (
        await _total_sent_bytes(mesh),
        mesh.log.reads,
        time.monotonic(),
    )
    await asyncio.sleep(duration_s)
    elapsed_s = time.monotonic() - start_s
    processor_percents = [
        (processor_us(pid) - start) / _US_PER_S / elapsed_s * 100
        for pid, start in zip(pids, before, strict=True)
    ]
    resident_mib = [resident_bytes(pid) / 2**20 for pid in pids]
    sent_bytes = await _total_sent_bytes(mesh) - sent_bytes
    return RestCosts(
        nodes=len(pids),
        processor_percent=round(statistics.median(processor_percents), 3),
        processor_percent_highest=round(max(processor_percents), 3),
        sent_bytes_per_s=round(sent_bytes / elapsed_s / len(pids), 1),
        resident_mib=round(statistics.median(resident_mib), 1),
        log_reads_per_s=round((mesh.log.reads - reads) / elapsed_s, 2),
        log_appends=appends,
    )


async def _total_sent_bytes(mesh: TestMesh) -> int:
    total = 0
    for name in mesh.nodes:
        total += await mesh.metric(name, "pomelobank_peer_sent_size")
    return total


def main(arguments: list[str]) -> int:
    """Measures each size and writes the results; returns the exit status."""
    parser = argparse.ArgumentParser(prog="rest")
    parser.add_argument("--nodes", default="13,50")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument(
        "--output", type=Path, default=Path("benchmarks/results")
    )
    options = parser.parse_args(arguments)
    results = []
    for size in options.nodes.split(","):
        costs = asyncio.run(measure(int(size), options.seconds))
        print(json.dumps(attrs.asdict(costs)), flush=True)
        results.append(attrs.asdict(costs))
    write_results(
        options.output / "rest.json",
        {
            "command": f"python -m pomelobank_testing rest"
            f" --nodes {options.nodes} --seconds {options.seconds:g}",
            "note": "shared machine; the bytes are those of all frames between"
            " nodes, of configuration as well as of membership",
            "results": results,
        },
    )
    return 0
