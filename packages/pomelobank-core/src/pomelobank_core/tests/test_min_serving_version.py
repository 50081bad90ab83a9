"""Conditions under which a starting node may serve callers."""

import pytest

from pomelobank_core import MinServingVersion

SETTLE_MS = 3000


def test_a_restarted_node_waits_for_the_version_it_had() -> None:
    """A node loses its state in a restart while the log does not respond.

    If the node served callers with the first configuration that it receives,
    and that came from a peer that is behind, requests would be routed by an
    older version than before the restart.
    """
    min_version = MinServingVersion(SETTLE_MS)
    min_version.on_peer_version(7, True, 0)
    min_version.on_peer_version(9, False, 10)
    assert not min_version.update(7, SETTLE_MS)
    assert min_version.update(9, SETTLE_MS)


def test_readiness_is_never_reset() -> None:
    min_version = MinServingVersion(SETTLE_MS)
    min_version.on_log_read(3, 3)
    assert min_version.update(3, 0)
    min_version.on_peer_version(50, True, 1)
    assert min_version.update(3, 1)


@pytest.mark.parametrize(
    ("version", "end", "expected"),
    [
        pytest.param(0, 0, True, id="empty-log"),
        pytest.param(4, 9, False, id="one-page-of-two"),
        pytest.param(9, 9, True, id="at-the-end"),
    ],
)
def test_readiness_after_a_log_read(
    version: int, end: int, expected: bool
) -> None:
    min_version = MinServingVersion(SETTLE_MS)
    min_version.on_log_read(version, end)
    assert min_version.update(version, 0) is expected


@pytest.mark.parametrize(
    ("peer_ready", "now_ms", "expected"),
    [
        pytest.param(False, SETTLE_MS, False, id="all-are-new"),
        pytest.param(True, SETTLE_MS - 1, False, id="too-early"),
        pytest.param(True, SETTLE_MS, True, id="settled"),
    ],
)
def test_readiness_from_peer_versions(
    peer_ready: bool, now_ms: int, expected: bool
) -> None:
    min_version = MinServingVersion(SETTLE_MS)
    min_version.on_peer_version(3, peer_ready, 0)
    assert min_version.update(3, now_ms) is expected
