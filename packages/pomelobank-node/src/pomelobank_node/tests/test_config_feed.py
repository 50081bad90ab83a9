"""Start and stop of the configuration feed."""

import asyncio
import contextlib

from pomelobank_core import ManualClock, MemberTable
from pomelobank_node._config_feed import ConfigFeed
from pomelobank_node._config_store import ConfigStore
from pomelobank_node._log_client import LogClient
from pomelobank_node._peer_links import PeerLinks
from pomelobank_schema.generated.peer import Hello, MemberEntry
from pomelobank_schema.generated.settings import LogSettings, NodeSettings


async def test_a_swallowed_cancellation_does_not_block_the_stop() -> None:
    """A time-out of a call to the log fires while the node stops.

    The time-out swallows the cancellation of the reading task, and the task
    goes on. If the stop waited for that task without cancelling it again, the
    node would never stop and its operator would have to kill it.
    """
    log = LogSettings(address="127.0.0.1:1")
    settings = NodeSettings(node="n", data_centre="hobart", log=log)
    feed = ConfigFeed(
        settings,
        LogClient(log),
        ConfigStore(),
        MemberTable(MemberEntry(node="n")),
        PeerLinks(Hello(node="n")),
        ManualClock(),
    )
    started = asyncio.Event()

    async def swallow_one_cancellation() -> None:
        started.set()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.Event().wait()
        await asyncio.Event().wait()

    feed.tasks.append(asyncio.create_task(swallow_one_cancellation()))
    await started.wait()
    async with asyncio.timeout(20):
        await feed.stop()
    assert feed.tasks[0].done()
