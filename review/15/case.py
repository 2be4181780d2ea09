"""A request that crashes its replicas, before and after all processes of the system were killed. See claim.txt.

Environment: TROUBLE=0 kills no process.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import fleet3
from fleet3 import BROKEN, HELD, TROUBLE, Nodes, Replica, Store, ask, config, now, route

NETWORK = "127.83.15"
CONTACT_S = 3.0
DOWN_S = 2.0  # a killed machine's process starts again after this
BACK_S = 3.0  # a crashed replica is back after this
POISON = b"an order that no replica bears"
ALLOWED = 3
REPLICAS = 4


class FragileReplica(Replica):
    """Crashes when it begins to run the poisoned request, and is back after some seconds."""

    crashes = []  # (time, Attempt-Id, node)
    cut = []  # (time, Attempt-Id) of sound requests that were running on a replica that crashed

    async def run(self, head, body, writer, headers):
        if body != POISON:
            await super().run(head, body, writer, headers)
            return
        FragileReplica.crashes.append((now(), head.value("Attempt-Id"), head.value("X-Node")))
        self.record.say(f"crash {len(FragileReplica.crashes)}: {self.name} runs the poisoned request, "
                        f"sent to {head.value('X-Node')}")
        asyncio.get_running_loop().create_task(self.crash())
        await asyncio.sleep(60)

    async def crash(self):
        earlier, port = self.name, self.port
        FragileReplica.cut += [(now(), attempt) for attempt in self.running]
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
    replicas = [FragileReplica(record, store, "orders", f"i-{number}", f"z-{number % 3 + 1}")
                for number in range(REPLICAS)]
    nodes = Nodes(record, folder, NETWORK, 4, store)
    traffic = None
    try:
        for replica in replicas:
            await replica.start(f"{NETWORK}.2")
        store.put("config", "main", config(7, [
            route("stock", "/stock/", "orders"), route("order", "/order/", "orders", "non_idempotent")],
            [{"name": "orders"}]))
        nodes.start_all()
        for name in nodes.names:
            if not await nodes.until_ready(name):
                raise RuntimeError(f"{name} is not ready")
        await asyncio.sleep(8)
        traffic = asyncio.create_task(sound_traffic(record, nodes))
        await asyncio.sleep(3)
        # Comes again, with the same path, caller and body, at any machine.
        await poison(record, nodes, 12.0)
        crashes = FragileReplica.crashes
        if len(crashes) < 3:
            raise RuntimeError("the request has not crashed three replicas")
        third = crashes[2][0]
        if TROUBLE:
            record.say("all processes of the system are killed")
            for name in list(nodes.processes):
                nodes.kill(name)
            await asyncio.sleep(DOWN_S)
            for name in nodes.names:
                nodes.start(name)
            record.say("they start again")
        # Until all machines have run for more than contact_ms.
        await asyncio.sleep(CONTACT_S + 3.0)
        in_touch_from = now()
        await poison(record, nodes, 50.0)
        later = [each for each in crashes if each[0] > third + CONTACT_S
                 and (not TROUBLE or fleet3.sent_at[each[1]] >= in_touch_from)]
        record.say(f"later than contact_ms after the third crash, {len(later)} retries reached replicas, sent by "
                   f"machines in touch; {ALLOWED} are allowed")
        lost = [attempt for time, attempt in FragileReplica.cut
                if later and time >= later[0][0] and statuses.get(attempt) != 200]
        record.say(f"with these, {len(lost)} sound requests were lost at the replicas that ran them")
        return BROKEN if len(later) > ALLOWED else HELD
    finally:
        if traffic:
            traffic.cancel()
        nodes.end()
        for replica in replicas:
            replica.end()
        store.end()


async def poison(record, nodes, seconds):
    """One client that sends the request again every 2 s, at each machine in turn."""
    until = now() + seconds
    turn = 0
    while now() < until:
        turn += 1
        node = nodes.names[turn % len(nodes.names)]
        # One attempt of the client. Its replica does not answer.
        await ask(record, nodes, node, "/stock/poison", POISON, 1500, label="poisoned request")
        await asyncio.sleep(1.5)


statuses = {}  # of sound requests, by Attempt-Id


async def sound_traffic(record, nodes):
    """Orders and look-ups, as often as on the sheet of Lachance."""

    async def one(node, path):
        attempt, answer = await ask(record, nodes, node, path)
        statuses[attempt] = answer.status if answer else 0

    number = 0
    running = set()
    while True:
        number += 1
        node = nodes.names[number % len(nodes.names)]
        if node in nodes.processes:
            path = f"/stock/{number}" if number % 5 < 2 else f"/order/{number}"
            task = asyncio.create_task(one(node, path))
            running.add(task)
            task.add_done_callback(running.discard)
        await asyncio.sleep(0.05)


fleet3.play(pathlib.Path(__file__).parent, main)
