"""Routes: idempotent methods, prefix matching and weighted upstreams."""

from collections import Counter

import pytest
from hypothesis import given, settings, strategies

from pomelobank_core import RouteTable, is_idempotent, pick_upstream
from pomelobank_core._routing import path_matches_prefix
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
    ("repeatable", "method", "idempotent"),
    [
        pytest.param("", "GET", True, id="look-up"),
        pytest.param("", "POST", False, id="order"),
        pytest.param("always", "POST", True, id="order that may repeat"),
        pytest.param("never", "GET", False, id="look-up that may not"),
    ],
)
def test_a_route_decides_which_methods_are_idempotent(
    repeatable: str, method: str, idempotent: bool
) -> None:
    """Some services can safely run a POST twice.

    Others must not run a GET twice. If the method alone decided, a safe POST
    would never be retried, and an unsafe GET would be.
    """
    assert is_idempotent(route(repeatable=repeatable), method) is idempotent


class _CountedRoutes(dict[str, RouteObject]):
    """Counts the look-ups of a prefix."""

    lookups = 0

    def get(self, prefix: str, *default: object) -> RouteObject | None:  # type: ignore[override]
        self.lookups += 1
        return super().get(prefix)


def test_a_path_of_many_segments_costs_as_much_as_a_prefix() -> None:
    """Guards against a turn of seconds for one long path of a caller."""
    routes = _CountedRoutes({"/a/b/": route("/a/b/")})
    table = RouteTable(1, {"shop": routes})
    assert table.match("shop", "/" * 60_000) is None
    assert routes.lookups <= 2 * len("/a/b/") + 2
    assert table.match("shop", "/a/b/" + "/" * 60_000) is not None


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
        pytest.param(None, (60, 140), id="shares are kept"),
        pytest.param(frozenset({"green"}), (1000, 1000), id="shares move"),
    ],
)
def test_the_share_of_an_upstream_without_targets(
    available: frozenset[str] | None, green: tuple[int, int]
) -> None:
    """All targets of the upstream with the larger weight are gone.

    If `available` is None, the shares are kept, so the smaller upstream is not
    overloaded by requests that its operator never assigned to that upstream. If
    `available` omits the larger upstream, all requests move to the smaller
    upstream, so that callers get responses.
    """
    counts = Counter(
        pick_upstream(route(), available, str(number)) for number in range(1000)
    )
    low, high = green
    assert low <= counts["green"] <= high


PATHS = strategies.text("/ab", max_size=7).map("/".__add__)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(strategies.lists(PATHS, max_size=6, unique=True), PATHS)
def test_prefix_lookup_equals_a_scan_of_all_routes(
    prefixes: list[str], path: str
) -> None:
    table = RouteTable.of_routes(7, [route(prefix) for prefix in prefixes])
    matching = [
        prefix for prefix in prefixes if path_matches_prefix(path, prefix)
    ]
    found = table.match("shop", path)
    expected = max(matching, key=len, default=None)
    assert (found.path_prefix if found else None) == expected
