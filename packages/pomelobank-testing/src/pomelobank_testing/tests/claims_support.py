"""Helpers that the tests of idempotency keys share."""

import asyncio
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from pomelobank_core import claim_key, rank_claimants, scoped_key, shard_of
from pomelobank_testing import TestMesh, UpstreamService

SERVICE = "replenish"
DOCUMENT = {
    "services": [{"name": SERVICE}],
    "upstreams": [{"name": "replenish-main", "service": SERVICE}],
    "routes": [
        {
            "name": "reorders",
            "service": SERVICE,
            "path_prefix": "/reorders",
            "destinations": [{"upstream": "replenish-main", "weight": 1}],
        }
    ],
}
Response = tuple[int, dict[str, str], bytes]


@asynccontextmanager
async def started_mesh(
    nodes: int = 3, **overrides: dict[str, Any]
) -> AsyncIterator[TestMesh]:
    async with TestMesh(overrides=overrides) as mesh:
        await asyncio.gather(
            *(
                mesh.add_node(
                    f"node-{index}",
                    "hobart",
                    UpstreamService(f"target-{index}", "replenish-main"),
                )
                for index in range(nodes)
            )
        )
        status, output = await mesh.apply("node-0", DOCUMENT)
        assert status == 0, output
        await mesh.wait_members(nodes)
        await mesh.wait_version("node-0", 1)
        yield mesh


async def send_order(
    mesh: TestMesh,
    node: str,
    key: str,
    body: bytes = b"3 lipsticks",
    **extra_headers: str,
) -> Response:
    headers = {
        "idempotency-key": key,
        "x-run-id": key,
        **{
            name.replace("_", "-"): value
            for name, value in extra_headers.items()
        },
    }
    status, received, answer = await mesh.request(
        node, SERVICE, "/reorders", "POST", headers=headers, data=body
    )
    lower_case = {name.lower(): value for name, value in received.items()}
    return status, lower_case, answer


def run_count(mesh: TestMesh, key: str) -> int:
    return sum(item.service.runs[key] for item in mesh.targets.values())


def error_kind(answer: Response) -> str:
    return answer[1].get("x-pomelobank-error", "answered")


def shard_of_key(key: str) -> int:
    """Returns the shard of a caller's key."""
    return shard_of(claim_key(scoped_key(SERVICE, key)))


def other_key_of_shard(key: str) -> str:
    """Returns another key of the same shard."""
    candidates = (f"other-{number}" for number in itertools.count())
    return next(
        other
        for other in candidates
        if shard_of_key(other) == shard_of_key(key)
    )


def claimants(key: str, nodes: int = 3) -> list[str]:
    """Returns the nodes in the order in which they claim a key."""
    return rank_claimants(
        shard_of_key(key), [f"node-{index}" for index in range(nodes)]
    )


async def wait_running(mesh: TestMesh, key: str) -> str:
    """Waits until a target runs the request; returns the target's node."""
    async with asyncio.timeout(10):
        while True:
            for name, target in mesh.targets.items():
                if target.service.runs[key]:
                    return name
            await asyncio.sleep(0.005)
