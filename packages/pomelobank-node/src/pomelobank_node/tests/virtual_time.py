"""An event loop with virtual time, which jumps to the next timer."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

import attrs

from pomelobank_core import Clock

_MS_PER_S = 1000


@attrs.define(eq=False)
class VirtualTime:
    """The virtual time of one run.

    Attributes:
        now_s: Virtual seconds since the start of the run.
    """

    now_s: float = 0.0


class _JumpingSelector(selectors.SelectSelector):
    """Never blocks; adds each time-out to the virtual time instead."""

    def __init__(self, time: VirtualTime) -> None:
        super().__init__()
        self.time = time

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is not None and timeout > 0:
            self.time.now_s += timeout
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self, time: VirtualTime) -> None:
        self.virtual = time
        super().__init__(_JumpingSelector(time))

    def time(self) -> float:
        return self.virtual.now_s


@attrs.define
class VirtualClock(Clock):
    """A clock that returns the virtual time of a run.

    Attributes:
        time: The virtual time.
    """

    time: VirtualTime

    def now_ms(self) -> int:
        return int(self.time.now_s * _MS_PER_S)

    def wall_ms(self) -> int:
        return self.now_ms()


def run_in_virtual_time(
    time: VirtualTime, work: Coroutine[Any, Any, None]
) -> None:
    """Runs a coroutine whose sleeps take virtual time only."""
    loop = _VirtualLoop(time)
    try:
        loop.run_until_complete(work)
    finally:
        loop.close()
