"""Mixed traffic and operators' changes during a sequence of faults.

A seed fixes the faults and their order. After the faults, the tool checks the
invariants on every response, run count, version and configuration object.
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
# A request without a response for this long counts as unanswered.
RESPONSE_TIMEOUT_S = 20.0
CONVERGENCE_TIMEOUT_S = 60.0
_FREEZE_DURATION_S = 6.0
_OUTAGE_DURATION_S = 3.0
_POLL_INTERVAL_S = 0.1
_OK = 200
_NOT_RUN = "not-run"


@attrs.define
class SentRequest:
    """One attempt of a request and its outcome.

    Attributes:
        run_id: Id by which the target counts the request's runs.
        method: HTTP method.
        key: Idempotency key; empty for a request without a key.
        outcome: "answered", the error kind, or the reason why the caller got
            no response.
        run: The response's statement about whether the request ran.
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
        faults: Source of randomness for the faults alone, so that a seed
            always gives the same sequence of faults.
        rng: Source of randomness for traffic and changes.
        down: Nodes that a fault currently keeps stopped or frozen.
        sent: Every attempt so far.
        changes: Status of every change, by change id.
        problems: Violated invariants.
        versions: Highest version seen, by node and process id.
        request_pause_s: Pause between two requests of one caller, in seconds.
    """

    mesh: TestMesh
    faults: random.Random
    rng: random.Random
    down: set[str] = attrs.field(factory=set)
    sent: list[SentRequest] = attrs.field(factory=list)
    changes: dict[str, int] = attrs.field(factory=dict)
    problems: list[str] = attrs.field(factory=list)
    versions: dict[tuple[str, int], int] = attrs.field(factory=dict)
    request_pause_s: float = 0.02

    def _reachable_nodes(self) -> list[str]:
        """Returns all nodes of known addresses, frozen nodes included."""
        return sorted(
            name for name, node in self.mesh.nodes.items() if node.addresses
        )

    # Traffic.

    async def call_forever(self, caller: int) -> None:
        """Sends one request after the other until the task is cancelled."""
        while True:
            await self._call(caller)
            await asyncio.sleep(self.request_pause_s)

    async def _call(self, caller: int) -> None:
        method = self.rng.choice(("GET", "POST", "POST"))
        run_id = f"{caller}-{uuid.uuid4().hex}"
        key = ""
        max_attempts = 1
        if method == "POST" and self.rng.random() < 1 / 2:
            key, max_attempts = run_id, 3
        for _ in range(max_attempts):
            sent = SentRequest(run_id, method, key)
            self.sent.append(sent)
            await self._send(sent)
            if sent.outcome == "answered":
                return

    async def _send(self, sent: SentRequest) -> None:
        entry = self.rng.choice(self._reachable_nodes())
        headers = {"x-run-id": sent.run_id, "x-work-ms": "5"}
        if sent.key:
            headers["idempotency-key"] = sent.key
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                status, response_headers, body = await self.mesh.request(
                    entry, SERVICE, "/reorders", sent.method, headers=headers
                )
        except aiohttp.ClientError as error:
            sent.outcome = type(error).__name__
        except TimeoutError:
            sent.outcome = "silence"
            # A frozen entry cannot respond, so its callers time out.
            if entry not in self.down:
                self.problems.append(
                    f"no response from {entry}"
                    f" within {RESPONSE_TIMEOUT_S:g} s: {sent}"
                )
        else:
            self._check_response(sent, status, response_headers, body)

    def _check_response(
        self,
        sent: SentRequest,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        if status == _OK:
            sent.outcome = "answered"
            if json.loads(body).get("run_id") != sent.run_id:
                self.problems.append(
                    f"response to another request: {sent}, {body!r}"
                )
            return
        sent.outcome = headers.get("x-pomelobank-error", f"status {status}")
        sent.run = headers.get("x-pomelobank-run", "")
        if sent.outcome == "no_route":
            # The route was in force before the first request, and no change
            # removes the route.
            self.problems.append(f"a node lost the accepted route: {sent}")

    # Operators.

    async def operate_forever(self) -> None:
        """Lets two operators change one route until the task is cancelled."""
        while True:
            await asyncio.gather(self._change("ann"), self._change("bob"))
            await asyncio.sleep(self.rng.uniform(0.1, 0.5))

    async def _change(self, author: str) -> None:
        name = self.rng.choice(self._reachable_nodes())
        change_id = f"{author}-{uuid.uuid4().hex}"
        address = self.mesh.nodes[name].addresses["operator"]
        try:
            async with grpc.aio.insecure_channel(address) as channel:
                stub = OperatorStub(channel)
                config = await stub.GetConfig(pb.GetConfigRequest(), timeout=5)
                request = self._change_request(config, author, change_id)
                if request is None:
                    return
                self.changes[change_id] = pb.CHANGE_UNKNOWN
                reply = await stub.Apply(request, timeout=10)
        except grpc.RpcError:
            return
        self.changes[change_id] = reply.status

    def _change_request(
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

    # Monitoring of versions.

    async def watch_forever(self) -> None:
        """Checks every node's version until the task is cancelled."""
        while True:
            for name in self._reachable_nodes():
                if name not in self.down:
                    await self._check_version(name)
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _check_version(self, name: str) -> None:
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
                f"{name}: version fell from {before} to {reply.version}"
            )
        self.versions[start] = max(before, reply.version)

    # Faults.

    async def fault(self) -> str:
        """Injects the next fault of the seed; returns the fault's name."""
        choices: dict[str, Callable[[], Awaitable[None]]] = {
            "kill": self._kill_one,
            "herd": self._kill_half,
            "freeze": self._freeze,
            "stop": self._stop_one,
            "log outage": self._log_outage,
            "lost append answers": self._lose_append_responses,
            "slow log": self._slow_log,
        }
        name = self.faults.choice(sorted(choices))
        await choices[name]()
        return name

    def _pick_running_node(self) -> str:
        return self.faults.choice(sorted(set(self.mesh.nodes) - self.down))

    async def _restart(self, name: str) -> None:
        index = sorted(self.mesh.nodes).index(name)
        await self.mesh.add_node(name, DATA_CENTRES[index % 2])
        self.down.discard(name)

    async def _kill_one(self) -> None:
        await self._kill([self._pick_running_node()])

    async def _kill_half(self) -> None:
        up = sorted(set(self.mesh.nodes) - self.down)
        await self._kill(self.faults.sample(up, len(up) // 2))

    async def _kill(self, names: list[str]) -> None:
        self.down.update(names)
        await asyncio.gather(*(self.mesh.nodes[name].kill() for name in names))
        await asyncio.gather(*(self._restart(name) for name in names))

    async def _stop_one(self) -> None:
        name = self._pick_running_node()
        self.down.add(name)
        status = await self.mesh.nodes[name].stop()
        if status:
            self.problems.append(
                f"{name}: planned stop ended with exit status {status}"
            )
        await self._restart(name)

    async def _freeze(self) -> None:
        name = self._pick_running_node()
        self.down.add(name)
        self.mesh.nodes[name].signal(signal.SIGSTOP)
        await asyncio.sleep(_FREEZE_DURATION_S)
        self.mesh.nodes[name].signal(signal.SIGCONT)
        self.down.discard(name)

    async def _log_outage(self) -> None:
        self.mesh.log.faults = LogFaults(outage=True)
        await asyncio.sleep(_OUTAGE_DURATION_S)
        self.mesh.log.faults = LogFaults()

    async def _lose_append_responses(self) -> None:
        self.mesh.log.faults = LogFaults(lose_answers=5)
        await asyncio.sleep(1)

    async def _slow_log(self) -> None:
        self.mesh.log.faults = LogFaults(delay_ms=400)
        await asyncio.sleep(_OUTAGE_DURATION_S)
        self.mesh.log.faults = LogFaults()

    # Invariants.

    async def settle(self) -> None:
        """Waits until all nodes have the same configuration again."""
        self.mesh.log.faults = LogFaults()
        async with asyncio.timeout(CONVERGENCE_TIMEOUT_S):
            while len(set(await self._configurations())) > 1:  # noqa: ASYNC110
                await asyncio.sleep(_POLL_INTERVAL_S)

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
        """Checks the status of every change against every node's audit."""
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
            self.problems.append(f"{name} lost the accepted {change_id}")
        if status == pb.CHANGE_REJECTED and known == pb.CHANGE_ACCEPTED:
            self.problems.append(f"{name} accepted the rejected {change_id}")

    def check_runs(self) -> None:
        """Checks each request's run count against its responses."""
        runs: Counter[str] = Counter()
        for target in self.mesh.targets.values():
            runs.update(target.service.runs)
        attempts_by_id: dict[str, list[SentRequest]] = {}
        for sent in self.sent:
            attempts_by_id.setdefault(sent.run_id, []).append(sent)
        for run_id, attempts in attempts_by_id.items():
            self._check_request(attempts, runs[run_id])

    def _check_request(self, attempts: list[SentRequest], runs: int) -> None:
        if attempts[0].method == "POST" and runs > 1:
            self.problems.append(f"a POST ran {runs} times: {attempts}")
        if runs and all(sent.run == _NOT_RUN for sent in attempts):
            self.problems.append(f"reported as not run, but ran: {attempts}")
        answered = any(sent.outcome == "answered" for sent in attempts)
        if answered and not runs:
            self.problems.append(f"answered, but never ran: {attempts}")


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
        callers: Callers that send requests during the whole run.

    Returns:
        The run; its list of problems is empty where all invariants held.
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
        f"a background task failed: {item!r}"
        for item in ended
        if not isinstance(item, asyncio.CancelledError)
    ]
    await chaos.settle()
    await chaos.check_changes()
    chaos.check_runs()


def main(arguments: list[str] | None = None) -> int:
    """Runs one seed; returns 1 where an invariant was violated."""
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
    print(f"{len(chaos.sent)} attempts: {dict(answers.most_common())}")
    print(f"{len(chaos.changes)} changes by status: {dict(verdicts)}")
    for problem in chaos.problems[:20]:
        print(f"problem: {problem}")
    print(f"{len(chaos.problems)} problems")
    return 1 if chaos.problems else 0
