"""Weighted upstreams: shares, changes of weights, unavailable upstreams."""

from collections import Counter

from pomelobank_core import pick_upstream
from pomelobank_schema.generated.records import (
    RouteObject,
    WeightedDestination,
)


def _route(**weights: int) -> RouteObject:
    return RouteObject(
        name="r",
        service="s",
        path_prefix="/",
        destinations=tuple(
            WeightedDestination(upstream=name, weight=weight)
            for name, weight in weights.items()
        ),
    )


def _picks(route: RouteObject, available: frozenset[str]) -> list[str | None]:
    return [
        pick_upstream(route, available, f"request-{number}")
        for number in range(10_000)
    ]


ALL = frozenset({"old", "new", "other"})


def test_shares_follow_the_weights() -> None:
    counts = Counter(_picks(_route(old=70, new=20, other=10), ALL))
    assert abs(counts["old"] - 7000) < 200
    assert abs(counts["new"] - 2000) < 200


def test_weight_change_moves_only_the_necessary_requests() -> None:
    """Weights change by a tenth while requests are being retried.

    If more requests changed their upstream than the weights require, attempts
    of one request would reach both upstreams.
    """
    before = _picks(_route(old=90, new=10), ALL)
    after = _picks(_route(old=80, new=20), ALL)
    moved = [
        pair for pair in zip(before, after, strict=True) if pair[0] != pair[1]
    ]
    assert set(moved) == {("old", "new")}
    assert len(moved) < 1500


def test_upstream_without_targets_loses_its_weight() -> None:
    """All targets of the new upstream fail during a traffic shift.

    If the upstream kept its weight, half of the requests would have no target.
    """
    route = _route(old=50, new=50, other=0)
    assert set(_picks(route, ALL)) == {"old", "new"}
    assert set(_picks(route, frozenset({"old", "other"}))) == {"old"}
    assert pick_upstream(route, frozenset({"other"}), "x") is None
