"""Overload of the targets, through node processes."""

import asyncio
import json

from pomelobank_testing import TestMesh, UpstreamService

NODES = ("node-0", "node-1", "node-2")
DOCUMENT = {
    "author": "test",
    "reason": "load",
    "services": [{"name": "desk"}],
    "upstreams": [{"name": "desk-main", "service": "desk"}],
    "routes": [
        {
            "name": "reorders",
            "service": "desk",
            "path_prefix": "/reorders",
            "destinations": [{"upstream": "desk-main", "weight": 1}],
        }
    ],
}


async def test_burst_of_reorders_to_started_targets() -> None:
    """Callers send three hundred reorders at once to targets that just started.

    Each target runs one request at first and has room for two queued ones. A
    refused request must not have run, so that its caller can repeat the
    reorder without a duplicate, and the refusal must say at once after which
    time a retry is worthwhile.
    """
    async with TestMesh() as mesh:
        targets = {
            node: UpstreamService(f"target-{node}", "desk-main", slots=4)
            for node in NODES
        }
        await asyncio.gather(
            *(mesh.add_node(node, "hobart", targets[node]) for node in NODES)
        )
        status, output = await mesh.apply("node-0", DOCUMENT)
        assert status == 0, output
        await mesh.wait_members(len(NODES))
        await mesh.wait_version("node-0", 1)

        async def reorder(number: int) -> tuple[int, str, int]:
            code, headers, body = await mesh.request(
                NODES[number % len(NODES)],
                "desk",
                "/reorders",
                method="POST",
                headers={
                    "x-run-id": str(number),
                    "x-work-ms": "100",
                    "x-pomelobank-timeout-ms": "10000",
                },
            )
            run = headers.get("x-pomelobank-run", "ran")
            after_ms = json.loads(body).get("retry_after_ms", 0)
            return code, run, after_ms

        responses = await asyncio.gather(*(reorder(n) for n in range(300)))
        runs = [
            sum(target.runs[str(number)] for target in targets.values())
            for number in range(300)
        ]
        outcomes = list(zip(responses, runs, strict=True))
        assert max(runs) == 1
        assert all(run == 1 for (code, _, _), run in outcomes if code == 200)
        refused = [
            (after_ms, run)
            for (_, state, after_ms), run in outcomes
            if state == "not-run"
        ]
        assert refused
        assert all(run == 0 and after_ms > 0 for after_ms, run in refused)
        assert sum(code == 200 for code, _, _ in responses) >= 9
