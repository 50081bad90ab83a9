"""Tests of the requests that a stopping node still accepts."""

import pytest

from pomelobank_core import ShutdownAdmission


@pytest.mark.parametrize(
    ("now_ms", "retry_after_ms"),
    [
        pytest.param(2600, 2400, id="well before the end"),
        pytest.param(4900, 200, id="shortly before the end"),
        pytest.param(6000, 200, id="past the end"),
    ],
)
def test_a_rejected_caller_retries_after_the_shutdown(
    now_ms: float, retry_after_ms: int
) -> None:
    """Guards against callers that spend all attempts on a stopping node.

    A caller that retries before the node has ended is rejected again. The retry
    delay therefore lasts until the end, and at least 200 ms.
    """
    admission = ShutdownAdmission(shutdown_at_ms=5000)
    assert admission.retry_after_ms(now_ms) == retry_after_ms


@pytest.mark.parametrize(
    ("shutdown_at_ms", "remaining_ms", "now_ms", "is_accepted"),
    [
        pytest.param(None, 9000, 0, True, id="not stopping"),
        pytest.param(5000, 500, 4000, True, id="time enough"),
        pytest.param(5000, 9000, 4000, False, id="may outlast the node"),
        pytest.param(5000, 500, 4500, False, id="no time to answer"),
        pytest.param(5000, 500, 6000, False, id="past the end"),
    ],
)
def test_a_request_that_may_outlast_the_node_is_rejected(
    shutdown_at_ms: float | None,
    remaining_ms: float,
    now_ms: float,
    is_accepted: bool,
) -> None:
    """Guards against a request that is cut off while a target runs it.

    A stopping node that accepted a request with a deadline after the node's end
    could end before the target responds.
    """
    assert (
        ShutdownAdmission(shutdown_at_ms).accepts(remaining_ms, now_ms)
        is is_accepted
    )
