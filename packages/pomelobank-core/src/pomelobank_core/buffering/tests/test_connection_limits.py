"""Shares of the descriptors and the connections that give way."""

import pytest

from pomelobank_core.buffering import (
    ConnectionActivity,
    ConnectionLimits,
    connections_to_close,
)

IDLE, ARRIVING, BUSY = ConnectionActivity


@pytest.mark.parametrize("descriptors", [10, 64, 256, 600, 1024, 4100, 20000])
def test_all_listeners_together_leave_the_reserve(descriptors: int) -> None:
    """Guards against listeners whose limits exceed the process's limit."""
    limits = ConnectionLimits.of(descriptors, 200, 3000, 100, 2048)
    total = limits.callers + 3 * limits.platform + limits.peers
    assert total <= descriptors - min(200, descriptors // 3)
    assert min(limits.callers, limits.platform, limits.peers) >= 1


def test_idle_connections_give_way_first() -> None:
    """Guards against new callers that find no descriptor."""
    connections = [
        ("busy", BUSY, 1.0),
        ("arriving", ARRIVING, 0.0),
        ("recent", IDLE, 3.0),
        ("old", IDLE, 2.0),
    ]
    assert connections_to_close(connections, 32, 9.0) == ["old"]
    chosen = connections_to_close(connections, 128, 9.0)
    assert chosen == ["old", "recent", "arriving"]
    assert connections_to_close(connections, 128, 2.0) == ["old", "arriving"]
    assert connections_to_close(connections[:1], 32, 9.0) == []
