"""Decides who reads the log and who passes configuration on to whom.

In each data centre all live members are put in one order by hash. The first
few are the readers: they watch the log. Behind them the members form a tree in
which each passes new records on to a few others at once. A second tree, over
the same order turned round, carries only the news that there is a version;
whoever misses it pulls. A member that is inside one tree is a leaf of the
other, and readers cover for one another, so that no single dead or paused
member keeps records from the others.
Views of the members may differ: each difference costs a message or a read.
"""

import random
from collections.abc import Iterable

import attrs

from pomelobank_core._members import MemberState
from pomelobank_core._rendezvous import rendezvous_order
from pomelobank_schema.generated.peer import MemberEntry, VersionDigest
from pomelobank_schema.generated.settings import DistributionSettings

EVERY_NODE_POLLS = "every_node_polls"
_ORDER_SALT = "reader"
_LIVE = frozenset({MemberState.STARTING.value, MemberState.READY.value})

# The news of a version usually overtakes the records themselves by a hop;
# waiting this long before pulling saves sending most records twice.
NEWS_DELAY_MS = 25
# A pull that was sent to a member that died is repeated after this time.
PULL_PATIENCE_MS = 250

# Made for hundreds of nodes that lose the log in one instant. Waiting a random
# part of a doubling limit spreads their return over the limit; without it they
# would come back together and take the log down again. The first limit keeps a
# single lost answer cheap, the last one bounds the delay after an outage.
FIRST_RETRY_MS = 50
MAX_RETRY_MS = 5000


@attrs.frozen
class PushRecords:
    """Send records to a peer.

    Attributes:
        address: The peer's address.
        from_version: First offset to send.
    """

    address: str
    from_version: int


@attrs.frozen
class SendDigest:
    """Tell a peer the own version.

    Attributes:
        address: The peer's address.
        heartbeat: Whether it is the regular one.
    """

    address: str
    heartbeat: bool


@attrs.frozen
class PullRecords:
    """Ask a peer for records, unless they arrive before.

    Attributes:
        address: The peer's address.
        version: Version that the peer has.
        delay_ms: How long to wait for another peer's push first.
    """

    address: str
    version: int
    delay_ms: int


DistributionAction = PushRecords | SendDigest | PullRecords


@attrs.frozen
class ReadPlan:
    """When to read the log next.

    Attributes:
        pause_ms: How long to wait before deciding again; 0 to read now.
        wait_ms: How long the log may hold back an empty answer.
    """

    pause_ms: int
    wait_ms: int = 0


@attrs.frozen
class Neighbours:
    """The peers that a node sends configuration to.

    Attributes:
        is_reader: Whether the node is one of its data centre's readers.
        push_to: Addresses that get new records at once.
        notify: Addresses that get the news of a new version.
        remote: Addresses in other data centres, one of which gets each
            heartbeat.
    """

    is_reader: bool = True
    push_to: tuple[str, ...] = ()
    notify: tuple[str, ...] = ()
    remote: tuple[str, ...] = ()


def find_neighbours(
    own: MemberEntry,
    others: Iterable[MemberEntry],
    settings: DistributionSettings,
) -> Neighbours:
    """Works out a node's neighbours from the members that it knows.

    Args:
        own: The node's own entry.
        others: Entries of all other members.
        settings: Number of readers and fan-out.

    Returns:
        The neighbours.
    """
    live = [
        item for item in others if item.state in _LIVE and item.peer_address
    ]
    addresses = {
        item.node: item.peer_address
        for item in live
        if item.data_centre == own.data_centre
    }
    order = rendezvous_order([*addresses, own.node], _ORDER_SALT)
    place = order.index(own.node)
    readers = min(settings.readers, len(order))
    children = _children(order, place, readers, settings.fan_out)
    tell = _children(order[::-1], len(order) - 1 - place, 1, settings.fan_out)
    if place < readers:
        # Readers cover for one another: each tells the members that the next
        # one feeds, and the second tree's root, which nobody else tells.
        tell += order[:readers] + order[-1:]
        following = (place + 1) % readers
        tell += _children(order, following, readers, settings.fan_out)
    told = dict.fromkeys(tell)
    return Neighbours(
        is_reader=place < readers,
        push_to=tuple(addresses[node] for node in children),
        notify=tuple(
            addresses[node]
            for node in told
            if node != own.node and node not in children
        ),
        remote=_elsewhere(own, live, settings.fan_out),
    )


def _live_members(members: Iterable[MemberEntry]) -> list[tuple[str, str]]:
    return [
        (item.node, item.peer_address)
        for item in members
        if item.state in _LIVE and item.peer_address
    ]


def _children(
    order: list[str], place: int, roots: int, fan_out: int
) -> list[str]:
    first = roots + place * fan_out
    return order[first : first + fan_out]


def _elsewhere(
    own: MemberEntry, live: list[MemberEntry], limit: int
) -> tuple[str, ...]:
    # Few and always the same, so that a node keeps few streams open; chosen
    # by its own name, so that all nodes together cover every data centre.
    addresses = {
        item.node: item.peer_address
        for item in live
        if item.data_centre != own.data_centre
    }
    order = rendezvous_order(addresses, own.node)
    return tuple(addresses[node] for node in order[:limit])


@attrs.define
class Distribution:
    """A node's part in bringing the configuration to every node.

    Attributes:
        settings: Numbers of readers and peers, and times.
        long_poll_ms: Longest time one read of the log waits.
        rng: Source of randomness.
        neighbours: The peers it sends to.
        known_version: Highest version heard of, of any node.
        log_read_ms: When any node last read the log, as far as is known.
        retry_limit_ms: Limit of the next pause after a failed read.
        failing: Whether the node's own last read failed.
        reached_end: Whether the log's end was read once.
        read_due_ms: Earliest time of the next read, None while none is due.
        pull_until_ms: Until when the answer to a pull is waited for.
        live: Nodes and addresses that the neighbours were chosen from.
    """

    settings: DistributionSettings
    long_poll_ms: int
    rng: random.Random
    neighbours: Neighbours = attrs.field(factory=Neighbours)
    known_version: int = 0
    log_read_ms: int | None = None
    retry_limit_ms: int = FIRST_RETRY_MS
    failing: bool = False
    reached_end: bool = False
    read_due_ms: int | None = None
    pull_until_ms: int = 0
    live: list[tuple[str, str]] = attrs.field(factory=list)

    def update_members(
        self, own: MemberEntry, others: Iterable[MemberEntry]
    ) -> None:
        """Takes the members that the node knows now."""
        others = list(others)
        for entry in others:
            self.known_version = max(self.known_version, entry.version)
        # Putting a thousand members in order takes some milliseconds, and at
        # rest nothing changes from one heartbeat to the next.
        live = _live_members(others)
        if live == self.live:
            return
        self.live = live
        found = find_neighbours(own, others, self.settings)
        if found.is_reader != self.neighbours.is_reader:
            self.read_due_ms = None
        self.neighbours = found

    def next_read(self, now_ms: int) -> ReadPlan:
        """Decides when to read the log next.

        Readers always keep one read open. Everybody else reads only where no
        node is known to have read for a while: then the view of who is a
        reader may be wrong, or all readers have died at once. The pause is
        random, so that the first few reads tell all others before their turn.

        Args:
            now_ms: Monotonic time.

        Returns:
            The plan.
        """
        watching = self._is_watching()
        if not watching and not self._is_silent(now_ms):
            self.read_due_ms = None
            return ReadPlan(pause_ms=self.settings.heartbeat_ms)
        if self.read_due_ms is None:
            pause_ms = 0 if watching else self._fallback_ms()
            self.read_due_ms = now_ms + pause_ms
        left_ms = self.read_due_ms - now_ms
        if left_ms > 0:
            return ReadPlan(pause_ms=min(left_ms, self.settings.heartbeat_ms))
        # The first reads must tell where the log ends, at once; after that a
        # watcher always waits, or a node that cannot get ready would call the
        # log without a pause.
        wait = watching and self.reached_end
        return ReadPlan(0, self.long_poll_ms if wait else 0)

    def is_log_reachable(self, now_ms: int) -> bool:
        """Tells whether the log looks up, from here or from what peers told."""
        if self._is_watching():
            return not self.failing and self.log_read_ms is not None
        return not self._is_silent(now_ms)

    def _is_watching(self) -> bool:
        return (
            self.settings.mode == EVERY_NODE_POLLS or self.neighbours.is_reader
        )

    def _is_silent(self, now_ms: int) -> bool:
        age_ms = self.log_age_ms(now_ms)
        return age_ms < 0 or age_ms > self.settings.silence_ms

    def _fallback_ms(self) -> int:
        return self.rng.randint(1, self.settings.fallback_ms)

    def log_age_ms(self, now_ms: int) -> int:
        """Returns the time since the newest known read; -1 for none."""
        return -1 if self.log_read_ms is None else now_ms - self.log_read_ms

    def on_log_read(self, now_ms: int, at_end: bool) -> None:
        """Notes that the node read the log.

        Args:
            now_ms: Monotonic time.
            at_end: Whether the node has all that the log holds.
        """
        self.log_read_ms = now_ms
        self.failing = False
        self.reached_end |= at_end
        self.retry_limit_ms = FIRST_RETRY_MS
        self.read_due_ms = None

    def on_log_read_failed(self, now_ms: int) -> None:
        """Notes that a read of the log failed."""
        self.failing = True
        limit_ms = self.retry_limit_ms
        self.retry_limit_ms = min(2 * limit_ms, MAX_RETRY_MS)
        if not self.neighbours.is_reader:
            limit_ms = max(limit_ms, self.settings.fallback_ms)
        self.read_due_ms = now_ms + self.rng.randint(1, limit_ms)

    def on_applied(
        self, before: int, version: int, source: str = ""
    ) -> list[DistributionAction]:
        """Passes on what the node has just applied.

        Args:
            before: Version before.
            version: Version now.
            source: Address of the peer it came from; empty for the log.

        Returns:
            What to send.
        """
        self.known_version = max(self.known_version, version)
        self.pull_until_ms = 0
        if self.settings.mode == EVERY_NODE_POLLS:
            return []
        pushes = [
            PushRecords(address, before)
            for address in self.neighbours.push_to
            if address != source
        ]
        news = [
            SendDigest(address, heartbeat=False)
            for address in self.neighbours.notify
            if address != source
        ]
        return [*pushes, *news]

    def heartbeat(self) -> list[DistributionAction]:
        """Returns the regular digests."""
        if self.settings.mode == EVERY_NODE_POLLS:
            return []
        targets = [*self.neighbours.push_to, *self.neighbours.notify]
        if self.neighbours.remote:
            targets.append(self.rng.choice(self.neighbours.remote))
        return [SendDigest(address, heartbeat=True) for address in targets]

    def on_digest(
        self, digest: VersionDigest, version: int, now_ms: int
    ) -> list[DistributionAction]:
        """Takes a peer's digest.

        Args:
            digest: The digest.
            version: The node's own version.
            now_ms: Monotonic time.

        Returns:
            A pull where the peer is ahead, news where it is behind.
        """
        self._hear_log_age(digest.log_age_ms, now_ms)
        known = max(digest.version, digest.heard_version)
        self.known_version = max(self.known_version, known)
        if self.settings.mode == EVERY_NODE_POLLS or not digest.address:
            return []
        if digest.version > version:
            return self._pull(digest, now_ms)
        if digest.version < version and digest.heartbeat:
            # All its neighbours hear that a node is behind, after a herd
            # restart of many nodes. If each sent what is missing, it would
            # arrive many times over; told of it, the node asks one of them.
            return [SendDigest(digest.address, heartbeat=False)]
        return []

    def _hear_log_age(self, age_ms: int, now_ms: int) -> None:
        if age_ms < 0:
            return
        read_ms = now_ms - age_ms
        if self.log_read_ms is None or read_ms > self.log_read_ms:
            self.log_read_ms = read_ms

    def _pull(
        self, digest: VersionDigest, now_ms: int
    ) -> list[DistributionAction]:
        # After a change, several peers tell of it within a few ms; one answer
        # is enough.
        if now_ms < self.pull_until_ms:
            return []
        self.pull_until_ms = now_ms + PULL_PATIENCE_MS
        delay_ms = 0 if digest.heartbeat else NEWS_DELAY_MS
        return [PullRecords(digest.address, digest.version, delay_ms)]
