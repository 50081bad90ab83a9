"""One budget for the bytes that the clients and peers of a node make it hold.

Load pattern: many clients that each stay within every limit and together hold
more than the machine has: bodies that never become complete, responses that
nobody reads.
"""

import attrs

# Receive window of a long body while memory is short: one part of a body, with
# which an upload still goes on at the speed of its target.
MIN_WINDOW_BYTES = 32 * 1024
# Part of the budget from which long bodies get the smaller window.
_SHORT_SHARE = 0.5
# Part of the budget to which connections are closed once it is exceeded, so
# that not every further byte closes another one.
_TARGET_SHARE = 0.875
# Connections that hold less are not closed for memory; they would free little.
_MIN_CLOSED_BYTES = 1024


@attrs.define(eq=False)
class BufferAccount:
    """What one connection makes the node hold.

    Attributes:
        holder: The connection; the budget only passes it on.
        held_bytes: Bytes that the connection holds now.
        waits_for_client: Whether these bytes are held because the client has
            not sent the rest of a request or not read a response.
        since_ms: Time since which the connection has held bytes.
        moved_bytes: Bytes that the connection had moved in all at that time.
        progress_bytes: Bytes that it has moved since.
    """

    holder: object
    held_bytes: int = 0
    waits_for_client: bool = False
    since_ms: int = 0
    moved_bytes: int = 0
    progress_bytes: int = 0

    def pace(self, now_ms: int) -> float:
        """Returns the bytes that the connection moved in a ms of holding."""
        return self.progress_bytes / (now_ms - self.since_ms + 1)


@attrs.define(eq=False)
class BufferBudget:
    """Decides who gets room, who waits, who is refused and who is closed.

    Reading slows down first: long bodies get a smaller window, and connections
    with several requests are not read. Then new long bodies are refused, while
    short requests may use the rest of the budget. At its end, connections are
    closed that hold bytes because of their client, those first that have moved
    the fewest bytes in the time that they held some.

    Attributes:
        capacity_bytes: Bytes that all connections may hold together.
        short_request_share: Part of the budget that long bodies cannot use.
        held_bytes: Bytes that all connections hold.
        accounts: Accounts that hold bytes.
    """

    capacity_bytes: int
    short_request_share: float
    held_bytes: int = 0
    accounts: set[BufferAccount] = attrs.field(factory=set)

    @property
    def is_short(self) -> bool:
        """Whether connections should hold less than they usually may."""
        return self.held_bytes > self.capacity_bytes * _SHORT_SHARE

    @property
    def accepts_long_bodies(self) -> bool:
        """Whether a request with a long body may begin."""
        share = 1 - self.short_request_share
        return self.held_bytes < self.capacity_bytes * share

    @property
    def accepts_requests(self) -> bool:
        """Whether a request with a short body may begin."""
        return self.held_bytes < self.capacity_bytes

    def window_bytes(self, full_bytes: int) -> int:
        """Returns the unread bytes that a long body may have.

        Args:
            full_bytes: The window while memory is not short.
        """
        return MIN_WINDOW_BYTES if self.is_short else full_bytes

    def book(
        self,
        account: BufferAccount,
        held_bytes: int,
        waits_for_client: bool,
        moved_bytes: int,
        now_ms: int,
    ) -> list[BufferAccount]:
        """Sets what a connection holds.

        Args:
            account: The connection's account.
            held_bytes: Bytes that the connection holds now.
            waits_for_client: Whether it holds them because of its client.
            moved_bytes: Bytes that the connection has moved in all.
            now_ms: Current time.

        Returns:
            Accounts whose connections have to be closed.
        """
        if not account.held_bytes:
            account.since_ms = now_ms
            account.moved_bytes = moved_bytes
        self.held_bytes += held_bytes - account.held_bytes
        account.held_bytes = held_bytes
        account.waits_for_client = waits_for_client
        account.progress_bytes = moved_bytes - account.moved_bytes
        if not held_bytes:
            self.accounts.discard(account)
            return []
        self.accounts.add(account)
        if self.held_bytes <= self.capacity_bytes:
            return []
        return self._accounts_to_close(now_ms)

    def release(self, account: BufferAccount) -> None:
        """Ends the account of a closed connection."""
        self.held_bytes -= account.held_bytes
        account.held_bytes = 0
        self.accounts.discard(account)

    def _accounts_to_close(self, now_ms: int) -> list[BufferAccount]:
        candidates = sorted(
            (
                item
                for item in self.accounts
                if item.waits_for_client and item.held_bytes > _MIN_CLOSED_BYTES
            ),
            key=lambda item: (item.pace(now_ms), item.since_ms),
        )
        excess_bytes = self.held_bytes - self.capacity_bytes * _TARGET_SHARE
        chosen = []
        for account in candidates:
            if excess_bytes <= 0:
                break
            excess_bytes -= account.held_bytes
            chosen.append(account)
        return chosen
