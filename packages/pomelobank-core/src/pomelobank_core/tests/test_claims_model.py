"""Model of the claims of one key, checked over all interleavings.

Two nodes serve the key's shard, and each node knows the log up to its own
offset. A caller sends its request and then retries; an entry may lose its
connection to a node and send the request to the other node. Appends take
effect late or never, independently of their writers. A node may pause at any
point for any time or stop forever. A node that dies and restarts is a reader
with a new name that starts at the first record, which the second node covers.
The nodes call the functions of core, so the search checks the real rules.
"""

import functools
from collections.abc import Callable, Iterator
from typing import Any

import attrs
import pytest
from minicheck import Protocol, check_safety

from pomelobank_core import (
    Claim,
    ClaimAttempt,
    ClaimAttemptState,
    ClaimAttemptStep,
    ClaimEvent,
    ClaimId,
    ClaimSeen,
    ClaimStatus,
    ClaimTable,
    RunState,
    abandon,
    combine_run_states,
    on_claim_seen,
    on_run_ended,
)
from pomelobank_schema.generated.records import (
    ClaimBatch,
    ClaimCompletion,
    ClaimEntry,
    ClaimRelease,
)

KEY = b"k"
DEADLINE_MS = 1
# Bound of the search. The current rules reach 59,060 states; minicheck reports
# a search that meets the bound as unfinished, and the test then fails.
MAX_STATES = 100_000
_Step = tuple[str, "SystemState"]
Holds = Callable[[dict[str, "SystemState"]], bool]


@attrs.frozen(cache_hash=True)
class Record:
    """A record of the shard's stream, reduced to the fields in the rules."""

    writer: str
    number: int
    kind: str

    def batch(self) -> ClaimBatch:
        base = ClaimBatch(writer=self.writer, at_ms=1, window_ms=1000)
        if self.kind == "claim":
            entry = ClaimEntry(key=KEY, number=self.number, remaining_ms=1)
            return attrs.evolve(base, claims=(entry,))
        if self.kind == "release":
            release = ClaimRelease(key=KEY, number=self.number)
            return attrs.evolve(base, releases=(release,))
        error = "upstream_lost" if self.kind == "lost" else ""
        done = ClaimCompletion(key=KEY, number=self.number, error=error)
        return attrs.evolve(base, completions=(done,))


@attrs.frozen(cache_hash=True)
class Node:
    """A claiming node with its read offset and its attempts."""

    writer: str
    read: int = 0
    attempts: tuple[tuple[int, ClaimAttempt], ...] = ()
    released: frozenset[ClaimId] = frozenset()

    def with_attempt(self, sending: int, attempt: ClaimAttempt) -> "Node":
        others = [
            item
            for item in self.attempts
            if item[1].claim_id != attempt.claim_id
        ]
        ordered = sorted(
            [*others, (sending, attempt)], key=lambda i: i[1].claim_id.number
        )
        return attrs.evolve(self, attempts=tuple(ordered))


@attrs.frozen(cache_hash=True)
class Sending:
    """One sending by the caller, with the contacted nodes and their results."""

    contacted: tuple[int, ...] = ()
    results: tuple[RunState | None, ...] = ()
    ran: int = 0


@attrs.frozen(cache_hash=True)
class SystemState:
    """State of the whole model."""

    log: tuple[Record, ...] = ()
    in_flight: frozenset[Record] = frozenset()
    nodes: tuple[Node, ...] = (Node("a"), Node("b"))
    sendings: tuple[Sending, ...] = (Sending(), Sending())

    def node(self, index: int, node: Node) -> "SystemState":
        nodes = list(self.nodes)
        nodes[index] = node
        return attrs.evolve(self, nodes=tuple(nodes))

    def sending(self, index: int, sending: Sending) -> "SystemState":
        sendings = list(self.sendings)
        sendings[index] = sending
        return attrs.evolve(self, sendings=tuple(sendings))

    def reply(
        self, index: int, sending: int, result: RunState
    ) -> "SystemState":
        current = self.sendings[sending]
        if index not in current.contacted:
            return self
        position = current.contacted.index(index)
        if current.results[position] is not None:
            return self
        results = list(current.results)
        results[position] = result
        return self.sending(
            sending, attrs.evolve(current, results=tuple(results))
        )

    def append(self, *records: Record) -> "SystemState":
        return attrs.evolve(self, in_flight=self.in_flight | set(records))


@attrs.frozen
class Rules:
    """The functions that the nodes call; a mutation replaces one of them."""

    table: type[ClaimTable] = ClaimTable
    on_seen: Callable[..., tuple[ClaimAttempt, ClaimAttemptStep]] = (
        on_claim_seen
    )
    on_abandon: Callable[[ClaimAttempt], ClaimAttempt] = abandon
    on_ended: Callable[..., tuple[ClaimAttempt, ClaimAttemptStep]] = (
        on_run_ended
    )
    combine: Callable[[RunState, RunState], RunState] = combine_run_states
    awaits_claim: bool = True
    repeats_claims: bool = False
    repeats: bool = False
    system: SystemState = SystemState()

    @classmethod
    def repeating(cls, table: type[ClaimTable] = ClaimTable) -> "Rules":
        """Returns rules with one node, a waiting caller, repeated releases."""
        sendings = (Sending(),) * 3
        system = SystemState(nodes=(Node("a"),), sendings=sendings)
        return cls(table=table, repeats=True, system=system)


def caller_result(rules: Rules, sending: Sending) -> RunState | None:
    """Returns the caller's result; None while its entry still waits."""
    results = [item for item in sending.results if item is not None]
    if not results or len(results) < len(sending.contacted):
        return None
    return functools.reduce(rules.combine, results)


class ClaimsModel:
    """Builds the transitions for a set of rules."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.replayed = functools.cache(self._replay)
        self.broken = False

    def _replay(
        self, records: tuple[Record, ...]
    ) -> tuple[Claim | None, tuple[ClaimEvent, ...]]:
        table = self.rules.table()
        events: list[ClaimEvent] = []
        for offset, record in enumerate(records):
            events = table.apply(offset, record.batch())
        return table.find(KEY, 0), tuple(events)

    def transitions(self, state: tuple[SystemState]) -> list[tuple[str, Any]]:
        # One counterexample suffices, so the search ends after it.
        if self.broken:
            return []
        return [(label, (system,)) for label, system in self.steps(state[0])]

    def ending_search(self, holds: Holds) -> Holds:
        """Returns an invariant that ends the search when it is violated."""

        def check_invariant(state: dict[str, SystemState]) -> bool:
            found = holds(state)
            self.broken = self.broken or not found
            return found

        return check_invariant

    def steps(self, system: SystemState) -> Iterator[_Step]:
        yield from self.log_steps(system)
        for sending in range(len(system.sendings)):
            yield from self.entry_steps(system, sending)
        for index in range(len(system.nodes)):
            yield from self.node_steps(system, index)

    def log_steps(self, system: SystemState) -> Iterator[_Step]:
        for record in system.in_flight:
            landed = attrs.evolve(system, in_flight=system.in_flight - {record})
            effective = attrs.evolve(landed, log=(*system.log, record))
            # An append that never takes effect stays in flight forever.
            yield f"append {record} takes effect", effective
            # The writer appends a release again if the log's reply was lost.
            repeats = self.rules.repeats and record not in system.log
            if record.kind == "release" and repeats:
                repeated = attrs.evolve(effective, in_flight=system.in_flight)
                yield f"append {record} takes effect, reply lost", repeated

    def entry_steps(self, system: SystemState, sending: int) -> Iterator[_Step]:
        current = system.sendings[sending]
        waiting = None in current.results
        if not waiting and self.may_contact(system, sending):
            # The nodes are interchangeable, so the first sending starts at node
            # 0 only. A start at the other node would add states but no new
            # cases.
            nodes = set(range(len(system.nodes)))
            nodes = nodes if sending or current.contacted else {0}
            for index in nodes - set(current.contacted):
                contacted = Sending(
                    (*current.contacted, index),
                    (*current.results, None),
                    current.ran,
                )
                label = f"sending {sending} goes to {index}"
                yield label, system.sending(sending, contacted)
        if waiting and not self.rules.repeats:
            lost = system.reply(
                current.contacted[-1], sending, RunState.UNKNOWN
            )
            yield f"entry of {sending} loses the connection", lost

    def may_contact(self, system: SystemState, sending: int) -> bool:
        current = system.sendings[sending]
        if current.contacted:
            # Only the first sending may also go to the other node.
            unknown = current.results == (RunState.UNKNOWN,)
            return unknown and sending == 0
        before = system.sendings[:sending]
        return all(caller_result(self.rules, item) for item in before)

    def node_steps(self, system: SystemState, index: int) -> Iterator[_Step]:
        node = system.nodes[index]
        for sending, current in enumerate(system.sendings):
            served = [item for item, _ in node.attempts if item == sending]
            if index in current.contacted and not served:
                yield from self.serve_steps(system, index, sending)
        for sending, attempt in node.attempts:
            yield from self.attempt_steps(system, index, sending, attempt)
        if node.read < len(system.log):
            yield from self.read_steps(system, index)

    def serve_steps(
        self, system: SystemState, index: int, sending: int
    ) -> Iterator[_Step]:
        node = system.nodes[index]
        under_way = (ClaimAttemptState.PENDING, ClaimAttemptState.RUNNING)
        label = f"node {index} serves {sending}"
        claim, _ = self.replayed(system.log[: node.read])
        if any(item.state in under_way for _, item in node.attempts):
            yield label, system.reply(index, sending, RunState.UNKNOWN)
        elif claim is not None and claim.claim_id not in node.released:
            result = RunState.UNKNOWN
            if claim.status is ClaimStatus.ANSWERED:
                result = RunState.RAN
            yield label, system.reply(index, sending, result)
        else:
            number = len(node.attempts) + 1
            attempt = ClaimAttempt(
                ClaimId(node.writer, number), KEY, DEADLINE_MS
            )
            if not self.rules.awaits_claim:
                attempt = attrs.evolve(attempt, state=ClaimAttemptState.RUNNING)
            after = system.node(index, node.with_attempt(sending, attempt))
            yield label, after.append(Record(node.writer, number, "claim"))

    def attempt_steps(
        self,
        system: SystemState,
        index: int,
        sending: int,
        attempt: ClaimAttempt,
    ) -> Iterator[_Step]:
        node = system.nodes[index]
        abandoned = self.rules.on_abandon(attempt)
        if abandoned != attempt:
            after = system.node(index, node.with_attempt(sending, abandoned))
            after = after.reply(index, sending, RunState.NOT_RUN)
            yield f"node {index} abandons {sending}", after
        record = Record(node.writer, attempt.claim_id.number, "claim")
        if (
            self.rules.repeats_claims
            and attempt.state is ClaimAttemptState.PENDING
        ):
            yield f"node {index} appends again", system.append(record)
        if attempt.state is ClaimAttemptState.RUNNING:
            # For the rules, a response equals an outcome that may have run.
            for result in (RunState.NOT_RUN, RunState.UNKNOWN):
                label = f"node {index} runs {sending}: {result.value}"
                yield label, self.run(system, index, sending, attempt, result)

    def run(
        self,
        system: SystemState,
        index: int,
        sending: int,
        attempt: ClaimAttempt,
        result: RunState,
    ) -> SystemState:
        node = system.nodes[index]
        current = system.sendings[sending]
        # In the worst case, a request with an unknown outcome ran.
        if result is not RunState.NOT_RUN:
            current = attrs.evolve(current, ran=current.ran + 1)
        ended, step = self.rules.on_ended(attempt, result)
        node = node.with_attempt(sending, ended)
        kind = "lost"
        if step is ClaimAttemptStep.RELEASE:
            kind = "release"
            released = node.released | {attempt.claim_id}
            node = attrs.evolve(node, released=released)
        system = system.node(index, node).sending(sending, current)
        system = system.reply(index, sending, result)
        return system.append(Record(node.writer, attempt.claim_id.number, kind))

    def read_steps(self, system: SystemState, index: int) -> Iterator[_Step]:
        node = system.nodes[index]
        prefix = system.log[: node.read + 1]
        _, events = self.replayed(prefix)
        moved = attrs.evolve(node, read=node.read + 1)
        after = system.node(index, moved)
        label = f"node {index} reads {prefix[-1]}"
        own = [
            (sending, attempt, event.won)
            for event in events
            if isinstance(event, ClaimSeen)
            for sending, attempt in node.attempts
            if attempt.claim_id == event.claim_id
        ]
        if not own:
            yield label, after
        for sending, attempt, won in own:
            for now_ms in (0, DEADLINE_MS):
                seen, step = self.rules.on_seen(attempt, won, now_ms)
                yield (
                    f"{label} at {now_ms}: {step.value}",
                    self.apply_step(after, index, sending, seen, step),
                )

    def apply_step(
        self,
        system: SystemState,
        index: int,
        sending: int,
        attempt: ClaimAttempt,
        step: ClaimAttemptStep,
    ) -> SystemState:
        node = system.nodes[index].with_attempt(sending, attempt)
        if step in (ClaimAttemptStep.RELEASE, ClaimAttemptStep.EXPIRED):
            released = node.released | {attempt.claim_id}
            node = attrs.evolve(node, released=released)
            number = attempt.claim_id.number
            system = system.append(Record(node.writer, number, "release"))
        system = system.node(index, node)
        if step is ClaimAttemptStep.EXPIRED:
            system = system.reply(index, sending, RunState.NOT_RUN)
        if step is ClaimAttemptStep.LOST:
            # The result is the other claim's outcome; UNKNOWN covers all cases.
            system = system.reply(index, sending, RunState.UNKNOWN)
        return system


def runs_at_most_once(state: dict[str, SystemState]) -> bool:
    return sum(item.ran for item in state["system"].sendings) <= 1


def not_run_is_true(rules: Rules) -> Holds:
    def holds(state: dict[str, SystemState]) -> bool:
        return not any(
            item.ran and caller_result(rules, item) is RunState.NOT_RUN
            for item in state["system"].sendings
        )

    return holds


def key_becomes_free(model: ClaimsModel) -> Holds:
    """The key is free if no node or append is active and nothing ran."""

    def holds(state: dict[str, SystemState]) -> bool:
        system = state["system"]
        idle = not system.in_flight and all(
            node.read == len(system.log) for node in system.nodes
        )
        busy = any(
            attempt.state
            in (ClaimAttemptState.PENDING, ClaimAttemptState.RUNNING)
            for node in system.nodes
            for _, attempt in node.attempts
        )
        ran = any(item.ran for item in system.sendings)
        if not idle or busy or ran:
            return True
        return model.replayed(system.log)[0] is None

    return holds


def check(rules: Rules) -> dict[str, Any]:
    model = ClaimsModel(rules)
    protocol = Protocol(
        name="claims",
        candidate=False,
        fields=("system",),
        initial=(rules.system,),
        transitions=model.transitions,
        invariants={
            "runs_at_most_once": model.ending_search(runs_at_most_once),
            "not_run_is_true": model.ending_search(not_run_is_true(rules)),
            "key_becomes_free": model.ending_search(key_becomes_free(model)),
        },
    )
    found: dict[str, Any] = check_safety(protocol, max_states=MAX_STATES)
    return found


class LastClaimWins(ClaimTable):
    """Mutation: a later claim takes the key over."""

    def find(self, key: bytes, now_ms: int) -> Claim | None:
        return None if self.replaying else super().find(key, now_ms)

    replaying = False

    def apply(self, offset: int, batch: ClaimBatch) -> list[ClaimEvent]:
        self.replaying = True
        events = super().apply(offset, batch)
        self.replaying = False
        return events


class AnyWriterReleases(ClaimTable):
    """Mutation: a release by any writer frees the key."""

    def _release(self, writer: str, release: ClaimRelease) -> list[ClaimEvent]:
        self.claims.pop(release.key, None)
        return []


def abandoned_runs(
    attempt: ClaimAttempt, won: bool, now_ms: int
) -> tuple[ClaimAttempt, ClaimAttemptStep]:
    """Mutation: an abandoned claim runs when the node reads it."""
    if attempt.state is ClaimAttemptState.ABANDONED:
        attempt = attrs.evolve(attempt, state=ClaimAttemptState.PENDING)
    return on_claim_seen(attempt, won, now_ms)


def abandoned_is_kept(
    attempt: ClaimAttempt, won: bool, now_ms: int
) -> tuple[ClaimAttempt, ClaimAttemptStep]:
    """Mutation: an abandoned claim is not released."""
    seen, step = on_claim_seen(attempt, won, now_ms)
    if attempt.state is ClaimAttemptState.ABANDONED:
        step = ClaimAttemptStep.NOTHING
    return seen, step


def losing_claim_runs(
    attempt: ClaimAttempt, won: bool, now_ms: int
) -> tuple[ClaimAttempt, ClaimAttemptStep]:
    """Mutation: a claim runs even if it does not hold the key."""
    return on_claim_seen(attempt, True, now_ms)


def running_is_abandoned(attempt: ClaimAttempt) -> ClaimAttempt:
    """Mutation: a request that may be at a target is reported as not run."""
    if attempt.state is ClaimAttemptState.RUNNING:
        return attrs.evolve(attempt, deadline_ms=2 * DEADLINE_MS)
    return abandon(attempt)


def unknown_releases(
    attempt: ClaimAttempt, run_state: RunState
) -> tuple[ClaimAttempt, ClaimAttemptStep]:
    """Mutation: a request whose response was lost frees its key."""
    ended, _ = on_run_ended(attempt, run_state)
    return ended, ClaimAttemptStep.RELEASE


def not_run_is_kept(
    attempt: ClaimAttempt, run_state: RunState
) -> tuple[ClaimAttempt, ClaimAttemptStep]:
    """Mutation: a request that did not run keeps its key."""
    ended, _ = on_run_ended(attempt, run_state)
    return ended, ClaimAttemptStep.COMPLETE


def second_result_counts(first: RunState, second: RunState) -> RunState:
    """Mutation: the second node's result counts for both nodes."""
    return second


@pytest.mark.parametrize(
    ("rules", "states"),
    [
        pytest.param(Rules(), 59_060, id="two-nodes-two-sendings"),
        pytest.param(Rules.repeating(), 6_684, id="releases-appended-twice"),
    ],
)
def test_rules_hold_in_every_interleaving(rules: Rules, states: int) -> None:
    found = check(rules)
    assert found["exhaustive"], found.get("incomplete_reason")
    assert found["reachable_states"] == states
    assert {
        name: item["counterexample"]
        for name, item in found["properties"].items()
    } == dict.fromkeys(found["properties"])


@pytest.mark.parametrize(
    ("rules", "broken"),
    [
        pytest.param(
            Rules(awaits_claim=False), "runs_at_most_once", id="no-read-back"
        ),
        pytest.param(
            Rules(on_seen=losing_claim_runs),
            "runs_at_most_once",
            id="losers-run",
        ),
        pytest.param(
            Rules(table=LastClaimWins), "runs_at_most_once", id="last-wins"
        ),
        pytest.param(
            Rules.repeating(AnyWriterReleases),
            "runs_at_most_once",
            id="any-writer-releases",
        ),
        pytest.param(
            Rules(on_ended=unknown_releases),
            "runs_at_most_once",
            id="unknown-releases",
        ),
        pytest.param(
            Rules(on_seen=abandoned_runs),
            "not_run_is_true",
            id="abandoned-runs",
        ),
        pytest.param(
            Rules(on_abandon=running_is_abandoned),
            "not_run_is_true",
            id="running-is-abandoned",
        ),
        pytest.param(
            Rules(combine=second_result_counts),
            "not_run_is_true",
            id="second-counts",
        ),
        pytest.param(
            Rules(on_seen=abandoned_is_kept),
            "key_becomes_free",
            id="no-release",
        ),
        pytest.param(
            Rules(on_ended=not_run_is_kept),
            "key_becomes_free",
            id="not-run-stays",
        ),
        pytest.param(
            Rules(repeats_claims=True), "key_becomes_free", id="appends-again"
        ),
    ],
)
def test_each_rule_is_needed(rules: Rules, broken: str) -> None:
    """Without one of the rules, the search finds a violated invariant."""
    found = check(rules)["properties"][broken]
    assert found["holds"] is False
    assert len(found["counterexample"]) > 2
