"""Tracks whether a log has lost records that it had acknowledged."""

import logging
from collections.abc import Callable

import attrs

_logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class LogEra:
    """The era of a log, which begins anew when the log loses records.

    A log may come back from an older copy. The newest records are gone then,
    and their offsets are assigned again, so offsets of two eras must not be
    compared.

    Attributes:
        number: Newest era known to this node; 0 if none is known.
        on_change: Callbacks that run when the log has begun a new era.
    """

    number: int = 0
    on_change: list[Callable[[], None]] = attrs.field(factory=list)

    def advance(self, number: int) -> bool:
        """Records the era that a response or a peer reports.

        Args:
            number: The reported era; 0 if the report names none.

        Returns:
            Whether the report is as new as the newest known era.
        """
        if not number:
            return True
        if number < self.number:
            return False
        previous, self.number = self.number, number
        if previous and number > previous:
            _logger.warning(
                "log.era_began", extra={"era": number, "before": previous}
            )
            for callback in self.on_change:
                callback()
        return True
