"""Measures core's membership code without sockets and processes.

Usage: `python -m pomelobank_testing core-members`. All members of the fleet run
in this process and exchange frames over an in-memory queue without delay.
Frames are encoded and decoded as on a real stream, so the results contain the
cost of the membership protocol and of the codec, but not of sockets.
"""

import argparse
import json
import time
import tracemalloc
from pathlib import Path
from typing import Any

import attrs

from pomelobank_core import MemberState
from pomelobank_schema.generated.settings import MembershipSettings
from pomelobank_testing._member_fleet import TIME_STEP_MS, MemberFleet

_MS_PER_S = 1000
_REST_DURATION_MS = 20_000
_TIMEOUT_MS = 300_000
_NEW_VERSION = 7


@attrs.frozen
class MemberCosts:
    """Cost and speed of membership at one fleet size.

    Attributes:
        members: Number of members.
        rest_bytes_per_s: Bytes that one member sends per second at rest.
        rest_processor_percent: Percentage of a processor core that one member
            uses at rest.
        table_bytes: Memory of one member's table and protocol state.
        suspect_ms: Time until all members see a crashed member as suspect or
            gone, and send no more requests to the member.
        death_ms: Time until all members see a crashed member as gone.
        join_ms: Time until all members see a new member as ready.
        drain_ms: Time until all members see a drain that the draining member
            sent to each of them directly.
        drain_gossip_ms: Time until all members see a drain that spreads by
            gossip alone.
        versions_ms: Time until all members know a new version of every member.
        versions_bytes_per_s: Bytes that one member sends per second while the
            new versions spread.
        day_bytes_per_s: Bytes that one member sends per second, as the mean of
            a day with 420 changes that each change every member's version.
        false_suspicions: Suspicions at rest, where no member has crashed.
    """

    members: int
    rest_bytes_per_s: float
    rest_processor_percent: float
    table_bytes: int
    suspect_ms: int
    death_ms: int
    join_ms: int
    drain_ms: int
    drain_gossip_ms: int
    versions_ms: int
    versions_bytes_per_s: float
    day_bytes_per_s: float
    false_suspicions: int


_CHANGES_PER_DAY = 420
_S_PER_DAY = 86_400


def measure(count: int) -> MemberCosts:
    """Measures a fleet of one size."""
    table_bytes = _table_memory_bytes(count)
    fleet = MemberFleet.of(count)
    fleet.run(2 * TIME_STEP_MS)
    rest_bytes, processor_share = _measure_rest(fleet)
    suspicions = sum(swim.suspected for swim in fleet.members.values())
    versions_ms, version_bytes = _measure_versions(fleet)
    suspect_ms, death_ms = _measure_failure(fleet)
    extra_bytes = max(0.0, version_bytes - rest_bytes) * versions_ms / _MS_PER_S
    return MemberCosts(
        members=count,
        rest_bytes_per_s=round(rest_bytes, 1),
        rest_processor_percent=round(100 * processor_share, 4),
        table_bytes=table_bytes,
        suspect_ms=suspect_ms,
        death_ms=death_ms,
        join_ms=_measure_join(fleet, count),
        drain_ms=_measure_drain(fleet, 1, direct=True),
        drain_gossip_ms=_measure_drain(fleet, 2, direct=False),
        versions_ms=versions_ms,
        versions_bytes_per_s=round(version_bytes, 1),
        day_bytes_per_s=round(
            rest_bytes + extra_bytes * _CHANGES_PER_DAY / _S_PER_DAY, 1
        ),
        false_suspicions=suspicions,
    )


def _table_memory_bytes(count: int) -> int:
    entries = [MemberFleet.entry(index) for index in range(1, count)]
    encoded = [entry.to_wire() for entry in entries]
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        swim = MemberFleet().add(MemberFleet.entry(0))
        entry_type = type(entries[0])
        # Encoding and decoding gives each entry values of its own, as the
        # decoding of a frame does; shared values would use less memory.
        swim.table.merge(
            entry_type.from_wire(json.loads(json.dumps(values)))
            for values in encoded
        )
        swim.table.ready_for("service-1-main")
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return after - before


def _total_sent_bytes(fleet: MemberFleet) -> int:
    return sum(fleet.sent_bytes.values())


def _measure_rest(fleet: MemberFleet) -> tuple[float, float]:
    start_bytes, start_s = _total_sent_bytes(fleet), time.process_time()
    fleet.run(_REST_DURATION_MS)
    used_s = time.process_time() - start_s
    seconds = _REST_DURATION_MS / _MS_PER_S
    members = len(fleet.members)
    sent_bytes = _total_sent_bytes(fleet) - start_bytes
    return sent_bytes / seconds / members, used_s / seconds / members


def _measure_versions(fleet: MemberFleet) -> tuple[int, float]:
    start_bytes = _total_sent_bytes(fleet)
    for swim in fleet.members.values():
        swim.table.update_version(_NEW_VERSION)
    tables = [swim.table for swim in fleet.members.values()]

    def all_known() -> bool:
        while tables:
            table = tables[-1]
            if any(entry.version != _NEW_VERSION for entry in table.all()):
                return False
            tables.pop()
        return True

    duration_ms = fleet.run_until(all_known, _TIMEOUT_MS)
    sent_bytes = _total_sent_bytes(fleet) - start_bytes
    return duration_ms, sent_bytes * _MS_PER_S / duration_ms / len(
        fleet.members
    )


def _measure_failure(fleet: MemberFleet) -> tuple[int, int]:
    address, swim = next(iter(fleet.members.items()))
    node = swim.table.own.node
    fleet.remove(address)
    suspect, gone = MemberState.SUSPECT.value, MemberState.GONE.value
    suspect_ms = fleet.run_until(
        lambda: fleet.all_see(node, suspect, gone), _TIMEOUT_MS
    )
    after_suspicion_ms = fleet.run_until(
        lambda: fleet.all_see(node, gone), _TIMEOUT_MS
    )
    return suspect_ms, suspect_ms + after_suspicion_ms


def _measure_join(fleet: MemberFleet, index: int) -> int:
    entry = fleet.entry(index)
    contact = next(iter(fleet.members))
    fleet.add(entry)
    fleet.join(entry.peer_address, contact)
    return fleet.run_until(
        lambda: fleet.all_see(entry.node, MemberState.READY.value), _TIMEOUT_MS
    )


def _measure_drain(fleet: MemberFleet, index: int, direct: bool) -> int:
    entry = fleet.entry(index)
    swim = fleet.members[entry.peer_address]
    swim.table.update_own(state=MemberState.DRAINING.value)
    actions = swim.broadcast_own_entry() if direct else swim.gossip_own_entry()
    fleet.execute(entry.peer_address, entry.peer_address, actions)
    return fleet.run_until(
        lambda: fleet.all_see(entry.node, MemberState.DRAINING.value),
        _TIMEOUT_MS,
    )


def main(arguments: list[str]) -> int:
    """Measures each size and writes the results; returns the exit status."""
    parser = argparse.ArgumentParser(prog="core-members")
    parser.add_argument("--members", default="100,300,1000")
    parser.add_argument(
        "--output", type=Path, default=Path("benchmarks/results")
    )
    options = parser.parse_args(arguments)
    sizes = [int(size) for size in options.members.split(",")]
    results = []
    for size in sizes:
        result = attrs.asdict(measure(size))
        print(json.dumps(result), flush=True)
        results.append(result)
    write_results(
        options.output / "core-members.json",
        {
            "command": f"python -m pomelobank_testing core-members"
            f" --members {options.members}",
            "note": "processor time of core and codec alone; shared machine",
            "settings": attrs.asdict(MembershipSettings()),
            "results": results,
        },
    )
    return 0


def write_results(path: Path, document: dict[str, Any]) -> None:
    """Writes the results of a measurement."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(document, indent=2) + "\n")
