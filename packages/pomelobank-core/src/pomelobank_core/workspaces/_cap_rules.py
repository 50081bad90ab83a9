"""Rules of usage caps, derived from a node's settings."""

import attrs

# Longest validity of a lease. Tokens may be used until the end of their lease,
# so a window holds up to one lease more than the bucket grants in it.
MAX_LEASE_MS = 400
# Shortest validity of a lease; a request and its grant take 3 ms at most.
MIN_LEASE_MS = 50
# Part of the window's excess that a lease may use; the rest is for rounding.
_LEASE_PART = 0.8
# Part of the slack by which a bucket is deeper than the burst. Requests of a
# workspace with one request per second arrive in pairs by chance, and a bucket
# of one token would refuse every second of a pair below the cap.
_DEPTH_PART = 0.4
_MS_PER_S = 1000.0


@attrs.frozen
class CapRules:
    """How far the requests of a window may exceed the cap.

    Attributes:
        window_s: Length of the window, in seconds.
        over: Part by which a window may exceed the cap.
        slack: Requests by which a window may exceed the cap in addition.
    """

    window_s: float = 5.0
    over: float = 0.1
    slack: float = 20.0

    @property
    def lease_ms(self) -> int:
        """Validity of a lease from the sending of its request, in ms."""
        part_ms = _LEASE_PART * self.over * self.window_s * _MS_PER_S
        return int(min(MAX_LEASE_MS, max(MIN_LEASE_MS, part_ms)))

    @property
    def extra_depth(self) -> float:
        """Tokens that a bucket holds beyond the burst."""
        return _DEPTH_PART * self.slack

    def bound(self, rate_per_s: float, burst: float) -> float:
        """Returns the maximum number of requests that run in a window."""
        allowed = rate_per_s * self.window_s + burst
        return allowed * (1 + self.over) + self.slack
