"""The event loop and the garbage collector of a node's process."""

import asyncio
import gc
import selectors
from collections.abc import Coroutine
from typing import TypeVar

# Turns of the loop without a question to the kernel while callbacks are ready.
# A request takes about this many turns on its way through a node; new events
# wait for that at most.
MAX_SKIPPED_POLLS = 16

# Objects that are made before the youngest are looked at. Each closed
# connection leaves a cycle of its parser, protocol and transport; with ten
# times as many, five megabytes of them stay.
_YOUNG_OBJECTS = 2_000
_YOUNG_ROUNDS = 10

ResultT = TypeVar("ResultT")


class PollSkippingSelector(selectors.DefaultSelector):
    """Skips questions that would only be asked in passing.

    The loop asks for events in each turn, also where its own callbacks are
    ready. One request passes through a dozen such turns, so that most system
    calls of a node were questions whose answer could have waited.

    Attributes:
        skipped: Questions that were skipped in a row.
    """

    def __init__(self) -> None:
        super().__init__()
        self.skipped = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns what is ready; nothing where the loop has work to do."""
        is_passing = timeout is not None and timeout <= 0
        if is_passing and self.skipped < MAX_SKIPPED_POLLS:
            self.skipped += 1
            return []
        self.skipped = 0
        events: list[tuple[selectors.SelectorKey, int]] = super().select(
            timeout
        )
        return events


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Returns the event loop of a node."""
    return asyncio.SelectorEventLoop(PollSkippingSelector())


def tune_garbage_collector() -> None:
    """Keeps the garbage collector from stopping requests.

    A full collection walks everything that was imported, tens of milliseconds
    in which no request moves: it shows as outliers far beyond the 99th
    percentile. What exists at the start is never garbage, so it is left out.
    """
    gc.freeze()
    gc.set_threshold(_YOUNG_OBJECTS, _YOUNG_ROUNDS, _YOUNG_ROUNDS)
    gc.enable()


def run_program(main: Coroutine[None, None, ResultT]) -> ResultT:
    """Runs a program's main coroutine to its end and returns its result."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        return runner.run(main)
