"""Decides how a starting node finds a first member."""

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

# Members named in one record. All of 16 are gone at once only when most of the
# fleet is, and then the starting nodes announce themselves.
CONTACTS_PER_RECORD = 16
# Records at the end of the stream that a starting node reads; older ones name
# members that have most likely been replaced.
TAIL_RECORDS = 64
# Members that a starting node tries at once.
TRIES_AT_ONCE = 3
# A record is written again after this time, well before the log drops it.
REFRESH_MS = 300_000
# Of 1,000 nodes that start at once, about one in 50 announces itself before
# the first record can be read: the wait is drawn from 50 times the time that a
# read of the log takes, so a log that slows down stretches it by itself.
_WAIT_PER_READ = 50
_MIN_WAIT_MS = 200
_MAX_WAIT_MS = 30_000
# Addresses that are remembered; the oldest ones make room.
_ADDRESS_LIMIT = 256
# An address that never answers is tried with half the chance each time, down
# to once in 32 rounds: it may be a part of the mesh that is cut off for an
# hour, but most likely it belongs to a node that was replaced.
_MAX_HALVINGS = 5


@attrs.define(eq=False)
class BootstrapContacts:
    """Keeps the addresses that are worth a try.

    Attributes:
        random: Source of randomness.
        attempts: How often each address was tried.
        newest_at_ms: When the newest record that was read was written.
        newest_addresses: Addresses that the newest record names.
        skipped_records: Records that could not be read, for the metrics.
    """

    random: random.Random
    attempts: dict[str, int] = attrs.field(factory=dict)
    newest_at_ms: int = 0
    newest_addresses: frozenset[str] = frozenset()
    skipped_records: int = 0

    def add(self, addresses: Iterable[str]) -> None:
        """Takes addresses from the settings."""
        for address in addresses:
            self.attempts.setdefault(address, 0)
        while len(self.attempts) > _ADDRESS_LIMIT:
            del self.attempts[next(iter(self.attempts))]

    def add_records(self, records: Iterable[bytes]) -> None:
        """Takes records from the end of the stream, in their order."""
        for data in records:
            self._take_record(data)

    def _take_record(self, data: bytes) -> None:
        # Unlike the configuration, a record that is not understood changes
        # nothing that nodes have to agree on; so it is passed over.
        try:
            record = decode(data, KINDS)
        except SchemaError:
            self.skipped_records += 1
            return
        if isinstance(record, AnnounceRecord):
            self._take_contacts([record.peer_address], record.at_ms)
        elif isinstance(record, ContactsRecord):
            addresses = [item.peer_address for item in record.contacts]
            self._take_contacts(addresses, record.at_ms)
        else:
            self.skipped_records += 1

    def _take_contacts(self, addresses: list[str], at_ms: int) -> None:
        self.add(address for address in addresses if address)
        self.newest_at_ms = at_ms
        self.newest_addresses = frozenset(addresses)

    def next_addresses(self, own_address: str) -> list[str]:
        """Returns the addresses to try next, those tried least often first."""
        ranked = sorted(
            (tries, self.random.random(), address)
            for address, tries in self.attempts.items()
            if address != own_address
        )
        chosen = [address for _, _, address in ranked[:TRIES_AT_ONCE]]
        for address in chosen:
            self.attempts[address] += 1
        return chosen

    def next_unknown_addresses(self, known: Collection[str]) -> list[str]:
        """Returns addresses outside the own part of the mesh to try next.

        Parts that started apart, or lost each other for longer than they
        remember, meet through each other's records.

        Args:
            known: Addresses of the members that are present, and the own one.
        """
        chosen = [
            address
            for address, tries in self.attempts.items()
            if address not in known
            and self.random.random() < 0.5 ** min(tries, _MAX_HALVINGS)
        ]
        for address in chosen:
            self.attempts[address] += 1
        return chosen[:TRIES_AT_ONCE]

    def has_unattempted(self, own_address: str) -> bool:
        """Tells whether an address was never tried."""
        return any(
            not tries
            for address, tries in self.attempts.items()
            if address != own_address
        )

    def announce_wait_ms(self, read_ms: int) -> int:
        """Returns how long to wait before the own announcement.

        Args:
            read_ms: Time that the last read of the log took.
        """
        window_ms = max(_MIN_WAIT_MS, _WAIT_PER_READ * read_ms)
        return self.random.randrange(min(window_ms, _MAX_WAIT_MS))

    def needs_refresh(self, present: Collection[str], wall_ms: int) -> bool:
        """Tells whether a new record with contacts should be written.

        Args:
            present: Addresses of the members that are present, the own one
                included.
            wall_ms: Time since the epoch.
        """
        if wall_ms - self.newest_at_ms >= REFRESH_MS:
            return True
        # With most of the named members gone, a herd that returns would find
        # nobody and start a mesh of its own beside the members that are left.
        wanted = min(len(present), CONTACTS_PER_RECORD)
        alive = sum(address in present for address in self.newest_addresses)
        return 2 * alive < wanted or len(self.newest_addresses) < wanted


def maintains_contacts(table: MemberTable) -> bool:
    """Tells whether this node looks after the contacts in the log.

    Every node ranks the members that are present by a hash; the first one acts.
    Views that differ make two nodes write, which costs one record more.
    """
    own = _rank(table.own)
    return all(own <= _rank(entry) for entry in table.present())


def _rank(entry: MemberEntry) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(entry.node.encode()), entry.node


def contacts_record(
    table: MemberTable, source: random.Random, wall_ms: int
) -> ContactsRecord:
    """Returns a record that names some of the members that are present."""
    members = [table.own, *table.present()]
    reachable = [entry for entry in members if entry.peer_address]
    count = min(CONTACTS_PER_RECORD, len(reachable))
    return ContactsRecord(
        node=table.own.node,
        at_ms=wall_ms,
        contacts=tuple(
            Contact(node=entry.node, peer_address=entry.peer_address)
            for entry in source.sample(reachable, count)
        ),
    )
