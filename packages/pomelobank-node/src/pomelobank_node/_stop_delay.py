"""Delays the removal of a stopping node's target from the mesh."""

import asyncio

import attrs

from pomelobank_core import (
    WORK_RESERVE_FACTOR,
    Clock,
    StopOrder,
    StopSchedule,
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
    """

    membership: Membership
    admission_queue: AdmissionQueue
    clock: Clock

    async def wait(self, schedule: StopSchedule) -> None:
        """Returns once the target may be closed.

        Args:
            schedule: Times of the node's stop.
        """
        members = self.membership.table
        stop_order = StopOrder(members.own.node, members.own.data_centre)
        reserve_ms = (
            WORK_RESERVE_FACTOR * self.admission_queue.max_expected_service_ms()
        )
        last_work_ms = min(
            schedule.last_start_ms, schedule.requests_end_ms - reserve_ms
        )
        latest_close_ms = last_work_ms - schedule.close_update_ms
        if self.clock.now_ms() + PEER_UPDATE_MS >= latest_close_ms:
            return
        if not stop_order.in_second_group(members.all()):
            return
        await asyncio.sleep(PEER_UPDATE_MS / _MS_PER_S)
        while stop_order.must_wait(members.all()):
            if self.clock.now_ms() >= latest_close_ms:
                return
            await asyncio.sleep(_POLL_S)
