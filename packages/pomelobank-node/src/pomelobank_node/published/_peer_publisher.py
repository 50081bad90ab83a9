"""Tells peers of published configurations."""

import asyncio
import logging
import random
from collections.abc import Iterable

import attrs

from pomelobank_core import MemberState, MemberTable
from pomelobank_node._peer_links import PeerLinks
from pomelobank_node._requests import RequestError
from pomelobank_node.published._packing import pack
from pomelobank_node.published._store import PublishedStore
from pomelobank_schema import WireMessage
from pomelobank_schema.generated.peer import (
    DocumentPush,
    MemberEntry,
    VersionDigest,
)

_logger = logging.getLogger(__name__)

# Neighbours that the reader sends the document to. Each of them tells all
# others, who ask whoever told them first. The reader may be on a line of
# 2.5 Mbit/s, which takes a quarter of a second for a document of 350 KB that
# is packed to a fifth; four of them are there within a second.
NEAR_PUSHED = 4
# Age of the newest read in the digest of a node that cannot read.
NO_READ_AGE_MS = -1


@attrs.define(eq=False)
class PeerPublisher:
    """Sends documents and digests to peers.

    Attributes:
        store: The configuration in force.
        members: The members that the node knows.
        links: Streams to peers.
        rng: Source of randomness.
        pushes: The document in force, packed, by the version that the
            receiver has. To pack it takes milliseconds, and many may ask for
            it at once.
    """

    store: PublishedStore
    members: MemberTable
    links: PeerLinks
    rng: random.Random
    pushes: dict[int, DocumentPush] = attrs.field(factory=dict)
    sends: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def stop(self) -> None:
        """Ends what is being sent."""
        sends = list(self.sends)
        for task in sends:
            task.cancel()
        await asyncio.gather(*sends, return_exceptions=True)

    def local_members(self) -> list[MemberEntry]:
        """Returns the members of the own data centre."""
        return [item for item in self.healthy_members() if self.is_local(item)]

    def remote_members(self) -> list[MemberEntry]:
        """Returns the members of other data centres."""
        return [
            item for item in self.healthy_members() if not self.is_local(item)
        ]

    def is_local(self, entry: MemberEntry) -> bool:
        """Tells whether a member is in the own data centre."""
        return entry.data_centre == self.members.own.data_centre

    def healthy_members(self) -> list[MemberEntry]:
        """Returns the members that are not in doubt."""
        suspect = MemberState.SUSPECT.value
        return [
            item for item in self.members.present() if item.state != suspect
        ]

    def publish_version(
        self,
        read_age_ms: int,
        previous_version: int,
        relays: Iterable[MemberEntry],
    ) -> None:
        """Tells of a version that was just read from the source.

        Args:
            read_age_ms: Age of the newest read.
            previous_version: The version that was in force until then; most
                neighbours have it too.
            relays: The members that inform the other data centres.
        """
        told = {entry.node: entry for entry in (*relays, *self._some_far())}
        digest = self.digest(read_age_ms, heartbeat=False)
        self.send(told.values(), digest)
        near = self.local_members()
        pushed = self.rng.sample(near, min(NEAR_PUSHED, len(near)))
        self.send(pushed, self.document_push(previous_version))

    def _some_far(self) -> list[MemberEntry]:
        # A relay may have just died, so one more of each data centre is told.
        far = self.remote_members()
        self.rng.shuffle(far)
        return list({entry.data_centre: entry for entry in far}.values())

    def digest(self, read_age_ms: int, heartbeat: bool) -> VersionDigest:
        """Returns the own version and the age of the newest read."""
        return VersionDigest(
            version=self.store.version,
            address=self.members.own.peer_address,
            heard_version=self.store.version,
            log_age_ms=read_age_ms,
            heartbeat=heartbeat,
            ready=self.store.ready,
        )

    def document_push(self, base_version: int) -> DocumentPush:
        """Returns the document in force.

        Args:
            base_version: Version that the receiver has; 0 for none.
        """
        push = self.pushes.get(base_version)
        if push is not None and push.version == self.store.version:
            return push
        self.pushes = {
            base: item
            for base, item in self.pushes.items()
            if item.version == self.store.version
        }
        push = self.pushes[base_version] = self._pack(base_version)
        return push

    def _pack(self, base_version: int) -> DocumentPush:
        base = self.store.document(base_version)
        if base_version and not base:
            return self.document_push(0)
        return DocumentPush(
            data=pack(self.store.data, base),
            version=self.store.version,
            base_version=base_version,
            address=self.members.own.peer_address,
        )

    def send(self, to: Iterable[MemberEntry], frame: WireMessage) -> None:
        """Sends a frame to members."""
        for entry in to:
            self.post(entry.peer_address, frame)

    def post(self, address: str, frame: WireMessage) -> None:
        """Sends a frame to one address, without waiting for it."""
        if not address:
            return
        task = asyncio.create_task(self._deliver(address, frame))
        self.sends.add(task)
        task.add_done_callback(self.sends.discard)

    async def _deliver(self, address: str, frame: WireMessage) -> None:
        try:
            await self.links.to(address).send(frame)
        except RequestError as error:
            _logger.debug(
                "config.not_told",
                extra={"peer": address, "error": error.kind.value},
            )
