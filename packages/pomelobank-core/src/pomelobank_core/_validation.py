"""Validates a transaction and the configuration that results from it."""

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
    """Kinds of reasons for which a change is rejected."""

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

    Messages are stored in the audit part of snapshots, and nodes compare their
    audit entries with those of a snapshot of the same version. A changed
    message text therefore makes nodes of different builds report
    `config.snapshot_differs`.

    Attributes:
        kind: Kind of the problem.
        object: Key of the object concerned, as text.
        message: Describes the invalid value and the valid ones.
    """

    kind: ProblemKind
    object: str
    message: str


def check_objects(objects: Objects) -> tuple[Problem, ...]:
    """Checks that a complete configuration is consistent.

    Requests of a route that refers to a missing service or upstream could not
    be forwarded. The check runs on the result of the whole transaction, so that
    no order of operations can bring such a route into force.

    Args:
        objects: All objects of the configuration.

    Returns:
        The problems; empty if the configuration is consistent.
    """
    problems: list[Problem] = []
    for key, item in objects.items():
        problems.extend(_check_object(key, item.value, objects))
    problems.extend(_check_ambiguous(objects, None))
    return tuple(problems)


def check_affected_objects(
    objects: Objects, touched: Collection[ObjectKey]
) -> tuple[Problem, ...]:
    """Checks the objects that a transaction may have made inconsistent.

    A check of a large configuration takes milliseconds for each record, and a
    node that starts replays thousands of records. In a configuration that was
    consistent before, a transaction can only make those objects inconsistent
    that it wrote or removed, and the objects that refer to them.

    Args:
        objects: All objects after the transaction. The objects before the
            transaction must have been consistent.
        touched: Keys of the objects written or removed.

    Returns:
        The same problems as `check_objects`.
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
        if key in touched or _refers_to_any(item.value, services, upstreams)
    ]


def _names(keys: Iterable[ObjectKey], kind: ObjectKind) -> frozenset[str]:
    return frozenset(key.name for key in keys if key.kind is kind)


def _refers_to_any(
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
        yield _missing_reference(key, ObjectKind.SERVICE, upstream.service)


def _check_route(
    key: ObjectKey, route: RouteObject, objects: Objects
) -> Iterator[Problem]:
    if ObjectKey(ObjectKind.SERVICE, route.service) not in objects:
        yield _missing_reference(key, ObjectKind.SERVICE, route.service)
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
        yield _missing_reference(key, ObjectKind.UPSTREAM, name)
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


def _missing_reference(key: ObjectKey, kind: ObjectKind, name: str) -> Problem:
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
