"""Routes: what may run again, and who gets which part."""

from collections import Counter

import pytest
from hypothesis import given, settings, strategies

from pomelobank_core import RouteTable, is_idempotent, pick_upstream
from pomelobank_core._routing import has_prefix
from pomelobank_schema.generated.records import RouteObject, WeightedDestination


def route(prefix: str = "/", **changes: object) -> RouteObject:
    return RouteObject(
        name=f"r{prefix}",
        service="shop",
        path_prefix=prefix,
        destinations=(
            WeightedDestination(upstream="blue", weight=90),
            WeightedDestination(upstream="green", weight=10),
        ),
        **changes,  # type: ignore[arg-type]
    )


@pytest.mark.parametrize(
    ("repeatable", "method", "may"),
    [
        pytest.param("", "GET", True, id="look-up"),
        pytest.param("", "POST", False, id="order"),
        pytest.param("always", "POST", True, id="order that may repeat"),
        pytest.param("never", "GET", False, id="look-up that may not"),
    ],
)
def test_a_route_says_what_may_run_again(
    repeatable: str, method: str, may: bool
) -> None:
    """The method alone tells little of what a service does with a request."""
    assert is_idempotent(route(repeatable=repeatable), method) is may


@pytest.mark.parametrize(
    ("path", "name"),
    [
        pytest.param("/a/b/1", "r/a/b/", id="longest prefix"),
        pytest.param("/a/1", "r/a/", id="shorter prefix"),
        pytest.param("/ab/1", None, id="no whole segment"),
    ],
)
def test_the_longest_prefix_of_a_path_wins(path: str, name: str | None) -> None:
    table = RouteTable.of_routes(7, [route("/a/"), route("/a/b/")])
    found = table.match("shop", path)
    assert (found.name if found else None) == name
    assert table.match("other", path) is None


@pytest.mark.parametrize(
    ("available", "green"),
    [
        pytest.param(None, (60, 140), id="parts are kept"),
        pytest.param(frozenset({"green"}), (1000, 1000), id="parts move"),
    ],
)
def test_the_part_of_an_upstream_without_targets(
    available: frozenset[str] | None, green: tuple[int, int]
) -> None:
    """Every target of the larger part of a split is gone.

    Where parts are kept, the smaller service is not run over by work that its
    operator never meant for it.
    """
    counts = Counter(
        pick_upstream(route(), available, str(number)) for number in range(1000)
    )
    low, high = green
    assert low <= counts["green"] <= high


PATHS = strategies.text("/ab", max_size=7).map("/".__add__)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(strategies.lists(PATHS, max_size=6, unique=True), PATHS)
def test_a_look_up_finds_what_a_comparison_with_each_route_finds(
    prefixes: list[str], path: str
) -> None:
    table = RouteTable.of_routes(7, [route(prefix) for prefix in prefixes])
    matching = [prefix for prefix in prefixes if has_prefix(path, prefix)]
    found = table.match("shop", path)
    wanted = max(matching, key=len, default=None)
    assert (found.path_prefix if found else None) == wanted
