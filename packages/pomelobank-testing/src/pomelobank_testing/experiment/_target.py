"""A target: slots, speed, what it turns away, and calls that its work makes."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import attrs

from pomelobank_core import ErrorKind
from pomelobank_node.platform_api import RequestError, UpstreamResponse
from pomelobank_testing.experiment._patterns import (
    Fault,
    Pattern,
    RouteLoad,
    TargetGroup,
)

_MS_PER_S = 1000
# Spread of the work of one route around its mean.
_SPREAD = 0.4
_TURNED_AWAY_MS = 1.0
Call = Callable[[RouteLoad, float], Awaitable[bool]]


@attrs.define(eq=False)
class ModelTarget:
    """Stands where a node has its connections to its target.

    Attributes:
        pattern: The load.
        group: The targets that it belongs to.
        number: Its number among them.
        rng: Source of randomness.
        call: Makes a call through the mesh; tells whether it was answered.
        busy: Requests that it runs.
        arrivals: Requests that reached it, by route.
    """

    pattern: Pattern
    group: TargetGroup
    number: int
    rng: random.Random
    call: Call
    slots: asyncio.Semaphore = attrs.field(init=False)
    arrivals: dict[str, int] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.slots = asyncio.Semaphore(self.group.slots)

    async def request(
        self, data: bytes, deadline_s: float, *_: object, **__: object
    ) -> UpstreamResponse:
        """Runs one request.

        Args:
            data: Its bytes; the path names the route.
            deadline_s: Loop time at which it is given up.

        Returns:
            The answer: 200, or 500 where a call that it needs failed.

        Raises:
            RequestError: TARGET_REFUSED or DEADLINE_UNKNOWN.
        """
        route = self.pattern.route(data.split(b" ", 2)[1].decode())
        self.arrivals[route.name] = self.arrivals.get(route.name, 0) + 1
        try:
            async with asyncio.timeout_at(deadline_s):
                return await self._run(route, deadline_s)
        except TimeoutError:
            raise RequestError(ErrorKind.DEADLINE_UNKNOWN) from None

    async def _run(
        self, route: RouteLoad, deadline_s: float
    ) -> UpstreamResponse:
        trouble = self._trouble()
        if trouble and self.rng.random() < trouble.shed_ratio:
            await asyncio.sleep(_TURNED_AWAY_MS / _MS_PER_S)
            raise RequestError(ErrorKind.TARGET_REFUSED)
        async with self.slots:
            times = self.group.work_factors[self.number]
            times *= trouble.work_factor if trouble else 1.0
            spread = self.rng.uniform(1 - _SPREAD, 1 + _SPREAD)
            await asyncio.sleep(route.work_ms * times * spread / _MS_PER_S)
            if await self._calls_succeed(route, deadline_s):
                return UpstreamResponse(200, [], b"")
        return UpstreamResponse(500, [], b"")

    async def _calls_succeed(self, route: RouteLoad, deadline_s: float) -> bool:
        calls = route.calls
        if calls is None or self.rng.random() >= calls.ratio:
            return True
        called = self.pattern.route(calls.route)
        if calls.parallel:
            answered = await asyncio.gather(
                *(self.call(called, deadline_s) for _ in range(calls.count))
            )
            return all(answered)
        for _ in range(calls.count):
            if not await self.call(called, deadline_s):
                return False
        return True

    def is_removed(self) -> bool:
        """Tells whether it has left the mesh."""
        trouble = self._trouble()
        return trouble is not None and trouble.removed

    def _trouble(self) -> Fault | None:
        now_s = asyncio.get_running_loop().time()
        for trouble in self.pattern.faults:
            same = trouble.upstream == self.group.upstream
            lasts = trouble.from_s <= now_s < trouble.until_s
            if same and lasts and self.number < trouble.target_count:
                return trouble
        return None

    def close(self) -> None:
        """Does nothing; there are no connections."""
