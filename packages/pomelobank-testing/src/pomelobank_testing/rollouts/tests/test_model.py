"""Roll-outs in virtual time, with the product's decisions."""

import pytest

from pomelobank_testing.rollouts import REVISIONS, RolloutModel

SEEDS = range(3)


@pytest.mark.parametrize("kind", sorted(REVISIONS))
def test_revision_is_judged_rightly_within_its_exposure(kind: str) -> None:
    """Guards against bad revisions that stay, and good ones condemned."""
    is_bad = REVISIONS[kind].is_bad
    for seed in SEEDS:
        outcome = RolloutModel(seed, kind, duration_ms=20_000).run()
        assert outcome.excess <= 0, outcome
        assert (outcome.verdict_ms is not None) is is_bad, outcome
        assert not (is_bad and outcome.late), outcome


def test_exposure_holds_with_a_thousand_entries() -> None:
    """Guards against entries that each expose a request of their own."""
    outcome = RolloutModel(
        1, "good", entries=1000, rate_per_s=2000.0, duration_ms=4000
    ).run()
    assert outcome.exposed > 0
    assert outcome.excess <= 0
