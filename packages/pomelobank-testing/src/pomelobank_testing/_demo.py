"""Demonstrates a whole mesh of real size with embedded fakes."""

import argparse
import asyncio
import json
import signal
import time
from collections import Counter

from pomelobank_testing._harness import TestMesh
from pomelobank_testing._meshes import MESHES, Mesh
from pomelobank_testing._upstream_service import UpstreamService

_OK = 200


def main(arguments: list[str] | None = None) -> int:
    """Runs the demonstration; returns 0 if all requests were answered."""
    parser = argparse.ArgumentParser(prog="demo", description=__doc__)
    parser.add_argument("--mesh", choices=sorted(MESHES), default="derwent")
    parser.add_argument("--requests", type=int, default=30)
    parser.add_argument(
        "--stay",
        action="store_true",
        help="keep the mesh up until interrupted, for use of the command line",
    )
    options = parser.parse_args(arguments)
    return asyncio.run(
        _run(MESHES[options.mesh], options.requests, options.stay)
    )


async def start_mesh(test_mesh: TestMesh, mesh: Mesh) -> list[str]:
    """Starts every node and target of a mesh; returns the nodes' ids."""
    start_calls = []
    names = []
    for service in mesh.services:
        for index in range(service.targets):
            name = f"{service.name}-{index}"
            data_centre = mesh.data_centres[index % len(mesh.data_centres)]
            upstream = UpstreamService(name, f"{service.name}-main", mesh.slots)
            start_calls.append(test_mesh.add_node(name, data_centre, upstream))
            names.append(name)
    await asyncio.gather(*start_calls)
    return names


async def _run(mesh: Mesh, requests: int, keep_running: bool) -> int:
    async with TestMesh() as test_mesh:
        start_s = time.monotonic()
        names = await start_mesh(test_mesh, mesh)
        print(
            f"{len(names)} nodes started in {time.monotonic() - start_s:.1f} s"
        )
        status, output = await test_mesh.apply(names[0], mesh.document())
        document = json.loads(output)
        verdict = f"{document['status']}, version {document['version']}"
        print(f"apply through {names[0]}: {verdict}")
        if status:
            return status
        await test_mesh.wait_members(len(names))
        await test_mesh.wait_version(names[0], document["version"])
        print(f"version {document['version']} is in force on every node")
        result = await _send_requests(test_mesh, mesh, names, requests)
        if keep_running:
            await _wait_for_interrupt(test_mesh)
        return result


async def _wait_for_interrupt(test_mesh: TestMesh) -> None:
    for node in test_mesh.nodes.values():
        print(f"{node.name}: {node.addresses}")
    first = next(iter(test_mesh.nodes.values()))
    print(f"export POMELOBANK_NODE={first.addresses['operator']}")
    print("The mesh runs until interrupted.", flush=True)
    interrupted = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, interrupted.set)
    await interrupted.wait()


async def _send_requests(
    test_mesh: TestMesh, mesh: Mesh, names: list[str], requests: int
) -> int:
    instances: Counter[str] = Counter()
    failed = 0
    for index in range(requests):
        service = mesh.services[index % len(mesh.services)]
        entry = names[index % len(names)]
        status, _, body = await test_mesh.request(
            entry, service.name, f"{service.path}/{index}"
        )
        if status == _OK:
            instances[json.loads(body)["instance"]] += 1
        else:
            failed += 1
            print(f"request {index}: status {status} {body.decode()}")
        if index < len(mesh.services):
            line = f"GET {service.path}/{index} at {entry}: {status}"
            print(f"{line} {body.decode()}")
    print(f"{requests - failed} of {requests} requests answered, by instance:")
    for instance, count in sorted(instances.items()):
        print(f"  {instance}: {count}")
    return 1 if failed else 0
