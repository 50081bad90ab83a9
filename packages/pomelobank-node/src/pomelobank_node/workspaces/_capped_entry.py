"""State of one workspace with a usage cap at an entry node."""

import asyncio
from collections import deque

import attrs

from pomelobank_core import ErrorKind
from pomelobank_core.workspaces import LeasedTokens, Workspace
from pomelobank_node._requests import RequestError


@attrs.define(eq=False)
class CappedEntry:
    """A workspace with a limit at this entry node.

    Attributes:
        workspace: The workspace, according to the configuration in force at the
            last request.
        tokens: Leased tokens.
        waiting: Requests that wait for a token.
        fetching: Requests tokens; None while no request is outstanding.
    """

    workspace: Workspace
    tokens: LeasedTokens
    waiting: deque[asyncio.Future[None]] = attrs.field(factory=deque)
    fetching: asyncio.Task[None] | None = None

    def serve_waiting(self, now_ms: int) -> int:
        """Gives tokens to the requests that wait, and returns their number."""
        served = 0
        while self.waiting and self.tokens.available(now_ms):
            waiter = self.waiting.popleft()
            if not waiter.done():
                self.tokens.take(now_ms)
                waiter.set_result(None)
                served += 1
        return served

    def fail_waiting(self, kind: ErrorKind, retry_after_ms: int) -> int:
        """Rejects the requests that wait and returns their number."""
        waiting, self.waiting = self.waiting, deque()
        failed = [waiter for waiter in waiting if not waiter.done()]
        for waiter in failed:
            waiter.set_exception(RequestError(kind, retry_after_ms))
        return len(failed)
