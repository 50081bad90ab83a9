"""Model of suspicion and refutation, checked over every order of events.

The subject S and two watchers run the functions of core. Every view of S that
one of the three ever had may arrive at each of them at any time: late, twice or
in another order. The watchers may wrongly suspect S a bounded number of times.
S may drain, and may restart once.
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
MAX_SUSPICIONS = 2
FIELDS = (
    "subject",
    "first",
    "second",
    "views",
    "suspicions_left",
    "seen_draining",
)
SETTINGS = MembershipSettings()


@attrs.frozen(order=True)
class View:
    """A member's view of the subject."""

    incarnation: int
    sequence: int
    state: str

    @classmethod
    def of(cls, entry: MemberEntry) -> "View":
        return cls(entry.incarnation, entry.sequence, entry.state)

    def entry(self) -> MemberEntry:
        return MemberEntry(
            node=SUBJECT,
            incarnation=self.incarnation,
            sequence=self.sequence,
            state=self.state,
        )


State = tuple[View, View, View, frozenset[View], int, int]


def watcher(known: View) -> Swim:
    table = MemberTable(MemberEntry(node="watcher"))
    table.merge((known.entry(),))
    swim = Swim(table, SETTINGS, random.Random(0))
    if known.state == SUSPECT:
        swim.suspicions[SUBJECT] = 0
    return swim


def view_of(swim: Swim) -> View:
    return View.of(swim.table.others[SUBJECT])


@functools.cache
def receive(known: View, received: View) -> View:
    swim = watcher(known)
    swim.on_gossip(Gossip(members=(received.entry(),)), 0)
    return view_of(swim)


@functools.cache
def suspect(known: View) -> View:
    swim = watcher(known)
    swim.suspect(SUBJECT, 0)
    return view_of(swim)


@functools.cache
def expire_suspicion(known: View) -> View:
    swim = watcher(known)
    swim.suspicions[SUBJECT] = 0
    swim.tick(0)
    return view_of(swim)


@functools.cache
def subject_receives(subject: View, received: View) -> View:
    table = MemberTable(subject.entry())
    table.merge((received.entry(),))
    return View.of(table.own)


@functools.cache
def subject_drains(subject: View) -> View:
    table = MemberTable(subject.entry())
    table.update_own(state=DRAINING)
    return View.of(table.own)


@functools.cache
def subject_restarts(subject: View) -> View:
    table = MemberTable(subject.entry())
    table.restart_own(0, state=READY)
    return View.of(table.own)


@pytest.fixture(autouse=True)
def fresh_steps() -> Iterator[None]:
    """Clears the cached steps, which a test may have made with a mutation."""
    yield
    for step in (receive, suspect, expire_suspicion, subject_receives):
        step.cache_clear()


def successors(changes: bool, state: State) -> list[tuple[str, State]]:
    subject, first, second, views, suspicions_left, _ = state

    def after(**changes: object) -> State:
        values = dict(zip(FIELDS, state, strict=True)) | changes
        published = {values["subject"], values["first"], values["second"]}
        values["views"] = views | published
        if values["first"].state == DRAINING:
            values["seen_draining"] = values["first"].incarnation
        return tuple(values[name] for name in FIELDS)  # type: ignore[return-value]

    steps = []
    for received in sorted(views):
        steps += [
            (
                f"S receives {received}",
                after(subject=subject_receives(subject, received)),
            ),
            (
                f"first receives {received}",
                after(first=receive(first, received)),
            ),
            (
                f"second receives {received}",
                after(second=receive(second, received)),
            ),
        ]
    if changes and subject.state == READY:
        steps.append(("S drains", after(subject=subject_drains(subject))))
    if changes and subject.incarnation == 1:
        steps.append(("S restarts", after(subject=subject_restarts(subject))))
    for name, known in (("first", first), ("second", second)):
        if known.state == SUSPECT:
            gone = expire_suspicion(known)
            steps.append((f"{name} times out", after(**{name: gone})))
        elif suspicions_left and known.state == READY:
            suspicion = {
                name: suspect(known),
                "suspicions_left": suspicions_left - 1,
            }
            steps.append((f"{name} suspects S", after(**suspicion)))
    return steps


def model(changes: bool) -> Protocol:
    """Returns the model.

    Args:
        changes: Whether S may drain and restart. Both would correct a wrong
            suspicion, so the check of liveness excludes them.
    """
    start = View(1, 0, READY)
    known = frozenset((start,))
    return Protocol(
        name="suspicion and refutation",
        candidate=False,
        fields=FIELDS,
        initial=(start, start, start, known, MAX_SUSPICIONS, 0),
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


def test_a_live_member_does_not_stay_gone() -> None:
    assert check_liveness(model(changes=False))["holds"] is True


def test_the_model_finds_a_missing_refutation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A member that was paused does not refute that it is gone.

    All other members continue to consider the member gone, so its target gets
    no requests.
    """
    monkeypatch.setattr(MemberTable, "_refute", lambda table, entry: None)
    assert check_liveness(model(changes=False))["holds"] is False


def test_the_model_finds_an_accepted_older_entry(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A delayed ready entry of a member arrives after its draining entry.

    If nodes accepted the older entry, they would send callers' requests to a
    target that is about to stop.
    """
    monkeypatch.setattr(_members, "join_entries", lambda first, second: first)
    holds = check_safety(model(changes=True))["properties"][
        "draining_is_final"
    ]["holds"]
    assert holds is False
