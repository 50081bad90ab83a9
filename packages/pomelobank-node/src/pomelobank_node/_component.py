"""The life-cycle interface of a node's components."""

from typing import Protocol


class Component(Protocol):
    """A component that the application object starts and stops."""

    async def start(self) -> None:
        """Starts the component; called once, in the order of assembly."""

    async def stop(self) -> None:
        """Stops the component; called once, in reverse order of the start."""
