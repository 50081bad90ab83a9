"""Decisions of usage caps at an entry node and at an authority."""

import random

import attrs
import pytest

from pomelobank_core import MemberState, MemberTable, rendezvous_order
from pomelobank_core.workspaces import (
    CapAuthority,
    CapMembers,
    CapReach,
    CapRules,
    LeasedTokens,
    Workspace,
)
from pomelobank_core.workspaces import _cap_authority as authority_module
from pomelobank_schema.generated.peer import MemberEntry

_CAP = Workspace("workspace", None, 10.0, 10)


def _entry(node: str, state: MemberState = MemberState.READY) -> MemberEntry:
    return MemberEntry(
        node=node,
        incarnation=1,
        sequence=0,
        state=state.value,
        peer_address=node,
    )


def _authority(others: int = 3) -> CapAuthority:
    """Returns an authority that has reached all others, at 20,000 ms."""
    table = MemberTable(_entry("own"))
    for number in range(others):
        table.merge([_entry(f"other-{number}")])
    members = CapMembers(table, 0)
    members.refresh(1000)
    members.refresh(2000)
    reach = CapReach(members, random.Random(1))
    authority = CapAuthority(CapRules(), members, reach)
    authority.ticked_ms = 20_000
    _run_round(authority, 20_000)
    return authority


def _run_round(authority: CapAuthority, now_ms: int, replies: int = 99) -> None:
    authority.tick(now_ms)
    for node in authority.reach.start_round()[:replies]:
        authority.reach.on_reply(node, authority.members.count(now_ms))
    authority.reach.end_round(now_ms)


def _own_workspace(authority: CapAuthority) -> Workspace:
    """Returns a workspace whose first member is the own node."""
    names = (f"workspace-{number}" for number in range(1000))
    name = next(item for item in names if authority.members.is_first(item))
    return attrs.evolve(_CAP, name=name)


def test_a_lease_ends_by_the_sending_of_its_request() -> None:
    """Guards against tokens used after a freeze between request and grant."""
    tokens = LeasedTokens(250)
    tokens.on_grant(5, sent_ms=1000, valid_ms=250, wait_ms=0, now_ms=5000)
    assert not tokens.take(5000)


def test_a_token_given_back_ends_with_its_lease() -> None:
    """Guards against a second life of tokens of requests that did not run."""
    tokens = LeasedTokens(250)
    tokens.on_grant(1, sent_ms=0, valid_ms=250, wait_ms=0, now_ms=2)
    assert tokens.take(3)
    assert tokens.give_back(200)
    assert not tokens.give_back(200)
    assert not tokens.take(250)


def test_a_refusal_holds_for_the_next_requests_without_messages() -> None:
    """Guards against a message to the authority for each refused request."""
    tokens = LeasedTokens(250)
    tokens.on_grant(0, sent_ms=0, valid_ms=250, wait_ms=3000, now_ms=2)
    assert tokens.is_refused(101)
    assert not tokens.is_refused(102)
    assert tokens.wait_ms(502) == 2500


def test_only_frequent_requests_lead_to_a_lease_in_advance() -> None:
    """Guards against tokens that expire unused at nodes with few requests."""
    tokens = LeasedTokens(250)
    tokens.note_demand(0)
    assert tokens.wanted(waiting=1, now_ms=0) == 1
    for at_ms in range(0, 1000, 10):
        tokens.note_demand(at_ms)
    assert tokens.wanted(waiting=1, now_ms=1000) > 5


def test_a_bucket_starts_almost_empty_after_a_pause() -> None:
    """Guards against a burst granted again after a freeze."""
    authority = _authority()
    workspace = _own_workspace(authority)
    full = authority.grant(workspace, 99, "entry", 20_001).tokens
    assert full == workspace.burst + CapRules().extra_depth
    # Frames that arrived during the freeze come before the next tick.
    assert not authority.grant(workspace, 99, "entry", 25_000).is_able
    _run_round(authority, 25_010)
    again = authority.grant(workspace, 99, "entry", 25_011).tokens
    assert again <= CapRules().credit
    assert authority.resets == 1


def test_a_bucket_is_emptied_when_a_member_before_this_one_came_and_went() -> (
    None
):
    """Guards against bursts of two authorities that took turns unnoticed."""
    authority = _authority()
    workspace = _own_workspace(authority)
    authority.grant(workspace, 1, "entry", 20_001)
    names = (f"new-{number}" for number in range(1000))
    table, members = authority.members.table, authority.members
    first = next(
        name
        for name in names
        if members.order(workspace.name)[0] == "own"
        and _precedes(name, workspace.name)
    )
    table.merge([_entry(first)])
    members.refresh(20_100)
    members.refresh(20_900)
    assert not members.is_first(workspace.name)
    table.merge([_entry(first, MemberState.GONE)])
    members.refresh(20_950)
    assert members.is_first(workspace.name)
    authority.ticked_ms = 20_950
    granted = authority.grant(workspace, 99, "entry", 20_951).tokens
    assert granted <= CapRules().credit


def _precedes(name: str, workspace: str) -> bool:
    return rendezvous_order(("own", name), workspace)[0] == name


@pytest.mark.parametrize("lost", [1, 2])
def test_the_share_falls_with_the_members_that_do_not_reply(lost: int) -> None:
    """Guards against two sides of a partition that grant the cap twice."""
    authority = _authority(others=3)
    _run_round(authority, 20_400, replies=3 - lost)
    assert authority.reach.share == pytest.approx((4 - lost) / 4)


def test_members_that_were_declared_gone_count_for_a_minute() -> None:
    """Guards against sides of a partition that forget each other."""
    authority = _authority(others=3)
    members = authority.members
    for number in range(2):
        gone = _entry(f"other-{number}", MemberState.GONE)
        members.table.merge([gone])
    members.refresh(20_100)
    _run_round(authority, 20_400)
    assert authority.reach.share == pytest.approx(2 / 4)
    _run_round(authority, 90_000)
    assert authority.reach.share == 1.0


def test_a_member_that_is_not_the_first_grants_by_its_followers() -> None:
    """Guards against a whole second cap for nodes with one broken link."""
    authority = _authority(others=61)
    names = (f"workspace-{number}" for number in range(1000))
    name = next(item for item in names if not authority.members.is_first(item))
    workspace = Workspace(name, None, 118.0, 118)
    granted = 0
    for now_ms in range(20_000, 25_000, 100):
        authority.ticked_ms = now_ms
        granted += authority.grant(workspace, 9, "entry", now_ms).tokens
    rules = CapRules()
    assert granted <= rules.credit + rules.floor_per_s * 5


def test_buckets_are_bounded_and_removed_ones_start_almost_empty(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against memory by workspaces, and bursts by removed buckets."""
    monkeypatch.setattr(authority_module, "MAX_BUCKETS", 2)
    authority = _authority(others=1)
    names = (f"workspace-{number}" for number in range(1000))
    first = [name for name in names if authority.members.is_first(name)][:3]
    for name in (*first, first[0]):
        workspace = attrs.evolve(_CAP, name=name)
        granted = authority.grant(workspace, 99, "entry", 20_001).tokens
    assert len(authority.buckets) == 2
    assert granted <= CapRules().credit


def test_refused_requests_get_times_at_the_rate_of_the_cap() -> None:
    """Guards against callers that return together and are refused again."""
    authority = _authority()
    workspace = _own_workspace(authority)
    authority.grant(workspace, 99, "entry", 20_001)
    waits = [
        authority.grant(workspace, 1, "entry", 20_001).wait_ms for _ in range(4)
    ]
    assert waits == [100, 200, 300, 400]


@pytest.mark.parametrize(
    ("now_ms", "settles_in_ms"),
    [
        pytest.param(1100, 600, id="a member has just joined"),
        pytest.param(1700, 0, id="no further member has joined"),
        pytest.param(10_000, 0, id="the start is over"),
    ],
)
def test_callers_return_after_the_members_settle(
    now_ms: int, settles_in_ms: int
) -> None:
    """Guards against callers that return to nodes which cannot grant yet."""
    table = MemberTable(_entry("own"))
    members = CapMembers(table, 0)
    table.merge([_entry("other")])
    members.refresh(1000)
    assert members.settles_in_ms(now_ms) == settles_in_ms
