"""Measures the cost of idempotency keys.

Usage: `python -m pomelobank_testing claim-cost`. At each rate, requests without
a key and requests with a key alternate in one run. A low rate of requests
without a key also runs beside the requests with a key, to show whether the
claims slow down other requests. Appends and reads of the claims' streams are
counted. Log, targets and callers share one process, so the latencies include
the delay that this process's own load causes.
"""

import argparse
import asyncio
import itertools
import json
import os
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram
from starlette.requests import Request
from starlette.responses import Response

from pomelobank_testing._harness import TestMesh
from pomelobank_testing._log_service import LogService
from pomelobank_testing._process_usage import processor_us
from pomelobank_testing._upstream_service import UpstreamService

_MAX_LATENCY_US = 60_000_000
_US_PER_S = 1_000_000
_US_PER_MS = 1000
_SERVICE = "replenish"
_CONTROL_RATE_PER_S = 50
_WARM_UP_REQUESTS = 64
_SLOTS = 200
_CLAIMS_PREFIX = "claims-"
_DOCUMENT: dict[str, Any] = {
    "author": "claim-cost",
    "reason": "measurement",
    "services": [{"name": _SERVICE}],
    "upstreams": [{"name": "replenish-main", "service": _SERVICE}],
    "routes": [
        {
            "name": "reorders",
            "service": _SERVICE,
            "path_prefix": "/reorders",
            "destinations": [{"upstream": "replenish-main", "weight": 1}],
        }
    ],
}


@attrs.define(eq=False)
class CountingLog(LogService):
    """A log service that counts the traffic of the claims' streams.

    Attributes:
        counts: Number and bytes of appends and reads of claims' streams.
    """

    counts: Counter[str] = attrs.field(factory=Counter)

    async def append(self, request: Request) -> Response:
        """Counts and performs an append."""
        if request.path_params["name"].startswith(_CLAIMS_PREFIX):
            self.counts["appends"] += 1
            self.counts["appended_bytes"] += len(await request.body())
        return await super().append(request)

    async def read(self, request: Request) -> Response:
        """Performs and counts a read."""
        response = await super().read(request)
        if request.path_params["name"].startswith(_CLAIMS_PREFIX):
            self.counts["reads"] += 1
            self.counts["read_bytes"] += len(response.body)
        return response


@attrs.define(eq=False)
class Phase:
    """Requests of one kind, sent at a fixed rate.

    Attributes:
        keyed: Whether each request has an idempotency key of its own.
        rate: Requests per second.
        histogram: Latencies in microseconds, from the time at which the rate
            scheduled the request.
        answers: Number of responses, by status or error kind.
    """

    keyed: bool
    rate: int
    histogram: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, _MAX_LATENCY_US, 3)
    )
    answers: Counter[str] = attrs.field(factory=Counter)

    async def run(
        self, mesh: TestMesh, numbers: Iterator[int], seconds: float
    ) -> None:
        """Sends the requests and waits for every response."""
        start_s = time.perf_counter()
        async with asyncio.TaskGroup() as group:
            for index in range(int(self.rate * seconds)):
                due_s = start_s + index / self.rate
                await asyncio.sleep(max(0.0, due_s - time.perf_counter()))
                group.create_task(self._send(mesh, next(numbers), due_s))

    async def _send(self, mesh: TestMesh, number: int, due_s: float) -> None:
        names = list(mesh.nodes)
        headers = {"idempotency-key": f"order-{number}"} if self.keyed else {}
        status, response_headers, _ = await mesh.request(
            names[number % len(names)],
            _SERVICE,
            "/reorders",
            "POST",
            headers=headers,
            data=b"3 lipsticks",
        )
        latency_us = int((time.perf_counter() - due_s) * _US_PER_S)
        self.histogram.record_value(max(1, min(latency_us, _MAX_LATENCY_US)))
        self.answers[
            response_headers.get("x-pomelobank-error", str(status))
        ] += 1

    @property
    def answered(self) -> int:
        """Number of requests that were answered."""
        return sum(self.answers.values())

    def summary(self) -> dict[str, Any]:
        """Returns the results of this phase."""
        return {
            "rate": self.rate,
            "answers": dict(self.answers),
            "p50_ms": self._percentile_ms(50),
            "p99_ms": self._percentile_ms(99),
        }

    def _percentile_ms(self, percentile: float) -> float:
        value: int = self.histogram.get_value_at_percentile(percentile)
        return round(value / _US_PER_MS, 2)


def main(arguments: list[str] | None = None) -> int:
    """Measures, prints and writes the results; returns 0."""
    parser = argparse.ArgumentParser(prog="claim-cost", description=__doc__)
    parser.add_argument("--rates", default="10,50,200,500")
    parser.add_argument("--nodes", default="4")
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--note", default="")
    parser.add_argument("--output", type=Path, default=None)
    options = parser.parse_args(arguments)
    result = asyncio.run(_measure(options))
    print(_table(result))
    if options.output is not None:
        options.output.parent.mkdir(parents=True, exist_ok=True)
        options.output.write_text(json.dumps(result, indent=2) + "\n")
    return 0


async def _measure(options: argparse.Namespace) -> dict[str, Any]:
    levels = []
    for nodes in options.nodes.split(","):
        levels += await _measure_mesh(int(nodes), options)
    return {
        "command": "python -m pomelobank_testing claim-cost "
        f"--rates {options.rates} --nodes {options.nodes} "
        f"--seconds {options.seconds}",
        "note": options.note,
        "processors": os.cpu_count(),
        "levels": levels,
    }


async def _measure_mesh(
    nodes: int, options: argparse.Namespace
) -> list[dict[str, Any]]:
    log = CountingLog()
    numbers = itertools.count()
    async with TestMesh(log=log) as mesh:
        await _start_mesh(mesh, nodes)
        # Warm-up: the requests open the connections, and those with a key also
        # make the nodes start the reader of every claims shard.
        for keyed in (False, True):
            phase = Phase(keyed, _WARM_UP_REQUESTS)
            await phase.run(mesh, numbers, 1.0)
        return [
            await _measure_level(mesh, log, numbers, int(rate), options.seconds)
            for rate in options.rates.split(",")
        ]


async def _start_mesh(mesh: TestMesh, nodes: int) -> None:
    await asyncio.gather(
        *(
            mesh.add_node(
                f"node-{index}",
                "hobart",
                UpstreamService(f"target-{index}", "replenish-main", _SLOTS),
            )
            for index in range(nodes)
        )
    )
    await mesh.wait_members(nodes)
    await mesh.apply("node-0", _DOCUMENT)
    await mesh.wait_version("node-0", 1)


async def _measure_level(
    mesh: TestMesh,
    log: CountingLog,
    numbers: Iterator[int],
    rate: int,
    seconds: float,
) -> dict[str, Any]:
    unkeyed = Phase(False, rate)
    before = Counter(log.counts)
    used_processor_us = _nodes_processor_us(mesh)
    await unkeyed.run(mesh, numbers, seconds)
    unkeyed_us = (
        _nodes_processor_us(mesh) - used_processor_us
    ) / unkeyed.answered
    during_unkeyed = log.counts - before
    unkeyed_alone = Phase(False, _CONTROL_RATE_PER_S)
    await unkeyed_alone.run(mesh, numbers, seconds)
    keyed, unkeyed_beside_keyed = (
        Phase(True, rate),
        Phase(False, _CONTROL_RATE_PER_S),
    )
    before = Counter(log.counts)
    start_s = time.perf_counter()
    used_processor_us = _nodes_processor_us(mesh)
    await asyncio.gather(
        keyed.run(mesh, numbers, seconds),
        unkeyed_beside_keyed.run(mesh, numbers, seconds),
    )
    duration_s = time.perf_counter() - start_s
    used_processor_us = _nodes_processor_us(mesh) - used_processor_us
    keyed_us = (
        used_processor_us - unkeyed_beside_keyed.answered * unkeyed_us
    ) / keyed.answered
    during_keyed = log.counts - before
    added = {
        key: round(keyed.summary()[key] - unkeyed.summary()[key], 2)
        for key in ("p50_ms", "p99_ms")
    }
    return {
        "nodes": len(mesh.nodes),
        "rate": rate,
        "keyed": keyed.summary(),
        "unkeyed": unkeyed.summary(),
        "added": added,
        "unkeyed_alone": unkeyed_alone.summary(),
        "unkeyed_beside_keyed": unkeyed_beside_keyed.summary(),
        "node_processor_us_per_request": {
            "unkeyed": round(unkeyed_us),
            "keyed": round(keyed_us),
        },
        "claims_appends_during_unkeyed": during_unkeyed["appends"],
        "claims_per_second": {
            name: round(count / duration_s, 1)
            for name, count in during_keyed.items()
        },
    }


def _nodes_processor_us(mesh: TestMesh) -> int:
    nodes = mesh.nodes.values()
    return sum(processor_us(node.process.pid) for node in nodes)


def _table(result: dict[str, Any]) -> str:
    lines = [
        "nodes rate  keyed p50/p99 ms  added p50/p99 ms  appends/s reads/s "
        "read KB/s  cpu us keyed (unkeyed)  unkeyed beside p50/p99 (alone)  "
        "answers"
    ]
    for level in result["levels"]:
        keyed, added = level["keyed"], level["added"]
        during, before = level["unkeyed_beside_keyed"], level["unkeyed_alone"]
        rates = level["claims_per_second"]
        cpu_us = level["node_processor_us_per_request"]
        lines.append(
            f"{level['nodes']:>5} {level['rate']:>4}"
            f"  {keyed['p50_ms']:>6} /{keyed['p99_ms']:>7}"
            f"   {added['p50_ms']:>6} /{added['p99_ms']:>7}"
            f"  {rates.get('appends', 0):>9} {rates.get('reads', 0):>7}"
            f" {rates.get('read_bytes', 0) / 1000:>9.1f}"
            f"  {cpu_us['keyed']} ({cpu_us['unkeyed']})"
            f"  {during['p50_ms']} / {during['p99_ms']}"
            f" ({before['p50_ms']} / {before['p99_ms']})  {keyed['answers']}"
        )
    return "\n".join(lines)
