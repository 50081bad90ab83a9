"""Takes a target out of placing while requests to it keep failing."""

import random

import attrs

# One lost connection happens to every target that restarts; three in a row
# without an answer between them do not happen to one that works.
FAILURES_TO_EJECT = 3
# The first pause outlasts a restart's refused connections; doubling it keeps a
# target that is gone for long to one probe in half a minute.
FIRST_PAUSE_MS = 1000
LONGEST_PAUSE_MS = 30_000
# At most this part of an upstream's targets is out at once. When everything
# fails, the fault is rarely in the targets, and sending all requests to the
# last few that have not failed yet would overload those as well.
EJECTED_PART = 0.5


@attrs.define
class Ejection:
    """What one node has seen fail at one target.

    Made for a target that is dead, cut off or broken while its membership
    entry still says that it is ready. Without it, its part of all requests
    fails until the other members notice. One notices by errors that all name
    the same target.

    Attributes:
        failures: Failures since the last answer.
        until_ms: When the pause ends; 0 while the target is in use.
        pauses: Pauses since the last answer.
        probing: Whether the one request that probes it is under way.
    """

    failures: int = 0
    until_ms: float = 0.0
    pauses: int = 0
    probing: bool = False

    @property
    def ejected(self) -> bool:
        """Whether the target is out, or back for a probe only."""
        return self.until_ms > 0

    def allows(self, now_ms: float) -> bool:
        """Tells whether a request may be sent there."""
        if not self.ejected:
            return True
        return now_ms >= self.until_ms and not self.probing

    def on_sent(self) -> None:
        """Notes that a request is sent there."""
        if self.ejected:
            self.probing = True

    def on_success(self) -> bool:
        """Takes an answer; returns whether this ended an ejection."""
        was_ejected = self.ejected
        self.clear()
        return was_ejected

    def on_failure(
        self, now_ms: float, may_eject: bool, rng: random.Random
    ) -> bool:
        """Takes a failure.

        Args:
            now_ms: Current time.
            may_eject: Whether so few others are out that this one may be.
            rng: Source of randomness; spreads the probes of many nodes.

        Returns:
            Whether the target is now out that was in before.
        """
        self.failures += 1
        self.probing = False
        if self.ejected and now_ms < self.until_ms:
            return False
        if not self.ejected and self.failures < FAILURES_TO_EJECT:
            return False
        if not self.ejected and not may_eject:
            return False
        newly = not self.ejected
        pause_ms = min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2**self.pauses)
        self.until_ms = now_ms + pause_ms * rng.uniform(0.8, 1.2)
        self.pauses = min(self.pauses + 1, LONGEST_PAUSE_MS.bit_length())
        return newly

    def on_abandoned(self) -> None:
        """Takes the end of a request that tells nothing about the target."""
        self.probing = False

    def clear(self) -> None:
        """Takes the target back without reserve."""
        self.failures = 0
        self.until_ms = 0.0
        self.pauses = 0
        self.probing = False


def may_eject(ejected: int, targets: int) -> bool:
    """Tells whether one more target may be taken out.

    Args:
        ejected: Targets of the upstream that are out.
        targets: All its targets.

    >>> may_eject(0, 1), may_eject(1, 4), may_eject(2, 4)
    (False, True, False)
    """
    return ejected + 1 <= targets * EJECTED_PART
