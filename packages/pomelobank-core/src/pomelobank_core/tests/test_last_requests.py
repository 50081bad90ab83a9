"""Requests that a stopping node still takes."""

import pytest

from pomelobank_core import LastRequests


@pytest.mark.parametrize(
    ("ends_at_ms", "now_ms", "takes"),
    [
        pytest.param(None, 0, True, id="not stopping"),
        pytest.param(5000, 4000, True, id="time enough"),
        pytest.param(5000, 4500, False, id="would be cut off"),
        pytest.param(5000, 6000, False, id="past the end"),
    ],
)
def test_what_could_not_be_finished_is_not_taken(
    ends_at_ms: float | None, now_ms: float, takes: bool
) -> None:
    """Callers are sent to a node until it ends.

    A request that is cut off by the kill may have run, and its caller sees a
    connection that ends without an answer.
    """
    last = LastRequests(ends_at_ms)
    last.learn("stock", 100)
    assert last.takes("stock", now_ms) is takes


def test_a_route_of_unknown_length_is_not_taken_at_the_end() -> None:
    assert not LastRequests(60_000).takes("new", 0)
