"""Tokens of one workspace that an entry node has leased."""

import math
from collections import deque

import attrs

# Time over which the demand is averaged.
DEMAND_MS = 1000.0
# Part of a lease for which tokens are requested in advance. Tokens that are not
# used before the end of their lease are lost to the workspace.
_PREFETCH_PART = 0.5
# Part of the requested tokens at which the next request is sent, so that its
# grant arrives before the last token is used.
_PREFETCH_AT = 0.3
# Longest time in which an entry node refuses by itself after a refusal of the
# authority. The bucket fills meanwhile, so no token is lost.
MAX_REFUSAL_MS = 100
_MS_PER_S = 1000.0


@attrs.define
class Lease:
    """Tokens with a common end.

    Attributes:
        tokens: Tokens left.
        ends_ms: Time from which they are void.
    """

    tokens: int
    ends_ms: int


@attrs.define
class LeasedTokens:
    """Tokens of one workspace at one entry node.

    Attributes:
        lease_ms: Expected validity of a lease.
        leases: Leases, the oldest first.
        taken_ends_ms: Ends of the leases whose tokens were used and may be
            given back.
        demand: Requests of the last `DEMAND_MS`, decaying.
        demand_ms: Time of the last update of the demand.
        refused_until_ms: Time until which requests are refused without a
            message.
        room_ms: Time at which the authority expects room for a request.
        used_ms: Time of the last request.
        void: Tokens that became void unused since the last `take_void`.
    """

    lease_ms: int
    leases: deque[Lease] = attrs.field(factory=deque)
    taken_ends_ms: deque[int] = attrs.field(factory=deque)
    demand: float = 0.0
    demand_ms: int = 0
    refused_until_ms: int = 0
    room_ms: int = 0
    used_ms: int = 0
    void: int = 0

    def note_demand(self, now_ms: int) -> None:
        """Counts one request of a caller, accepted or not."""
        self.demand *= math.exp((self.demand_ms - now_ms) / DEMAND_MS)
        self.demand += 1
        self.demand_ms = self.used_ms = now_ms

    def available(self, now_ms: int) -> int:
        """Returns the number of tokens that are not void."""
        while self.leases and self.leases[0].ends_ms <= now_ms:
            self.void += self.leases.popleft().tokens
        while self.taken_ends_ms and self.taken_ends_ms[0] <= now_ms:
            self.taken_ends_ms.popleft()
        return sum(lease.tokens for lease in self.leases)

    def take_void(self, now_ms: int) -> int:
        """Returns the number of tokens that became void since the last call."""
        self.available(now_ms)
        void, self.void = self.void, 0
        return void

    def take(self, now_ms: int) -> bool:
        """Uses a token if there is one."""
        if not self.available(now_ms):
            return False
        lease = self.leases[0]
        lease.tokens -= 1
        self.taken_ends_ms.append(lease.ends_ms)
        if not lease.tokens:
            self.leases.popleft()
        return True

    def give_back(self, now_ms: int) -> bool:
        """Takes back the token of a request that did not run.

        A token is void at the end of its lease, also if it was given back: a
        token that is used later than that could fall into a window for which
        the authority has granted the whole cap already.

        Returns:
            Whether the token can be used again.
        """
        self.available(now_ms)
        if not self.taken_ends_ms:
            self.void += 1
            return False
        self.leases.appendleft(Lease(1, self.taken_ends_ms.popleft()))
        return True

    def is_refused(self, now_ms: int) -> bool:
        """Tells whether requests are refused without asking the authority."""
        return now_ms < self.refused_until_ms

    def wait_ms(self, now_ms: int) -> int:
        """Returns the time until the authority expects room."""
        return max(1, self.room_ms - now_ms)

    def wanted(self, waiting: int, now_ms: int) -> int:
        """Returns how many tokens to request.

        Args:
            waiting: Requests of callers that wait for a token.
            now_ms: Monotonic time.
        """
        held = 0 if waiting else self.available(now_ms)
        return max(0, waiting + self._advance(now_ms) - held)

    def _advance(self, now_ms: int) -> int:
        decay = math.exp((self.demand_ms - now_ms) / DEMAND_MS)
        per_lease = self.demand * decay / DEMAND_MS * self.lease_ms
        return int(per_lease * _PREFETCH_PART)

    def prefetch(self, now_ms: int) -> int:
        """Returns how many tokens to request in advance; 0 for none."""
        advance = self._advance(now_ms)
        if not advance or self.is_refused(now_ms):
            return 0
        if self.available(now_ms) > advance * _PREFETCH_AT:
            return 0
        return self.wanted(0, now_ms)

    def on_grant(
        self,
        tokens: int,
        sent_ms: int,
        valid_ms: int,
        wait_ms: int,
        now_ms: int,
    ) -> None:
        """Adds granted tokens, or refuses requests until there is room.

        Args:
            tokens: Number of tokens granted.
            sent_ms: Time at which the request for them was sent.
            valid_ms: Validity of the lease, counted from then.
            wait_ms: Time until there is room, if none were granted.
            now_ms: Monotonic time.
        """
        if tokens:
            self.leases.append(Lease(tokens, sent_ms + valid_ms))
            return
        self.room_ms = now_ms + wait_ms
        self.refused_until_ms = now_ms + min(wait_ms, MAX_REFUSAL_MS)
