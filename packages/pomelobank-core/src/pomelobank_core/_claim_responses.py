"""Responses kept for callers that send an idempotency key again."""

import attrs

from pomelobank_core._claims import StoredResponse

# Estimated memory of an entry beside its response.
_ENTRY_BYTES = 200


@attrs.define
class ResponseStore:
    """Responses by claim key; the oldest response is evicted first.

    The eviction of a response does not free its key: the key stays claimed, so
    a caller that sends the key again is told that the request ran.

    Attributes:
        max_bytes: Maximum size of the stored responses and their entries.
        responses: The responses by claim key, oldest first.
        stored_bytes: Size of the stored responses and their entries.
        evicted: Responses that were evicted, or were larger than the store.

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

    def put(self, key: bytes, response: StoredResponse) -> None:
        """Stores a response, unless it is larger than the whole store."""
        self.remove(key)
        size = response.size_bytes + _ENTRY_BYTES
        if size > self.max_bytes:
            self.evicted += 1
            return
        self.responses[key] = response
        self.stored_bytes += size
        while self.stored_bytes > self.max_bytes:
            self.remove(next(iter(self.responses)))
            self.evicted += 1

    def remove(self, key: bytes) -> None:
        """Removes the response of a key if the store has one."""
        response = self.responses.pop(key, None)
        if response is not None:
            self.stored_bytes -= response.size_bytes + _ENTRY_BYTES

    def get(self, key: bytes) -> StoredResponse | None:
        """Returns the response of a key, or None if it is not stored."""
        return self.responses.get(key)
