"""Who a node is to its peers."""

import attrs

from pomelobank_core import Clock
from pomelobank_node._peer_links import PROTOCOL_VERSION
from pomelobank_schema.generated.peer import Hello, MemberEntry
from pomelobank_schema.generated.settings import NodeSettings


@attrs.frozen
class Identity:
    """One start of a node.

    Attributes:
        entry: What members know of it; its addresses come once it listens.
        hello: What it says first on each stream.
    """

    entry: MemberEntry
    hello: Hello

    @classmethod
    def of(cls, settings: NodeSettings, clock: Clock) -> "Identity":
        """Returns the identity of a node that starts now."""
        entry = MemberEntry(
            node=settings.node,
            incarnation=clock.wall_ms(),
            data_centre=settings.data_centre,
            line_mbps=max(1, round(settings.line_mbps)),
        )
        hello = Hello(
            protocol=PROTOCOL_VERSION,
            node=entry.node,
            incarnation=entry.incarnation,
            data_centre=entry.data_centre,
        )
        return cls(entry, hello)
