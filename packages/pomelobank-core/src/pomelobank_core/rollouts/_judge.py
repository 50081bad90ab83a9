"""Judges a revision by its answers, compared with those of the others."""

import itertools
import math
from collections import deque
from collections.abc import Iterable

import attrs

from pomelobank_core.rollouts._sequential_test import THRESHOLD, SequentialTest
from pomelobank_schema.generated.peer import AnswerReport, RouteAnswers

# Answers of other revisions are compared over this time, so that a fault that
# affects all revisions, such as an outage of what the targets call, raises the
# reference within a few seconds.
COMPARED_MS = 5000
# They are also compared over this time, since such a fault may just have begun.
# It covers the interval between two reports and their way.
COMPARED_SOON_MS = 1000
# Rate of failures that is not held against a revision, beyond that of the other
# revisions.
FAILURE_MARGIN = 0.05
# Distances in buckets from the other revisions' median service time on a route
# beyond which an answer is slow (2.8 and 5.7 times the median), each with the
# rate that is not held against a revision. Targets of one upstream differ in
# speed by half, so the margin of the first is larger. The second finds very
# slow answers on routes whose times vary much.
SLOW_LIMITS = ((3, 0.15), (5, 0.05))
# Number of standard deviations that the reference lies above the observed rate.
_CONFIDENCE = 2.0
_MAX_REFERENCE = 0.9
# Minimum number of answers of the other revisions to compare with. A route with
# fewer is judged with all routes together.
MIN_REFERENCE_ANSWERS = 20
# Minimum number of bad answers of the targets other than the one with the most.
# One faulty target says nothing about its revision.
_MIN_BAD_ELSEWHERE = 2
ALL_ROUTES = ""
FAILURES = "failures"
SLOW_ANSWERS = "slow answers"


@attrs.frozen
class Tally:
    """Answers, some of which are bad."""

    bad: int = 0
    total: int = 0

    def __add__(self, other: "Tally") -> "Tally":
        return Tally(self.bad + other.bad, self.total + other.total)

    def __sub__(self, other: "Tally") -> "Tally":
        return Tally(self.bad - other.bad, self.total - other.total)


@attrs.frozen
class Verdict:
    """Why a revision is bad.

    Attributes:
        symptom: `FAILURES` or `SLOW_ANSWERS`.
        route: The affected route; empty if the answers on all routes together
            show it.
        answers: Answers of the revision since its roll-out began.
        reference: Rate of bad answers that was expected at most.
    """

    symptom: str
    route: str
    answers: Tally
    reference: float

    def describe(self) -> str:
        """Returns the verdict for operators."""
        where = f"on route {self.route}" if self.route else "on all routes"
        return (
            f"{self.answers.bad} {self.symptom} of {self.answers.total} answers"
            f" {where}, at most {self.reference:.0%} expected"
        )


@attrs.define(eq=False)
class _Comparison:
    """Answers on one route with regard to one symptom.

    Attributes:
        test: The sequential test of the judged revision.
        judged: Its answers at the last evaluation.
        others: Answers of the other revisions, with the time of the evaluation.
    """

    test: SequentialTest = attrs.field(factory=SequentialTest)
    judged: Tally = attrs.field(factory=Tally)
    others: deque[tuple[float, Tally]] = attrs.field(factory=deque)

    def reference(
        self, others: Tally, margin: float, now_ms: float
    ) -> float | None:
        """Returns the rate of bad answers that is expected at most.

        Args:
            others: Answers of the other revisions so far.
            margin: Rate beyond theirs that is not held against a revision.
            now_ms: Current time.

        Returns:
            The rate; None while there are too few answers to compare with.
        """
        self.others.append((now_ms, others))
        while len(self.others) > 1 and (
            self.others[1][0] <= now_ms - COMPARED_MS
        ):
            self.others.popleft()
        periods = [
            others - self._as_of(now_ms - COMPARED_MS),
            others - self._as_of(now_ms - COMPARED_SOON_MS),
        ]
        usable = [p for p in periods if p.total >= MIN_REFERENCE_ANSWERS]
        if not usable and others.total >= MIN_REFERENCE_ANSWERS:
            usable = [others]
        return max((_reference(p, margin) for p in usable), default=None)

    def _as_of(self, time_ms: float) -> Tally:
        tally = self.others[0][1]
        for at_ms, counted in self.others:
            if at_ms > time_ms:
                break
            tally = counted
        return tally


@attrs.define(eq=False)
class Judge:
    """Judges one roll-out from the reports of the targets' nodes.

    Reports are cumulative and may be lost, repeated or out of order. Several
    nodes may judge the same roll-out; each finds its own verdict from the same
    counts.

    Attributes:
        revision: The judged revision.
        reports: The newest report of each target, by node, process and
            revision.
        comparisons: State of the tests, by symptom, route and distance of
            slow answers from the median.
        medians: Bucket of the other revisions' median service time, by route.
    """

    revision: str
    reports: dict[tuple[str, int, str], AnswerReport] = attrs.field(
        factory=dict
    )
    comparisons: dict[tuple[str, str, int], _Comparison] = attrs.field(
        factory=dict
    )
    medians: dict[str, int] = attrs.field(factory=dict)

    def add(self, report: AnswerReport) -> None:
        """Adds a report, unless a later one of the same target is known."""
        key = (report.node, report.process, report.revision)
        known = self.reports.get(key)
        if known is None or _total(report) > _total(known):
            self.reports[key] = report

    @property
    def answers(self) -> int:
        """Number of answers of the judged revision."""
        return sum(
            _total(report)
            for (_, _, revision), report in self.reports.items()
            if revision == self.revision
        )

    @property
    def doubt(self) -> float:
        """How near the judge is to a verdict, from 0 to 1."""
        sums = (max(item.test.sums) for item in self.comparisons.values())
        return min(1.0, max(sums, default=0.0) / THRESHOLD)

    def evaluate(self, now_ms: float) -> Verdict | None:
        """Evaluates the answers since the last call.

        Returns:
            The verdict; None while nothing shows that the revision is bad.
        """
        judged = [r for k, r in self.reports.items() if k[2] == self.revision]
        others = [r for k, r in self.reports.items() if k[2] != self.revision]
        routes = {item.route for report in judged for item in report.routes}
        verdicts = [
            self._evaluate_failures(route, judged, others, now_ms)
            for route in (ALL_ROUTES, *sorted(routes - {ALL_ROUTES}))
        ]
        self._learn_medians(routes, others)
        verdicts += [
            self._evaluate_times(route, limit, judged, others, now_ms)
            for route in (ALL_ROUTES, *sorted(routes - {ALL_ROUTES}))
            for limit in SLOW_LIMITS
        ]
        return next((item for item in verdicts if item is not None), None)

    def _evaluate_failures(
        self,
        route: str,
        judged: list[AnswerReport],
        others: list[AnswerReport],
        now_ms: float,
    ) -> Verdict | None:
        return self._compare(
            (FAILURES, route, 0),
            [_sum(_failures(item) for item in _on(route, r)) for r in judged],
            _sum(_failures(item) for r in others for item in _on(route, r)),
            FAILURE_MARGIN,
            now_ms,
        )

    def _evaluate_times(
        self,
        route: str,
        slow_limit: tuple[int, float],
        judged: list[AnswerReport],
        others: list[AnswerReport],
        now_ms: float,
    ) -> Verdict | None:
        distance, margin = slow_limit

        def tally(report: AnswerReport) -> Tally:
            return _sum(
                _slow(item, self.medians[item.route] + distance)
                for item in _on(route, report)
                if item.route in self.medians
            )

        return self._compare(
            (SLOW_ANSWERS, route, distance),
            [tally(report) for report in judged],
            _sum(tally(report) for report in others),
            margin,
            now_ms,
        )

    def _learn_medians(
        self, routes: set[str], others: list[AnswerReport]
    ) -> None:
        # A median stays once it is known, since counts by another limit are not
        # comparable. If all targets become slow, the reference rises.
        for route in routes - self.medians.keys():
            items = [
                item
                for report in others
                for item in report.routes
                if item.route == route
            ]
            if sum(sum(i.times) for i in items) >= MIN_REFERENCE_ANSWERS:
                self.medians[route] = _median_bucket(items)

    def _compare(
        self,
        key: tuple[str, str, int],
        judged: list[Tally],
        others: Tally,
        margin: float,
        now_ms: float,
    ) -> Verdict | None:
        comparison = self.comparisons.setdefault(key, _Comparison())
        reference = comparison.reference(others, margin, now_ms)
        if reference is None:
            return None
        total = _sum(judged)
        new = total - comparison.judged
        comparison.judged = total
        has_risen = comparison.test.add(new.bad, new.total - new.bad, reference)
        if not has_risen or not _is_widespread(judged, reference):
            return None
        symptom, route, _ = key
        return Verdict(symptom, route, total, reference)


def _reference(recent: Tally, margin: float) -> float:
    rate = (recent.bad + 0.5) / (recent.total + 1.0)
    deviation = math.sqrt(rate * (1.0 - rate) / recent.total)
    return min(_MAX_REFERENCE, rate + _CONFIDENCE * deviation + margin)


def _is_widespread(judged: list[Tally], reference: float) -> bool:
    """Returns whether more than one faulty target shows the symptom."""
    seen = [tally for tally in judged if tally.total]
    if len(seen) <= 1:
        return True
    worst = max(seen, key=lambda tally: tally.bad)
    elsewhere = _sum(seen) - worst
    return (
        elsewhere.bad >= _MIN_BAD_ELSEWHERE
        and elsewhere.bad > reference * elsewhere.total
    )


def _sum(tallies: Iterable[Tally]) -> Tally:
    return sum(tallies, Tally())


def _on(route: str, report: AnswerReport) -> list[RouteAnswers]:
    return [item for item in report.routes if not route or item.route == route]


def _failures(item: RouteAnswers) -> Tally:
    good = sum(item.times) + item.untimed
    return Tally(item.failures, item.failures + good)


def _slow(item: RouteAnswers, limit: int) -> Tally:
    slow = sum(item.times[limit + 1 :]) + sum(item.cancelled[limit + 1 :])
    return Tally(slow, sum(item.times[: limit + 1]) + slow)


def _median_bucket(items: Iterable[RouteAnswers]) -> int:
    counts: list[int] = []
    for item in items:
        counts.extend([0] * (len(item.times) - len(counts)))
        for bucket, count in enumerate(item.times):
            counts[bucket] += count
    passed = list(itertools.accumulate(counts))
    return next(
        bucket for bucket, count in enumerate(passed) if 2 * count >= passed[-1]
    )


def _total(report: AnswerReport) -> int:
    return sum(
        item.failures + item.untimed + sum(item.times) + sum(item.cancelled)
        for item in report.routes
    )
