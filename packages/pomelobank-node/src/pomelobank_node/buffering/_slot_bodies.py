"""Bodies of requests and responses that hold a slot of the target."""

import contextlib
from collections.abc import Iterator

import attrs

from pomelobank_core import ErrorKind
from pomelobank_core.buffering import BodyPace, CloseReason
from pomelobank_node._bodies import (
    BodyBuffer,
    BodySource,
    BodyWithEndCallback,
)
from pomelobank_node.buffering._manager import BufferManager

_LISTENER = "target"


@attrs.define(eq=False)
class PacedUpload:
    """A request's body whose sender is measured while the target reads it.

    Attributes:
        source: The body.
        bodies: The bodies that this one belongs to.
        pace: Pace of the sender.
        started: Whether a part of the body was read.
    """

    source: BodyBuffer
    bodies: "SlotBodies"
    pace: BodyPace
    started: bool = False

    async def read(self) -> bytes:
        """Returns the next part, empty at the end.

        Raises:
            RequestError: If the body ended early.
        """
        self.started = True
        self.pace.on_wait(self.bodies.now_ms())
        data = await self.source.read()
        self.pace.on_part(len(data), self.bodies.now_ms())
        return data

    def close(self) -> None:
        """Discards the unread parts."""
        self.source.close()

    def end(self) -> None:
        """Breaks the body off, which closes the target's connection."""
        self.bodies.buffers.record(CloseReason.BODY_STALLED, _LISTENER, "")
        self.source.fail(ErrorKind.BODY_STALLED)


@attrs.define(eq=False)
class PacedDownload:
    """A response's body whose reader is measured while it holds the slot.

    Attributes:
        source: The body, whose end releases the slot.
        bodies: The bodies that this one belongs to.
        pace: Pace of the reader.
        size: Size of the part that the reader has got last.
        started: Whether a part of the body was read.
    """

    source: BodyWithEndCallback
    bodies: "SlotBodies"
    pace: BodyPace
    size: int = 0
    started: bool = False

    async def read(self) -> bytes:
        """Returns the next part, empty at the end.

        Raises:
            RequestError: If the body ended early.
        """
        self.started = True
        if self.pace.is_waiting:
            self.pace.on_part(self.size, self.bodies.now_ms())
        data = await self.source.read()
        self.size = len(data)
        self.pace.on_wait(self.bodies.now_ms())
        return data

    def close(self) -> None:
        """Discards the unread parts and ends the measurement."""
        self.bodies.running.discard(self)
        self.source.close()

    def end(self) -> None:
        """Breaks the body off and releases the slot."""
        self.bodies.buffers.record(CloseReason.RESPONSE_STALLED, _LISTENER, "")
        self.source.close()
        # The reader must not take the rest for complete.
        if isinstance(self.source.source, BodyBuffer):
            self.source.source.break_off(ErrorKind.ANSWER_TRUNCATED)


PacedBody = PacedUpload | PacedDownload


@attrs.define(eq=False)
class SlotBodies:
    """The bodies that are sent to and from the target.

    Attributes:
        buffers: Counts and logs the bodies that lose their slot.
        running: Bodies that hold a slot.
    """

    buffers: BufferManager
    running: set[PacedBody] = attrs.field(factory=set)

    def now_ms(self) -> int:
        """Returns the current time."""
        return self.buffers.clock.now_ms()

    @contextlib.contextmanager
    def uploading(self, source: BodySource) -> Iterator[BodySource]:
        """Measures a request's body until its response begins.

        Yields:
            The body to send to the target in its place.
        """
        if not isinstance(source, BodyBuffer):
            yield source
            return
        body = PacedUpload(source, self, self._new_pace())
        self.running.add(body)
        try:
            yield body
        finally:
            self.running.discard(body)

    def download(self, source: BodySource) -> BodySource:
        """Returns a response's body to pass on in its place."""
        if not isinstance(source, BodyWithEndCallback):
            return source
        body = PacedDownload(source, self, self._new_pace())
        self.running.add(body)
        return body

    def _new_pace(self) -> BodyPace:
        settings = self.buffers.settings
        return BodyPace(settings.min_rate_bytes_per_s, settings.max_pause_ms)

    def end_stalled(self) -> bool:
        """Ends the bodies that are stalled, because others want their slots.

        Returns:
            Whether a slot will become free.
        """
        now_ms = self.now_ms()
        stalled = [
            item for item in self.running if item.pace.is_stalled(now_ms)
        ]
        for body in stalled:
            self.running.discard(body)
            body.end()
        return bool(stalled)
