"""Decides to which workspace a request belongs."""

import enum
from collections.abc import Sequence

import attrs

from pomelobank_core.workspaces._workspace import (
    Workspace,
    WorkspaceTable,
    key_digest,
)

_SCHEME = b"bearer"
_WHITESPACE = b" \t"


class RejectionReason(enum.Enum):
    """Reasons for which a request is not authenticated.

    Attributes:
        MISSING: The request has no authorization header.
        MALFORMED: The header's value is not `Bearer KEY`.
        DOUBLED: The request has several authorization headers.
        UNKNOWN: No workspace has the key.
    """

    MISSING = "missing"
    MALFORMED = "malformed"
    DOUBLED = "doubled"
    UNKNOWN = "unknown"


@attrs.frozen
class Anonymous:
    """A request that may run and belongs to no workspace."""


@attrs.frozen
class Rejected:
    """A request that must not run.

    Attributes:
        reason: Reason of the rejection.
        digest: Digest of the key; empty if the request has no readable key.
    """

    reason: RejectionReason
    digest: bytes = b""


_ANONYMOUS = Anonymous()


def identify(
    authorization: Sequence[bytes],
    allow_anonymous: bool,
    table: WorkspaceTable,
) -> Workspace | Anonymous | Rejected:
    """Returns the workspace whose key a request carries.

    On an anonymous route every request is anonymous, also one with a key. If a
    key were checked there, a caller with a revoked key would be rejected where
    a caller without a key is served.

    Args:
        authorization: Values of the request's authorization headers.
        allow_anonymous: Whether the route accepts requests without a key.
        table: The workspaces of the configuration in force.

    Returns:
        The workspace, or why the request belongs to none.
    """
    if allow_anonymous or not table.enabled:
        return _ANONYMOUS
    if not authorization:
        return Rejected(RejectionReason.MISSING)
    if len(authorization) > 1:
        # Software between caller and node may use either header, so the
        # request's origin is ambiguous even if one of the keys is known.
        return Rejected(RejectionReason.DOUBLED)
    key = _bearer_key(authorization[0])
    if not key:
        return Rejected(RejectionReason.MALFORMED)
    digest = key_digest(key)
    workspace = table.by_key_digest.get(digest)
    if workspace is not None:
        return workspace
    if any(character in key for character in _WHITESPACE):
        return Rejected(RejectionReason.MALFORMED)
    return Rejected(RejectionReason.UNKNOWN, digest)


def _bearer_key(value: bytes) -> bytes:
    """Returns the key of an authorization header; empty if malformed.

    RFC 9110 (5.5 and 11.4) allows whitespace around a header's value and
    several spaces after the scheme, whose name is not case-sensitive.

    >>> _bearer_key(b" bearer  secret ")
    b'secret'
    >>> _bearer_key(b"Basic secret")
    b''
    """
    scheme, _, rest = value.strip(_WHITESPACE).partition(b" ")
    key = rest.lstrip(_WHITESPACE)
    return key if scheme.lower() == _SCHEME else b""
