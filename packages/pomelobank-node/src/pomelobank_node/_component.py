"""The life-cycle hooks by which an application object owns its parts."""

from typing import Protocol


class Component(Protocol):
    """A part of the node with life-cycle hooks."""

    async def start(self) -> None:
        """Begins its work; called once, in order."""

    async def stop(self) -> None:
        """Ends its work; called once, in reverse order."""
