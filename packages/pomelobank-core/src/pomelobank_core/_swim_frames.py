"""Handlers of the membership frames that a node receives from its peers."""

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

# Number of members in a reply that refers a node to other members for its table
# comparison. In the first second of a simultaneous start of many nodes, nearly
# all nodes are referred, and the referrals cost more bytes than the tables, so
# a referral names few members.
_REFERRAL_COUNT = 3


@functools.singledispatch
def handle_frame(
    frame: WireMessage, swim: Swim, now_ms: int
) -> list[SwimAction]:
    """Handles a frame from a peer.

    Args:
        frame: The frame; kinds that are not part of membership are ignored.
        swim: The node's membership state.
        now_ms: Current time.

    Returns:
        The frames to send.
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
    sender = _merge_gossip(frame.gossip, swim, now_ms)
    reply = ProbeReply(
        sequence=frame.sequence,
        node=swim.table.own.node,
        gossip=swim.gossip_for(sender),
    )
    return [ReplyFrame(reply)]


@handle_frame.register
def _(frame: ProbeReply, swim: Swim, now_ms: int) -> list[SwimAction]:
    _merge_gossip(frame.gossip, swim, now_ms)
    swim.prober.on_reply(frame.sequence, frame.node)
    relayed = swim.prober.relayed.pop(frame.sequence, None)
    if relayed is None:
        return []
    reply = ProbeReply(
        sequence=relayed.sequence, node=frame.node, gossip=swim.gossip_for()
    )
    return [SendFrame(relayed.requester, reply)]


@handle_frame.register
def _(frame: IndirectProbe, swim: Swim, now_ms: int) -> list[SwimAction]:
    sender = _merge_gossip(frame.gossip, swim, now_ms)
    requester = swim.table.others.get(sender)
    if requester is None or not frame.peer_address:
        return []
    sequence = swim.prober.relay(requester.peer_address, frame.sequence, now_ms)
    request = ProbeRequest(
        sequence=sequence, node=frame.node, gossip=swim.gossip_for(frame.node)
    )
    return [SendFrame(frame.peer_address, request)]


@handle_frame.register
def _(frame: SyncRequest, swim: Swim, now_ms: int) -> list[SwimAction]:
    sender = _merge_gossip(frame.gossip, swim, now_ms)
    own = TableDigest.of(swim.table.all())
    entries = differing_buckets(own.entries, frame.entries)
    versions = []
    if swim.gossips_versions:
        versions = differing_buckets(own.versions, frame.versions)
    version_only = set(versions) - set(entries)
    differing = swim.entries_in(set(entries))
    moved = swim.versions_in(version_only)
    size_bytes = sum(map(entry_size_bytes, differing)) + sum(
        map(version_size_bytes, moved)
    )
    if size_bytes and not swim.acquire_sync_budget(size_bytes, now_ms):
        return [ReplyFrame(SyncReply(gossip=_referrals(swim, sender)))]
    known_sender = swim.table.known_entry(sender)
    members = (swim.table.own, *differing)
    if known_sender is not None:
        members += (known_sender,)
    reply = SyncReply(
        gossip=Gossip(members=members, versions=moved),
        entry_buckets=tuple(entries),
        version_buckets=tuple(sorted(version_only)),
    )
    return [ReplyFrame(reply)]


def _referrals(swim: Swim, sender: str) -> Gossip:
    referred = swim.choose(_REFERRAL_COUNT, exclude=sender)
    return Gossip(members=(swim.table.own, *referred))


@handle_frame.register
def _(frame: SyncReply, swim: Swim, now_ms: int) -> list[SwimAction]:
    _merge_gossip(frame.gossip, swim, now_ms)
    wanted = set(frame.entry_buckets)
    versions = set(frame.version_buckets)
    swim.on_sync_result(len(wanted), now_ms)
    if not wanted and not versions:
        return []
    reply = Gossip(
        members=(swim.table.own, *swim.entries_in(wanted)),
        versions=swim.versions_in(versions),
    )
    return [ReplyFrame(reply)]


def _merge_gossip(gossip: Gossip | None, swim: Swim, now_ms: int) -> str:
    # A peer may send a frame without gossip, and then does not name itself.
    if gossip is None:
        return ""
    swim.on_gossip(gossip, now_ms)
    return _sender(gossip)


def _sender(gossip: Gossip) -> str:
    return gossip.members[0].node if gossip.members else ""
