"""A model of a target: slots, service times, load shedding, inner calls."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import attrs

from pomelobank_core import ErrorKind
from pomelobank_node.platform_api import (
    HttpConventions,
    RequestError,
    UpstreamResponse,
)
from pomelobank_testing.experiment._patterns import (
    Fault,
    Pattern,
    RouteLoad,
    TargetGroup,
)

_MS_PER_S = 1000
_RATE_LIMIT_HEADER = HttpConventions().rate_limit
# A request's service time is uniformly distributed around the route's mean, up
# to this fraction of the mean above and below.
_WORK_SPREAD_RATIO = 0.4
# Time after which a target refuses a request that it sheds.
_SHED_RESPONSE_MS = 1.0
Call = Callable[[RouteLoad, float], Awaitable[bool]]


@attrs.define(eq=False)
class ModelTarget:
    """Replaces a node's connections to its target.

    Attributes:
        pattern: The load pattern.
        group: The group of targets that this target belongs to.
        number: The target's index in the group.
        rng: Source of randomness.
        call: Makes a call through the mesh; tells whether the call succeeded.
        seed: Seed of the run, from which the target's pauses are drawn.
        slots: Limits the requests that run at once.
        arrivals: Requests that reached the target, by route.
        arrival_times_s: When these requests reached the target.
    """

    pattern: Pattern
    group: TargetGroup
    number: int
    rng: random.Random
    call: Call
    seed: int = 0
    slots: asyncio.Semaphore = attrs.field(init=False)
    arrivals: dict[str, int] = attrs.field(factory=dict)
    arrival_times_s: list[float] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.slots = asyncio.Semaphore(self.group.slots)

    async def request(
        self, data: bytes, deadline_s: float, *_: object, **__: object
    ) -> UpstreamResponse:
        """Runs one request.

        Args:
            data: Bytes of the request; the path names the route.
            deadline_s: Event loop time at which the request times out.

        Returns:
            The response: 200, or 500 where an inner call failed.

        Raises:
            RequestError: TARGET_REFUSED if the target sheds the request;
                DEADLINE_UNKNOWN if the request times out.
        """
        route = self.pattern.route(data.split(b" ", 2)[1].decode())
        self.arrivals[route.name] = self.arrivals.get(route.name, 0) + 1
        self.arrival_times_s.append(asyncio.get_running_loop().time())
        try:
            async with asyncio.timeout_at(deadline_s):
                return await self._run(route, deadline_s)
        except TimeoutError:
            raise RequestError(ErrorKind.DEADLINE_UNKNOWN) from None

    async def _run(
        self, route: RouteLoad, deadline_s: float
    ) -> UpstreamResponse:
        fault = self._current_fault()
        if fault and self.rng.random() < fault.shed_ratio:
            await asyncio.sleep(_SHED_RESPONSE_MS / _MS_PER_S)
            raise RequestError(ErrorKind.TARGET_REFUSED)
        async with self.slots:
            work_factor = self._work_factor()
            spread = self.rng.uniform(
                1 - _WORK_SPREAD_RATIO, 1 + _WORK_SPREAD_RATIO
            )
            await asyncio.sleep(
                route.work_ms * work_factor * spread / _MS_PER_S
            )
            if await self._calls_succeed(route, deadline_s):
                return UpstreamResponse(200, self._headers(), b"")
        return UpstreamResponse(500, self._headers(), b"")

    def _work_factor(self) -> float:
        now_s = asyncio.get_running_loop().time()
        work_factor = self.group.work_factors[self.number]
        fault = self._current_fault()
        if fault is not None:
            work_factor *= fault.work_factor
        if self.pattern.power_loss is not None:
            work_factor *= self.pattern.power_loss.work_factor(now_s)
        long_requests = self.pattern.long_requests
        if long_requests.ratio and self.rng.random() < long_requests.ratio:
            work_factor *= long_requests.work_factor
        return work_factor * self._pause_factor(now_s)

    def _pause_factor(self, now_s: float) -> float:
        pauses = self.group.pauses
        if pauses is None:
            return 1.0
        # Drawn from the period's number, so that a target pauses at the same
        # times whichever mechanisms are switched off.
        period = int(now_s / pauses.period_s)
        node = self.group.node(self.number)
        draw = random.Random(f"{self.seed} {node} {period}").random()
        return pauses.work_factor if draw < pauses.ratio else 1.0

    def _headers(self) -> list[tuple[bytes, bytes]]:
        fault = self._current_fault()
        if fault is None or not fault.limit_per_s:
            return []
        return [(_RATE_LIMIT_HEADER, str(fault.limit_per_s).encode())]

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
        """Tells whether the target has left the mesh."""
        fault = self._current_fault()
        return fault is not None and fault.removed

    def _current_fault(self) -> Fault | None:
        now_s = asyncio.get_running_loop().time()
        for fault in self.pattern.faults:
            is_same_upstream = fault.upstream == self.group.upstream
            is_active = fault.from_s <= now_s < fault.until_s
            if (
                is_same_upstream
                and is_active
                and self.number < fault.target_count
            ):
                return fault
        return None

    def close(self) -> None:
        """Does nothing, because the model has no connections."""
