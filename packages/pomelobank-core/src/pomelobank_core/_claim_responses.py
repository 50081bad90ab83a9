"""Answers kept for callers that send their key again."""

import attrs

from pomelobank_core._claims import StoredResponse

# What an entry costs beside the answer itself.
_ENTRY_BYTES = 200


@attrs.define
class ResponseStore:
    """Answers by claim key, the oldest dropped first.

    A dropped answer does no harm to the claim: its key stays claimed, and a
    caller that sends it again learns that the request ran.

    Attributes:
        max_bytes: Most bytes that are kept.
        responses: The answers, oldest first.
        stored_bytes: Bytes that they take.
        evicted: Answers dropped for want of room.

    >>> store = ResponseStore(max_bytes=450)
    >>> for key in (b"a", b"b", b"c"):
    ...     store.put(key, StoredResponse(200, (), b"x"))
    >>> list(store.responses)
    [b'b', b'c']
    """

    max_bytes: int
    responses: dict[bytes, StoredResponse] = attrs.field(factory=dict)
    stored_bytes: int = 0
    evicted: int = 0

    def put(self, key: bytes, answer: StoredResponse) -> None:
        """Keeps an answer; one that is larger than the store is not kept."""
        self.remove(key)
        size = answer.size_bytes + _ENTRY_BYTES
        if size > self.max_bytes:
            self.evicted += 1
            return
        self.responses[key] = answer
        self.stored_bytes += size
        while self.stored_bytes > self.max_bytes:
            self.remove(next(iter(self.responses)))
            self.evicted += 1

    def remove(self, key: bytes) -> None:
        """Drops the answer of a key, where there is one."""
        answer = self.responses.pop(key, None)
        if answer is not None:
            self.stored_bytes -= answer.size_bytes + _ENTRY_BYTES

    def get(self, key: bytes) -> StoredResponse | None:
        """Returns the answer of a key."""
        return self.responses.get(key)
