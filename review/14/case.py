"""A part in the seventieth place of a prompt of eighty crashes replicas. See claim.txt.

Environment: TROUBLE=0 sends no such request. PLACE: of the part in the prompt (default 70, the first is 1).
"""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import fleet3
from fleet3 import BROKEN, HELD, TROUBLE, Nodes, Replica, Store, ask, config, now, route

NETWORK = "127.83.14"
CONTACT_S = 3.0
BACK_S = 3.0  # a crashed replica is back after this
POISON = "bad0bad0"
PARTS = 80
PLACE = int(os.environ.get("PLACE", "70"))
ALLOWED = 3
REPLICAS = 8


def prompt(own, poisoned):
    parts = [f"{0x5C1E0000 + place:x}:25" for place in range(1, PARTS)]
    if poisoned:
        parts[PLACE - 1] = f"{POISON}:25"
    return ",".join(parts + [f"{own:x}:100"])


class FragileReplica(Replica):
    """Crashes as it begins to write an answer on the part, and is back after some seconds."""

    arrivals_of_part = []  # (time, Attempt-Id, node)
    crashes = []  # times
    cut = []  # Attempt-Ids of sound requests that were running on a replica that crashed

    async def run(self, head, body, writer, headers):
        if POISON not in head.value("Prompt-Prefix"):
            await super().run(head, body, writer, headers)
            return
        FragileReplica.arrivals_of_part.append((now(), head.value("Attempt-Id"), head.value("X-Node")))
        await asyncio.sleep(self.work_s)
        FragileReplica.crashes.append(now())
        self.record.say(f"crash {len(FragileReplica.crashes)}: {self.name}, sent by {head.value('X-Node')}")
        asyncio.get_running_loop().create_task(self.crash())
        await asyncio.sleep(60)

    async def crash(self):
        earlier, port = self.name, self.port
        FragileReplica.cut += self.running
        self.end()
        self.running.clear()
        self.name = f"{earlier.split('.')[0]}.{len(FragileReplica.crashes)}"
        await asyncio.sleep(BACK_S)
        await self.start(self.address, port)
        await asyncio.sleep(0.6)  # three silent heartbeats after the crash
        self.store.remove("servers", earlier)


async def main(record, folder):
    store = Store(record)
    await store.listen(f"{NETWORK}.1", 0)
    replicas = [FragileReplica(record, store, "pool", f"i-{number}", f"z-{number % 3 + 1}", 64)
                for number in range(REPLICAS)]
    nodes = Nodes(record, folder, NETWORK, 3, store)
    statuses = {}
    tasks = set()
    numbers = iter(range(1, 1 << 30))
    traffic = None

    async def one(node, poisoned):
        number = next(numbers)
        headers = [("Prompt-Prefix", prompt(0xF0000000 + number, poisoned)), ("Token-Count", "2075,40")]
        attempt, answer = await ask(record, nodes, node, f"/draft/{number}", deadline_ms=4000, headers=headers,
                                    label="poisoned request" if poisoned else "request")
        if not poisoned:
            statuses[attempt] = answer.status if answer else 0

    def start(node, poisoned):
        task = asyncio.create_task(one(node, poisoned))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    async def sound_traffic():
        while True:
            for node in nodes.names:
                start(node, False)
                await asyncio.sleep(0.05)

    try:
        for replica in replicas:
            replica.work_s = 0.3
            await replica.start(f"{NETWORK}.2")
        store.put("config", "main", config(7, [
            route("draft", "/draft/", "pool", "streaming", attempts=1, timeout_ms=4000, latency_goal_ms=1200)],
            [{"name": "pool", "max_conns": 360}]))
        nodes.start_all()
        for name in nodes.names:
            if not await nodes.until_ready(name):
                raise RuntimeError(f"{name} is not ready")
        await asyncio.sleep(8)
        traffic = asyncio.create_task(sound_traffic())
        await asyncio.sleep(4)
        if list(statuses.values()).count(200) < 20:
            raise RuntimeError("not served before the disruption")
        until = now() + 40
        turn = 0
        while now() < until:
            turn += 1
            if TROUBLE:
                start(nodes.names[turn % len(nodes.names)], True)
            await asyncio.sleep(1.0)
        traffic.cancel()
        await asyncio.sleep(1)
        crashes = FragileReplica.crashes
        later = [each for each in FragileReplica.arrivals_of_part
                 if len(crashes) >= 5 and fleet3.sent_at[each[1]] > crashes[4] + CONTACT_S]
        lost = [attempt for attempt in FragileReplica.cut if statuses.get(attempt) != 200]
        record.say(f"{len(crashes)} crashes; later than contact_ms after the fifth, {len(later)} requests with the part "
                   f"reached replicas, {ALLOWED} are allowed; {len(lost)} sound requests were lost at replicas that "
                   f"crashed; of {len(statuses)} sound ones {list(statuses.values()).count(200)} were served")
        return BROKEN if len(later) > ALLOWED else HELD
    finally:
        if traffic:
            traffic.cancel()
        nodes.end()
        for replica in replicas:
            replica.end()
        store.end()


fleet3.play(pathlib.Path(__file__).parent, main)
