"""Measures how long each configuration takes on its way to this node."""

import attrs


@attrs.define
class Propagation:
    """The way of the newest version from the source to this node.

    A frame carries the time since the first node read its version from the
    source. That time excludes the transfer of the frame, so the earliest
    estimate counts.

    Attributes:
        read_ms: Time at which the first node read the version in force.
        version: Newest version that a peer announced.
        version_read_ms: Time at which the first node read that version.
        announced_ms: Time at which a peer first announced a version that this
            node lacks; None if no newer version is known.
        pulled_ms: Time of the last pull since then; None if there was none.
        pulls: Number of pulls since then.
        delay_ms: Time in ms from the first read of the version in force until
            it came into force on this node, for the metrics.
    """

    read_ms: int = 0
    version: int = 0
    version_read_ms: int = 0
    announced_ms: int | None = None
    pulled_ms: int | None = None
    pulls: int = 0
    delay_ms: int = 0

    def on_announced(self, version: int, age_ms: int, now_ms: int) -> None:
        """Records that a peer has a version that this node lacks."""
        if self.announced_ms is None:
            self.announced_ms = now_ms
        self.on_received(version, age_ms, now_ms)

    def on_received(self, version: int, age_ms: int, now_ms: int) -> None:
        """Records that a frame about a version has arrived from a peer."""
        read_ms = now_ms - age_ms
        if version == self.version:
            read_ms = min(read_ms, self.version_read_ms)
        self.version = version
        self.version_read_ms = read_ms

    def on_read(self, now_ms: int) -> None:
        """Records that this node has read the newest version itself."""
        if self.announced_ms is None:
            self.version_read_ms = now_ms

    def on_pull(self, now_ms: int) -> None:
        """Records a pull."""
        self.pulls += 1
        self.pulled_ms = now_ms

    def on_in_force(self, now_ms: int) -> dict[str, int]:
        """Ends the measurement of a version; returns its durations."""
        self.read_ms = self.version_read_ms
        self.delay_ms = self.age_ms(now_ms)
        durations = {"age_ms": self.delay_ms, **self.durations(now_ms)}
        self.announced_ms = self.pulled_ms = None
        self.pulls = 0
        return durations

    def durations(self, now_ms: int) -> dict[str, int]:
        """Returns the number of pulls and the time of each hop, for the log.

        The durations in ms last until now: `announced_ms` since the first
        announcement of a newer version, `pulled_ms` since the last pull.
        """
        durations = {"pulls": self.pulls}
        if self.announced_ms is not None:
            durations["announced_ms"] = now_ms - self.announced_ms
        if self.pulled_ms is not None:
            durations["pulled_ms"] = now_ms - self.pulled_ms
        return durations

    def age_ms(self, now_ms: int) -> int:
        """Returns the time since the first read of the version in force."""
        return now_ms - self.read_ms
