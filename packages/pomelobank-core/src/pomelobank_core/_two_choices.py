"""Chooses the target that runs a request."""

import math
import random
from collections.abc import Sequence
from collections.abc import Set as AbstractSet

import attrs
import xxhash

from pomelobank_core._candidates import Candidates
from pomelobank_core._ejection import may_eject
from pomelobank_core._latency_ratio import (
    DEFAULT_LATENCY_RATIO,
    LatencyRatio,
    Objectives,
)
from pomelobank_core._load_balancer import RequestOutcome, TargetResult
from pomelobank_core._target_load import FullHint, Ramp, TargetLoad
from pomelobank_schema.generated.peer import MemberEntry

# A refusal for want of room keeps requests away this long at most, because a
# queue of 200 ms is gone by then and nothing else would end the hint.
FULL_HINT_MS = 250
# When every target has refused a class within this time, the entry refuses it
# too and saves the way there. A queue of 200 ms does not run empty meanwhile.
JUST_REFUSED_MS = 20
# A target that drains is kept out until its membership entry must have come.
LEAVING_HINT_MS = 5000
# Work leaves the data centre when that saves this part of the objective of its
# answer: a third of a relaxed answer's time. Targets differ in speed by half;
# with less, this difference alone would move work, and its bytes, to and fro.
FAR_PART = 0.12
# Chances to draw a target that may be used before all are looked at.
DRAWS = 4
_CHOICES = 2


@attrs.define(eq=False)
class TwoChoices:
    """Draws two targets and takes the one with less to do.

    Made for demand that is skewed and for one target that is slow. Taking
    turns gives the slow one its full part, and callers of one in n requests
    wait; taking the least loaded of all sends every node's next request to
    the same target at once. Two random draws avoid both.

    Targets of the own data centre come first; work spills to others when the
    better draw there is full or slower by more than the way is worth. Upstreams
    are not spread evenly: one data centre may have the slow machines or most of
    the callers. Where only a full target sends work away, callers there wait in
    queues while targets next door are idle.

    Attributes:
        rng: Source of randomness.
        ramp: How fast new targets get their full part.
        loads: Known loads, by node.
        ejections: How often a target was ejected.
        overflows: Requests that left the data centre though it has a target.
        known: Targets of each upstream at its last placing.
        objectives: Tells how fast an answer was.
        latency_ratios: How fast answers come, by upstream and data centre.
    """

    rng: random.Random = attrs.field(factory=random.Random)
    ramp: Ramp = attrs.field(factory=Ramp)
    loads: dict[str, TargetLoad] = attrs.field(factory=dict)
    ejections: int = 0
    overflows: int = 0
    known: dict[str, Candidates] = attrs.field(factory=dict)
    objectives: Objectives = attrs.field(factory=Objectives)
    latency_ratios: dict[tuple[str, str], LatencyRatio] = attrs.field(
        factory=dict
    )

    def pick(
        self,
        candidates: Candidates,
        tried: AbstractSet[str],
        traffic_class: str,
        now_ms: float,
    ) -> MemberEntry | None:
        """Returns a target that was not tried yet, None without any.

        Args:
            candidates: The upstream's ready targets.
            tried: Nodes that this request was sent to already.
            traffic_class: The request's class.
            now_ms: Current time.

        Returns:
            The target; an ejected one only where every other was tried.
        """
        self._compare(candidates, now_ms)
        near = self._draw(candidates.local, tried, traffic_class, now_ms)
        if near is not None and not self._looks_far(
            near, traffic_class, now_ms
        ):
            return near
        far = self._draw(candidates.remote, tried, traffic_class, now_ms)
        if near is None or far is None:
            return near or far or self._any(candidates, tried)
        if self._is_better(far, near, traffic_class, now_ms):
            self.overflows += 1
            return far
        return near

    def pick_several(
        self,
        candidates: Candidates,
        count: int,
        now_ms: float,
    ) -> list[MemberEntry]:
        """Returns targets for a request that waits at several of them.

        Args:
            candidates: The upstream's ready targets.
            count: Targets at most; those of the own data centre come first.
            now_ms: Current time.
        """
        found: list[MemberEntry] = []
        for targets in (candidates.local, candidates.remote):
            usable = [
                entry for entry in targets if self._takes_work(entry, now_ms)
            ]
            wanted = min(len(usable), count - len(found))
            found += self.rng.sample(usable, wanted)
        return found

    def on_sent(self, target: MemberEntry, now_ms: float) -> None:
        """Notes that a request is sent to a target."""
        load = self._load(target)
        load.own_requests += 1
        load.ejection.on_sent()

    def on_ended(
        self,
        target: MemberEntry,
        candidates: Candidates,
        seen: RequestOutcome,
        now_ms: float,
    ) -> None:
        """Takes the end of a request that was sent.

        Args:
            target: Where it was sent.
            candidates: The upstream's ready targets.
            seen: How it ended.
            now_ms: Current time.
        """
        load = self._load(target)
        load.own_requests = max(0, load.own_requests - 1)
        if seen.result is TargetResult.RESPONDED:
            self._learn_pace(target, load, seen, now_ms)
            load.other_requests = max(
                0, seen.outstanding - load.own_requests - 1
            )
            load.reported_ms = now_ms
            if load.ejection.on_success():
                load.ramp_from_ms = now_ms
        elif seen.result is TargetResult.SLOW:
            self._learn_pace(target, load, seen, now_ms)
            load.ejection.on_abandoned()
        elif seen.result is TargetResult.FAILED:
            self._failed(load, candidates, now_ms)
        else:
            load.ejection.on_abandoned()
            _keep_hint(load, seen, now_ms)

    def has_capacity(
        self, target: MemberEntry, traffic_class: str, now_ms: float
    ) -> bool:
        """Tells whether a target plausibly has room for one more request."""
        return not self._is_full(target, traffic_class, now_ms)

    def may_accept(
        self, target: MemberEntry, traffic_class: str, now_ms: float
    ) -> bool:
        """Tells whether a target works and has not refused the class lately."""
        load = self._load(target)
        if not load.ejection.allows(now_ms):
            return False
        return not load.is_full(traffic_class, now_ms)

    def all_full_retry_after_ms(
        self, candidates: Candidates, traffic_class: str, now_ms: float
    ) -> int:
        """Returns when to come back if all are full; 0 if they are not.

        Made for an upstream that is asked for several times its capacity: the
        way to a target and back only to be refused costs both nodes more than
        the refusal itself.

        Args:
            candidates: The upstream's ready targets.
            traffic_class: The request's class.
            now_ms: Current time.

        Returns:
            Time in ms; 0 unless every target refused the class just now.
        """
        soonest = 0
        for target in candidates.targets:
            hint = self._load(target).full_hints.get(traffic_class)
            if hint is None or now_ms - hint.at_ms > JUST_REFUSED_MS:
                return 0
            soonest = min(soonest or hint.retry_after_ms, hint.retry_after_ms)
        return soonest

    def ejected_nodes(self) -> list[str]:
        """Returns the nodes whose targets are ejected."""
        return [n for n, load in self.loads.items() if load.ejection.ejected]

    def _learn_pace(
        self,
        target: MemberEntry,
        load: TargetLoad,
        seen: RequestOutcome,
        now_ms: float,
    ) -> None:
        centre = target.data_centre
        part = self.objectives.latency_ratio(
            seen.route, seen.aim_ms, centre, seen.took_ms, now_ms
        )
        load.latency_ratio.add(part, now_ms)
        around = self.latency_ratios.setdefault(
            (target.upstream, centre), LatencyRatio()
        )
        around.add(part, now_ms)

    def _pace(self, target: MemberEntry, now_ms: float) -> float:
        # A node hears of each of many far targets once in a while only; those
        # beside them tell as much.
        around = self.latency_ratios.get((target.upstream, target.data_centre))
        usual = DEFAULT_LATENCY_RATIO if around is None else around.at(now_ms)
        return self._load(target).latency_ratio.at(now_ms, usual)

    def _compare(self, candidates: Candidates, now_ms: float) -> None:
        targets = candidates.targets
        if not targets:
            return
        before = self.known.get(targets[0].upstream)
        if before is candidates:
            return
        self.known[targets[0].upstream] = candidates
        if before is None:
            # A node's own start finds every target at work; only those that
            # come later are cold.
            return
        old = {item.node: item.incarnation for item in before.targets}
        for target in targets:
            if old.pop(target.node, None) != target.incarnation:
                self._load(target).ramp_from_ms = now_ms
        for node in old:
            if node in self.loads and not self.loads[node].own_requests:
                del self.loads[node]

    def _load(self, target: MemberEntry) -> TargetLoad:
        load = self.loads.get(target.node)
        if load is not None and load.incarnation == target.incarnation:
            return load
        own = load.own_requests if load else 0
        fresh = TargetLoad(target.incarnation, own_requests=own, ramp=self.ramp)
        self.loads[target.node] = fresh
        return fresh

    def _draw(
        self,
        targets: Sequence[MemberEntry],
        tried: AbstractSet[str],
        traffic_class: str,
        now_ms: float,
    ) -> MemberEntry | None:
        drawn: list[MemberEntry] = []
        for _ in range(DRAWS):
            if not targets or len(drawn) == _CHOICES:
                break
            entry = targets[self.rng.randrange(len(targets))]
            if entry not in drawn and self._usable(entry, tried, now_ms):
                drawn.append(entry)
        found = self._least(drawn, traffic_class, now_ms)
        if found is None or self._load(found).is_full(traffic_class, now_ms):
            usable = [e for e in targets if self._usable(e, tried, now_ms)]
            return self._least(usable, traffic_class, now_ms)
        return found

    def _least(
        self, entries: Sequence[MemberEntry], traffic_class: str, now_ms: float
    ) -> MemberEntry | None:
        return min(
            entries,
            key=lambda entry: self._rank(entry, traffic_class, now_ms),
            default=None,
        )

    def _rank(
        self, entry: MemberEntry, traffic_class: str, now_ms: float
    ) -> tuple[bool, float]:
        load = self._load(entry)
        is_full = load.is_full(traffic_class, now_ms)
        pace = self._pace(entry, now_ms)
        return is_full, load.cost(entry.slots, pace, now_ms)

    def _usable(
        self, entry: MemberEntry, tried: AbstractSet[str], now_ms: float
    ) -> bool:
        if entry.node in tried:
            return False
        return self._load(entry).ejection.allows(now_ms)

    def _takes_work(self, entry: MemberEntry, now_ms: float) -> bool:
        load = self._load(entry)
        return (
            load.ejection.allows(now_ms)
            and now_ms >= load.not_accepting_until_ms
        )

    def _is_full(
        self, entry: MemberEntry, traffic_class: str, now_ms: float
    ) -> bool:
        load = self._load(entry)
        if load.is_full(traffic_class, now_ms):
            return True
        return load.estimated_requests(now_ms) >= load.usable_slots(
            entry.slots, now_ms
        )

    def _looks_far(
        self, near: MemberEntry, traffic_class: str, now_ms: float
    ) -> bool:
        if self._is_full(near, traffic_class, now_ms):
            return True
        return self._pace(near, now_ms) > DEFAULT_LATENCY_RATIO + FAR_PART

    def _is_better(
        self,
        far: MemberEntry,
        near: MemberEntry,
        traffic_class: str,
        now_ms: float,
    ) -> bool:
        near_full = self._is_full(near, traffic_class, now_ms)
        far_full = self._is_full(far, traffic_class, now_ms)
        if near_full != far_full:
            return near_full
        if near_full:
            far_rank = self._rank(far, traffic_class, now_ms)
            return far_rank < self._rank(near, traffic_class, now_ms)
        saved = self._pace(near, now_ms) - self._pace(far, now_ms)
        return saved > FAR_PART

    def _any(
        self, candidates: Candidates, tried: AbstractSet[str]
    ) -> MemberEntry | None:
        # Every target that is left is ejected. One of them, drawn at random,
        # is a better bet than a certain error.
        left = [item for item in candidates.targets if item.node not in tried]
        return self.rng.choice(left) if left else None

    def _failed(
        self, load: TargetLoad, candidates: Candidates, now_ms: float
    ) -> None:
        out = sum(
            item.node in self.loads and self.loads[item.node].ejection.ejected
            for item in candidates.targets
        )
        allowed = may_eject(out, len(candidates.targets))
        if load.ejection.on_failure(now_ms, allowed, self.rng):
            self.ejections += 1


def _keep_hint(load: TargetLoad, seen: RequestOutcome, now_ms: float) -> None:
    if seen.result is TargetResult.NOT_ACCEPTING:
        load.not_accepting_until_ms = now_ms + LEAVING_HINT_MS
        return
    hint_ms = min(seen.retry_after_ms or FULL_HINT_MS, FULL_HINT_MS)
    until_ms = now_ms + hint_ms
    if seen.result is TargetResult.FULL:
        load.full_hints[seen.traffic_class] = FullHint(
            now_ms, until_ms, seen.retry_after_ms
        )
    elif seen.result is TargetResult.WOULD_WAIT:
        # It would have taken the request in the end, so this is no reason to
        # turn callers away.
        load.full_hints[seen.traffic_class] = FullHint(-math.inf, until_ms, 0)


def isolation_target(
    candidates: Candidates, fingerprint: bytes, tried: AbstractSet[str]
) -> MemberEntry | None:
    """Returns the target on which a suspect request runs alone.

    Args:
        candidates: The upstream's ready targets.
        fingerprint: The request's fingerprint.
        tried: Nodes that this request was sent to already.

    Returns:
        The first untried target in an order that depends on the request only,
        so that all nodes agree on it; None without any.
    """
    untried = [item for item in candidates.targets if item.node not in tried]
    return max(
        untried,
        key=lambda item: xxhash.xxh3_64_intdigest(
            item.node.encode() + fingerprint
        ),
        default=None,
    )
