"""A listening socket that can stop accepting connections."""

import asyncio
import logging
import socket
from collections.abc import Callable

import attrs

_logger = logging.getLogger(__name__)
# Maximum number of connections that are accepted before other events are
# handled.
_MAX_ACCEPTS = 128
# Pause after the system refused to accept a connection.
_ERROR_PAUSE_S = 1.0


@attrs.define(eq=False)
class Listener:
    """Accepts connections while its server has room for them.

    asyncio's own server accepts every connection. Above a limit it could only
    reset connections, while callers that wait in the kernel's queue are served
    once another connection ends.

    Attributes:
        sock: The listening socket, non-blocking.
        new_protocol: Creates the protocol of an accepted connection.
        has_room: Returns whether another connection may be accepted, in
            addition to a number of connections that are being set up.
        paused: Whether no connections are accepted.
        closed: Whether the listener has been closed.
        tasks: Tasks that set up accepted connections.
    """

    sock: socket.socket
    new_protocol: Callable[[], asyncio.Protocol]
    has_room: Callable[[int], bool]
    paused: bool = True
    closed: bool = False
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    def resume(self) -> None:
        """Accepts connections."""
        if self.paused and not self.closed:
            self.paused = False
            loop = asyncio.get_running_loop()
            loop.add_reader(self.sock.fileno(), self._accept_ready)

    def pause(self) -> None:
        """Leaves further connections in the kernel's queue."""
        if not self.paused and not self.closed:
            self.paused = True
            asyncio.get_running_loop().remove_reader(self.sock.fileno())

    def close(self) -> None:
        """Stops listening; accepted connections stay open."""
        self.pause()
        self.closed = True
        self.sock.close()

    def _accept_ready(self) -> None:
        for _ in range(_MAX_ACCEPTS):
            if not self.has_room(len(self.tasks)):
                self.pause()
                return
            try:
                connection, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self._pause_after(error)
                return
            connection.setblocking(False)
            task = asyncio.create_task(self._set_up(connection))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def _pause_after(self, error: OSError) -> None:
        _logger.warning("listener.paused", extra={"error": str(error)})
        self.pause()
        loop = asyncio.get_running_loop()
        loop.call_later(_ERROR_PAUSE_S, self.resume)

    async def _set_up(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self.new_protocol, connection)
        except OSError as error:
            _logger.info("listener.failed", extra={"error": str(error)})
            connection.close()
