"""The claims of a shard, replayed."""

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
    answer = None if error else StoredResponse(200, (), b"done")
    record = completion_record(b"a", number, error, answer, max_bytes=100)
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


def test_events_tell_the_writer_what_became_of_its_claim() -> None:
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
def test_trimmed_history_holds_new_keys_back(
    seen_offset: int, complete_from_ms: int
) -> None:
    """The log kept its records for less time than keys are remembered.

    A node that begins to read then knows nothing of the keys that were
    claimed in the missing part. A user would see an order lodged twice.
    """
    table = ClaimTable()
    table.reset(5, now_ms=800)
    first = attrs.evolve(
        claim("x", 6, at_ms=700), previous_at_ms=600, seen_offset=seen_offset
    )
    table.apply(5, first)
    assert table.window_wait_ms(now_ms=700) == complete_from_ms - 700
    assert table.window_wait_ms(now_ms=complete_from_ms) == 0


def test_full_table_refuses_rather_than_forgets() -> None:
    """More keys come in within the window than the node has memory for.

    Were the oldest dropped, its caller's next sending would run again.
    """
    table = replay(claim("x", 1, b"a"), claim("x", 2, b"b"))
    assert table.capacity_wait_ms(now_ms=1, limit=2) == WINDOW_MS
    assert table.capacity_wait_ms(now_ms=1, limit=3) == 0
    assert set(table.claims) == {b"a", b"b"}


def test_large_answers_stay_out_of_the_log() -> None:
    answer = StoredResponse(201, (), b"x" * 101)
    record = completion_record(b"a", 1, "", answer, max_bytes=100)
    assert (record.kept, record.status, record.body) == (False, 201, b"")


def test_a_node_that_goes_moves_only_its_own_shards() -> None:
    nodes = [f"node-{index}" for index in range(20)]
    for shard in range(SHARD_COUNT):
        first, second = rank_claimants(shard, nodes)[:2]
        left = [node for node in nodes if node != first]
        assert rank_claimants(shard, left)[0] == second


def test_keys_spread_over_all_shards() -> None:
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


def build(steps: list[tuple[str, str, int, bytes, int]]) -> list[ClaimBatch]:
    found = []
    now_ms = 0
    for kind, writer, number, key, passed_ms in steps:
        now_ms += passed_ms
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
        found.append(batch)
    return found


@given(batches)
def test_nobody_takes_a_held_key_over(
    steps: list[tuple[str, str, int, bytes, int]],
) -> None:
    table = ClaimTable()
    for offset, batch in enumerate(build(steps)):
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
def test_readers_that_begin_after_trimming_agree(
    steps: list[tuple[str, str, int, bytes, int]], cut: int
) -> None:
    """Two nodes serve a shard; one of them began to read after trimming.

    Where the trimmed records are older than the window, both must see the
    same holders, or each could run the same request.
    """
    records = build(steps)
    whole = replay(*records)
    cut = min(cut, len(records))
    left = records[cut:]
    if not left or records[cut - 1].at_ms + WINDOW_MS > left[0].at_ms:
        return
    late = ClaimTable()
    late.reset(cut, now_ms=0)
    for batch in left:
        late.apply(late.next_offset, batch)
    for key in KEYS:
        assert late.find(key, 0) == whole.find(key, 0)
