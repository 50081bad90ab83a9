"""Measures the configuration's decisions alone: no sockets, no processes."""

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

_DATA_CENTRES = 6
_NS_PER_US = 1000


@attrs.frozen
class Size:
    """Size of a mesh.

    Attributes:
        services: Number of services.
        routes: Number of routes.
        audit: Number of remembered changes.
        members: Number of members.
    """

    services: int
    routes: int
    audit: int
    members: int


def put_all(size: Size) -> ChangeRecord:
    """Returns the change that writes every object."""
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
    place = index % size.services
    destination = WeightedDestination(
        upstream=f"main-{place}", weight=1 + weight
    )
    route = RouteObject(
        name=f"route-{index}",
        service=f"service-{place}",
        path_prefix=f"/path/{index}",
        destinations=(destination,),
    )
    return OperationRecord(kind="put", route=route, expected_revision=-1)


def one_change(size: Size, number: int) -> ChangeRecord:
    """Returns an ordinary change: one route, with a reason."""
    return ChangeRecord(
        change_id=f"{number:032x}",
        author="operator@example.org",
        reason="shift a little more work to the newer targets",
        at_ms=1_700_000_000_000 + number,
        operations=(put_route(size, number % size.routes, number % 100),),
    )


def replayed(size: Size) -> ConfigState:
    """Returns the state after the first change and a full audit trail."""
    state = replay_change(ConfigState(), 0, put_all(size))
    for number in range(1, size.audit):
        state = replay_change(state, number, one_change(size, number))
    return state


def _median_us(work: Callable[[int], object], rounds: int) -> float:
    times = []
    for index in range(rounds):
        begun = time.perf_counter_ns()
        work(index)
        times.append(time.perf_counter_ns() - begun)
    return round(sorted(times)[rounds // 2] / _NS_PER_US, 1)


def measure_replay(size: Size, rounds: int) -> dict[str, Any]:
    """Measures replay, the route table and snapshots at one size."""
    tracemalloc.start()
    state = replayed(size)
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    version = state.snapshot.version
    changes = [one_change(size, version + n) for n in range(rounds)]
    data = [encode(item) for item in changes]
    snapshot = encode(snapshot_record(state))

    def restore(_: int) -> object:
        record = decode(snapshot, records.KINDS)
        assert isinstance(record, SnapshotRecord)
        return restore_snapshot(record)

    return {
        "state_bytes": held,
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


def members_of(size: Size) -> list[MemberEntry]:
    """Returns the entries of all members."""
    return [
        MemberEntry(
            node=f"node-{index}",
            data_centre=f"centre-{index % _DATA_CENTRES}",
            state="ready",
            peer_address=f"10.0.{index // 250}.{index % 250 + 1}:7000",
            version=5,
        )
        for index in range(size.members)
    ]


def measure_distribution(size: Size, rounds: int) -> dict[str, Any]:
    """Measures one node's part in distribution among many members."""
    own, *others = members_of(size)
    settings = DistributionSettings()
    tracemalloc.start()
    machine = Distribution(settings, 5000, random.Random(1))
    floor = MinServingVersion(3000)
    machine.update_members(own, others)
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    digest = VersionDigest(version=5, address=own.peer_address, heartbeat=True)

    def hear(now_ms: int) -> None:
        machine.on_digest(digest, 5, now_ms)
        floor.on_peer_version(5, True, now_ms)

    views = [
        find_neighbours(item, [*others, own], settings)
        for item in others[:_DATA_CENTRES]
    ]
    return {
        "state_bytes": held,
        "find_neighbours_us": _median_us(
            lambda _: machine.update_members(own, others), rounds
        ),
        "heartbeat_us": _median_us(lambda _: machine.heartbeat(), rounds),
        "hear_digest_us": _median_us(hear, rounds),
        "next_read_us": _median_us(machine.next_read, rounds),
        "digest_bytes": len(encode(digest)),
        "most_peers": max(
            len(view.push_to) + len(view.notify) for view in views
        ),
    }


def _sizes() -> list[Size]:
    return [
        Size(3, 3, 100, 13),
        Size(8, 75, 500, 100),
        Size(32, 300, 2000, 1000),
    ]


def main(arguments: list[str] | None = None) -> int:
    """Measures and writes the results; returns 0."""
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
