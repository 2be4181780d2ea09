"""A power loss, with which the store comes back from an older copy, after a hand-over of the lease."""
import asyncio
import itertools
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from fleet2 import (HOST, ModelReplica, Node, Store, TROUBLE, Unplayable, ask, free_ports, machine_ips, now,
                    play, resolve, until_ready)

SERVICE = "model-pool"
ADAPTERS = 6  # of each model
ADAPTER_SLOTS = 2  # of a replica
DARK_S = 1.5  # machines without power, and the store away
RESTART_S = 0.5


async def callers(nodes, record, ends):
    """Ask for all adapters in turn, so that the holder always has orders to give."""
    names = itertools.cycle([f"m{model}/a{number}" for number in range(1, ADAPTERS + 1)
                             for model in (1, 2)])
    for number in itertools.count(1):
        await asyncio.sleep(0.06)
        asyncio.create_task(one_call(nodes, number, next(names), ends))


async def one_call(nodes, number, model, ends):
    addresses = await resolve(random.sample(nodes, len(nodes)))
    if not addresses:
        return
    status, _, _ = await ask(random.choice(addresses), "POST", "/chat/x", {
        "Attempt-Id": f"{number:016x}", "Model": model, "Token-Count": "40,22",
        "Prompt-Prefix": f"aa:20,{number:x}:20", "Deadline-Ms": 3000}, b"hello", timeout=4)
    ends[status] = ends.get(status, 0) + 1


async def order_of(replicas, after, words, seconds=15.0):
    """Waits for an order that was given after a time, and returns its holder."""
    end = now() + seconds
    while now() < end:
        for replica in replicas:
            for at, holder, token, _ in replica.orders:
                if at > after:
                    return holder
        await asyncio.sleep(0.05)
    raise Unplayable(f"no order {words}")


async def case(record, scratch, nodes):
    store = Store(record)
    store.on_write = lambda kind, name, spec, deleted: (
        record("lease", spec) if kind == "burdock-leases" else None)
    await store.start()
    models = [{"name": f"m{number}", "weights_mb": 40000, "load_s": 1.4, "adapters": ADAPTERS,
               "adapter_mb": 100} for number in (1, 2)]
    config = {
        "version": 3, "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576,
                                 "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
        "services": [{"name": SERVICE, "max_conns": 360, "health_path": "/healthz",
                      "engine": {"slots": 64, "kv_capacity": 139471, "stride": 2,
                                 "weights_mb": 200000, "adapter_slots": ADAPTER_SLOTS,
                                 "loads_per_s": 2.1, "models": models}}],
        "routes": [{"name": "r-1", "host": HOST, "path_prefix": "/chat/", "service": SERVICE,
                    "type": "streaming", "attempts": 2, "timeout_ms": 6000, "sticky": True,
                    "latency_goal_ms": 1200, "gap_goal_ms": 400, "priority": 1}]}
    store.put("config", "main", config)
    zones = ["a", "b", "c"]
    replicas = [ModelReplica(record, store, f"i-{zone}", SERVICE, zone, 64, ADAPTER_SLOTS, ["m1", "m2"])
                for zone in zones]
    for replica in replicas:
        await replica.start()
    ips = machine_ips(3)
    ports = free_ports(ips)
    seeds = [f"{ip}:{ports + 19}" for ip in ips]
    for zone, ip in zip(zones, ips):
        nodes.append(Node(record, scratch, store, f"edge-{zone}-1", ip, zone,
                          {each: "r" for each in zones}, seeds, ports))
        nodes[-1].start()
    await until_ready(nodes)
    by_name = {node.name: node for node in nodes}
    ends = {}
    calling = asyncio.create_task(callers(nodes, record, ends))

    first = by_name[await order_of(replicas, now(), "of the first holder")]
    record("first holder", first.name)
    await asyncio.sleep(1)
    store.save()
    record("the store's copy is of this moment")
    # Planned: one machine of a rolling restart, which hands the lease over.
    stopped_at = now()
    first.signal(signal.SIGTERM)
    while first.is_running():
        await asyncio.sleep(0.05)
    await asyncio.sleep(RESTART_S)
    first.start(is_first=False)
    second = by_name[await order_of(replicas, stopped_at + 0.5, "of the second holder")]
    record("second holder", second.name)
    await asyncio.sleep(1)

    if TROUBLE:
        record("power loss, and the store is away")
        for node in nodes:
            node.signal(signal.SIGKILL)
        store.go_away()
        for node in nodes:
            node.process.wait()
        await asyncio.sleep(DARK_S)
        store.come_back_older()
        store.put("config", "main", config)  # the operator writes again what the store has lost
        for node in nodes:
            if node is not second:  # its machine stays dark for longer
                node.start(is_first=False)
        lost_at = now()
        third = await order_of(replicas, lost_at, "after the power loss")
        record("third holder", third)
        await asyncio.sleep(3)
        second.start(is_first=False)
    await asyncio.sleep(5)
    calling.cancel()
    record("answers", ends)
    held = True
    for replica in replicas:
        holders = {}
        for at, holder, token, _ in replica.orders:
            holders.setdefault(token, {}).setdefault(holder, at)
        for token, each in sorted(holders.items()):
            record(replica.id, "token", token, "first used by", each)
            held = held and len(each) == 1
    return held


play(case, FOLDER)
