"""Runs an ASGI application under uvicorn inside the node's process."""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import Any

import attrs
import uvicorn

from pomelobank_node._http_protocol import (
    BoundedHttpProtocol,
    CancellingHttpProtocol,
    HttpProtocol,
)
from pomelobank_schema import parse_address

_STOP_POLL_S = 0.05
_LISTEN_BACKLOG = 512


class _Server(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Does nothing; the node's application handles signals."""
        yield


@attrs.define(eq=False)
class HttpServer:
    """Serves one ASGI application.

    Attributes:
        listen: Address to listen on; port 0 selects a free port.
        application: The ASGI application.
        address: Address that the server is bound to, once it listens.
        max_connections: Maximum number of open connections, which may send
            short requests only; None for no limit.
        cancel_on_disconnect: Whether a request is cancelled when its caller
            disconnects.
        server: The uvicorn server; None before the start.
        task: Task that runs the uvicorn server; None before the start.
    """

    listen: str
    application: Any
    address: str = ""
    max_connections: int | None = None
    cancel_on_disconnect: bool = False
    server: _Server | None = None
    task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts listening; returns once callers can connect.

        Raises:
            OSError: If the server ended before it listened.
        """
        host, port = parse_address(self.listen)
        config = uvicorn.Config(
            self.application,
            host=host,
            port=port,
            loop="asyncio",
            http=self._protocol(),
            ws="none",
            lifespan="off",
            access_log=False,
            log_config=None,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            backlog=_LISTEN_BACKLOG,
            limit_concurrency=self.max_connections,
        )
        self.server = _Server(config)
        self.task = asyncio.create_task(self.server.serve())
        while not self.server.started:
            if self.task.done():
                raise OSError(f"cannot listen on {self.listen}")
            await asyncio.sleep(0.005)
        bound = self.server.servers[0].sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    def _protocol(self) -> type[HttpProtocol]:
        if self.max_connections is not None:
            return BoundedHttpProtocol
        if self.cancel_on_disconnect:
            return CancellingHttpProtocol
        return HttpProtocol

    async def stop(self) -> None:
        """Stops listening and waits for the requests in flight."""
        if self.server is not None and self.task is not None:
            self.server.should_exit = True
            while not self.task.done():
                self._shut_down_connections()
                await asyncio.wait({self.task}, timeout=_STOP_POLL_S)

    def _shut_down_connections(self) -> None:
        # Uvicorn shuts its connections down only once. A connection that is
        # accepted during that pass is missed and stays open until its caller
        # closes it, which keeps the node from stopping. The shutdown is
        # therefore repeated until the server has ended.
        assert self.server is not None
        for connection in list(self.server.server_state.connections):
            connection.shutdown()
