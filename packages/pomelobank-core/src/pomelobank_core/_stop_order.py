"""Decides which nodes of a data centre end first when they stop together."""

from collections.abc import Iterable

import attrs
import xxhash

from pomelobank_core._members import MemberState
from pomelobank_schema.generated.peer import MemberEntry

# Multiple of the slowest route's expected service time that a node reserves for
# requests in flight when the node delays its end.
WORK_RESERVE_FACTOR = 2.0


@attrs.frozen
class StopOrder:
    """Splits a data centre's nodes into two groups that end in sequence.

    If all nodes restart at the same time and end as soon as their requests are
    done, no target is reachable until the first node has started again, and
    callers use up their attempts on connections that are reset. The second
    group therefore keeps serving until more than half of the first group is
    ready again, within the grace period.

    Attributes:
        node: Name of the stopping node.
        data_centre: Name of the node's data centre.
    """

    node: str
    data_centre: str

    def in_second_group(self, members: Iterable[MemberEntry]) -> bool:
        """Tells whether the node is in the group that ends second.

        Args:
            members: All members, including the node itself.
        """
        return self.node not in self._first_group(members)

    def must_wait(self, members: Iterable[MemberEntry]) -> bool:
        """Tells whether the node must keep serving for now.

        A node of the second group must keep serving while at least half of the
        first group is not ready.

        Args:
            members: All members, including the node itself.
        """
        first_group = self._first_group(members)
        if self.node in first_group:
            return False
        ready = MemberState.READY.value
        not_ready = sum(entry.state != ready for entry in first_group.values())
        return 2 * not_ready >= len(first_group)

    def _first_group(
        self, members: Iterable[MemberEntry]
    ) -> dict[str, MemberEntry]:
        # Ordering by hash rather than by name keeps a naming scheme from
        # placing all targets of an upstream in the same group.
        ordered = sorted(
            (item for item in members if item.data_centre == self.data_centre),
            key=lambda item: xxhash.xxh3_64_intdigest(item.node.encode()),
        )
        return {item.node: item for item in ordered[::2]}
