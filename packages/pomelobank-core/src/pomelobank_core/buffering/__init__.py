"""Bounds what clients make a node hold: bytes, descriptors and slots."""

from pomelobank_core.buffering._body_pace import BodyPace
from pomelobank_core.buffering._budget import (
    MIN_WINDOW_BYTES,
    BufferAccount,
    BufferBudget,
)
from pomelobank_core.buffering._close_reason import CloseReason
from pomelobank_core.buffering._connection_limits import (
    ConnectionActivity,
    ConnectionLimits,
    connections_to_close,
)

__all__ = [
    "MIN_WINDOW_BYTES",
    "BodyPace",
    "BufferAccount",
    "BufferBudget",
    "CloseReason",
    "ConnectionActivity",
    "ConnectionLimits",
    "connections_to_close",
]
