"""A route with one URL is refused for a minute after one node is killed."""

import asyncio
import itertools
import sys
from collections import Counter
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
from stand_ins_2.target import Target
from stand_ins_2.traffic import Traffic

SERVICE = "range-ledger"
OTHER_SERVICE = "counter-desk"
SERVICES = [SERVICE, OTHER_SERVICE]
LOOKUP = "/lookup/"
REPORT = "/report/"
REPORT_URL = "/report/weekly"
# The sheet's figures for `range-report`: 127 a second, 220 ms, 18 slots.
REPORTS_PER_S = 127.0
LOOKUPS_PER_S = 20.0
WORK_S = 0.22
SLOTS = 18
DEADLINE_S = 4.0
WARM_UP_S = 8.0
DOWN_S = 1.0
MEASURED_S = 25.0
# The rule counts from 20 requests on, and breaks below a quarter.
MIN_REQUESTS = 20
SHARE = 0.25


async def run(deployment: Deployment, record: Record) -> int:
    """Kills one node and counts what is served afterwards."""
    for zone in ("hobart", "launceston"):
        for service in (SERVICE, OTHER_SERVICE, OTHER_SERVICE):
            deployment.add(Target(service, zone, SLOTS, lambda _: WORK_S))
    lookup = route("lookup", LOOKUP, SERVICE)
    report = route("report", REPORT, SERVICE)
    await deployment.start(configuration(1, SERVICES, [lookup]))
    await deployment.wait_served([f"{LOOKUP}first"])
    deployment.store.publish(configuration(2, SERVICES, [lookup, report]))
    await deployment.wait_served([REPORT_URL])
    traffic = Traffic(deployment)
    numbers = itertools.count()
    deployment.spawn(
        traffic.run(
            LOOKUPS_PER_S, lambda: f"{LOOKUP}{next(numbers)}", DEADLINE_S
        )
    )
    deployment.spawn(traffic.run(REPORTS_PER_S, lambda: REPORT_URL, DEADLINE_S))
    await asyncio.sleep(WARM_UP_S)
    if with_trouble():
        killed = deployment.machines[0]
        await deployment.kill_node(killed)
        await asyncio.sleep(DOWN_S)
        await deployment.start_node(killed)
        await deployment.wait_ready()
    await asyncio.sleep(2 * STABILITY_WINDOW_S)
    begin_s = asyncio.get_running_loop().time()
    await asyncio.sleep(MEASURED_S)
    return judge(traffic, begin_s, record)


def judge(traffic: Traffic, begin_s: float, record: Record) -> int:
    """Compares how often the two routes were served."""
    shares = {}
    for prefix in (LOOKUP, REPORT):
        sent = [
            item
            for item in traffic.attempts
            if item.path.startswith(prefix) and item.sent_s >= begin_s
        ]
        served = sum(item.status == 200 for item in sent)
        ends = Counter(f"{item.status} {item.kind}" for item in sent)
        record.say(f"{prefix}: {served} of {len(sent)} served; {dict(ends)}")
        if len(sent) < MIN_REQUESTS:
            return EXIT_COULD_NOT_RUN
        shares[prefix] = served / len(sent)
    if not shares[LOOKUP]:
        return EXIT_COULD_NOT_RUN
    if shares[REPORT] < SHARE * shares[LOOKUP]:
        record.say("CONFIG is broken")
        return EXIT_BROKEN
    record.say("CONFIG holds")
    return EXIT_HELD


if __name__ == "__main__":
    sys.exit(play(Path(__file__).with_name("record.txt"), run))
