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

# Time for the membership updates of peers that stop at the same time.
PEER_UPDATE_MS = 200
_POLL_S = 0.02
_MS_PER_S = 1000


@attrs.define(eq=False)
class StopDelay:
    """Applies the stop order to a node that is shutting down.

    Attributes:
        membership: Provides the states of the mesh's nodes.
        gate: Provides the usual request times of the node's own target.
        clock: Provides the current time.
        last_requests: Refuses requests that may outlast the node.
    """

    membership: Membership
    gate: AdmissionQueue
    clock: Clock
    last_requests: ShutdownAdmission

    async def wait(self, routed_at_ms: int, end_ms: int, news_ms: int) -> None:
        """Returns once the target may be closed.

        Args:
            routed_at_ms: When the platform no longer routes callers to the
                node, if there are other nodes.
            end_ms: When the node's requests have to be done.
            news_ms: Time until peers know that the target is closed.
        """
        table = self.membership.table
        order = StopOrder(table.own.node, table.own.data_centre)
        reserve_ms = WORK_RESERVE_FACTOR * self.gate.max_expected_service_ms()
        latest_close_ms = end_ms - news_ms - reserve_ms
        if self.clock.now_ms() + PEER_UPDATE_MS >= latest_close_ms:
            return
        if not order.in_second_group(table.all()):
            return
        await asyncio.sleep(PEER_UPDATE_MS / _MS_PER_S)
        while order.must_wait(table.all()):
            now_ms = self.clock.now_ms()
            if now_ms >= latest_close_ms:
                return
            if now_ms >= routed_at_ms:
                self.last_requests.shutdown_at_ms = end_ms
            await asyncio.sleep(_POLL_S)
