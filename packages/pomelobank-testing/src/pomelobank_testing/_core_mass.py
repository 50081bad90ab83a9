"""Measures core membership when much changes at once.

`python -m pomelobank_testing core-mass`: half of the fleet is cut off for a
while, and a whole fleet starts on one contact.
"""

import argparse
import json
from collections.abc import Callable
from pathlib import Path

import attrs

from pomelobank_core import MemberState
from pomelobank_testing._core_members import write_results
from pomelobank_testing._member_fleet import MemberFleet

_MS_PER_S = 1000
_LIMIT_MS = 600_000


@attrs.frozen
class MassCosts:
    """How long a change of many members takes, and what it costs.

    Attributes:
        members: Size of the fleet.
        cut_ms: Time until each half holds all of the other to be gone.
        heal_ms: Time from the end of the cut until all hold all to be ready.
        heal_bytes_per_s: Most bytes that all members sent in one second of
            that, per member.
        herd_ms: Time until all members of a new fleet hold all to be ready.
        herd_bytes_per_s: Most bytes sent in one second of that, per member.
        contact_bytes_per_s: Most bytes that the one contact sent in a second.
    """

    members: int
    cut_ms: int
    heal_ms: int
    heal_bytes_per_s: int
    herd_ms: int
    herd_bytes_per_s: int
    contact_bytes_per_s: int


@attrs.define
class Watch:
    """Runs a fleet second by second and keeps the highest rates of bytes.

    Attributes:
        fleet: The fleet.
        contact: Member whose own rate is kept as well.
        highest: Most bytes of all members in one second.
        contact_highest: Most bytes of the contact in one second.
    """

    fleet: MemberFleet
    contact: str
    highest: int = 0
    contact_highest: int = 0

    def run_until(self, condition: Callable[[], bool]) -> int:
        """Runs until a condition holds; returns the time that it took."""
        start_ms = self.fleet.now_ms
        while not condition():
            if self.fleet.now_ms - start_ms > _LIMIT_MS:
                raise TimeoutError(f"not within {_LIMIT_MS} ms of fleet time")
            self._second()
        return self.fleet.now_ms - start_ms

    def _second(self) -> None:
        before = dict(self.fleet.sent_bytes)
        self.fleet.run(_MS_PER_S)
        after = self.fleet.sent_bytes
        total = sum(after.values()) - sum(before.values())
        contact = after[self.contact] - before.get(self.contact, 0)
        self.highest = max(self.highest, total // len(self.fleet.members))
        self.contact_highest = max(self.contact_highest, contact)


def measure(count: int) -> MassCosts:
    """Measures a fleet of one size."""
    cut_ms, heal_ms, heal_bytes = _cut_and_heal(count)
    herd_ms, watch = _herd(count)
    return MassCosts(
        members=count,
        cut_ms=cut_ms,
        heal_ms=heal_ms,
        heal_bytes_per_s=heal_bytes,
        herd_ms=herd_ms,
        herd_bytes_per_s=watch.highest,
        contact_bytes_per_s=watch.contact_highest,
    )


def _cut_and_heal(count: int) -> tuple[int, int, int]:
    fleet = MemberFleet.of(count)
    addresses = list(fleet.members)
    first = set(addresses[: count // 2])
    fleet.reachable = lambda source, destination: (
        (source in first) == (destination in first)
    )

    def apart() -> bool:
        gone = MemberState.GONE.value
        return all(
            entry.state == gone
            for address, swim in fleet.members.items()
            for entry in swim.table.others.values()
            if (entry.peer_address in first) != (address in first)
        )

    cut_ms = Watch(fleet, addresses[0]).run_until(apart)
    fleet.reachable = lambda source, destination: True
    watch = Watch(fleet, addresses[0])
    heal_ms = watch.run_until(fleet.all_ready)
    return cut_ms, heal_ms, watch.highest


def _herd(count: int) -> tuple[int, Watch]:
    fleet = MemberFleet()
    for index in range(count):
        fleet.add(fleet.entry(index))
    contact, *others = fleet.members
    for address in others:
        fleet.join(address, contact)
    watch = Watch(fleet, contact)
    return watch.run_until(fleet.all_ready), watch


def main(arguments: list[str]) -> int:
    """Measures each size and writes the results; returns the exit status."""
    parser = argparse.ArgumentParser(prog="core-mass")
    parser.add_argument("--members", default="100,300")
    parser.add_argument(
        "--output", type=Path, default=Path("benchmarks/results")
    )
    options = parser.parse_args(arguments)
    results = []
    for size in options.members.split(","):
        result = attrs.asdict(measure(int(size)))
        print(json.dumps(result), flush=True)
        results.append(result)
    write_results(
        options.output / "core-mass.json",
        {
            "command": f"python -m pomelobank_testing core-mass"
            f" --members {options.members}",
            "note": "fleet time; frames take no time; core and codec alone",
            "results": results,
        },
    )
    return 0
