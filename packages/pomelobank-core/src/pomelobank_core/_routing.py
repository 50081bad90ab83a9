"""Matches requests to routes and picks the upstream by weight."""

import math
from collections.abc import Iterable

import attrs
import xxhash

from pomelobank_core._objects import Snapshot
from pomelobank_schema.generated.records import RouteObject

ALWAYS = "always"
STANDARD_IDEMPOTENT = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


@attrs.frozen
class RouteTable:
    """Routes of one snapshot, prepared for matching.

    Attributes:
        version: Version of the snapshot.
        by_service: Routes of each service, the longest prefix first.
    """

    version: int
    by_service: dict[str, tuple[RouteObject, ...]]

    @classmethod
    def of(cls, snapshot: Snapshot) -> "RouteTable":
        """Prepares the routes of a snapshot."""
        return cls.of_routes(snapshot.version, snapshot.routes())

    @classmethod
    def of_routes(
        cls, version: int, routes: Iterable[RouteObject]
    ) -> "RouteTable":
        """Prepares the routes of one version."""
        by_service: dict[str, list[RouteObject]] = {}
        for route in routes:
            by_service.setdefault(route.service, []).append(route)
        return cls(
            version,
            {
                service: tuple(
                    sorted(routes, key=lambda route: -len(route.path_prefix))
                )
                for service, routes in by_service.items()
            },
        )

    def match(self, service: str, path: str) -> RouteObject | None:
        """Returns the route with the longest prefix of the path.

        Args:
            service: Service that the caller addressed.
            path: Path without query.

        Returns:
            The route, None where none matches.
        """
        for route in self.by_service.get(service, ()):
            if has_prefix(path, route.path_prefix):
                return route
        return None


def has_prefix(path: str, prefix: str) -> bool:
    """Tells whether a path lies under a prefix, whole segments only.

    >>> has_prefix("/stock/12", "/stock")
    True
    >>> has_prefix("/stocks", "/stock")
    False
    """
    if prefix.endswith("/"):
        return path.startswith(prefix)
    return path == prefix or path.startswith(prefix + "/")


def is_idempotent(route: RouteObject, method: str) -> bool:
    """Tells whether a method of the route may run more than once."""
    if route.repeatable:
        return route.repeatable == ALWAYS
    if route.idempotent_methods:
        return method in route.idempotent_methods
    return method in STANDARD_IDEMPOTENT


def pick_upstream(
    route: RouteObject, available: frozenset[str] | None, request_key: str
) -> str | None:
    """Picks one of the route's upstreams by weight.

    Made for work that is shifted from one upstream to another while requests
    are sent again. Drawn anew for each try, one request could reach both; here
    the same key keeps its upstream while the weights stand, and a change of
    the weights moves no more requests than it must.

    An upstream without any target loses its weight to the others. One that is
    merely full does not: its load would push the others over as well.

    Args:
        route: The route.
        available: Upstreams with at least one target that can serve; None
            where each keeps its part whether it can serve or not.
        request_key: What identifies the request: its key or its trace id.

    Returns:
        The upstream's name, None where none with a weight is available.
    """
    choices = [
        item
        for item in route.destinations
        if item.weight and (available is None or item.upstream in available)
    ]
    if len(choices) < 2:
        return choices[0].upstream if choices else None
    best = max(
        choices,
        key=lambda item: _score(item.weight, item.upstream, request_key),
    )
    return best.upstream


def _score(weight: int, upstream: str, request_key: str) -> float:
    # Weighted rendezvous hashing: the highest score falls to an upstream with
    # the probability of its weight, and no other weight enters its score.
    digest = xxhash.xxh3_64_intdigest(f"{upstream}\0{request_key}".encode())
    return -weight / math.log((digest + 0.5) / 2**64)
