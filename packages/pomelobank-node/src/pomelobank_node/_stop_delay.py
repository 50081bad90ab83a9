"""Delays the removal of a stopping node's target from the mesh."""

import asyncio

import attrs

from pomelobank_core import (
    WORK_RESERVE_FACTOR,
    Clock,
    ShutdownAdmission,
    StopOrder,
)
from pomelobank_node._admission_queue import AdmissionQueue
from pomelobank_node._membership import Membership

# Time for the membership updates of peers that stop at the same time to arrive.
PEER_UPDATE_MS = 200
_POLL_S = 0.02
_MS_PER_S = 1000


@attrs.define(eq=False)
class StopDelay:
    """Keeps a stopping node's target open while `StopOrder` requires it.

    Attributes:
        membership: Provides the states of the mesh's nodes.
        admission_queue: Provides the expected service times of the node's own
            target.
        clock: Provides the current time.
        shutdown_admission: Rejects requests that may outlast the node.
    """

    membership: Membership
    admission_queue: AdmissionQueue
    clock: Clock
    shutdown_admission: ShutdownAdmission

    async def wait(
        self, routing_stops_at_ms: int, end_ms: int, close_update_ms: int
    ) -> None:
        """Returns once the target may be closed.

        Args:
            routing_stops_at_ms: When the platform stops routing callers to the
                node, if there are other nodes.
            end_ms: When the node's requests must be done.
            close_update_ms: Time until all peers know of the closed target.
        """
        members = self.membership.table
        stop_order = StopOrder(members.own.node, members.own.data_centre)
        reserve_ms = (
            WORK_RESERVE_FACTOR * self.admission_queue.max_expected_service_ms()
        )
        latest_close_ms = end_ms - close_update_ms - reserve_ms
        if self.clock.now_ms() + PEER_UPDATE_MS >= latest_close_ms:
            return
        if not stop_order.in_second_group(members.all()):
            return
        await asyncio.sleep(PEER_UPDATE_MS / _MS_PER_S)
        while stop_order.must_wait(members.all()):
            now_ms = self.clock.now_ms()
            if now_ms >= latest_close_ms:
                return
            if now_ms >= routing_stops_at_ms:
                self.shutdown_admission.shutdown_at_ms = end_ms
            await asyncio.sleep(_POLL_S)
