"""All balancers are replaced while flows are open; every target lives on."""

import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standin-2"))
from world import Record, Requesters, Router, Store, Target, World, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

SERVICE = "datum-live"
ROUTE = ("127.198.0.1", 443)
OLD, NEW, SIDES = (10, 11), (12, 13), (30, 31, 32, 33, 34, 35, 36, 37)
FLOWS = 200
PAUSE_S = (1.0, 8.0)    # Between two requests of a flow; idle limit: 15 s.
DEADLINE_S = 2.0
LOGGED = ("started", "stopping", "stopped", "agent_heard", "balancer_heard",
          "balancer_left", "ready", "reset_not_found")


def config():
    return {"Version": 3, "Routes": [{
        "Name": "r-1", "Host": ROUTE[0], "PathPrefix": "/%d/" % ROUTE[1],
        "Type": "idempotent", "TimeoutMs": 2000, "AimMs": 200, "Priority": 1,
        "Service": SERVICE, "Attempts": 2}],
        "Services": [{"Name": SERVICE, "HealthPath": "/health",
                      "MaxConnections": 2000, "Protocol": "h1", "Tls": False}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


async def user(record, requesters, number, until, counts):
    """Keeps one flow open and sends requests on it, with pauses."""
    await asyncio.sleep(random.uniform(0, 2))
    flow = None
    n = 0
    while time.monotonic() < until:
        if flow is None or flow.state != "open":
            flow = await requesters.open(ROUTE)
            if flow.state != "open":
                counts["unopened"] += 1
                await asyncio.sleep(0.5)
                continue
            flow.since = time.monotonic()
        n += 1
        counts["sent"] += 1
        answer = await requesters.request(flow, "q%d.%d" % (number, n), 150, DEADLINE_S)
        if answer:
            counts["answered"] += 1
        elif flow.state == "open":
            flow.state = "given up"  # The next request takes a new flow.
        await requesters.wait(flow, lambda: flow.state != "open",
                              random.uniform(*PAUSE_S))


async def main(record):
    world = World()
    try:
        return await play(record, world)
    finally:
        await world.close()


async def play(record, world):
    store = Store((world.ip(1), world.store_port))
    await store.start()
    store.put("config", "main", config())

    async def balancer(host):
        # The platform's seeds: the balancers that ran when the day began.
        await world.start("balancer", "edge-%d" % host, world.values(
            "edge-%d" % host, host, "z", store.address, OLD))

    for host in OLD:
        await balancer(host)
    for host in SIDES:
        name = "side-%d" % host
        await world.start("agent", name, world.values(
            name, host, "z", store.address, OLD, SERVICE))
        await Target(record, "i-%d" % host, SERVICE, (world.ip(host), world.app),
                     (world.ip(host), world.outbound),
                     (world.ip(host), world.control), "z").start()
    router = Router(world, OLD)
    asyncio.ensure_future(router.run())
    for _ in range(40):
        await asyncio.sleep(0.25)
        if len(router.rotation()) == len(OLD):
            break
    else:
        record("the balancers did not get ready")
        return 2
    requesters = Requesters(record, (world.ip(40), world.packets), router)
    await requesters.start()
    counts = {"sent": 0, "answered": 0, "unopened": 0}
    until = time.monotonic() + 28
    users = [asyncio.ensure_future(user(record, requesters, n, until, counts))
             for n in range(FLOWS)]
    await asyncio.sleep(8)
    if TROUBLE:
        for host in OLD:
            record("balancer edge-%d gets SIGTERM and leaves" % host)
            await world.stop("edge-%d" % host, signal.SIGTERM)
            record("balancer edge-%d has ended" % host)
            await asyncio.sleep(1.0)
        router.hosts = list(NEW)
        for host in NEW:
            record("balancer edge-%d is added" % host)
            await balancer(host)
    await asyncio.gather(*users)
    resets = [(f, s) for f, s in requesters.resets_of_open]
    wrong = 0
    for flow, by_system in resets:
        record("flow from port %d to %s:%d, open for %.1f s, was reset by %s "
               "(a reset of the system's own: %s)" % (
                   flow.source[1], *flow.destination,
                   time.monotonic() - flow.since, flow.reset_by, by_system))
        wrong += 1 if by_system else 0
    for name in ["edge-%d" % h for h in OLD + NEW]:
        path = os.path.join(world.folder, name + ".log")
        if os.path.exists(path):
            with open(path) as f:
                for line in f:
                    if any(word in line for word in LOGGED):
                        record(name + ": " + line.strip()[:250])
    alive = all(p.returncode is None for p in world.processes.values())
    record("requests sent %(sent)d, answered %(answered)d; attempts that opened "
           "no flow %(unopened)d" % counts)
    record("open flows at living targets that the system reset: %d; all programs "
           "ran to the end: %s" % (wrong, alive))
    if counts["answered"] == 0 or not alive:
        return 2
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(run_case(main, os.path.dirname(os.path.abspath(__file__))))
