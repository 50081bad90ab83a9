"""Measures the turns of the event loop: how long they take, what runs in them.

A turn is what runs between two polls; no other request is read meanwhile. A
loop that finds callbacks or descriptors ready after each turn never waits.
Neither shows in the metrics of requests, which measure with the same loop.

Polls are measured all the time, callbacks only for a while after a finding: a
reading of the clock for each callback would cost a loaded node two percent of
its processor time.
"""

import asyncio
import fcntl
import logging
import struct
import termios
import time
from collections.abc import Callable

import attrs

_logger = logging.getLogger(__name__)
# A turn of this length is logged. Peers suspect a node that does not reply to a
# probe for about this time, and requests that arrive meanwhile are read late.
LONG_TURN_MS = 200.0
# Time without a wait that is logged. Peers and clients of the store give up a
# connection attempt or a call that gets no answer within this time.
LONG_STRETCH_MS = 500.0
# Iterations of the loop without a wait that are logged. A request takes about a
# dozen, so this many serve hundreds of requests, or none.
MANY_ITERATIONS = 10_000
# Consecutive polls that report the same descriptors, while nothing but their
# handlers runs, from which they are logged.
MANY_UNMOVED_POLLS = 1000
# Shortest time between two readings of the processor time, which cost a system
# call each.
_PROCESSOR_READING_INTERVAL_S = 0.05
# Time for which callbacks are measured after a finding, so that the next one
# names what ran.
_NAMING_S = 60.0
# Shortest time between two lines of one kind.
_LOG_INTERVAL_S = 1.0
_MS_PER_S = 1000


def socket_queues(descriptor: int) -> tuple[int, int]:
    """Returns the unread and the unsent bytes of a connection; 0 if unknown."""
    sizes = []
    for request in (termios.FIONREAD, termios.TIOCOUTQ):
        try:
            data = fcntl.ioctl(descriptor, request, bytes(4))
        except OSError:
            return 0, 0
        sizes.append(struct.unpack("i", data)[0])
    return sizes[0], sizes[1]


@attrs.define(eq=False)
class LoopMonitor:
    """Figures of one event loop.

    Attributes:
        now_s: Returns a monotonic time in seconds.
        processor_s: Returns the thread's processor time in seconds.
        queues: Returns the unread and unsent bytes of a descriptor.
        mark_s: End of the last callback or poll.
        turn_began_s: Begin of the turn.
        waited_s: End of the last wait.
        processor_read_s: Time of the last reading of the processor time, at the
            end of a wait.
        last_processor_s: Processor time then.
        turn_iterations: Iterations of the loop in the last turn.
        names_until_s: Time until which callbacks are measured.
        run_handle: The function that runs a handle while callbacks are
            measured; None while they are not.
        slowest_s: Time of the slowest measured callback of the turn.
        slowest: Handle of that callback.
        iterations_without_wait: Iterations of the loop since the last wait.
        ready: Descriptors that the last poll reported.
        ready_queues: Their unread and unsent bytes at the poll, once
            `unmoved_polls` is half of the number that is logged.
        unmoved_polls: Consecutive polls that reported the same descriptors,
            while nothing but their handlers ran.
        longest_turn_ms: Longest turn.
        longest_turn_callback: What took most of the longest turn; empty if
            callbacks were not measured then.
        longest_stretch_ms: Longest time between two waits.
        longest_stretch_processor_ms: Most processor time between two waits;
            up to 50 ms of the time before the first of them may be part of it.
        most_iterations_without_wait: Most iterations between two waits.
        most_unmoved_polls: Highest number of `unmoved_polls`.
        long_turns: Number of turns of at least `LONG_TURN_MS`.
        logged_s: Time of the last log line, by kind.
    """

    now_s: Callable[[], float] = time.perf_counter
    processor_s: Callable[[], float] = time.thread_time
    queues: Callable[[int], tuple[int, int]] = socket_queues
    mark_s: float = 0.0
    turn_began_s: float = 0.0
    waited_s: float = 0.0
    processor_read_s: float = 0.0
    last_processor_s: float = 0.0
    turn_iterations: int = 0
    names_until_s: float = 0.0
    run_handle: Callable[[asyncio.Handle], None] | None = None
    slowest_s: float = 0.0
    slowest: asyncio.Handle | None = None
    iterations_without_wait: int = 0
    ready: list[int] = attrs.field(factory=list)
    ready_queues: dict[int, tuple[int, int]] = attrs.field(factory=dict)
    unmoved_polls: int = 0
    longest_turn_ms: float = 0.0
    longest_turn_callback: str = ""
    longest_stretch_ms: float = 0.0
    longest_stretch_processor_ms: float = 0.0
    most_iterations_without_wait: int = 0
    most_unmoved_polls: int = 0
    long_turns: int = 0
    logged_s: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.mark_s = self.turn_began_s = self.waited_s = self.now_s()
        self.processor_read_s = self.mark_s
        self.last_processor_s = self.processor_s()

    def on_turn_ended(self, iterations: int) -> None:
        """Handles the end of a turn; the loop is about to poll.

        Args:
            iterations: Iterations of the loop in the turn.
        """
        self.mark_s = self.now_s()
        turn_ms = (self.mark_s - self.turn_began_s) * _MS_PER_S
        if turn_ms > self.longest_turn_ms:
            self.longest_turn_ms = turn_ms
            self.longest_turn_callback = self._slowest_name()
        if turn_ms >= LONG_TURN_MS:
            self.long_turns += 1
            self._log_turn(turn_ms)
        self.turn_iterations = iterations
        self.iterations_without_wait += iterations
        if self.iterations_without_wait >= MANY_ITERATIONS:
            self._log_iterations()
        if self.ready_queues:
            self._check_moved()
        if self.run_handle is not None:
            self.slowest_s, self.slowest = 0.0, None
            if self.mark_s > self.names_until_s:
                self.stop_naming()

    def on_poll(self, ready: list[int], waited: bool) -> None:
        """Handles the end of a poll.

        Args:
            ready: Descriptors that it reported.
            waited: Whether the poll could wait.
        """
        # After an iteration in which only handlers ran, and none caused further
        # callbacks, the loop may wait.
        if ready and self.turn_iterations == 1 and ready == self.ready:
            self._count_unmoved()
        else:
            self.unmoved_polls = 0
        self.ready = ready
        now_s = self.now_s()
        if waited:
            self._end_stretch(now_s)
        self.mark_s = self.turn_began_s = now_s

    def _end_stretch(self, now_s: float) -> None:
        stretch_ms = (self.mark_s - self.waited_s) * _MS_PER_S
        if self.iterations_without_wait > self.most_iterations_without_wait:
            self.most_iterations_without_wait = self.iterations_without_wait
        if stretch_ms > self.longest_stretch_ms:
            self.longest_stretch_ms = stretch_ms
        if now_s - self.processor_read_s >= _PROCESSOR_READING_INTERVAL_S:
            self._read_processor_time(now_s, stretch_ms)
        self.waited_s = now_s
        self.iterations_without_wait = 0

    def _read_processor_time(self, now_s: float, stretch_ms: float) -> None:
        processor_s = self.processor_s()
        used_ms = (processor_s - self.last_processor_s) * _MS_PER_S
        self.last_processor_s = processor_s
        self.processor_read_s = now_s
        if used_ms > self.longest_stretch_processor_ms:
            self.longest_stretch_processor_ms = used_ms
        # In a simulation of the platform, the clock may stand still between two
        # waits, and only the processor time tells.
        is_long = max(stretch_ms, used_ms) >= LONG_STRETCH_MS
        if is_long and self._may_log("stretch"):
            _logger.warning(
                "loop.did_not_wait",
                extra={
                    "ms": round(stretch_ms),
                    "processor_ms": round(used_ms),
                    "iterations": self.iterations_without_wait,
                    "longest_turn_ms": round(self.longest_turn_ms),
                    "callback": self.longest_turn_callback,
                },
            )

    def _count_unmoved(self) -> None:
        self.unmoved_polls += 1
        if self.unmoved_polls < MANY_UNMOVED_POLLS // 2:
            return
        # A client that sends byte by byte looks the same so far, and often its
        # next byte has arrived when the queues are compared.
        self.ready_queues = {item: self.queues(item) for item in self.ready}

    def _check_moved(self) -> None:
        before, self.ready_queues = self.ready_queues, {}
        if any(self.queues(item) != sizes for item, sizes in before.items()):
            self.unmoved_polls = 0
        if self.unmoved_polls < MANY_UNMOVED_POLLS:
            return
        self.most_unmoved_polls = max(
            self.most_unmoved_polls, self.unmoved_polls
        )
        if self._may_log("unmoved"):
            _logger.warning(
                "loop.descriptors_stay_ready",
                extra={
                    "polls": self.unmoved_polls,
                    "descriptors": sorted(before),
                    "callback": self._slowest_name(),
                },
            )

    def _log_turn(self, turn_ms: float) -> None:
        if not self._may_log("turn"):
            return
        _logger.warning(
            "loop.long_turn",
            extra={
                "ms": round(turn_ms),
                "iterations": self.turn_iterations,
                "callback": self._slowest_name(),
                "callback_ms": round(self.slowest_s * _MS_PER_S),
                "long_turns": self.long_turns,
            },
        )

    def _log_iterations(self) -> None:
        if not self._may_log("iterations"):
            return
        _logger.warning(
            "loop.no_wait",
            extra={
                "iterations": self.iterations_without_wait,
                "ms": round((self.mark_s - self.waited_s) * _MS_PER_S),
                "callback": self._slowest_name(),
            },
        )

    def _may_log(self, kind: str) -> bool:
        self._name_callbacks()
        last_s = self.logged_s.get(kind)
        if last_s is not None and self.mark_s - last_s < _LOG_INTERVAL_S:
            return False
        self.logged_s[kind] = self.mark_s
        return True

    def _slowest_name(self) -> str:
        return "" if self.slowest is None else describe_handle(self.slowest)

    def _name_callbacks(self) -> None:
        """Measures all callbacks of the process's event loop for a while.

        asyncio names slow callbacks only in its debug mode, which costs several
        times as much as a callback itself.
        """
        self.names_until_s = self.mark_s + _NAMING_S
        if self.run_handle is not None:
            return
        run = self.run_handle = asyncio.Handle._run
        read_clock_s = self.now_s

        def run_and_measure(handle: asyncio.Handle) -> None:
            run(handle)
            now_s = read_clock_s()
            took_s = now_s - self.mark_s
            self.mark_s = now_s
            if took_s > self.slowest_s:
                self.slowest_s = took_s
                self.slowest = handle

        asyncio.Handle._run = run_and_measure  # type: ignore[assignment]

    def stop_naming(self) -> None:
        """Measures callbacks no longer."""
        if self.run_handle is not None:
            asyncio.Handle._run = self.run_handle  # type: ignore
            self.run_handle = None


def describe_handle(handle: asyncio.Handle) -> str:
    """Returns the name of a handle's task and coroutine, or of its callback."""
    callback = getattr(handle, "_callback", None)
    owner = getattr(callback, "__self__", None)
    if isinstance(owner, asyncio.Task):
        coroutine = owner.get_coro()
        name = getattr(coroutine, "__qualname__", type(coroutine).__name__)
        return f"{owner.get_name()} {name}"
    if callback is None:
        return "cancelled"
    # No `repr`: that of a bound method holds the method's whole object.
    name = getattr(callback, "__qualname__", type(callback).__qualname__)
    return str(name)
