"""Finds a first member through seed addresses and the log."""

import asyncio
import logging
import random

import attrs

from pomelobank_core import (
    TAIL_RECORDS,
    BootstrapContacts,
    Clock,
    Swim,
    contacts_record,
    maintains_contacts,
)
from pomelobank_node._log import (
    MEMBERS_STREAM,
    Log,
    LogError,
    LogPage,
    read_retained,
)
from pomelobank_node._peer_links import PeerLinks
from pomelobank_node._requests import RequestError
from pomelobank_schema import encode
from pomelobank_schema.generated.records import AnnounceRecord

_logger = logging.getLogger(__name__)
_MS_PER_S = 1000
# Twice the way there and back between data centres; more means a slow log.
_USUAL_READ_MS = 20
# Time that a member gets to answer a first contact.
_ANSWER_S = 1.0
_FIRST_RETRY_MS = 100
_MAX_RETRY_MS = 5000
# Pause of the nodes that do not look after the contacts, before they see
# whether it has become their turn.
_REFRESH_CHECK_S = 1.5
# One node of the fleet looks, and hears of new records while it waits.
_LOOK_MS = 5000


@attrs.define(eq=False)
class ContactFinder:
    """Joins the mesh, then keeps the contacts in the log fresh.

    Attributes:
        contacts: Decides whom to try and when to announce.
        swim: The node's membership.
        log: Where contacts are announced.
        links: Streams to peers.
        clock: Tells the time.
        joined: Set while another member is known to be present.
        announced: Whether this start of the node announced itself.
        next_offset: Offset after the last record that was read.
        announcements: Records appended, for the metrics.
    """

    contacts: BootstrapContacts
    swim: Swim
    log: Log
    links: PeerLinks
    clock: Clock
    joined: asyncio.Event = attrs.field(factory=asyncio.Event)
    announced: bool = False
    next_offset: int = 0
    announcements: int = 0

    async def run(self) -> None:
        """Joins, then looks after the contacts until it is cancelled."""
        retry_ms = _FIRST_RETRY_MS
        while not await self._join():
            # Full jitter: nodes that started together would otherwise come
            # back to the log and the seeds in the same instant.
            await _sleep_ms(random.uniform(0, retry_ms))
            retry_ms = min(2 * retry_ms, _MAX_RETRY_MS)
        while True:
            if not maintains_contacts(self.swim.table):
                pause_s = _REFRESH_CHECK_S * random.uniform(0.5, 1.5)
                await asyncio.sleep(pause_s)
                continue
            begun_ms = self.clock.now_ms()
            await self._look_after_contacts()
            left_ms = begun_ms + _LOOK_MS - self.clock.now_ms()
            # A log that fails, or knows no such stream, does not wait.
            await _sleep_ms(max(0, left_ms))

    async def _join(self) -> bool:
        try:
            return await self._join_by_contacts() or await self._join_by_log()
        except LogError as error:
            _logger.warning("members.log_failed", extra={"error": str(error)})
            return self.joined.is_set()

    async def _join_by_contacts(self) -> bool:
        own = self.swim.table.own.peer_address
        addresses = self.contacts.next_addresses(own)
        tries = [self._try(address) for address in addresses]
        if any(await asyncio.gather(*tries)):
            await self._wait_joined(_ANSWER_S)
        return self.joined.is_set()

    async def _try(self, address: str) -> bool:
        try:
            await self.links.to(address).send(
                self.swim.sync_request(address).frame
            )
        except RequestError:
            return False
        return True

    async def _wait_joined(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self.joined.wait()
        except TimeoutError:
            return

    async def _join_by_log(self) -> bool:
        late_ms = await self._await_contacts(_USUAL_READ_MS)
        if await self._join_by_new_contacts():
            return True
        if self.announced:
            return False
        if late_ms > _USUAL_READ_MS:
            # What others append shows late as well.
            await self._await_contacts(late_ms)
            if await self._join_by_new_contacts():
                return True
        await self._announce()
        # Two nodes may both have read before the other's append; the later
        # one finds the earlier one's record now.
        await self._read_contacts(0)
        return await self._join_by_new_contacts()

    async def _await_contacts(self, read_ms: int) -> int:
        """Reads contacts, and waits for the first one where there is none.

        One record is enough for all that start together: each waits for a
        random time, in the read itself, before it announces itself.

        Args:
            read_ms: Time that a read of the log takes.

        Returns:
            How much longer the read took than it was meant to wait.
        """
        wait_ms = self.contacts.announce_wait_ms(read_ms)
        begun_ms = self.clock.now_ms()
        await self._read_contacts(wait_ms)
        left_ms = begun_ms + wait_ms - self.clock.now_ms()
        if self.next_offset or left_ms <= 0:
            return max(0, -left_ms)
        # A stream without any record yet may be answered at once.
        await self._wait_joined(left_ms / _MS_PER_S)
        if not self.joined.is_set():
            await self._read_contacts(0)
        return 0

    async def _join_by_new_contacts(self) -> bool:
        own = self.swim.table.own.peer_address
        while not self.joined.is_set() and self.contacts.has_unattempted(own):
            await self._join_by_contacts()
        return self.joined.is_set()

    async def _read_contacts(self, wait_ms: int) -> None:
        page = await self._read_on(wait_ms)
        if page.end_offset > page.next_offset + TAIL_RECORDS:
            # Old records name members that were most likely replaced.
            self.next_offset = page.end_offset - TAIL_RECORDS
            page = await self._read_on(0)
        self.contacts.add_records(page.records)

    async def _read_on(self, wait_ms: int) -> LogPage:
        page = await read_retained(
            self.log, MEMBERS_STREAM, self.next_offset, TAIL_RECORDS, wait_ms
        )
        self.next_offset = page.next_offset
        return page

    async def _announce(self) -> None:
        own = self.swim.table.own
        record = AnnounceRecord(
            node=own.node,
            incarnation=own.incarnation,
            data_centre=own.data_centre,
            peer_address=own.peer_address,
            at_ms=self.clock.wall_ms(),
        )
        self.announcements += 1
        await self.log.append(MEMBERS_STREAM, encode(record))
        self.announced = True

    async def _look_after_contacts(self) -> None:
        try:
            # First of all: a node that restarts meanwhile finds nobody through
            # a record that names only itself.
            await self._refresh()
            await self._read_contacts(_LOOK_MS)
            known = self._present_addresses()
            strangers = self.contacts.next_unknown_addresses(known)
            await asyncio.gather(*(self._try(item) for item in strangers))
        except LogError as error:
            _logger.warning("members.log_failed", extra={"error": str(error)})

    async def _refresh(self) -> None:
        wall_ms = self.clock.wall_ms()
        if self.contacts.needs_refresh(self._present_addresses(), wall_ms):
            source = self.swim.random
            record = contacts_record(self.swim.table, source, wall_ms)
            self.announcements += 1
            await self.log.append(MEMBERS_STREAM, encode(record))

    def _present_addresses(self) -> set[str]:
        table = self.swim.table
        return {entry.peer_address for entry in (table.own, *table.present())}


async def _sleep_ms(pause_ms: float) -> None:
    await asyncio.sleep(pause_ms / _MS_PER_S)
