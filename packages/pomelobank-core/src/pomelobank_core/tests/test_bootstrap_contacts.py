"""Finding a first member."""

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


def finder() -> BootstrapContacts:
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
    contact = finder()
    single = AnnounceRecord(node="a", peer_address=address(9), at_ms=1)
    contact.add_records([encode(single), contacts(2)])
    assert set(contact.attempts) == {address(9), address(0), address(1)}
    assert contact.newest_addresses == {address(0), address(1)}
    assert contact.skipped_records == 0


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
def test_unreadable_records_are_passed_over(record: bytes) -> None:
    """A newer version, or a stray writer, appends what this one cannot read.

    A starting node that stopped there would never join the mesh.
    """
    contact = finder()
    contact.add_records([record, contacts(1)])
    assert contact.skipped_records == 1
    assert set(contact.attempts) == {address(0)}


@given(st.lists(st.binary(max_size=64), max_size=8))
def test_any_bytes_are_passed_over(records: list[bytes]) -> None:
    contact = finder()
    contact.add_records(records)
    assert contact.skipped_records <= len(records)


def test_every_address_gets_its_turn() -> None:
    contact = finder()
    contact.add([OWN, *(address(index) for index in range(7))])
    tried = set()
    while contact.has_unattempted(OWN):
        tried.update(contact.next_addresses(OWN))
    assert tried == {address(index) for index in range(7)}


def test_few_of_a_herd_announce_themselves() -> None:
    """A thousand nodes start in the same second on an empty log.

    Each would append a record; the log takes several hundred a second and is
    shared with the configuration, which would wait behind them. Those whose
    wait ends before the first record can be read are the ones that append.
    """
    read_ms = 20
    waits = sorted(
        BootstrapContacts(random.Random(seed)).announce_wait_ms(read_ms)
        for seed in range(1000)
    )
    readable_ms = waits[0] + 2 * read_ms
    assert sum(wait <= readable_ms for wait in waits) <= 60


def test_a_slow_log_stretches_the_wait() -> None:
    waits = [finder().announce_wait_ms(read_ms) for read_ms in (1, 100, 10**6)]
    assert waits == sorted(waits)
    assert waits[-1] <= 30_000


def test_one_member_looks_after_the_contacts() -> None:
    count = 20
    acting = [maintains_contacts(table(index, count)) for index in range(count)]
    assert acting.count(True) == 1


@pytest.mark.parametrize(
    ("named", "present", "age_ms", "expected"),
    [
        pytest.param(3, 3, 0, False, id="fresh"),
        pytest.param(3, 3, 300_000, True, id="old"),
        pytest.param(1, 3, 0, True, id="names-too-few"),
        pytest.param(16, 1000, 0, False, id="names-enough"),
        pytest.param(6, 2, 0, False, id="survivors-are-named"),
    ],
)
def test_needs_refresh(
    named: int, present: int, age_ms: int, expected: bool
) -> None:
    contact = finder()
    contact.add_records([contacts(named)])
    addresses = {address(index) for index in range(present)}
    assert contact.needs_refresh(addresses, NOW_MS + age_ms) is expected


def test_a_record_without_the_present_members_is_replaced() -> None:
    contact = finder()
    contact.add_records([contacts(4)])
    addresses = {address(index) for index in range(3, 7)}
    assert contact.needs_refresh(addresses, NOW_MS)


def test_strangers_are_tried_less_and_less() -> None:
    contact = finder()
    contact.add([address(0), address(1)])
    tries = [
        len(contact.next_unknown_addresses({address(1)})) for _ in range(400)
    ]
    assert tries[0] == 1
    assert 5 <= sum(tries) <= 60


def test_a_record_names_at_most_sixteen() -> None:
    record = contacts_record(table(0, 40), random.Random(1), NOW_MS)
    assert len({item.node for item in record.contacts}) == 16
