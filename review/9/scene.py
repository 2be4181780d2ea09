"""A part of prompts crashes replicas; prompts share two other parts; see claim.txt."""
import asyncio
import itertools
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import fleet2
from fleet2 import (HOST, ModelReplica, Node, Store, TROUBLE, ask, free_ports, machine_ips, now, play, until_ready)

SERVICE = "model-pool"
REPLICAS = 18
RUN_S = 68
FIRST_S = 29
SOUND_EVERY_S = 1.2
WORK_S = 0.35
BACK_S = 2.5
CONTACT_S = fleet2.BOUNDS["contact_ms"] / 1000
POISON = "dead"
LEAST = 20


class Replica(ModelReplica):
    crashes = []  # times
    all = []
    is_crashed = False

    async def start(self):
        Replica.all.append(self)
        self.work_s = WORK_S
        await super().start()

    async def handle(self, request):
        parts = request.headers.get("prompt-prefix", "")
        if request.path in ("/report", "/order") or f",{POISON}:" not in parts:
            return await super().handle(request)
        if request.headers.get("expect-instance", self.id) != self.id:
            return 421, {"Instance-Id": self.id, "Not-Executed": "1"}, b""
        await asyncio.sleep(0.05)
        if self.is_crashed:
            return None
        self.is_crashed = True
        Replica.crashes.append(now())
        self.record("crash of", self.id, "by", request.headers.get("attempt-id"))
        self.crash()
        return None

    def crash(self):
        self.beating.cancel()
        self.server.end()
        asyncio.get_running_loop().create_task(self.back())

    async def back(self):
        old = self.id
        await asyncio.sleep(BACK_S)
        fresh = Replica(self.record, self.store, f"{old.split('.')[0]}.{len(Replica.all)}", self.service,
                        self.zone, self.slots, self.adapter_slots, ["m1"])
        await fresh.start()
        await asyncio.sleep(max(0, 3.6 - BACK_S))
        self.store.put("servers", old, None, deleted=True)


async def case(record, scratch, nodes):
    store = Store(record)
    await store.start()
    store.put("config", "main", {
        "version": 3, "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                                 "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "services": [{"name": SERVICE, "max_conns": 360, "health_path": "/healthz",
                      "engine": {"slots": 64, "kv_capacity": 139471, "stride": 2, "weights_mb": 200000,
                                 "adapter_slots": 8, "loads_per_s": 2.1,
                                 "models": [{"name": "m1", "weights_mb": 40000, "load_s": 1.4, "adapters": 0,
                                             "adapter_mb": 100}]}}],
        "routes": [{"name": "r-1", "host": HOST, "path_prefix": "/chat/", "service": SERVICE,
                    "type": "streaming", "attempts": 1, "timeout_ms": 6000, "sticky": True,
                    "latency_goal_ms": 4000, "gap_goal_ms": 400, "priority": 1}]})
    zones = ["a", "b", "c"]
    for number in range(REPLICAS):
        replica = Replica(record, store, f"i-{number}", SERVICE, zones[number % 3], 64, 8, ["m1"])
        await replica.start()
    ips = machine_ips(3)
    ports = free_ports(ips)
    for zone, ip in zip(zones, ips):
        nodes.append(Node(record, scratch, store, f"edge-{zone}-1", ip, zone, {each: "r" for each in zones},
                          [f"{each}:{ports + 19}" for each in ips], ports))
        nodes[-1].start()
    await until_ready(nodes)
    await asyncio.sleep(2)
    ids = itertools.count(1)
    sound = []  # (sent, Attempt-Id)
    began = now()

    async def send(node, third):
        number = next(ids)
        sent = now()
        status, _, _ = await ask(node.front, "POST", "/chat/x", {
            "Attempt-Id": f"{number:016x}", "Model": "m1", "Token-Count": "2368,22", "Deadline-Ms": 8000,
            "Prompt-Prefix": f"a1:200,b2:184,{third}:184,{number:x}f:1800"}, f"text {number}".encode(), timeout=9)
        record("poisoned" if third == POISON else "sound", number, "at", node.name, "->", status)
        if third != POISON:
            sound.append((sent, f"{number:016x}"))

    async def sound_traffic():
        turn = itertools.cycle(nodes)
        while now() < began + RUN_S:
            asyncio.create_task(send(next(turn), "c3"))
            await asyncio.sleep(SOUND_EVERY_S)

    traffic = asyncio.create_task(sound_traffic())
    await asyncio.sleep(FIRST_S)
    if TROUBLE:
        await asyncio.sleep(0.55)  # between two sound requests
        await asyncio.gather(*(send(node, POISON) for node in nodes * 3))
        while now() < began + RUN_S:
            await asyncio.sleep(3)
            await send(random.choice(nodes), POISON)
    await traffic
    await asyncio.sleep(7)
    first = Replica.crashes[0] if Replica.crashes else began + FIRST_S
    bound = ([first] + Replica.crashes[:5])[-1] + 2 * CONTACT_S
    begun = {attempt for replica in Replica.all for at, attempt in replica.runs}
    before = [attempt in begun for sent, attempt in sound if sent < first]
    after = [attempt in begun for sent, attempt in sound if sent >= bound]
    record(len(Replica.crashes), "crashes at", [round(at, 2) for at in Replica.crashes])
    record(f"sound requests begun before: {sum(before)} of {len(before)}; from the bound on: {sum(after)} of {len(after)}")
    if len(before) < LEAST or len(after) < LEAST:
        raise fleet2.Unplayable("too few requests to judge by")
    return sum(after) / len(after) >= 0.5 * sum(before) / len(before)


play(case, FOLDER)
