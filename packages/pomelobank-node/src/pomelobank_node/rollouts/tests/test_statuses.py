"""Which state of a roll-out is stored, by several writing nodes."""

import asyncio

import attrs
import pytest

from pomelobank_core import MemberTable
from pomelobank_core.rollouts import Rollouts
from pomelobank_node._log import LogError, LogErrorKind
from pomelobank_node._log_era import LogEra
from pomelobank_node.rollouts import StatusWriter, StoredStatuses
from pomelobank_schema.generated.peer import MemberEntry
from pomelobank_schema.generated.records import RolloutRecord

RUNNING = RolloutRecord(
    upstream="stock", revision="v2", position=7, era=1, state="running"
)
REVERTED = attrs.evolve(RUNNING, state="reverted")
COMPLETING = attrs.evolve(RUNNING, state="completing")
COMPLETED = attrs.evolve(RUNNING, state="completed")
LATER = attrs.evolve(RUNNING, revision="v3", position=9)


@attrs.define(eq=False)
class FakeStatuses:
    """A store of statuses.

    Attributes:
        newest: Newest status by upstream.
        end: Position after the newest status.
        failures: Number of calls that fail from now on.
        intruder: A status that another node writes before the next write.
    """

    newest: dict[str, RolloutRecord] = attrs.field(factory=dict)
    end: int = 0
    failures: int = 0
    intruder: RolloutRecord | None = None

    async def read_statuses(self) -> StoredStatuses:
        if self.failures:
            self.failures -= 1
            raise LogError(LogErrorKind.REJECTED, "away")
        return StoredStatuses(list(self.newest.values()), self.end)

    async def write_status(self, rollout: RolloutRecord, end: int) -> None:
        if self.intruder is not None:
            self._write(self.intruder)
            self.intruder = None
        if end != self.end:
            raise LogError(LogErrorKind.REJECTED, "412")
        self._write(rollout)

    def _write(self, rollout: RolloutRecord) -> None:
        self.newest[rollout.upstream] = rollout
        self.end += 1


def _writer(store: FakeStatuses, *known: RolloutRecord) -> StatusWriter:
    rollouts = Rollouts()
    rollouts.add_all(known)
    table = MemberTable(MemberEntry(node="n"))
    writer = StatusWriter(table, rollouts, store, LogEra(1))
    writer.due.set()
    return writer


@pytest.mark.parametrize(
    ("stored", "known", "expected"),
    [
        pytest.param(None, RUNNING, RUNNING, id="first status"),
        pytest.param(RUNNING, REVERTED, REVERTED, id="later state"),
        pytest.param(REVERTED, RUNNING, REVERTED, id="earlier state"),
        pytest.param(RUNNING, COMPLETING, COMPLETED, id="completion"),
        pytest.param(REVERTED, COMPLETING, REVERTED, id="completion too late"),
        pytest.param(COMPLETED, REVERTED, COMPLETED, id="roll-back too late"),
        pytest.param(REVERTED, LATER, LATER, id="newer roll-out"),
        pytest.param(LATER, REVERTED, LATER, id="older roll-out"),
    ],
)
async def test_status_is_replaced_only_by_a_later_one(
    stored: RolloutRecord | None, known: RolloutRecord, expected: RolloutRecord
) -> None:
    """Guards against a late node that hides a verdict from the operator."""
    store = FakeStatuses()
    if stored is not None:
        store.newest[stored.upstream] = stored
    writer = _writer(store, known)
    learned = await writer.store_when_due()
    assert store.newest["stock"] == expected
    assert writer.is_stored
    before = [] if stored is None else [stored]
    assert learned == before + [expected] * (expected != stored)


async def test_status_written_between_read_and_write_is_kept() -> None:
    """Guards against two nodes that write at the same time."""
    store = FakeStatuses(intruder=REVERTED)
    writer = _writer(store, RUNNING)
    await writer.store_when_due()
    assert store.newest["stock"] == REVERTED


async def test_failed_calls_are_repeated_until_the_store_is_back() -> None:
    """Guards against a verdict that an outage of the store swallows."""
    store = FakeStatuses(failures=3)
    await _writer(store, REVERTED).store_when_due()
    assert store.newest["stock"] == REVERTED


async def test_status_is_stored_again_in_a_new_era() -> None:
    """Guards against a store that came back without the roll-back."""
    store = FakeStatuses()
    writer = _writer(store, REVERTED)
    await writer.store_when_due()
    store.newest.clear()
    writer.era.advance(2)
    async with asyncio.timeout(5):
        await writer.store_when_due()
    assert store.newest["stock"] == REVERTED


async def test_peers_need_not_look_at_what_is_stored() -> None:
    store = FakeStatuses(failures=1000)
    writer = _writer(store, REVERTED)
    writer.on_stored(writer.rollouts.digest)
    assert await writer.store_when_due() == []
    assert store.failures == 1000
