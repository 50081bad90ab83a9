"""Runs requests on the node's own target."""

import asyncio
import logging

import attrs

from pomelobank_core import Clock, ErrorKind
from pomelobank_node._bodies import when_ended
from pomelobank_node._requests import (
    ForwardReply,
    ForwardRequest,
    RequestError,
    error_reply,
)
from pomelobank_node._target_call import call_target
from pomelobank_node._upstream_client import UpstreamPool
from pomelobank_schema import parse_address
from pomelobank_schema.generated.settings import RequestSettings

_logger = logging.getLogger(__name__)
_MS_PER_S = 1000


@attrs.frozen
class Target:
    """The upstream instance beside the node, as it announced itself.

    Attributes:
        upstream: Name of the upstream that it belongs to.
        address: Its address, IP:PORT.
        slots: Requests that it runs at once.
    """

    upstream: str
    address: str
    slots: int


@attrs.define
class Owner:
    """The only way to the node's target, so that its counts are exact.

    Attributes:
        settings: Limits of requests.
        clock: Tells the time.
        target: The target, None before it announced itself.
        pool: Connections to it.
        in_flight: Requests that are at the target.
        draining: Set when no new request is taken.
    """

    settings: RequestSettings
    clock: Clock
    target: Target | None = None
    pool: UpstreamPool | None = None
    in_flight: int = 0
    draining: bool = False
    idle: asyncio.Event = attrs.field(factory=asyncio.Event)

    def set_target(self, target: Target) -> None:
        """Takes an announcement of the target."""
        if target == self.target:
            return
        if self.pool is not None:
            self.pool.close()
        host, port = parse_address(target.address)
        self.pool = UpstreamPool(host, port, self.settings.max_body_bytes)
        self.target = target

    async def serve(self, request: ForwardRequest) -> ForwardReply:
        """Runs a request on the target.

        Args:
            request: The request, wherever it came in.

        Returns:
            The target's answer, or the error that ended the request.
        """
        try:
            return await self._serve(request)
        except RequestError as error:
            return error_reply(request.request_id, error)

    async def _serve(self, request: ForwardRequest) -> ForwardReply:
        if self.draining:
            raise RequestError(ErrorKind.DRAINING)
        if self.target is None or self.pool is None:
            raise RequestError(ErrorKind.NO_TARGET)
        if self.target.upstream != request.upstream:
            raise RequestError(ErrorKind.NO_TARGET)
        if request.remaining_ms <= 0:
            raise RequestError(ErrorKind.DEADLINE_NOT_RUN)
        if self.in_flight >= self.target.slots:
            raise RequestError(ErrorKind.OVERLOADED)
        self.in_flight += 1
        try:
            reply = await self._run(self.pool, request)
        except BaseException:
            self._leave()
            raise
        return when_ended(reply, self._leave)

    def _leave(self) -> None:
        self.in_flight -= 1
        if not self.in_flight:
            self.idle.set()
            self.idle = asyncio.Event()

    async def _run(
        self, pool: UpstreamPool, request: ForwardRequest
    ) -> ForwardReply:
        return await call_target(pool, request, self.in_flight)

    async def drain(self, timeout_ms: int) -> None:
        """Takes no new request and waits for those in flight.

        Args:
            timeout_ms: Longest wait.
        """
        self.draining = True
        try:
            async with asyncio.timeout(timeout_ms / _MS_PER_S):
                while self.in_flight:
                    await self.idle.wait()
        except TimeoutError:
            _logger.error("drain.timeout", extra={"in_flight": self.in_flight})
        if self.pool is not None:
            self.pool.close()
