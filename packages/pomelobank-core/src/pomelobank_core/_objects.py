"""Configuration objects and the immutable snapshot that contains them."""

import enum
from collections.abc import Iterable, Mapping
from types import MappingProxyType

import attrs

from pomelobank_schema.generated.records import (
    OperationRecord,
    RouteObject,
    ServiceObject,
    SnapshotObject,
    UpstreamObject,
    WorkspaceObject,
)

ConfigObject = ServiceObject | UpstreamObject | RouteObject | WorkspaceObject


class ObjectKind(enum.Enum):
    """Kinds of configuration objects that operators create."""

    # Replay looks up some thousand keys for each change. With the hash function
    # of enum.Enum, which is written in Python, most of the time of replay was
    # spent on hashing.
    __hash__ = object.__hash__

    SERVICE = "service"
    UPSTREAM = "upstream"
    ROUTE = "route"
    WORKSPACE = "workspace"


@attrs.frozen(cache_hash=True)
class ObjectKey:
    """Key of a configuration object.

    Attributes:
        kind: The object's kind.
        name: Its name, unique within the kind.

    >>> str(ObjectKey(ObjectKind.ROUTE, "stock"))
    'route/stock'
    """

    kind: ObjectKind
    name: str

    def __str__(self) -> str:
        return f"{self.kind.value}/{self.name}"


@attrs.frozen
class VersionedObject:
    """An object and the version of the change that last wrote the object.

    Attributes:
        value: The object.
        revision: Version of the change.
    """

    value: ConfigObject
    revision: int


@attrs.frozen
class Snapshot:
    """An immutable, complete configuration.

    Attributes:
        version: Log offset before which every record is applied; the change at
            offset n is in force from version n + 1 on.
        objects: All objects by key.
    """

    version: int = 0
    objects: Mapping[ObjectKey, VersionedObject] = attrs.field(
        factory=lambda: MappingProxyType({})
    )

    def service(self, name: str) -> ServiceObject | None:
        """Returns the service of a name, None without one."""
        found = self.objects.get(ObjectKey(ObjectKind.SERVICE, name))
        return found.value if found else None  # type: ignore[return-value]

    def upstream(self, name: str) -> UpstreamObject | None:
        """Returns the upstream of a name, None without one."""
        found = self.objects.get(ObjectKey(ObjectKind.UPSTREAM, name))
        return found.value if found else None  # type: ignore[return-value]

    def routes(self) -> list[RouteObject]:
        """Returns all routes."""
        return [
            item.value
            for item in self.objects.values()
            if isinstance(item.value, RouteObject)
        ]

    def workspaces(self) -> tuple[WorkspaceObject, ...]:
        """Returns all workspaces."""
        return tuple(
            item.value
            for item in self.objects.values()
            if isinstance(item.value, WorkspaceObject)
        )


def operation_object(operation: OperationRecord) -> ConfigObject | None:
    """Returns the object of an operation, None unless there is exactly one."""
    return _only(
        (
            operation.service,
            operation.upstream,
            operation.route,
            operation.workspace,
        )
    )


def snapshot_object_value(item: SnapshotObject) -> ConfigObject | None:
    """Returns the object of an item, None unless there is exactly one."""
    return _only((item.service, item.upstream, item.route, item.workspace))


def _only(values: Iterable[ConfigObject | None]) -> ConfigObject | None:
    objects = [value for value in values if value is not None]
    return objects[0] if len(objects) == 1 else None


def object_key(value: ConfigObject) -> ObjectKey:
    """Returns the key of an object."""
    return ObjectKey(_KINDS[type(value)], value.name)


_KINDS: dict[type, ObjectKind] = {
    ServiceObject: ObjectKind.SERVICE,
    UpstreamObject: ObjectKind.UPSTREAM,
    RouteObject: ObjectKind.ROUTE,
    WorkspaceObject: ObjectKind.WORKSPACE,
}
