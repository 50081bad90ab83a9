"""The feed's life cycle."""

import asyncio
import contextlib

from pomelobank_core import ManualClock, MemberTable
from pomelobank_node._config_feed import ConfigFeed
from pomelobank_node._config_store import ConfigStore
from pomelobank_node._log_client import LogClient
from pomelobank_node._peer_links import PeerLinks
from pomelobank_schema.generated.peer import Hello, MemberEntry
from pomelobank_schema.generated.settings import LogSettings, NodeSettings


async def test_a_cancellation_that_is_lost_does_not_keep_the_node() -> None:
    """The log's time-out fires in the instant in which the node stops.

    The reading task takes the one for the other and goes on; the node would
    never end, and whoever stops it would have to kill it.
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
    begun = asyncio.Event()

    async def lose_one_cancellation() -> None:
        begun.set()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.Event().wait()
        await asyncio.Event().wait()

    feed.tasks.append(asyncio.create_task(lose_one_cancellation()))
    await begun.wait()
    async with asyncio.timeout(20):
        await feed.stop()
    assert feed.tasks[0].done()
