"""Ejection: a target with consecutive failures gets no requests for a while."""

import random

import attrs

# Consecutive failures that eject a target. Every target that restarts loses one
# connection; a healthy target does not lose three without a response between
# them.
FAILURES_TO_EJECT = 3
# The first pause is longer than the time for which a restarting target refuses
# connections. The pause doubles with every further failure, so that a target
# that stays down gets only one probe in 30 s.
FIRST_PAUSE_MS = 1000
MAX_PAUSE_MS = 30_000
# Maximum fraction of an upstream's targets that are ejected at once. When all
# targets fail, the targets are rarely the cause, and sending all requests to
# the last few targets that have not failed yet would overload these as well.
MAX_EJECTED_FRACTION = 0.5


@attrs.define
class Ejection:
    """Failures and ejection of one target, as seen by one node.

    This handles a target that is dead, unreachable or broken while its
    membership entry is still `ready`. Without ejection, the target's share of
    all requests fails until membership marks its node as failed; the symptom is
    that all errors name the same target.

    Attributes:
        failures: Failures since the last response.
        until_ms: End of the pause; 0 while the target is not ejected.
        pauses: Pauses since the last response.
        probing: Whether the single probe request is in flight.
    """

    failures: int = 0
    until_ms: float = 0.0
    pauses: int = 0
    probing: bool = False

    @property
    def ejected(self) -> bool:
        """Whether the target gets no requests, or only a single probe."""
        return self.until_ms > 0

    def allows(self, now_ms: float) -> bool:
        """Returns whether a request may be sent to the target."""
        if not self.ejected:
            return True
        return now_ms >= self.until_ms and not self.probing

    def on_sent(self) -> None:
        """Records that a request is sent to the target."""
        if self.ejected:
            self.probing = True

    def on_success(self) -> bool:
        """Records a response; returns whether it ended an ejection."""
        was_ejected = self.ejected
        self.clear()
        return was_ejected

    def on_failure(
        self, now_ms: float, may_eject: bool, rng: random.Random
    ) -> bool:
        """Records a failed request.

        Args:
            now_ms: Current time.
            may_eject: Whether the limit of ejected targets allows an ejection.
            rng: Source of randomness; spreads the probes of many nodes.

        Returns:
            Whether this failure ejected a target that was not ejected before.
        """
        self.failures += 1
        self.probing = False
        if self.ejected and now_ms < self.until_ms:
            return False
        if not self.ejected and self.failures < FAILURES_TO_EJECT:
            return False
        if not self.ejected and not may_eject:
            return False
        newly_ejected = not self.ejected
        pause_ms = min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2**self.pauses)
        self.until_ms = now_ms + pause_ms * rng.uniform(0.8, 1.2)
        self.pauses = min(self.pauses + 1, MAX_PAUSE_MS.bit_length())
        return newly_ejected

    def on_abandoned(self) -> None:
        """Records the end of a request without a result for the target."""
        self.probing = False

    def clear(self) -> None:
        """Ends the ejection and resets all counts."""
        self.failures = 0
        self.until_ms = 0.0
        self.pauses = 0
        self.probing = False


def may_eject(ejected: int, targets: int) -> bool:
    """Returns whether one more target may be ejected.

    Args:
        ejected: Number of ejected targets of the upstream.
        targets: Number of all targets of the upstream.

    >>> may_eject(0, 1), may_eject(1, 4), may_eject(2, 4)
    (False, True, False)
    """
    return ejected + 1 <= targets * MAX_EJECTED_FRACTION
