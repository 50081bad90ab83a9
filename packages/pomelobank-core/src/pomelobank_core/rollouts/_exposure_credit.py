"""Bounds the requests that one node sends to an unproven revision."""

import attrs

# Part of the allowed share that a response earns. The rest covers retries: each
# attempt earns, although a request counts once in the share.
EARNED_PART = 0.75
# Maximum number of requests that a node may save up. A node that got no request
# for an unproven revision for a while must not send it a burst.
MAX_SAVED = 8.0


@attrs.define
class ExposureCredit:
    """Credit of one node for requests to an upstream's unproven revisions.

    Each response of a proven revision earns a part of a request, and each
    request to an unproven revision costs a whole one. The credit begins at 0
    and is never negative, so the requests of any set of nodes stay within the
    share of their responses, without a message between them: a node that
    restarts, or that is cut off, can only lose credit (a token bucket that
    requests fill instead of time).

    Attributes:
        share: Maximum part of the requests for unproven revisions, 0 to 1.
        saved: Requests that may be sent now.

    >>> credit = ExposureCredit(share=0.8)
    >>> credit.try_spend()
    False
    >>> credit.on_response(); credit.on_response()
    >>> credit.try_spend(), credit.try_spend()
    (True, False)
    """

    share: float
    saved: float = 0.0

    def on_response(self) -> None:
        """Records a response of a proven revision."""
        self.saved = min(MAX_SAVED, self.saved + self.share * EARNED_PART)

    @property
    def available(self) -> bool:
        """Whether a request may be sent to an unproven revision."""
        return self.saved >= 1.0

    def try_spend(self) -> bool:
        """Uses the credit of one request; returns whether there was enough."""
        if not self.available:
            return False
        self.saved -= 1.0
        return True

    def refund(self) -> None:
        """Returns the credit of a request that has not reached its target."""
        self.saved = min(MAX_SAVED, self.saved + 1.0)
