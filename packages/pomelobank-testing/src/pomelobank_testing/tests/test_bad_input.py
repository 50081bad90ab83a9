"""Malformed or oversized requests get a typed error response."""

import asyncio

import pytest

from pomelobank_testing import TestMesh

VALID_HEAD_START = b"GET /stock HTTP/1.1\r\nhost: counter-desk\r\n"


async def _send_bytes(address: str, data: bytes) -> bytes:
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    async with asyncio.timeout(10):
        head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return head


# A head that is too large has its own status and error kind, since its caller
# must shorten the head rather than correct it.
TOO_LARGE_CASES = [
    pytest.param(
        VALID_HEAD_START + b"a: b\r\n" * 200 + b"\r\n", id="many headers"
    ),
    pytest.param(
        VALID_HEAD_START + b"a: " + b"b" * 400_000, id="endless header"
    ),
]
BAD_INPUT_CASES = [
    pytest.param(b"\x16\x03\x01 what is this\r\n\r\n", id="not HTTP"),
    pytest.param(b"GET /stock HTTP/1.1\r\n\r\n", id="no host"),
    pytest.param(
        b"GET /stock HTTP/1.1\r\nhost: a b/c\r\n\r\n", id="invalid host"
    ),
    pytest.param(
        VALID_HEAD_START + b"x-pomelobank-service: \xff\xfe\r\n\r\n",
        id="invalid service",
    ),
    pytest.param(
        VALID_HEAD_START + b"x-pomelobank-timeout-ms: soon\r\n\r\n",
        id="timeout is no number",
    ),
    pytest.param(
        VALID_HEAD_START + b"x-pomelobank-timeout-ms: 0\r\n\r\n",
        id="zero timeout",
    ),
    pytest.param(
        VALID_HEAD_START
        + b"x-pomelobank-timeout-ms: "
        + b"9" * 30
        + b"\r\n\r\n",
        id="timeout above the limit",
    ),
    pytest.param(
        VALID_HEAD_START + b"idempotency-key: " + b"k" * 300 + b"\r\n\r\n",
        id="long key",
    ),
    *TOO_LARGE_CASES,
]


async def test_bad_input_gets_a_typed_error() -> None:
    """A broken or hostile client sends bytes that are no valid request.

    The node must answer with an error that says that nothing ran, and must
    still serve other connections.
    """
    async with TestMesh() as mesh:
        node = await mesh.add_node("entry", "hobart")
        address = node.addresses["http"]
        for case in BAD_INPUT_CASES:
            (data,) = case.values
            head = await _send_bytes(address, data)  # type: ignore[arg-type]
            is_too_large = case in TOO_LARGE_CASES
            status = b"HTTP/1.1 431" if is_too_large else b"HTTP/1.1 400"
            error_kind = b"head_too_large" if is_too_large else b"bad_request"
            assert head.startswith(status), (case.id, head)
            assert b"x-pomelobank-error: " + error_kind in head, case.id
            assert b"x-pomelobank-run: not-run" in head, case.id
        head = await _send_bytes(address, VALID_HEAD_START + b"\r\n")
        assert b"x-pomelobank-error: bad_request" not in head
