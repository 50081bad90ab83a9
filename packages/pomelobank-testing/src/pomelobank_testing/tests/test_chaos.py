"""Overlapping faults during requests and configuration changes."""

import pytest

from pomelobank_testing import run_chaos


@pytest.mark.parametrize(
    "seed",
    [
        pytest.param(1, id="many restarts at once during keyed requests"),
        pytest.param(5, id="another order of faults"),
    ],
)
async def test_guarantees_hold_under_faults(seed: int) -> None:
    """Nodes die one by one or several at once, freeze, and the log fails.

    Each of these is recorded as a problem: a response to another caller's
    request, a request that ran twice or ran despite a `not-run` response, a
    known route answered with `no_route`, and a lost accepted change.
    """
    chaos = await run_chaos(seed, nodes=4, faults=3, callers=4)
    assert chaos.problems == []
    assert any(sent.outcome == "answered" for sent in chaos.sent)
