"""Recognises requests that crash targets and keeps them from doing so again."""

import enum

import attrs
import xxhash

# A target that died with the request on it is strong evidence, a node that
# was lost with it is weak: nodes die in herds for reasons of their own.
POINTS_TARGET_LOST = 2
POINTS_NODE_LOST = 1
# From here on the request runs alone, so that the next crash tells for sure.
SUSPECT_POINTS = 2
# Three lost targets in company; a request that never gets to run alone
# because every resend is under way before the news must still be stopped.
QUARANTINE_POINTS = 6
# A suspicion that nothing confirms is forgotten; callers resend within
# minutes.
SUSPICION_MS = 600_000
# Doubles with each further crash, so that a caller which keeps sending costs
# one target in a minute, then in two, at last in half an hour.
FIRST_QUARANTINE_MS = 60_000
LONGEST_QUARANTINE_MS = 1_800_000
# 40 bytes of digest and counters each; a crash adds at most a target's slots.
MAX_ENTRIES = 1024


class QuarantineState(enum.Enum):
    """What may be done with a request.

    Attributes:
        CLEAR: It runs like any other.
        SUSPECT: It runs alone.
        QUARANTINED: It does not run.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@attrs.frozen
class Evidence:
    """One observation about one request; every node adds them up.

    Attributes:
        fingerprint: Digest of the request.
        points: Weight of the crash; 0 where there was none.
        alone: Whether nothing else ran on the target that crashed.
        cleared: Whether the request ran to its end.
    """

    fingerprint: bytes
    points: int = 0
    alone: bool = False
    cleared: bool = False


@attrs.define
class Suspicion:
    """What is held against one request.

    Attributes:
        points: Sum of the evidence.
        until_ms: When it is forgotten.
        quarantined_until_ms: When it may run alone again; 0 for now.
        quarantines: How often it was quarantined.
    """

    points: int = 0
    until_ms: float = 0.0
    quarantined_until_ms: float = 0.0
    quarantines: int = 0


def fingerprint(route: str, method: str, target: bytes, body: bytes) -> bytes:
    """Returns what identifies a request that is sent again.

    The request id differs with each send and a key may be missing, so both
    are left out; headers hold ids and times of every hop. The exact target is
    taken and not the shape of its path: one bad order must not stop all
    others on its route. A caller that changes the body or the query with each
    send is not recognised; its target is cold-started, and retries are
    bounded.

    Args:
        route: Route's name.
        method: HTTP method.
        target: Raw path with query.
        body: Whole body.

    Returns:
        A digest of 16 bytes.
    """
    digest = xxhash.xxh3_128()
    for part in (route.encode(), method.encode(), target):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    digest.update(body)
    return digest.digest()


@attrs.define(eq=False)
class QuarantineTable:
    """Suspicions of one node; evidence travels, verdicts do not.

    Made for a request that crashes each target that runs it while its caller
    sends it again. Without the table it takes down one target after the other,
    each with up to twenty requests of others. One notices by targets of one
    upstream that restart in turn. Requests in flight beside it are suspects
    too until they run to their end once; they run, only not in company.

    Attributes:
        entries: Suspicions by fingerprint, the oldest first.
        suspected: Requests that became suspects.
        quarantined: Quarantines that were imposed.
        cleared: Suspects that ran to their end.
    """

    entries: dict[bytes, Suspicion] = attrs.field(factory=dict)
    suspected: int = 0
    quarantined: int = 0
    cleared: int = 0

    def add(self, evidence: Evidence, now_ms: float) -> None:
        """Takes one observation, the own or another node's."""
        if evidence.cleared:
            self._clear(evidence.fingerprint, now_ms)
            return
        entry = self._entry(evidence.fingerprint)
        was_suspect = entry.points >= SUSPECT_POINTS
        entry.points += evidence.points
        entry.until_ms = now_ms + SUSPICION_MS
        if not was_suspect and entry.points >= SUSPECT_POINTS:
            self.suspected += 1
        # The first crash in no company may be chance, as when the target was
        # killed; only one that was expected proves anything.
        proven = was_suspect and evidence.alone
        if proven or entry.points >= QUARANTINE_POINTS:
            self._quarantine(entry, now_ms)

    def state(self, fingerprint: bytes, now_ms: float) -> QuarantineState:
        """Returns what may be done with a request."""
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

    def retry_after_ms(self, fingerprint: bytes, now_ms: float) -> int:
        """Returns when a quarantined request may be tried again."""
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
        within_ms = FIRST_QUARANTINE_MS * 2**entry.quarantines
        within_ms = min(within_ms, LONGEST_QUARANTINE_MS)
        if entry.quarantined_until_ms <= now_ms:
            entry.quarantines += 1
            self.quarantined += 1
        entry.quarantined_until_ms = now_ms + within_ms
        # What remains afterwards is a suspect: it runs alone once more.
        entry.points = SUSPECT_POINTS
        entry.until_ms = entry.quarantined_until_ms + SUSPICION_MS

    def _clear(self, fingerprint: bytes, now_ms: float) -> None:
        # A quarantined request was seen to crash a target on its own; one like
        # it that ends elsewhere at the same time does not undo that.
        if self.state(fingerprint, now_ms) is QuarantineState.QUARANTINED:
            return
        if self.entries.pop(fingerprint, None) is not None:
            self.cleared += 1
