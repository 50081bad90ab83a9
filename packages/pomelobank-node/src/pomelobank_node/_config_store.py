"""Holds the configuration in force and tells waiters when it moves."""

import asyncio
import logging

import attrs

from pomelobank_core import (
    ChangeVerdict,
    ConfigState,
    RouteTable,
    replay_change,
    skip_record,
)
from pomelobank_schema import SchemaError, SchemaErrorKind, decode
from pomelobank_schema.generated import records

_logger = logging.getLogger(__name__)


@attrs.define
class ConfigStore:
    """The node's one reference to the configuration.

    Readers take `state` and `routes` once per request; both are immutable and
    replaced together between two awaits, so nobody sees half a change.

    Attributes:
        state: What replay derived from the log so far.
        routes: The routes of that state, prepared for matching.
        blocked: Set once a record of an unknown kind stopped the replay.
        moved: Replaced and set at every move of the version.
        recent: Raw records by offset, kept for peers.
    """

    state: ConfigState = attrs.field(factory=ConfigState)
    routes: RouteTable = attrs.field(
        factory=lambda: RouteTable.of(ConfigState().snapshot)
    )
    blocked: bool = False
    moved: asyncio.Event = attrs.field(factory=asyncio.Event)
    recent: dict[int, bytes] = attrs.field(factory=dict)

    @property
    def version(self) -> int:
        """Version in force."""
        return self.state.snapshot.version

    def apply(self, offset: int, data: bytes) -> bool:
        """Applies one raw record; older and later ones are left alone.

        Args:
            offset: The record's offset.
            data: The record's bytes.

        Returns:
            Whether the record was the next one and was applied.
        """
        if offset != self.version or self.blocked:
            return False
        try:
            record = decode(data, records.KINDS)
        except SchemaError as error:
            return self._apply_unreadable(offset, data, error)
        if isinstance(record, records.ChangeRecord):
            self._swap(replay_change(self.state, offset, record), data)
        else:
            self._swap(skip_record(self.state, offset), data)
        return True

    def _apply_unreadable(
        self, offset: int, data: bytes, error: SchemaError
    ) -> bool:
        if error.kind is SchemaErrorKind.UNKNOWN_KIND:
            # A newer node wrote something whose meaning this one cannot know;
            # passing over it would make the two disagree from here on.
            self.blocked = True
            _logger.error("config.blocked", extra={"offset": offset})
            return False
        # Every node reads the same bytes with the same codec, so all pass over
        # this record alike.
        _logger.warning(
            "config.unreadable", extra={"offset": offset, "error": str(error)}
        )
        self._swap(skip_record(self.state, offset), data)
        return True

    def _swap(self, state: ConfigState, data: bytes) -> None:
        self.recent[self.version] = data
        if state.snapshot.objects is not self.state.snapshot.objects:
            self.routes = RouteTable.of(state.snapshot)
        self.state = state
        moved, self.moved = self.moved, asyncio.Event()
        moved.set()

    async def wait_for_change(self, change_id: str) -> ChangeVerdict:
        """Waits until a change was read back and returns its verdict."""
        while (verdict := self.state.verdicts.get(change_id)) is None:
            await self.moved.wait()
        return verdict
