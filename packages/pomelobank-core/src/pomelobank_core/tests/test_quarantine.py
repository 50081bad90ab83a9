"""Suspicions, acquittals and quarantines of requests that crash targets."""

from hypothesis import given
from hypothesis import strategies as st

from pomelobank_core import (
    POINTS_NODE_LOST,
    POINTS_TARGET_LOST,
    Evidence,
    QuarantineState,
    QuarantineTable,
    fingerprint,
)
from pomelobank_core._quarantine import MAX_ENTRIES

BAD = fingerprint("stock", "GET", b"/stock/bad", b"")
GOOD = fingerprint("stock", "GET", b"/stock/1", b"")


def _crash(table: QuarantineTable, *prints: bytes, now_ms: float) -> None:
    alone = len(prints) == 1
    for item in prints:
        table.add(Evidence(item, POINTS_TARGET_LOST, alone), now_ms)


def test_crash_then_crash_alone() -> None:
    """One look-up crashes a target, takes a good one down with it, comes back.

    Both run alone next; the good one is cleared by that and the bad one is
    stopped. Without the second step a customer's look-up would be refused for
    a minute because of what ran beside it.
    """
    table = QuarantineTable()
    _crash(table, BAD, GOOD, now_ms=0)
    assert table.state(BAD, 1) is QuarantineState.SUSPECT
    assert table.state(GOOD, 1) is QuarantineState.SUSPECT
    table.add(Evidence(GOOD, cleared=True), 20)
    _crash(table, BAD, now_ms=30)
    assert table.state(GOOD, 31) is QuarantineState.CLEAR
    assert table.state(BAD, 31) is QuarantineState.QUARANTINED
    assert table.retry_after_ms(BAD, 31) == 59_999


def test_killed_target_with_one_request() -> None:
    """An operator kills a target that runs one request; that proves nothing."""
    table = QuarantineTable()
    _crash(table, GOOD, now_ms=0)
    assert table.state(GOOD, 1) is QuarantineState.SUSPECT


def test_each_further_crash_doubles_the_time() -> None:
    table = QuarantineTable()
    _crash(table, BAD, now_ms=0)
    _crash(table, BAD, now_ms=1)
    assert table.state(BAD, 60_002) is QuarantineState.SUSPECT
    _crash(table, BAD, now_ms=60_002)
    assert table.state(BAD, 60_002 + 119_000) is QuarantineState.QUARANTINED


def test_herd_of_nodes_suspects_nobody_at_once() -> None:
    """A rack of nodes loses its power with hundreds of requests in flight."""
    table = QuarantineTable()
    table.add(Evidence(GOOD, POINTS_NODE_LOST), 0)
    assert table.state(GOOD, 1) is QuarantineState.CLEAR
    table.add(Evidence(GOOD, POINTS_NODE_LOST), 2)
    assert table.state(GOOD, 3) is QuarantineState.SUSPECT


def test_never_alone_yet_stopped() -> None:
    """Resends crash targets in company, faster than the news travels."""
    table = QuarantineTable()
    for now_ms in (0, 1, 2):
        _crash(table, BAD, GOOD, now_ms=now_ms)
    assert table.state(BAD, 3) is QuarantineState.QUARANTINED


def test_end_elsewhere_does_not_lift_a_quarantine() -> None:
    table = QuarantineTable()
    _crash(table, BAD, now_ms=0)
    _crash(table, BAD, now_ms=1)
    table.add(Evidence(BAD, cleared=True), 2)
    assert table.state(BAD, 3) is QuarantineState.QUARANTINED


def test_suspicion_is_forgotten() -> None:
    table = QuarantineTable()
    _crash(table, GOOD, now_ms=0)
    assert table.state(GOOD, 600_000) is QuarantineState.CLEAR
    assert not table.entries


def test_parts_of_a_fingerprint_do_not_run_together() -> None:
    one = fingerprint("ab", "GET", b"/x", b"")
    other = fingerprint("a", "bGET", b"/x", b"")
    assert one != other


EVIDENCE = st.tuples(
    st.integers(0, 3000), st.integers(0, 2), st.booleans(), st.booleans()
)


@given(steps=st.lists(EVIDENCE, max_size=300))
def test_order_of_other_requests_does_not_matter(
    steps: list[tuple[int, int, bool, bool]],
) -> None:
    table = QuarantineTable()
    single = QuarantineTable()
    for number, points, alone, cleared in steps:
        item = Evidence(b"%d" % number, points, alone, cleared)
        table.add(item, 0)
        if number == 7:
            single.add(item, 0)
    assert len(table.entries) <= MAX_ENTRIES
    assert table.state(b"7", 1) is single.state(b"7", 1)
