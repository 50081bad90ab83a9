"""Runs many core membership instances in memory, over a queue of frames."""

import random
from collections import deque
from collections.abc import Callable

import attrs

from pomelobank_core import (
    MemberState,
    MemberTable,
    SendFrame,
    Swim,
    SwimAction,
)
from pomelobank_core import handle_frame as handle_member_frame
from pomelobank_schema import decode
from pomelobank_schema.generated import peer
from pomelobank_schema.generated.peer import MemberEntry
from pomelobank_schema.generated.settings import MembershipSettings
from pomelobank_schema.packed_frames import encode_frame, unpack_frame

TIME_STEP_MS = 100


@attrs.frozen
class Envelope:
    """A frame that is not delivered yet.

    Attributes:
        source: Address of the sender.
        destination: Address of the receiver.
        data: The encoded frame.
    """

    source: str
    destination: str
    data: bytes


@attrs.define(eq=False)
class MemberFleet:
    """Core membership instances that exchange frames without delay.

    Attributes:
        settings: Settings of every member.
        seed: Seed of all randomness.
        now_ms: Time of the whole fleet.
        members: Membership instances, by address.
        frozen: Addresses of suspended members; frames to them stay queued.
        reachable: Tells whether frames from one address reach another.
        sent_bytes: Bytes that each address sent.
        remote_bytes: Bytes sent between data centres.
        partners: Addresses that each address sent frames to.
        frames: Number of frames that were delivered.
        data_centres: Data centres, by address.
        queue: Frames that are not delivered yet.
    """

    settings: MembershipSettings = attrs.field(factory=MembershipSettings)
    seed: int = 1
    now_ms: int = 0
    members: dict[str, Swim] = attrs.field(factory=dict)
    frozen: set[str] = attrs.field(factory=set)
    reachable: Callable[[str, str], bool] = lambda source, destination: True
    sent_bytes: dict[str, int] = attrs.field(factory=dict)
    remote_bytes: int = 0
    partners: dict[str, set[str]] = attrs.field(factory=dict)
    frames: int = 0
    data_centres: dict[str, str] = attrs.field(factory=dict)
    queue: deque[Envelope] = attrs.field(factory=deque)

    @classmethod
    def of(
        cls, count: int, settings: MembershipSettings | None = None
    ) -> "MemberFleet":
        """Returns a fleet whose members all know each other."""
        fleet = cls(settings or MembershipSettings())
        entries = [fleet.entry(index) for index in range(count)]
        for entry in entries:
            fleet.add(entry)
            fleet.members[entry.peer_address].table.merge(entries)
        return fleet

    @staticmethod
    def entry(index: int, incarnation: int = 1) -> MemberEntry:
        """Returns the entry of a ready member."""
        return MemberEntry(
            node=f"node-{index:04}",
            incarnation=incarnation,
            state=MemberState.READY.value,
            data_centre=f"data-centre-{index % 6}",
            peer_address=f"10.0.{index // 250}.{index % 250}:7000",
            http_address=f"10.0.{index // 250}.{index % 250}:8000",
            upstream=f"service-{index % 32}-main",
            slots=20,
        )

    def add(self, entry: MemberEntry) -> Swim:
        """Adds a member that knows no other member."""
        source = random.Random(f"{self.seed}-{entry.node}-{entry.incarnation}")
        swim = Swim(MemberTable(entry), self.settings, source)
        self.members[entry.peer_address] = swim
        self.sent_bytes.setdefault(entry.peer_address, 0)
        self.partners.setdefault(entry.peer_address, set())
        self.data_centres[entry.peer_address] = entry.data_centre
        return swim

    def join(self, address: str, contact: str) -> None:
        """Sends a member's request to synchronise its table with a contact."""
        self.execute(
            address, address, [self.members[address].sync_request(contact)]
        )

    def remove(self, address: str) -> None:
        """Removes a member without a message to the other members."""
        del self.members[address]

    def execute(
        self, address: str, reply_to: str, actions: list[SwimAction]
    ) -> None:
        """Sends the frames of a member's actions."""
        for action in actions:
            destination = (
                action.address if isinstance(action, SendFrame) else reply_to
            )
            data = encode_frame(action.frame)
            self._count_bytes(address, destination, len(data))
            self.queue.append(Envelope(address, destination, data))

    def _count_bytes(self, source: str, destination: str, size: int) -> None:
        self.sent_bytes[source] += size
        self.partners[source].add(destination)
        if self.data_centres[source] != self.data_centres[destination]:
            self.remote_bytes += size

    def step(self) -> None:
        """Advances the time, runs every member and delivers frames."""
        self.now_ms += TIME_STEP_MS
        for address, swim in list(self.members.items()):
            if address not in self.frozen:
                self.execute(address, address, swim.tick(self.now_ms))
        undelivered = deque[Envelope]()
        while self.queue:
            envelope = self.queue.popleft()
            if envelope.destination in self.frozen:
                undelivered.append(envelope)
            else:
                self._deliver(envelope)
        self.queue = undelivered

    def _deliver(self, envelope: Envelope) -> None:
        swim = self.members.get(envelope.destination)
        if swim is None or not self.reachable(
            envelope.source, envelope.destination
        ):
            return
        self.frames += 1
        frame = decode(envelope.data, peer.KINDS)
        frame = unpack_frame(frame, peer.KINDS)
        actions = handle_member_frame(frame, swim, self.now_ms)
        self.execute(envelope.destination, envelope.source, actions)

    def run(self, duration_ms: int) -> None:
        """Runs for a time."""
        for _ in range(duration_ms // TIME_STEP_MS):
            self.step()

    def run_until(self, condition: Callable[[], bool], limit_ms: int) -> int:
        """Runs until a condition holds.

        Returns:
            The duration in fleet time, in ms.

        Raises:
            TimeoutError: If the condition does not hold within the limit.
        """
        start_ms = self.now_ms
        while not condition():
            if self.now_ms - start_ms >= limit_ms:
                raise TimeoutError(
                    f"condition not met within {limit_ms} ms of fleet time"
                )
            self.step()
        return self.now_ms - start_ms

    def all_see(self, node: str, *states: str) -> bool:
        """Tells whether all running members see a node in one of the states."""
        return all(
            (entry := swim.table.others.get(node)) is not None
            and entry.state in states
            for address, swim in self.members.items()
            if swim.table.own.node != node and address not in self.frozen
        )

    def all_ready(self) -> bool:
        """Tells whether every running member sees every member as ready."""
        ready = MemberState.READY.value
        nodes = [swim.table.own.node for swim in self.members.values()]
        return all(self.all_see(node, ready) for node in nodes)
