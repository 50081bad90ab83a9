"""Who gets room when clients hold more than a node has."""

import attrs
import pytest

from pomelobank_core.buffering import (
    MIN_WINDOW_BYTES,
    BufferAccount,
    BufferBudget,
)

CAPACITY = 100_000
WINDOW = 256 * 1024


@attrs.define
class Clients:
    """Books connections by name."""

    budget: BufferBudget = attrs.field(
        factory=lambda: BufferBudget(CAPACITY, 0.25)
    )
    accounts: dict[str, BufferAccount] = attrs.field(factory=dict)

    def book(
        self,
        name: str,
        held: int,
        *,
        now: int = 0,
        moved: int = 0,
        complete: bool = False,
    ) -> list[object]:
        account = self.accounts.setdefault(name, BufferAccount(name))
        chosen = self.budget.book(account, held, not complete, moved, now)
        return [item.holder for item in chosen]


@pytest.mark.parametrize(
    ("held", "window", "long_bodies", "requests"),
    [
        pytest.param(0, WINDOW, True, True, id="calm"),
        pytest.param(50_000, WINDOW, True, True, id="half"),
        pytest.param(50_001, MIN_WINDOW_BYTES, True, True, id="above half"),
        pytest.param(75_000, MIN_WINDOW_BYTES, False, True, id="reserve"),
        pytest.param(100_000, MIN_WINDOW_BYTES, False, False, id="full"),
    ],
)
def test_room_narrows_step_by_step(
    held: int, window: int, long_bodies: bool, requests: bool
) -> None:
    clients = Clients()
    clients.book("client", held)
    budget = clients.budget
    assert budget.window_bytes(WINDOW) == window
    assert budget.accepts_long_bodies == long_bodies
    assert budget.accepts_requests == requests


def test_bodies_that_stopped_are_closed_before_those_that_arrive() -> None:
    """Guards against a legal upload that is closed for a stalled one."""
    clients = Clients()
    clients.book("stalled", 40_000)
    clients.book("uploads", 40_000)
    clients.book("stalled", 40_000, now=5000, moved=100)
    clients.book("uploads", 40_000, now=5000, moved=9_000_000)
    assert clients.book("new", 30_000, now=5000) == ["new"]
    assert clients.book("new", 30_000, now=5001, moved=30_000) == ["stalled"]


def test_requests_that_wait_for_the_node_are_not_closed() -> None:
    """Guards against closing a client that has sent its whole request."""
    clients = Clients()
    clients.book("complete", 90_000, complete=True)
    assert clients.book("unread", 20_000, now=10) == ["unread"]
    assert clients.book("unread", 0) == []
    assert clients.book("second", 20_000, complete=True) == []


def test_budget_is_exact_over_any_series_of_bookings() -> None:
    """Guards against a budget that drifts and refuses callers for good."""
    clients = Clients()
    for step in range(200):
        clients.book(f"client {step % 7}", step * 37 % 5000, now=step)
    held = sum(item.held_bytes for item in clients.accounts.values())
    assert clients.budget.held_bytes == held
    for account in clients.accounts.values():
        clients.budget.release(account)
    assert clients.budget.held_bytes == 0
    assert clients.budget.accounts == set()
