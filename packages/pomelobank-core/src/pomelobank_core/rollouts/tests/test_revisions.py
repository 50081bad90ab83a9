"""Which targets get requests without limit."""

import attrs
import pytest

from pomelobank_core import Candidates
from pomelobank_core.rollouts import Revisions, Rollouts
from pomelobank_schema.generated.peer import MemberEntry
from pomelobank_schema.generated.records import RolloutRecord

ORDER = RolloutRecord(
    upstream="stock", revision="v2", position=7, era=1, state="running"
)


def candidates(**counts: int) -> Candidates:
    return Candidates(
        tuple(
            MemberEntry(
                node=f"{revision}-{number}",
                upstream="stock",
                revision=revision,
            )
            for revision, count in counts.items()
            for number in range(count)
        )
    )


@pytest.mark.parametrize(
    ("states", "counts", "proven", "unproven"),
    [
        pytest.param({}, {"v1": 3}, {"v1"}, set(), id="one revision"),
        pytest.param(
            {}, {"v1": 3, "v2": 2}, {"v1"}, {"v2"}, id="unexplained revision"
        ),
        pytest.param(
            {}, {"": 3, "v1": 1}, {"", "v1"}, set(), id="nodes without it"
        ),
        pytest.param(
            {"v2": "running"},
            {"v1": 2, "v2": 3},
            {"v1"},
            {"v2"},
            id="running roll-out with more targets",
        ),
        pytest.param(
            {"v2": "completed"},
            {"v1": 3, "v2": 2},
            {"v2"},
            {"v1"},
            id="completed roll-out, old targets unexplained",
        ),
        pytest.param(
            {"v2": "reverted"},
            {"v1": 3, "v2": 2},
            {"v1"},
            set(),
            id="rolled back",
        ),
        pytest.param(
            {"v2": "reverted", "v3": "running"},
            {"v1": 3, "v2": 2, "v3": 1},
            {"v1"},
            {"v3"},
            id="next roll-out while condemned targets drain",
        ),
        pytest.param(
            {"v2": "running", "v3": "running"},
            {"v1": 3, "v2": 2, "v3": 1},
            {"v1"},
            {"v2", "v3"},
            id="two orders",
        ),
        pytest.param(
            {"v2": "running"},
            {"v2": 2},
            {"v2"},
            set(),
            id="no proven target is left",
        ),
        pytest.param(
            {"v2": "reverted"},
            {"v2": 2},
            set(),
            set(),
            id="only condemned targets are left",
        ),
    ],
)
def test_targets_are_split_by_revision(
    states: dict[str, str],
    counts: dict[str, int],
    proven: set[str],
    unproven: set[str],
) -> None:
    rollouts = Rollouts()
    for position, (revision, state) in enumerate(states.items()):
        rollouts.add(
            attrs.evolve(
                ORDER, revision=revision, state=state, position=position
            )
        )
    split = Revisions(rollouts).split(candidates(**counts), now_ms=1000)
    assert {item.revision for item in split.proven.targets} == proven
    assert {item.revision for item in split.unproven} == unproven
    assert split.limited_nodes == {
        item.node
        for item in split.all_targets.targets
        if item.revision not in proven
    }


@pytest.mark.parametrize(
    ("as_of_ms", "limited"),
    [
        pytest.param(900, True, id="read before the first sight"),
        pytest.param(1100, True, id="read within the delay of a frame"),
        pytest.param(1600, False, id="read after the first sight"),
    ],
)
def test_replacement_without_an_order_gets_all_requests(
    as_of_ms: int, limited: bool
) -> None:
    """Guards against a release that stays at the share of a roll-out."""
    revisions = Revisions(Rollouts())
    revisions.split(candidates(v1=3), now_ms=100)
    revisions.confirm(800)
    mixed = candidates(v1=3, v2=2)
    assert revisions.split(mixed, now_ms=1000).limited_nodes
    revisions.confirm(as_of_ms)
    assert bool(revisions.split(mixed, now_ms=2000).limited_nodes) is limited


def test_order_limits_a_revision_that_was_confirmed_before_it() -> None:
    """Guards against targets that start before their order is written."""
    rollouts = Rollouts()
    revisions = Revisions(rollouts)
    mixed = candidates(v1=3, v2=2)
    revisions.split(mixed, now_ms=1000)
    revisions.confirm(5000)
    assert not revisions.split(mixed, now_ms=5000).limited_nodes
    rollouts.add(ORDER)
    assert revisions.split(mixed, now_ms=6000).limited_nodes


def test_superseded_revision_gets_nothing_while_the_new_one_serves() -> None:
    """Guards against requests at old targets, which end at a completion."""
    rollouts = Rollouts()
    revisions = Revisions(rollouts)
    mixed = candidates(v1=3, v2=2)
    revisions.split(mixed, now_ms=1000)
    revisions.confirm(5000)
    rollouts.add(attrs.evolve(ORDER, state="completing"))
    revisions.supersede("stock", "v2")
    split = revisions.split(mixed, now_ms=6000)
    assert {item.revision for item in split.proven.targets} == {"v2"}
    assert split.unproven == ()
    revisions.confirm(9000)
    replaced = candidates(v1=1, v2=2, v3=2)
    revisions.split(replaced, now_ms=9000)
    revisions.confirm(9600)
    split = revisions.split(replaced, now_ms=9600)
    assert {item.revision for item in split.proven.targets} == {"v2", "v3"}


def test_promotion_ends_with_its_time_or_a_roll_back() -> None:
    """Guards against a step whose leader is lost, and one that fails."""
    rollouts = Rollouts()
    rollouts.add(ORDER)
    revisions = Revisions(rollouts)
    mixed = candidates(v1=3, v2=2)

    def proven() -> set[str]:
        split = revisions.split(mixed, now_ms=1000)
        return {item.revision for item in split.proven.targets}

    assert proven() == {"v1"}
    revisions.promote("stock", "v2", until_ms=2500)
    assert proven() == {"v2"}
    revisions.expire(2500)
    assert proven() == {"v1"}
    revisions.promote("stock", "v2", until_ms=4000)
    rollouts.add(attrs.evolve(ORDER, state="reverted"))
    assert proven() == {"v1"}
