"""Where published configurations are read, whichever client serves it."""

from collections.abc import Callable
from typing import Protocol

import attrs


@attrs.frozen
class SourceError(Exception):
    """A read that failed; it is tried again.

    Attributes:
        message: What happened.
    """

    message: str


@attrs.frozen
class Document:
    """A configuration as it was read.

    Attributes:
        data: The document's bytes.
        position: Place in the source after it; what is read later is newer.
    """

    data: bytes
    position: int


class PublishedSource(Protocol):
    """Reads the newest configuration and waits for newer ones.

    Attributes:
        on_progress: Called with each part of an answer that takes long.
    """

    on_progress: Callable[[], None] | None

    async def newest(self) -> Document | None:
        """Returns the newest configuration, None where there is none yet.

        Raises:
            SourceError: If the source does not answer.
        """

    async def newest_after(
        self, position: int, wait_ms: int
    ) -> Document | None:
        """Waits for configurations after a position and returns the newest.

        Args:
            position: Place up to which everything is known.
            wait_ms: Longest wait.

        Returns:
            The newest one, None where none came in time.

        Raises:
            SourceError: If the source does not answer.
        """
