"""Publishes crash evidence about requests to all nodes."""

import asyncio
import os
import random
from collections.abc import Iterable

import attrs

from pomelobank_core import (
    POINTS_NODE_LOST,
    POINTS_TARGET_LOST,
    Clock,
    ErrorKind,
    Evidence,
    MemberState,
    MemberTable,
    QuarantineState,
    QuarantineTable,
    fingerprint,
    is_among_first,
)
from pomelobank_node._peer_links import PeerLinks
from pomelobank_node._requests import ForwardRequest, RequestError
from pomelobank_schema import WireMessage
from pomelobank_schema.generated.peer import (
    CrashEvidence,
    CrashReport,
    MemberEntry,
    SuspicionSync,
)

# Up to this many peers a node sends a report directly to every peer. With more
# peers, each node that receives a report for the first time forwards the report
# to `_FAN_OUT` random peers. A fan-out of six reaches all but about one in 400
# nodes, and no node opens a thousand streams because of one crash.
_MAX_DIRECT_PEERS = 32
_FAN_OUT = 6
# Maximum number of report ids that are remembered to recognise duplicates. The
# ids of an hour with one crash per second fit.
_MAX_SEEN_REPORTS = 4096
_ID_BYTES = 8
# Number of peers that send their suspicions to a member that has started, in
# case one of them has just started too, and the maximum number of suspicions
# that each sends, about 30 bytes each.
_SYNC_SENDERS = 3
_MAX_SYNCED = 256


def request_fingerprint(request: ForwardRequest) -> bytes:
    """Returns the fingerprint of a request; computes a missing one."""
    if request.fingerprint:
        return request.fingerprint
    return fingerprint(
        request.route, request.method, request.target, request.body
    )


@attrs.define(eq=False)
class CrashReports:
    """Adds evidence to the quarantine table and publishes it to peers.

    Attributes:
        members: Member table, which lists the peers.
        links: Streams to peers.
        clock: The node's clock.
        table: Evidence against requests, and quarantined requests.
        seen: Ids of handled reports, oldest first.
        incarnations: Incarnation of each member when it was last seen.
        tasks: Tasks that send reports.
        sent: Reports sent, for the metrics.
        rejected: Requests rejected as quarantined, for the metrics.
    """

    members: MemberTable
    links: PeerLinks
    clock: Clock
    table: QuarantineTable = attrs.field(factory=QuarantineTable)
    seen: dict[bytes, None] = attrs.field(factory=dict)
    incarnations: dict[str, int] = attrs.field(factory=dict)
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    sent: int = 0
    rejected: int = 0

    def check(self, request: ForwardRequest) -> QuarantineState:
        """Returns whether a request may run, and whether in isolation.

        Raises:
            RequestError: QUARANTINED if the request must not run.
        """
        # While the table has no entries, no request has evidence against it.
        # The check then skips the fingerprint, because computing it takes a
        # digest of the request's body.
        if not self.table.entries:
            return QuarantineState.CLEAR
        digest = request_fingerprint(request)
        now_ms = self.clock.now_ms()
        state = self.table.state(digest, now_ms)
        if state is QuarantineState.QUARANTINED:
            self.rejected += 1
            after_ms = self.table.retry_after_ms(digest, now_ms)
            raise RequestError(ErrorKind.QUARANTINED, after_ms)
        return state

    def on_target_lost(self, requests: Iterable[ForwardRequest]) -> None:
        """Publishes evidence against requests at a target that crashed."""
        fingerprints = {request_fingerprint(request) for request in requests}
        alone = len(fingerprints) == 1
        self._publish(
            Evidence(item, points=POINTS_TARGET_LOST, alone=alone)
            for item in fingerprints
        )

    def on_node_lost(self, request: ForwardRequest) -> None:
        """Publishes evidence against a request whose target's node was lost."""
        digest = request_fingerprint(request)
        self._publish([Evidence(digest, points=POINTS_NODE_LOST)])

    def on_request_completed(self, request: ForwardRequest) -> None:
        """Publishes that a request with evidence against it has completed."""
        if not self.table.entries:
            return
        digest = request_fingerprint(request)
        if digest in self.table.entries:
            self._publish([Evidence(digest, cleared=True)])

    def receive(self, report: CrashReport) -> None:
        """Handles a peer's report; forwards a new report in a large mesh."""
        if report.report_id in self.seen:
            return
        self._apply(report)
        if len(self.members.others) > _MAX_DIRECT_PEERS:
            self._forward(report)

    def on_member_changed(self, entry: MemberEntry) -> None:
        """Sends the suspicions to a member that has just started.

        Its earlier process may have known of a request that crashes targets,
        and the caller may send that request again at once.
        """
        if entry.state == MemberState.GONE.value:
            self.incarnations.pop(entry.node, None)
            return
        if self.incarnations.get(entry.node) == entry.incarnation:
            return
        self.incarnations[entry.node] = entry.incarnation
        if not self.table.entries or not entry.peer_address:
            return
        others = {item.node for item in self.members.present()} - {entry.node}
        own = self.members.own.node
        if is_among_first(own, others, entry.node, _SYNC_SENDERS):
            entries = self.table.newest(self.clock.now_ms(), _MAX_SYNCED)
            self._post(
                entry.peer_address, SuspicionSync(entries=tuple(entries))
            )

    def receive_sync(self, frame: SuspicionSync) -> None:
        """Adds the suspicions of a peer to those of this node."""
        now_ms = self.clock.now_ms()
        for entry in frame.entries:
            self.table.merge(entry, now_ms)

    def _publish(self, evidence: Iterable[Evidence]) -> None:
        report = CrashReport(
            report_id=os.urandom(_ID_BYTES),
            evidence=tuple(
                CrashEvidence(
                    fingerprint=item.fingerprint,
                    points=item.points,
                    alone=item.alone,
                    cleared=item.cleared,
                )
                for item in evidence
            ),
        )
        self._apply(report)
        self._forward(report)

    def _apply(self, report: CrashReport) -> None:
        self.seen[report.report_id] = None
        if len(self.seen) > _MAX_SEEN_REPORTS:
            del self.seen[next(iter(self.seen))]
        now_ms = self.clock.now_ms()
        for item in report.evidence:
            evidence = Evidence(
                item.fingerprint, item.points, item.alone, item.cleared
            )
            self.table.add(evidence, now_ms)

    def _forward(self, report: CrashReport) -> None:
        addresses = [
            entry.peer_address
            for entry in self.members.others.values()
            if entry.peer_address and entry.state != MemberState.GONE.value
        ]
        if len(addresses) > _MAX_DIRECT_PEERS:
            addresses = random.sample(addresses, _FAN_OUT)
        for address in addresses:
            self._post(address, report)

    def _post(self, address: str, frame: WireMessage) -> None:
        task = asyncio.create_task(self._send(address, frame))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send(self, address: str, frame: WireMessage) -> None:
        try:
            await self.links.to(address).send(frame)
            self.sent += 1
        except RequestError:
            return

    async def start(self) -> None:
        """Does nothing; reports are sent when evidence is added."""

    async def stop(self) -> None:
        """Cancels the reports that are being sent."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
