"""Log output that never blocks the event loop."""

import os
import select
from collections import deque

import attrs

# A pipe that polls as writable accepts this many bytes at once; a longer
# write could block until the reader drains the pipe.
_MAX_NON_BLOCKING_WRITE_BYTES = 4096
# Maximum number of chunks that are buffered while the reader is slow. A chunk
# is a line or a part of a long line. The buffer holds a few seconds of log
# lines during an incident, or half a MB at lines of about 250 bytes.
MAX_BUFFERED_CHUNKS = 2000


@attrs.define(eq=False)
class BoundedOutput:
    """Writes to a file descriptor without blocking; drops lines if it must.

    If the log collector stops reading, a blocking write stops the event loop
    and all requests: the node sends no responses while its process looks
    healthy. This class writes only as much as the reader accepts, buffers a
    limited number of chunks, and drops and counts lines beyond that limit.

    Attributes:
        descriptor: File descriptor to write to.
        buffered: Chunks not written yet, the oldest first.
        dropped: Number of lines dropped because the buffer was full and of
            chunks dropped because the write failed, for the metrics.
        poll: Reports whether the descriptor is writable.
    """

    descriptor: int
    buffered: deque[bytes] = attrs.field(factory=deque)
    dropped: int = 0
    poll: select.poll = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.poll = select.poll()
        self.poll.register(self.descriptor, select.POLLOUT)

    def write(self, text: str) -> int:
        """Buffers a line, or a part of a line, and writes it if possible."""
        data = text.encode(errors="replace")
        chunk_starts = range(0, len(data), _MAX_NON_BLOCKING_WRITE_BYTES)
        if len(self.buffered) + len(chunk_starts) > MAX_BUFFERED_CHUNKS:
            self.dropped += 1
            return len(text)
        for start in chunk_starts:
            self.buffered.append(
                data[start : start + _MAX_NON_BLOCKING_WRITE_BYTES]
            )
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Writes as many buffered chunks as possible without blocking."""
        while self.buffered and self._is_writable():
            try:
                os.write(self.descriptor, self.buffered[0])
            except OSError:
                # The reader closed its end. The error cannot be logged, because
                # this descriptor is the log.
                self.dropped += len(self.buffered)
                self.buffered.clear()
                return
            self.buffered.popleft()

    def _is_writable(self) -> bool:
        return any(event & select.POLLOUT for _, event in self.poll.poll(0))
