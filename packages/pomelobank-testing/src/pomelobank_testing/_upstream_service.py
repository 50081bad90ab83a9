"""Fake of an upstream instance."""

import asyncio
import contextlib
import json
import os
from collections import Counter
from typing import Any

import aiohttp
import attrs

_S_PER_MS = 0.001
_ANNOUNCE_PERIOD_S = 0.5


@attrs.define(eq=False)
class UpstreamService:
    """An ASGI application with slots and configurable behaviour.

    Request headers control the behaviour: `x-work-ms` sets the service time,
    `x-size` sets the minimum size of the response's body, `x-crash` ends the
    process during the request, and runs are counted by `x-run-id`.

    Attributes:
        name: Name of the instance.
        upstream: Name of the instance's upstream.
        slots: Requests that the instance runs at once; it sheds further
            requests.
        cold_start_ms: Has no effect.
        work_ms: Service time of a request without `x-work-ms`.
        healthy: Whether the health page reports the instance as healthy;
            independent of the instance's real state.
        runs: Number of runs, by `x-run-id`.
        busy: Number of requests that are running.
        shed: Number of requests that were shed.
        cancelled: Number of requests that were cancelled.
        crashes: Whether `x-crash` ends the process.
        crashed: Set before the process ends by `x-crash`.
        draining: Value of `draining` in the announcements.
        instance: Id of this start of the instance, sent in announcements.
        arrivals: Number of requests that arrived, shed requests included.
    """

    name: str
    upstream: str
    slots: int = 10
    cold_start_ms: int = 0
    work_ms: int = 0
    healthy: bool = True
    runs: Counter[str] = attrs.field(factory=Counter)
    busy: int = 0
    shed: int = 0
    cancelled: int = 0
    crashes: bool = False
    crashed: bool = False
    draining: bool = False
    instance: str = ""
    arrivals: int = 0

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answers one request."""
        if scope["type"] != "http":
            return
        if scope["path"] == "/runs":
            await _send_response(send, 200, json.dumps(self.runs).encode())
            return
        if scope["path"] == "/health":
            status = 200 if self.healthy else 503
            await _send_response(send, status, b"{}")
            return
        await self._handle_request(scope, receive, send)

    async def _handle_request(
        self, scope: Any, receive: Any, send: Any
    ) -> None:
        self.arrivals += 1
        headers = dict(scope["headers"])
        body = await _read_body(receive)
        if self.busy >= self.slots:
            self.shed += 1
            await _send_response(send, 503, b'{"shed": true}')
            return
        self.busy += 1
        try:
            await self._run(headers, scope, body, send)
        except asyncio.CancelledError:
            self.cancelled += 1
        finally:
            self.busy -= 1

    async def _run(
        self, headers: dict[bytes, bytes], scope: Any, body: bytes, send: Any
    ) -> None:
        run_id = headers.get(b"x-run-id", b"").decode()
        if run_id:
            self.runs[run_id] += 1
        if b"x-crash" in headers and self.crashes:
            self.crashed = True
            os._exit(70)
        work_ms = int(headers.get(b"x-work-ms", b"%d" % self.work_ms))
        if work_ms:
            await asyncio.sleep(work_ms * _S_PER_MS)
        document = {
            "instance": self.name,
            "path": scope["path"],
            "run_id": run_id,
            "body_bytes": len(body),
        }
        data = json.dumps(document).encode()
        size = int(headers.get(b"x-size", b"0"))
        await _send_response(send, 200, data + b" " * max(0, size - len(data)))


async def _read_body(receive: Any) -> bytes:
    chunks = []
    while True:
        message = await receive()
        chunks.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(chunks)


async def _send_response(send: Any, status: int, body: bytes) -> None:
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(body)),
    ]
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": body})


def announcement(service: UpstreamService, address: str) -> dict[str, Any]:
    """Returns the document that an instance announces to its node."""
    return {
        "upstream": service.upstream,
        "address": address,
        "slots": service.slots,
        "instance": service.instance,
        "draining": service.draining,
    }


async def announce(service: UpstreamService, address: str, admin: str) -> None:
    """Announces an instance to its node until it is cancelled.

    Args:
        service: The instance.
        address: Address of the instance.
        admin: Admin address of the node.
    """
    url = f"http://{admin}/v1/target"
    async with aiohttp.ClientSession() as session:
        while True:
            document = announcement(service, address)
            with contextlib.suppress(aiohttp.ClientError):
                await session.post(url, json=document)
            await asyncio.sleep(_ANNOUNCE_PERIOD_S)
