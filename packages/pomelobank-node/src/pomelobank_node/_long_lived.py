"""Tasks that live as long as the node.

Nothing awaits such a task before the node stops. If an unexpected error ended
it, the process would look healthy and, for example, never read a configuration
again.
"""

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine

_logger = logging.getLogger(__name__)
# Pause before a failed task runs again. It doubles with each failure, so that
# an error that repeats costs little, and lines about it are rare.
_FIRST_PAUSE_S = 0.1
_MAX_PAUSE_S = 5.0

Work = Callable[[], Coroutine[None, None, None]]


def start_long_lived(work: Work, name: str) -> asyncio.Task[None]:
    """Starts a task that runs its work again after an unexpected error.

    Args:
        work: Returns the work; its state must allow a second run.
        name: Name of the task, for the log.

    Returns:
        The task. It ends if it is cancelled, or if the work returns.
    """
    return asyncio.create_task(_keep_running(work, name), name=name)


async def _keep_running(work: Work, name: str) -> None:
    loop = asyncio.get_running_loop()
    pause_s = _FIRST_PAUSE_S
    while True:
        began_s = loop.time()
        try:
            await work()
            return
        except Exception:
            _logger.exception("task.failed", extra={"task": name})
        if loop.time() - began_s > _MAX_PAUSE_S:
            pause_s = _FIRST_PAUSE_S
        # Nodes may fail together, at the same input.
        await asyncio.sleep(pause_s * random.uniform(0.5, 1))
        pause_s = min(2 * pause_s, _MAX_PAUSE_S)


def is_long_lived(task: asyncio.Task[None]) -> bool:
    """Returns whether a task was started by `start_long_lived`."""
    coroutine = task.get_coro()
    return getattr(coroutine, "cr_code", None) is _keep_running.__code__
