"""Decides how a starting node finds a first member."""

import random
from collections.abc import Iterable

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


@attrs.define(eq=False)
class FirstContact:
    """Keeps the addresses that are worth a try.

    Attributes:
        random: Source of randomness.
        tries: How often each address was tried.
        newest_at_ms: When the newest record that was read was written.
        newest_count: Members that the newest record names.
        skipped_records: Records that could not be read, for the metrics.
    """

    random: random.Random
    tries: dict[str, int] = attrs.field(factory=dict)
    newest_at_ms: int = 0
    newest_count: int = 0
    skipped_records: int = 0

    def add(self, addresses: Iterable[str]) -> None:
        """Takes addresses from the settings."""
        for address in addresses:
            self.tries.setdefault(address, 0)

    def take_records(self, records: Iterable[bytes]) -> None:
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
        self.newest_count = len(addresses)

    def next_addresses(self, own_address: str) -> list[str]:
        """Returns the addresses to try next, those tried least often first."""
        ranked = sorted(
            (tries, self.random.random(), address)
            for address, tries in self.tries.items()
            if address != own_address
        )
        chosen = [address for _, _, address in ranked[:TRIES_AT_ONCE]]
        for address in chosen:
            self.tries[address] += 1
        return chosen

    def untried(self, own_address: str) -> bool:
        """Tells whether an address was never tried."""
        return any(
            not tries
            for address, tries in self.tries.items()
            if address != own_address
        )

    def announce_wait_ms(self, read_ms: int) -> int:
        """Returns how long to wait before the own announcement.

        Args:
            read_ms: Time that the last read of the log took.
        """
        window_ms = max(_MIN_WAIT_MS, _WAIT_PER_READ * read_ms)
        return self.random.randrange(min(window_ms, _MAX_WAIT_MS))

    def needs_refresh(self, present: int, wall_ms: int) -> bool:
        """Tells whether a new record with contacts should be written.

        Args:
            present: Members that are present, the own node included.
            wall_ms: Time since the epoch.
        """
        wanted = min(present, CONTACTS_PER_RECORD)
        old = wall_ms - self.newest_at_ms >= REFRESH_MS
        return old or self.newest_count < wanted


def is_announcer(table: MemberTable) -> bool:
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
