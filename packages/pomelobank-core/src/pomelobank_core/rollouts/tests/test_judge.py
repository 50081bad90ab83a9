"""Verdicts on a revision from the reports of its targets."""

import attrs
import pytest

from pomelobank_core.rollouts import AnswerCounts, Judge, SequentialTest
from pomelobank_schema.generated.peer import AnswerReport


@attrs.frozen
class Answers:
    """Answers of each target of a revision in one round of reports.

    Attributes:
        good: Number of answers within the usual time.
        failures: Number of failures.
        slow: Number of answers that take eight times as long.
        untimed: Number of answers during the target's first seconds.
        cancelled: Number of slow requests that were cancelled.
        targets: Number of targets with these answers.
        route: Route of the answers.
    """

    good: int = 0
    failures: int = 0
    slow: int = 0
    untimed: int = 0
    cancelled: int = 0
    targets: int = 4
    route: str = "lookup"


def _verdict(*answers: tuple[str, Answers], rounds: int = 12) -> str:
    counts: dict[tuple[str, str], AnswerCounts] = {}
    judge = Judge("v2")
    for number in range(rounds):
        for group, (revision, item) in enumerate(answers):
            for target in range(item.targets):
                key = (f"{revision}-{group}-{target}", revision)
                _add(counts.setdefault(key, AnswerCounts()), item)
        for (node, revision), count in counts.items():
            judge.add(
                AnswerReport(
                    node=node, revision=revision, routes=count.report()
                )
            )
        verdict = judge.evaluate(250.0 * number)
        if verdict is not None:
            return f"{verdict.symptom} {verdict.route}".strip()
    return ""


def _add(counts: AnswerCounts, item: Answers) -> None:
    for _ in range(item.good):
        counts.add_success(item.route, 20.0)
    for _ in range(item.failures):
        counts.add_failure(item.route)
    for _ in range(item.slow):
        counts.add_success(item.route, 160.0)
    for _ in range(item.untimed):
        counts.add_untimed(item.route)
    for _ in range(item.cancelled):
        counts.add_cancelled(item.route, 160.0)


OLD = ("v1", Answers(good=10))


@pytest.mark.parametrize(
    ("answers", "expected"),
    [
        pytest.param([OLD, ("v2", Answers(good=2))], "", id="good"),
        pytest.param(
            [OLD, ("v2", Answers(good=1, failures=1))],
            "failures",
            id="failing",
        ),
        pytest.param(
            [OLD, ("v2", Answers(good=1, slow=1))],
            "slow answers",
            id="slow",
        ),
        pytest.param(
            [OLD, ("v2", Answers(good=1, cancelled=1))],
            "slow answers",
            id="slow answers that callers did not wait for",
        ),
        pytest.param([OLD, ("v2", Answers(untimed=2))], "", id="just started"),
        pytest.param(
            [
                ("v1", Answers(good=5, failures=5)),
                ("v2", Answers(good=1, failures=1)),
            ],
            "",
            id="outage of what both revisions call",
        ),
        pytest.param(
            [
                ("v1", Answers(good=5, slow=5)),
                ("v2", Answers(good=1, slow=1)),
            ],
            "",
            id="both revisions are slow",
        ),
        pytest.param(
            [
                OLD,
                ("v2", Answers(good=2)),
                ("v2", Answers(failures=3, targets=1)),
            ],
            "",
            id="one faulty target",
        ),
        pytest.param(
            [
                OLD,
                ("v2", Answers(good=2)),
                ("v2", Answers(slow=3, targets=1)),
            ],
            "",
            id="one slow machine",
        ),
        pytest.param(
            [OLD, ("v2", Answers(failures=3, targets=1))],
            "failures",
            id="only target of its revision",
        ),
        pytest.param(
            [
                OLD,
                ("v1", Answers(good=3, route="order")),
                ("v2", Answers(good=9)),
                ("v2", Answers(good=1, failures=1, route="order")),
            ],
            "failures order",
            id="failing on one route",
        ),
        pytest.param(
            [("v2", Answers(good=1, failures=1))],
            "",
            id="nothing to compare with",
        ),
    ],
)
def test_verdict(answers: list[tuple[str, Answers]], expected: str) -> None:
    assert _verdict(*answers) == expected


def test_revision_that_turns_bad_is_found_as_soon_as_one_that_begins_bad() -> (
    None
):
    """Guards against a long good time that hides later failures."""
    first, later = SequentialTest(), SequentialTest()
    later.add(0, 5000, 0.06)
    bad = {
        name: next(n for n in range(1, 100) if test.add(1, 1, 0.06))
        for name, test in (("first", first), ("later", later))
    }
    assert bad["first"] == bad["later"] <= 12


def test_older_report_does_not_replace_a_later_one() -> None:
    """Guards against frames that overtake each other."""
    counts = AnswerCounts()
    reports = []
    for _ in range(3):
        counts.add_failure("lookup")
        reports.append(
            AnswerReport(node="n", revision="v2", routes=counts.report())
        )
    judge = Judge("v2")
    for report in (reports[2], reports[0], reports[1]):
        judge.add(report)
    assert list(judge.reports.values()) == [reports[2]]


def test_routes_beyond_the_limit_are_counted_together() -> None:
    """Guards against memory that grows with the number of routes."""
    counts = AnswerCounts()
    for number in range(500):
        counts.add_failure(f"r-{number}")
    report = counts.report()
    assert len(report) == 65
    assert sum(item.failures for item in report) == 500
