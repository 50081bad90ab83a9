"""Flow control of bodies between nodes."""

import random

import pytest

from pomelobank_node._bodies import WINDOW_BYTES
from pomelobank_node._body_frames import ReceiveWindow


@pytest.mark.parametrize("seed", range(20))
def test_window_that_changes_never_stops_a_body(seed: int) -> None:
    """Guards against a body that waits for credit for good."""
    rng = random.Random(seed)
    sizes = [32 * 1024, WINDOW_BYTES]
    credit = 0
    unread = 0

    def grant(size: int) -> None:
        nonlocal credit
        credit += size

    window = ReceiveWindow(grant, 0, window_bytes=lambda: rng.choice(sizes))
    window.on_read(0)
    for _ in range(500):
        sent = rng.randint(0, credit)
        credit -= sent
        unread += sent
        assert window.consume(sent)
        read = rng.randint(0, unread)
        unread -= read
        if read:
            window.on_read(read)
        assert credit + unread <= WINDOW_BYTES
        if not credit and not unread:
            pytest.fail("the sender has no credit and nothing is unread")
