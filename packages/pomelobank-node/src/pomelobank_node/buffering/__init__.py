"""Books what clients make the node hold; ends connections for lack of room."""

from pomelobank_node.buffering._manager import (
    MIN_BOOKED_BYTES,
    BufferHolder,
    BufferManager,
)
from pomelobank_node.buffering._slot_bodies import SlotBodies

__all__ = ["MIN_BOOKED_BYTES", "BufferHolder", "BufferManager", "SlotBodies"]
