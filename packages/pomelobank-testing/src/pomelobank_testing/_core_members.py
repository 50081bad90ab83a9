"""Measures core membership alone: `python -m pomelobank_testing core-members`.

Every machine of the fleet runs in this process, over a plain queue without
delays; frames are encoded and decoded as on a real stream. It tells what the
decisions and the codec cost, not what sockets cost.
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
_QUIET_MS = 20_000
_LIMIT_MS = 300_000
_VERSION = 7


@attrs.frozen
class MemberCosts:
    """What membership costs and how fast it is at one size.

    Attributes:
        members: Size of the fleet.
        rest_bytes_per_s: Bytes that one member sends in a second at rest.
        rest_processor_percent: Part of a core that one member uses at rest.
        table_bytes: Memory of one member's table and machine.
        suspect_ms: Time until all hold a dead member to be at least suspect,
            and send it no more work.
        death_ms: Time until all hold a dead member to be gone.
        join_ms: Time until all hold a new member to be ready.
        drain_ms: Time until all know of a drain that was told directly.
        drain_gossip_ms: The same by gossip alone.
        versions_ms: Time until all know that every member moved its version.
        versions_bytes_per_s: Bytes that one member sends in a second of that.
        day_bytes_per_s: Bytes that one member sends in a second of a day with
            420 changes, of which each moves every version.
        false_suspicions: Suspicions at rest; each would be wrong.
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


_CHANGES_A_DAY = 420
_S_PER_DAY = 86_400


def measure(count: int) -> MemberCosts:
    """Measures a fleet of one size."""
    table_bytes = _memory_of_one(count)
    fleet = MemberFleet.of(count)
    fleet.run(2 * TIME_STEP_MS)
    rest_bytes, processor = _at_rest(fleet)
    suspicions = sum(swim.suspected for swim in fleet.members.values())
    versions_ms, version_bytes = _versions(fleet)
    suspect_ms, death_ms = _death(fleet)
    extra = max(0.0, version_bytes - rest_bytes) * versions_ms / _MS_PER_S
    return MemberCosts(
        members=count,
        rest_bytes_per_s=round(rest_bytes, 1),
        rest_processor_percent=round(100 * processor, 4),
        table_bytes=table_bytes,
        suspect_ms=suspect_ms,
        death_ms=death_ms,
        join_ms=_join(fleet, count),
        drain_ms=_drain(fleet, 1, direct=True),
        drain_gossip_ms=_drain(fleet, 2, direct=False),
        versions_ms=versions_ms,
        versions_bytes_per_s=round(version_bytes, 1),
        day_bytes_per_s=round(
            rest_bytes + extra * _CHANGES_A_DAY / _S_PER_DAY, 1
        ),
        false_suspicions=suspicions,
    )


def _memory_of_one(count: int) -> int:
    entries = [MemberFleet.entry(index) for index in range(1, count)]
    wire = [entry.to_wire() for entry in entries]
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        swim = MemberFleet().add(MemberFleet.entry(0))
        kind = type(entries[0])
        # Each value is its own object, as after decoding a frame.
        swim.table.merge(
            kind.from_wire(json.loads(json.dumps(values))) for values in wire
        )
        swim.table.ready_for("service-1-main")
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return after - before


def _sent(fleet: MemberFleet) -> int:
    return sum(fleet.sent_bytes.values())


def _at_rest(fleet: MemberFleet) -> tuple[float, float]:
    start_bytes, start_s = _sent(fleet), time.process_time()
    fleet.run(_QUIET_MS)
    used_s = time.process_time() - start_s
    seconds = _QUIET_MS / _MS_PER_S
    members = len(fleet.members)
    sent = _sent(fleet) - start_bytes
    return sent / seconds / members, used_s / seconds / members


def _versions(fleet: MemberFleet) -> tuple[int, float]:
    start_bytes = _sent(fleet)
    for swim in fleet.members.values():
        swim.table.update_version(_VERSION)
    tables = [swim.table for swim in fleet.members.values()]

    def all_known() -> bool:
        while tables:
            table = tables[-1]
            if any(entry.version != _VERSION for entry in table.all()):
                return False
            tables.pop()
        return True

    took_ms = fleet.run_until(all_known, _LIMIT_MS)
    sent = _sent(fleet) - start_bytes
    return took_ms, sent * _MS_PER_S / took_ms / len(fleet.members)


def _death(fleet: MemberFleet) -> tuple[int, int]:
    address, swim = next(iter(fleet.members.items()))
    node = swim.table.own.node
    fleet.remove(address)
    suspect, gone = MemberState.SUSPECT.value, MemberState.GONE.value
    suspect_ms = fleet.run_until(
        lambda: fleet.all_see(node, suspect, gone), _LIMIT_MS
    )
    later_ms = fleet.run_until(lambda: fleet.all_see(node, gone), _LIMIT_MS)
    return suspect_ms, suspect_ms + later_ms


def _join(fleet: MemberFleet, index: int) -> int:
    entry = fleet.entry(index)
    contact = next(iter(fleet.members))
    fleet.add(entry)
    fleet.join(entry.peer_address, contact)
    return fleet.run_until(
        lambda: fleet.all_see(entry.node, MemberState.READY.value), _LIMIT_MS
    )


def _drain(fleet: MemberFleet, index: int, direct: bool) -> int:
    entry = fleet.entry(index)
    swim = fleet.members[entry.peer_address]
    swim.table.update_own(state=MemberState.DRAINING.value)
    actions = swim.broadcast_own_entry() if direct else swim.gossip_own_entry()
    fleet.execute(entry.peer_address, entry.peer_address, actions)
    return fleet.run_until(
        lambda: fleet.all_see(entry.node, MemberState.DRAINING.value),
        _LIMIT_MS,
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
