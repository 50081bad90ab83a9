"""What membership does about each frame of a peer."""

import functools

from pomelobank_core._gossip_queue import entry_size_bytes, version_size_bytes
from pomelobank_core._member_digest import TableDigest, differing_buckets
from pomelobank_core._swim import ReplyFrame, SendFrame, Swim, SwimAction
from pomelobank_schema import WireMessage
from pomelobank_schema.generated.peer import (
    Gossip,
    IndirectProbe,
    ProbeReply,
    ProbeRequest,
    SyncReply,
    SyncRequest,
)

# Members named to a node that has to compare its table with somebody else. In
# the first second of a herd nearly all are sent on, so that their names cost
# more than the tables that are sent.
_REFERRALS = 3


@functools.singledispatch
def handle_frame(
    frame: WireMessage, swim: Swim, now_ms: int
) -> list[SwimAction]:
    """Takes a frame of a peer.

    Args:
        frame: The frame; other kinds than membership's are ignored.
        swim: The node's membership.
        now_ms: Current time.

    Returns:
        What to send.
    """
    return []


@handle_frame.register
def _(frame: Gossip, swim: Swim, now_ms: int) -> list[SwimAction]:
    swim.on_gossip(frame, now_ms)
    if not frame.reply:
        return []
    return [ReplyFrame(swim.gossip_for(_sender(frame)))]


@handle_frame.register
def _(frame: ProbeRequest, swim: Swim, now_ms: int) -> list[SwimAction]:
    sender = _learn(frame.gossip, swim, now_ms)
    reply = ProbeReply(
        sequence=frame.sequence,
        node=swim.table.own.node,
        gossip=swim.gossip_for(sender),
    )
    return [ReplyFrame(reply)]


@handle_frame.register
def _(frame: ProbeReply, swim: Swim, now_ms: int) -> list[SwimAction]:
    _learn(frame.gossip, swim, now_ms)
    swim.prober.on_reply(frame.sequence, frame.node)
    relayed = swim.prober.relayed.pop(frame.sequence, None)
    if relayed is None:
        return []
    answer = ProbeReply(
        sequence=relayed.sequence, node=frame.node, gossip=swim.gossip_for()
    )
    return [SendFrame(relayed.requester, answer)]


@handle_frame.register
def _(frame: IndirectProbe, swim: Swim, now_ms: int) -> list[SwimAction]:
    sender = _learn(frame.gossip, swim, now_ms)
    asking = swim.table.others.get(sender)
    if asking is None or not frame.peer_address:
        return []
    sequence = swim.prober.relay(asking.peer_address, frame.sequence, now_ms)
    request = ProbeRequest(
        sequence=sequence, node=frame.node, gossip=swim.gossip_for(frame.node)
    )
    return [SendFrame(frame.peer_address, request)]


@handle_frame.register
def _(frame: SyncRequest, swim: Swim, now_ms: int) -> list[SwimAction]:
    sender = _learn(frame.gossip, swim, now_ms)
    own = TableDigest.of(swim.table.all())
    entries = differing_buckets(own.entries, frame.entries)
    versions = []
    if swim.gossips_versions:
        versions = differing_buckets(own.versions, frame.versions)
    others = set(versions) - set(entries)
    different = swim.entries_in(set(entries))
    moved = swim.versions_in(others)
    size = sum(map(entry_size_bytes, different)) + sum(
        map(version_size_bytes, moved)
    )
    if size and not swim.acquire_sync_budget(size, now_ms):
        return [ReplyFrame(SyncReply(gossip=_referrals(swim, sender)))]
    claim = swim.table.known_entry(sender)
    members = (swim.table.own, *different)
    if claim is not None:
        members += (claim,)
    reply = SyncReply(
        gossip=Gossip(members=members, versions=moved),
        entry_buckets=tuple(entries),
        version_buckets=tuple(sorted(others)),
    )
    return [ReplyFrame(reply)]


def _referrals(swim: Swim, sender: str) -> Gossip:
    others = swim.choose(_REFERRALS, exclude=sender)
    return Gossip(members=(swim.table.own, *others))


@handle_frame.register
def _(frame: SyncReply, swim: Swim, now_ms: int) -> list[SwimAction]:
    _learn(frame.gossip, swim, now_ms)
    wanted = set(frame.entry_buckets)
    versions = set(frame.version_buckets)
    swim.on_sync_result(len(wanted), now_ms)
    if not wanted and not versions:
        return []
    answer = Gossip(
        members=(swim.table.own, *swim.entries_in(wanted)),
        versions=swim.versions_in(versions),
    )
    return [ReplyFrame(answer)]


def _learn(gossip: Gossip | None, swim: Swim, now_ms: int) -> str:
    # A peer may send an empty field here; it then says nothing of itself.
    if gossip is None:
        return ""
    swim.on_gossip(gossip, now_ms)
    return _sender(gossip)


def _sender(gossip: Gossip) -> str:
    return gossip.members[0].node if gossip.members else ""
