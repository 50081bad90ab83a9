"""Tests of the queries for the departures that peers know."""

import pytest

from pomelobank_core import MemberTable
from pomelobank_core.departures import (
    MAX_QUERIED_PEERS,
    MAX_REPLY_WAIT_MS,
    QUERY_INTERVAL_MS,
    PeerSurvey,
)
from pomelobank_schema.generated.peer import MemberEntry


def survey_of(*peers: str) -> PeerSurvey:
    table = MemberTable(MemberEntry(node="own", state="starting"))
    table.merge(
        MemberEntry(node=node, state="ready", peer_address=f"{node}:1")
        for node in peers
    )
    return PeerSurvey(table)


@pytest.mark.parametrize(
    ("replies", "now_ms", "finished"),
    [
        pytest.param([], 9000, False, id="no reply"),
        pytest.param(
            [("a", False, 2), ("b", False, 2)],
            9000,
            False,
            id="all peers have just started",
        ),
        pytest.param([("a", True, 2)], 0, False, id="a peer is missing"),
        pytest.param(
            [("a", True, 2), ("b", False, 2)], 0, True, id="all have replied"
        ),
        pytest.param(
            [("a", True, 3), ("b", True, 3)],
            0,
            False,
            id="a peer is not known to this node yet",
        ),
        pytest.param(
            [("a", True, 3)], MAX_REPLY_WAIT_MS, True, id="a peer is silent"
        ),
    ],
)
def test_survey_ends_once_the_replies_are_complete(
    replies: list[tuple[str, bool, int]], now_ms: int, finished: bool
) -> None:
    survey = survey_of("a", "b")
    for node, complete, members in replies:
        survey.on_reply(node, complete, members, 0)
    assert survey.is_finished(now_ms) is finished


def test_peers_are_queried_until_their_reply_is_complete() -> None:
    """A peer that has just started knows the departures only later."""
    survey = survey_of("a", "b")

    def due(now_ms: int) -> set[str]:
        return {entry.node for entry in survey.due_queries(now_ms)}

    assert due(0) == {"a", "b"}
    assert due(1) == set()
    survey.on_reply("a", True, 2, 1)
    survey.on_reply("b", False, 2, 1)
    assert due(QUERY_INTERVAL_MS) == {"b"}
    assert due(2 * QUERY_INTERVAL_MS) == set()
    assert due(3 * QUERY_INTERVAL_MS) == {"b"}


def test_the_number_of_queried_peers_is_bounded() -> None:
    """Each start of a node would send a frame to each of 1,000 members."""
    survey = survey_of(*(str(number) for number in range(1000)))
    queried = survey.due_queries(0)
    assert len(queried) == MAX_QUERIED_PEERS
    for entry in queried:
        survey.on_reply(entry.node, True, 1000, 0)
    assert survey.is_finished(0)
