"""A part that crashes replicas stands far back in prompts of many parts; see claim.txt."""
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "harness"))
from fleet import BOUNDS, LIMITS, TROUBLE, CannotRun, Nodes, Replica, Store, play, route  # noqa: E402

PARTS = 80  # of a prompt, the last one is the request's own
PLACE = int(os.environ.get("PLACE", "70"))  # of the part that crashes replicas; the first is 1
POISON = "bad0bad0"
REPLICAS = 8
BACK_AFTER_S = 2.0  # a replica that crashed
LAPSES_S = 3.6
CALM_S = 6.0
POISONED_S = 40.0
POISON_PAUSE_S = 0.7
CALL_PAUSE_S = 0.15
CONTACT_S = BOUNDS["contact_ms"] / 1000
AFTER_S = 10.0  # sound requests go on when no poisoned ones come any more
LEAST_COUNTED = 20


def config():
    engine = {
        "slots": 64, "kv_capacity": 139471, "kv_token_bytes": 163840, "link_mbps": 550000.0,
        "stride": 2, "weights_mb": 200000.0, "adapter_slots": 8, "loads_per_s": 2.1,
        "models": [{"name": "m1", "weights_mb": 60000.0, "load_s": 1.2, "adapters": 0,
                    "adapter_mb": 66.0, "warm_s": 0.9, "disk_s": 1.2}],
    }
    streams = route("chat", "/chat/", "pool", kind="streaming", sticky=True, resumable=False,
                    gap_goal_ms=400, attempts=1)
    return {"version": 3, "routes": [streams], "limits": LIMITS,
            "services": [{"name": "pool", "health_path": "/healthz", "max_conns": 360,
                          "protocol": "h1", "tls": False, "engine": engine}]}


def prompt(number, poisoned):
    """All requests share their parts, but for the last one and, in poisoned ones, the poison."""
    parts = [f"{0xa000 + place:x}" for place in range(1, PARTS)]
    if poisoned:
        parts[PLACE - 1] = POISON
    return ",".join(f"{part}:20" for part in parts + [f"{0xf00000 + number:x}"])


class Engine(Replica):
    """Crashes as it begins to write an answer on the poisoned part; is back, empty, under a new id."""

    def __init__(self, scene, *arguments, **more):
        self.scene = scene
        super().__init__(*arguments, **more)

    def run(self, call, body):
        with self.lock:
            present = call.headers.get("Model", "") in self.models
        if not present:
            return call.reply(421, b"", [("Instance-Id", self.id), ("Not-Executed", "1"),
                                         ("Attempt-Id", call.headers.get("Attempt-Id", ""))])
        self.note_run(call)
        self.scene.begun.add(call.headers["Attempt-Id"])
        poisoned = POISON in call.headers.get("Prompt-Prefix", "")
        if poisoned:
            self.scene.arrivals.append((time.monotonic(), call.headers["X-Node"], self.id))
        call.send_response_only(200)
        for name, value in self.head(call) + [("Server-Seal", self.id),
                                              ("Content-Type", "text/event-stream"),
                                              ("Transfer-Encoding", "chunked")]:
            call.send_header(name, value)
        call.end_headers()
        for event in range(1, 4):
            text = b"id: %d\ndata: %d\n\n" % (event, event)
            call.wfile.write(b"%x\r\n%s\r\n" % (len(text), text))
            time.sleep(0.02)
            if poisoned:
                with self.scene.lock:
                    ended, self.ended = getattr(self, "ended", False), True
                call.close_connection = True
                if not ended:
                    self.record.say(f"replica {self.id}: crashes on the poisoned part")
                    self.scene.crashes.append(time.monotonic())
                    threading.Thread(target=self.scene.replace, args=(self,), daemon=True).start()
                    self.crash()
                return
        call.wfile.write(b"0\r\n\r\n")


class Scene:
    def __init__(self, record, store):
        self.record = record
        self.store = store
        self.arrivals = []  # of requests with the poisoned part: (time, node, replica)
        self.crashes = []
        self.begun = set()  # ids of the requests that a replica began to run
        self.count = 0
        self.lock = threading.Lock()

    def start(self, models):
        with self.lock:
            self.count += 1
            number = self.count
        return Engine(self, self.record, self.store, "127.0.0.1", f"i-{number}", "pool",
                      models=models, catalog={"m1": 60000.0}, weights_mb=200000.0)

    def replace(self, replica):
        time.sleep(BACK_AFTER_S)
        self.start([])
        time.sleep(LAPSES_S - BACK_AFTER_S)
        self.store.remove("servers", replica.id)


class Callers:
    def __init__(self, nodes):
        self.nodes = nodes
        self.ends = False
        self.count = 0
        self.lock = threading.Lock()
        self.sound = []  # (sent, id of the request)
        for name in nodes.names:
            threading.Thread(target=self.call, args=(name,), daemon=True).start()

    def ask(self, name, poisoned):
        with self.lock:
            self.count += 1
            number = self.count
        headers = {"Model": "m1", "Token-Count": f"{20 * PARTS},6", "X-Node": name,
                   "Prompt-Prefix": prompt(number, poisoned)}
        kind = "poisoned" if poisoned else "sound"
        if not poisoned:
            self.sound.append((time.monotonic(), f"sound-{number}"))
        self.nodes.ask(name, "POST", "/chat/x", f"{kind}-{number}", f"{number}", headers, 4.0)

    def call(self, name):
        while not self.ends:
            self.ask(name, False)
            time.sleep(CALL_PAUSE_S)


def scene(record, folder, cleanup):
    store = Store(record, "127.0.0.1")
    store.put("config", "main", config())
    played = Scene(record, store)
    for _ in range(REPLICAS):
        played.start(["m1"])
    nodes = Nodes(record, folder, store, 3)
    cleanup.append(nodes.end)
    nodes.start_all()
    nodes.await_ready()
    time.sleep(3.0)
    callers = Callers(nodes)
    time.sleep(CALM_S)
    began = time.monotonic()
    number = 0
    while time.monotonic() < began + POISONED_S:
        if TROUBLE:
            name = nodes.names[number % len(nodes.names)]
            threading.Thread(target=callers.ask, args=(name, True), daemon=True).start()
            number += 1
        time.sleep(POISON_PAUSE_S)
    ended = time.monotonic()
    time.sleep(AFTER_S)
    callers.ends = True
    time.sleep(0.5)
    record.say(f"{number} poisoned requests, {len(played.arrivals)} reached replicas, "
               f"{len(played.crashes)} crashes")
    if TROUBLE and not played.crashes:
        raise CannotRun("the poisoned part crashed no replica")
    crashes = sorted(played.crashes) or [began]
    since = crashes[min(4, len(crashes) - 1)] + 2 * CONTACT_S

    def begun(first, last):
        names = [name for sent, name in callers.sound if first <= sent < last]
        share = sum(name in played.begun for name in names) / max(1, len(names))
        record.say(f"sound requests from {first - record.began:.1f} s to {last - record.began:.1f} s: "
                   f"{share:.2f} of {len(names)} begin at a replica at their first attempt")
        return share, len(names)

    before, after, _ = begun(0.0, began), begun(since, ended), begun(ended, time.monotonic())
    if min(before[1], after[1]) >= LEAST_COUNTED and after[0] < before[0] / 2:
        return [f"LOST: {after[0]:.2f} of {after[1]} sound requests with the same first part begin "
                f"at the first attempt from {2 * CONTACT_S:.0f} s after the fifth crash on, "
                f"{before[0]:.2f} of {before[1]} before; {len(played.crashes)} crashes"]
    return []


play(FOLDER, scene)
