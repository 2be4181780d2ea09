"""A caller sends prompts that are larger than a replica's memory; see claim.txt."""
import asyncio
import itertools
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from fleet2 import (HOST, ModelReplica, Node, Server, Store, TROUBLE, ask, free_ports, machine_ips, now, play,
                    resolve, until_ready)

MODELS = "model-pool"
ORDERS = "order-app"
KV_TOKENS = 139471  # a replica's memory, as on the sheet
PROMPT = (568, 1800)  # shared and own tokens of a sound prompt, as on the sheet
TOO_LARGE = 300000  # tokens of a prompt
LARGE_REQUESTS = 4  # one a second, each tried once more
RUN_S = 95
TROUBLE_AT_S = 4
A_SECOND = 8  # sound requests of each kind
STARVED = 0.25


class Replica(ModelReplica):
    async def handle(self, request):
        tokens = [int(count) for count in request.headers.get("token-count", "0,0").split(",")]
        if sum(tokens) > KV_TOKENS:  # rejected as if the replica were full
            self.record("rejected by", self.id, "Token-Count", request.headers["token-count"])
            return 503, {"Instance-Id": self.id, "Attempt-Id": request.headers.get("attempt-id", ""),
                         "Not-Executed": "1"}, b""
        return await super().handle(request)


async def run_order(replica, request):
    headers = {"Instance-Id": replica, "Attempt-Id": request.headers.get("attempt-id", "")}
    if request.headers.get("expect-instance", replica) != replica:
        return 421, {**headers, "Not-Executed": "1"}, b""
    await asyncio.sleep(0.06)
    return 200, {**headers, "Server-Seal": "s." + replica}, b"x" * 800


class Kind:
    def __init__(self):
        self.asked = 0
        self.served = 0


class Callers:
    def __init__(self, record, nodes):
        self.record = record
        self.nodes = nodes
        self.ids = itertools.count(1)
        self.kinds = {"promo-brief": Kind(), "order-submit": Kind()}
        self.by_time = {}

    async def call(self, path, headers, deadline_ms):
        addresses = await resolve(random.sample(self.nodes, len(self.nodes)))
        if not addresses:
            return 0, {}
        number = next(self.ids)
        status, answer, _ = await ask(random.choice(addresses), "POST", path, {
            "Attempt-Id": f"{number:016x}", "Deadline-Ms": deadline_ms, **headers}, b"text",
            timeout=deadline_ms / 1000 + 0.5)
        return status, answer

    async def with_retry(self, path, headers, deadline_ms):
        """Callers try once more after a refusal, when they are told to."""
        end = now() + deadline_ms / 1000
        status, answer = await self.call(path, headers, deadline_ms)
        if status in (429, 503):
            await asyncio.sleep(min(float(answer.get("retry-after", 0)), (end - now()) / 3))
            status, answer = await self.call(path, headers, int((end - now()) * 1000))
        return status

    async def promo_brief(self, model, own):
        return await self.with_retry("/chat/promo", {
            "Model": model, "Token-Count": f"{PROMPT[0] + own},22",
            "Prompt-Prefix": f"a1:{PROMPT[0]},{next(self.ids):x}:{own}"}, 6000)

    async def sound(self, name, work):
        kind = self.kinds[name]
        second = int(now() // 10) * 10
        counts = self.by_time.setdefault(second, {}).setdefault(name, [0, 0])
        kind.asked += 1
        counts[0] += 1
        if await work == 200:
            kind.served += 1
            counts[1] += 1

    async def traffic(self, end):
        for number in itertools.count():
            if now() >= end:
                return
            asyncio.create_task(self.sound("promo-brief", self.promo_brief(f"m{number % 2 + 1}", PROMPT[1])))
            asyncio.create_task(self.sound("order-submit", self.with_retry("/order/new", {}, 4000)))
            await asyncio.sleep(1 / A_SECOND)


async def case(record, scratch, nodes):
    store = Store(record)
    await store.start()
    models = [{"name": f"m{number}", "weights_mb": 40000, "load_s": 1.4, "adapters": 0, "adapter_mb": 100}
              for number in (1, 2)]
    store.put("config", "main", {
        "version": 3, "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576,
                                 "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
        "services": [{"name": MODELS, "max_conns": 360, "health_path": "/healthz",
                      "engine": {"slots": 64, "kv_capacity": KV_TOKENS, "stride": 2, "weights_mb": 200000,
                                 "adapter_slots": 8, "loads_per_s": 2.1, "models": models}},
                     {"name": ORDERS, "max_conns": 100, "health_path": "/healthz"}],
        "routes": [{"name": "r-1", "host": HOST, "path_prefix": "/chat/", "service": MODELS,
                    "type": "streaming", "attempts": 2, "timeout_ms": 6000, "sticky": True,
                    "latency_goal_ms": 1200, "gap_goal_ms": 400, "priority": 1},
                   {"name": "r-2", "host": HOST, "path_prefix": "/order/", "service": ORDERS,
                    "type": "non_idempotent", "attempts": 1, "timeout_ms": 4000,
                    "latency_goal_ms": 300, "priority": 0}]})
    zones = ["a", "b", "c"]
    for number in range(6):
        await Replica(record, store, f"i-{number}", MODELS, zones[number % 3], 64, 8, ["m1", "m2"]).start()
    for number in range(3):
        replica = f"o-{number}"
        server = Server(lambda request, replica=replica: run_order(replica, request))
        await server.start()
        store.put("servers", replica, {
            "service": ORDERS, "address": server.address, "zone": zones[number], "version": "1", "slots": 6,
            "state": "ready", "cold_left_ms": 0, "sequence": 1, "born": 1700000000000})
    ips = machine_ips(3)
    ports = free_ports(ips)
    for zone, ip in zip(zones, ips):
        nodes.append(Node(record, scratch, store, f"edge-{zone}-1", ip, zone, {each: "r" for each in zones},
                          [f"{each}:{ports + 19}" for each in ips], ports))
        nodes[-1].start()
    await until_ready(nodes)
    await asyncio.sleep(2)
    callers = Callers(record, nodes)
    began = now()
    traffic = asyncio.create_task(callers.traffic(began + RUN_S))
    await asyncio.sleep(TROUBLE_AT_S)
    if TROUBLE:
        for number in range(LARGE_REQUESTS):
            status = await callers.promo_brief(f"m{number % 2 + 1}", TOO_LARGE)
            record("a request that is too large got", status)
            await asyncio.sleep(1)
    await traffic
    await asyncio.sleep(7)
    for second, counts in sorted(callers.by_time.items()):
        record(f"from {second} s:", {name: f"{served} of {asked} served"
                                     for name, (asked, served) in counts.items()})
    kinds = callers.kinds
    of_all = sum(kind.served for kind in kinds.values()) / sum(kind.asked for kind in kinds.values())
    held = True
    for name, kind in kinds.items():
        share = kind.served / kind.asked
        record(f"{name}: {kind.served} of {kind.asked} served, {share:.3f}; all requests {of_all:.3f}")
        held = held and share >= STARVED * of_all
    return held


play(case, FOLDER)
