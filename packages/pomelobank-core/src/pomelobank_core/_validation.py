"""Checks a transaction and the configuration that it leads to."""

import enum
from collections.abc import Iterator, Mapping

import attrs

from pomelobank_core._objects import (
    ObjectKey,
    ObjectKind,
    VersionedObject,
)
from pomelobank_schema.generated.records import (
    RouteObject,
    UpstreamObject,
)

ANY_REVISION = -1
MUST_NOT_EXIST = 0

Objects = Mapping[ObjectKey, VersionedObject]


class ProblemKind(enum.Enum):
    """Why a change is rejected."""

    EMPTY_CHANGE = "empty_change"
    MALFORMED_OPERATION = "malformed_operation"
    REVISION_MISMATCH = "revision_mismatch"
    NOT_FOUND = "not_found"
    MISSING_REFERENCE = "missing_reference"
    WRONG_SERVICE = "wrong_service"
    AMBIGUOUS_ROUTE = "ambiguous_route"
    BAD_PREFIX = "bad_prefix"
    NO_DESTINATION = "no_destination"


@attrs.frozen
class Problem:
    """One reason for a rejection.

    Attributes:
        kind: Its kind.
        object: Key of the object concerned, as text.
        message: What is wrong and what would be right.
    """

    kind: ProblemKind
    object: str
    message: str


def check_objects(objects: Objects) -> tuple[Problem, ...]:
    """Checks that a whole configuration is consistent in itself.

    A route that points at a service or upstream which does not exist would
    send callers' requests nowhere; since this check runs on the outcome of the
    whole transaction, no order of operations can bring such a route in force.

    Args:
        objects: Every object of the configuration.

    Returns:
        The problems, none where the configuration is consistent.
    """
    problems: list[Problem] = []
    for key, item in objects.items():
        if isinstance(item.value, UpstreamObject):
            problems.extend(_check_upstream(key, item.value, objects))
        elif isinstance(item.value, RouteObject):
            problems.extend(_check_route(key, item.value, objects))
    problems.extend(_check_ambiguous(objects))
    return tuple(problems)


def _check_upstream(
    key: ObjectKey, upstream: UpstreamObject, objects: Objects
) -> Iterator[Problem]:
    if ObjectKey(ObjectKind.SERVICE, upstream.service) not in objects:
        yield _missing(key, ObjectKind.SERVICE, upstream.service)


def _check_route(
    key: ObjectKey, route: RouteObject, objects: Objects
) -> Iterator[Problem]:
    if ObjectKey(ObjectKind.SERVICE, route.service) not in objects:
        yield _missing(key, ObjectKind.SERVICE, route.service)
    if not route.path_prefix.startswith("/"):
        yield Problem(
            ProblemKind.BAD_PREFIX,
            str(key),
            f"path_prefix {route.path_prefix!r} must start with '/'",
        )
    if not any(destination.weight for destination in route.destinations):
        yield Problem(
            ProblemKind.NO_DESTINATION,
            str(key),
            "needs at least one destination with a weight above 0",
        )
    for destination in route.destinations:
        yield from _check_destination(key, route, destination.upstream, objects)


def _check_destination(
    key: ObjectKey, route: RouteObject, name: str, objects: Objects
) -> Iterator[Problem]:
    found = objects.get(ObjectKey(ObjectKind.UPSTREAM, name))
    if found is None:
        yield _missing(key, ObjectKind.UPSTREAM, name)
    elif (
        isinstance(found.value, UpstreamObject)
        and found.value.service != route.service
    ):
        yield Problem(
            ProblemKind.WRONG_SERVICE,
            str(key),
            f"upstream {name!r} belongs to service {found.value.service!r},"
            f" not to {route.service!r}",
        )


def _missing(key: ObjectKey, kind: ObjectKind, name: str) -> Problem:
    return Problem(
        ProblemKind.MISSING_REFERENCE,
        str(key),
        f"points at {kind.value} {name!r}, which does not exist",
    )


def _check_ambiguous(objects: Objects) -> Iterator[Problem]:
    seen: dict[tuple[str, str], ObjectKey] = {}
    for key, item in objects.items():
        if not isinstance(item.value, RouteObject):
            continue
        match = (item.value.service, item.value.path_prefix)
        first = seen.setdefault(match, key)
        if first != key:
            yield Problem(
                ProblemKind.AMBIGUOUS_ROUTE,
                str(key),
                f"matches the same service and path_prefix as {first}",
            )
