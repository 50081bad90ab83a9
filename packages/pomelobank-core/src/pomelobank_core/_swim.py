"""Membership by probes and gossip, after the SWIM protocol.

Frames and times go in, frames to send come out.
"""

import math
import random
from collections.abc import Iterable

import attrs

from pomelobank_core._gossip_queue import GossipQueue
from pomelobank_core._member_digest import BUCKET_COUNT, TableDigest, bucket_of
from pomelobank_core._members import MemberState, MemberTable
from pomelobank_core._probing import Prober
from pomelobank_core._rendezvous import rank_of
from pomelobank_schema import WireMessage
from pomelobank_schema.generated.peer import (
    Gossip,
    IndirectProbe,
    MemberEntry,
    MemberVersion,
    ProbeRequest,
    SyncRequest,
)
from pomelobank_schema.generated.settings import MembershipSettings

# Members asked to try a probe that was not answered. With one in ten streams
# broken at random, three at once fail for 1 probe in 1,000.
INDIRECT_PROBES = 3
# Part of the buckets that differ from which on two tables are compared again
# soon: one of them has just started or was cut off.
_BULK_PART = 1 / 8
# Largest gossip in one probe or answer, before it is packed to a quarter. Four
# of them are sent a second, so a burst of news costs at most 12 KB a second of
# the 30 KB that a node may use.
FRAME_BYTES = 12000
# The indirect way takes two further trips, each with its own time-out.
_PROBE_TIMEOUTS = 3
# A tick that is so many periods late means that the process stood still.
_PAUSE_PERIODS = 3
# Tables that differ are exchanged with one member at a time, but a node that
# everybody joins must spend neither its core nor its line on it. Early in a
# herd's start tables are small and many fit; a whole table of 1,000 members is
# about 120 KB and is sent once in a second at most.
SYNC_BYTES_PER_S = 60_000
_MS_PER_S = 1000
# Most restarts take less. After that a member that has not come back is tried
# once in a while only, since most likely it was replaced.
RECENTLY_GONE_MS = 15_000
# Members that look for one that went lately. Two, so that the loss of one does
# not matter; with all of 1,000, a restart would meet a thousand handshakes.
POLLERS_PER_GONE_MEMBER = 2


@attrs.frozen
class SendFrame:
    """Asks for a frame to be sent to a peer.

    Attributes:
        address: Where the peer is reached.
        frame: The frame.
    """

    address: str
    frame: WireMessage


@attrs.frozen
class ReplyFrame:
    """Asks for a frame to be sent back on the stream that one came from.

    Attributes:
        frame: The frame.
    """

    frame: WireMessage


SwimAction = SendFrame | ReplyFrame


@attrs.define(eq=False)
class Swim:
    """Watches the members and spreads what is known about them.

    Attributes:
        table: What is known.
        settings: Periods and time-outs.
        random: Source of randomness.
        queue: News to pass on.
        prober: Probes under way.
        suspicions: When each suspicion ends unless it is refuted, by node.
        gone_ms: When each member was found to be gone, by node.
        pauses: How often this process stood still.
        suspected: Suspicions that began, for the metrics.
        changes: Entries that were news since they were last taken.
        sync_bytes: Bytes of answers to comparisons in the current second.
        throttled_syncs: Comparisons answered in short, for the metrics.
    """

    table: MemberTable
    settings: MembershipSettings
    random: random.Random
    queue: GossipQueue = attrs.field(factory=GossipQueue)
    suspicions: dict[str, int] = attrs.field(factory=dict)
    gone_ms: dict[str, int] = attrs.field(factory=dict)
    last_tick_ms: int | None = None
    next_probe_ms: int = 0
    next_sync_ms: int = 0
    next_rejoin_ms: int = 0
    pauses: int = 0
    suspected: int = 0
    sync_second: int = 0
    sync_bytes: int = 0
    throttled_syncs: int = 0
    changes: list[MemberEntry] = attrs.field(factory=list)
    prober: Prober = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.prober = Prober(self.random, self.table.own.data_centre)

    @property
    def gossips_versions(self) -> bool:
        """Whether versions of other members are passed on.

        A change moves every member's version. Passed on by all to all, 15
        changes within half a minute cost each of 63 members 8 KB a second.
        """
        return self.settings.version_gossip == "everybody"

    def tick(self, now_ms: int) -> list[SwimAction]:
        """Does what is due.

        Args:
            now_ms: Current time; called when something is due, or earlier.

        Returns:
            What to send.
        """
        self._notice_pause(now_ms)
        actions = self._time_out_probes(now_ms)
        self._time_out_suspicions(now_ms)
        self._forget(now_ms)
        if now_ms >= self.next_probe_ms:
            self.next_probe_ms = now_ms + self._jittered(
                self.settings.period_ms
            )
            actions += self._probe_next(now_ms)
            actions += self._look_for_lately_gone(now_ms)
        if now_ms >= self.next_sync_ms:
            self.next_sync_ms = now_ms + self._jittered(
                self.settings.sync_period_ms
            )
            actions += self._sync_with_one()
        if now_ms >= self.next_rejoin_ms:
            self.next_rejoin_ms = now_ms + self._jittered(
                self.settings.rejoin_period_ms
            )
            actions += self._try_a_gone_one()
        return actions

    def due_ms(self) -> int:
        """Returns when the next tick has something to do."""
        timeout_ms = self.settings.probe_timeout_ms
        return min(
            self.prober.next_timeout_ms(
                timeout_ms, _PROBE_TIMEOUTS * timeout_ms, self.next_probe_ms
            ),
            self.next_probe_ms,
            self.next_sync_ms,
            self.next_rejoin_ms,
            *self.suspicions.values(),
        )

    def _jittered(self, period_ms: int) -> int:
        # Members that started together would otherwise probe in step and meet
        # every member that they share with a burst.
        return round(period_ms * self.random.uniform(0.8, 1.2))

    def _notice_pause(self, now_ms: int) -> None:
        # After a pause every probe is overdue although nobody failed to answer
        # it. A node that took this for deaths would suspect whomever it had
        # asked; so what was under way is dropped and suspicions wait longer.
        last_ms, self.last_tick_ms = self.last_tick_ms, now_ms
        if last_ms is None:
            return
        late_ms = now_ms - last_ms
        if late_ms < _PAUSE_PERIODS * self.settings.period_ms:
            return
        self.pauses += 1
        self.prober.clear()
        for node in self.suspicions:
            self.suspicions[node] += late_ms

    def _probe_next(self, now_ms: int) -> list[SwimAction]:
        entry = self._next_partner()
        if entry is None or not entry.peer_address:
            return []
        sequence = self.prober.start_probe(entry.node, now_ms)
        request = ProbeRequest(
            sequence=sequence,
            node=entry.node,
            gossip=self.gossip_for(entry.node),
        )
        return [SendFrame(entry.peer_address, request)]

    def _next_partner(self) -> MemberEntry | None:
        others = self.table.others
        doubted = [others[item] for item in self.suspicions if item in others]
        return self.prober.choose(self.table.present(), doubted)

    def gossip_for(self, node: str = "") -> Gossip:
        """Returns the next news to pass on.

        Args:
            node: The receiver, which has to learn what is held against it.
        """
        entry = self.table.known_entry(node)
        doubted = entry is not None and entry.state in (
            MemberState.SUSPECT.value,
            MemberState.GONE.value,
        )
        first = (entry,) if entry is not None and doubted else ()
        return self.queue.next_gossip(self.table, FRAME_BYTES, first)

    def _time_out_probes(self, now_ms: int) -> list[SwimAction]:
        timeout_ms = self.settings.probe_timeout_ms
        actions: list[SwimAction] = []
        for sequence in self.prober.direct_timeouts(now_ms, timeout_ms):
            actions += self._ask_others(sequence)
        for node in self.prober.pop_timed_out(
            now_ms, _PROBE_TIMEOUTS * timeout_ms
        ):
            self.suspect(node, now_ms)
        return actions

    def _ask_others(self, sequence: int) -> list[SwimAction]:
        probe = self.prober.pending[sequence]
        probe.indirect = True
        target = self.table.others.get(probe.node)
        if target is None:
            return []
        return [
            SendFrame(
                helper.peer_address,
                IndirectProbe(
                    sequence=sequence,
                    node=target.node,
                    peer_address=target.peer_address,
                    gossip=self.gossip_for(helper.node),
                ),
            )
            for helper in self.choose(INDIRECT_PROBES, exclude=target.node)
        ]

    def choose(self, count: int, exclude: str = "") -> list[MemberEntry]:
        """Returns a few members that are present, in random order."""
        present = [
            entry
            for entry in self.table.present()
            if entry.node != exclude and entry.peer_address
        ]
        return self.random.sample(present, min(count, len(present)))

    def on_unreachable(self, address: str) -> list[SwimAction]:
        """Takes note that no stream to an address could be opened.

        A refused stream is known at once, so others are asked without waiting
        for the time-out.
        """
        actions: list[SwimAction] = []
        for sequence, probe in list(self.prober.pending.items()):
            entry = self.table.others.get(probe.node)
            if probe.indirect or entry is None:
                continue
            if entry.peer_address == address:
                actions += self._ask_others(sequence)
        return actions

    def suspect(self, node: str, now_ms: int) -> None:
        """Begins to suspect a member that answered no probe."""
        entry = self.table.others.get(node)
        if entry is None or entry.state == MemberState.GONE.value:
            return
        if node in self.suspicions:
            return
        self.suspected += 1
        self.suspicions[node] = now_ms + self.suspicion_ms()
        if entry.state == MemberState.READY.value:
            doubt = attrs.evolve(entry, state=MemberState.SUSPECT.value)
            self.table.merge((doubt,))
            self.queue.add(node)

    def suspicion_ms(self) -> int:
        """Returns how long a suspicion lasts at the fleet's size.

        The suspect has to hear of it and its answer has to come back, which
        takes gossip a number of rounds that grows with the logarithm.
        """
        members = len(self.table.present()) + 1
        scale = max(1.0, math.log10(members))
        rounds = self.settings.suspicion_rounds
        return round(self.settings.period_ms * rounds * scale)

    def _time_out_suspicions(self, now_ms: int) -> None:
        ended = [
            node
            for node, until_ms in self.suspicions.items()
            if now_ms >= until_ms
        ]
        for node in ended:
            del self.suspicions[node]
            entry = self.table.others.get(node)
            if entry is not None:
                gone = attrs.evolve(entry, state=MemberState.GONE.value)
                self._take_entries(self.table.merge((gone,)), now_ms)

    def _forget(self, now_ms: int) -> None:
        kept_ms = self.settings.gone_kept_ms
        for node, gone_ms in list(self.gone_ms.items()):
            if now_ms - gone_ms >= kept_ms:
                del self.gone_ms[node]
                self.table.remove(node)

    def on_gossip(self, gossip: Gossip, now_ms: int) -> None:
        """Takes what a peer tells."""
        sequence = self.table.own.sequence, self.table.own.incarnation
        heard = [self._as_heard(entry, now_ms) for entry in gossip.members]
        known = set(self.table.others)
        news = self.table.merge(heard)
        for entry in news:
            if entry.node not in known:
                self.prober.insert(entry)
        self._count_heard(heard, news)
        self._take_entries(news, now_ms)
        for version in self.table.merge_versions(gossip.versions):
            if self.gossips_versions:
                self.queue.add_version(version.node)
        if sequence != (self.table.own.sequence, self.table.own.incarnation):
            self.queue.add(self.table.own.node)

    def _count_heard(
        self, heard: list[MemberEntry], news: list[MemberEntry]
    ) -> None:
        # Whoever tells what is known here knows it too, so it needs to be told
        # once less. In a herd's start everybody has news of everybody.
        fresh = {entry.node for entry in news}
        for entry in heard:
            known = self.table.others.get(entry.node)
            if entry.node not in fresh and entry == known:
                self.queue.on_received(entry.node, len(self.table.others) + 1)

    def _as_heard(self, entry: MemberEntry, now_ms: int) -> MemberEntry:
        # When a cut heals, each side tells the other that its members are
        # gone. Taken at its word this would stop the service everywhere until
        # the last refutation has arrived; as a suspicion it leaves each member
        # the time to refute it.
        known = self.table.others.get(entry.node)
        rumour = (
            known is not None
            and entry.state == MemberState.GONE.value
            and known.state != MemberState.GONE.value
            and (entry.incarnation, entry.sequence)
            <= (known.incarnation, known.sequence)
        )
        if not rumour or known is None:
            return entry
        if (entry.incarnation, entry.sequence) == (
            known.incarnation,
            known.sequence,
        ):
            self.suspect(entry.node, now_ms)
        return known

    def _take_entries(self, news: Iterable[MemberEntry], now_ms: int) -> None:
        for entry in news:
            self.queue.add(entry.node)
            self.changes.append(entry)
            if entry.state == MemberState.GONE.value:
                self.suspicions.pop(entry.node, None)
                self.gone_ms[entry.node] = now_ms
                continue
            self.gone_ms.pop(entry.node, None)
            if entry.state != MemberState.SUSPECT.value:
                self.suspicions.pop(entry.node, None)
            elif entry.node not in self.suspicions:
                self.suspicions[entry.node] = now_ms + self.suspicion_ms()

    def pop_changes(self) -> list[MemberEntry]:
        """Returns the entries that were news since the last call."""
        changes, self.changes = self.changes, []
        return changes

    def gossip_own_entry(self) -> list[SwimAction]:
        """Tells a member of each data centre of a change of the own entry."""
        self.queue.add(self.table.own.node)
        return [
            SendFrame(entry.peer_address, self.gossip_for(entry.node))
            for entry in self._one_of_each_data_centre()
        ]

    def _one_of_each_data_centre(self) -> list[MemberEntry]:
        present = self.table.present()
        self.random.shuffle(present)
        chosen = {
            entry.data_centre: entry for entry in present if entry.peer_address
        }
        return list(chosen.values())

    def broadcast_own_entry(self) -> list[SwimAction]:
        """Tells every member of the own entry, as when it starts to drain.

        Gossip reaches the last of 1,000 members after several seconds; until
        then it would send work to a target that is about to leave. 1,000 small
        frames for each planned stop are few next to that: 350 a day make four
        a second in the whole fleet.
        """
        self.queue.add(self.table.own.node)
        gossip = Gossip(members=(self.table.own,))
        # Streams to members that do not answer take a second each to fail, so
        # those that are known to be in doubt must not hold up the others.
        suspect = MemberState.SUSPECT.value
        present = sorted(
            self.table.present(), key=lambda entry: entry.state == suspect
        )
        return [
            SendFrame(entry.peer_address, gossip)
            for entry in present
            if entry.peer_address
        ]

    def sync_request(self, address: str) -> SendFrame:
        """Returns the request that compares the table with a peer's."""
        digest = TableDigest.of(self.table.all())
        request = SyncRequest(
            gossip=Gossip(members=(self.table.own,)),
            entries=digest.entries,
            versions=digest.versions,
        )
        return SendFrame(address, request)

    def _sync_with_one(self) -> list[SwimAction]:
        entry = self._next_partner()
        if entry is None or not entry.peer_address:
            return []
        return [self.sync_request(entry.peer_address)]

    def on_sync_result(self, differing: int, now_ms: int) -> None:
        """Takes the result of a comparison with a peer's table.

        Gossip takes a node that has just started through the whole mesh, a
        frame at a time; a few comparisons with neighbours do it in a second.

        Args:
            differing: Buckets that differed.
            now_ms: Current time.
        """
        if differing >= BUCKET_COUNT * _BULK_PART:
            soon_ms = now_ms + self._jittered(self.settings.period_ms)
            self.next_sync_ms = min(self.next_sync_ms, soon_ms)

    def _look_for_lately_gone(self, now_ms: int) -> list[SwimAction]:
        # A node that is restarted while the log is away finds nobody, and a
        # target that works stands idle beside it until the log is back. When
        # nodes are restarted in turn meanwhile, callers are refused because no
        # target of their upstream is left. Its former peers know its address.
        present = [entry.node for entry in self.table.present()]
        return [
            self.sync_request(entry.peer_address)
            for node, gone_ms in self.gone_ms.items()
            if now_ms - gone_ms < RECENTLY_GONE_MS
            and (entry := self.table.others.get(node))
            and entry.peer_address
            and rank_of(self.table.own.node, present, node)
            < POLLERS_PER_GONE_MEMBER
        ]

    def _try_a_gone_one(self) -> list[SwimAction]:
        # Two sides of a cut hold each other to be gone and would never meet
        # again after it has healed, because nobody probes the gone.
        gone = [
            entry.peer_address
            for node in sorted(self.gone_ms)
            if (entry := self.table.others.get(node)) and entry.peer_address
        ]
        if not gone:
            return []
        return [self.sync_request(self.random.choice(gone))]

    def acquire_sync_budget(self, size_bytes: int, now_ms: int) -> bool:
        """Tells whether one more answer of a size is allowed in this second.

        The first one always is, however large.
        """
        second = now_ms // _MS_PER_S
        if second != self.sync_second:
            self.sync_second = second
            self.sync_bytes = 0
        if self.sync_bytes and self.sync_bytes + size_bytes > SYNC_BYTES_PER_S:
            self.throttled_syncs += 1
            return False
        self.sync_bytes += size_bytes
        return True

    def versions_in(self, buckets: set[int]) -> tuple[MemberVersion, ...]:
        """Returns the versions of the members in some buckets."""
        from_buckets = self.entries_in(buckets)
        return tuple(
            MemberVersion(
                node=entry.node,
                incarnation=entry.incarnation,
                version=entry.version,
            )
            for entry in from_buckets
        )

    def entries_in(self, buckets: set[int]) -> tuple[MemberEntry, ...]:
        """Returns the entries of the members in some buckets."""
        return tuple(
            entry
            for entry in self.table.all()
            if bucket_of(entry.node) in buckets
        )
