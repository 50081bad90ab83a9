"""Tests of the targets that count as departed."""

import attrs
import pytest

from pomelobank_core.departures import Departures
from pomelobank_schema.generated.records import (
    DepartureRecord,
    TargetAnnouncement,
)


def departure(instance: str, started_at_ms: int = 0) -> DepartureRecord:
    return DepartureRecord(instance=instance, started_at_ms=started_at_ms)


@pytest.mark.parametrize(
    ("departures", "started_at_ms", "departed"),
    [
        pytest.param([], 1000, False, id="none"),
        pytest.param([departure("b", 1000)], 1000, False, id="another target"),
        pytest.param([departure("a", 1000)], 1000, True, id="the same start"),
        pytest.param([departure("a", 1000)], 2000, False, id="a later start"),
        pytest.param([departure("a", 2000)], 1000, True, id="an earlier start"),
        pytest.param(
            [departure("a")], 1000, True, id="no start in the departure"
        ),
        pytest.param([departure("a", 1000)], 0, True, id="no start announced"),
        pytest.param(
            [departure("a", 2000), departure("a", 1000)],
            2000,
            True,
            id="the departure of an earlier start comes last",
        ),
        pytest.param(
            [departure("a", 1000), departure("a", 2000)],
            2000,
            True,
            id="departed once more",
        ),
    ],
)
def test_has_departed(
    departures: list[DepartureRecord], started_at_ms: int, departed: bool
) -> None:
    known = Departures()
    for item in departures:
        known.add(item)
    target = TargetAnnouncement(
        upstream="u",
        address="127.0.0.1:1",
        slots=2,
        instance="a",
        started_at_ms=started_at_ms,
    )
    assert known.has_departed(target) is departed


@pytest.mark.parametrize("reverse", [False, True], ids=["in order", "late"])
@pytest.mark.parametrize(
    ("records", "departed"),
    [
        pytest.param([(1, False), (2, True)], False, id="returned"),
        pytest.param([(1, True), (2, False)], True, id="departed again"),
        pytest.param([(1, False), (2, False)], True, id="departed twice"),
    ],
)
def test_the_record_made_last_counts_in_any_order(
    records: list[tuple[int, bool]], departed: bool, reverse: bool
) -> None:
    """Peers send a return before the earlier departure, or the reverse."""
    known = Departures()
    target = TargetAnnouncement(upstream="u", address="127.0.0.1:1", slots=2)
    for at_ms, returned in sorted(records, reverse=reverse):
        known.add(
            DepartureRecord(
                address=target.address, at_ms=at_ms, returned=returned
            )
        )
    assert known.has_departed(target) is departed


def test_the_number_of_departures_is_bounded() -> None:
    """A faulty writer fills the log with departures of unknown targets.

    Without a bound, the departures would fill the node's memory.
    """
    known = Departures()
    for number in range(10_000):
        known.add(departure(str(number)))
    assert len(known.latest) < 5_000


def test_a_target_without_an_instance_is_identified_by_its_address() -> None:
    """An operator drains a target that announces no instance name.

    The node can recognise such a target only by its address.
    """
    known = Departures()
    leaving = DepartureRecord(address="127.0.0.1:1")
    target = TargetAnnouncement(upstream="u", address="127.0.0.1:1", slots=2)
    known.add(leaving)
    assert known.has_departed(target)
    assert not known.has_departed(attrs.evolve(target, address="127.0.0.1:2"))
    assert not known.has_departed(attrs.evolve(target, instance="a"))
    known.add(attrs.evolve(leaving, returned=True))
    assert not known.has_departed(target)
