"""Tests of suspicions and quarantines of requests that crash targets."""

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
from pomelobank_core._quarantine import MAX_ENTRIES, QUARANTINE_POINTS

FAULTY = fingerprint("stock", "GET", b"/stock/bad", b"")
HARMLESS = fingerprint("stock", "GET", b"/stock/1", b"")


def _add_crash(
    table: QuarantineTable, *fingerprints: bytes, now_ms: float
) -> None:
    alone = len(fingerprints) == 1
    for item in fingerprints:
        table.add(Evidence(item, POINTS_TARGET_LOST, alone), now_ms)


def test_second_crash_alone_causes_a_quarantine() -> None:
    """Guards against a quarantine of requests that ran beside a faulty one.

    One look-up crashes a target together with a harmless look-up, and both are
    retried. Both run alone next: the harmless look-up ends and is cleared, the
    faulty one crashes again and is quarantined. Without the isolated run the
    harmless look-up would be rejected for a minute.
    """
    table = QuarantineTable()
    _add_crash(table, FAULTY, HARMLESS, now_ms=0)
    assert table.state(FAULTY, 1) is QuarantineState.SUSPECT
    assert table.state(HARMLESS, 1) is QuarantineState.SUSPECT
    table.add(Evidence(HARMLESS, cleared=True), 20)
    _add_crash(table, FAULTY, now_ms=30)
    assert table.state(HARMLESS, 31) is QuarantineState.CLEAR
    assert table.state(FAULTY, 31) is QuarantineState.QUARANTINED
    assert table.retry_after_ms(FAULTY, 31) == 59_999


def test_a_killed_target_is_no_proof() -> None:
    """Guards against a quarantine after an operator kills a target.

    The target ran one request, which did not cause the crash.
    """
    table = QuarantineTable()
    _add_crash(table, HARMLESS, now_ms=0)
    assert table.state(HARMLESS, 1) is QuarantineState.SUSPECT


def test_each_further_crash_doubles_the_quarantine() -> None:
    """Guards against a faulty request that crashes a target every minute.

    The first quarantine lasts one minute. If every quarantine were as short,
    each retry after its end could crash a target.
    """
    table = QuarantineTable()
    _add_crash(table, FAULTY, now_ms=0)
    _add_crash(table, FAULTY, now_ms=1)
    assert table.state(FAULTY, 60_002) is QuarantineState.SUSPECT
    _add_crash(table, FAULTY, now_ms=60_002)
    assert table.state(FAULTY, 60_002 + 119_000) is QuarantineState.QUARANTINED


def test_one_lost_node_makes_no_suspect() -> None:
    """Guards against suspecting harmless requests when many nodes fail at once.

    When a rack loses its power, hundreds of requests each lose one node. One
    lost node must not make a request a suspect; a second one does.
    """
    table = QuarantineTable()
    table.add(Evidence(HARMLESS, POINTS_NODE_LOST), 0)
    assert table.state(HARMLESS, 1) is QuarantineState.CLEAR
    table.add(Evidence(HARMLESS, POINTS_NODE_LOST), 2)
    assert table.state(HARMLESS, 3) is QuarantineState.SUSPECT


def test_quarantine_without_an_isolated_run() -> None:
    """Guards against a faulty request that never runs alone.

    The request's retries start beside other requests before the evidence
    arrives.
    """
    table = QuarantineTable()
    for now_ms in (0, 1, 2):
        _add_crash(table, FAULTY, HARMLESS, now_ms=now_ms)
    assert table.state(FAULTY, 3) is QuarantineState.QUARANTINED


def test_a_normal_end_does_not_lift_a_quarantine() -> None:
    """Guards against a quarantine that a normal end elsewhere lifts.

    Two runs of the request crashed their targets; a third run ends normally.
    """
    table = QuarantineTable()
    _add_crash(table, FAULTY, now_ms=0)
    _add_crash(table, FAULTY, now_ms=1)
    table.add(Evidence(FAULTY, cleared=True), 2)
    assert table.state(FAULTY, 3) is QuarantineState.QUARANTINED


def test_suspicion_expires() -> None:
    """Guards against suspicions that keep a request isolated permanently."""
    table = QuarantineTable()
    _add_crash(table, HARMLESS, now_ms=0)
    assert table.state(HARMLESS, 600_000) is QuarantineState.CLEAR
    assert not table.entries


def test_fields_of_a_fingerprint_are_delimited() -> None:
    """Guards against equal fingerprints of different requests.

    Without delimiters, the fields of two requests may join to the same bytes. A
    quarantine of one request would then reject the other request.
    """
    first = fingerprint("ab", "GET", b"/x", b"")
    second = fingerprint("a", "bGET", b"/x", b"")
    assert first != second


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


def test_node_that_starts_gets_the_graver_suspicion() -> None:
    """Guards against a peer's weaker view that ends a quarantine."""
    grave, weak, started = (QuarantineTable() for _ in range(3))
    grave.add(Evidence(b"f", points=QUARANTINE_POINTS), 1000)
    weak.add(Evidence(b"f", points=1), 1000)
    for table in (weak, grave, weak):
        for entry in table.newest(2000, limit=10):
            started.merge(entry, 50_000)
    assert started.state(b"f", 50_000) is QuarantineState.QUARANTINED
    left_ms = grave.retry_after_ms(b"f", 2000)
    assert started.retry_after_ms(b"f", 50_000) == left_ms
