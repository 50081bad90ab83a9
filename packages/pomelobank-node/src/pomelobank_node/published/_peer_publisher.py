"""Sends published configurations and their versions to peers."""

import asyncio
import logging
import random
from collections.abc import Iterable

import attrs

from pomelobank_core import Clock, MemberState, MemberTable
from pomelobank_node._peer_links import PeerLinks
from pomelobank_node._requests import RequestError
from pomelobank_node.published._packing import pack
from pomelobank_node.published._store import PublishedStore
from pomelobank_node.rollouts import RolloutRegistry
from pomelobank_schema import WireMessage
from pomelobank_schema.generated.peer import (
    DocumentPush,
    MemberEntry,
    VersionDigest,
)

_logger = logging.getLogger(__name__)

# Maximum number of peers in its own data centre to which a reader sends a new
# document. Each of these peers notifies all other nodes there, which pull the
# document from the first peer that notified them. The reader's network link may
# have 2.5 Mbit/s, and a document of 350 KB, compressed to a fifth, takes a
# quarter of a second on it; so four documents arrive within a second.
MAX_LOCAL_PUSHES = 4
# Value of `log_age_ms` in the digest of a node that cannot read the source.
NO_READ_AGE_MS = -1


@attrs.define(eq=False)
class PeerPublisher:
    """Sends documents and version digests to peers.

    Attributes:
        store: The configuration in force.
        members: The members known to this node.
        links: Streams to peers.
        clock: Monotonic clock.
        rng: Source of randomness.
        rollouts: Roll-outs that digests describe; None without any.
        pushes: The document in force, compressed, by the version that the
            receiver has. Compressing takes milliseconds, and many peers may
            pull the document at the same time.
        send_tasks: Frames that are being sent.
    """

    store: PublishedStore
    members: MemberTable
    links: PeerLinks
    clock: Clock
    rng: random.Random
    rollouts: RolloutRegistry | None = None
    pushes: dict[int, DocumentPush] = attrs.field(factory=dict)
    send_tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def stop(self) -> None:
        """Cancels the frames that are being sent."""
        send_tasks = list(self.send_tasks)
        for task in send_tasks:
            task.cancel()
        await asyncio.gather(*send_tasks, return_exceptions=True)

    def local_members(self) -> list[MemberEntry]:
        """Returns the present members of this node's data centre.

        The suspected members come last. Most of them are alive, and one that
        got no digests would read large documents from the source itself, which
        delays its replies to probes further.
        """
        local = [item for item in self.members.present() if self.is_local(item)]
        return sorted(local, key=_is_suspect)

    def healthy_local_members(self) -> list[MemberEntry]:
        """Returns the healthy members of this node's data centre."""
        return [item for item in self.healthy_members() if self.is_local(item)]

    def remote_members(self) -> list[MemberEntry]:
        """Returns the healthy members of other data centres."""
        return [
            item for item in self.healthy_members() if not self.is_local(item)
        ]

    def is_local(self, entry: MemberEntry) -> bool:
        """Tells whether a member is in this node's data centre."""
        return entry.data_centre == self.members.own.data_centre

    def healthy_members(self) -> list[MemberEntry]:
        """Returns the present members that are not suspected."""
        return [
            item for item in self.members.present() if not _is_suspect(item)
        ]

    def publish_version(
        self,
        read_age_ms: int,
        previous_version: int,
        relays: Iterable[MemberEntry],
    ) -> None:
        """Announces a version that this node has just read from the source.

        Args:
            read_age_ms: Age of the newest read, in ms.
            previous_version: The version that was in force until now. Most
                peers have that version too, so it is the base of the delta.
            relays: The members that pass the version on in the other data
                centres.
        """
        digest_recipients = {
            entry.node: entry
            for entry in (*relays, *self._one_member_per_remote_centre())
        }
        digest = self.digest(read_age_ms, heartbeat=False)
        self.send(digest_recipients.values(), digest)
        local = self.healthy_local_members()
        push_recipients = self.rng.sample(
            local, min(MAX_LOCAL_PUSHES, len(local))
        )
        self.send(push_recipients, self.document_push(previous_version))

    def _one_member_per_remote_centre(self) -> list[MemberEntry]:
        # A relay may have died a moment ago, so a second member of each data
        # centre gets the digest as well.
        remote = self.remote_members()
        self.rng.shuffle(remote)
        return list({entry.data_centre: entry for entry in remote}.values())

    def digest(
        self,
        read_age_ms: int,
        heartbeat: bool,
        position: int = 0,
        era: int = 0,
    ) -> VersionDigest:
        """Returns this node's version and the age of the newest read.

        Args:
            read_age_ms: Age of the newest known read of the source, in ms;
                `NO_READ_AGE_MS` if this node cannot read.
            heartbeat: Whether the digest is a heartbeat.
            position: Position up to which the source was read when it held this
                version; 0 if unknown.
            era: Era of the source that the position belongs to; 0 if unknown.
        """
        rollouts = self.rollouts
        return VersionDigest(
            version=self.store.version,
            next_offset=position,
            address=self.members.own.peer_address,
            heard_version=self.store.version,
            log_age_ms=read_age_ms,
            heartbeat=heartbeat,
            ready=self.store.ready,
            version_age_ms=self._version_age_ms(),
            log_era=era,
            rollouts_digest=rollouts.rollouts.digest if rollouts else 0,
            rollouts_age_ms=rollouts.age_ms if rollouts else 0,
        )

    def _version_age_ms(self) -> int:
        return self.store.propagation.age_ms(self.clock.now_ms())

    def document_push(self, base_version: int) -> DocumentPush:
        """Returns the push of the document in force.

        Args:
            base_version: The version that the receiver has; 0 for none.
        """
        push = self.pushes.get(base_version)
        if push is None or push.version != self.store.version:
            self.pushes = {
                base: item
                for base, item in self.pushes.items()
                if item.version == self.store.version
            }
            push = self.pushes[base_version] = self._pack(base_version)
        return attrs.evolve(push, version_age_ms=self._version_age_ms())

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
        """Starts to send a frame to one address and returns at once."""
        if not address:
            return
        task = asyncio.create_task(self._deliver(address, frame))
        self.send_tasks.add(task)
        task.add_done_callback(self.send_tasks.discard)

    async def _deliver(self, address: str, frame: WireMessage) -> None:
        try:
            await self.links.to(address).send(frame)
        except RequestError as error:
            _logger.debug(
                "config.not_told",
                extra={"peer": address, "error": error.kind.value},
            )


def _is_suspect(entry: MemberEntry) -> bool:
    return entry.state == MemberState.SUSPECT.value
