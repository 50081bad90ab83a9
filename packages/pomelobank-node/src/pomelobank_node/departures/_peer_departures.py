"""Shares the departures of targets with the node's peers."""

import asyncio
import functools
import logging
import os
from collections.abc import Callable, Iterable

import attrs

from pomelobank_core import Clock, MemberTable
from pomelobank_core.departures import Departures, PeerSurvey, digest_of
from pomelobank_node._peer_links import PeerLinks
from pomelobank_node._requests import RequestError
from pomelobank_node.departures._departure_log import decode_departures
from pomelobank_schema import WireMessage, encode
from pomelobank_schema.generated.peer import (
    DepartureSyncReply,
    DepartureSyncRequest,
    MemberEntry,
)
from pomelobank_schema.generated.records import DepartureRecord

_logger = logging.getLogger(__name__)
# Time limit for the peers to confirm a departure. The target repeats its call
# after 1 s, so the node must respond before that.
NOTICE_TIMEOUT_S = 0.8
# Minimum pause between two frames with a departure to one member.
_NOTICE_INTERVAL_MS = 1000
# Time for which a departure is sent to members that have not confirmed it. A
# member that is away for longer queries its peers when it is back.
_NOTICE_KEPT_MS = 60_000
# Time limit of the wait for a first peer before that, after which a node counts
# as the only one of the mesh.
_JOIN_TIMEOUT_S = 0.5
# Maximum pause between two checks of the replies to queries.
_MAX_PAUSE_S = 0.1
# Maximum number of departures in one frame, about 60 bytes each. They cover the
# targets that a mesh of 1,000 targets replaces within three days.
_MAX_SHARED = 1024
# Random request ids differ from those of an earlier process of this node, whose
# replies may arrive late. They stay below 2**63.
_ID_BYTES = 7

# Sends a frame on the stream that a request arrived on.
ReplySender = Callable[[WireMessage], None]


@attrs.define(eq=False)
class Notice:
    """A departure that this node sends to every member.

    Attributes:
        request: The frame with the departure.
        began_ms: Time of the departure.
        confirmed: Members that have confirmed the departure.
        unreachable: Members to which no stream could be opened.
        sent_ms: When the frame was last sent to each member.
        changed: Set when a member confirms or turns out to be unreachable.
    """

    request: DepartureSyncRequest
    began_ms: int
    confirmed: set[str] = attrs.field(factory=set)
    unreachable: set[str] = attrs.field(factory=set)
    sent_ms: dict[str, int] = attrs.field(factory=dict)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def on_confirmed(self, node: str) -> None:
        """Records that a member has the departure."""
        self.confirmed.add(node)
        self.changed.set()

    def on_unreachable(self, node: str) -> None:
        """Records that no stream to a member could be opened."""
        self.unreachable.add(node)
        self.changed.set()

    def pending(self, members: Iterable[MemberEntry]) -> list[MemberEntry]:
        """Returns the members that have neither confirmed nor failed."""
        settled = self.confirmed | self.unreachable
        return [entry for entry in members if entry.node not in settled]


@attrs.define(eq=False)
class PeerDepartures:
    """Keeps departures at the peers, where they survive an outage of the log.

    Attributes:
        known: The departures that this node knows.
        members: The node's table of members.
        links: Streams to peers.
        clock: The node's clock.
        joined: Set while another member is known to be present.
        complete: Set once this node knows every departure that was acknowledged
            before its start.
        on_learned: Called when a peer has sent a new departure.
        survey: Queries to peers that are under way; None if there are none.
        query_ids: Ids of these queries.
        replied: Set when a peer replies to one of them.
        incomplete_replies: Queries answered before this node knew every
            departure, each with the function that sends a reply, by peer.
        notices: Departures that this process has sent, by request id.
        tasks: Frames that are being sent.
    """

    known: Departures
    members: MemberTable
    links: PeerLinks
    clock: Clock
    joined: asyncio.Event
    complete: asyncio.Event
    on_learned: Callable[[], None]
    survey: PeerSurvey | None = None
    query_ids: set[int] = attrs.field(factory=set)
    replied: asyncio.Event = attrs.field(factory=asyncio.Event)
    incomplete_replies: dict[str, tuple[DepartureSyncRequest, ReplySender]] = (
        attrs.field(factory=dict)
    )
    notices: dict[int, Notice] = attrs.field(factory=dict)
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        self.links.frame_handlers[DepartureSyncReply] = self.receive_reply

    async def stop(self) -> None:
        """Cancels the frames that are being sent."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    # Notices of new departures.

    async def notify(self, departure: DepartureRecord) -> bool:
        """Sends a departure to every member present.

        Members that have not confirmed it in time, or that join later, get it
        again.

        Returns:
            Whether a peer has confirmed the departure, or none can be reached.
        """
        request = self._request(departure)
        notice = Notice(request, self.clock.now_ms())
        self.notices[request.request_id] = notice
        try:
            async with asyncio.timeout(NOTICE_TIMEOUT_S):
                await self._wait_joined()
                self._send_notice(notice)
                while notice.pending(self._peers()):
                    notice.changed.clear()
                    await notice.changed.wait()
        except TimeoutError:
            pending = [entry.node for entry in notice.pending(self._peers())]
            _logger.warning(
                "departures.not_confirmed",
                extra={
                    "instance": departure.instance,
                    "pending": sorted(pending),
                    "confirmed": len(notice.confirmed),
                },
            )
            return bool(notice.confirmed)
        return True

    def _peers(self) -> list[MemberEntry]:
        return [item for item in self.members.present() if item.peer_address]

    def _send_notice(self, notice: Notice) -> None:
        now_ms = self.clock.now_ms()
        for entry in self._peers():
            sent_ms = notice.sent_ms.get(entry.node)
            is_due = sent_ms is None or now_ms - sent_ms >= _NOTICE_INTERVAL_MS
            if entry.node in notice.confirmed or not is_due:
                continue
            notice.sent_ms[entry.node] = now_ms
            self._post(
                entry.peer_address,
                notice.request,
                functools.partial(notice.on_unreachable, entry.node),
            )

    def send_notices(self) -> None:
        """Sends departures to members that have not confirmed them."""
        oldest_ms = self.clock.now_ms() - _NOTICE_KEPT_MS
        for request_id, notice in list(self.notices.items()):
            if notice.began_ms < oldest_ms:
                del self.notices[request_id]
            else:
                self._send_notice(notice)

    async def _wait_joined(self) -> None:
        # A node that has just started does not know its peers yet.
        try:
            async with asyncio.timeout(_JOIN_TIMEOUT_S):
                await self.joined.wait()
        except TimeoutError:
            _logger.info("departures.no_peers")

    # Queries for the departures of peers.

    async def collect(self, max_peers: int) -> None:
        """Queries peers until their replies contain every departure.

        Args:
            max_peers: Maximum number of peers to query.
        """
        assert self.survey is None, "a survey is under way"
        survey = self.survey = PeerSurvey(self.members, max_peers)
        try:
            while not survey.is_finished(self.clock.now_ms()):
                await self.joined.wait()
                self._send_queries(survey)
                self.replied.clear()
                try:
                    async with asyncio.timeout(_MAX_PAUSE_S):
                        await self.replied.wait()
                except TimeoutError:
                    continue
        finally:
            self.survey = None
            self.query_ids.clear()

    def _send_queries(self, survey: PeerSurvey) -> None:
        due = survey.due_queries(self.clock.now_ms())
        if not due:
            return
        request = self._request(None)
        self.query_ids.add(request.request_id)
        for entry in due:
            self._post(entry.peer_address, request)

    # Frames.

    def _request(
        self, departure: DepartureRecord | None
    ) -> DepartureSyncRequest:
        return DepartureSyncRequest(
            request_id=int.from_bytes(os.urandom(_ID_BYTES), "big"),
            node=self.members.own.node,
            departure=b"" if departure is None else encode(departure),
            digest=0 if departure else digest_of(self._shared()),
        )

    def _shared(self) -> list[DepartureRecord]:
        return self.known.newest(_MAX_SHARED)

    def _post(
        self,
        address: str,
        frame: WireMessage,
        on_failed: Callable[[], None] | None = None,
    ) -> None:
        task = asyncio.create_task(self._send(address, frame, on_failed))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send(
        self,
        address: str,
        frame: WireMessage,
        on_failed: Callable[[], None] | None,
    ) -> None:
        try:
            await self.links.to(address).send(frame)
        except RequestError as error:
            _logger.debug(
                "departures.not_sent",
                extra={"peer": address, "error": error.kind.value},
            )
            if on_failed is not None:
                on_failed()

    def receive_request(
        self, frame: DepartureSyncRequest, reply: ReplySender
    ) -> None:
        """Adds a peer's departure, or replies with all that this node knows.

        Args:
            frame: The request.
            reply: Sends a frame back on the stream of the request.
        """
        if frame.departure:
            self._learn([frame.departure])
        elif not self.complete.is_set():
            self.incomplete_replies[frame.node] = frame, reply
        reply(self._reply_to(frame))

    def reply_again(self) -> None:
        """Replies to the peers that got an incomplete reply."""
        for frame, reply in self.incomplete_replies.values():
            reply(self._reply_to(frame))
        self.incomplete_replies.clear()

    def _reply_to(self, frame: DepartureSyncRequest) -> DepartureSyncReply:
        departures: list[DepartureRecord] = []
        if not frame.departure:
            departures = self._shared()
            if digest_of(departures) == frame.digest:
                departures = []
        return DepartureSyncReply(
            request_id=frame.request_id,
            node=self.members.own.node,
            complete=self.complete.is_set(),
            members=1 + sum(map(_is_not(frame.node), self.members.present())),
            departures=tuple(encode(item) for item in departures),
        )

    def receive_reply(self, frame: WireMessage) -> None:
        """Handles a peer's confirmation or its departures."""
        assert isinstance(frame, DepartureSyncReply)
        self._learn(frame.departures)
        notice = self.notices.get(frame.request_id)
        if notice is not None:
            notice.on_confirmed(frame.node)
        elif self.survey is not None and frame.request_id in self.query_ids:
            now_ms = self.clock.now_ms()
            self.survey.on_reply(
                frame.node, frame.complete, frame.members, now_ms
            )
            self.replied.set()

    def _learn(self, records: Iterable[bytes]) -> None:
        if self.known.add_all(decode_departures(records)):
            self.on_learned()


def _is_not(node: str) -> Callable[[MemberEntry], bool]:
    return lambda entry: entry.node != node
