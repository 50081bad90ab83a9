"""Model of the claims of one key, checked over all interleavings.

Two nodes serve the key's shard; each sees the log as far as it has read. A
caller sends its request and sends it again; an entry may lose sight of a node
and ask the other. Appends take effect late, or never, whoever waits for them;
a node may stop at any point, for any time or for good. A node that dies and
comes back is a reader with a new name that begins at the first record, as the
second node does. The nodes act through core's own functions, so the search is
over the real rules.
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
# The rules as they stand reach 59,060 states; minicheck calls a search that
# meets this bound unfinished, and the test fails.
MAX_STATES = 100_000
_Step = tuple[str, "World"]
Holds = Callable[[dict[str, "World"]], bool]


@attrs.frozen(cache_hash=True)
class Record:
    """A record of the shard's stream, reduced to what the rules look at."""

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
    """A claiming node: what it has read and the attempts it has made."""

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
    """One sending of the caller: the nodes asked and what they answered."""

    asked: tuple[int, ...] = ()
    results: tuple[RunState | None, ...] = ()
    ran: int = 0


@attrs.frozen(cache_hash=True)
class World:
    """Everything there is."""

    log: tuple[Record, ...] = ()
    flying: frozenset[Record] = frozenset()
    nodes: tuple[Node, ...] = (Node("a"), Node("b"))
    sendings: tuple[Sending, ...] = (Sending(), Sending())

    def node(self, index: int, node: Node) -> "World":
        nodes = list(self.nodes)
        nodes[index] = node
        return attrs.evolve(self, nodes=tuple(nodes))

    def sending(self, index: int, sending: Sending) -> "World":
        sendings = list(self.sendings)
        sendings[index] = sending
        return attrs.evolve(self, sendings=tuple(sendings))

    def reply(self, index: int, sending: int, result: RunState) -> "World":
        one = self.sendings[sending]
        if index not in one.asked:
            return self
        place = one.asked.index(index)
        if one.results[place] is not None:
            return self
        results = list(one.results)
        results[place] = result
        return self.sending(sending, attrs.evolve(one, results=tuple(results)))

    def append(self, *records: Record) -> "World":
        return attrs.evolve(self, flying=self.flying | set(records))


@attrs.frozen
class Rules:
    """The functions that the nodes act by; a mutation replaces one."""

    table: type[ClaimTable] = ClaimTable
    seen: Callable[..., tuple[ClaimAttempt, ClaimAttemptStep]] = on_claim_seen
    give_up: Callable[[ClaimAttempt], ClaimAttempt] = abandon
    ended: Callable[..., tuple[ClaimAttempt, ClaimAttemptStep]] = on_run_ended
    combine: Callable[[RunState, RunState], RunState] = combine_run_states
    reads_back: bool = True
    appends_again: bool = False
    repeats: bool = False
    world: World = World()

    @classmethod
    def repeating(cls, table: type[ClaimTable] = ClaimTable) -> "Rules":
        """One node, a patient caller, and releases appended twice."""
        sendings = (Sending(),) * 3
        world = World(nodes=(Node("a"),), sendings=sendings)
        return cls(table=table, repeats=True, world=world)


def told(rules: Rules, sending: Sending) -> RunState | None:
    """What the caller was told; None while its entry still waits."""
    results = [item for item in sending.results if item is not None]
    if not results or len(results) < len(sending.asked):
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

    def transitions(self, state: tuple[World]) -> list[tuple[str, Any]]:
        # One counterexample is enough: nothing is searched after it.
        if self.broken:
            return []
        return [(label, (world,)) for label, world in self.steps(state[0])]

    def watched(self, holds: Holds) -> Holds:
        """Returns an invariant that ends the search once it is broken."""

        def watch(state: dict[str, World]) -> bool:
            found = holds(state)
            self.broken = self.broken or not found
            return found

        return watch

    def steps(self, world: World) -> Iterator[_Step]:
        yield from self.log_steps(world)
        for sending in range(len(world.sendings)):
            yield from self.entry_steps(world, sending)
        for index in range(len(world.nodes)):
            yield from self.node_steps(world, index)

    def log_steps(self, world: World) -> Iterator[_Step]:
        for record in world.flying:
            left = attrs.evolve(world, flying=world.flying - {record})
            effect = attrs.evolve(left, log=(*world.log, record))
            # An append that never takes effect is one that stays in flight.
            yield f"append {record} takes effect", effect
            # A release whose answer was lost is appended once more.
            repeats = self.rules.repeats and record not in world.log
            if record.kind == "release" and repeats:
                again = attrs.evolve(effect, flying=world.flying)
                yield f"append {record} takes effect, answer lost", again

    def entry_steps(self, world: World, sending: int) -> Iterator[_Step]:
        one = world.sendings[sending]
        waiting = None in one.results
        if not waiting and self.may_ask(world, sending):
            # The nodes are alike: the first sending goes to node 0 first.
            nodes = set(range(len(world.nodes)))
            nodes = nodes if sending or one.asked else {0}
            for index in nodes - set(one.asked):
                asked = Sending(
                    (*one.asked, index), (*one.results, None), one.ran
                )
                label = f"sending {sending} goes to {index}"
                yield label, world.sending(sending, asked)
        if waiting and not self.rules.repeats:
            lost = world.reply(one.asked[-1], sending, RunState.UNKNOWN)
            yield f"entry of {sending} loses sight", lost

    def may_ask(self, world: World, sending: int) -> bool:
        one = world.sendings[sending]
        if one.asked:
            # Only the first sending is taken to the other node as well.
            unknown = one.results == (RunState.UNKNOWN,)
            return unknown and sending == 0
        before = world.sendings[:sending]
        return all(told(self.rules, item) for item in before)

    def node_steps(self, world: World, index: int) -> Iterator[_Step]:
        node = world.nodes[index]
        for sending, one in enumerate(world.sendings):
            served = [item for item, _ in node.attempts if item == sending]
            if index in one.asked and not served:
                yield from self.serve_steps(world, index, sending)
        for sending, attempt in node.attempts:
            yield from self.attempt_steps(world, index, sending, attempt)
        if node.read < len(world.log):
            yield from self.read_steps(world, index)

    def serve_steps(
        self, world: World, index: int, sending: int
    ) -> Iterator[_Step]:
        node = world.nodes[index]
        under_way = (ClaimAttemptState.PENDING, ClaimAttemptState.RUNNING)
        label = f"node {index} serves {sending}"
        claim, _ = self.replayed(world.log[: node.read])
        if any(item.state in under_way for _, item in node.attempts):
            yield label, world.reply(index, sending, RunState.UNKNOWN)
        elif claim is not None and claim.claim_id not in node.released:
            result = RunState.UNKNOWN
            if claim.status is ClaimStatus.ANSWERED:
                result = RunState.RAN
            yield label, world.reply(index, sending, result)
        else:
            number = len(node.attempts) + 1
            attempt = ClaimAttempt(
                ClaimId(node.writer, number), KEY, DEADLINE_MS
            )
            if not self.rules.reads_back:
                attempt = attrs.evolve(attempt, state=ClaimAttemptState.RUNNING)
            after = world.node(index, node.with_attempt(sending, attempt))
            yield label, after.append(Record(node.writer, number, "claim"))

    def attempt_steps(
        self, world: World, index: int, sending: int, attempt: ClaimAttempt
    ) -> Iterator[_Step]:
        node = world.nodes[index]
        given_up = self.rules.give_up(attempt)
        if given_up != attempt:
            after = world.node(index, node.with_attempt(sending, given_up))
            after = after.reply(index, sending, RunState.NOT_RUN)
            yield f"node {index} gives {sending} up", after
        record = Record(node.writer, attempt.claim_id.number, "claim")
        if (
            self.rules.appends_again
            and attempt.state is ClaimAttemptState.PENDING
        ):
            yield f"node {index} appends again", world.append(record)
        if attempt.state is ClaimAttemptState.RUNNING:
            # To the rules an answer is one more outcome that may have run.
            for result in (RunState.NOT_RUN, RunState.UNKNOWN):
                label = f"node {index} runs {sending}: {result.value}"
                yield label, self.run(world, index, sending, attempt, result)

    def run(
        self,
        world: World,
        index: int,
        sending: int,
        attempt: ClaimAttempt,
        result: RunState,
    ) -> World:
        node = world.nodes[index]
        one = world.sendings[sending]
        # The worst case of an unknown outcome is that it ran.
        if result is not RunState.NOT_RUN:
            one = attrs.evolve(one, ran=one.ran + 1)
        ended, step = self.rules.ended(attempt, result)
        node = node.with_attempt(sending, ended)
        kind = "lost"
        if step is ClaimAttemptStep.RELEASE:
            kind = "release"
            released = node.released | {attempt.claim_id}
            node = attrs.evolve(node, released=released)
        world = world.node(index, node).sending(sending, one)
        world = world.reply(index, sending, result)
        return world.append(Record(node.writer, attempt.claim_id.number, kind))

    def read_steps(self, world: World, index: int) -> Iterator[_Step]:
        node = world.nodes[index]
        prefix = world.log[: node.read + 1]
        _, events = self.replayed(prefix)
        moved = attrs.evolve(node, read=node.read + 1)
        after = world.node(index, moved)
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
                seen, step = self.rules.seen(attempt, won, now_ms)
                yield (
                    f"{label} at {now_ms}: {step.value}",
                    self.decided(after, index, sending, seen, step),
                )

    def decided(
        self,
        world: World,
        index: int,
        sending: int,
        attempt: ClaimAttempt,
        step: ClaimAttemptStep,
    ) -> World:
        node = world.nodes[index].with_attempt(sending, attempt)
        if step in (ClaimAttemptStep.RELEASE, ClaimAttemptStep.EXPIRED):
            released = node.released | {attempt.claim_id}
            node = attrs.evolve(node, released=released)
            number = attempt.claim_id.number
            world = world.append(Record(node.writer, number, "release"))
        world = world.node(index, node)
        if step is ClaimAttemptStep.EXPIRED:
            world = world.reply(index, sending, RunState.NOT_RUN)
        if step is ClaimAttemptStep.LOST:
            # The other claim's outcome; unknown covers every case of it.
            world = world.reply(index, sending, RunState.UNKNOWN)
        return world


def runs_at_most_once(state: dict[str, World]) -> bool:
    return sum(item.ran for item in state["world"].sendings) <= 1


def not_run_is_true(rules: Rules) -> Holds:
    def holds(state: dict[str, World]) -> bool:
        return not any(
            item.ran and told(rules, item) is RunState.NOT_RUN
            for item in state["world"].sendings
        )

    return holds


def key_comes_free(model: ClaimsModel) -> Holds:
    """Where all is quiet and nothing ran, the key is free."""

    def holds(state: dict[str, World]) -> bool:
        world = state["world"]
        quiet = not world.flying and all(
            node.read == len(world.log) for node in world.nodes
        )
        busy = any(
            attempt.state
            in (ClaimAttemptState.PENDING, ClaimAttemptState.RUNNING)
            for node in world.nodes
            for _, attempt in node.attempts
        )
        ran = any(item.ran for item in world.sendings)
        if not quiet or busy or ran:
            return True
        return model.replayed(world.log)[0] is None

    return holds


def check(rules: Rules) -> dict[str, Any]:
    model = ClaimsModel(rules)
    protocol = Protocol(
        name="claims",
        candidate=False,
        fields=("world",),
        initial=(rules.world,),
        transitions=model.transitions,
        invariants={
            "runs_at_most_once": model.watched(runs_at_most_once),
            "not_run_is_true": model.watched(not_run_is_true(rules)),
            "key_comes_free": model.watched(key_comes_free(model)),
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


class AnybodyReleases(ClaimTable):
    """Mutation: a release frees the key whoever holds it."""

    def _release(self, writer: str, release: ClaimRelease) -> list[ClaimEvent]:
        self.claims.pop(release.key, None)
        return []


def abandoned_runs(
    attempt: ClaimAttempt, won: bool, now_ms: int
) -> tuple[ClaimAttempt, ClaimAttemptStep]:
    """Mutation: a claim that was given up runs when it shows up."""
    if attempt.state is ClaimAttemptState.ABANDONED:
        attempt = attrs.evolve(attempt, state=ClaimAttemptState.PENDING)
    return on_claim_seen(attempt, won, now_ms)


def abandoned_stays(
    attempt: ClaimAttempt, won: bool, now_ms: int
) -> tuple[ClaimAttempt, ClaimAttemptStep]:
    """Mutation: a claim that was given up is not released."""
    seen, step = on_claim_seen(attempt, won, now_ms)
    if attempt.state is ClaimAttemptState.ABANDONED:
        step = ClaimAttemptStep.NOTHING
    return seen, step


def lost_runs(
    attempt: ClaimAttempt, won: bool, now_ms: int
) -> tuple[ClaimAttempt, ClaimAttemptStep]:
    """Mutation: the claim runs whether it holds the key or not."""
    return on_claim_seen(attempt, True, now_ms)


def running_gives_up(attempt: ClaimAttempt) -> ClaimAttempt:
    """Mutation: a request that may be at a target is called not run."""
    if attempt.state is ClaimAttemptState.RUNNING:
        return attrs.evolve(attempt, deadline_ms=2 * DEADLINE_MS)
    return abandon(attempt)


def unknown_releases(
    attempt: ClaimAttempt, run_state: RunState
) -> tuple[ClaimAttempt, ClaimAttemptStep]:
    """Mutation: a request whose answer was lost frees its key."""
    ended, _ = on_run_ended(attempt, run_state)
    return ended, ClaimAttemptStep.RELEASE


def not_run_stays(
    attempt: ClaimAttempt, run_state: RunState
) -> tuple[ClaimAttempt, ClaimAttemptStep]:
    """Mutation: a request that did not run keeps its key."""
    ended, _ = on_run_ended(attempt, run_state)
    return ended, ClaimAttemptStep.COMPLETE


def second_counts(first: RunState, second: RunState) -> RunState:
    """Mutation: the second node's answer stands for both."""
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
            Rules(reads_back=False), "runs_at_most_once", id="no-read-back"
        ),
        pytest.param(
            Rules(seen=lost_runs), "runs_at_most_once", id="losers-run"
        ),
        pytest.param(
            Rules(table=LastClaimWins), "runs_at_most_once", id="last-wins"
        ),
        pytest.param(
            Rules.repeating(AnybodyReleases),
            "runs_at_most_once",
            id="anybody-releases",
        ),
        pytest.param(
            Rules(ended=unknown_releases),
            "runs_at_most_once",
            id="unknown-releases",
        ),
        pytest.param(
            Rules(seen=abandoned_runs), "not_run_is_true", id="abandoned-runs"
        ),
        pytest.param(
            Rules(give_up=running_gives_up),
            "not_run_is_true",
            id="running-gives-up",
        ),
        pytest.param(
            Rules(combine=second_counts), "not_run_is_true", id="second-counts"
        ),
        pytest.param(
            Rules(seen=abandoned_stays), "key_comes_free", id="no-release"
        ),
        pytest.param(
            Rules(ended=not_run_stays), "key_comes_free", id="not-run-stays"
        ),
        pytest.param(
            Rules(appends_again=True), "key_comes_free", id="appends-again"
        ),
    ],
)
def test_each_guard_is_needed(rules: Rules, broken: str) -> None:
    """One rule is taken away; the search finds how it goes wrong."""
    found = check(rules)["properties"][broken]
    assert found["holds"] is False
    assert len(found["counterexample"]) > 2
