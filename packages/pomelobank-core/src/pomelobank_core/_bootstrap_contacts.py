"""Selects the addresses at which a starting node contacts the mesh."""

import random
from collections.abc import Collection, Iterable

import attrs
import xxhash

from pomelobank_core._members import MemberTable
from pomelobank_schema import SchemaError, decode
from pomelobank_schema.generated.peer import MemberEntry
from pomelobank_schema.generated.records import (
    KINDS,
    AnnounceRecord,
    Contact,
    ContactsRecord,
)

# Maximum number of members in one contacts record. All 16 are gone at the same
# time only if most of the fleet is gone; the starting nodes then announce
# themselves.
CONTACTS_PER_RECORD = 16
# Number of records that a starting node reads at the end of the stream. Older
# records name members that have most likely been replaced.
TAIL_RECORDS = 64
# Maximum number of addresses that a node contacts in one round.
ATTEMPTS_PER_ROUND = 3
# Maximum age of the newest record before a new one is written. The interval is
# well below the retention time of the log, so that the log always contains a
# record.
REFRESH_MS = 300_000
# A node draws the random wait before its announcement from a window of this
# many times the duration of a read of the log. Of 1,000 nodes that start at the
# same time, about one in 50 then announces itself before the first record can
# be read. The window grows if the log slows down.
_WAIT_WINDOW_READS = 50
_MIN_WAIT_WINDOW_MS = 200
_MAX_WAIT_WINDOW_MS = 30_000
# Maximum number of known addresses; the oldest address is evicted first.
_ADDRESS_LIMIT = 256
# The probability of an attempt at an address halves with each attempt, at most
# this many times, which leaves one attempt in 32 rounds. An address that does
# not respond most likely belongs to a node that was replaced, but a network
# partition of an hour is possible.
_MAX_HALVINGS = 5


@attrs.define(eq=False)
class BootstrapContacts:
    """Addresses through which a node may reach the mesh.

    Attributes:
        random: Source of randomness.
        attempts: Number of attempts by address.
        newest_at_ms: When the newest record that was read was written.
        newest_addresses: Addresses in the newest record that was read.
        skipped_records: Records that could not be decoded or are of another
            kind, for the metrics.
    """

    random: random.Random
    attempts: dict[str, int] = attrs.field(factory=dict)
    newest_at_ms: int = 0
    newest_addresses: frozenset[str] = frozenset()
    skipped_records: int = 0

    def add(self, addresses: Iterable[str]) -> None:
        """Adds addresses and evicts the oldest beyond the limit."""
        for address in addresses:
            self.attempts.setdefault(address, 0)
        while len(self.attempts) > _ADDRESS_LIMIT:
            del self.attempts[next(iter(self.attempts))]

    def add_records(self, records: Iterable[bytes]) -> None:
        """Adds the contacts of records from the end of the stream, in order."""
        for data in records:
            self._add_record(data)

    def _add_record(self, data: bytes) -> None:
        # The nodes need not agree on the contacts, unlike on the configuration,
        # so a node may skip a record that it cannot decode.
        try:
            record = decode(data, KINDS)
        except SchemaError:
            self.skipped_records += 1
            return
        if isinstance(record, AnnounceRecord):
            self._add_contacts([record.peer_address], record.at_ms)
        elif isinstance(record, ContactsRecord):
            addresses = [item.peer_address for item in record.contacts]
            self._add_contacts(addresses, record.at_ms)
        else:
            self.skipped_records += 1

    def _add_contacts(self, addresses: list[str], at_ms: int) -> None:
        self.add(address for address in addresses if address)
        self.newest_at_ms = at_ms
        self.newest_addresses = frozenset(addresses)

    def next_addresses(self, own_address: str) -> list[str]:
        """Returns the next addresses to contact, least attempted first."""
        ranked = sorted(
            (attempts, self.random.random(), address)
            for address, attempts in self.attempts.items()
            if address != own_address
        )
        chosen = [address for _, _, address in ranked[:ATTEMPTS_PER_ROUND]]
        for address in chosen:
            self.attempts[address] += 1
        return chosen

    def next_unknown_addresses(self, known: Collection[str]) -> list[str]:
        """Returns the next addresses of unknown members to contact.

        Parts of the mesh that started separately, or were partitioned for
        longer than they keep gone members, find each other through the
        addresses in each other's records.

        Args:
            known: Addresses of the present members and the node's own address.
        """
        chosen = [
            address
            for address, attempts in self.attempts.items()
            if address not in known
            and self.random.random() < 0.5 ** min(attempts, _MAX_HALVINGS)
        ]
        for address in chosen:
            self.attempts[address] += 1
        return chosen[:ATTEMPTS_PER_ROUND]

    def has_unattempted(self, own_address: str) -> bool:
        """Returns whether an address was never attempted."""
        return any(
            not attempts
            for address, attempts in self.attempts.items()
            if address != own_address
        )

    def announce_wait_ms(self, read_ms: int) -> int:
        """Returns a random wait before the node announces itself.

        Args:
            read_ms: Duration of the last read of the log.
        """
        window_ms = max(_MIN_WAIT_WINDOW_MS, _WAIT_WINDOW_READS * read_ms)
        return self.random.randrange(min(window_ms, _MAX_WAIT_WINDOW_MS))

    def require_refresh(self) -> None:
        """Makes a refresh due, because the newest record may be lost."""
        self.newest_at_ms = 0
        self.newest_addresses = frozenset()

    def needs_refresh(self, present: Collection[str], wall_ms: int) -> bool:
        """Returns whether a new contacts record should be written.

        Args:
            present: Addresses of the present members, including the node's own
                address.
            wall_ms: Time since the epoch.
        """
        if wall_ms - self.newest_at_ms >= REFRESH_MS:
            return True
        # If most of the named members are gone, many nodes that restart at the
        # same time would reach none of them and form a separate mesh beside the
        # remaining members.
        expected = min(len(present), CONTACTS_PER_RECORD)
        alive = sum(address in present for address in self.newest_addresses)
        return 2 * alive < expected or len(self.newest_addresses) < expected


def maintains_contacts(table: MemberTable) -> bool:
    """Returns whether this node writes the contacts records.

    Every node ranks the present members by a hash, and the first member writes.
    If nodes disagree about the members, two nodes may write, which costs one
    additional record.
    """
    own = _rank(table.own)
    return all(own <= _rank(entry) for entry in table.present())


def _rank(entry: MemberEntry) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(entry.node.encode()), entry.node


def contacts_record(
    table: MemberTable, source: random.Random, wall_ms: int
) -> ContactsRecord:
    """Returns a record that names a random sample of the present members."""
    members = [table.own, *table.present()]
    reachable = [entry for entry in members if entry.peer_address]
    sample_size = min(CONTACTS_PER_RECORD, len(reachable))
    return ContactsRecord(
        node=table.own.node,
        at_ms=wall_ms,
        contacts=tuple(
            Contact(node=entry.node, peer_address=entry.peer_address)
            for entry in source.sample(reachable, sample_size)
        ),
    )
