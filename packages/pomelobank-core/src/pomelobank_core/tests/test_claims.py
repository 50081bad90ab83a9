"""Tests of the replay of a shard's claims."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomelobank_core import (
    SHARD_COUNT,
    Claim,
    ClaimEnded,
    ClaimId,
    ClaimSeen,
    ClaimStatus,
    ClaimTable,
    StoredResponse,
    claim_key,
    completion_record,
    rank_claimants,
    shard_of,
)
from pomelobank_schema.generated.records import (
    ClaimBatch,
    ClaimCompletion,
    ClaimEntry,
    ClaimRelease,
)

WINDOW_MS = 1000
KEYS = [b"a", b"b"]


def claim(
    writer: str, number: int, key: bytes = b"a", at_ms: int = 1
) -> ClaimBatch:
    entry = ClaimEntry(key=key, number=number, request=b"r", remaining_ms=100)
    return ClaimBatch(
        writer=writer, at_ms=at_ms, window_ms=WINDOW_MS, claims=(entry,)
    )


def release(writer: str, number: int, key: bytes = b"a") -> ClaimBatch:
    record = ClaimRelease(key=key, number=number)
    return ClaimBatch(
        writer=writer, at_ms=1, window_ms=WINDOW_MS, releases=(record,)
    )


def complete(writer: str, number: int, error: str = "") -> ClaimBatch:
    response = None if error else StoredResponse(200, (), b"done")
    record = completion_record(b"a", number, error, response, max_bytes=100)
    return ClaimBatch(
        writer=writer, at_ms=1, window_ms=WINDOW_MS, completions=(record,)
    )


def replay(*batches: ClaimBatch) -> ClaimTable:
    table = ClaimTable()
    for batch in batches:
        table.apply(table.next_offset, batch)
    return table


def holder(table: ClaimTable, key: bytes = b"a") -> ClaimId | None:
    found = table.find(key, 0)
    return found.claim_id if found else None


@pytest.mark.parametrize(
    ("batches", "expected"),
    [
        pytest.param([claim("x", 1)], ("x", 1), id="first"),
        pytest.param([claim("x", 1), claim("y", 1)], ("x", 1), id="race"),
        pytest.param([claim("x", 1), release("x", 1)], None, id="released"),
        pytest.param(
            [claim("x", 1), release("y", 1)], ("x", 1), id="not-the-holder"
        ),
        pytest.param(
            [claim("x", 1), release("x", 1), claim("x", 2), release("x", 1)],
            ("x", 2),
            id="release-of-an-earlier-claim",
        ),
        pytest.param(
            [claim("x", 1), complete("x", 1), release("x", 1)],
            ("x", 1),
            id="no-release-after-the-run",
        ),
        pytest.param(
            [claim("x", 1), claim("y", 1, at_ms=1 + WINDOW_MS)],
            ("y", 1),
            id="past-the-window",
        ),
        pytest.param(
            [claim("x", 1), claim("y", 1, at_ms=WINDOW_MS)],
            ("x", 1),
            id="end-of-the-window",
        ),
    ],
)
def test_holder(
    batches: list[ClaimBatch], expected: tuple[str, int] | None
) -> None:
    found = holder(replay(*batches))
    assert (found and (found.writer, found.number)) == expected


def test_events_report_the_outcome_of_a_claim_to_its_writer() -> None:
    table = ClaimTable()
    assert table.apply(0, claim("x", 1)) == [
        ClaimSeen(ClaimId("x", 1), b"a", won=True)
    ]
    assert table.apply(1, claim("y", 1)) == [
        ClaimSeen(ClaimId("y", 1), b"a", won=False)
    ]
    assert table.apply(2, complete("x", 1)) == [
        ClaimEnded(b"a", StoredResponse(200, (), b"done"))
    ]
    found = table.find(b"a", 0)
    assert found and found.status is ClaimStatus.ANSWERED


def test_records_are_applied_in_order_only() -> None:
    with pytest.raises(ValueError, match="offset 1 is not 0"):
        ClaimTable().apply(1, claim("x", 1))


@pytest.mark.parametrize(
    ("seen_offset", "complete_from_ms"),
    [
        pytest.param(5, 600 + WINDOW_MS, id="its-writer-had-read-all"),
        pytest.param(4, 800 + WINDOW_MS, id="its-writer-lagged"),
    ],
)
def test_new_keys_wait_after_trimming(
    seen_offset: int, complete_from_ms: int
) -> None:
    """The log retains its records for less time than the window of the keys.

    A node that starts to read does not know the keys that were claimed in the
    trimmed records. Without the wait, a request could run twice, for example
    an order would be placed twice.
    """
    table = ClaimTable()
    table.reset(5, now_ms=800)
    first = attrs.evolve(
        claim("x", 6, at_ms=700), previous_at_ms=600, seen_offset=seen_offset
    )
    table.apply(5, first)
    assert table.window_wait_ms(now_ms=700) == complete_from_ms - 700
    assert table.window_wait_ms(now_ms=complete_from_ms) == 0


def test_a_full_table_rejects_new_keys_instead_of_evicting_keys() -> None:
    """More keys arrive within the window than the table may hold.

    If the table evicted the oldest key, a retry of its caller would run the
    request again.
    """
    table = replay(claim("x", 1, b"a"), claim("x", 2, b"b"))
    assert table.capacity_wait_ms(now_ms=1, limit=2) == WINDOW_MS
    assert table.capacity_wait_ms(now_ms=1, limit=3) == 0
    assert set(table.claims) == {b"a", b"b"}


def test_large_responses_are_not_written_to_the_log() -> None:
    response = StoredResponse(201, (), b"x" * 101)
    record = completion_record(b"a", 1, "", response, max_bytes=100)
    assert (record.kept, record.status, record.body) == (False, 201, b"")


def test_only_the_shards_of_a_leaving_node_move() -> None:
    nodes = [f"node-{index}" for index in range(20)]
    for shard in range(SHARD_COUNT):
        first, second = rank_claimants(shard, nodes)[:2]
        remaining = [node for node in nodes if node != first]
        assert rank_claimants(shard, remaining)[0] == second


def test_keys_are_distributed_over_all_shards() -> None:
    shards = {shard_of(claim_key(f"s\n{index}")) for index in range(500)}
    assert shards == set(range(SHARD_COUNT))


batches = st.lists(
    st.tuples(
        st.sampled_from(["claim", "release", "complete", "lost"]),
        st.sampled_from(["x", "y"]),
        st.integers(1, 3),
        st.sampled_from(KEYS),
        st.integers(0, 700),
    ),
    max_size=20,
)


def build_batches(
    steps: list[tuple[str, str, int, bytes, int]],
) -> list[ClaimBatch]:
    built = []
    now_ms = 0
    for kind, writer, number, key, elapsed_ms in steps:
        now_ms += elapsed_ms
        batch = ClaimBatch(writer=writer, at_ms=now_ms, window_ms=WINDOW_MS)
        if kind == "claim":
            batch = claim(writer, number, key, now_ms)
        if kind == "release":
            record = ClaimRelease(key=key, number=number)
            batch = attrs.evolve(batch, releases=(record,))
        if kind in ("complete", "lost"):
            error = "upstream_lost" if kind == "lost" else ""
            done = ClaimCompletion(key=key, number=number, error=error)
            batch = attrs.evolve(batch, completions=(done,))
        built.append(batch)
    return built


@given(batches)
def test_no_other_claim_takes_over_a_held_key(
    steps: list[tuple[str, str, int, bytes, int]],
) -> None:
    table = ClaimTable()
    for offset, batch in enumerate(build_batches(steps)):
        before = dict(table.claims)
        table.apply(offset, batch)
        for key, held in before.items():
            if held.expires_ms <= table.stream_time_ms:
                continue
            after = table.claims.get(key)
            released = _released(batch, key, held)
            assert released or (after and after.claim_id == held.claim_id)
            assert not (released and held.status is not ClaimStatus.HELD)


def _released(batch: ClaimBatch, key: bytes, held: Claim) -> bool:
    return held.status is ClaimStatus.HELD and any(
        held.claim_id == ClaimId(batch.writer, item.number) and item.key == key
        for item in batch.releases
    )


@given(batches, st.integers(0, 20))
def test_readers_that_start_after_trimming_agree(
    steps: list[tuple[str, str, int, bytes, int]], trimmed: int
) -> None:
    """Two nodes serve a shard, and one node started to read after trimming.

    If the trimmed records are older than the window, both nodes must see the
    same holders; otherwise each node could run the same request.
    """
    records = build_batches(steps)
    complete_table = replay(*records)
    trimmed = min(trimmed, len(records))
    retained = records[trimmed:]
    if (
        not retained
        or records[trimmed - 1].at_ms + WINDOW_MS > retained[0].at_ms
    ):
        return
    late_reader = ClaimTable()
    late_reader.reset(trimmed, now_ms=0)
    for batch in retained:
        late_reader.apply(late_reader.next_offset, batch)
    for key in KEYS:
        assert late_reader.find(key, 0) == complete_table.find(key, 0)
