"""Callers: they send requests at random times and retry after refusals."""

import asyncio
import random

import attrs

from pomelobank_core import ERROR_RESPONSES, ErrorKind, RunState
from pomelobank_node._requests import ForwardReply, reply_error
from pomelobank_node.tests.virtual_time import VirtualTime, run_in_virtual_time
from pomelobank_testing.experiment._mechanisms import ModelNode
from pomelobank_testing.experiment._mesh import ModelMesh, is_success
from pomelobank_testing.experiment._outcomes import Outcomes
from pomelobank_testing.experiment._patterns import Pattern, RouteLoad

_MS_PER_S = 1000
# One-way network delay between a caller and its node.
_ONE_WAY_S = 0.003
# Callers wait before a retry for as long as the refusal asks them to, but for
# no more than this fraction of the time left before their deadline.
_MAX_PAUSE_RATIO = 1 / 3
# The deadlines of one route's callers are uniformly distributed between this
# fraction below the route's deadline and the route's deadline itself.
_DEADLINE_SPREAD_RATIO = 0.15


@attrs.define(eq=False)
class _Run:
    """One run of a load pattern."""

    mesh: ModelMesh
    outcomes: Outcomes
    seed: int
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def execute(self) -> None:
        departures = asyncio.create_task(self.mesh.run_departures())
        power_loss = asyncio.create_task(self.mesh.run_power_loss())
        routes = [item for item in self.mesh.pattern.routes if item.per_s]
        await asyncio.gather(
            *(self._generate_requests(route) for route in routes)
        )
        while self.tasks:
            await asyncio.wait(self.tasks)
        departures.cancel()
        await asyncio.gather(departures, power_loss, return_exceptions=True)
        for target in self.mesh.targets:
            node = target.group.node(target.number)
            self.outcomes.arrival_times_s[node] = target.arrival_times_s
            for route, count in target.arrivals.items():
                self.outcomes.for_route(route).arrivals += count

    async def _generate_requests(self, route: RouteLoad) -> None:
        loop = asyncio.get_running_loop()
        # A source of randomness of its own for each route gives the same
        # callers at the same times, whichever mechanisms are switched off.
        rng = random.Random(f"{self.seed} {route.name}")
        while loop.time() < self.mesh.pattern.duration_s:
            rate_factor = self.mesh.pattern.rate_factor(loop.time())
            per_s = route.per_s * rate_factor
            await asyncio.sleep(rng.expovariate(per_s))
            entry = rng.choice(self.mesh.nodes)
            deadline_factor = rng.uniform(1 - _DEADLINE_SPREAD_RATIO, 1.0)
            task = loop.create_task(
                self._send_with_retries(entry, route, deadline_factor)
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _send_with_retries(
        self, entry: ModelNode, route: RouteLoad, deadline_factor: float
    ) -> None:
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        deadline_s = begun_s + deadline_factor * route.deadline_ms / _MS_PER_S
        for attempt in range(1 + route.max_retries):
            sent_s = loop.time()
            remaining_ms = (deadline_s - sent_s) * _MS_PER_S
            await asyncio.sleep(_ONE_WAY_S)
            reply = await self.mesh.send_from_caller(entry, route, remaining_ms)
            await asyncio.sleep(_ONE_WAY_S)
            if not self._should_retry(route, reply, attempt):
                break
            attempt_ms = (loop.time() - sent_s) * _MS_PER_S
            self.outcomes.for_route(route.name).refusal_times_ms.append(
                attempt_ms
            )
            remaining_s = max(0.0, deadline_s - loop.time())
            pause_s = reply.retry_after_ms / _MS_PER_S
            await asyncio.sleep(min(pause_s, _MAX_PAUSE_RATIO * remaining_s))
        if self.outcomes.is_measured(begun_s):
            self._count(route, reply, begun_s)

    def _should_retry(
        self, route: RouteLoad, reply: ForwardReply, attempt: int
    ) -> bool:
        if is_success(reply):
            return False
        if attempt >= route.max_retries:
            return False
        return route.idempotent or _has_not_run(reply)

    def _count(
        self, route: RouteLoad, reply: ForwardReply, begun_s: float
    ) -> None:
        outcome = self.outcomes.for_route(route.name)
        outcome.requests += 1
        took_s = asyncio.get_running_loop().time() - begun_s
        value = 0.0
        if is_success(reply):
            if took_s * _MS_PER_S <= route.aim_ms:
                outcome.within_objective += 1
                value = route.value
            else:
                outcome.past_objective += 1
                value = route.late_value
        elif _has_not_run(reply):
            outcome.refused += 1
        else:
            outcome.failed += 1
        self.outcomes.values.append((begun_s, value, route.value))


def _has_not_run(reply: ForwardReply) -> bool:
    error = reply_error(reply)
    if error is None or error.kind is ErrorKind.INTERNAL:
        return False
    return ERROR_RESPONSES[error.kind].run_state is RunState.NOT_RUN


def run_pattern(
    pattern: Pattern, seed: int, without: frozenset[str] = frozenset()
) -> Outcomes:
    """Replays a load pattern once.

    Args:
        pattern: The load pattern.
        seed: Seed of the run.
        without: Names of the mechanisms that are switched off.

    Returns:
        The outcomes of the callers' requests.
    """
    time = VirtualTime()
    outcomes = Outcomes(pattern)
    mesh = ModelMesh(pattern, time, random.Random(seed), without, seed)
    run_in_virtual_time(time, _Run(mesh, outcomes, seed).execute())
    return outcomes
