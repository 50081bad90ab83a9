"""Selects the nodes that read the log and the peers that each node notifies.

In each data centre, all live members are sorted by a hash. The first few
members are the readers, which read the log with long polls. The members form a
tree below the readers, in which each member pushes new records to a few other
members at once. A second tree, over the reversed order, carries only digests
that announce a new version; a member without the version pulls the records. An
inner member of one tree is a leaf of the other one, and readers also notify the
members below the next reader. Therefore, no single dead or paused member keeps
records from the others. The nodes' member lists may differ; each difference
costs an additional message or read.
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

# Delay of a pull after a digest that announces a new version. The digest
# usually arrives one hop before the pushed records. Without the delay, the node
# would pull records that are already on their way, and most records would be
# sent twice.
PULL_DELAY_MS = 25
# Time after which an unanswered pull, for example to a dead member, may be
# repeated.
PULL_TIMEOUT_MS = 250

# Limits of the random pause after a failed read of the log. When hundreds of
# nodes lose the log at the same instant, random pauses up to a doubling limit
# spread their next reads; otherwise, a thundering herd of simultaneous reads
# would overload the log again. The first limit keeps the delay after a single
# lost response short, and the maximum limits the delay after an outage.
FIRST_RETRY_MS = 50
MAX_RETRY_MS = 5000


@attrs.frozen
class PushRecords:
    """Action: push records to a peer.

    Attributes:
        address: The peer's address.
        from_version: First offset to send.
    """

    address: str
    from_version: int


@attrs.frozen
class SendDigest:
    """Action: send a digest with the node's own version to a peer.

    Attributes:
        address: The peer's address.
        heartbeat: Whether the digest is a periodic heartbeat, not the
            announcement of a new version.
    """

    address: str
    heartbeat: bool


@attrs.frozen
class PullRecords:
    """Action: pull records from a peer unless they arrive before.

    Attributes:
        address: The peer's address.
        version: Version that the peer has.
        delay_ms: Time to wait for another peer's push before the pull.
    """

    address: str
    version: int
    delay_ms: int


DistributionAction = PushRecords | SendDigest | PullRecords


@attrs.frozen
class ReadPlan:
    """Time and mode of the next read of the log.

    Attributes:
        pause_ms: Time to wait before the next decision; 0 to read now.
        wait_ms: Time for which the log may delay an empty response (long poll).
    """

    pause_ms: int
    wait_ms: int = 0


@attrs.frozen
class Neighbours:
    """The peers that a node sends configuration to.

    Attributes:
        is_reader: Whether the node is one of its data centre's readers.
        push_to: Addresses that get new records at once.
        notify: Addresses that get a digest of a new version.
        remote: Addresses in other data centres; one of them, drawn at random,
            gets each heartbeat.
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
    """Computes a node's neighbours from the members that the node knows.

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
    position = order.index(own.node)
    readers = min(settings.readers, len(order))
    children = _children(order, position, readers, settings.fan_out)
    to_notify = _children(
        order[::-1], len(order) - 1 - position, 1, settings.fan_out
    )
    if position < readers:
        # Each reader also notifies the other readers and the children of the
        # next reader, so that a dead or paused reader keeps no records from
        # other members. Readers notify the root of the second tree, because no
        # other member does.
        to_notify += order[:readers] + order[-1:]
        next_reader = (position + 1) % readers
        to_notify += _children(order, next_reader, readers, settings.fan_out)
    unique_nodes = dict.fromkeys(to_notify)
    return Neighbours(
        is_reader=position < readers,
        push_to=tuple(addresses[node] for node in children),
        notify=tuple(
            addresses[node]
            for node in unique_nodes
            if node != own.node and node not in children
        ),
        remote=_remote_peers(own, live, settings.fan_out),
    )


def _live_members(members: Iterable[MemberEntry]) -> list[tuple[str, str]]:
    return [
        (item.node, item.peer_address)
        for item in members
        if item.state in _LIVE and item.peer_address
    ]


def _children(
    order: list[str], position: int, roots: int, fan_out: int
) -> list[str]:
    first = roots + position * fan_out
    return order[first : first + fan_out]


def _remote_peers(
    own: MemberEntry, live: list[MemberEntry], limit: int
) -> tuple[str, ...]:
    # A node always chooses the same few peers, so that few streams stay open.
    # The node's own id is the salt, so that the choices of all nodes together
    # include every data centre.
    addresses = {
        item.node: item.peer_address
        for item in live
        if item.data_centre != own.data_centre
    }
    order = rendezvous_order(addresses, own.node)
    return tuple(addresses[node] for node in order[:limit])


@attrs.define
class Distribution:
    """Decides when one node reads the log and what the node sends to peers.

    Attributes:
        settings: Numbers of readers and peers, and times.
        long_poll_ms: Maximum time for which one read of the log waits.
        rng: Source of randomness.
        neighbours: Peers that the node sends configuration to.
        known_version: Highest known version of any node.
        log_read_ms: Time of the newest known read of the log by any node.
        retry_limit_ms: Limit of the random pause after the next failed read.
        failing: Whether the node's own last read failed.
        reached_end: Whether the node has read the log up to its end once.
        read_due_ms: Earliest time of the next read, None while none is due.
        pull_until_ms: Time until which no further pull is sent, because the
            response to the last one is expected.
        live_members: Nodes and addresses that the neighbours were chosen from.
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
    live_members: list[tuple[str, str]] = attrs.field(factory=list)

    def update_members(
        self, own: MemberEntry, others: Iterable[MemberEntry]
    ) -> None:
        """Updates the neighbours from the present members."""
        others = list(others)
        for entry in others:
            self.known_version = max(self.known_version, entry.version)
        # Sorting a thousand members takes some milliseconds, and the members of
        # an idle mesh do not change between two heartbeats. The neighbours are
        # therefore computed again only after a change of the live members.
        live = _live_members(others)
        if live == self.live_members:
            return
        self.live_members = live
        found = find_neighbours(own, others, self.settings)
        if found.is_reader != self.neighbours.is_reader:
            self.read_due_ms = None
        self.neighbours = found

    def next_read(self, now_ms: int) -> ReadPlan:
        """Decides when to read the log next.

        A reader always has one read open. Any other node reads only if no read
        by any node is known for `silence_ms`: either the member lists differ,
        so that no node is a reader, or all readers failed at once. The pause
        before such a read is random, so that the other nodes learn of the first
        few reads before their own pauses end.

        Args:
            now_ms: Monotonic time.

        Returns:
            The plan.
        """
        polling = self._is_polling()
        if not polling and not self._is_read_overdue(now_ms):
            self.read_due_ms = None
            return ReadPlan(pause_ms=self.settings.heartbeat_ms)
        if self.read_due_ms is None:
            pause_ms = 0 if polling else self._fallback_ms()
            self.read_due_ms = now_ms + pause_ms
        remaining_ms = self.read_due_ms - now_ms
        if remaining_ms > 0:
            return ReadPlan(
                pause_ms=min(remaining_ms, self.settings.heartbeat_ms)
            )
        # Until the node has read the log to its end once, reads return at once,
        # because the node needs the end offset. After that, a polling node uses
        # long polls even while it is not ready; otherwise it would read in a
        # loop without a pause.
        long_poll = polling and self.reached_end
        return ReadPlan(0, self.long_poll_ms if long_poll else 0)

    def is_log_reachable(self, now_ms: int) -> bool:
        """Returns whether the log responds, to this node or to its peers."""
        if self._is_polling():
            return not self.failing and self.log_read_ms is not None
        return not self._is_read_overdue(now_ms)

    def _is_polling(self) -> bool:
        return (
            self.settings.mode == EVERY_NODE_POLLS or self.neighbours.is_reader
        )

    def _is_read_overdue(self, now_ms: int) -> bool:
        age_ms = self.log_age_ms(now_ms)
        return age_ms < 0 or age_ms > self.settings.silence_ms

    def _fallback_ms(self) -> int:
        return self.rng.randint(1, self.settings.fallback_ms)

    def log_age_ms(self, now_ms: int) -> int:
        """Returns the time since the newest known read; -1 without one."""
        return -1 if self.log_read_ms is None else now_ms - self.log_read_ms

    def on_log_read(self, now_ms: int, at_end: bool) -> None:
        """Records a successful read of the log by this node.

        Args:
            now_ms: Monotonic time.
            at_end: Whether the node has read all records of the log.
        """
        self.log_read_ms = now_ms
        self.failing = False
        self.reached_end |= at_end
        self.retry_limit_ms = FIRST_RETRY_MS
        self.read_due_ms = None

    def on_log_read_failed(self, now_ms: int) -> None:
        """Records a failed read of the log and schedules the next one."""
        self.failing = True
        limit_ms = self.retry_limit_ms
        self.retry_limit_ms = min(2 * limit_ms, MAX_RETRY_MS)
        if not self.neighbours.is_reader:
            limit_ms = max(limit_ms, self.settings.fallback_ms)
        self.read_due_ms = now_ms + self.rng.randint(1, limit_ms)

    def on_applied(
        self, before: int, version: int, source: str = ""
    ) -> list[DistributionAction]:
        """Handles new records that the node has applied.

        Args:
            before: Version before the records.
            version: Version after the records.
            source: Address of the peer that sent them; empty for the log.

        Returns:
            Pushes and digests for the neighbours, except for the source.
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
        digests = [
            SendDigest(address, heartbeat=False)
            for address in self.neighbours.notify
            if address != source
        ]
        return [*pushes, *digests]

    def heartbeat(self) -> list[DistributionAction]:
        """Returns the periodic digests."""
        if self.settings.mode == EVERY_NODE_POLLS:
            return []
        targets = [*self.neighbours.push_to, *self.neighbours.notify]
        if self.neighbours.remote:
            targets.append(self.rng.choice(self.neighbours.remote))
        return [SendDigest(address, heartbeat=True) for address in targets]

    def on_digest(
        self, digest: VersionDigest, version: int, now_ms: int
    ) -> list[DistributionAction]:
        """Handles a peer's digest.

        Args:
            digest: The digest.
            version: The node's own version.
            now_ms: Monotonic time.

        Returns:
            A pull if the peer's version is newer; a digest if the peer's
            version is older and the peer's digest is a heartbeat.
        """
        self._update_log_age(digest.log_age_ms, now_ms)
        known = max(digest.version, digest.heard_version)
        self.known_version = max(self.known_version, known)
        if self.settings.mode == EVERY_NODE_POLLS or not digest.address:
            return []
        if digest.version > version:
            return self._pull(digest, now_ms)
        if digest.version < version and digest.heartbeat:
            # After a simultaneous restart of many nodes, all neighbours of an
            # outdated node receive its heartbeat. If each neighbour pushed the
            # missing records, the records would arrive many times. The
            # neighbours send digests instead, and the outdated node pulls the
            # records from one neighbour.
            return [SendDigest(digest.address, heartbeat=False)]
        return []

    def _update_log_age(self, age_ms: int, now_ms: int) -> None:
        if age_ms < 0:
            return
        read_ms = now_ms - age_ms
        if self.log_read_ms is None or read_ms > self.log_read_ms:
            self.log_read_ms = read_ms

    def _pull(
        self, digest: VersionDigest, now_ms: int
    ) -> list[DistributionAction]:
        # After a change, several peers send digests within a few ms, and the
        # records are needed from only one of them.
        if now_ms < self.pull_until_ms:
            return []
        self.pull_until_ms = now_ms + PULL_TIMEOUT_MS
        delay_ms = 0 if digest.heartbeat else PULL_DELAY_MS
        return [PullRecords(digest.address, digest.version, delay_ms)]
