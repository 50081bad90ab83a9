"""The event loop and the garbage collector settings of a node's process."""

import asyncio
import faulthandler
import gc
import os
import selectors
import signal
import sys
from collections.abc import Coroutine
from typing import NoReturn, TypeVar

from pomelobank_node._loop_monitor import LoopMonitor

# Consecutive loop iterations that may skip the poll for I/O events while
# callbacks are ready. A request takes about this many iterations in a node, so
# new events wait no longer than one request takes.
MAX_SKIPPED_POLLS = 16

# Allocations between collections of the youngest generation. Each closed
# connection leaves a reference cycle of its parser, protocol and transport; at
# ten times this threshold, 5 MB of these cycles stay in memory.
_YOUNG_GENERATION_ALLOCATIONS = 2_000
# Collections of one generation before the next older one is collected.
_COLLECTIONS_PER_OLDER_GENERATION = 10

ResultT = TypeVar("ResultT")


class PollSkippingSelector(selectors.DefaultSelector):
    """Skips most polls for I/O events while the loop has callbacks to run.

    The standard loop polls in each iteration, even if callbacks are ready. A
    request takes a dozen such iterations, so most system calls of a node would
    be polls whose events can wait.

    Attributes:
        skipped_polls: Number of consecutive polls skipped so far.
        monitor: Measures the loop's turns.
    """

    def __init__(self, monitor: LoopMonitor | None = None) -> None:
        super().__init__()
        self.skipped_polls = 0
        self.monitor = monitor or LoopMonitor()

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns the ready events; an empty list if the poll is skipped."""
        is_non_blocking = timeout is not None and timeout <= 0
        if is_non_blocking and self.skipped_polls < MAX_SKIPPED_POLLS:
            self.skipped_polls += 1
            return []
        self.monitor.on_turn_ended(1 + self.skipped_polls)
        self.skipped_polls = 0
        events: list[tuple[selectors.SelectorKey, int]] = super().select(
            timeout
        )
        ready = [key.fd for key, _ in events]
        self.monitor.on_poll(ready, not is_non_blocking)
        return events


class MonitoredEventLoop(asyncio.SelectorEventLoop):
    """The event loop of a node.

    Attributes:
        monitor: Measures the loop's turns.
    """

    def __init__(self) -> None:
        self.monitor = LoopMonitor()
        super().__init__(PollSkippingSelector(self.monitor))


def running_monitor() -> LoopMonitor:
    """Returns the monitor of the running event loop; a new one without any."""
    loop = asyncio.get_running_loop()
    if isinstance(loop, MonitoredEventLoop):
        return loop.monitor
    return LoopMonitor()


def tune_garbage_collector() -> None:
    """Shortens the pauses of the garbage collector.

    A full collection traverses all imported modules. It blocks all requests
    for tens of milliseconds, which shows as latency outliers far beyond the
    99th percentile. Objects that exist at start-up never become garbage, so
    this function excludes them from collection.
    """
    gc.freeze()
    gc.set_threshold(
        _YOUNG_GENERATION_ALLOCATIONS,
        _COLLECTIONS_PER_OLDER_GENERATION,
        _COLLECTIONS_PER_OLDER_GENERATION,
    )
    gc.enable()


def run_program(main: Coroutine[None, None, ResultT]) -> ResultT:
    """Runs a program's main coroutine and returns its result.

    The signal SIGUSR1 writes the stack to standard error, also in a process
    whose event loop no longer turns.
    """
    faulthandler.register(signal.SIGUSR1)
    loop = MonitoredEventLoop()
    try:
        with asyncio.Runner(loop_factory=lambda: loop) as runner:
            return runner.run(main)
    finally:
        loop.monitor.stop_naming()


def end_process(status: int) -> NoReturn:
    """Ends the process without the interpreter's clean-up.

    The clean-up releases every module and object, which the operating system
    does anyway. It takes a tenth of a second of CPU time, and no listener
    accepts callers until the next process has started.

    Args:
        status: Exit status of the process.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)
