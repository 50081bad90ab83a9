"""Load balancing: picks the target that a request is sent to."""

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

# Maximum time for which a target counts as full after it refused a request. A
# queue of 200 ms is empty by then, and no other event ends the hint.
FULL_HINT_MS = 250
# Limits of the time for which a target whose rate limit leaves no room gets no
# requests from this node. The next request that the limit allows may come from
# any node; if each node tried then, most of them would be rejected again.
MIN_LIMITED_HINT_MS = 100
MAX_LIMITED_HINT_MS = 1000
# Time for which a target that drains gets no requests. By then, its draining
# membership entry must have arrived.
NOT_ACCEPTING_HINT_MS = 5000
# A request leaves the data centre when the latency ratio (response time divided
# by latency objective) is lower in the remote one by more than this: a third of
# the ratio of an unloaded target. Targets differ in speed by half; with a lower
# threshold, this difference alone would move requests, and their bytes, back
# and forth between data centres.
MIN_OVERFLOW_GAIN = 0.12
# Maximum random draws in search of two usable targets. If the drawn targets are
# unusable or full, all targets are compared.
MAX_DRAWS = 4
_COMPARED_TARGETS = 2


@attrs.define(eq=False)
class TwoChoices:
    """Load balancer that draws two random targets and picks the cheaper one.

    This handles skewed demand and a single slow target. Round-robin sends a
    slow target its full share, so that one in n requests waits there. Always
    picking the least loaded target makes every node send its next request to
    the same target at once. Comparing two random targets avoids both.

    Targets in the node's own data centre are preferred. A request overflows to
    a remote data centre when the picked local target is full and the remote one
    is not or costs less, or when the remote target's latency ratio is lower by
    more than `MIN_OVERFLOW_GAIN`. Upstreams are not spread evenly: one data
    centre may have the slow machines or most of the callers. If only a full
    local target caused overflow, callers in such a data centre would wait in
    queues while remote targets are idle.

    Attributes:
        rng: Source of randomness.
        ramp: How fast a new target gets its full share of requests.
        loads: Known load of each target, by node.
        ejections: Number of ejections of targets.
        overflows: Requests sent to a remote data centre although the local one
            has a usable target.
        last_candidates: Candidates of each upstream at its last pick.
        objectives: Computes the latency ratio of a response.
        latency_ratios: Latency ratios by upstream and data centre.
    """

    rng: random.Random = attrs.field(factory=random.Random)
    ramp: Ramp = attrs.field(factory=Ramp)
    loads: dict[str, TargetLoad] = attrs.field(factory=dict)
    ejections: int = 0
    overflows: int = 0
    last_candidates: dict[str, Candidates] = attrs.field(factory=dict)
    objectives: Objectives = attrs.field(factory=Objectives)
    latency_ratios: dict[tuple[str, str], LatencyRatio] = attrs.field(
        factory=dict
    )

    def pick(
        self,
        candidates: Candidates,
        attempted: AbstractSet[str],
        traffic_class: str,
        now_ms: float,
    ) -> MemberEntry | None:
        """Returns a target that was not attempted yet, None without any.

        Args:
            candidates: The upstream's ready targets.
            attempted: Nodes that this request was already sent to.
            traffic_class: The request's class.
            now_ms: Current time.

        Returns:
            The target. A target that is ejected and not due for a probe is
            returned only if every other target was attempted.
        """
        self._update_known_targets(candidates, now_ms)
        local = self._draw(candidates.local, attempted, traffic_class, now_ms)
        if local is not None and not self._may_overflow(
            local, traffic_class, now_ms
        ):
            return local
        remote = self._draw(candidates.remote, attempted, traffic_class, now_ms)
        if local is None or remote is None:
            return local or remote or self._any_target(candidates, attempted)
        if self._is_better(remote, local, traffic_class, now_ms):
            self.overflows += 1
            return remote
        return local

    def pick_several(
        self,
        candidates: Candidates,
        count: int,
        now_ms: float,
    ) -> list[MemberEntry]:
        """Returns targets for a request that queues at several of them.

        Args:
            candidates: The upstream's ready targets.
            count: Maximum number of targets; local ones come first.
            now_ms: Current time.
        """
        found: list[MemberEntry] = []
        for targets in (candidates.local, candidates.remote):
            usable = [
                entry
                for entry in targets
                if self._accepts_requests(entry, now_ms)
            ]
            wanted = min(len(usable), count - len(found))
            found += self.rng.sample(usable, wanted)
        return found

    def on_sent(self, target: MemberEntry, now_ms: float) -> None:
        """Records that a request is sent to a target."""
        load = self._load(target)
        load.own_requests += 1
        load.ejection.on_sent()

    def on_ended(
        self,
        target: MemberEntry,
        candidates: Candidates,
        outcome: RequestOutcome,
        now_ms: float,
    ) -> None:
        """Records the outcome of a request that was sent.

        Args:
            target: The target that the request was sent to.
            candidates: The upstream's ready targets.
            outcome: How the request ended.
            now_ms: Current time.
        """
        load = self._load(target)
        load.own_requests = max(0, load.own_requests - 1)
        if outcome.result is TargetResult.RESPONDED:
            self._record_latency(target, load, outcome, now_ms)
            load.other_requests = max(
                0, outcome.outstanding - load.own_requests - 1
            )
            load.reported_ms = now_ms
            if load.ejection.on_success():
                load.ramp_from_ms = now_ms
        elif outcome.result is TargetResult.SLOW:
            self._record_latency(target, load, outcome, now_ms)
            load.ejection.on_abandoned()
        elif outcome.result is TargetResult.FAILED:
            self._record_failure(load, candidates, now_ms)
        else:
            load.ejection.on_abandoned()
            _record_refusal(load, outcome, now_ms)

    def has_capacity(
        self, target: MemberEntry, traffic_class: str, now_ms: float
    ) -> bool:
        """Returns whether a target probably has a free slot for a request."""
        return not self._is_full(target, traffic_class, now_ms)

    def may_accept(
        self, target: MemberEntry, traffic_class: str, now_ms: float
    ) -> bool:
        """Returns whether a target is not ejected and did not just refuse."""
        load = self._load(target)
        if not load.ejection.allows(now_ms):
            return False
        return not load.is_full(traffic_class, now_ms)

    def all_full_retry_after_ms(
        self, candidates: Candidates, traffic_class: str, now_ms: float
    ) -> int:
        """Returns the retry delay if all targets are full; 0 otherwise.

        This handles an upstream whose callers request several times its
        capacity. A round trip to a target that refuses the request costs both
        nodes more than the refusal itself, so the entry node refuses the
        request without the round trip.

        Args:
            candidates: The upstream's ready targets.
            traffic_class: The request's class.
            now_ms: Current time.

        Returns:
            Shortest retry delay of the targets in ms; 0 unless every target
            has just refused the class or is at its rate limit.
        """
        refusals_ms = [
            self._load(target).refusal_ms(traffic_class, now_ms)
            for target in candidates.targets
        ]
        return math.ceil(min(refusals_ms, default=0.0))

    def ejected_nodes(self) -> list[str]:
        """Returns the nodes whose targets are ejected."""
        return [n for n, load in self.loads.items() if load.ejection.ejected]

    def _record_latency(
        self,
        target: MemberEntry,
        load: TargetLoad,
        outcome: RequestOutcome,
        now_ms: float,
    ) -> None:
        data_centre = target.data_centre
        ratio = self.objectives.latency_ratio(
            outcome.route,
            outcome.aim_ms,
            data_centre,
            outcome.took_ms,
            now_ms,
        )
        load.latency_ratio.add(ratio, now_ms)
        data_centre_ratio = self.latency_ratios.setdefault(
            (target.upstream, data_centre), LatencyRatio()
        )
        data_centre_ratio.add(ratio, now_ms)

    def _latency_ratio(self, target: MemberEntry, now_ms: float) -> float:
        estimate = self._estimated_ratio(target, now_ms)
        return self._load(target).latency_ratio.at(now_ms, estimate)

    def _estimated_ratio(self, target: MemberEntry, now_ms: float) -> float:
        # Each of many remote targets responds to this node only occasionally,
        # so that the target's own ratio is often outdated. The ratio of all
        # targets of its data centre is as good an estimate.
        data_centre_ratio = self.latency_ratios.get(
            (target.upstream, target.data_centre)
        )
        if data_centre_ratio is None:
            return DEFAULT_LATENCY_RATIO
        return data_centre_ratio.at(now_ms)

    def _update_known_targets(
        self, candidates: Candidates, now_ms: float
    ) -> None:
        targets = candidates.targets
        if not targets:
            return
        before = self.last_candidates.get(targets[0].upstream)
        if before is candidates:
            return
        self.last_candidates[targets[0].upstream] = candidates
        if before is None:
            # Targets known at the first pick are assumed to be running already.
            # Targets that join or restart later are cold and need a slow start
            # (`Ramp`).
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
        attempted: AbstractSet[str],
        traffic_class: str,
        now_ms: float,
    ) -> MemberEntry | None:
        drawn: list[MemberEntry] = []
        for _ in range(MAX_DRAWS):
            if not targets or len(drawn) == _COMPARED_TARGETS:
                break
            entry = targets[self.rng.randrange(len(targets))]
            if entry not in drawn and self._usable(entry, attempted, now_ms):
                drawn.append(entry)
        found = self._cheapest(drawn, traffic_class, now_ms)
        if found is None or self._load(found).is_full(traffic_class, now_ms):
            return self._cheapest_usable(
                targets, attempted, traffic_class, now_ms
            )
        return found

    def _cheapest_usable(
        self,
        targets: Sequence[MemberEntry],
        attempted: AbstractSet[str],
        traffic_class: str,
        now_ms: float,
    ) -> MemberEntry | None:
        """Compares all targets, in the order of `_rank`.

        Under overload each attempt of each request does so. The loop therefore
        computes what targets of one data centre share once, and the cost of a
        full target only while no other one is found.
        """
        best: MemberEntry | None = None
        best_is_full = True
        best_cost = math.inf
        estimates: dict[str, float] = {}
        loads = self.loads
        for entry in targets:
            if entry.node in attempted:
                continue
            load = loads.get(entry.node)
            if load is None or load.incarnation != entry.incarnation:
                load = self._load(entry)
            if load.ejection.until_ms > 0 and not load.ejection.allows(now_ms):
                continue
            is_full = load.is_full(traffic_class, now_ms)
            if is_full and not best_is_full:
                continue
            estimate = estimates.get(entry.data_centre)
            if estimate is None:
                estimate = self._estimated_ratio(entry, now_ms)
                estimates[entry.data_centre] = estimate
            ratio = load.latency_ratio.at(now_ms, estimate)
            cost = load.cost(entry.slots, ratio, now_ms)
            if best is None or cost < best_cost or is_full < best_is_full:
                best, best_is_full, best_cost = entry, is_full, cost
        return best

    def _cheapest(
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
        latency_ratio = self._latency_ratio(entry, now_ms)
        return is_full, load.cost(entry.slots, latency_ratio, now_ms)

    def _usable(
        self, entry: MemberEntry, attempted: AbstractSet[str], now_ms: float
    ) -> bool:
        if entry.node in attempted:
            return False
        return self._load(entry).ejection.allows(now_ms)

    def _accepts_requests(self, entry: MemberEntry, now_ms: float) -> bool:
        load = self._load(entry)
        return load.ejection.allows(now_ms) and load.accepts_requests(now_ms)

    def _is_full(
        self, entry: MemberEntry, traffic_class: str, now_ms: float
    ) -> bool:
        load = self._load(entry)
        if load.is_full(traffic_class, now_ms):
            return True
        return load.estimated_requests(now_ms) >= load.usable_slots(
            entry.slots, now_ms
        )

    def _may_overflow(
        self, local: MemberEntry, traffic_class: str, now_ms: float
    ) -> bool:
        if self._is_full(local, traffic_class, now_ms):
            return True
        return (
            self._latency_ratio(local, now_ms)
            > DEFAULT_LATENCY_RATIO + MIN_OVERFLOW_GAIN
        )

    def _is_better(
        self,
        remote: MemberEntry,
        local: MemberEntry,
        traffic_class: str,
        now_ms: float,
    ) -> bool:
        local_full = self._is_full(local, traffic_class, now_ms)
        remote_full = self._is_full(remote, traffic_class, now_ms)
        if local_full != remote_full:
            return local_full
        if local_full:
            remote_rank = self._rank(remote, traffic_class, now_ms)
            return remote_rank < self._rank(local, traffic_class, now_ms)
        saved = self._latency_ratio(local, now_ms) - self._latency_ratio(
            remote, now_ms
        )
        return saved > MIN_OVERFLOW_GAIN

    def _any_target(
        self, candidates: Candidates, attempted: AbstractSet[str]
    ) -> MemberEntry | None:
        # Every target that was not attempted is ejected. A request to a random
        # ejected target may succeed; without a target, it certainly fails.
        remaining = [
            item for item in candidates.targets if item.node not in attempted
        ]
        return self.rng.choice(remaining) if remaining else None

    def _record_failure(
        self, load: TargetLoad, candidates: Candidates, now_ms: float
    ) -> None:
        ejected = sum(
            item.node in self.loads and self.loads[item.node].ejection.ejected
            for item in candidates.targets
        )
        allowed = may_eject(ejected, len(candidates.targets))
        if load.ejection.on_failure(now_ms, allowed, self.rng):
            self.ejections += 1


def _record_refusal(
    load: TargetLoad, outcome: RequestOutcome, now_ms: float
) -> None:
    if outcome.result is TargetResult.NOT_ACCEPTING:
        load.not_accepting_until_ms = now_ms + NOT_ACCEPTING_HINT_MS
        return
    if outcome.result is TargetResult.LIMITED:
        hint_ms = max(MIN_LIMITED_HINT_MS, outcome.retry_after_ms)
        load.limited_until_ms = now_ms + min(MAX_LIMITED_HINT_MS, hint_ms)
        return
    hint_ms = min(outcome.retry_after_ms or FULL_HINT_MS, FULL_HINT_MS)
    until_ms = now_ms + hint_ms
    if outcome.result is TargetResult.FULL:
        load.full_hints[outcome.traffic_class] = FullHint(
            now_ms, until_ms, outcome.retry_after_ms
        )
    elif outcome.result is TargetResult.WOULD_WAIT:
        # The target would have accepted the request after a longer wait. The
        # hint therefore must not make the entry node refuse callers: a refusal
        # time of minus infinity excludes the hint from
        # all_full_retry_after_ms().
        load.full_hints[outcome.traffic_class] = FullHint(
            -math.inf, until_ms, 0
        )


def isolation_target(
    candidates: Candidates, fingerprint: bytes, attempted: AbstractSet[str]
) -> MemberEntry | None:
    """Returns the target on which a suspect request runs in isolation.

    Args:
        candidates: The upstream's ready targets.
        fingerprint: The request's fingerprint.
        attempted: Nodes that this request was already sent to.

    Returns:
        The first target not yet attempted, in an order that depends only on
        the request's fingerprint, so that all nodes choose the same target;
        None without any.
    """
    remaining = [
        item for item in candidates.targets if item.node not in attempted
    ]
    return max(
        remaining,
        key=lambda item: xxhash.xxh3_64_intdigest(
            item.node.encode() + fingerprint
        ),
        default=None,
    )
