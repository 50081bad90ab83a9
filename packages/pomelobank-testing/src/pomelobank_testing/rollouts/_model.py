"""A roll-out in virtual time, with the product's decisions."""

import heapq
import itertools
import math
import random
from collections.abc import Callable

import attrs

from pomelobank_core.rollouts import (
    EARNED_PART,
    AnswerCounts,
    ExposureCredit,
    Judge,
)
from pomelobank_schema.generated.peer import AnswerReport

MAX_SHARE = 0.1
SLACK = 50
ROLLBACK_MS = 5000
BAD_ANSWERS = 50
OLD, NEW = "v1", "v2"
_ROUTES = (("lookup", 0.6, 60.0), ("order", 0.4, 100.0))
_BASE_FAILURES = 0.005
_REPORT_MS = 250
_REPORT_DELAY_MS = 60
_LOST_REPORTS = 0.05
_VERDICT_DELAY_MS = 300
_START_GAP_MS = 400
_CONCENTRATION = 0.08
_ROTATION_MS = 4000
_COLD_MS = 3000
_COLD_FACTOR = 4.0
_SLOW_FACTOR = 5.0


@attrs.frozen
class Revision:
    """How the answers of a new revision, or all answers for a while, differ.

    Attributes:
        is_bad: Whether the revision should be rolled back.
        failures: Part of the affected answers that are failures.
        slow: Part of the affected answers that take several times as long.
        after_ms: Time from the first target's start until that begins.
        route: The affected route; empty for all.
        min_running: Requests at a target from which its answers are affected.
        targets: Number of affected targets; 0 for all.
        cold: Whether targets are slow for their first seconds, and say so.
        outage: Part of all answers, of both revisions, that fail for 3 s.
    """

    is_bad: bool = True
    failures: float = 0.0
    slow: float = 0.0
    after_ms: int = 0
    route: str = ""
    min_running: int = 0
    targets: int = 0
    cold: bool = False
    outage: float = 0.0


REVISIONS = {
    "fails": Revision(failures=0.5),
    "fails-some": Revision(failures=0.2),
    "fails-late": Revision(failures=0.42, after_ms=6000),
    "fails-on-route": Revision(failures=0.6, route="order"),
    "fails-under-load": Revision(failures=0.8, min_running=2),
    "slow": Revision(slow=0.5),
    "slow-late": Revision(slow=0.5, after_ms=6000),
    "good": Revision(is_bad=False),
    "good-cold": Revision(is_bad=False, cold=True),
    "good-grey-target": Revision(is_bad=False, failures=0.45, targets=1),
    "good-slow-target": Revision(is_bad=False, slow=1.0, targets=1),
    "good-outage": Revision(is_bad=False, outage=0.8, after_ms=5000),
}


class SequentialRule:
    """The product's judge."""

    def __init__(self) -> None:
        self.judge = Judge(NEW)

    def decide(self, reports: list[AnswerReport], now_ms: float) -> bool:
        """Returns whether the new revision is bad."""
        for report in reports:
            self.judge.add(report)
        return self.judge.evaluate(now_ms) is not None


class _CountingRule:
    """Base of the simple rules, which look at failures only."""

    def __init__(self) -> None:
        self.newest: dict[str, AnswerReport] = {}

    def decide(self, reports: list[AnswerReport], now_ms: float) -> bool:
        """Returns whether the new revision is bad."""
        for report in reports:
            self.newest[report.node] = report
        return self._is_bad(*self._counts(OLD), *self._counts(NEW))

    def _counts(self, revision: str) -> tuple[int, int]:
        items = [
            item
            for report in self.newest.values()
            if report.revision == revision
            for item in report.routes
        ]
        failures = sum(item.failures for item in items)
        others = sum(sum(item.times) + item.untimed for item in items)
        return failures, failures + others

    def _is_bad(
        self, old_bad: int, old_total: int, bad: int, total: int
    ) -> bool:
        raise NotImplementedError


class ThresholdRule(_CountingRule):
    """Five failures, and twice the old revision's rate plus a twentieth."""

    def _is_bad(
        self, old_bad: int, old_total: int, bad: int, total: int
    ) -> bool:
        old_rate = old_bad / max(1, old_total)
        return bad >= 5 and bad / total > 2 * old_rate + 0.05


class FixedSampleRule(_CountingRule):
    """One test of proportions after 100 answers, at three deviations."""

    def _is_bad(
        self, old_bad: int, old_total: int, bad: int, total: int
    ) -> bool:
        if total < 100 or not old_total:
            return False
        pooled = (old_bad + bad + 1) / (old_total + total + 2)
        deviation = math.sqrt(
            pooled * (1 - pooled) * (1 / total + 1 / old_total)
        )
        return bad / total - old_bad / old_total > 3 * deviation


RULES: dict[str, Callable[[], SequentialRule | _CountingRule]] = {
    "sequential": SequentialRule,
    "threshold": ThresholdRule,
    "fixed-sample": FixedSampleRule,
}


@attrs.frozen
class Outcome:
    """What happened in one roll-out.

    Attributes:
        exposed: Requests that ran at the new revision.
        total: Requests that ran at the upstream.
        bad: Bad answers of the new revision.
        late: Requests that began at the new revision later than `ROLLBACK_MS`
            after its 50th bad answer.
        verdict_ms: Time of the verdict that the revision is bad, from its first
            bad answer; None without one.
        answers_to_verdict: Answers of the new revision up to the verdict.
    """

    exposed: int
    total: int
    bad: int
    late: int
    verdict_ms: float | None
    answers_to_verdict: int

    @property
    def excess(self) -> float:
        """Exposed requests beyond the allowed ones; negative below."""
        return self.exposed - MAX_SHARE * self.total - SLACK


@attrs.define(eq=False)
class _Target:
    node: str
    revision: str
    started_ms: float
    speed: float
    affected: bool
    counts: AnswerCounts = attrs.field(factory=AnswerCounts)
    running: int = 0
    reported: int = 0


@attrs.define(eq=False, slots=False)
class RolloutModel:
    """One roll-out: entries with credit, targets, reports and a judge.

    Attributes:
        seed: Seed of all randomness.
        revision: Key of `REVISIONS`.
        rule: Key of `RULES`.
        entries: Number of entry nodes.
        rate_per_s: Requests per second of the upstream.
        old_targets: Targets of the old revision.
        new_targets: Targets of the new revision, which start one by one.
        duration_ms: Length of the roll-out.
        by_owner: Whether the gates of the new targets bound the requests, in
            place of the entries' credit. The model lets them share one budget,
            as if they needed no messages for it.
    """

    seed: int
    revision: str
    rule: str = "sequential"
    entries: int = 62
    rate_per_s: float = 244.0
    old_targets: int = 33
    new_targets: int = 14
    duration_ms: int = 16_000
    by_owner: bool = False

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.behaviour = REVISIONS[self.revision]
        self.old = [self._target(n, OLD) for n in range(self.old_targets)]
        self.new = [self._target(n, NEW) for n in range(self.new_targets)]
        self.credits = [ExposureCredit(MAX_SHARE) for _ in range(self.entries)]
        self.rule_state = RULES[self.rule]()
        self.stops_ms = [math.inf] * self.entries
        self.bad_ms: list[float] = []
        self.exposed_ms: list[float] = []
        self.verdict_ms: float | None = None
        self.answers_to_verdict = 0
        self.total = 0
        self.tokens = 0.0
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.ids = itertools.count()

    def run(self) -> Outcome:
        """Plays the roll-out."""
        self._at(0.0, self._arrive)
        self._at(float(_REPORT_MS), self._report)
        while self.events[0][0] <= self.duration_ms:
            now_ms, _, action = heapq.heappop(self.events)
            action(now_ms)
        return self._outcome()

    def _target(self, number: int, revision: str) -> _Target:
        is_new = revision == NEW
        limit = self.behaviour.targets
        return _Target(
            f"{revision}-{number}",
            revision,
            number * _START_GAP_MS if is_new else -math.inf,
            self.rng.uniform(0.75, 1.25),
            is_new and (not limit or number < limit),
        )

    def _at(self, time_ms: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (time_ms, next(self.ids), action))

    # Requests.

    def _arrive(self, now_ms: float) -> None:
        gap_ms = self.rng.expovariate(self.rate_per_s) * 1000
        self._at(now_ms + gap_ms, self._arrive)
        entry = self.rng.randrange(self.entries)
        name, share, mean_ms = _ROUTES[0]
        if self.rng.random() > share:
            name, _, mean_ms = _ROUTES[1]
        self._run(self._choose(entry, now_ms), name, mean_ms, now_ms, entry)

    def _choose(self, entry: int, now_ms: float) -> _Target:
        new = [item for item in self.new if item.started_ms <= now_ms]
        if new and now_ms < self.stops_ms[entry]:
            if self.by_owner:
                self.tokens += MAX_SHARE * EARNED_PART
                chosen = self.rng.choice(self.old + new)
                if chosen.revision == NEW and self.tokens >= 1:
                    self.tokens -= 1
                    return chosen
            elif self.credits[entry].try_spend():
                count = max(1, round(_CONCENTRATION * self.old_targets))
                turn = int(now_ms // _ROTATION_MS) * count
                step = self.rng.randrange(min(count, len(new)))
                return new[(turn + step) % len(new)]
        return min(self.rng.sample(self.old, 2), key=lambda item: item.running)

    def _run(
        self,
        target: _Target,
        route: str,
        mean_ms: float,
        now_ms: float,
        entry: int,
    ) -> None:
        self.total += 1
        is_new = target.revision == NEW
        if is_new:
            self.exposed_ms.append(now_ms)
        target.running += 1
        fails, factor = self._draw(target, route, now_ms)
        warming = self._is_cold(target, now_ms)
        took_ms = self.rng.lognormvariate(math.log(mean_ms), 0.4)
        took_ms *= target.speed * factor
        if fails and self.rng.random() < 0.5:
            took_ms /= 10

        def end(end_ms: float) -> None:
            target.running -= 1
            if fails:
                target.counts.add_failure(route)
            elif warming:
                target.counts.add_untimed(route)
            else:
                target.counts.add_success(route, took_ms)
            if is_new and (fails or factor >= _SLOW_FACTOR):
                self.bad_ms.append(end_ms)
            if not is_new:
                self.credits[entry].on_response()
            elif fails:
                old = self.rng.choice(self.old)
                self._run(old, route, mean_ms, end_ms, entry)

        self._at(now_ms + took_ms, end)

    def _draw(
        self, target: _Target, route: str, now_ms: float
    ) -> tuple[bool, float]:
        behaviour = self.behaviour
        draw = self.rng.random()
        began = now_ms >= behaviour.after_ms
        if behaviour.outage and began and now_ms < behaviour.after_ms + 3000:
            return draw < behaviour.outage, 1.0
        if self._is_cold(target, now_ms):
            return draw < _BASE_FAILURES, _COLD_FACTOR
        affected = (
            target.affected
            and began
            and behaviour.route in ("", route)
            and target.running >= behaviour.min_running
        )
        if affected and draw < behaviour.failures:
            return True, 1.0
        if affected and draw < behaviour.slow:
            return False, _SLOW_FACTOR
        return draw < _BASE_FAILURES, 1.0

    def _is_cold(self, target: _Target, now_ms: float) -> bool:
        age_ms = now_ms - target.started_ms
        return (
            self.behaviour.cold and target.revision == NEW and age_ms < _COLD_MS
        )

    # The judge.

    def _report(self, now_ms: float) -> None:
        self._at(now_ms + _REPORT_MS, self._report)
        reports = []
        for target in self.old + self.new:
            if target.counts.total == target.reported:
                continue
            if self.rng.random() < _LOST_REPORTS:
                continue
            target.reported = target.counts.total
            reports.append(
                AnswerReport(
                    node=target.node,
                    revision=target.revision,
                    routes=target.counts.report(),
                )
            )
        answers = sum(target.counts.total for target in self.new)
        self._at(
            now_ms + _REPORT_DELAY_MS,
            lambda at_ms: self._judge(reports, answers, at_ms),
        )

    def _judge(
        self, reports: list[AnswerReport], answers: int, now_ms: float
    ) -> None:
        if self.verdict_ms is not None:
            return
        if self.rule_state.decide(reports, now_ms):
            self.verdict_ms = now_ms
            self.answers_to_verdict = answers
            for entry in range(self.entries):
                delay_ms = self.rng.uniform(0, _VERDICT_DELAY_MS)
                self.stops_ms[entry] = now_ms + delay_ms

    def _outcome(self) -> Outcome:
        late = 0
        bad_ms = sorted(self.bad_ms)
        if len(bad_ms) >= BAD_ANSWERS:
            end_ms = bad_ms[BAD_ANSWERS - 1] + ROLLBACK_MS
            late = sum(time_ms > end_ms for time_ms in self.exposed_ms)
        verdict_ms = self.verdict_ms
        if verdict_ms is not None and bad_ms:
            verdict_ms -= bad_ms[0]
        return Outcome(
            len(self.exposed_ms),
            self.total,
            len(bad_ms),
            late,
            verdict_ms,
            self.answers_to_verdict,
        )
