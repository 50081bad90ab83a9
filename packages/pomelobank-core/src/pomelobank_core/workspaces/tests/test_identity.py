"""Identification of callers, ranks, and counts by workspace."""

import pytest

from pomelobank_core.workspaces import (
    LOTTERY_FRACTION,
    Anonymous,
    Rejected,
    RejectionReason,
    UsageCounts,
    Workspace,
    WorkspaceTable,
    identify,
    key_digest,
    request_rank,
)
from pomelobank_core.workspaces._usage_counts import MAX_NAMES, OTHER

ACME = Workspace("acme", priority=2)
TABLE = WorkspaceTable(
    {key_digest(b"k-1"): ACME, key_digest(b"k 2"): ACME}, {"acme": ACME}
)
MISSING, MALFORMED, DOUBLED, UNKNOWN = RejectionReason


@pytest.mark.parametrize(
    ("authorization", "expected"),
    [
        pytest.param([b"Bearer k-1"], ACME, id="known key"),
        pytest.param([b"BEARER k-1"], ACME, id="scheme in upper case"),
        pytest.param([b" \tBearer   k-1 \t"], ACME, id="surrounding spaces"),
        pytest.param([b"Bearer k 2"], ACME, id="known key with a space"),
        pytest.param([], MISSING, id="no header"),
        pytest.param([b""], MALFORMED, id="empty value"),
        pytest.param([b"Bearer"], MALFORMED, id="no key"),
        pytest.param([b"Bearer  "], MALFORMED, id="spaces as the key"),
        pytest.param([b"Basic k-1"], MALFORMED, id="other scheme"),
        pytest.param([b"k-1"], MALFORMED, id="no scheme"),
        pytest.param([b"Bearer k-1 k-1"], MALFORMED, id="two words"),
        pytest.param([b"Bearer k-1"] * 2, DOUBLED, id="same key twice"),
        pytest.param([b"Bearer k-1", b""], DOUBLED, id="second one empty"),
        pytest.param([b"Bearer K-1"], UNKNOWN, id="key in upper case"),
        pytest.param([b"Bearer k-1,k-1"], UNKNOWN, id="joined by a proxy"),
    ],
)
def test_only_one_well_formed_known_key_identifies_a_workspace(
    authorization: list[bytes], expected: Workspace | RejectionReason
) -> None:
    """Guards against a request that runs for a workspace without its key."""
    found = identify(authorization, False, TABLE)
    reason = found.reason if isinstance(found, Rejected) else found
    assert reason == expected
    assert identify(authorization, True, TABLE) == Anonymous()
    assert identify(authorization, False, WorkspaceTable()) == Anonymous()


@pytest.mark.parametrize(
    ("workspace", "expected"),
    [
        pytest.param(None, {5}, id="no workspace"),
        pytest.param(Workspace("a"), {5}, id="no priority"),
        pytest.param(Workspace("a", priority=0), {5}, id="first priority"),
        pytest.param(Workspace("a", priority=2), {5, 2007}, id="a later one"),
    ],
)
def test_workspace_priority_precedes_route_priority(
    workspace: Workspace | None, expected: set[int]
) -> None:
    """Guards against calls of running work that wait behind their parents."""
    ids = [f"r-{index}" for index in range(200)]
    assert {request_rank(workspace, 5, item) for item in ids} == expected


@pytest.mark.parametrize("seed", [0, 1, 2**64 - 1])
def test_a_fixed_share_of_a_late_workspace_is_ranked_first(seed: int) -> None:
    """Guards against a workspace that starves under a lasting shortage."""
    ranks = [request_rank(ACME, 3, f"r-{i}", seed) for i in range(20_000)]
    assert ranks == [
        request_rank(ACME, 3, f"r-{i}", seed) for i in range(20_000)
    ]
    assert ranks.count(3) / len(ranks) == pytest.approx(
        LOTTERY_FRACTION, abs=0.02
    )


def test_counts_never_fall_and_names_are_bounded() -> None:
    """Guards against an unbounded metrics page and counters that go back."""
    counts, previous = UsageCounts(), {OTHER: 0}
    for step in range(1000):
        for name in ["large"] * 50 + [f"w-{step}", f"w-{step // 2}"]:
            counts.add(name)
        counts.report(f"w-{step // 10}")
        reading = counts.reading()
        assert all(reading[name] >= previous[name] for name in previous)
        previous = reading
    assert sum(previous.values()) == 1000 * 52
    assert len(previous) == MAX_NAMES + 1
    assert previous["large"] > 900 * 50
