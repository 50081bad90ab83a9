"""Tells every node about requests that were in flight at a crash."""

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
)
from pomelobank_node._peer_links import PeerLinks
from pomelobank_node._requests import ForwardRequest, RequestError
from pomelobank_schema.generated.peer import CrashEvidence, CrashReport

# Up to this many members are told straight. Beyond, each node that hears a
# report for the first time passes it to a few: six reach all but about one in
# 400 nodes, and none opens a thousand streams because of one crash.
_TELL_ALL = 32
_FANOUT = 6
# Reports of an hour with a crash a second; only repeats are recognised by it.
_MAX_SEEN = 4096
_ID_BYTES = 8


def request_fingerprint(request: ForwardRequest) -> bytes:
    """Returns the fingerprint of a request."""
    if request.fingerprint:
        return request.fingerprint
    return fingerprint(
        request.route, request.method, request.target, request.body
    )


@attrs.define(eq=False)
class CrashReports:
    """Collects evidence, adds it to the table and passes it on.

    Attributes:
        table: Suspicions.
        members: Who is told.
        links: Streams to them.
        clock: Tells the time.
        seen: Ids of reports that were taken, the oldest first.
        sent: Reports sent, for the metrics.
        rejected: Requests refused as quarantined, for the metrics.
    """

    members: MemberTable
    links: PeerLinks
    clock: Clock
    table: QuarantineTable = attrs.field(factory=QuarantineTable)
    seen: dict[bytes, None] = attrs.field(factory=dict)
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    sent: int = 0
    rejected: int = 0

    def check(self, request: ForwardRequest) -> QuarantineState:
        """Returns how a request may run.

        Raises:
            RequestError: QUARANTINED.
        """
        # Digesting each body would cost every request for the sake of a few.
        if not self.table.entries:
            return QuarantineState.CLEAR
        print_ = request_fingerprint(request)
        now_ms = self.clock.now_ms()
        standing = self.table.state(print_, now_ms)
        if standing is QuarantineState.QUARANTINED:
            self.rejected += 1
            after_ms = self.table.retry_after_ms(print_, now_ms)
            raise RequestError(ErrorKind.QUARANTINED, after_ms)
        return standing

    def on_target_lost(self, requests: Iterable[ForwardRequest]) -> None:
        """Takes the requests that were at the target when it crashed."""
        prints = {request_fingerprint(request) for request in requests}
        alone = len(prints) == 1
        self._report(
            Evidence(item, points=POINTS_TARGET_LOST, alone=alone)
            for item in prints
        )

    def on_node_lost(self, request: ForwardRequest) -> None:
        """Takes a request whose node was lost while it was there."""
        print_ = request_fingerprint(request)
        self._report([Evidence(print_, points=POINTS_NODE_LOST)])

    def on_request_completed(self, request: ForwardRequest) -> None:
        """Takes a request that ran to its end."""
        if not self.table.entries:
            return
        print_ = request_fingerprint(request)
        if print_ in self.table.entries:
            self._report([Evidence(print_, cleared=True)])

    def receive(self, report: CrashReport) -> None:
        """Takes a peer's report and passes it on if it is new."""
        if report.report_id in self.seen:
            return
        self._take(report)
        if len(self.members.others) > _TELL_ALL:
            self._pass_on(report)

    def _report(self, evidence: Iterable[Evidence]) -> None:
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
        self._take(report)
        self._pass_on(report)

    def _take(self, report: CrashReport) -> None:
        self.seen[report.report_id] = None
        if len(self.seen) > _MAX_SEEN:
            del self.seen[next(iter(self.seen))]
        now_ms = self.clock.now_ms()
        for item in report.evidence:
            evidence = Evidence(
                item.fingerprint, item.points, item.alone, item.cleared
            )
            self.table.add(evidence, now_ms)

    def _pass_on(self, report: CrashReport) -> None:
        addresses = [
            entry.peer_address
            for entry in self.members.others.values()
            if entry.peer_address and entry.state != MemberState.GONE.value
        ]
        if len(addresses) > _TELL_ALL:
            addresses = random.sample(addresses, _FANOUT)
        for address in addresses:
            task = asyncio.create_task(self._send(address, report))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _send(self, address: str, report: CrashReport) -> None:
        try:
            await self.links.to(address).send(report)
            self.sent += 1
        except RequestError:
            return

    async def start(self) -> None:
        """Does nothing; reports are sent as they arise."""

    async def stop(self) -> None:
        """Ends the reports under way."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
