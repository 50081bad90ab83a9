"""What targets say of themselves in the headers of their responses."""

import pytest

from pomelobank_node._http_conventions import HttpConventions
from pomelobank_node._target_signals import TargetSignals, read_signals

CONVENTIONS = HttpConventions(
    response_marker=b"stamp",
    not_run=b"not-run",
    rate_limit=b"limit",
    leaving=b"leaving",
)
STAMP = (b"stamp", b"1")
NOT_RUN = (b"not-run", b"1")


@pytest.mark.parametrize(
    ("headers", "signals"),
    [
        pytest.param([STAMP], TargetSignals(), id="none"),
        pytest.param(
            [STAMP, (b"limit", b"41.7")], TargetSignals(41.7), id="limit"
        ),
        pytest.param(
            [STAMP, (b"leaving", b"1")],
            TargetSignals(leaving=True),
            id="leaves",
        ),
        pytest.param([STAMP, (b"leaving", b"0")], TargetSignals(), id="stays"),
        pytest.param(
            [NOT_RUN, (b"limit", b"2")], TargetSignals(2.0), id="rejection"
        ),
        pytest.param([NOT_RUN], None, id="rejection without a limit"),
        pytest.param([(b"limit", b"2")], None, id="other software"),
        pytest.param([STAMP, (b"limit", b"two")], TargetSignals(), id="a word"),
        pytest.param(
            [STAMP, (b"limit", b"-2")], TargetSignals(), id="negative"
        ),
        pytest.param(
            [STAMP, (b"limit", b"inf")], TargetSignals(), id="infinite"
        ),
    ],
)
def test_signals_of_a_response(
    headers: list[tuple[bytes, bytes]], signals: TargetSignals | None
) -> None:
    """Guards against limits by other software, and against ones that stay."""
    assert read_signals(headers, CONVENTIONS) == signals
