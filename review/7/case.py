"""Nodes that restart together forget which request crashes targets."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins_2.deployment import (
    EXIT_BROKEN,
    EXIT_COULD_NOT_RUN,
    EXIT_HELD,
    STABILITY_WINDOW_S,
    Deployment,
    Record,
    configuration,
    play,
    route,
    with_trouble,
)
from stand_ins_2.target import Run, Target
from stand_ins_2.traffic import Traffic

SERVICE = "replenish"
ORDERS = "/reorder/"
FAULTY = "/reorder/faulty"
BODY = b'{"shade": 7, "cartons": 1}'
WORK_S = 0.12
SLOTS = 18
DEADLINE_S = 2.5
# Pause before the caller sends the faulty request again.
PAUSE_S = 3.0
ATTEMPTS = 3
KILLS = 3
DOWN_S = 0.5
CRASHES_ALLOWED = 3
RETRIES_ALLOWED = 3


def is_faulty(run: Run) -> bool:
    """Tells whether a request crashes its target."""
    return run.path == FAULTY


async def run(deployment: Deployment, record: Record) -> int:
    """Sends the faulty request before and after the nodes are killed."""
    for zone in ("hobart", "launceston"):
        for _ in range(2):
            target = Target(SERVICE, zone, SLOTS, lambda _: WORK_S)
            target.crashes_on = is_faulty
            deployment.add(target)
    reorder = route(
        "reorder", ORDERS, SERVICE, Kind="non_idempotent", TimeoutMs=1200
    )
    await deployment.start(configuration(1, [SERVICE], [reorder]))
    await deployment.wait_served([f"{ORDERS}first"])
    traffic = Traffic(deployment)
    await send_faulty(deployment, traffic)
    for _ in range(KILLS):
        if with_trouble():
            await kill_all(deployment)
        await asyncio.sleep(2 * STABILITY_WINDOW_S)
        await send_faulty(deployment, traffic)
    return judge(deployment, record)


async def kill_all(deployment: Deployment) -> None:
    """Kills all nodes at once and starts them again."""
    await asyncio.gather(
        *(deployment.kill_node(item) for item in deployment.machines)
    )
    await asyncio.sleep(DOWN_S)
    for machine in deployment.machines:
        machine.is_ready = False
        await deployment.start_node(machine)
    await deployment.wait_ready()


async def send_faulty(deployment: Deployment, traffic: Traffic) -> None:
    """Sends the faulty request a few times, at any machine."""
    for _ in range(ATTEMPTS):
        machine = random.choice(deployment.machines)
        await traffic.one(machine, FAULTY, DEADLINE_S, "POST", BODY)
        await asyncio.sleep(PAUSE_S)


def judge(deployment: Deployment, record: Record) -> int:
    """Counts the arrivals of the faulty request after the third crash."""
    arrivals = sorted(
        run.arrived_s
        for machine in deployment.machines
        for run in machine.target.runs
        if is_faulty(run)
    )
    record.say(f"the faulty request reached targets {len(arrivals)} times")
    if not arrivals:
        return EXIT_COULD_NOT_RUN
    late = 0
    if len(arrivals) > CRASHES_ALLOWED:
        from_s = arrivals[CRASHES_ALLOWED - 1] + STABILITY_WINDOW_S
        late = sum(at_s > from_s for at_s in arrivals)
    record.say(
        f"{late} arrivals later than {STABILITY_WINDOW_S:.0f} s after the"
        f" third crash, {RETRIES_ALLOWED} are allowed"
    )
    if late > RETRIES_ALLOWED:
        record.say("BUDGET is broken")
        return EXIT_BROKEN
    record.say("BUDGET holds")
    return EXIT_HELD


if __name__ == "__main__":
    sys.exit(play(Path(__file__).with_name("record.txt"), run))
