"""Outbox of configuration frames for one peer."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from pomelobank_core import PullRecords, PushRecords, SendDigest
from pomelobank_node._requests import RequestError
from pomelobank_schema import SchemaError

_MS_PER_S = 1000
# Limit of one send. A suspended peer reads no bytes, so the outbox drops the
# action after this time. The next digest shows the peer that it is behind.
SEND_TIMEOUT_S = 2.0

DistributionAction = PushRecords | SendDigest | PullRecords


@attrs.define(eq=False)
class Outbox:
    """Sends to one peer, with one task and bounded memory.

    Changes continue while a peer is slow. A queue of encoded frames would grow
    without bound, so the outbox keeps at most one action of each type and
    builds the frame at the time of sending, from the state at that time.

    Attributes:
        address: The peer's address.
        send: Builds and sends the frame of an action.
        pending: Actions not yet sent, by type.
        task: The sending task; None before the first action.
        failures: Actions that could not be sent.
    """

    address: str
    send: Callable[[str, DistributionAction], Awaitable[None]]
    pending: dict[type, DistributionAction] = attrs.field(factory=dict)
    task: asyncio.Task[None] | None = None
    failures: int = 0

    @property
    def busy(self) -> bool:
        """Whether an action is being sent or waits for it."""
        return self.task is not None and not self.task.done()

    def put(self, action: DistributionAction) -> None:
        """Queues an action, merged with a queued action of the same type."""
        queued = self.pending.get(type(action))
        if isinstance(queued, PushRecords) and isinstance(action, PushRecords):
            lowest = min(queued.from_version, action.from_version)
            action = PushRecords(self.address, lowest)
        self.pending[type(action)] = action
        if not self.busy:
            self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while self.pending:
            kind = next(iter(self.pending))
            action = self.pending[kind]
            if isinstance(action, PullRecords) and action.delay_ms:
                await asyncio.sleep(action.delay_ms / _MS_PER_S)
            action = self.pending.pop(kind)
            try:
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    await self.send(self.address, action)
            except (RequestError, SchemaError, OSError, TimeoutError):
                self.failures += 1
