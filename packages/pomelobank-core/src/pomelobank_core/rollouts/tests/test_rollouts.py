"""Exchange of roll-outs between nodes, in any order."""

import itertools

import attrs
from hypothesis import given
from hypothesis import strategies as st

from pomelobank_core.rollouts import RevisionStatus, Rollouts
from pomelobank_schema.generated.records import RolloutRecord

ORDER = RolloutRecord(
    upstream="stock",
    revision="v2",
    position=7,
    era=1,
    duration_ms=60_000,
    ordered_at_ms=1000,
    state="running",
)
REVERTED = attrs.evolve(ORDER, state="reverted", reason="failures")
COMPLETING = attrs.evolve(ORDER, state="completing")
COMPLETED = attrs.evolve(ORDER, state="completed")

RECORDS = st.builds(
    RolloutRecord,
    upstream=st.sampled_from(["stock", "orders"]),
    revision=st.sampled_from(["v1", "v2", "v3"]),
    position=st.integers(1, 4),
    era=st.integers(1, 2),
    duration_ms=st.just(60_000),
    ordered_at_ms=st.integers(0, 3),
    state=st.sampled_from(["running", "completing", "reverted", "completed"]),
    reason=st.sampled_from(["", "failures"]),
)


@given(st.lists(RECORDS, max_size=8), st.randoms())
def test_order_and_repetition_of_records_do_not_matter(
    records: list[RolloutRecord], rng: object
) -> None:
    """Guards against nodes that disagree after they exchanged all records."""
    first, second = Rollouts(), Rollouts()
    first.add_all(records)
    shuffled = records + records[:3]
    rng.shuffle(shuffled)  # type: ignore[attr-defined]
    second.add_all(shuffled)
    assert first.records == second.records
    assert first.digest == second.digest


def test_verdict_outlives_an_order_that_is_read_again() -> None:
    """Guards against a verdict lost when a store returns from an older copy."""
    again = attrs.evolve(ORDER, era=2, ordered_at_ms=9000)
    other = attrs.evolve(ORDER, revision="v3", position=5, era=2)
    for records in itertools.permutations([REVERTED, again, other]):
        rollouts = Rollouts()
        rollouts.add_all(records)
        assert rollouts.status("stock", "v2") is RevisionStatus.CONDEMNED
        assert rollouts.status("stock", "v3") is RevisionStatus.UNPROVEN


def test_order_that_a_started_node_reads_again_keeps_its_time() -> None:
    """Guards against a deadline that moves with each restart of a reader."""
    again = attrs.evolve(ORDER, ordered_at_ms=9000)
    for records in ([ORDER, again], [again, ORDER]):
        rollouts = Rollouts()
        rollouts.add_all(records)
        newest = rollouts.newest("stock")
        assert newest is not None
        assert newest.ordered_at_ms == ORDER.ordered_at_ms


def test_roll_back_wins_over_a_completion_that_is_not_stored() -> None:
    """Guards against two deciding nodes, of which one found failures."""
    for records in itertools.permutations([REVERTED, COMPLETING, ORDER]):
        rollouts = Rollouts()
        rollouts.add_all(records)
        assert rollouts.status("stock", "v2") is RevisionStatus.CONDEMNED


def test_stored_completion_wins_over_a_roll_back() -> None:
    """Guards against a roll-back to targets that have ended already."""
    for records in itertools.permutations([REVERTED, COMPLETED, COMPLETING]):
        rollouts = Rollouts()
        rollouts.add_all(records)
        assert rollouts.status("stock", "v2") is RevisionStatus.PROVEN


def test_second_order_of_a_condemned_revision_is_a_new_roll_out() -> None:
    rollouts = Rollouts()
    rollouts.add_all([REVERTED, attrs.evolve(ORDER, position=9)])
    assert rollouts.status("stock", "v2") is RevisionStatus.UNPROVEN


def test_known_roll_outs_are_limited() -> None:
    """Guards against memory that grows with every order."""
    rollouts = Rollouts()
    for position in range(150):
        rollouts.add(attrs.evolve(ORDER, position=position))
    assert len(rollouts.records) == 128
    newest = rollouts.newest("stock")
    assert newest is not None
    assert newest.position == 149
