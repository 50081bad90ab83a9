"""Which targets are taken for those that have left."""

import attrs
import pytest

from pomelobank_core import Departures
from pomelobank_schema.generated.records import (
    DepartureRecord,
    TargetAnnouncement,
)


def departure(instance: str, started_at_ms: int = 0) -> DepartureRecord:
    return DepartureRecord(instance=instance, started_at_ms=started_at_ms)


@pytest.mark.parametrize(
    ("departures", "started_at_ms", "covered"),
    [
        pytest.param([], 1000, False, id="none"),
        pytest.param([departure("b", 1000)], 1000, False, id="another target"),
        pytest.param([departure("a", 1000)], 1000, True, id="the same start"),
        pytest.param([departure("a", 1000)], 2000, False, id="a later start"),
        pytest.param([departure("a", 2000)], 1000, True, id="an earlier start"),
        pytest.param([departure("a")], 1000, True, id="no start in the word"),
        pytest.param([departure("a", 1000)], 0, True, id="no start announced"),
        pytest.param(
            [departure("a", 2000), departure("a", 1000)],
            2000,
            True,
            id="the word of an earlier start comes last",
        ),
        pytest.param(
            [departure("a", 1000), departure("a", 2000)],
            2000,
            True,
            id="left once more",
        ),
    ],
)
def test_a_target_that_has_left(
    departures: list[DepartureRecord], started_at_ms: int, covered: bool
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
    assert known.has_departed(target) is covered


def test_what_is_remembered_is_bounded() -> None:
    """Somebody fills the log with departures of targets that never were."""
    known = Departures()
    for number in range(10_000):
        known.add(departure(str(number)))
    assert len(known.latest) < 5_000


def test_a_target_without_a_name_is_told_by_its_address() -> None:
    """An operator drains a target that never named itself."""
    known = Departures()
    left = DepartureRecord(address="127.0.0.1:1")
    target = TargetAnnouncement(upstream="u", address="127.0.0.1:1", slots=2)
    known.add(left)
    assert known.has_departed(target)
    assert not known.has_departed(attrs.evolve(target, address="127.0.0.1:2"))
    assert not known.has_departed(attrs.evolve(target, instance="a"))
    known.add(attrs.evolve(left, returned=True))
    assert not known.has_departed(target)
