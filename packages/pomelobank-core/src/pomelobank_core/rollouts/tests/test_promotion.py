"""When a roll-out moves all requests to the new revision."""

import attrs
import pytest

from pomelobank_core.rollouts import DrainWatch, Evidence, obstacle, step_ms
from pomelobank_schema.generated.records import RolloutRecord

ROLLOUT = RolloutRecord(
    upstream="stock",
    revision="v2",
    position=7,
    duration_ms=16_000,
    ordered_at_ms=100_000,
    state="running",
)
GOOD = Evidence(answers=80, doubt=0.1, old_slots=99, new_slots=99)


@pytest.mark.parametrize(
    ("rollout", "evidence", "elapsed_ms", "expected"),
    [
        pytest.param({}, {}, 13_500, "", id="shortly before the deadline"),
        pytest.param({}, {}, 13_499, "too early", id="earlier"),
        pytest.param({}, {}, 17_000, "", id="after the deadline"),
        pytest.param({}, {"answers": 49}, 14_000, "too few answers", id="few"),
        pytest.param({}, {"doubt": 0.6}, 14_000, "in doubt", id="in doubt"),
        pytest.param(
            {}, {"new_slots": 80}, 14_000, "too few targets", id="no room"
        ),
        pytest.param(
            {"state": "reverted"}, {}, 14_000, "not running", id="ended"
        ),
        pytest.param(
            {"duration_ms": 0}, {}, 14_000, "not running", id="no duration"
        ),
        pytest.param(
            {"ordered_at_ms": 0}, {}, 14_000, "order not dated", id="no time"
        ),
    ],
)
def test_obstacle_to_the_last_step(
    rollout: dict[str, object],
    evidence: dict[str, object],
    elapsed_ms: int,
    expected: str,
) -> None:
    found = obstacle(
        attrs.evolve(ROLLOUT, **rollout),
        attrs.evolve(GOOD, **evidence),
        100_000 + elapsed_ms,
    )
    assert found == expected


@pytest.mark.parametrize(
    ("duration_ms", "expected_ms"),
    [(1000, 2500), (16_000, 2500), (40_000, 6000), (3_600_000, 10_000)],
)
def test_time_of_the_last_step(duration_ms: int, expected_ms: int) -> None:
    rollout = attrs.evolve(ROLLOUT, duration_ms=duration_ms)
    assert step_ms(rollout) == expected_ms


@pytest.mark.parametrize(
    ("reports", "expected"),
    [
        pytest.param({"a": (0, 900), "b": (0, 800)}, True, id="all empty"),
        pytest.param({"a": (0, 900), "b": (1, 900)}, False, id="one request"),
        pytest.param({"a": (0, 900)}, False, id="silent member"),
        pytest.param({"a": (0, 900), "b": (0, 100)}, False, id="old report"),
    ],
)
def test_step_waits_for_every_member(
    reports: dict[str, tuple[int, int]], expected: bool
) -> None:
    """Guards against a completion while a request is at an old target."""
    watch = DrainWatch()
    for node, (count, at_ms) in reports.items():
        watch.add(node, count, at_ms)
    assert watch.is_drained({"a", "b"}, since_ms=500) is expected
