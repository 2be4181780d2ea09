"""A model replica crashes and is back at its address under a new id, before its entry lapses."""
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
from fleet import LIMITS, TROUBLE, CannotRun, Nodes, Replica, Store, play, route  # noqa: E402

FIRST = ["m1", "m2", "m3"]  # held by the replica that crashes, and by no other
SECOND = ["m4", "m5", "m6"]
MODELS = {name: 60000.0 for name in FIRST + SECOND}
HEARTBEAT_S = 1.2
LAPSES_S = 3 * HEARTBEAT_S  # an entry is removed after three heartbeat intervals of silence
DOWN_S = 1.5  # until the replica that crashed is back
LEAD_S = 10.0  # traffic starts so much after the machines
JUDGED_S = 30.0
CALL_PAUSE_S = 0.1


def config():
    engine = {
        "slots": 64, "kv_capacity": 139471, "kv_token_bytes": 163840, "link_mbps": 550000.0,
        "stride": 2, "weights_mb": 200000.0, "adapter_slots": 8, "loads_per_s": 2.1,
        "models": [{"name": name, "weights_mb": mb, "load_s": 1.2, "adapters": 0,
                    "adapter_mb": 66.0, "warm_s": 0.9, "disk_s": 1.2}
                   for name, mb in MODELS.items()],
    }
    streams = route("chat", "/chat/", "pool", kind="streaming", sticky=True, resumable=False,
                    gap_goal_ms=400, attempts=1)
    return {"version": 3, "routes": [streams], "limits": LIMITS,
            "services": [{"name": "pool", "health_path": "/healthz", "max_conns": 360,
                          "protocol": "h1", "tls": False, "engine": engine}]}


class Engine(Replica):
    """Answers with a short stream; 421 for a model that it does not hold."""

    def run(self, call, body):
        with self.lock:
            present = call.headers.get("Model", "") in self.models
        if not present:
            return call.reply(421, b"", [("Instance-Id", self.id), ("Not-Executed", "1"),
                                         ("Attempt-Id", call.headers.get("Attempt-Id", ""))])
        self.note_run(call)
        text = b"".join(b"id: %d\ndata: %d\n\n" % (event, event) for event in range(1, 4))
        call.reply(200, text, self.head(call) + [("Server-Seal", self.id),
                                                 ("Content-Type", "text/event-stream")])


class Callers:
    def __init__(self, nodes):
        self.nodes = nodes
        self.ends = False
        self.answers = []  # (sent, model, status)
        for name in nodes.names:
            threading.Thread(target=self.call, args=(name,), daemon=True).start()

    def call(self, name):
        """Asks one machine for each model in turn."""
        number = 0
        while not self.ends:
            for model in MODELS:
                number += 1
                identity = f"{model}-{name}-{number}"
                sent = time.monotonic()
                headers = {"Model": model, "Token-Count": "200,6",
                           "Prompt-Prefix": f"{abs(hash(identity)):x}:200"}
                status, _, _ = self.nodes.ask(name, "POST", "/chat/x", identity, "hello", headers,
                                              4.0)
                self.answers.append((sent, model, status))
                time.sleep(CALL_PAUSE_S)


def served(answers, model):
    """@return how many requests for the model were served, and how many there were"""
    statuses = [status for _, of, status in answers if of == model]
    return sum(status == 200 for status in statuses), len(statuses)


def scene(record, folder, cleanup):
    store = Store(record, "127.0.0.1")
    store.put("config", "main", config())
    replicas = [Engine(record, store, "127.0.0.1", f"i-{number}", "pool", models=models,
                       catalog=MODELS, weights_mb=200000.0)
                for number, models in enumerate((FIRST, SECOND))]
    nodes = Nodes(record, folder, store, 3)
    cleanup.append(nodes.end)
    nodes.start_all()
    nodes.await_ready()
    time.sleep(LEAD_S)
    if store.spec("burdock-leases", "placement") is None:
        raise CannotRun("nobody holds the lease")
    callers = Callers(nodes)
    began = time.monotonic()
    if TROUBLE:
        port = int(replicas[0].address.split(":")[1])
        record.say("i-0 crashes")
        replicas[0].crash()
        time.sleep(DOWN_S)
        record.say("i-0's address has a new, empty replica: i-2")
        replicas.append(Engine(record, store, "127.0.0.1", "i-2", "pool", models=[],
                               catalog=MODELS, weights_mb=200000.0, port=port))
        time.sleep(LAPSES_S - DOWN_S)
        store.remove("servers", "i-0")
        record.say("store: i-0's entry has lapsed")
    time.sleep(JUDGED_S)
    callers.ends = True
    never = []
    for model in MODELS:
        good, asked = served(callers.answers, model)
        loads = sum(order[3].get("model") == model for replica in replicas
                    for order in replica.orders)
        record.say(f"{model}: {good} of {asked} requests served; {loads} orders to load it")
        if asked >= 4 and not good:
            never.append(model)
    if len(never) > 1 + 0.1 * len(MODELS):
        return [f"Starved: {', '.join(never)} of {len(MODELS)} models are never served in "
                f"{time.monotonic() - began:.0f} s"]
    return []


play(FOLDER, scene)
