"""Matches requests to routes and picks the upstream by weight."""

import random

import attrs

from pomelobank_core._objects import Snapshot
from pomelobank_schema.generated.records import RouteObject

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
        by_service: dict[str, list[RouteObject]] = {}
        for route in snapshot.routes():
            by_service.setdefault(route.service, []).append(route)
        return cls(
            snapshot.version,
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
    if route.idempotent_methods:
        return method in route.idempotent_methods
    return method in STANDARD_IDEMPOTENT


def pick_upstream(
    route: RouteObject, available: frozenset[str], seeded: random.Random
) -> str | None:
    """Picks one of the route's upstreams by weight.

    Args:
        route: The route.
        available: Upstreams with at least one target that can serve.
        seeded: Source of randomness.

    Returns:
        The upstream's name, None where none with a weight is available.
    """
    choices = [
        item
        for item in route.destinations
        if item.weight and item.upstream in available
    ]
    if not choices:
        return None
    if len(choices) == 1:
        return choices[0].upstream
    weights = [item.weight for item in choices]
    return seeded.choices(choices, weights)[0].upstream
