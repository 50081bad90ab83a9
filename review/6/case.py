"""A request that crashes its targets is sent to them again and again."""

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
    Machine,
    Record,
    configuration,
    play,
    route,
    with_trouble,
)
from stand_ins_2.target import Run, Target
from stand_ins_2.traffic import Traffic

SERVICE = "replenish"
CALLER = "counter-desk"
PATH = "/reorder/"
BODY = b'{"shade": 7, "cartons": 1}'
# The sheet's figure for `reorder-place`: 120 ms on 4 targets of 18 slots.
WORK_S = 0.12
SLOTS = 18
DEADLINE_S = 2.5
# The other consumers order one after the other, two to three a second. The
# faulty request comes again after five of their orders.
PAUSE_S = 0.3
ORDERS_BETWEEN = 5
ATTEMPTS = 16
CRASHES_ALLOWED = 3
RETRIES_ALLOWED = 3


def is_faulty(run: Run) -> bool:
    """Tells whether a request crashes its target."""
    return run.path == PATH and run.caller == CALLER


async def run(deployment: Deployment, record: Record) -> int:
    """Sends the faulty request again and again, beside ordinary ones."""
    for zone in ("hobart", "launceston"):
        for service in (SERVICE, SERVICE, CALLER):
            target = Target(service, zone, SLOTS, lambda _: WORK_S)
            if with_trouble():
                target.crashes_on = is_faulty
            deployment.add(target)
    reorder = route(
        "reorder",
        PATH,
        SERVICE,
        Kind="non_idempotent",
        TimeoutMs=1200,
        AimMs=400,
        Priority=1,
    )
    await deployment.start(configuration(1, [SERVICE, CALLER], [reorder]))
    await deployment.wait_served([f"{PATH}first"])
    traffic = Traffic(deployment)
    callers = machines_of(deployment, CALLER)
    others = machines_of(deployment, SERVICE)
    for _ in range(ATTEMPTS):
        for _ in range(ORDERS_BETWEEN):
            await order(traffic, random.choice(others))
            await asyncio.sleep(PAUSE_S)
        await order(traffic, random.choice(callers))
        await asyncio.sleep(PAUSE_S)
    return judge(deployment, record)


def machines_of(deployment: Deployment, service: str) -> list[Machine]:
    """Returns the machines of a service."""
    return [
        item for item in deployment.machines if item.target.service == service
    ]


async def order(traffic: Traffic, machine: Machine) -> None:
    """Sends an order and waits for its answer."""
    await traffic.one(machine, PATH, DEADLINE_S, "POST", BODY)


def judge(deployment: Deployment, record: Record) -> int:
    """Counts the arrivals of the faulty request after the third crash."""
    arrivals = sorted(
        run.arrived_s
        for machine in deployment.machines
        for run in machine.target.runs
        if is_faulty(run)
    )
    crashes = sorted(
        crash_s
        for machine in deployment.machines
        for crash_s in machine.target.crashed_s
    )
    record.say(
        f"the faulty request reached targets {len(arrivals)} times, which"
        f" crashed {len(crashes)} times"
    )
    if not arrivals:
        return EXIT_COULD_NOT_RUN
    if len(crashes) < CRASHES_ALLOWED:
        record.say("BUDGET holds")
        return EXIT_HELD
    from_s = crashes[CRASHES_ALLOWED - 1] + STABILITY_WINDOW_S
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
