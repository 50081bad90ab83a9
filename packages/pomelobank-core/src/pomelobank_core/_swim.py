"""Membership by probes and gossip, after the SWIM protocol.

The module does no input or output: its functions take received frames and the
current time, and return the frames to send.
"""

import math
import random
from collections.abc import Iterable

import attrs

from pomelobank_core._gossip_queue import GossipQueue
from pomelobank_core._member_digest import BUCKET_COUNT, TableDigest, bucket_of
from pomelobank_core._members import MemberState, MemberTable
from pomelobank_core._probing import Prober
from pomelobank_core._rendezvous import is_among_first
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

# Number of members that probe an unresponsive member indirectly. If one stream
# in ten is broken at random, all three indirect probes fail for 1 probe in
# 1,000, so that a healthy member is rarely suspected.
INDIRECT_PROBES = 3
# Minimum fraction of differing buckets after which a node soon compares its
# table again, because one of the two nodes has most likely just started or was
# partitioned.
_BULK_FRACTION = 1 / 8
# Maximum size of the gossip in one probe or reply before compression, which
# reduces the size to a quarter. A node sends four such frames a second, so a
# burst of updates costs at most 12 KB a second of the node's budget of 30 KB.
FRAME_BYTES = 12000
# Time-out of a probe in units of the time-out of a direct reply. An indirect
# probe takes two further round trips, each with its own time-out.
_PROBE_TIMEOUTS = 3
# A time between two ticks of at least this many periods means that the process
# was paused.
_PAUSE_PERIODS = 3
# Budget of the replies to table comparisons. A node exchanges a differing table
# with one member at a time, but a node that many members join at the same time
# must spend neither its CPU core nor its network link on the replies. Early in
# a simultaneous start of many nodes, tables are small and many replies fit. The
# whole table of 1,000 members is about 120 KB and is sent at most once a
# second.
SYNC_BYTES_PER_S = 60_000
_MS_PER_S = 1000
# How long members poll a gone member in each probe period; most restarts take
# less time. A member that does not return within this time was most likely
# replaced, so afterwards a node contacts only one random gone member per rejoin
# period.
RECENTLY_GONE_MS = 15_000
# Number of members that poll a recently gone member. With two pollers, the loss
# of one poller does not matter; if all 1,000 members polled, a restarted node
# would have to accept the connections of a thousand pollers, with a handshake
# for each.
POLLERS_PER_GONE_MEMBER = 2


@attrs.frozen
class SendFrame:
    """Action: send a frame to a peer.

    Attributes:
        address: Address of the peer.
        frame: The frame.
    """

    address: str
    frame: WireMessage


@attrs.frozen
class ReplyFrame:
    """Action: send a frame back on the stream of the received frame.

    Attributes:
        frame: The frame.
    """

    frame: WireMessage


SwimAction = SendFrame | ReplyFrame


@attrs.define(eq=False)
class Swim:
    """Detects failed members and spreads updates by gossip.

    Attributes:
        table: The node's table of members.
        settings: Periods and time-outs.
        random: Source of randomness.
        queue: Updates to gossip.
        suspicions: When each suspicion expires unless it is refuted, by node.
        gone_ms: When this node marked each gone member as gone, by node.
        last_tick_ms: Time of the last tick, None before the first.
        next_probe_ms: When the next probe is due.
        next_sync_ms: When the next comparison with a member is due.
        next_gone_sync_ms: When the next comparison with a gone member is due.
        pauses: How often this process was paused.
        suspected: Suspicions that this node started, for the metrics.
        sync_second: The second that `sync_bytes` belongs to.
        sync_bytes: Size of the replies to comparisons in the current second.
        throttled_syncs: Comparisons whose reply named other members instead of
            the differing entries, for the metrics.
        changes: Entries that changed since the last call of `pop_changes`.
        prober: Pending probes and the next members to probe.
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
    next_gone_sync_ms: int = 0
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
        """Whether this node gossips the versions of other members.

        A configuration change moves every member's version. If all members
        gossip all versions, 15 changes within half a minute cost each of 63
        members 8 KB a second.
        """
        return self.settings.version_gossip == "everybody"

    def tick(self, now_ms: int) -> list[SwimAction]:
        """Runs the time-outs, probes and comparisons that are due.

        Args:
            now_ms: Current time. The caller calls at the time of `due_ms` or
                earlier.

        Returns:
            The frames to send.
        """
        self._detect_pause(now_ms)
        actions = self._time_out_probes(now_ms)
        self._time_out_suspicions(now_ms)
        self._remove_gone(now_ms)
        if now_ms >= self.next_probe_ms:
            self.next_probe_ms = now_ms + self._jittered(
                self.settings.period_ms
            )
            actions += self._probe_next(now_ms)
            actions += self._poll_recently_gone(now_ms)
        if now_ms >= self.next_sync_ms:
            self.next_sync_ms = now_ms + self._jittered(
                self.settings.sync_period_ms
            )
            actions += self._sync_with_member()
        if now_ms >= self.next_gone_sync_ms:
            self.next_gone_sync_ms = now_ms + self._jittered(
                self.settings.rejoin_period_ms
            )
            actions += self._sync_with_gone_member()
        return actions

    def due_ms(self) -> int:
        """Returns when the next time-out, probe or comparison is due."""
        timeout_ms = self.settings.probe_timeout_ms
        return min(
            self.prober.next_timeout_ms(
                timeout_ms, _PROBE_TIMEOUTS * timeout_ms, self.next_probe_ms
            ),
            self.next_probe_ms,
            self.next_sync_ms,
            self.next_gone_sync_ms,
            *self.suspicions.values(),
        )

    def _jittered(self, period_ms: int) -> int:
        # Without jitter, members that started at the same time would probe in
        # step and send bursts to the members that they share.
        return round(period_ms * self.random.uniform(0.8, 1.2))

    def _detect_pause(self, now_ms: int) -> None:
        # After a pause of this process, every pending probe has timed out,
        # although the probed members may have replied. The node would suspect
        # all probed members, so it drops the pending probes and extends the
        # suspicions.
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
        entry = self._next_peer()
        if entry is None or not entry.peer_address:
            return []
        sequence = self.prober.start_probe(entry.node, now_ms)
        request = ProbeRequest(
            sequence=sequence,
            node=entry.node,
            gossip=self.gossip_for(entry.node),
        )
        return [SendFrame(entry.peer_address, request)]

    def _next_peer(self) -> MemberEntry | None:
        others = self.table.others
        suspects = [others[item] for item in self.suspicions if item in others]
        return self.prober.choose(self.table.present(), suspects)

    def gossip_for(self, node: str = "") -> Gossip:
        """Returns the next gossip to send.

        Args:
            node: The receiver. If this node considers the receiver suspect or
                gone, the gossip includes that entry so that the receiver can
                refute it.
        """
        entry = self.table.known_entry(node)
        refutable = entry is not None and entry.state in (
            MemberState.SUSPECT.value,
            MemberState.GONE.value,
        )
        first = (entry,) if entry is not None and refutable else ()
        return self.queue.next_gossip(self.table, FRAME_BYTES, first)

    def _time_out_probes(self, now_ms: int) -> list[SwimAction]:
        timeout_ms = self.settings.probe_timeout_ms
        actions: list[SwimAction] = []
        for sequence in self.prober.direct_timeouts(now_ms, timeout_ms):
            actions += self._probe_indirectly(sequence)
        for node in self.prober.pop_timed_out(
            now_ms, _PROBE_TIMEOUTS * timeout_ms
        ):
            self.suspect(node, now_ms)
        return actions

    def _probe_indirectly(self, sequence: int) -> list[SwimAction]:
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
        """Returns up to `count` present members with an address, at random."""
        present = [
            entry
            for entry in self.table.present()
            if entry.node != exclude and entry.peer_address
        ]
        return self.random.sample(present, min(count, len(present)))

    def on_unreachable(self, address: str) -> list[SwimAction]:
        """Handles a failure to open a stream to an address.

        A refused stream fails at once, so the node requests indirect probes
        without waiting for the time-out of the direct probe.
        """
        actions: list[SwimAction] = []
        for sequence, probe in list(self.prober.pending.items()):
            entry = self.table.others.get(probe.node)
            if probe.indirect or entry is None:
                continue
            if entry.peer_address == address:
                actions += self._probe_indirectly(sequence)
        return actions

    def suspect(self, node: str, now_ms: int) -> None:
        """Starts a suspicion of a member that did not reply to a probe."""
        entry = self.table.others.get(node)
        if entry is None or entry.state == MemberState.GONE.value:
            return
        if node in self.suspicions:
            return
        self.suspected += 1
        self.suspicions[node] = now_ms + self.suspicion_ms()
        if entry.state == MemberState.READY.value:
            suspected = attrs.evolve(entry, state=MemberState.SUSPECT.value)
            self.table.merge((suspected,))
            self.queue.add(node)

    def suspicion_ms(self) -> int:
        """Returns the duration of a suspicion for the size of the fleet.

        Gossip has to carry the suspicion to the suspect and its refutation
        back, in a number of rounds that grows with the logarithm of the size.
        """
        members = len(self.table.present()) + 1
        scale = max(1.0, math.log10(members))
        rounds = self.settings.suspicion_rounds
        return round(self.settings.period_ms * rounds * scale)

    def _time_out_suspicions(self, now_ms: int) -> None:
        expired = [
            node
            for node, expires_ms in self.suspicions.items()
            if now_ms >= expires_ms
        ]
        for node in expired:
            del self.suspicions[node]
            entry = self.table.others.get(node)
            if entry is not None:
                gone = attrs.evolve(entry, state=MemberState.GONE.value)
                self._on_updates(self.table.merge((gone,)), now_ms)

    def _remove_gone(self, now_ms: int) -> None:
        kept_ms = self.settings.gone_kept_ms
        for node, gone_ms in list(self.gone_ms.items()):
            if now_ms - gone_ms >= kept_ms:
                del self.gone_ms[node]
                self.table.remove(node)

    def on_gossip(self, gossip: Gossip, now_ms: int) -> None:
        """Merges the gossip of a peer and queues the updates in it."""
        own_numbers = self.table.own.sequence, self.table.own.incarnation
        received = [
            self._gone_to_suspect(item, now_ms) for item in gossip.members
        ]
        known = set(self.table.others)
        updates = self.table.merge(received)
        for entry in updates:
            if entry.node not in known:
                self.prober.insert(entry)
        self._count_received(received, updates)
        self._on_updates(updates, now_ms)
        for version in self.table.merge_versions(gossip.versions):
            if self.gossips_versions:
                self.queue.add_version(version.node)
        if own_numbers != (self.table.own.sequence, self.table.own.incarnation):
            self.queue.add(self.table.own.node)

    def _count_received(
        self, received: list[MemberEntry], updates: list[MemberEntry]
    ) -> None:
        # A peer that sends an entry known to this node needs no copy of it, so
        # the node sends the entry once less. This saves traffic when many nodes
        # start at the same time and each has updates about all others.
        updated = {entry.node for entry in updates}
        for entry in received:
            known = self.table.others.get(entry.node)
            if entry.node not in updated and entry == known:
                self.queue.on_received(entry.node, len(self.table.others) + 1)

    def _gone_to_suspect(self, entry: MemberEntry, now_ms: int) -> MemberEntry:
        # When a network partition heals, each side gossips that the members of
        # the other side are gone. If nodes accepted this, the service would
        # stop everywhere until the last refutation arrived. A node therefore
        # starts a suspicion, which gives each member the time for a refutation.
        known = self.table.others.get(entry.node)
        unconfirmed = (
            known is not None
            and entry.state == MemberState.GONE.value
            and known.state != MemberState.GONE.value
            and (entry.incarnation, entry.sequence)
            <= (known.incarnation, known.sequence)
        )
        if not unconfirmed or known is None:
            return entry
        if (entry.incarnation, entry.sequence) == (
            known.incarnation,
            known.sequence,
        ):
            self.suspect(entry.node, now_ms)
        return known

    def _on_updates(self, updates: Iterable[MemberEntry], now_ms: int) -> None:
        for entry in updates:
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
        """Returns and clears the entries that changed since the last call."""
        changes, self.changes = self.changes, []
        return changes

    def gossip_own_entry(self) -> list[SwimAction]:
        """Sends a change of the own entry to one member of each data centre."""
        self.queue.add(self.table.own.node)
        return [
            SendFrame(entry.peer_address, self.gossip_for(entry.node))
            for entry in self._one_member_per_data_centre()
        ]

    def _one_member_per_data_centre(self) -> list[MemberEntry]:
        present = self.table.present()
        self.random.shuffle(present)
        chosen = {
            entry.data_centre: entry for entry in present if entry.peer_address
        }
        return list(chosen.values())

    def broadcast_own_entry(self) -> list[SwimAction]:
        """Sends the own entry to every member, for example at a drain.

        Gossip takes several seconds to reach the last of 1,000 members, and
        until then those members would send requests to a target that is about
        to stop. In comparison, 1,000 small frames per planned stop are cheap:
        350 stops a day make four frames a second in the whole fleet.
        """
        self.queue.add(self.table.own.node)
        gossip = Gossip(members=(self.table.own,))
        # A stream to a member that does not respond takes a second to fail, so
        # the frames to suspect members go last and do not delay the frames to
        # other members.
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
        """Returns a request to compare the own table with a peer's table."""
        digest = TableDigest.of(self.table.all())
        request = SyncRequest(
            gossip=Gossip(members=(self.table.own,)),
            entries=digest.entries,
            versions=digest.versions,
        )
        return SendFrame(address, request)

    def _sync_with_member(self) -> list[SwimAction]:
        entry = self._next_peer()
        if entry is None or not entry.peer_address:
            return []
        return [self.sync_request(entry.peer_address)]

    def on_sync_result(self, differing: int, now_ms: int) -> None:
        """Handles the result of a comparison with a peer's table.

        A node that has just started would learn the whole mesh by gossip one
        frame at a time. A few comparisons with neighbours take a second, so the
        next comparison follows soon if many buckets differed.

        Args:
            differing: Number of buckets that differed.
            now_ms: Current time.
        """
        if differing >= BUCKET_COUNT * _BULK_FRACTION:
            soon_ms = now_ms + self._jittered(self.settings.period_ms)
            self.next_sync_ms = min(self.next_sync_ms, soon_ms)

    def _poll_recently_gone(self, now_ms: int) -> list[SwimAction]:
        # A node that restarts while the log is unavailable finds no contacts,
        # so its healthy target receives no requests until the log returns. If
        # nodes restart one after the other during the outage, callers are
        # rejected because no target of their upstream is left. The former peers
        # of a restarted node know its address and therefore poll it.
        present = [entry.node for entry in self.table.present()]
        return [
            self.sync_request(entry.peer_address)
            for node, gone_ms in self.gone_ms.items()
            if now_ms - gone_ms < RECENTLY_GONE_MS
            and (entry := self.table.others.get(node))
            and entry.peer_address
            and is_among_first(
                self.table.own.node, present, node, POLLERS_PER_GONE_MEMBER
            )
        ]

    def _sync_with_gone_member(self) -> list[SwimAction]:
        # After a network partition, both sides consider each other gone. They
        # would never reconnect, because no node probes gone members.
        gone = [
            entry.peer_address
            for node in sorted(self.gone_ms)
            if (entry := self.table.others.get(node)) and entry.peer_address
        ]
        if not gone:
            return []
        return [self.sync_request(self.random.choice(gone))]

    def acquire_sync_budget(self, size_bytes: int, now_ms: int) -> bool:
        """Returns whether the budget of this second allows a reply.

        The first reply of a second is always allowed, whatever its size. An
        allowed reply is deducted from the budget.

        Args:
            size_bytes: Size of the reply.
            now_ms: Current time.
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
        entries = self.entries_in(buckets)
        return tuple(
            MemberVersion(
                node=entry.node,
                incarnation=entry.incarnation,
                version=entry.version,
            )
            for entry in entries
        )

    def entries_in(self, buckets: set[int]) -> tuple[MemberEntry, ...]:
        """Returns the entries of the members in some buckets."""
        return tuple(
            entry
            for entry in self.table.all()
            if bucket_of(entry.node) in buckets
        )
