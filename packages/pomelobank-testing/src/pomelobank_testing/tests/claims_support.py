"""What the tests of idempotency keys share."""

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
Answer = tuple[int, dict[str, str], bytes]


@asynccontextmanager
async def started(
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


async def order(
    mesh: TestMesh,
    node: str,
    key: str,
    body: bytes = b"3 lipsticks",
    **more: str,
) -> Answer:
    headers = {
        "idempotency-key": key,
        "x-run-id": key,
        **{name.replace("_", "-"): value for name, value in more.items()},
    }
    status, found, answer = await mesh.request(
        node, SERVICE, "/reorders", "POST", headers=headers, data=body
    )
    lower = {name.lower(): value for name, value in found.items()}
    return status, lower, answer


def runs(mesh: TestMesh, key: str) -> int:
    return sum(item.service.runs[key] for item in mesh.targets.values())


def kind(answer: Answer) -> str:
    return answer[1].get("x-pomelobank-error", "answered")


def shard(key: str) -> int:
    """Returns the shard of a caller's key."""
    return shard_of(claim_key(scoped_key(SERVICE, key)))


def same_shard(key: str) -> str:
    """Returns another key of the same shard."""
    others = (f"other-{number}" for number in itertools.count())
    return next(other for other in others if shard(other) == shard(key))


def claimants(key: str, nodes: int = 3) -> list[str]:
    """Returns the nodes in the order in which they claim a key."""
    return rank_claimants(
        shard(key), [f"node-{index}" for index in range(nodes)]
    )


async def until_running(mesh: TestMesh, key: str) -> str:
    """Waits until a request runs; returns the node beside its target."""
    async with asyncio.timeout(10):
        while True:
            for name, target in mesh.targets.items():
                if target.service.runs[key]:
                    return name
            await asyncio.sleep(0.005)
