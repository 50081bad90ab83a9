"""When a starting node may serve callers."""

import pytest

from pomelobank_core import MinServingVersion

SETTLE_MS = 3000


def test_a_restarted_node_waits_for_the_version_it_had() -> None:
    """A node keeps nothing when it restarts, and the log may be down.

    If it served with the first configuration that some slow peer gave it, its
    callers would be routed by an older version than before the restart.
    """
    floor = MinServingVersion(SETTLE_MS)
    floor.on_peer_version(7, True, 0)
    floor.on_peer_version(9, False, 10)
    assert not floor.update(7, SETTLE_MS)
    assert floor.update(9, SETTLE_MS)


def test_readiness_stays() -> None:
    floor = MinServingVersion(SETTLE_MS)
    floor.on_log_read(3, 3)
    assert floor.update(3, 0)
    floor.on_peer_version(50, True, 1)
    assert floor.update(3, 1)


@pytest.mark.parametrize(
    ("version", "end", "expected"),
    [
        pytest.param(0, 0, True, id="empty-log"),
        pytest.param(4, 9, False, id="one-page-of-two"),
        pytest.param(9, 9, True, id="at-the-end"),
    ],
)
def test_log(version: int, end: int, expected: bool) -> None:
    floor = MinServingVersion(SETTLE_MS)
    floor.on_log_read(version, end)
    assert floor.update(version, 0) is expected


@pytest.mark.parametrize(
    ("peer_ready", "now_ms", "expected"),
    [
        pytest.param(False, SETTLE_MS, False, id="all-are-new"),
        pytest.param(True, SETTLE_MS - 1, False, id="too-early"),
        pytest.param(True, SETTLE_MS, True, id="settled"),
    ],
)
def test_peers(peer_ready: bool, now_ms: int, expected: bool) -> None:
    floor = MinServingVersion(SETTLE_MS)
    floor.on_peer_version(3, peer_ready, 0)
    assert floor.update(3, now_ms) is expected
