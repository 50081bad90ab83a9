"""Interfaces of the checks that follow the identification of a caller."""

from typing import Protocol

import attrs

from pomelobank_core.workspaces import Workspace


class KeyFreshness(Protocol):
    """Tells whether the node knows recent enough keys to accept any."""

    def accepts_keys(self, now_ms: int) -> bool:
        """Returns whether a request with a valid key may run."""

    def retry_after_ms(self, now_ms: int) -> int:
        """Returns the delay after which keys are probably accepted again."""


class UsageCaps(Protocol):
    """Limits the rate of each workspace over all nodes."""

    async def take(self, workspace: Workspace) -> None:
        """Counts one request of a workspace.

        Raises:
            RequestError: If the workspace has reached its cap, or if the
                authority of the cap cannot be reached.
        """

    def give_back(self, workspace: Workspace) -> None:
        """Cancels the count of a request that did not run."""

    def on_runs(self, workspace: Workspace, runs: int) -> None:
        """Notes how many attempts of a request may have run."""


@attrs.frozen
class UncheckedFreshness:
    """Accepts keys regardless of the age of the configuration."""

    def accepts_keys(self, now_ms: int) -> bool:
        """Returns True."""
        return True

    def retry_after_ms(self, now_ms: int) -> int:
        """Returns 0."""
        return 0


@attrs.frozen
class UncappedUsage:
    """Accepts any rate of requests."""

    async def take(self, workspace: Workspace) -> None:
        """Accepts the request."""

    def give_back(self, workspace: Workspace) -> None:
        """Does nothing, because nothing was counted."""

    def on_runs(self, workspace: Workspace, runs: int) -> None:
        """Does nothing, because no rate is limited."""
