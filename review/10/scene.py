"""Clients that nobody controls leave chunked bodies unfinished, at both addresses that callers know."""
import asyncio
import os
import selectors
import socket
import subprocess
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import fleet2
from fleet2 import HOST, Node, Server, Store, TROUBLE, ask, free_ports, machine_ips, now, play, until_ready

SERVICE = "lookup-app"
REPLICAS = 6
SLOTS = 64
WORK_S = 2.0
CALLERS = 240  # at once, each on a kept connection
CROWD = {"front": 3600, "registry": 600}  # connections of the other clients
CROWD_S = 40
CROWDED_S = 4  # until all of them are there
CONTACT_S = fleet2.BOUNDS["contact_ms"] / 1000
NEWCOMERS = 8
JUDGED_S = 20.0
BODY = 2000  # bytes that each sends of its body, in small chunks
COMES_AGAIN_S = 1.0  # after its connection was closed


def crowd(addresses, seconds):
    """Runs as a process of its own: keeps that many requests open, just short of their end."""
    end = time.monotonic() + seconds
    head = (f"POST /look/up HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: crowd\r\nDeadline-Ms: 60000\r\n"
            "Transfer-Encoding: chunked\r\n\r\n").encode()
    text = head + b"10\r\n0123456789abcdef\r\n" * (BODY // 16)
    selector = selectors.DefaultSelector()

    def connect(address):
        each = socket.socket()
        each.setblocking(False)
        each.connect_ex(address)
        selector.register(each, selectors.EVENT_WRITE, [address, text])

    waiting = []
    for address, count in addresses:
        waiting += [address] * count
    waiting.reverse()
    again = []  # (time, address)
    while time.monotonic() < end:
        while again and again[0][0] <= time.monotonic():
            waiting.append(again.pop(0)[1])
        for _ in range(min(50, len(waiting))):
            connect(waiting.pop())
        for key, events in selector.select(0.05):
            address, rest = key.data
            each = key.fileobj
            closed = False
            try:
                if events & selectors.EVENT_READ:
                    closed = not each.recv(4096)
                elif rest:
                    rest = rest[each.send(rest):]
                    key.data[1] = rest
                if not rest:
                    selector.modify(each, selectors.EVENT_READ, [address, rest])
            except BlockingIOError:
                pass
            except OSError:
                closed = True
            if closed:
                selector.unregister(each)
                each.close()
                again.append((time.monotonic() + COMES_AGAIN_S, address))


class Callers:
    def __init__(self, node):
        self.node = node
        self.count = 0
        self.ends = []

    async def caller(self, number, end):
        reader = writer = None
        await asyncio.sleep(number / CALLERS * WORK_S)
        while now() < end:
            try:
                if writer is None:
                    host, port = self.node.front.split(":")
                    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
                self.count += 1
                writer.write(fleet2.message("GET /look/up HTTP/1.1", {
                    "Host": HOST, "Attempt-Id": f"{self.count:016x}", "Deadline-Ms": 6000}))
                read = await asyncio.wait_for(fleet2.read_message(reader), 6)
                status = 0 if read is None else int(read[0].split(" ")[1])
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                status = 0
            self.ends.append((now(), status))
            if status == 0 and writer is not None:
                writer.close()
                writer = None
            if status != 200:
                await asyncio.sleep(0.5)

    def counts(self, begin, end):
        found = {}
        for at, status in self.ends:
            if begin <= at < end:
                found[status] = found.get(status, 0) + 1
        return found


async def ask_ready(node, answers):
    """The platform's question, once a second on one kept connection."""
    host, port = node.ready.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    while True:
        writer.write(fleet2.message("GET /readyz HTTP/1.1", {"Host": node.ready}))
        read = await asyncio.wait_for(fleet2.read_message(reader), 3)
        answers.append((now(), None if read is None else int(read[0].split(" ")[1])))
        await asyncio.sleep(1)


async def case(record, scratch, nodes):
    store = Store(record)
    await store.start()
    store.put("config", "main", {
        "version": 3, "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                                 "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "services": [{"name": SERVICE, "max_conns": 360, "health_path": "/healthz"}],
        "routes": [{"name": "r-1", "host": HOST, "path_prefix": "/look/", "service": SERVICE,
                    "type": "idempotent", "attempts": 2, "timeout_ms": 6000,
                    "latency_goal_ms": 4000, "priority": 1}]})

    async def run(replica, request):
        headers = {"Instance-Id": replica, "Attempt-Id": request.headers.get("attempt-id", ""),
                   "Keep-Alive": "timeout=5"}
        await asyncio.sleep(WORK_S)
        return 200, {**headers, "Server-Seal": "s." + replica}, b"x" * 800

    for number in range(REPLICAS):
        replica = f"i-{number}"
        server = Server(lambda request, replica=replica: run(replica, request))
        await server.start()
        store.put("servers", replica, {
            "service": SERVICE, "address": server.address, "zone": "a", "version": "1", "slots": SLOTS,
            "state": "ready", "cold_left_ms": 0, "sequence": 1, "born": 1700000000000})
    [ip] = machine_ips(1)
    ports = free_ports([ip])
    node = Node(record, scratch, store, "edge-a-1", ip, "a", {"a": "r"}, [], ports)
    nodes.append(node)
    node.start()
    await until_ready(nodes)
    answers = []
    asking = asyncio.create_task(ask_ready(node, answers))
    callers = Callers(node)
    end = now() + 60
    tasks = [asyncio.create_task(callers.caller(number, end)) for number in range(CALLERS)]
    await asyncio.sleep(6)
    others = None
    if TROUBLE:
        others = subprocess.Popen([sys.executable, "-B", __file__, "crowd", str(CROWD_S), node.front,
                                   str(CROWD["front"]), node.registry, str(CROWD["registry"])])
    await asyncio.sleep(CROWDED_S)
    record("open descriptors of the node:", node.descriptors())
    began = now()
    taken = []

    async def newcomer(number):
        while now() < began + JUDGED_S:
            status, _, _ = await ask(node.front, "GET", "/look/up",
                                     {"Attempt-Id": f"{10**9 + number:016x}-{now():.3f}",
                                      "Deadline-Ms": 4000}, timeout=4.0)
            record("newcomer", number, "status", status)
            if status:
                taken.append(now())
            await asyncio.sleep(0.5)

    await asyncio.gather(*(newcomer(number) for number in range(NEWCOMERS)))
    record("open descriptors of the node:", node.descriptors(), "running:", node.is_running())
    record("answers to callers on kept connections before:", callers.counts(0, began - CROWDED_S),
           "meanwhile:", callers.counts(began, now()))
    if others is not None:
        others.terminate()
        others.wait()
    asking.cancel()
    ready = [status for at, status in answers if at >= began]
    record("readyz meanwhile:", ready)
    gaps = [began, *taken, began + JUDGED_S]
    longest = max(later - earlier for earlier, later in zip(gaps, gaps[1:]))
    record(f"new connections answered: {len(taken)}; longest time without one: {longest:.1f} s")
    says_ready = len(ready) > 0 and all(status == 200 for status in ready)
    return not (node.is_running() and says_ready and longest > CONTACT_S)


if len(sys.argv) > 1 and sys.argv[1] == "crowd":
    import resource
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 20000), hard))
    wanted = []
    for text, count in zip(sys.argv[3::2], sys.argv[4::2]):
        host, port = text.split(":")
        wanted.append(((host, int(port)), int(count)))
    crowd(wanted, float(sys.argv[2]))
else:
    play(case, FOLDER)
