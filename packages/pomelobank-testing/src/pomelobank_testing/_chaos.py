"""Mixed traffic and operators' changes while faults come one upon the other.

A seed fixes which faults come and in which order; what must always hold is
checked afterwards on every answer, run count, version and object.
"""

import argparse
import asyncio
import json
import random
import signal
import uuid
from collections import Counter
from collections.abc import Awaitable, Callable

import aiohttp
import attrs
import grpc

from pomelobank_schema.generated import operator_pb2 as pb
from pomelobank_schema.generated.operator_pb2_grpc import OperatorStub
from pomelobank_testing._harness import TestMesh
from pomelobank_testing._log_service import LogFaults
from pomelobank_testing._upstream_service import UpstreamService

DATA_CENTRES = ("hobart", "launceston")
SERVICE = "replenish"
UPSTREAM = "replenish-main"
ROUTE_TIMEOUT_MS = 3000
# A caller that hears nothing for so long was left without an answer.
SILENCE_S = 20.0
SETTLE_S = 60.0
_FREEZE_S = 6.0
_OUTAGE_S = 3.0
_POLL_S = 0.1
_OK = 200
_NOT_RUN = "not-run"


@attrs.define
class SentRequest:
    """One sending of a request and how it ended.

    Attributes:
        run_id: What the target counts.
        method: HTTP method.
        key: Idempotency key; empty without.
        outcome: "answered", the error kind, or why there was none.
        run: What the answer says about the run.
    """

    run_id: str
    method: str
    key: str
    outcome: str = ""
    run: str = ""


@attrs.define(eq=False)
class Chaos:
    """One seeded run.

    Attributes:
        mesh: The mesh under test.
        faults: Chooses the faults; nothing else draws from it, so that a seed
            stands for one sequence of faults.
        rng: Chooses traffic and changes.
        down: Nodes that a fault holds down just now.
        sent: Every sending so far.
        changes: Verdict of every change, by change id.
        problems: What did not hold.
        versions: Highest version seen of each start of a node.
        pace_s: Pause between two requests of one caller, in seconds.
    """

    mesh: TestMesh
    faults: random.Random
    rng: random.Random
    down: set[str] = attrs.field(factory=set)
    sent: list[SentRequest] = attrs.field(factory=list)
    changes: dict[str, int] = attrs.field(factory=dict)
    problems: list[str] = attrs.field(factory=list)
    versions: dict[tuple[str, int], int] = attrs.field(factory=dict)
    pace_s: float = 0.02

    def _listening(self) -> list[str]:
        """Returns the nodes whose addresses are known, frozen ones too."""
        return sorted(
            name for name, node in self.mesh.nodes.items() if node.addresses
        )

    # Traffic.

    async def call_forever(self, caller: int) -> None:
        """Sends requests one after the other until it is cancelled."""
        while True:
            await self._call(caller)
            await asyncio.sleep(self.pace_s)

    async def _call(self, caller: int) -> None:
        method = self.rng.choice(("GET", "POST", "POST"))
        run_id = f"{caller}-{uuid.uuid4().hex}"
        key = ""
        sendings = 1
        if method == "POST" and self.rng.random() < 1 / 2:
            key, sendings = run_id, 3
        for _ in range(sendings):
            sent = SentRequest(run_id, method, key)
            self.sent.append(sent)
            await self._send(sent)
            if sent.outcome == "answered":
                return

    async def _send(self, sent: SentRequest) -> None:
        entry = self.rng.choice(self._listening())
        headers = {"x-run-id": sent.run_id, "x-work-ms": "5"}
        if sent.key:
            headers["idempotency-key"] = sent.key
        try:
            async with asyncio.timeout(SILENCE_S):
                status, answered, body = await self.mesh.request(
                    entry, SERVICE, "/reorders", sent.method, headers=headers
                )
        except aiohttp.ClientError as error:
            sent.outcome = type(error).__name__
        except TimeoutError:
            sent.outcome = "silence"
            # A frozen entry cannot answer; its own callers see the silence.
            if entry not in self.down:
                self.problems.append(f"no answer from {entry}: {sent}")
        else:
            self._take_answer(sent, status, answered, body)

    def _take_answer(
        self,
        sent: SentRequest,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        if status == _OK:
            sent.outcome = "answered"
            if json.loads(body).get("run_id") != sent.run_id:
                self.problems.append(f"another's answer: {sent}, {body!r}")
            return
        sent.outcome = headers.get("x-pomelobank-error", f"status {status}")
        sent.run = headers.get("x-pomelobank-run", "")
        if sent.outcome == "no_route":
            # The route was in force before the first request and stays.
            self.problems.append(f"an accepted route was not known: {sent}")

    # Operators.

    async def operate_forever(self) -> None:
        """Lets two operators change the same route until it is cancelled."""
        while True:
            await asyncio.gather(self._change("ann"), self._change("bob"))
            await asyncio.sleep(self.rng.uniform(0.1, 0.5))

    async def _change(self, author: str) -> None:
        name = self.rng.choice(self._listening())
        change_id = f"{author}-{uuid.uuid4().hex}"
        address = self.mesh.nodes[name].addresses["operator"]
        try:
            async with grpc.aio.insecure_channel(address) as channel:
                stub = OperatorStub(channel)
                config = await stub.GetConfig(pb.GetConfigRequest(), timeout=5)
                request = self._edit(config, author, change_id)
                if request is None:
                    return
                self.changes[change_id] = pb.CHANGE_UNKNOWN
                reply = await stub.Apply(request, timeout=10)
        except grpc.RpcError:
            return
        self.changes[change_id] = reply.status

    def _edit(
        self, config: pb.GetConfigReply, author: str, change_id: str
    ) -> pb.ApplyRequest | None:
        routes = [item for item in config.objects if item.HasField("route")]
        if not routes:
            return None
        edited = pb.ConfigObject()
        edited.CopyFrom(routes[0])
        edited.route.timeout_ms = ROUTE_TIMEOUT_MS + self.rng.randrange(100)
        operation = pb.Operation(
            kind=pb.Operation.PUT,
            object=edited,
            expected_revision=routes[0].revision,
        )
        return pb.ApplyRequest(
            change_id=change_id, author=author, operations=[operation]
        )

    # Watching.

    async def watch_forever(self) -> None:
        """Notes every node's version until it is cancelled."""
        while True:
            for name in self._listening():
                if name not in self.down:
                    await self._watch(name)
            await asyncio.sleep(_POLL_S)

    async def _watch(self, name: str) -> None:
        node = self.mesh.nodes[name]
        try:
            async with grpc.aio.insecure_channel(
                node.addresses["operator"]
            ) as channel:
                reply = await OperatorStub(channel).GetStatus(
                    pb.StatusRequest(), timeout=1
                )
        except grpc.RpcError:
            return
        start = (name, node.process.pid)
        before = self.versions.get(start, 0)
        if reply.version < before:
            self.problems.append(
                f"{name} went back from version {before} to {reply.version}"
            )
        self.versions[start] = max(before, reply.version)

    # Faults.

    async def fault(self) -> str:
        """Carries out the next fault of the seed; returns its name."""
        choices: dict[str, Callable[[], Awaitable[None]]] = {
            "kill": self._kill_one,
            "herd": self._kill_half,
            "freeze": self._freeze,
            "stop": self._stop_one,
            "log outage": self._log_outage,
            "lost append answers": self._lose_answers,
            "slow log": self._slow_log,
        }
        name = self.faults.choice(sorted(choices))
        await choices[name]()
        return name

    def _pick(self) -> str:
        return self.faults.choice(sorted(set(self.mesh.nodes) - self.down))

    async def _restart(self, name: str) -> None:
        index = sorted(self.mesh.nodes).index(name)
        await self.mesh.add_node(name, DATA_CENTRES[index % 2])
        self.down.discard(name)

    async def _kill_one(self) -> None:
        await self._kill([self._pick()])

    async def _kill_half(self) -> None:
        up = sorted(set(self.mesh.nodes) - self.down)
        await self._kill(self.faults.sample(up, len(up) // 2))

    async def _kill(self, names: list[str]) -> None:
        self.down.update(names)
        await asyncio.gather(*(self.mesh.nodes[name].kill() for name in names))
        await asyncio.gather(*(self._restart(name) for name in names))

    async def _stop_one(self) -> None:
        name = self._pick()
        self.down.add(name)
        status = await self.mesh.nodes[name].stop()
        if status:
            self.problems.append(f"{name} ended with status {status}")
        await self._restart(name)

    async def _freeze(self) -> None:
        name = self._pick()
        self.down.add(name)
        self.mesh.nodes[name].signal(signal.SIGSTOP)
        await asyncio.sleep(_FREEZE_S)
        self.mesh.nodes[name].signal(signal.SIGCONT)
        self.down.discard(name)

    async def _log_outage(self) -> None:
        self.mesh.log.faults = LogFaults(outage=True)
        await asyncio.sleep(_OUTAGE_S)
        self.mesh.log.faults = LogFaults()

    async def _lose_answers(self) -> None:
        self.mesh.log.faults = LogFaults(lose_answers=5)
        await asyncio.sleep(1)

    async def _slow_log(self) -> None:
        self.mesh.log.faults = LogFaults(delay_ms=400)
        await asyncio.sleep(_OUTAGE_S)
        self.mesh.log.faults = LogFaults()

    # What must hold.

    async def settle(self) -> None:
        """Waits until every node has the same configuration again."""
        self.mesh.log.faults = LogFaults()
        async with asyncio.timeout(SETTLE_S):
            while len(set(await self._configurations())) > 1:  # noqa: ASYNC110
                await asyncio.sleep(_POLL_S)

    async def _configurations(self) -> list[bytes]:
        found = []
        for name in sorted(self.mesh.nodes):
            address = self.mesh.nodes[name].addresses["operator"]
            async with grpc.aio.insecure_channel(address) as channel:
                reply = await OperatorStub(channel).GetConfig(
                    pb.GetConfigRequest(), timeout=10
                )
                found.append(reply.SerializeToString(deterministic=True))
        return found

    async def check_changes(self) -> None:
        """Checks every verdict against each node's own."""
        for name in sorted(self.mesh.nodes):
            address = self.mesh.nodes[name].addresses["operator"]
            async with grpc.aio.insecure_channel(address) as channel:
                reply = await OperatorStub(channel).GetAudit(
                    pb.AuditRequest(), timeout=10
                )
            decided = {item.change_id: item.status for item in reply.entries}
            for change_id, status in self.changes.items():
                self._check_change(name, change_id, status, decided)

    def _check_change(
        self, name: str, change_id: str, status: int, decided: dict[str, int]
    ) -> None:
        known = decided.get(change_id)
        if status == pb.CHANGE_ACCEPTED and known != pb.CHANGE_ACCEPTED:
            self.problems.append(f"{name} lost accepted change {change_id}")
        if status == pb.CHANGE_REJECTED and known == pb.CHANGE_ACCEPTED:
            self.problems.append(f"{name} accepted rejected {change_id}")

    def check_runs(self) -> None:
        """Checks how often each request ran against what was answered."""
        runs: Counter[str] = Counter()
        for target in self.mesh.targets.values():
            runs.update(target.service.runs)
        sendings: dict[str, list[SentRequest]] = {}
        for sent in self.sent:
            sendings.setdefault(sent.run_id, []).append(sent)
        for run_id, tries in sendings.items():
            self._check_request(tries, runs[run_id])

    def _check_request(self, tries: list[SentRequest], runs: int) -> None:
        if tries[0].method == "POST" and runs > 1:
            self.problems.append(f"ran {runs} times: {tries}")
        if runs and all(sent.run == _NOT_RUN for sent in tries):
            self.problems.append(f"ran although not run was said: {tries}")
        answered = any(sent.outcome == "answered" for sent in tries)
        if answered and not runs:
            self.problems.append(f"answered without a run: {tries}")


def document() -> dict[str, object]:
    """Returns the configuration of the mesh under test."""
    return {
        "services": [{"name": SERVICE}],
        "upstreams": [{"name": UPSTREAM, "service": SERVICE}],
        "routes": [
            {
                "name": "reorders",
                "service": SERVICE,
                "path_prefix": "/reorders",
                "timeout_ms": ROUTE_TIMEOUT_MS,
                "destinations": [{"upstream": UPSTREAM, "weight": 1}],
            }
        ],
    }


async def run(seed: int, nodes: int, faults: int, callers: int) -> Chaos:
    """Runs one seed.

    Args:
        seed: Fixes the faults and their order.
        nodes: Number of nodes, each with a target.
        faults: Number of faults.
        callers: Callers that send requests all the time.

    Returns:
        What was seen; its problems are empty where everything held.
    """
    async with TestMesh() as mesh:
        names = [f"node-{index}" for index in range(nodes)]
        await asyncio.gather(
            *(
                mesh.add_node(
                    name,
                    DATA_CENTRES[index % 2],
                    UpstreamService(name, UPSTREAM),
                )
                for index, name in enumerate(names)
            )
        )
        status, output = await mesh.apply(names[0], document())
        assert status == 0, output
        await mesh.wait_members(nodes)
        chaos = Chaos(mesh, random.Random(seed), random.Random(seed))
        background = [
            asyncio.create_task(chaos.call_forever(caller))
            for caller in range(callers)
        ]
        background.append(asyncio.create_task(chaos.operate_forever()))
        background.append(asyncio.create_task(chaos.watch_forever()))
        for _ in range(faults):
            name = await chaos.fault()
            print(f"seed {seed}: {name}", flush=True)
        await asyncio.sleep(1)
        await _finish(chaos, background)
        return chaos


async def _finish(chaos: Chaos, background: list[asyncio.Task[None]]) -> None:
    for task in background:
        task.cancel()
    ended = await asyncio.gather(*background, return_exceptions=True)
    chaos.problems += [
        f"a task failed: {item!r}"
        for item in ended
        if not isinstance(item, asyncio.CancelledError)
    ]
    await chaos.settle()
    await chaos.check_changes()
    chaos.check_runs()


def main(arguments: list[str] | None = None) -> int:
    """Runs seeds; returns 1 where something did not hold."""
    parser = argparse.ArgumentParser(prog="chaos", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--faults", type=int, default=6)
    parser.add_argument("--callers", type=int, default=8)
    options = parser.parse_args(arguments)
    chaos = asyncio.run(
        run(options.seed, options.nodes, options.faults, options.callers)
    )
    answers = Counter(sent.outcome for sent in chaos.sent)
    verdicts = Counter(chaos.changes.values())
    print(f"{len(chaos.sent)} sendings: {dict(answers.most_common())}")
    print(f"{len(chaos.changes)} changes by status: {dict(verdicts)}")
    for problem in chaos.problems[:20]:
        print(f"problem: {problem}")
    print(f"{len(chaos.problems)} problems")
    return 1 if chaos.problems else 0
