"""Standard output that never holds the node up."""

import os
import select
from collections import deque

import attrs

# A pipe takes this many bytes whole once it says that it can be written to; a
# longer write could wait for its reader.
_WHOLE_BYTES = 4096
# Lines that wait for a reader: some seconds of an incident, and half a MB.
MAX_BUFFERED_CHUNKS = 2000


@attrs.define(eq=False)
class BoundedOutput:
    """Writes lines as the reader takes them; drops and counts the rest.

    Made for a collector of logs that stands still. A plain write waits for it
    and with it every request; one notices by a node that answers nobody while
    its process looks healthy.

    Attributes:
        descriptor: Where lines go.
        buffered: Lines that were not written yet, the oldest first.
        dropped: Lines that found no room, for the metrics.
    """

    descriptor: int
    buffered: deque[bytes] = attrs.field(factory=deque)
    dropped: int = 0
    poll: select.poll = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.poll = select.poll()
        self.poll.register(self.descriptor, select.POLLOUT)

    def write(self, text: str) -> int:
        """Takes a line, or a part of one."""
        data = text.encode(errors="replace")
        parts = range(0, len(data), _WHOLE_BYTES)
        if len(self.buffered) + len(parts) > MAX_BUFFERED_CHUNKS:
            self.dropped += 1
            return len(text)
        for at in parts:
            self.buffered.append(data[at : at + _WHOLE_BYTES])
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Writes what the reader takes without a wait."""
        while self.buffered and self._is_writable():
            try:
                os.write(self.descriptor, self.buffered[0])
            except OSError:
                # Nobody reads any more, and there is nowhere to say so.
                self.dropped += len(self.buffered)
                self.buffered.clear()
                return
            self.buffered.popleft()

    def _is_writable(self) -> bool:
        return any(event & select.POLLOUT for _, event in self.poll.poll(0))
