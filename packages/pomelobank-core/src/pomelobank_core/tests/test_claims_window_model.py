"""Model of the window of a key with trimming and readers that start late.

The window of a key is the time after a claim during which the key cannot be
claimed again.

Two nodes claim one key. The first node has read the stream from its beginning
and also appends for other keys. The second node may restart at any time and
then reads from the oldest record that the log retains. The log may trim a
record of any age, also a record whose key is still inside its window. Both
nodes may lag. A node runs each of its claims that wins, unless the node
restarted after it made the claim.
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
# Bound of the search. minicheck reports a search that meets the bound as
# unfinished, and the test then fails.
MAX_STATES = 200_000


@attrs.frozen(cache_hash=True)
class Reader:
    """A node that reads the stream.

    Attributes:
        begin: Offset at which the node started to read.
        read: Offset that the node reads next.
        claims: Number of claims that the node has appended.
        caught_up: Whether the node has reached the end of the stream since it
            started. The node appends nothing before, and may lag afterwards.
        began_ms: When the node started to read.
        abandoned: The node abandoned its claims up to this number.
    """

    begin: int = 0
    read: int = 0
    claims: int = 0
    caught_up: bool = True
    began_ms: int = 0
    abandoned: int = 0


@attrs.frozen(cache_hash=True)
class SystemState:
    """State of the whole model.

    Attributes:
        now_ms: The time; all nodes have the same clock.
        first: Oldest offset in the log.
        log: All records ever appended, by their number in the model.
        readers: The nodes.
        runs: Offsets of the records whose claims won and ran.
    """

    now_ms: int = 1
    first: int = 0
    log: tuple[int, ...] = ()
    readers: tuple[Reader, ...] = (Reader(), Reader())
    runs: tuple[int, ...] = ()

    def reader(self, index: int, reader: Reader) -> "SystemState":
        readers = list(self.readers)
        readers[index] = reader
        return attrs.evolve(self, readers=tuple(readers))


class IgnoresTrimming(ClaimTable):
    """Mutation: every key is new to a reader that starts after trimming."""

    def window_wait_ms(self, now_ms: int) -> int:
        return 0


class EvictsEarly(ClaimTable):
    """Mutation: a key is evicted before its window has passed."""

    def _evict_expired(self) -> None:
        for key, claim in list(self.claims.items()):
            if claim.expires_ms - 1 <= self.stream_time_ms:
                del self.claims[key]


class TrustsLaggingWriters(ClaimTable):
    """Mutation: the first record's writer counts as having read all."""

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
        self, system: SystemState, reader: Reader
    ) -> tuple[ClaimTable, list[Any]]:
        numbers = system.log[reader.begin : reader.read]
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

    def transitions(self, state: tuple[SystemState]) -> list[tuple[str, Any]]:
        # One counterexample suffices, so the search ends after it.
        if self.broken:
            return []
        system = state[0]
        steps = []
        if system.now_ms < LAST_MS:
            later = attrs.evolve(system, now_ms=system.now_ms + 1)
            steps.append(("time passes", later))
        if system.first < len(system.log):
            trimmed = attrs.evolve(system, first=system.first + 1)
            # The log keeps one record, because a reader cannot detect that a
            # stream was trimmed if no record is left.
            if trimmed.first < len(system.log):
                steps.append(("the log trims", trimmed))
        for index, reader in enumerate(system.readers):
            steps += self.reader_steps(system, index, reader)
        return [(label, (after,)) for label, after in steps]

    def reader_steps(
        self, system: SystemState, index: int, reader: Reader
    ) -> list[tuple[str, SystemState]]:
        steps = []
        restarted = Reader(
            begin=system.first,
            read=system.first,
            claims=reader.claims,
            caught_up=False,
            began_ms=system.now_ms,
            abandoned=self.abandoned(reader),
        )
        if index and reader.begin < system.first:
            after_restart = system.reader(index, restarted)
            steps.append((f"{index} restarts at {system.first}", after_restart))
        if system.first <= reader.read < len(system.log):
            steps.append((f"{index} reads", self.read(system, index, reader)))
        log_has_capacity = len(system.log) < MAX_RECORDS
        if reader.caught_up and log_has_capacity:
            after_claim = self.claim(system, index, reader)
            if after_claim is not None:
                steps.append((f"{index} claims", after_claim))
            if not index:
                after_append = self.append(system, index, reader)
                steps.append((f"{index} appends for another key", after_append))
        return steps

    def read(
        self, system: SystemState, index: int, reader: Reader
    ) -> SystemState:
        caught_up = reader.caught_up or reader.read + 1 == len(system.log)
        moved = attrs.evolve(reader, read=reader.read + 1, caught_up=caught_up)
        _, events = self.replay(system, moved)
        won = any(
            isinstance(event, ClaimSeen)
            and event.won
            and event.claim_id.writer == str(index)
            and event.claim_id.number > reader.abandoned
            for event in events
        )
        # A claim runs once; if the node reads the claim again, no attempt is
        # pending.
        runs = system.runs
        if won and reader.read not in runs:
            runs = (*runs, reader.read)
        return attrs.evolve(system.reader(index, moved), runs=runs)

    def claim(
        self, system: SystemState, index: int, reader: Reader
    ) -> SystemState | None:
        table, _ = self.replay(system, reader)
        is_free = table.find(KEY, system.now_ms) is None
        if not is_free or table.window_wait_ms(system.now_ms):
            return None
        number = reader.claims + 1
        entry = ClaimEntry(key=KEY, number=number)
        after = self.append(system, index, reader, entry)
        return after.reader(index, attrs.evolve(reader, claims=number))

    def append(
        self,
        system: SystemState,
        index: int,
        reader: Reader,
        *entries: ClaimEntry,
    ) -> SystemState:
        table, _ = self.replay(system, reader)
        batch = ClaimBatch(
            writer=str(index),
            at_ms=max(system.now_ms, table.stream_time_ms),
            previous_at_ms=table.stream_time_ms,
            seen_offset=table.next_offset,
            window_ms=WINDOW_MS,
            claims=entries,
        )
        return attrs.evolve(system, log=(*system.log, self.number(batch)))

    def runs_are_a_window_apart(self, state: dict[str, SystemState]) -> bool:
        system = state["system"]
        times = sorted(
            self.by_number[system.log[offset]].at_ms for offset in system.runs
        )
        found = all(
            later - earlier >= WINDOW_MS
            for earlier, later in itertools.pairwise(times)
        )
        self.broken = self.broken or not found
        return found


class RunsAfterRestart(WindowModel):
    """Mutation: a claim that was pending at a restart may still run."""

    def abandoned(self, reader: Reader) -> int:
        return 0


def check(model: WindowModel) -> dict[str, Any]:
    protocol = Protocol(
        name="window",
        candidate=False,
        fields=("system",),
        initial=(SystemState(),),
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
        pytest.param(WindowModel(IgnoresTrimming), id="ignores-trimming"),
        pytest.param(WindowModel(EvictsEarly), id="evicts-early"),
        pytest.param(
            WindowModel(TrustsLaggingWriters), id="trusts-lagging-writers"
        ),
        pytest.param(RunsAfterRestart(ClaimTable), id="runs-after-restart"),
    ],
)
def test_each_rule_of_the_window_is_needed(model: WindowModel) -> None:
    """Without one of the rules, the search finds two runs in one window."""
    result = check(model)["properties"]["runs_are_a_window_apart"]
    assert result["holds"] is False
