"""Workspaces of a configuration, indexed by the digests of their API keys."""

from collections.abc import Mapping

import attrs


@attrs.frozen
class Workspace:
    """One customer of the mesh.

    Attributes:
        name: Unique name, which targets receive with each request.
        priority: Priority, which goes before the priority of a route; 0 is the
            highest priority, None if the configuration names none.
        rate_per_s: Maximum rate of requests over all nodes, in requests per
            second; 0 for no limit.
        burst: Requests that may exceed the rate at once.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: int = 0


@attrs.frozen
class WorkspaceTable:
    """Workspaces of one configuration.

    The table holds digests of keys only, so that no dump of a node's memory,
    log line or crash report contains a key.

    Attributes:
        by_key_digest: Workspaces by the digest of each of their keys.
        by_name: Workspaces by name.
    """

    by_key_digest: Mapping[bytes, Workspace] = attrs.field(factory=dict)
    by_name: Mapping[str, Workspace] = attrs.field(factory=dict)

    @property
    def enabled(self) -> bool:
        """Whether the configuration names any workspace."""
        return bool(self.by_name)


def key_digest(key: bytes) -> bytes:
    """Returns the digest under which a key is looked up.

    >>> len(key_digest(b"secret"))
    32
    """
    # The module loads OpenSSL, several megabytes that a node without workspaces
    # does not need.
    import hashlib

    return hashlib.sha256(key).digest()
