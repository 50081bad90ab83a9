"""Tests of a node's share of the mesh's retry budget."""

from hypothesis import given
from hypothesis import strategies as st

from pomelobank_core import MeshRetryBudget
from pomelobank_core._retry_budget import USABLE_FRACTION

RATIO = 0.2
SLACK = 60.0
WINDOW_MS = 10_000.0


def budget(node_count: int) -> MeshRetryBudget:
    return MeshRetryBudget(RATIO, SLACK, WINDOW_MS, lambda: node_count)


def test_all_nodes_together_keep_the_slack() -> None:
    """Guards against nodes that together exceed the mesh's retry budget.

    A target dies after a calm minute and every node retries at once. With a
    full token bucket on each node, an upstream with few requests would get
    several times the retries that its operator allows.
    """
    nodes = [budget(13) for _ in range(13)]
    allowed = sum(
        node_budget.try_acquire(60_000)
        for node_budget in nodes
        for _ in range(20)
    )
    assert 0 < allowed <= SLACK


def test_first_attempts_add_retries() -> None:
    """Guards against a share that does not grow with the node's requests."""
    node_budget = budget(1000)
    for _ in range(100):
        node_budget.on_first_attempt(0)
    assert sum(node_budget.try_acquire(0) for _ in range(100)) == int(
        USABLE_FRACTION * (RATIO * 100 + SLACK / 1000)
    )


def test_retries_are_available_again_after_the_window() -> None:
    """Guards against a spent budget that is never available again."""
    node_budget = budget(1)
    while node_budget.try_acquire(0):
        continue
    assert not node_budget.try_acquire(WINDOW_MS / 2)
    assert node_budget.try_acquire(1.2 * WINDOW_MS)


@given(
    st.lists(
        st.tuples(st.integers(0, 400), st.booleans()), min_size=1, max_size=300
    )
)
def test_no_span_of_the_window_holds_more(
    steps: list[tuple[int, bool]],
) -> None:
    item = budget(4)
    now_ms = 0
    firsts: list[int] = []
    spent: list[int] = []
    for pause_ms, is_first in steps:
        now_ms += pause_ms
        if is_first:
            item.on_first_attempt(now_ms)
            firsts.append(now_ms)
        elif item.try_acquire(now_ms):
            spent.append(now_ms)
    for begin_ms in spent:
        end_ms = begin_ms + WINDOW_MS
        in_span = sum(begin_ms <= at < end_ms for at in spent)
        # The window slides in tenths, so a first attempt may count for up to
        # one tenth of the window too long.
        earned = sum(
            begin_ms - 1.1 * WINDOW_MS <= at <= end_ms for at in firsts
        )
        assert in_span <= RATIO * earned + SLACK / 4
