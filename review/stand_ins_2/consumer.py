"""Consumers: send requests to the node of their machine."""

import asyncio
import dataclasses
import itertools
import random

from stand_ins_2.wire import BrokenMessageError, encode, read_message

_ids = itertools.count(1)
_ID_SALT = random.getrandbits(32)


@dataclasses.dataclass
class Attempt:
    """A consumer attempt and what became of it.

    Attributes:
        request_id: Id of the attempt.
        node: Name of the machine.
        path: Path with query.
        sent_s: When it was sent.
        status: Status of the answer; 0 without one.
        ended: `answered`, `no connection`, `closed` or `deadline`.
        ended_s: When it ended.
        stamp: The target's stamp in the answer.
        retry_after_s: Pause that the answer asks for.
        kind: The node's own name for an error, for the record.
    """

    request_id: str
    node: str
    path: str
    sent_s: float
    status: int = 0
    ended: str = ""
    ended_s: float = 0.0
    stamp: str = ""
    retry_after_s: float = 0.0
    kind: str = ""


def new_id() -> str:
    """Returns a request id that was not used before."""
    return f"{_ID_SALT:08x}{next(_ids):08x}"


async def send(
    node: str,
    address: str,
    host: str,
    path: str,
    deadline_s: float,
    method: str = "GET",
    body: bytes = b"",
) -> Attempt:
    """Sends one request on a new connection and waits for its answer."""
    loop = asyncio.get_running_loop()
    attempt = Attempt(new_id(), node, path, loop.time())
    writer = None
    try:
        async with asyncio.timeout(deadline_s):
            ip, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(ip, int(port))
            headers = {
                "Host": host,
                "X-Request-Id": attempt.request_id,
                "X-Deadline-Ms": str(int(deadline_s * 1000)),
            }
            writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
            answer = await read_message(reader)
            if answer is None:
                attempt.ended = "closed"
            else:
                attempt.ended = "answered"
                attempt.status = answer.status
                attempt.stamp = answer.headers.get("x-response-stamp", "")
                retry_after = answer.headers.get("retry-after", "0")
                attempt.retry_after_s = float(retry_after)
                attempt.kind = answer.headers.get("x-pomelobank-error", "")
    except TimeoutError:
        attempt.ended = "deadline"
    except BrokenMessageError:
        attempt.ended = "closed"
    except OSError:
        attempt.ended = "closed" if writer else "no connection"
    finally:
        if writer is not None:
            writer.close()
    attempt.ended_s = loop.time()
    return attempt
