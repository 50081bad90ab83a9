"""Finds the first members to contact, through seed addresses and the log."""

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
# Read time of the log that is taken as normal: twice the round trip between
# data centres. A longer read shows a slow log.
_EXPECTED_READ_MS = 20
# Time within which a contacted member has to answer.
_JOIN_TIMEOUT_S = 1.0
_FIRST_RETRY_MS = 100
_MAX_RETRY_MS = 5000
# Mean period after which a node that does not maintain the contacts checks
# whether that role has passed to it.
_ROLE_CHECK_PERIOD_S = 1.5
# Period in which the one node of the fleet that has this role maintains the
# contacts. The node long-polls the log meanwhile, so it gets new records at
# once.
_MAINTENANCE_PERIOD_MS = 5000


@attrs.define(eq=False)
class ContactFinder:
    """Joins the mesh, then keeps the contacts in the log up to date.

    Attributes:
        contacts: Decides which addresses to contact and when to announce.
        swim: The node's membership state.
        log: Client of the log that holds the contacts.
        links: Streams to peers.
        clock: Monotonic and wall clock.
        joined: Set while another member is known to be present.
        announced: Whether this process has announced its node in the log.
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

    def __attrs_post_init__(self) -> None:
        self.log.era.on_change.append(self._on_new_era)

    def _on_new_era(self) -> None:
        # The announcements that this node read or wrote may be lost.
        self.next_offset = 0
        self.announced = False
        self.contacts.require_refresh()

    async def run(self) -> None:
        """Joins the mesh, then maintains the contacts until cancelled."""
        retry_ms = _FIRST_RETRY_MS
        while not await self._join():
            # Full jitter: otherwise nodes that started together would call the
            # log and the seeds again at the same time.
            await _sleep_ms(random.uniform(0, retry_ms))
            retry_ms = min(2 * retry_ms, _MAX_RETRY_MS)
        while True:
            if not maintains_contacts(self.swim.table):
                pause_s = _ROLE_CHECK_PERIOD_S * random.uniform(0.5, 1.5)
                await asyncio.sleep(pause_s)
                continue
            started_ms = self.clock.now_ms()
            await self._maintain_contacts()
            remaining_ms = (
                started_ms + _MAINTENANCE_PERIOD_MS - self.clock.now_ms()
            )
            # A read returns at once if the log fails or does not know the
            # stream, so this sleep fills the rest of the period.
            await _sleep_ms(max(0, remaining_ms))

    async def _join(self) -> bool:
        try:
            return await self._join_by_contacts() or await self._join_by_log()
        except LogError as error:
            _logger.warning("members.log_failed", extra={"error": str(error)})
            return self.joined.is_set()

    async def _join_by_contacts(self) -> bool:
        own = self.swim.table.own.peer_address
        addresses = self.contacts.next_addresses(own)
        attempts = [self._send_sync_request(address) for address in addresses]
        if any(await asyncio.gather(*attempts)):
            await self._wait_joined(_JOIN_TIMEOUT_S)
        return self.joined.is_set()

    async def _send_sync_request(self, address: str) -> bool:
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
        excess_ms = await self._await_contacts(_EXPECTED_READ_MS)
        if await self._join_by_new_contacts():
            return True
        if self.announced:
            return False
        if excess_ms > _EXPECTED_READ_MS:
            # On a slow log, the records of other nodes become visible late
            # as well, so the node waits once more before it announces.
            await self._await_contacts(excess_ms)
            if await self._join_by_new_contacts():
                return True
        await self._announce()
        # Two nodes may both have read the log before the other's append. The
        # node whose record came later finds the earlier record in this read.
        await self._read_contacts(0)
        return await self._join_by_new_contacts()

    async def _await_contacts(self, read_ms: int) -> int:
        """Reads contacts; waits for the first record if there is none.

        One record is enough for all nodes that start together: each node waits
        for a random time, within the long poll itself, before it announces.

        Args:
            read_ms: Time in ms that a read of the log takes.

        Returns:
            Time in ms by which the read took longer than its wait.
        """
        wait_ms = self.contacts.announce_wait_ms(read_ms)
        started_ms = self.clock.now_ms()
        await self._read_contacts(wait_ms)
        remaining_ms = started_ms + wait_ms - self.clock.now_ms()
        if self.next_offset or remaining_ms <= 0:
            return max(0, -remaining_ms)
        # The log may answer a read of an empty stream without waiting, so the
        # node waits for the remaining time here.
        await self._wait_joined(remaining_ms / _MS_PER_S)
        if not self.joined.is_set():
            await self._read_contacts(0)
        return 0

    async def _join_by_new_contacts(self) -> bool:
        own = self.swim.table.own.peer_address
        while not self.joined.is_set() and self.contacts.has_unattempted(own):
            await self._join_by_contacts()
        return self.joined.is_set()

    async def _read_contacts(self, wait_ms: int) -> None:
        page = await self._read_next_page(wait_ms)
        if page.end_offset > page.next_offset + TAIL_RECORDS:
            # Members named in older records have most likely been replaced.
            self.next_offset = page.end_offset - TAIL_RECORDS
            page = await self._read_next_page(0)
        self.contacts.add_records(page.records)

    async def _read_next_page(self, wait_ms: int) -> LogPage:
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

    async def _maintain_contacts(self) -> None:
        try:
            # The refresh comes before the long poll: a node that restarts
            # during the poll cannot join through a record that names only the
            # restarting node.
            await self._refresh()
            await self._read_contacts(_MAINTENANCE_PERIOD_MS)
            present_addresses = self._present_addresses()
            unknown_addresses = self.contacts.next_unknown_addresses(
                present_addresses
            )
            await asyncio.gather(
                *(self._send_sync_request(item) for item in unknown_addresses)
            )
        except LogError as error:
            _logger.warning("members.log_failed", extra={"error": str(error)})

    async def _refresh(self) -> None:
        wall_ms = self.clock.wall_ms()
        if self.contacts.needs_refresh(self._present_addresses(), wall_ms):
            rng = self.swim.random
            record = contacts_record(self.swim.table, rng, wall_ms)
            self.announcements += 1
            await self.log.append(MEMBERS_STREAM, encode(record))

    def _present_addresses(self) -> set[str]:
        table = self.swim.table
        return {entry.peer_address for entry in (table.own, *table.present())}


async def _sleep_ms(pause_ms: float) -> None:
    await asyncio.sleep(pause_ms / _MS_PER_S)
