"""Which nodes judge a roll-out, and what they decide."""

import attrs

from pomelobank_core import ErrorKind, ManualClock, MemberTable
from pomelobank_core.rollouts import Rollouts
from pomelobank_node._crash_reports import CrashReports
from pomelobank_node._owner import Owner, Target
from pomelobank_node._peer_links import PeerLinks
from pomelobank_node.rollouts._answers import TargetAnswers
from pomelobank_node.rollouts._judging import JUDGES, Judging
from pomelobank_schema.generated.peer import (
    AnswerReport,
    ForwardRequest,
    Hello,
    MemberEntry,
)
from pomelobank_schema.generated.records import RolloutRecord
from pomelobank_schema.generated.settings import RequestSettings

ORDER = RolloutRecord(
    upstream="stock", revision="v2", position=7, era=1, state="running"
)
NODES = [f"n{number}" for number in range(9)]


def _judging(own: str, rollouts: Rollouts) -> Judging:
    def entry(node: str) -> MemberEntry:
        return MemberEntry(node=node, state="ready", peer_address=node)

    table = MemberTable(entry(own))
    table.merge(entry(node) for node in NODES if node != own)
    return Judging(table, rollouts, ManualClock(1000), rollouts.add)


def _answers(
    node: str, revision: str, rollouts: Rollouts, statuses: list[int]
) -> list[AnswerReport]:
    answers = TargetAnswers(node, rollouts)
    target = Target("stock", "127.0.0.1:1", 3, node, 0, revision)
    for status in statuses:
        answers.on_response(target, "lookup", status, 20.0)
    return answers.reports()


def _new_rollouts(*records: RolloutRecord) -> Rollouts:
    rollouts = Rollouts()
    rollouts.add_all(records)
    return rollouts


def test_all_nodes_choose_the_same_judges() -> None:
    rollouts = _new_rollouts(ORDER)
    chosen = {
        tuple(e.node for e in _judging(node, rollouts).judging_nodes(ORDER))
        for node in NODES
    }
    assert len(chosen) == 1
    assert len(chosen.pop()) == JUDGES


def test_lost_judge_is_replaced() -> None:
    """Guards against reports to nodes that are gone or suspected."""
    judging = _judging("n0", _new_rollouts(ORDER))
    judges = [e.node for e in judging.judging_nodes(ORDER)]
    lost = next(node for node in judges if node != "n0")
    entry = judging.table.others[lost]
    judging.table.merge([attrs.evolve(entry, state="suspect")])
    others = [e.node for e in judging.judging_nodes(ORDER)]
    assert lost not in others
    assert len(set(others) & set(judges)) == JUDGES - 1


def test_new_judge_decides_from_earlier_answers() -> None:
    """Guards against a verdict that is lost with the node that judged."""
    rollouts = _new_rollouts(ORDER)
    judging = _judging("n0", rollouts)
    for number in range(4):
        old = _answers(f"o{number}", "v1", rollouts, [200] * 20)
        new = _answers(f"c{number}", "v2", rollouts, [500, 200] * 6)
        for report in old + new:
            judging.add(report)
    judging.evaluate()
    record = rollouts.newest("stock")
    assert record is not None
    assert record.state == "reverted"
    assert "failures" in record.reason


def test_answers_are_counted_only_while_a_roll_out_runs() -> None:
    """Guards against the cost of counting without a roll-out."""
    done = attrs.evolve(ORDER, state="reverted")
    for records in ([], [done]):
        rollouts = _new_rollouts(*records)
        assert _answers("n1", "v1", rollouts, [200] * 5) == []


def test_second_roll_out_begins_with_new_counts() -> None:
    """Guards against failures of an earlier revision held against the next."""
    rollouts = _new_rollouts(ORDER)
    answers = TargetAnswers("n1", rollouts)
    target = Target("stock", "127.0.0.1:1", 3, "i-1", 0, "v1")
    answers.on_error(target, "lookup", ErrorKind.UPSTREAM_LOST)
    rollouts.add(attrs.evolve(ORDER, state="reverted"))
    rollouts.add(attrs.evolve(ORDER, revision="v3", position=9))
    answers.on_response(target, "lookup", 200, 20.0)
    (report,) = answers.reports()
    assert report.position == 9
    assert [item.failures for item in report.routes] == [0]


def test_late_report_of_an_ended_roll_out_is_ignored() -> None:
    """Guards against a stale report that condemns the next revision."""
    rollouts = _new_rollouts(ORDER)
    report = _answers("n1", "v2", rollouts, [500] * 9)
    rollouts.add(attrs.evolve(ORDER, revision="v3", position=9))
    judging = _judging("n0", rollouts)
    judging.add(report[0])
    assert judging.judges == {}


async def test_owner_of_a_condemned_target_rejects_requests() -> None:
    """Guards against requests of nodes that do not know the verdict yet."""
    members = MemberTable(MemberEntry(node="own"))
    clock = ManualClock(1000)
    reports = CrashReports(members, PeerLinks(Hello(node="own"), 1), clock)
    owner = Owner(RequestSettings(), clock, reports)
    owner.set_target(Target("stock", "127.0.0.1:1", 3, "i-1", 0, "v2"))
    owner.is_condemned = lambda *key: key == ("stock", "v2")
    reply = await owner.serve(
        ForwardRequest(upstream="stock", remaining_ms=1000)
    )
    assert reply.error == ErrorKind.NO_TARGET.value
