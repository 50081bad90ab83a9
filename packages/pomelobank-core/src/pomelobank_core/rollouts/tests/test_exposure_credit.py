"""Credit for requests to unproven revisions.

In the events, a node gets a response (r), tries to expose a request (s) or
restarts (k).
"""

from hypothesis import given
from hypothesis import strategies as st

from pomelobank_core.rollouts import ExposureCredit

SHARE = 0.1


@given(
    st.lists(
        st.tuples(st.integers(0, 61), st.sampled_from("rrrrrrrrrrrrsk")),
        max_size=3000,
    )
)
def test_nodes_without_messages_stay_within_the_share(
    events: list[tuple[int, str]],
) -> None:
    """Guards against nodes that each round their few requests up."""
    entries = [ExposureCredit(SHARE) for _ in range(62)]
    responses = exposed = 0
    for node, event in events:
        if event == "r":
            responses += 1
            entries[node].on_response()
        elif event == "k":
            entries[node] = ExposureCredit(SHARE)
        else:
            exposed += entries[node].try_spend()
    assert exposed <= SHARE * responses


def test_saved_credit_is_limited() -> None:
    """Guards against a burst at a bad revision after a quiet time."""
    credit = ExposureCredit(SHARE)
    for _ in range(10_000):
        credit.on_response()
    assert sum(credit.try_spend() for _ in range(100)) == 8
