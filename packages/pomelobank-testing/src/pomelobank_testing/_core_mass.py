"""Measures core's membership code while many members change at once.

Usage: `python -m pomelobank_testing core-mass`. The tool measures a network
partition between two halves of a fleet, and the start of a whole fleet whose
members all join through one contact.
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
_TIMEOUT_MS = 600_000


@attrs.frozen
class MassCosts:
    """Duration and cost of a change of many members.

    Attributes:
        members: Number of members.
        cut_ms: Time from the start of the partition until each half sees all
            members of the other half as gone.
        heal_ms: Time from the end of the partition until all members see each
            other as ready.
        heal_bytes_per_s: Maximum of the bytes sent in one second after the
            partition, as the mean of all members.
        herd_ms: Time until all members of a new fleet see each other as ready.
        herd_bytes_per_s: Maximum of the bytes sent in one second of the new
            fleet's start, as the mean of all members.
        contact_bytes_per_s: Maximum of the bytes that the contact sent in one
            second of the new fleet's start.
    """

    members: int
    cut_ms: int
    heal_ms: int
    heal_bytes_per_s: int
    herd_ms: int
    herd_bytes_per_s: int
    contact_bytes_per_s: int


@attrs.define
class PeakRates:
    """Runs a fleet in steps of a second and records the maximum send rates.

    Attributes:
        fleet: The fleet.
        contact: Member whose own maximum rate is recorded as well.
        max_bytes_per_s: Maximum of the bytes sent in one second, as the
            mean of all members.
        max_contact_bytes_per_s: Maximum of the bytes that the contact
            sent in one second.
    """

    fleet: MemberFleet
    contact: str
    max_bytes_per_s: int = 0
    max_contact_bytes_per_s: int = 0

    def run_until(self, condition: Callable[[], bool]) -> int:
        """Runs until a condition holds; returns the duration in fleet time."""
        start_ms = self.fleet.now_ms
        while not condition():
            if self.fleet.now_ms - start_ms > _TIMEOUT_MS:
                raise TimeoutError(
                    f"condition not met within {_TIMEOUT_MS} ms of fleet time"
                )
            self._run_second()
        return self.fleet.now_ms - start_ms

    def _run_second(self) -> None:
        before = dict(self.fleet.sent_bytes)
        self.fleet.run(_MS_PER_S)
        after = self.fleet.sent_bytes
        total = sum(after.values()) - sum(before.values())
        contact = after[self.contact] - before.get(self.contact, 0)
        self.max_bytes_per_s = max(
            self.max_bytes_per_s, total // len(self.fleet.members)
        )
        self.max_contact_bytes_per_s = max(
            self.max_contact_bytes_per_s, contact
        )


def measure(count: int) -> MassCosts:
    """Measures a fleet of one size."""
    cut_ms, heal_ms, heal_bytes = _measure_partition(count)
    herd_ms, peak_rates = _measure_mass_start(count)
    return MassCosts(
        members=count,
        cut_ms=cut_ms,
        heal_ms=heal_ms,
        heal_bytes_per_s=heal_bytes,
        herd_ms=herd_ms,
        herd_bytes_per_s=peak_rates.max_bytes_per_s,
        contact_bytes_per_s=peak_rates.max_contact_bytes_per_s,
    )


def _measure_partition(count: int) -> tuple[int, int, int]:
    fleet = MemberFleet.of(count)
    addresses = list(fleet.members)
    first_half = set(addresses[: count // 2])
    fleet.reachable = lambda source, destination: (
        (source in first_half) == (destination in first_half)
    )

    def all_other_half_gone() -> bool:
        gone = MemberState.GONE.value
        return all(
            entry.state == gone
            for address, swim in fleet.members.items()
            for entry in swim.table.others.values()
            if (entry.peer_address in first_half) != (address in first_half)
        )

    cut_ms = PeakRates(fleet, addresses[0]).run_until(all_other_half_gone)
    fleet.reachable = lambda source, destination: True
    peak_rates = PeakRates(fleet, addresses[0])
    heal_ms = peak_rates.run_until(fleet.all_ready)
    return cut_ms, heal_ms, peak_rates.max_bytes_per_s


def _measure_mass_start(count: int) -> tuple[int, PeakRates]:
    fleet = MemberFleet()
    for index in range(count):
        fleet.add(fleet.entry(index))
    contact, *others = fleet.members
    for address in others:
        fleet.join(address, contact)
    peak_rates = PeakRates(fleet, contact)
    return peak_rates.run_until(fleet.all_ready), peak_rates


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
