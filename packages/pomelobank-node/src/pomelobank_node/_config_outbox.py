"""What is still to be sent to one peer about the configuration."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from pomelobank_core import PullRecords, PushRecords, SendDigest
from pomelobank_node._requests import RequestError
from pomelobank_schema import SchemaError

_MS_PER_S = 1000
# A peer that was paused takes no bytes; its outbox gives up after this time,
# and the next digest finds out what it has missed.
SEND_TIMEOUT_S = 2.0

DistributionAction = PushRecords | SendDigest | PullRecords


@attrs.define(eq=False)
class Outbox:
    """Sends to one peer, in one task and with bounded memory.

    While a peer is slow, changes go on. Queued frames would grow without
    bound; so this keeps at most one action of each type and builds the frame
    when it is sent, from what is true then.

    Attributes:
        address: The peer's address.
        send: Builds and sends an action's frame.
        pending: What is still to be sent, by type.
        task: The sending task, None while there is nothing to send.
        failures: Frames that could not be sent.
    """

    address: str
    send: Callable[[str, DistributionAction], Awaitable[None]]
    pending: dict[type, DistributionAction] = attrs.field(factory=dict)
    task: asyncio.Task[None] | None = None
    failures: int = 0

    @property
    def busy(self) -> bool:
        """Whether something is being sent or waits."""
        return self.task is not None and not self.task.done()

    def put(self, action: DistributionAction) -> None:
        """Adds an action, merged with one of its type that still waits."""
        known = self.pending.get(type(action))
        if isinstance(known, PushRecords) and isinstance(action, PushRecords):
            lowest = min(known.from_version, action.from_version)
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
