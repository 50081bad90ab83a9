"""Checks a transaction and the configuration that it leads to."""

import enum
from collections.abc import Collection, Iterable, Iterator, Mapping

import attrs

from pomelobank_core._objects import (
    ConfigObject,
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
        problems.extend(_check_object(key, item.value, objects))
    problems.extend(_check_ambiguous(objects, None))
    return tuple(problems)


def check_touched(
    objects: Objects, touched: Collection[ObjectKey]
) -> tuple[Problem, ...]:
    """Checks what a transaction may have broken.

    Checking all of a large configuration takes milliseconds for each record;
    a node that starts replays thousands of records. What was consistent
    before can only have been broken in the objects that the transaction wrote
    or removed and in those that refer to them.

    Args:
        objects: Every object after the transaction; before it they were
            consistent.
        touched: Keys of the objects written or removed.

    Returns:
        The same problems as the check of everything.
    """
    problems: list[Problem] = []
    for key in _affected(objects, touched):
        problems.extend(_check_object(key, objects[key].value, objects))
    matches = {
        (found.service, found.path_prefix)
        for key in touched
        if key in objects
        and isinstance(found := objects[key].value, RouteObject)
    }
    if matches:
        problems.extend(_check_ambiguous(objects, matches))
    return tuple(problems)


def _affected(
    objects: Objects, touched: Collection[ObjectKey]
) -> list[ObjectKey]:
    services = _names(touched, ObjectKind.SERVICE)
    upstreams = _names(touched, ObjectKind.UPSTREAM)
    if not services and not upstreams:
        return [key for key in touched if key in objects]
    return [
        key
        for key, item in objects.items()
        if key in touched or _refers(item.value, services, upstreams)
    ]


def _names(keys: Iterable[ObjectKey], kind: ObjectKind) -> frozenset[str]:
    return frozenset(key.name for key in keys if key.kind is kind)


def _refers(
    value: ConfigObject, services: frozenset[str], upstreams: frozenset[str]
) -> bool:
    if isinstance(value, RouteObject):
        return value.service in services or any(
            item.upstream in upstreams for item in value.destinations
        )
    return isinstance(value, UpstreamObject) and value.service in services


def _check_object(
    key: ObjectKey, value: ConfigObject, objects: Objects
) -> Iterator[Problem]:
    if isinstance(value, UpstreamObject):
        yield from _check_upstream(key, value, objects)
    elif isinstance(value, RouteObject):
        yield from _check_route(key, value, objects)


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


def _check_ambiguous(
    objects: Objects, only: Collection[tuple[str, str]] | None
) -> Iterator[Problem]:
    seen: dict[tuple[str, str], ObjectKey] = {}
    for key, item in objects.items():
        if not isinstance(item.value, RouteObject):
            continue
        match = (item.value.service, item.value.path_prefix)
        if only is not None and match not in only:
            continue
        first = seen.setdefault(match, key)
        if first != key:
            yield Problem(
                ProblemKind.AMBIGUOUS_ROUTE,
                str(key),
                f"matches the same service and path_prefix as {first}",
            )
