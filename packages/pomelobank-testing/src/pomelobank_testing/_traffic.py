"""Mixed traffic with a check of every request's outcome and run count."""

import asyncio
import json
import random
from collections import Counter
from collections.abc import Iterable, Mapping

import aiohttp
import attrs

from pomelobank_testing._harness import TestMesh

_OK = 200
_NOT_RUN = "not-run"
_TIMEOUT_S = 20.0


@attrs.frozen
class SentRequest:
    """One request and its outcome for the caller.

    Attributes:
        run_id: Unique id by which targets count the request's runs.
        entry: Node that the request was sent to.
        method: HTTP method.
        body_bytes: Size of the request's body.
        status: HTTP status; 0 if the caller got no complete response.
        error: The system's error kind; empty for a target's response.
        run: The response's statement about whether the request ran.
        problem: Fault of the response; empty for a correct response.
    """

    run_id: str
    entry: str
    method: str
    body_bytes: int
    status: int = 0
    error: str = ""
    run: str = ""
    problem: str = ""


@attrs.define(eq=False)
class Traffic:
    """Callers that send one request after the other.

    Attributes:
        mesh: The mesh that receives the requests.
        service: Service that the requests address.
        path: Path of the requests.
        entries: Nodes that callers use.
        callers: Number of callers.
        max_work_ms: Maximum service time of a request.
        rng: Source of randomness.
        sent: Requests that have ended.
        in_flight: Number of requests that have not ended.
        tasks: The callers' tasks.
        ended: Set whenever a request ends.
        stopping: Whether callers stop after their present request.
        numbers: Number of requests so far.
    """

    mesh: TestMesh
    service: str
    path: str
    entries: list[str]
    callers: int = 12
    max_work_ms: int = 30
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))
    sent: list[SentRequest] = attrs.field(factory=list)
    in_flight: int = 0
    tasks: list[asyncio.Task[None]] = attrs.field(factory=list)
    ended: asyncio.Event = attrs.field(factory=asyncio.Event)
    stopping: bool = False
    numbers: int = 0

    def start(self) -> None:
        """Starts every caller."""
        self.tasks = [
            asyncio.create_task(self._run_caller(index))
            for index in range(self.callers)
        ]

    async def stop(self) -> None:
        """Stops all callers after their present requests."""
        self.stopping = True
        await asyncio.gather(*self.tasks)

    async def wait_for(self, count: int, entries: Iterable[str] = ()) -> None:
        """Waits until targets have answered a number of further requests.

        Args:
            count: Number of requests.
            entries: Nodes whose requests count; all nodes by default.
        """
        counted_entries = set(entries) or set(self.entries)
        first_new = len(self.sent)
        async with asyncio.timeout(_TIMEOUT_S):
            while True:
                answered = [
                    item
                    for item in self.sent[first_new:]
                    if item.status == _OK and item.entry in counted_entries
                ]
                if len(answered) >= count:
                    return
                self.ended.clear()
                await self.ended.wait()

    async def _run_caller(self, index: int) -> None:
        entry = self.entries[index % len(self.entries)]
        while not self.stopping:
            self.in_flight += 1
            outcome = await self._call(entry)
            self.in_flight -= 1
            self.sent.append(outcome)
            self.ended.set()
            if outcome.status != _OK:
                # A refused caller pauses before its next request.
                await asyncio.sleep(0.02)

    async def _call(self, entry: str) -> SentRequest:
        self.numbers += 1
        request = SentRequest(
            run_id=f"run-{self.numbers}",
            entry=entry,
            method=self.rng.choice(("GET", "POST")),
            body_bytes=self.rng.choice((0, 200, 200, 5000)),
        )
        headers = {
            "x-run-id": request.run_id,
            "x-work-ms": str(self.rng.randint(0, self.max_work_ms)),
        }
        arguments = {}
        if request.method == "POST":
            arguments["data"] = bytes(request.body_bytes)
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                status, received, body = await self.mesh.request(
                    entry,
                    self.service,
                    self.path,
                    request.method,
                    headers=headers,
                    **arguments,
                )
        except aiohttp.ClientError:
            return attrs.evolve(request, problem="no answer")
        except TimeoutError:
            return attrs.evolve(request, problem="timeout")
        return _check_response(request, status, received, body)


def _check_response(
    request: SentRequest, status: int, headers: Mapping[str, str], body: bytes
) -> SentRequest:
    error = headers.get("x-pomelobank-error", "")
    run = headers.get("x-pomelobank-run", "")
    problem = ""
    document = json.loads(body)
    if status == _OK:
        expected = request.body_bytes if request.method == "POST" else 0
        if document["run_id"] != request.run_id:
            problem = "response to another request"
        elif document["body_bytes"] != expected:
            problem = "the target received a body of another size"
    elif error and (document["error"], document["run"]) != (error, run):
        problem = "the error's headers and body disagree"
    return attrs.evolve(
        request, status=status, error=error, run=run, problem=problem
    )


def find_faults(
    sent: Iterable[SentRequest],
    runs: Counter[str],
    lost_entries: Iterable[str] = (),
) -> list[str]:
    """Returns every violated guarantee; empty if all guarantees held.

    Args:
        sent: All requests that ended.
        runs: Number of runs of each id on all targets together.
        lost_entries: Nodes that were stopped or killed while callers used
            them; only at these nodes may a request end without a response.

    Returns:
        One line for each violation.
    """
    unreachable_entries = set(lost_entries)
    faults = []
    for item in sent:
        count = runs[item.run_id]
        if item.problem and not (
            item.problem == "no answer" and item.entry in unreachable_entries
        ):
            faults.append(f"{item}: {item.problem}")
        if item.method == "POST" and count > 1:
            faults.append(f"{item}: a POST ran {count} times")
        if item.run == _NOT_RUN and count:
            faults.append(f"{item}: reported as not run, but ran")
        if item.status == _OK and not count:
            faults.append(f"{item}: answered, but never ran")
        if item.status not in (_OK, 0) and not item.error and count:
            faults.append(f"{item}: refused by the target, but ran")
    return faults


def count_runs(mesh: TestMesh) -> Counter[str]:
    """Returns the number of runs of each id on all targets together."""
    total: Counter[str] = Counter()
    for target in mesh.targets.values():
        total.update(target.service.runs)
    return total
