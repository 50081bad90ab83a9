"""Model of the window: time passes, the log trims, readers begin late.

Two nodes claim one key. The first has read the stream from its beginning and
also appends for other keys; the second may begin again at the oldest record
that the log still keeps, whenever it likes. The log may trim a record of any
age, so also one whose key must still be remembered. Both may lag. Every claim
that a node sees win is run, unless the node began again since it made it.
"""

import functools
import itertools
from typing import Any

import attrs
import pytest
from minicheck import Protocol, check_safety

from pomelobank_core import ClaimEvent, ClaimSeen, ClaimTable
from pomelobank_schema.generated.records import ClaimBatch, ClaimEntry

KEY = b"k"
WINDOW_MS = 2
LAST_MS = 3
MAX_RECORDS = 3
# minicheck calls a search that meets this bound unfinished, and the test
# fails.
MAX_STATES = 200_000


@attrs.frozen(cache_hash=True)
class Reader:
    """A node: the first record it has read and how far it has come.

    Attributes:
        begin: Offset at which it began to read.
        read: Offset that it reads next.
        claims: Claims that it has appended.
        caught_up: Whether it reached the end since it began; before that it
            appends nothing, afterwards it may lag.
        began_ms: When it began.
        abandoned: Its claims up to this number were given up.
    """

    begin: int = 0
    read: int = 0
    claims: int = 0
    caught_up: bool = True
    began_ms: int = 0
    abandoned: int = 0


@attrs.frozen(cache_hash=True)
class World:
    """Everything there is.

    Attributes:
        now_ms: The time; the nodes' clocks agree.
        first: Oldest offset that the log keeps.
        log: All records ever appended, by their number in the model.
        readers: The nodes.
        runs: Offsets of the records whose claims were won and run.
    """

    now_ms: int = 1
    first: int = 0
    log: tuple[int, ...] = ()
    readers: tuple[Reader, ...] = (Reader(), Reader())
    runs: tuple[int, ...] = ()

    def reader(self, index: int, reader: Reader) -> "World":
        readers = list(self.readers)
        readers[index] = reader
        return attrs.evolve(self, readers=tuple(readers))


class ForgetsTrimming(ClaimTable):
    """Mutation: a reader that begins late takes every key for new."""

    def window_wait_ms(self, now_ms: int) -> int:
        return 0


class ForgetsEarly(ClaimTable):
    """Mutation: a key is forgotten before its window has passed."""

    def _evict_expired(self) -> None:
        for key, claim in list(self.claims.items()):
            if claim.expires_ms - 1 <= self.stream_time_ms:
                del self.claims[key]


class TrustsLaggards(ClaimTable):
    """Mutation: the first record's writer is taken to have read all."""

    def apply(self, offset: int, batch: ClaimBatch) -> list[ClaimEvent]:
        return super().apply(offset, attrs.evolve(batch, seen_offset=offset))


class WindowModel:
    """Builds the transitions for a table."""

    def __init__(self, table: type[ClaimTable]) -> None:
        self.table = table
        self.batches: dict[ClaimBatch, int] = {}
        self.by_number: list[ClaimBatch] = []
        self.replayed = functools.cache(self._replay)
        self.broken = False

    def number(self, batch: ClaimBatch) -> int:
        if batch not in self.batches:
            self.batches[batch] = len(self.by_number)
            self.by_number.append(batch)
        return self.batches[batch]

    def abandoned(self, reader: Reader) -> int:
        return reader.claims

    def replay(
        self, world: World, reader: Reader
    ) -> tuple[ClaimTable, list[Any]]:
        numbers = world.log[reader.begin : reader.read]
        return self.replayed(reader.begin, reader.began_ms, numbers)

    def _replay(
        self, begin: int, began_ms: int, numbers: tuple[int, ...]
    ) -> tuple[ClaimTable, list[Any]]:
        table = self.table()
        table.reset(begin, began_ms)
        events: list[Any] = []
        for number in numbers:
            events = table.apply(table.next_offset, self.by_number[number])
        return table, events

    def transitions(self, state: tuple[World]) -> list[tuple[str, Any]]:
        # One counterexample is enough: nothing is searched after it.
        if self.broken:
            return []
        world = state[0]
        steps = []
        if world.now_ms < LAST_MS:
            later = attrs.evolve(world, now_ms=world.now_ms + 1)
            steps.append(("time passes", later))
        if world.first < len(world.log):
            trimmed = attrs.evolve(world, first=world.first + 1)
            # A stream trimmed to nothing tells no reader that it was.
            if trimmed.first < len(world.log):
                steps.append(("the log trims", trimmed))
        for index, reader in enumerate(world.readers):
            steps += self.reader_steps(world, index, reader)
        return [(label, (after,)) for label, after in steps]

    def reader_steps(
        self, world: World, index: int, reader: Reader
    ) -> list[tuple[str, World]]:
        steps = []
        fresh = Reader(
            begin=world.first,
            read=world.first,
            claims=reader.claims,
            caught_up=False,
            began_ms=world.now_ms,
            abandoned=self.abandoned(reader),
        )
        if index and reader.begin < world.first:
            again = world.reader(index, fresh)
            steps.append((f"{index} begins at {world.first}", again))
        if world.first <= reader.read < len(world.log):
            steps.append((f"{index} reads", self.read(world, index, reader)))
        room = len(world.log) < MAX_RECORDS
        if reader.caught_up and room:
            claimed = self.claim(world, index, reader)
            if claimed is not None:
                steps.append((f"{index} claims", claimed))
            if not index:
                other = self.append(world, index, reader)
                steps.append((f"{index} appends for another key", other))
        return steps

    def read(self, world: World, index: int, reader: Reader) -> World:
        caught_up = reader.caught_up or reader.read + 1 == len(world.log)
        moved = attrs.evolve(reader, read=reader.read + 1, caught_up=caught_up)
        _, events = self.replay(world, moved)
        won = any(
            isinstance(event, ClaimSeen)
            and event.won
            and event.claim_id.writer == str(index)
            and event.claim_id.number > reader.abandoned
            for event in events
        )
        # A claim runs once; a later reading of it finds no attempt.
        runs = world.runs
        if won and reader.read not in runs:
            runs = (*runs, reader.read)
        return attrs.evolve(world.reader(index, moved), runs=runs)

    def claim(self, world: World, index: int, reader: Reader) -> World | None:
        table, _ = self.replay(world, reader)
        free = table.find(KEY, world.now_ms) is None
        if not free or table.window_wait_ms(world.now_ms):
            return None
        number = reader.claims + 1
        entry = ClaimEntry(key=KEY, number=number)
        after = self.append(world, index, reader, entry)
        return after.reader(index, attrs.evolve(reader, claims=number))

    def append(
        self, world: World, index: int, reader: Reader, *entries: ClaimEntry
    ) -> World:
        table, _ = self.replay(world, reader)
        batch = ClaimBatch(
            writer=str(index),
            at_ms=max(world.now_ms, table.stream_time_ms),
            previous_at_ms=table.stream_time_ms,
            seen_offset=table.next_offset,
            window_ms=WINDOW_MS,
            claims=entries,
        )
        return attrs.evolve(world, log=(*world.log, self.number(batch)))

    def runs_are_a_window_apart(self, state: dict[str, World]) -> bool:
        world = state["world"]
        times = sorted(
            self.by_number[world.log[offset]].at_ms for offset in world.runs
        )
        found = all(
            later - earlier >= WINDOW_MS
            for earlier, later in itertools.pairwise(times)
        )
        self.broken = self.broken or not found
        return found


class RunsAfterRestart(WindowModel):
    """Mutation: a claim that is pending at a restart may still run."""

    def abandoned(self, reader: Reader) -> int:
        return 0


def check(model: WindowModel) -> dict[str, Any]:
    protocol = Protocol(
        name="window",
        candidate=False,
        fields=("world",),
        initial=(World(),),
        transitions=model.transitions,
        invariants={"runs_are_a_window_apart": model.runs_are_a_window_apart},
    )
    found: dict[str, Any] = check_safety(protocol, max_states=MAX_STATES)
    return found


def test_runs_of_a_key_are_a_window_apart() -> None:
    found = check(WindowModel(ClaimTable))
    assert found["exhaustive"], found.get("incomplete_reason")
    assert found["reachable_states"] == 136_559
    result = found["properties"]["runs_are_a_window_apart"]
    assert result["counterexample"] is None


@pytest.mark.parametrize(
    "model",
    [
        pytest.param(WindowModel(ForgetsTrimming), id="forgets-trimming"),
        pytest.param(WindowModel(ForgetsEarly), id="forgets-early"),
        pytest.param(WindowModel(TrustsLaggards), id="trusts-laggards"),
        pytest.param(RunsAfterRestart(ClaimTable), id="runs-after-restart"),
    ],
)
def test_each_guard_of_the_window_is_needed(model: WindowModel) -> None:
    """One rule is taken away; the search finds two runs in one window."""
    result = check(model)["properties"]["runs_are_a_window_apart"]
    assert result["holds"] is False
