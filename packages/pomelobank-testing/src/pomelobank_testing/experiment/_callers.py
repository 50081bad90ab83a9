"""Callers: they come at random, wait, and come back after a refusal."""

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
# A caller's way to its node and back.
_WAY_S = 0.003
# Callers wait as they are told, up to this part of the time they have left.
_MOST_PAUSE_PART = 1 / 3
# Callers of one route differ in their patience by so much.
_IMPATIENCE = 0.15


@attrs.define(eq=False)
class _Run:
    """One run of a pattern."""

    mesh: ModelMesh
    outcomes: Outcomes
    seed: int
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def play(self) -> None:
        departures = asyncio.create_task(self.mesh.run_departures())
        routes = [item for item in self.mesh.pattern.routes if item.per_s]
        await asyncio.gather(*(self._arrive(route) for route in routes))
        while self.tasks:
            await asyncio.wait(self.tasks)
        departures.cancel()
        await asyncio.gather(departures, return_exceptions=True)
        for target in self.mesh.targets:
            for route, count in target.arrivals.items():
                self.outcomes.for_route(route).arrivals += count

    async def _arrive(self, route: RouteLoad) -> None:
        loop = asyncio.get_running_loop()
        # The same callers come at the same moments whatever is switched off.
        rng = random.Random(f"{self.seed} {route.name}")
        while loop.time() < self.mesh.pattern.duration_s:
            per_s = route.per_s * self._times(loop.time())
            await asyncio.sleep(rng.expovariate(per_s))
            entry = rng.choice(self.mesh.nodes)
            patience = rng.uniform(1 - _IMPATIENCE, 1.0)
            task = loop.create_task(self._call(entry, route, patience))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def _times(self, now_s: float) -> float:
        for burst in self.mesh.pattern.bursts:
            if burst.from_s <= now_s < burst.until_s:
                return burst.rate_factor
        return 1.0

    async def _call(
        self, entry: ModelNode, route: RouteLoad, patience: float
    ) -> None:
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        deadline_s = begun_s + patience * route.deadline_ms / _MS_PER_S
        for attempt in range(1 + route.max_retries):
            sent_s = loop.time()
            left_ms = (deadline_s - sent_s) * _MS_PER_S
            await asyncio.sleep(_WAY_S)
            reply = await self.mesh.send(entry, route, left_ms)
            await asyncio.sleep(_WAY_S)
            if not self._comes_back(route, reply, attempt):
                break
            held_ms = (loop.time() - sent_s) * _MS_PER_S
            self.outcomes.for_route(route.name).refusal_times_ms.append(held_ms)
            left_s = max(0.0, deadline_s - loop.time())
            pause_s = reply.retry_after_ms / _MS_PER_S
            await asyncio.sleep(min(pause_s, _MOST_PAUSE_PART * left_s))
        if self.outcomes.is_measured(begun_s):
            self._count(route, reply, loop.time() - begun_s)

    def _comes_back(
        self, route: RouteLoad, reply: ForwardReply, attempt: int
    ) -> bool:
        if is_success(reply):
            return False
        if attempt >= route.max_retries:
            return False
        return route.idempotent or _has_not_run(reply)

    def _count(
        self, route: RouteLoad, reply: ForwardReply, took_s: float
    ) -> None:
        outcome = self.outcomes.for_route(route.name)
        outcome.requests += 1
        if is_success(reply):
            if took_s * _MS_PER_S <= route.aim_ms:
                outcome.within_objective += 1
            else:
                outcome.past_objective += 1
        elif _has_not_run(reply):
            outcome.refused += 1
        else:
            outcome.failed += 1


def _has_not_run(reply: ForwardReply) -> bool:
    error = reply_error(reply)
    if error is None or error.kind is ErrorKind.INTERNAL:
        return False
    return ERROR_RESPONSES[error.kind].run_state is RunState.NOT_RUN


def run_pattern(
    pattern: Pattern, seed: int, without: frozenset[str] = frozenset()
) -> Outcomes:
    """Replays a load once.

    Args:
        pattern: The load.
        seed: Seed of the run.
        without: Mechanisms that are switched off.

    Returns:
        What became of the callers.
    """
    time = VirtualTime()
    outcomes = Outcomes(pattern)
    mesh = ModelMesh(pattern, time, random.Random(seed), without)
    run_in_virtual_time(time, _Run(mesh, outcomes, seed).play())
    return outcomes
