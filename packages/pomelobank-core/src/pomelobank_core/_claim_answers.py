"""Answers kept for callers that send their key again."""

import attrs

from pomelobank_core._claims import KeptAnswer

# What an entry costs beside the answer itself.
_ENTRY_BYTES = 200


@attrs.define
class AnswerStore:
    """Answers by claim key, the oldest dropped first.

    A dropped answer does no harm to the claim: its key stays claimed, and a
    caller that sends it again learns that the request ran.

    Attributes:
        max_bytes: Most bytes that are kept.
        answers: The answers, oldest first.
        kept_bytes: Bytes that they take.
        dropped: Answers dropped for want of room.

    >>> store = AnswerStore(max_bytes=450)
    >>> for key in (b"a", b"b", b"c"):
    ...     store.put(key, KeptAnswer(200, (), b"x"))
    >>> list(store.answers)
    [b'b', b'c']
    """

    max_bytes: int
    answers: dict[bytes, KeptAnswer] = attrs.field(factory=dict)
    kept_bytes: int = 0
    dropped: int = 0

    def put(self, key: bytes, answer: KeptAnswer) -> None:
        """Keeps an answer; one that is larger than the store is not kept."""
        self.remove(key)
        size = answer.size + _ENTRY_BYTES
        if size > self.max_bytes:
            self.dropped += 1
            return
        self.answers[key] = answer
        self.kept_bytes += size
        while self.kept_bytes > self.max_bytes:
            self.remove(next(iter(self.answers)))
            self.dropped += 1

    def remove(self, key: bytes) -> None:
        """Drops the answer of a key, where there is one."""
        answer = self.answers.pop(key, None)
        if answer is not None:
            self.kept_bytes -= answer.size + _ENTRY_BYTES

    def get(self, key: bytes) -> KeptAnswer | None:
        """Returns the answer of a key."""
        return self.answers.get(key)
