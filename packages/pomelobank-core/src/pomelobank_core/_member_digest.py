"""Hashes of a member table, to compare two tables without their entries."""

from collections.abc import Iterable, Sequence

import attrs
import xxhash

from pomelobank_core._members import MemberState
from pomelobank_schema.generated.peer import MemberEntry

# Number of buckets into which a member table is divided. A request to compare
# tables carries two 8-byte hashes for each of the 64 buckets, about 1 KB in
# all. For one differing member, about a 64th of the table is sent.
BUCKET_COUNT = 64
# Limits hashes to the positive range of a signed 64-bit integer.
_MASK = (1 << 63) - 1


def bucket_of(node: str) -> int:
    """Returns the bucket of a node's id, which is equal in all processes."""
    return xxhash.xxh3_64_intdigest(node.encode()) % BUCKET_COUNT


@attrs.frozen
class TableDigest:
    """Hashes of a table by bucket of node ids.

    The digest omits gone members. A gone member that one node has removed and
    another node still keeps is a difference that needs no exchange.

    Attributes:
        entries: Hash of the entries without their versions, per bucket.
        versions: Hash of the versions, per bucket.
    """

    entries: tuple[int, ...]
    versions: tuple[int, ...]

    @classmethod
    def of(cls, members: Iterable[MemberEntry]) -> "TableDigest":
        """Returns the digest of a table's entries, in any order."""
        entries = [0] * BUCKET_COUNT
        versions = [0] * BUCKET_COUNT
        for member in members:
            if member.state == MemberState.GONE.value:
                continue
            bucket = bucket_of(member.node)
            identity = f"{member.node}|{member.incarnation}"
            entries[bucket] ^= _hash(
                f"{identity}|{member.sequence}|{member.state}"
            )
            versions[bucket] ^= _hash(f"{identity}|{member.version}")
        return cls(tuple(entries), tuple(versions))


def differing_buckets(first: Sequence[int], second: Sequence[int]) -> list[int]:
    """Returns the buckets whose hashes differ.

    If a digest has the wrong number of buckets, all buckets count as differing.
    """
    if len(first) != BUCKET_COUNT or len(second) != BUCKET_COUNT:
        return list(range(BUCKET_COUNT))
    return [
        index for index in range(BUCKET_COUNT) if first[index] != second[index]
    ]


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode()) & _MASK
