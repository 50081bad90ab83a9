"""Callers' entry: a plain ASGI application, for the latency it must keep."""

import asyncio
import json
import logging
import random
import re
from collections import Counter
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import attrs

from pomelobank_core import ANSWERS, ErrorKind
from pomelobank_node._bodies import (
    INLINE_BYTES,
    KEYED_BYTES,
    BodySource,
    rest_of,
)
from pomelobank_node._dispatcher import CallerRequest, Dispatcher
from pomelobank_node._http_messages import (
    CONTENT_LENGTH,
    end_to_end,
)
from pomelobank_node._logging import request_id
from pomelobank_node._requests import (
    ForwardReply,
    RequestError,
    reply_error,
)

_logger = logging.getLogger(__name__)

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]

SERVICE_HEADER = b"x-pomelobank-service"
TIMEOUT_HEADER = b"x-pomelobank-timeout-ms"
TRACE_HEADER = b"x-request-id"
KEY_HEADER = b"idempotency-key"
_OWN_HEADERS = frozenset({SERVICE_HEADER, TIMEOUT_HEADER, TRACE_HEADER})
_MS_PER_S = 1000
_ANSWERED = "answered"
_BROKEN_OFF = "broken_off"
# Names of hosts; an address with a port may stand in a host header too.
_SERVICE_NAME = re.compile(r"[A-Za-z0-9]([A-Za-z0-9._-]{0,252})")
# Headers that others read back in logs; longer ones are mistakes.
_LONGEST_ID = 256
# A day; a longer wait is a mistake in the caller's units.
_LONGEST_TIMEOUT_MS = 86_400_000
_TRACE_BITS = 128
_NO_BODY_STATUSES = frozenset({204, 304})


@attrs.define(eq=False)
class CallerBody:
    """The rest of a caller's body, read as the target takes it.

    Attributes:
        receive: Brings the next part.
        room: Bytes that the body may still grow by.
        started: Whether a part of it was read; it cannot be sent again then.
    """

    receive: Receive
    room: int
    ended: bool = False
    started: bool = False

    async def read(self) -> bytes:
        """Returns the next part, empty at the end.

        Raises:
            RequestError: BODY_INCOMPLETE if the caller has gone or the body
                grows too large; a part of it may have reached a target.
        """
        self.started = True
        while not self.ended:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                raise RequestError(ErrorKind.BODY_INCOMPLETE)
            data: bytes = message.get("body", b"")
            self.room -= len(data)
            if self.room < 0:
                raise RequestError(ErrorKind.BODY_INCOMPLETE)
            self.ended = not message.get("more_body", False)
            if data:
                return data
        return b""

    def close(self) -> None:
        """Does nothing; the connection is the caller's."""


@attrs.define(eq=False)
class Entry:
    """ASGI application that answers callers.

    Attributes:
        dispatcher: Takes requests to targets.
        max_body_bytes: Largest body that is taken, in bytes.
        outcomes: How many requests ended in which way, for the metrics.
        draining: Set when no new request is taken.
    """

    dispatcher: Dispatcher
    max_body_bytes: int
    outcomes: Counter[str] = attrs.field(factory=Counter)
    draining: bool = False

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answers one request."""
        if scope["type"] != "http":
            return
        try:
            await self._answer(scope, receive, send)
        except asyncio.CancelledError:
            # The caller has gone, so there is nobody to answer.
            self.outcomes[ErrorKind.CANCELLED.value] += 1

    async def _answer(self, scope: Scope, receive: Receive, send: Send) -> None:
        try:
            if self.draining:
                raise RequestError(ErrorKind.DRAINING)
            caller = await self._read(scope, receive)
            reply = await self.dispatcher.dispatch(caller)
        except RequestError as error:
            await self._refuse(send, error)
            return
        except Exception:
            _logger.exception("request.failed")
            await self._refuse(send, RequestError(ErrorKind.INTERNAL))
            return
        reported = reply_error(reply)
        if reported is not None:
            await self._refuse(send, reported)
            return
        try:
            await self._send_answer(send, reply, scope["method"])
        finally:
            rest = rest_of(reply)
            if rest is not None:
                rest.close()

    async def _refuse(self, send: Send, error: RequestError) -> None:
        self.outcomes[error.kind.value] += 1
        await _send_error(send, error, self.draining)

    async def _read(self, scope: Scope, receive: Receive) -> CallerRequest:
        headers = dict(scope["headers"])
        trace_id = headers.get(TRACE_HEADER, b"").decode("latin-1")
        trace_id = trace_id or f"{random.getrandbits(_TRACE_BITS):032x}"
        request_id.set(trace_id)
        idempotency_key = headers.get(KEY_HEADER, b"").decode("latin-1")
        if max(len(trace_id), len(idempotency_key)) > _LONGEST_ID:
            raise RequestError(ErrorKind.BAD_REQUEST)
        service = _service(headers)
        timeout_ms = _timeout_ms(headers.get(TIMEOUT_HEADER, b""))
        length = headers.get(CONTENT_LENGTH, b"")
        if length.isdigit() and int(length) > self.max_body_bytes:
            raise RequestError(ErrorKind.BODY_TOO_LARGE)
        query = scope["query_string"]
        raw_path = scope["raw_path"]
        passed_on = [
            item
            for item in end_to_end(scope["headers"])
            if item[0] not in _OWN_HEADERS
        ]
        inline = KEYED_BYTES if idempotency_key else INLINE_BYTES
        body, rest = await self._read_body(receive, inline)
        if rest is not None and idempotency_key:
            raise RequestError(ErrorKind.BODY_TOO_LARGE)
        if rest is not None and length:
            passed_on.append((CONTENT_LENGTH, length))
        return CallerRequest(
            service=service,
            method=scope["method"],
            path=scope["path"],
            target=raw_path + b"?" + query if query else raw_path,
            headers=passed_on,
            body=body,
            trace_id=trace_id,
            timeout_ms=timeout_ms,
            idempotency_key=idempotency_key,
            rest=rest,
        )

    async def _read_body(
        self, receive: Receive, inline_bytes: int
    ) -> tuple[bytes, BodySource | None]:
        source = CallerBody(receive, self.max_body_bytes)
        try:
            parts = [await source.read()]
            size = len(parts[0])
            while not source.ended and size <= inline_bytes:
                parts.append(await source.read())
                size += len(parts[-1])
        except RequestError:
            # Nothing has been sent anywhere yet.
            kind = ErrorKind.CANCELLED
            if source.room < 0:
                kind = ErrorKind.BODY_TOO_LARGE
            raise RequestError(kind) from None
        # What was read so far goes with the request itself.
        source.started = False
        return b"".join(parts), None if source.ended else source

    async def _send_answer(
        self, send: Send, reply: ForwardReply, method: str
    ) -> None:
        rest = rest_of(reply)
        headers = [(item.name, item.value) for item in reply.headers]
        if rest is None and method != "HEAD":
            if reply.status in _NO_BODY_STATUSES:
                headers = end_to_end(headers)
            else:
                headers.append((CONTENT_LENGTH, b"%d" % len(reply.body)))
        await send(
            {
                "type": "http.response.start",
                "status": reply.status,
                "headers": headers,
            }
        )
        if rest is None:
            self.outcomes[_ANSWERED] += 1
            await send({"type": "http.response.body", "body": reply.body})
            return
        await _send_part(send, reply.body)
        await self._send_rest(send, rest)

    async def _send_rest(self, send: Send, rest: BodySource) -> None:
        try:
            while data := await rest.read():
                await _send_part(send, data)
        except RequestError as error:
            # The head was sent, so no error can be reported. The server
            # closes the connection of an answer without an end, by which the
            # caller sees that it is not whole.
            self.outcomes[_BROKEN_OFF] += 1
            _logger.warning(
                "answer.broken_off", extra={"error": error.kind.value}
            )
            return
        self.outcomes[_ANSWERED] += 1
        await send({"type": "http.response.body", "body": b""})


async def _send_part(send: Send, data: bytes) -> None:
    await send({"type": "http.response.body", "body": data, "more_body": True})


def _service(headers: dict[bytes, bytes]) -> str:
    service = headers.get(SERVICE_HEADER, b"").decode("latin-1")
    if not service:
        host = headers.get(b"host", b"").decode("latin-1")
        service = host.rpartition(":")[0] or host
    if not _SERVICE_NAME.fullmatch(service):
        raise RequestError(ErrorKind.BAD_REQUEST)
    return service


def _timeout_ms(value: bytes) -> int:
    if not value:
        return 0
    if not value.isdigit() or not 0 < int(value) <= _LONGEST_TIMEOUT_MS:
        raise RequestError(ErrorKind.BAD_REQUEST)
    return int(value)


async def _send_error(send: Send, error: RequestError, closing: bool) -> None:
    answer = ANSWERS[error.kind]
    retry_after_ms = error.retry_after_ms
    if retry_after_ms is None:
        retry_after_ms = answer.retry_after_ms
    document = {
        "error": error.kind.value,
        "run": answer.run_state.value,
        "retry_after_ms": retry_after_ms,
        "message": answer.message,
    }
    body = json.dumps(document).encode()
    headers = [
        (b"content-type", b"application/json"),
        (CONTENT_LENGTH, b"%d" % len(body)),
        (b"x-pomelobank-error", error.kind.value.encode()),
        (b"x-pomelobank-run", answer.run_state.value.encode()),
    ]
    if retry_after_ms:
        seconds = -(-retry_after_ms // _MS_PER_S)
        headers.append((b"retry-after", b"%d" % seconds))
    if closing:
        headers.append((b"connection", b"close"))
    await send(
        {
            "type": "http.response.start",
            "status": answer.status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": body})
