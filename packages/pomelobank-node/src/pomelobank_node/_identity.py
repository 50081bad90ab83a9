"""The identity under which a node appears to its peers."""

import attrs

from pomelobank_core import Clock
from pomelobank_node._peer_links import PROTOCOL_VERSION
from pomelobank_schema.generated.peer import Hello, MemberEntry
from pomelobank_schema.generated.settings import NodeSettings


@attrs.frozen
class Identity:
    """The identity of one start (incarnation) of a node.

    Attributes:
        entry: The node's initial membership entry. The node adds its addresses
            to the entry once it listens.
        hello: First message that the node sends on each stream to a peer.
    """

    entry: MemberEntry
    hello: Hello

    @classmethod
    def of(cls, settings: NodeSettings, clock: Clock) -> "Identity":
        """Creates the identity of a node that starts at the current time."""
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
