"""Runs an ASGI application under uvicorn as a part of the node."""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import Any

import attrs
import uvicorn

from pomelobank_node._http_protocol import CancellingHttpProtocol, HttpProtocol
from pomelobank_schema import parse_address

_STOP_POLL_S = 0.05
_BACKLOG = 512


class _Server(uvicorn.Server):
    """A server that leaves the process's signals alone."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Captures nothing; the application handles signals."""
        yield


@attrs.define(eq=False)
class HttpServer:
    """Serves one ASGI application.

    Attributes:
        listen: Address to listen on; port 0 takes a free one.
        application: The ASGI application.
        address: Address that is really used, once it listens.
        cancel_on_disconnect: Whether a request is cancelled when its caller has
            gone.
    """

    listen: str
    application: Any
    address: str = ""
    cancel_on_disconnect: bool = False
    server: _Server | None = None
    task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts listening and returns once callers can connect."""
        host, port = parse_address(self.listen)
        config = uvicorn.Config(
            self.application,
            host=host,
            port=port,
            loop="asyncio",
            http=CancellingHttpProtocol
            if self.cancel_on_disconnect
            else HttpProtocol,
            ws="none",
            lifespan="off",
            access_log=False,
            log_config=None,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            backlog=_BACKLOG,
        )
        self.server = _Server(config)
        self.task = asyncio.create_task(self.server.serve())
        while not self.server.started:
            if self.task.done():
                raise OSError(f"cannot listen on {self.listen}")
            await asyncio.sleep(0.005)
        bound = self.server.servers[0].sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    async def stop(self) -> None:
        """Finishes the requests under way and stops listening."""
        if self.server is not None and self.task is not None:
            self.server.should_exit = True
            while not self.task.done():
                self._end_connections()
                await asyncio.wait({self.task}, timeout=_STOP_POLL_S)

    def _end_connections(self) -> None:
        # Uvicorn tells its connections to end once. One whose accept was under
        # way at that moment is never told, stays open for as long as its
        # caller likes, and the node does not end; so they are told again.
        assert self.server is not None
        for connection in list(self.server.server_state.connections):
            connection.shutdown()
