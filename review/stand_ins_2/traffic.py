"""Consumers that send requests at a rate, and a record of their attempts."""

import asyncio
import random
from collections.abc import Callable

from stand_ins_2.consumer import Attempt, send
from stand_ins_2.deployment import HOST, Deployment, Machine


class Traffic:
    """The consumers of a deployment.

    Attributes:
        deployment: Where they send.
        attempts: Attempts that have ended.
        tasks: Attempts under way.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.attempts: list[Attempt] = []
        self.tasks: set[asyncio.Task[Attempt]] = set()

    async def run(
        self,
        per_s: float,
        new_path: Callable[[], str],
        deadline_s: float,
        service: str = "",
        method: str = "GET",
        body: bytes = b"",
    ) -> None:
        """Sends requests at random times until it is cancelled.

        Args:
            per_s: Mean rate.
            new_path: Returns the path of each request.
            deadline_s: Time that the consumer waits.
            service: Service of the machines where the requests begin; empty
                for all machines.
            method: HTTP method.
            body: Body of each request.
        """
        while True:
            await asyncio.sleep(random.expovariate(per_s))
            ready = [
                item
                for item in self.deployment.machines
                if item.is_ready and service in ("", item.target.service)
            ]
            if ready:
                machine = random.choice(ready)
                self.start(machine, new_path(), deadline_s, method, body)

    def start(
        self,
        machine: Machine,
        path: str,
        deadline_s: float,
        method: str = "GET",
        body: bytes = b"",
    ) -> asyncio.Task[Attempt]:
        """Sends a request without waiting for its answer."""
        task = asyncio.create_task(
            self.one(machine, path, deadline_s, method, body)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def one(
        self,
        machine: Machine,
        path: str,
        deadline_s: float,
        method: str = "GET",
        body: bytes = b"",
    ) -> Attempt:
        """Sends a request and records what became of it."""
        address = machine.address("http")
        attempt = await send(
            machine.name, address, HOST, path, deadline_s, method, body
        )
        self.attempts.append(attempt)
        self.deployment.record.write(
            f"{attempt.request_id} {method} {path} at {machine.name}:"
            f" {attempt.ended} {attempt.status} {attempt.kind}"
            f" retry-after {attempt.retry_after_s}"
        )
        return attempt
