"""Recognises requests that crash targets and stops them."""

import enum

import attrs
import xxhash

from pomelobank_schema.generated.peer import SuspicionEntry

# Points for a crash while the request was in flight. The loss of a target is
# strong evidence. The loss of a node is weak evidence, because many nodes can
# fail together for a cause that has nothing to do with requests.
POINTS_TARGET_LOST = 2
POINTS_NODE_LOST = 1
# Points from which a request runs alone, so that its next crash is conclusive.
SUSPECT_POINTS = 2
# Points from which a request is quarantined without having run alone: three
# lost targets. A request may never run alone if each retry starts before the
# report of the previous crash arrives, and must be stopped even so.
QUARANTINE_POINTS = 6
# Time after which a suspicion without new evidence is removed. Callers retry
# within minutes, so that ten minutes cover their retries.
SUSPICION_MS = 600_000
# First and maximum duration of a quarantine. The duration doubles with each
# further crash, so that a caller that keeps sending the request costs one
# target in a minute, then one in two minutes, at last one in half an hour.
FIRST_QUARANTINE_MS = 60_000
MAX_QUARANTINE_MS = 1_800_000
# Maximum number of suspicions. Each takes 40 bytes of digest and counters. One
# crash adds at most as many suspicions as the target has slots, so the limit
# covers the crashes of dozens of targets.
MAX_ENTRIES = 1024


class QuarantineState(enum.Enum):
    """How a request may run.

    Attributes:
        CLEAR: The request runs beside other requests.
        SUSPECT: The request runs alone on its target.
        QUARANTINED: The request does not run.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@attrs.frozen
class Evidence:
    """One observation of a request; every node adds up the observations.

    Attributes:
        fingerprint: Digest of the request.
        points: Weight of the crash; 0 if there was no crash.
        alone: Whether no other request ran on the target that crashed.
        cleared: Whether the request ran to its end.
    """

    fingerprint: bytes
    points: int = 0
    alone: bool = False
    cleared: bool = False


@attrs.define
class Suspicion:
    """Evidence against one request.

    Attributes:
        points: Sum of the points of the evidence.
        until_ms: Time at which the suspicion is removed.
        quarantined_until_ms: Time at which the request may run alone again; 0
            if the request was not quarantined.
        quarantines: Number of quarantines of the request.
    """

    points: int = 0
    until_ms: float = 0.0
    quarantined_until_ms: float = 0.0
    quarantines: int = 0


def fingerprint(route: str, method: str, target: bytes, body: bytes) -> bytes:
    """Returns a digest that is the same for each send of a request.

    The digest leaves out the request id, which differs with each send, the
    idempotency key, which may be missing, and the headers, which hold ids and
    times of every hop. The digest contains the exact path instead of the path's
    pattern, because one bad order must not stop all other orders of its route.
    If a caller changes the body or the query with each send, the node does not
    recognise the request; a cold start of the lost target and the retry budget
    then bound the damage.

    Args:
        route: Name of the route.
        method: HTTP method.
        target: Raw path with query.
        body: Whole body.

    Returns:
        A digest of 16 bytes.
    """
    digest = xxhash.xxh3_128()
    for field in (route.encode(), method.encode(), target):
        digest.update(b"%d:" % len(field))
        digest.update(field)
    digest.update(body)
    return digest.digest()


@attrs.define(eq=False)
class QuarantineTable:
    """Suspicions of one node, built from the evidence of all nodes.

    Handles a request that crashes each target that runs it, while its caller
    keeps retrying. Without the table the request would crash one target after
    another, each with up to twenty requests of other callers: the targets of
    one upstream restart in turn. Requests in flight beside the faulty request
    become suspects too, until each runs to its end once; suspects still run,
    but alone. Nodes exchange evidence only, and each decides on its own.

    Attributes:
        entries: Suspicions by fingerprint, the oldest first.
        suspected: Number of requests that became suspects.
        quarantined: Number of quarantines.
        cleared: Number of suspects that ran to their end.
    """

    entries: dict[bytes, Suspicion] = attrs.field(factory=dict)
    suspected: int = 0
    quarantined: int = 0
    cleared: int = 0

    def add(self, evidence: Evidence, now_ms: float) -> None:
        """Adds an observation of this node or of another node."""
        if evidence.cleared:
            self._clear(evidence.fingerprint, now_ms)
            return
        entry = self._entry(evidence.fingerprint)
        was_suspect = entry.points >= SUSPECT_POINTS
        entry.points += evidence.points
        entry.until_ms = now_ms + SUSPICION_MS
        if not was_suspect and entry.points >= SUSPECT_POINTS:
            self.suspected += 1
        # The first crash of a request that runs alone may have another cause,
        # such as a killed target. Only a request that was a suspect already is
        # proven faulty by a crash while the request runs alone.
        is_proven = was_suspect and evidence.alone
        if is_proven or entry.points >= QUARANTINE_POINTS:
            self._quarantine(entry, now_ms)

    def state(self, fingerprint: bytes, now_ms: float) -> QuarantineState:
        """Returns how a request may run now."""
        entry = self.entries.get(fingerprint)
        if entry is None:
            return QuarantineState.CLEAR
        if entry.quarantined_until_ms > now_ms:
            return QuarantineState.QUARANTINED
        if entry.until_ms <= now_ms:
            del self.entries[fingerprint]
            return QuarantineState.CLEAR
        if entry.points >= SUSPECT_POINTS:
            return QuarantineState.SUSPECT
        return QuarantineState.CLEAR

    def newest(self, now_ms: float, limit: int) -> list[SuspicionEntry]:
        """Returns the newest suspicions for a node that has just started.

        Args:
            now_ms: Current time.
            limit: Maximum number of suspicions.
        """
        entries = [
            SuspicionEntry(
                fingerprint=fingerprint,
                points=entry.points,
                remaining_ms=int(entry.until_ms - now_ms),
                quarantine_ms=max(0, int(entry.quarantined_until_ms - now_ms)),
                quarantines=entry.quarantines,
            )
            for fingerprint, entry in self.entries.items()
            if entry.until_ms > now_ms
        ]
        return entries[-limit:]

    def merge(self, received: SuspicionEntry, now_ms: float) -> None:
        """Adds a suspicion of another node; the graver of the two counts."""
        entry = self._entry(received.fingerprint)
        entry.points = max(entry.points, received.points)
        entry.until_ms = max(entry.until_ms, now_ms + received.remaining_ms)
        entry.quarantines = max(entry.quarantines, received.quarantines)
        if received.quarantine_ms > 0:
            entry.quarantined_until_ms = max(
                entry.quarantined_until_ms, now_ms + received.quarantine_ms
            )

    def retry_after_ms(self, fingerprint: bytes, now_ms: float) -> int:
        """Returns the time until a quarantine ends, in ms; 0 without one."""
        entry = self.entries.get(fingerprint)
        if entry is None:
            return 0
        return max(0, int(entry.quarantined_until_ms - now_ms))

    def _entry(self, fingerprint: bytes) -> Suspicion:
        entry = self.entries.pop(fingerprint, None) or Suspicion()
        self.entries[fingerprint] = entry
        if len(self.entries) > MAX_ENTRIES:
            del self.entries[next(iter(self.entries))]
        return entry

    def _quarantine(self, entry: Suspicion, now_ms: float) -> None:
        duration_ms = FIRST_QUARANTINE_MS * 2**entry.quarantines
        duration_ms = min(duration_ms, MAX_QUARANTINE_MS)
        if entry.quarantined_until_ms <= now_ms:
            entry.quarantines += 1
            self.quarantined += 1
        entry.quarantined_until_ms = now_ms + duration_ms
        # After the quarantine the request is a suspect and runs alone again.
        entry.points = SUSPECT_POINTS
        entry.until_ms = entry.quarantined_until_ms + SUSPICION_MS

    def _clear(self, fingerprint: bytes, now_ms: float) -> None:
        # A quarantined request has crashed a target; if the same request ends
        # normally on another target at the same time, the quarantine stays.
        if self.state(fingerprint, now_ms) is QuarantineState.QUARANTINED:
            return
        if self.entries.pop(fingerprint, None) is not None:
            self.cleared += 1
