"""Mixed traffic of which every request is accounted for afterwards."""

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
_PATIENCE_S = 20.0


@attrs.frozen
class SentRequest:
    """One request and how it ended for its caller.

    Attributes:
        run_id: Its own id, which targets count.
        entry: Node that it was sent to.
        method: HTTP method.
        body_bytes: Size of its body.
        status: HTTP status; 0 where the caller got no whole answer.
        error: The system's error kind, empty for a target's answer.
        run: What the system says about whether it ran.
        problem: What is wrong with the answer, empty where nothing is.
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
        mesh: Where to.
        service: Service that is addressed.
        path: Path of the requests.
        entries: Nodes that callers use.
        callers: Number of callers.
        max_work_ms: Longest work of a request.
        rng: Source of randomness.
        sent: Requests that have ended.
        in_flight: Requests that have not.
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
            asyncio.create_task(self._call_on(index))
            for index in range(self.callers)
        ]

    async def stop(self) -> None:
        """Lets every caller finish its request."""
        self.stopping = True
        await asyncio.gather(*self.tasks)

    async def wait_for(self, count: int, entries: Iterable[str] = ()) -> None:
        """Waits until so many further requests were answered by a target.

        Args:
            count: How many.
            entries: Count only requests sent to these nodes; all by default.
        """
        wanted = set(entries) or set(self.entries)
        begin = len(self.sent)
        async with asyncio.timeout(_PATIENCE_S):
            while True:
                answered = [
                    item
                    for item in self.sent[begin:]
                    if item.status == _OK and item.entry in wanted
                ]
                if len(answered) >= count:
                    return
                self.ended.clear()
                await self.ended.wait()

    async def _call_on(self, index: int) -> None:
        entry = self.entries[index % len(self.entries)]
        while not self.stopping:
            self.in_flight += 1
            outcome = await self._call(entry)
            self.in_flight -= 1
            self.sent.append(outcome)
            self.ended.set()
            if outcome.status != _OK:
                # A caller that was refused does not come back at once.
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
            async with asyncio.timeout(_PATIENCE_S):
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
            return attrs.evolve(request, problem="silence")
        return _judge(request, status, received, body)


def _judge(
    request: SentRequest, status: int, headers: Mapping[str, str], body: bytes
) -> SentRequest:
    error = headers.get("x-pomelobank-error", "")
    run = headers.get("x-pomelobank-run", "")
    problem = ""
    document = json.loads(body)
    if status == _OK:
        expected = request.body_bytes if request.method == "POST" else 0
        if document["run_id"] != request.run_id:
            problem = "an answer to another request"
        elif document["body_bytes"] != expected:
            problem = "the target got another body"
    elif error and (document["error"], document["run"]) != (error, run):
        problem = "headers and body of the error differ"
    return attrs.evolve(
        request, status=status, error=error, run=run, problem=problem
    )


def find_faults(
    sent: Iterable[SentRequest],
    runs: Counter[str],
    lost_entries: Iterable[str] = (),
) -> list[str]:
    """Returns every promise that was broken, empty where all were kept.

    Args:
        sent: All requests that ended.
        runs: How often each id ran on all targets together.
        lost_entries: Nodes that were killed while callers used them; only
            there may a connection end without an answer.

    Returns:
        One line for each fault.
    """
    lost = set(lost_entries)
    faults = []
    for item in sent:
        count = runs[item.run_id]
        if item.problem and not (
            item.problem == "no answer" and item.entry in lost
        ):
            faults.append(f"{item}: {item.problem}")
        if item.method == "POST" and count > 1:
            faults.append(f"{item}: ran {count} times")
        if item.run == _NOT_RUN and count:
            faults.append(f"{item}: said not run and ran")
        if item.status == _OK and not count:
            faults.append(f"{item}: answered and never ran")
        if item.status not in (_OK, 0) and not item.error and count:
            faults.append(f"{item}: refused by the target and ran")
    return faults


def count_runs(mesh: TestMesh) -> Counter[str]:
    """Returns how often each id ran on all targets together."""
    total: Counter[str] = Counter()
    for target in mesh.targets.values():
        total.update(target.service.runs)
    return total
