"""One request that is larger than a replica's memory comes among sound ones; see claim.txt."""
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "harness"))
from fleet import LIMITS, TROUBLE, Nodes, Replica, Store, play, route  # noqa: E402

KV_TOKENS = 139471
TOO_LARGE = 600000  # prompt tokens
REPLICAS = 3
CALM_S = 6.0
JUDGED_S = 60.0
CALL_PAUSE_S = 0.25


def config():
    engine = {
        "slots": 64, "kv_capacity": KV_TOKENS, "kv_token_bytes": 163840, "link_mbps": 550000.0,
        "stride": 2, "weights_mb": 200000.0, "adapter_slots": 8, "loads_per_s": 2.1,
        "models": [{"name": "m1", "weights_mb": 60000.0, "load_s": 1.2, "adapters": 0,
                    "adapter_mb": 66.0, "warm_s": 0.9, "disk_s": 1.2}],
    }
    streams = route("chat", "/chat/", "pool", kind="streaming", sticky=True, resumable=False,
                    gap_goal_ms=400, attempts=1, timeout_ms=6000)
    streams["latency_goal_ms"] = 1200
    plain = route("stock", "/stock/", "app")
    return {"version": 3, "routes": [streams, plain], "limits": LIMITS,
            "services": [{"name": "pool", "health_path": "/healthz", "max_conns": 360,
                          "protocol": "h1", "tls": False, "engine": engine},
                         {"name": "app", "health_path": "/healthz", "max_conns": 100,
                          "protocol": "h1", "tls": False}]}


class Engine(Replica):
    """Rejects a request that is larger than its memory as if it were full."""

    def run(self, call, body):
        tokens = int(call.headers.get("Token-Count", "0,0").split(",")[0])
        if tokens > KV_TOKENS:
            self.record.say(f"replica {self.id}: rejects {call.headers['Attempt-Id']}")
            return call.reply(503, b"", self.head(call) + [("Not-Executed", "1")])
        self.note_run(call)
        time.sleep(0.02)
        text = b"".join(b"id: %d\ndata: %d\n\n" % (event, event) for event in range(1, 4))
        call.reply(200, text, self.head(call) + [("Server-Seal", self.id),
                                                 ("Content-Type", "text/event-stream")])


class Callers:
    def __init__(self, nodes):
        self.nodes = nodes
        self.ends = False
        self.answers = []  # (sent, kind of request, status)
        for name in nodes.names:
            threading.Thread(target=self.call, args=("chat", name), daemon=True).start()
            threading.Thread(target=self.call, args=("stock", name), daemon=True).start()

    def call(self, kind, name):
        number = 0
        while not self.ends:
            number += 1
            identity = f"{kind}-{name}-{number}"
            sent = time.monotonic()
            if kind == "chat":
                headers = {"Model": "m1", "Token-Count": "1800,22",
                           "Prompt-Prefix": f"a1:341,b2:227,{abs(hash(identity)):x}:1232"}
                status, _, _ = self.nodes.ask(name, "POST", "/chat/x", identity, "x", headers, 6.0)
            else:
                status, _, _ = self.nodes.ask(name, "GET", "/stock/x", identity, timeout=4.0)
            self.answers.append((sent, kind, status))
            time.sleep(CALL_PAUSE_S)


def served(answers, kind, since, until):
    statuses = [status for sent, of, status in answers if of == kind and since <= sent < until]
    return sum(status == 200 for status in statuses) / max(1, len(statuses)), len(statuses)


def after_large(callers, since, until):
    share, count = served(callers.answers, "chat", since, until)
    return f"{share:.2f} of {count} for {until - since:.0f} s"


def scene(record, folder, cleanup):
    store = Store(record, "127.0.0.1")
    store.put("config", "main", config())
    for number in range(REPLICAS):
        Engine(record, store, "127.0.0.1", f"i-{number}", "pool", models=["m1"],
               catalog={"m1": 60000.0}, weights_mb=200000.0)
    Replica(record, store, "127.0.0.1", "p-0", "app")
    nodes = Nodes(record, folder, store, 3)
    cleanup.append(nodes.end)
    nodes.start_all()
    nodes.await_ready()
    time.sleep(3.0)
    callers = Callers(nodes)
    begin = time.monotonic()
    time.sleep(CALM_S)
    at = time.monotonic()
    if TROUBLE:
        headers = {"Model": "m1", "Token-Count": f"{TOO_LARGE},100",
                   "Prompt-Prefix": f"c3:{TOO_LARGE}"}
        for attempt in (1, 2):  # its caller retries once, after the promise that it has not run
            status, answered, _ = nodes.ask(nodes.names[attempt], "POST", "/chat/x",
                                            f"large-{attempt}", "x", headers, 6.0)
            if status != 503:
                break
            time.sleep(min(2.0, float(answered.get("Retry-After", "0.1"))))
    time.sleep(JUDGED_S)
    callers.ends = True
    end = time.monotonic()
    for kind in ("chat", "stock"):
        before, after = (served(callers.answers, kind, begin, at),
                         served(callers.answers, kind, at, end))
        record.say(f"{kind}: {before[0]:.2f} of {before[1]} served before, {after[0]:.2f} of "
                   f"{after[1]} in the {end - at:.0f} s from the large request on")
    chat, _ = served(callers.answers, "chat", begin, end)
    everything = sum(status == 200 for _, _, status in callers.answers) / len(callers.answers)
    if chat < everything / 4:
        return [f"Starved: {chat:.2f} of the sound streams are served, {everything:.2f} of all "
                f"requests; after one request that was too large {after_large(callers, at, end)}"]
    return []


play(FOLDER, scene)
