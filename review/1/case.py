"""A node forgets an acknowledged departure when it starts without the store.

Exits with 1 if the rule DRAIN was broken, 0 if it held, 2 if the case could
not run.
"""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins.platform import (
    BOUNDS,
    Platform,
    configuration,
    route,
)

SERVICES = ["orders", "orders", "desk"]
# A target that says that it leaves serves on for DrainMs and "a little longer
# (at times many seconds)".
STAY_S = 10.0
# `platform_down` with `how = "reset"`, as long as in the site file: 8 s.
OUTAGE_S = 8.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def _outage(platform: Platform) -> None:
    platform.store.set_mode("reset")
    await asyncio.sleep(OUTAGE_S)
    platform.store.set_mode("up")


async def run(platform: Platform) -> int:
    """Plays the case and returns the exit status."""
    record = platform.record
    routes = [
        route("r-look", "/look/", "orders", "idempotent"),
        route("r-order", "/order/", "orders", "non_idempotent"),
    ]
    await platform.start(configuration(7, routes, SERVICES))
    for machine in platform.machines:
        platform.spawn(machine.consume("/look/1", "GET", 0.1))
        platform.spawn(machine.consume("/order/1", "POST", 0.1))
    await asyncio.sleep(3.0)
    leaving = platform.machines[0]
    before = len(leaving.target.arrivals)
    if not before:
        record.add("the leaving target got no request before: no case")
        return 2
    acknowledged_s = await leaving.target.deregister()
    await asyncio.sleep(0.5)
    # Planned work: the node beside the target is stopped and started again.
    await leaving.stop()
    if TROUBLE:
        platform.spawn(_outage(platform))
    await asyncio.sleep(0.3)
    await leaving.start()
    await asyncio.sleep(acknowledged_s + STAY_S - record.now_s())
    await leaving.target.stop()
    await asyncio.sleep(1.0)
    return judge(platform, acknowledged_s)


def judge(platform: Platform, acknowledged_s: float) -> int:
    """Counts the late requests that the rule counts."""
    record, leaving = platform.record, platform.machines[0]
    late = [
        item
        for item in leaving.target.arrivals
        if item[0] > acknowledged_s + BOUNDS["DrainMs"] / 1000
    ]
    # Taken from the consumer and sent on by the machine that has itself
    # acknowledged, once it has run for StabilityWindowMs.
    in_touch_s = leaving.started_s + BOUNDS["StabilityWindowMs"] / 1000
    counted = [
        item
        for item in late
        if item[0] > in_touch_s and item[1].startswith(leaving.name[-1])
    ]
    record.add(f"acknowledged at {acknowledged_s:.3f}")
    record.add(f"requests run later than DrainMs: {len(late)}")
    record.add(f"of these counted by the rule: {len(counted)} {counted[:3]}")
    return 1 if counted else 0


async def main() -> int:
    """Runs the case and ends what it started."""
    platform = Platform(Path(__file__).parent, SERVICES)
    try:
        async with asyncio.timeout(100):
            return await run(platform)
    except Exception as error:
        platform.record.add(f"could not run: {error!r}")
        return 2
    finally:
        await platform.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
