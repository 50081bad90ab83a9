"""Finds the other members and keeps the table of them up to date."""

import asyncio
import logging
import random

import attrs

from pomelobank_core import Clock, MemberTable
from pomelobank_node._config_store import ConfigStore
from pomelobank_node._log_client import MEMBERS_STREAM, LogClient, LogError
from pomelobank_node._peer_links import PeerLinks
from pomelobank_node._requests import RequestError
from pomelobank_schema import SchemaError, decode, encode
from pomelobank_schema.generated import records
from pomelobank_schema.generated.peer import Gossip
from pomelobank_schema.generated.records import AnnounceRecord
from pomelobank_schema.generated.settings import MembershipSettings

_logger = logging.getLogger(__name__)
_MS_PER_S = 1000
_ANNOUNCE_LIMIT = 2000
_FANOUT = 2


@attrs.define(eq=False)
class Membership:
    """Gossips with a few members every period.

    Attributes:
        table: What is known.
        settings: Period and seeds.
        log: Where first contacts are announced.
        links: Streams to peers.
        store: Tells the version in force.
        clock: Tells the time.
        contacts: Peers' addresses that are worth a first contact.
    """

    table: MemberTable
    settings: MembershipSettings
    log: LogClient
    links: PeerLinks
    store: ConfigStore
    clock: Clock
    contacts: set[str] = attrs.field(factory=set)
    task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts the gossiping task."""
        self.contacts.update(self.settings.seeds)
        self.task = asyncio.create_task(self._run(), name="membership")

    async def stop(self) -> None:
        """Ends the gossiping task."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    def receive(self, gossip: Gossip) -> None:
        """Takes what a peer knows."""
        self.table.merge(gossip.members)
        if gossip.members:
            sender = gossip.members[0].node
            self.table.heard(sender, self.clock.now_ms())

    async def tell_all(self) -> None:
        """Sends the own entry straight to every member."""
        own = Gossip(members=(self.table.own,))
        await asyncio.gather(
            *(
                self._send(entry.peer_address, own)
                for entry in list(self.table.others.values())
            )
        )

    async def _run(self) -> None:
        await self._announce()
        while True:
            await self._round()
            pause_ms = self.settings.period_ms * random.uniform(0.8, 1.2)
            await asyncio.sleep(pause_ms / _MS_PER_S)

    async def _announce(self) -> None:
        own = self.table.own
        record = AnnounceRecord(
            node=own.node,
            incarnation=own.incarnation,
            data_centre=own.data_centre,
            peer_address=own.peer_address,
            at_ms=self.clock.wall_ms(),
        )
        try:
            await self.log.append(MEMBERS_STREAM, encode(record))
            await self._read_contacts()
        except LogError as error:
            _logger.warning("members.log_failed", extra={"error": str(error)})

    async def _read_contacts(self) -> None:
        offset = 0
        while True:
            try:
                page = await self.log.read(
                    MEMBERS_STREAM, offset, _ANNOUNCE_LIMIT, 0
                )
            except LogError as error:
                if not error.first_offset:
                    raise
                offset = error.first_offset
                continue
            for data in page.records:
                self._take_contact(data)
            offset = page.next_offset
            if offset >= page.end_offset:
                return

    def _take_contact(self, data: bytes) -> None:
        try:
            record = decode(data, records.KINDS)
        except SchemaError:
            return
        if isinstance(record, AnnounceRecord):
            self.contacts.add(record.peer_address)

    async def _round(self) -> None:
        if self.table.own.version != self.store.version:
            self.table.update_own(version=self.store.version)
        silence_ms = self.settings.period_ms * self.settings.suspicion_rounds
        self.table.expire(self.clock.now_ms(), 4 * silence_ms)
        gossip = Gossip(members=tuple(self.table.all()))
        await asyncio.gather(
            *(self._send(address, gossip) for address in self._chosen())
        )

    def _chosen(self) -> list[str]:
        known = {
            entry.peer_address
            for entry in self.table.others.values()
            if entry.peer_address
        }
        fresh = self.contacts - known - {self.table.own.peer_address}
        chosen = random.sample(sorted(known), min(_FANOUT, len(known)))
        chosen += random.sample(sorted(fresh), min(_FANOUT, len(fresh)))
        return chosen

    async def _send(self, address: str, gossip: Gossip) -> None:
        try:
            await self.links.to(address).send(gossip)
        except RequestError:
            self.contacts.discard(address)
