"""Interface to the source from which nodes read published configurations."""

from collections.abc import Callable
from typing import Protocol

import attrs

from pomelobank_schema.generated.records import RolloutRecord


@attrs.frozen
class SourceError(Exception):
    """A failed read of the source; the feed reads again later.

    Attributes:
        message: Cause of the failure, for the log.
    """

    message: str


@attrs.frozen
class Document:
    """A configuration document as read from the source.

    Attributes:
        data: The document's bytes.
        position: Position in the source after this document. A read after this
            position returns newer documents only.
        complete: Whether the source held nothing after the position. A response
            may end before the source does.
        orders: Orders of roll-outs in the same response.
    """

    data: bytes
    position: int
    complete: bool = True
    orders: tuple[RolloutRecord, ...] = ()


class PublishedSource(Protocol):
    """Reads the newest configuration and long-polls for newer ones.

    Attributes:
        on_progress: Called with each chunk of a response that takes long to
            arrive, the first one included; None for no call.
    """

    on_progress: Callable[[], None] | None

    async def newest(self) -> Document | None:
        """Returns the newest configuration, None if none was published yet.

        Raises:
            SourceError: If the source does not answer.
        """

    async def newest_after(
        self, position: int, wait_ms: int
    ) -> Document | None:
        """Waits for configurations after a position and returns the newest.

        Args:
            position: Position up to which the node has read the source.
            wait_ms: Maximum wait in ms.

        Returns:
            The newest document, None if none was published within the wait.

        Raises:
            SourceError: If the source does not answer.
        """
