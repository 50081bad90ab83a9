"""Callers' entry: a plain ASGI application, for the latency it must keep."""

import json
import logging
import uuid
from collections import Counter
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import attrs

from pomelobank_core import ANSWERS, ErrorKind
from pomelobank_node._dispatcher import CallerRequest, Dispatcher
from pomelobank_node._logging import request_id
from pomelobank_node._requests import (
    ForwardReply,
    RequestError,
    reply_error,
)
from pomelobank_node._upstream_client import end_to_end

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


@attrs.define(eq=False)
class Entry:
    """ASGI application that answers callers.

    Attributes:
        dispatcher: Takes requests to targets.
        max_body_bytes: Largest body that is taken, in bytes.
        outcomes: How many requests ended in which way, for the metrics.
    """

    dispatcher: Dispatcher
    max_body_bytes: int
    outcomes: Counter[str] = attrs.field(factory=Counter)

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answers one request."""
        if scope["type"] != "http":
            return
        try:
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
        self.outcomes[_ANSWERED] += 1
        await _send_answer(send, reply)

    async def _refuse(self, send: Send, error: RequestError) -> None:
        self.outcomes[error.kind.value] += 1
        await _send_error(send, error)

    async def _read(self, scope: Scope, receive: Receive) -> CallerRequest:
        headers = dict(scope["headers"])
        trace_id = headers.get(TRACE_HEADER, b"").decode("latin-1")
        trace_id = trace_id or uuid.uuid4().hex
        request_id.set(trace_id)
        host = headers.get(b"host", b"").decode("latin-1")
        service = headers.get(SERVICE_HEADER, b"").decode("latin-1")
        query = scope["query_string"]
        raw_path = scope["raw_path"]
        return CallerRequest(
            service=service or host.rpartition(":")[0] or host,
            method=scope["method"],
            path=scope["path"],
            target=raw_path + b"?" + query if query else raw_path,
            headers=[
                item
                for item in end_to_end(scope["headers"])
                if item[0] not in _OWN_HEADERS
            ],
            body=await self._read_body(receive),
            trace_id=trace_id,
            timeout_ms=_timeout_ms(headers.get(TIMEOUT_HEADER, b"")),
            idempotency_key=headers.get(KEY_HEADER, b"").decode("latin-1"),
        )

    async def _read_body(self, receive: Receive) -> bytes:
        chunks: list[bytes] = []
        size = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise RequestError(ErrorKind.CANCELLED)
            data = message.get("body", b"")
            size += len(data)
            if size > self.max_body_bytes:
                raise RequestError(ErrorKind.BODY_TOO_LARGE)
            chunks.append(data)
            if not message.get("more_body", False):
                return b"".join(chunks)


def _timeout_ms(value: bytes) -> int:
    if not value:
        return 0
    if not value.isdigit() or int(value) == 0:
        raise RequestError(ErrorKind.BAD_REQUEST)
    return int(value)


async def _send_answer(send: Send, reply: ForwardReply) -> None:
    headers = [(item.name, item.value) for item in reply.headers]
    headers.append((b"content-length", b"%d" % len(reply.body)))
    await send(
        {
            "type": "http.response.start",
            "status": reply.status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": reply.body})


async def _send_error(send: Send, error: RequestError) -> None:
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
        (b"content-length", b"%d" % len(body)),
        (b"x-pomelobank-error", error.kind.value.encode()),
        (b"x-pomelobank-run", answer.run_state.value.encode()),
    ]
    if retry_after_ms:
        seconds = -(-retry_after_ms // _MS_PER_S)
        headers.append((b"retry-after", b"%d" % seconds))
    await send(
        {
            "type": "http.response.start",
            "status": answer.status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": body})
