"""Faults one upon the other while callers and operators go on."""

import pytest

from pomelobank_testing import run_chaos


@pytest.mark.parametrize(
    "seed",
    [
        pytest.param(1, id="herd of returns meets keyed requests"),
        pytest.param(5, id="another order"),
    ],
)
async def test_nothing_breaks_under_faults(seed: int) -> None:
    """Nodes die alone and in herds, freeze, and the log fails.

    A caller would notice an answer that belongs to another, a request that ran
    twice, one that ran although it was told it did not, or a route that is
    suddenly unknown; an operator would notice an accepted change that is gone.
    """
    chaos = await run_chaos(seed, nodes=4, faults=3, callers=4)
    assert chaos.problems == []
    assert any(sent.outcome == "answered" for sent in chaos.sent)
