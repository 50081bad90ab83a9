"""Suspicion and refutation, checked over every order of events.

The subject S and two watchers run core's own code. Whatever anybody ever
claimed of S may arrive anywhere, at any time, late, twice or in another order.
The watchers may doubt S wrongly a bounded number of times; S may drain, and
start again once.
"""

import functools
import random
from collections.abc import Iterator

import attrs
import pytest
from minicheck import Protocol, check_liveness, check_safety

from pomelobank_core import MemberState, MemberTable, Swim, _members
from pomelobank_schema.generated.peer import Gossip, MemberEntry
from pomelobank_schema.generated.settings import MembershipSettings

READY = MemberState.READY.value
SUSPECT = MemberState.SUSPECT.value
DRAINING = MemberState.DRAINING.value
GONE = MemberState.GONE.value
SUBJECT = "s"
DOUBTS = 2
FIELDS = ("subject", "first", "second", "claims", "doubts", "seen_draining")
SETTINGS = MembershipSettings()


@attrs.frozen(order=True)
class Claim:
    """What somebody holds of the subject."""

    incarnation: int
    sequence: int
    state: str

    @classmethod
    def of(cls, entry: MemberEntry) -> "Claim":
        return cls(entry.incarnation, entry.sequence, entry.state)

    def entry(self) -> MemberEntry:
        return MemberEntry(
            node=SUBJECT,
            incarnation=self.incarnation,
            sequence=self.sequence,
            state=self.state,
        )


State = tuple[Claim, Claim, Claim, frozenset[Claim], int, int]


def watcher(held: Claim) -> Swim:
    table = MemberTable(MemberEntry(node="watcher"))
    table.merge((held.entry(),))
    swim = Swim(table, SETTINGS, random.Random(0))
    if held.state == SUSPECT:
        swim.suspicions[SUBJECT] = 0
    return swim


def held_by(swim: Swim) -> Claim:
    return Claim.of(swim.table.others[SUBJECT])


@functools.cache
def hears(held: Claim, claim: Claim) -> Claim:
    swim = watcher(held)
    swim.on_gossip(Gossip(members=(claim.entry(),)), 0)
    return held_by(swim)


@functools.cache
def doubts(held: Claim) -> Claim:
    swim = watcher(held)
    swim.suspect(SUBJECT, 0)
    return held_by(swim)


@functools.cache
def times_out(held: Claim) -> Claim:
    swim = watcher(held)
    swim.suspicions[SUBJECT] = 0
    swim.tick(0)
    return held_by(swim)


@functools.cache
def subject_hears(subject: Claim, claim: Claim) -> Claim:
    table = MemberTable(subject.entry())
    table.merge((claim.entry(),))
    return Claim.of(table.own)


@functools.cache
def subject_drains(subject: Claim) -> Claim:
    table = MemberTable(subject.entry())
    table.update_own(state=DRAINING)
    return Claim.of(table.own)


@functools.cache
def subject_restarts(subject: Claim) -> Claim:
    table = MemberTable(subject.entry())
    table.restart_own(0, state=READY)
    return Claim.of(table.own)


@pytest.fixture(autouse=True)
def fresh_steps() -> Iterator[None]:
    """Forgets the cached steps, which a test may have made with a mutation."""
    yield
    for step in (hears, doubts, times_out, subject_hears):
        step.cache_clear()


def successors(changes: bool, state: State) -> list[tuple[str, State]]:
    subject, first, second, claims, left, _ = state

    def after(**changes: object) -> State:
        values = dict(zip(FIELDS, state, strict=True)) | changes
        told = {values["subject"], values["first"], values["second"]}
        values["claims"] = claims | told
        if values["first"].state == DRAINING:
            values["seen_draining"] = values["first"].incarnation
        return tuple(values[name] for name in FIELDS)  # type: ignore[return-value]

    steps = []
    for claim in sorted(claims):
        steps += [
            (f"S hears {claim}", after(subject=subject_hears(subject, claim))),
            (f"first hears {claim}", after(first=hears(first, claim))),
            (f"second hears {claim}", after(second=hears(second, claim))),
        ]
    if changes and subject.state == READY:
        steps.append(("S drains", after(subject=subject_drains(subject))))
    if changes and subject.incarnation == 1:
        steps.append(("S restarts", after(subject=subject_restarts(subject))))
    for name, held in (("first", first), ("second", second)):
        if held.state == SUSPECT:
            gone = times_out(held)
            steps.append((f"{name} times out", after(**{name: gone})))
        elif left and held.state == READY:
            doubt = {name: doubts(held), "doubts": left - 1}
            steps.append((f"{name} doubts", after(**doubt)))
    return steps


def model(changes: bool) -> Protocol:
    """Returns the model.

    Args:
        changes: Whether S may drain and start again. Either would mend a wrong
            suspicion, so liveness is asked for without them.
    """
    start = Claim(1, 0, READY)
    held = frozenset((start,))
    return Protocol(
        name="suspicion and refutation",
        candidate=False,
        fields=FIELDS,
        initial=(start, start, start, held, DOUBTS, 0),
        transitions=functools.partial(successors, changes),
        invariants={
            "draining_is_final": lambda state: (
                state["seen_draining"] != state["first"].incarnation
                or state["first"].state in (DRAINING, GONE)
            ),
        },
        goal=lambda state: (
            state["first"] == state["second"] == state["subject"]
        ),
    )


def test_a_draining_member_is_never_ready_again() -> None:
    result = check_safety(model(changes=True))
    assert result["properties"]["draining_is_final"]["holds"] is True
    assert result["exhaustive"]


def test_a_live_member_is_not_held_gone_for_ever() -> None:
    assert check_liveness(model(changes=False))["holds"] is True


def test_the_model_finds_a_missing_refutation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A paused member comes back and accepts what is said about it.

    Everybody goes on holding it to be gone, and its target gets no work.
    """
    monkeypatch.setattr(MemberTable, "_refute", lambda table, entry: None)
    assert check_liveness(model(changes=False))["holds"] is False


def test_the_model_finds_a_claim_that_is_taken_as_it_comes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A late claim of a member's readiness arrives after that of its drain.

    Callers' requests would be sent to a target that is about to end.
    """
    monkeypatch.setattr(_members, "join_entries", lambda first, second: first)
    holds = check_safety(model(changes=True))["properties"][
        "draining_is_final"
    ]["holds"]
    assert holds is False
