"""Measures core's configuration code without sockets and processes."""

import argparse
import gc
import json
import os
import random
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs

from pomelobank_core import (
    ConfigState,
    Distribution,
    MinServingVersion,
    RouteTable,
    find_neighbours,
    replay_change,
    restore_snapshot,
    snapshot_record,
)
from pomelobank_schema import decode, encode
from pomelobank_schema.generated import records
from pomelobank_schema.generated.peer import MemberEntry, VersionDigest
from pomelobank_schema.generated.records import (
    ChangeRecord,
    OperationRecord,
    RouteObject,
    ServiceObject,
    SnapshotRecord,
    UpstreamObject,
    WeightedDestination,
)
from pomelobank_schema.generated.settings import DistributionSettings

_DATA_CENTRE_COUNT = 6
_NS_PER_US = 1000


@attrs.frozen
class Size:
    """Size of a mesh.

    Attributes:
        services: Number of services.
        routes: Number of routes.
        audit: Number of changes in the audit trail.
        members: Number of members.
    """

    services: int
    routes: int
    audit: int
    members: int


def create_all_objects(size: Size) -> ChangeRecord:
    """Returns the change that creates every object."""
    operations = []
    for index in range(size.services):
        service = ServiceObject(name=f"service-{index}")
        upstream = UpstreamObject(name=f"main-{index}", service=service.name)
        operations.append(OperationRecord(kind="put", service=service))
        operations.append(OperationRecord(kind="put", upstream=upstream))
    operations += [put_route(size, index, 0) for index in range(size.routes)]
    return ChangeRecord(change_id="all", operations=tuple(operations))


def put_route(size: Size, index: int, weight: int) -> OperationRecord:
    """Returns the operation that writes one route."""
    service_index = index % size.services
    destination = WeightedDestination(
        upstream=f"main-{service_index}", weight=1 + weight
    )
    route = RouteObject(
        name=f"route-{index}",
        service=f"service-{service_index}",
        path_prefix=f"/path/{index}",
        destinations=(destination,),
    )
    return OperationRecord(kind="put", route=route, expected_revision=-1)


def route_change(size: Size, number: int) -> ChangeRecord:
    """Returns a change of typical size: one route, with a reason."""
    return ChangeRecord(
        change_id=f"{number:032x}",
        author="operator@example.org",
        reason="shift a little more work to the newer targets",
        at_ms=1_700_000_000_000 + number,
        operations=(put_route(size, number % size.routes, number % 100),),
    )


def replayed_state(size: Size) -> ConfigState:
    """Returns the state with all objects and a full audit trail."""
    state = replay_change(ConfigState(), 0, create_all_objects(size))
    for number in range(1, size.audit):
        state = replay_change(state, number, route_change(size, number))
    return state


def _median_us(function: Callable[[int], object], rounds: int) -> float:
    times = []
    for index in range(rounds):
        start_ns = time.perf_counter_ns()
        function(index)
        times.append(time.perf_counter_ns() - start_ns)
    return round(sorted(times)[rounds // 2] / _NS_PER_US, 1)


def measure_replay(size: Size, rounds: int) -> dict[str, Any]:
    """Measures replay, the route table and snapshots at one size."""
    tracemalloc.start()
    state = replayed_state(size)
    gc.collect()
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    version = state.snapshot.version
    changes = [route_change(size, version + n) for n in range(rounds)]
    data = [encode(item) for item in changes]
    snapshot = encode(snapshot_record(state))

    def restore(_: int) -> object:
        record = decode(snapshot, records.KINDS)
        assert isinstance(record, SnapshotRecord)
        return restore_snapshot(record)

    return {
        "state_bytes": allocated_bytes,
        "change_bytes": len(data[0]),
        "snapshot_bytes": len(snapshot),
        "decode_us": _median_us(
            lambda n: decode(data[n], records.KINDS), rounds
        ),
        "replay_us": _median_us(
            lambda n: replay_change(state, version, changes[n]), rounds
        ),
        "route_table_us": _median_us(
            lambda _: RouteTable.of(state.snapshot), rounds
        ),
        "make_snapshot_us": _median_us(
            lambda _: encode(snapshot_record(state)), max(3, rounds // 20)
        ),
        "restore_snapshot_us": _median_us(restore, max(3, rounds // 20)),
    }


def member_entries(size: Size) -> list[MemberEntry]:
    """Returns the entries of all members."""
    return [
        MemberEntry(
            node=f"node-{index}",
            data_centre=f"centre-{index % _DATA_CENTRE_COUNT}",
            state="ready",
            peer_address=f"10.0.{index // 250}.{index % 250 + 1}:7000",
            version=5,
        )
        for index in range(size.members)
    ]


def measure_distribution(size: Size, rounds: int) -> dict[str, Any]:
    """Measures the distribution code of one node in a mesh of many members."""
    own, *others = member_entries(size)
    settings = DistributionSettings()
    tracemalloc.start()
    distribution = Distribution(settings, 5000, random.Random(1))
    min_version = MinServingVersion(3000)
    distribution.update_members(own, others)
    gc.collect()
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    digest = VersionDigest(version=5, address=own.peer_address, heartbeat=True)

    def receive_digest(now_ms: int) -> None:
        distribution.on_digest(digest, 5, now_ms)
        min_version.on_peer_version(5, True, now_ms)

    neighbours = [
        find_neighbours(member, [*others, own], settings)
        for member in others[:_DATA_CENTRE_COUNT]
    ]
    return {
        "state_bytes": allocated_bytes,
        "find_neighbours_us": _median_us(
            lambda _: distribution.update_members(own, others), rounds
        ),
        "heartbeat_us": _median_us(lambda _: distribution.heartbeat(), rounds),
        "hear_digest_us": _median_us(receive_digest, rounds),
        "next_read_us": _median_us(distribution.next_read, rounds),
        "digest_bytes": len(encode(digest)),
        "most_peers": max(
            len(item.push_to) + len(item.notify) for item in neighbours
        ),
    }


def _sizes() -> list[Size]:
    return [
        Size(3, 3, 100, 13),
        Size(8, 75, 500, 100),
        Size(32, 300, 2000, 1000),
    ]


def main(arguments: list[str] | None = None) -> int:
    """Measures, prints and writes the results; returns 0."""
    parser = argparse.ArgumentParser(prog="core-config", description=__doc__)
    parser.add_argument("--rounds", type=int, default=200)
    parser.add_argument("--note", default="")
    parser.add_argument("--output", type=Path, default=None)
    options = parser.parse_args(arguments)
    runs = []
    for size in _sizes():
        replay = measure_replay(size, options.rounds)
        distribution = measure_distribution(size, options.rounds)
        runs.append(
            {
                "size": attrs.asdict(size),
                "replay": replay,
                "distribution": distribution,
            }
        )
        print(json.dumps(runs[-1]), flush=True)
    if options.output is not None:
        document = {
            "command": "python -m pomelobank_testing core-config"
            f" --rounds {options.rounds}",
            "note": options.note,
            "processors": os.cpu_count(),
            "runs": runs,
        }
        options.output.parent.mkdir(parents=True, exist_ok=True)
        options.output.write_text(json.dumps(document, indent=2) + "\n")
    return 0
