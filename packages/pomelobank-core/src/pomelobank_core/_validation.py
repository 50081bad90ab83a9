"""Validates a transaction and the configuration that results from it."""

import enum
import functools
from collections.abc import Collection, Iterable, Iterator, Mapping

import attrs

from pomelobank_core._objects import (
    ConfigObject,
    ObjectKey,
    ObjectKind,
    VersionedObject,
)
from pomelobank_schema import is_key_digest
from pomelobank_schema.generated.records import (
    RouteObject,
    UpstreamObject,
    WorkspaceObject,
)

ANY_REVISION = -1
MUST_NOT_EXIST = 0

# Digits of a digest in messages: enough to tell some thousand keys apart.
_SHOWN_DIGITS = 8

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
    BAD_NAME = "bad_name"
    BAD_KEY_DIGEST = "bad_key_digest"
    SHARED_KEY = "shared_key"


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
        problems.extend(_check_object(item.value, key, objects))
    problems.extend(_check_ambiguous(objects, None))
    problems.extend(_check_shared_keys(objects, None))
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
        problems.extend(_check_object(objects[key].value, key, objects))
    matches = {
        (found.service, found.path_prefix)
        for key in touched
        if key in objects
        and isinstance(found := objects[key].value, RouteObject)
    }
    if matches:
        problems.extend(_check_ambiguous(objects, matches))
    digests = {
        digest
        for key in touched
        if key in objects
        and isinstance(found := objects[key].value, WorkspaceObject)
        for digest in _valid_digests(found)
    }
    if digests:
        problems.extend(_check_shared_keys(objects, digests))
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


@functools.singledispatch
def _check_object(
    value: ConfigObject, key: ObjectKey, objects: Objects
) -> Iterator[Problem]:
    """Yields the problems of one object; most kinds have no rules."""
    yield from ()


@_check_object.register
def _(
    upstream: UpstreamObject, key: ObjectKey, objects: Objects
) -> Iterator[Problem]:
    if ObjectKey(ObjectKind.SERVICE, upstream.service) not in objects:
        yield _missing_reference(key, ObjectKind.SERVICE, upstream.service)


@_check_object.register
def _(
    route: RouteObject, key: ObjectKey, objects: Objects
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


@_check_object.register
def _(
    workspace: WorkspaceObject, key: ObjectKey, objects: Objects
) -> Iterator[Problem]:
    name = workspace.name
    if not name.isprintable() or name != name.strip():
        # The name is sent to targets as the value of a header. A line break in
        # it would begin another header.
        yield Problem(
            ProblemKind.BAD_NAME,
            str(key),
            "the name must be printable, without spaces at its ends",
        )
    for index, digest in enumerate(workspace.key_digests):
        if not is_key_digest(digest):
            # The value may be a key, so the message does not repeat it.
            yield Problem(
                ProblemKind.BAD_KEY_DIGEST,
                str(key),
                f"key_digests[{index}] is not a SHA-256 digest of 64"
                " hexadecimal characters",
            )


def _valid_digests(workspace: WorkspaceObject) -> Iterator[str]:
    # Hexadecimal digits of either case denote the same digest.
    for digest in workspace.key_digests:
        if is_key_digest(digest):
            yield digest.lower()


def _check_shared_keys(
    objects: Objects, only: Collection[str] | None
) -> Iterator[Problem]:
    seen: dict[str, ObjectKey] = {}
    for key, item in objects.items():
        if not isinstance(item.value, WorkspaceObject):
            continue
        for digest in _valid_digests(item.value):
            if only is not None and digest not in only:
                continue
            first = seen.setdefault(digest, key)
            if first != key:
                yield Problem(
                    ProblemKind.SHARED_KEY,
                    str(key),
                    f"the key digest {digest[:_SHOWN_DIGITS]} belongs to"
                    f" {first}",
                )


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
