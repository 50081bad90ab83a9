"""Tests of the contacts of a starting node."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomelobank_core import (
    BootstrapContacts,
    MemberTable,
    contacts_record,
    maintains_contacts,
)
from pomelobank_schema import encode
from pomelobank_schema.generated.peer import MemberEntry
from pomelobank_schema.generated.records import (
    AnnounceRecord,
    ChangeRecord,
    Contact,
    ContactsRecord,
)

NOW_MS = 1_000_000
OWN = "127.0.0.1:1"


def new_contacts() -> BootstrapContacts:
    return BootstrapContacts(random.Random(1))


def address(index: int) -> str:
    return f"127.0.0.1:{1000 + index}"


def contacts(count: int, at_ms: int = NOW_MS) -> bytes:
    named = tuple(
        Contact(node=f"n{index}", peer_address=address(index))
        for index in range(count)
    )
    return encode(ContactsRecord(node="n0", at_ms=at_ms, contacts=named))


def table(own: int, count: int) -> MemberTable:
    entries = [
        MemberEntry(node=f"n{index}", peer_address=address(index))
        for index in range(count)
    ]
    members = MemberTable(entries[own])
    members.merge(entries)
    return members


def test_records_of_both_kinds_name_contacts() -> None:
    known_contacts = new_contacts()
    single = AnnounceRecord(node="a", peer_address=address(9), at_ms=1)
    known_contacts.add_records([encode(single), contacts(2)])
    assert set(known_contacts.attempts) == {address(9), address(0), address(1)}
    assert known_contacts.newest_addresses == {address(0), address(1)}
    assert known_contacts.skipped_records == 0


@pytest.mark.parametrize(
    "record",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\xc1 not msgpack", id="not-msgpack"),
        pytest.param(b"\x91\xcd\x03\xe7", id="unknown-kind"),
        pytest.param(encode(ChangeRecord(change_id="c")), id="other-kind"),
        pytest.param(b"\x92\x0b\x01", id="wrong-type"),
    ],
)
def test_unreadable_records_are_skipped(record: bytes) -> None:
    """A newer version or a faulty writer appends an unreadable record.

    A starting node that stopped at the record would never join the mesh.
    """
    known_contacts = new_contacts()
    known_contacts.add_records([record, contacts(1)])
    assert known_contacts.skipped_records == 1
    assert set(known_contacts.attempts) == {address(0)}


@given(st.lists(st.binary(max_size=64), max_size=8))
def test_any_bytes_are_skipped(records: list[bytes]) -> None:
    known_contacts = new_contacts()
    known_contacts.add_records(records)
    assert known_contacts.skipped_records <= len(records)


def test_every_address_is_attempted() -> None:
    known_contacts = new_contacts()
    known_contacts.add([OWN, *(address(index) for index in range(7))])
    attempted = set()
    while known_contacts.has_unattempted(OWN):
        attempted.update(known_contacts.next_addresses(OWN))
    assert attempted == {address(index) for index in range(7)}


def test_few_of_many_starting_nodes_announce_themselves() -> None:
    """A thousand nodes start in the same second on an empty log.

    If each node appended a record, the configuration's appends would wait
    behind these records, because the log takes only several hundred appends a
    second. A node appends only if its wait ends before it can read the first
    record.
    """
    read_ms = 20
    waits = sorted(
        BootstrapContacts(random.Random(seed)).announce_wait_ms(read_ms)
        for seed in range(1000)
    )
    readable_ms = waits[0] + 2 * read_ms
    assert sum(wait <= readable_ms for wait in waits) <= 60


def test_a_slow_log_lengthens_the_wait() -> None:
    waits = [
        new_contacts().announce_wait_ms(read_ms) for read_ms in (1, 100, 10**6)
    ]
    assert waits == sorted(waits)
    assert waits[-1] <= 30_000


def test_one_member_maintains_the_contacts() -> None:
    count = 20
    maintaining = [
        maintains_contacts(table(index, count)) for index in range(count)
    ]
    assert maintaining.count(True) == 1


@pytest.mark.parametrize(
    ("named", "present", "age_ms", "expected"),
    [
        pytest.param(3, 3, 0, False, id="fresh"),
        pytest.param(3, 3, 300_000, True, id="old"),
        pytest.param(1, 3, 0, True, id="names-too-few"),
        pytest.param(16, 1000, 0, False, id="names-enough"),
        pytest.param(6, 2, 0, False, id="remaining-members-are-named"),
    ],
)
def test_needs_refresh(
    named: int, present: int, age_ms: int, expected: bool
) -> None:
    known_contacts = new_contacts()
    known_contacts.add_records([contacts(named)])
    addresses = {address(index) for index in range(present)}
    assert known_contacts.needs_refresh(addresses, NOW_MS + age_ms) is expected


def test_a_record_without_the_present_members_is_replaced() -> None:
    known_contacts = new_contacts()
    known_contacts.add_records([contacts(4)])
    addresses = {address(index) for index in range(3, 7)}
    assert known_contacts.needs_refresh(addresses, NOW_MS)


def test_unknown_addresses_are_attempted_less_and_less() -> None:
    known_contacts = new_contacts()
    known_contacts.add([address(0), address(1)])
    attempts = [
        len(known_contacts.next_unknown_addresses({address(1)}))
        for _ in range(400)
    ]
    assert attempts[0] == 1
    assert 5 <= sum(attempts) <= 60


def test_a_record_names_at_most_sixteen_members() -> None:
    record = contacts_record(table(0, 40), random.Random(1), NOW_MS)
    assert len({item.node for item in record.contacts}) == 16
