"""An order for an adapter is carried out late, as the next holder asks what the replica holds."""
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
from fleet import LIMITS, TROUBLE, CannotRun, Nodes, Replica, Store, play, route  # noqa: E402

MODELS = {"m1": 60000.0}
ADAPTERS = 63
SLOTS = 8
ASKED = [f"a{number}" for number in range(30, 58)]  # callers turn to them
REPLICAS = 3
FETCH_S = 0.019  # of an adapter
LATE_FROM_S, LATE_TO_S = 2.0, 12.0  # a late order is carried out so much later
CANNOT_RUN_S = 15.0


def config():
    engine = {
        "slots": 64, "kv_capacity": 139471, "kv_token_bytes": 163840, "link_mbps": 550000.0,
        "stride": 2, "weights_mb": 200000.0, "adapter_slots": SLOTS, "loads_per_s": 2.1,
        "models": [{"name": name, "weights_mb": mb, "load_s": 1.6, "adapters": ADAPTERS,
                    "adapter_mb": 66.0, "warm_s": 1.3, "disk_s": 1.7}
                   for name, mb in MODELS.items()],
    }
    streams = route("chat", "/chat/", "pool", kind="streaming", sticky=True, resumable=False,
                    gap_goal_ms=400, attempts=1)
    return {"version": 3, "routes": [streams], "limits": LIMITS,
            "services": [{"name": "pool", "health_path": "/healthz", "max_conns": 360,
                          "protocol": "h1", "tls": False, "engine": engine}]}


class Engine(Replica):
    """Fetches adapters; leaves the order for its last free slot unanswered if `leaves_one`, and
    carries it out seconds later if its precondition still holds."""

    leaves_one = False

    def __init__(self, *arguments, **more):
        self.pending = []  # adapters on their way, which count toward the slots
        self.late = None  # (when it came, the order)
        self.too_many = []  # orders for more adapters than there are slots
        super().__init__(*arguments, **more)

    def run(self, call, body):
        model, _, adapter = call.headers.get("Model", "").partition("/")
        with self.lock:
            present = adapter in self.models.get(model, ())
        if not present:
            return call.reply(421, b"", [("Instance-Id", self.id), ("Not-Executed", "1"),
                                         ("Attempt-Id", call.headers.get("Attempt-Id", ""))])
        self.note_run(call)
        text = b"".join(b"id: %d\ndata: %d\n\n" % (event, event) for event in range(1, 4))
        call.reply(200, text, self.head(call) + [("Server-Seal", self.id),
                                                 ("Content-Type", "text/event-stream")])

    def held(self):
        return sum(len(adapters) for adapters in self.models.values()) + len(self.pending)

    def order(self, call, order):
        with self.lock:
            is_load = order["operation"] == "load" and "adapter" in order
            if self.leaves_one and self.late is None and is_load and self.held() == SLOTS - 1:
                self.late = (time.monotonic(), order)
                self.record.say(f"replica {self.id}: leaves unanswered {order}")
        if self.late is not None and self.late[1] is order:
            time.sleep(5.0)
            call.close_connection = True
            return
        super().order(call, order)

    def carry_out(self, order):
        if order.get("precondition", self.sequence) != self.sequence:
            return 409
        model, adapter = order["model"], order["adapter"]
        if order["operation"] == "unload":
            self.models[model].discard(adapter)
            self.sequence += 1
            return 200
        if adapter in self.models[model] or (model, adapter) in self.pending:
            return 200
        if self.held() + 1 > SLOTS:
            self.too_many.append(order)
        self.sequence += 1
        self.pending.append((model, adapter))
        threading.Thread(target=self.fetch, args=(model, adapter), daemon=True).start()
        return 202

    def fetch(self, model, adapter):
        time.sleep(FETCH_S)
        with self.lock:
            self.pending.remove((model, adapter))
            self.models[model].add(adapter)

    def report(self, call):
        with self.lock:
            if self.late is not None and self.late[1] is not None:
                came, order = self.late
                if LATE_FROM_S <= time.monotonic() - came <= LATE_TO_S:
                    status = self.carry_out(order)
                    self.late = (came, None)
                    self.record.say(f"replica {self.id}: carries it out {time.monotonic() - came:.1f} s "
                                    f"later -> {status}")
            models = [{"name": name, "version": 1, "adapters": sorted(adapters)}
                      for name, adapters in sorted(self.models.items())]
            report = {"stage": "combined", "models": models, "busy": False,
                      "sequence": self.sequence, "waiting": 0, "running": 0, "kv_used": 0,
                      "kv_total": 139471, "handles": 0, "born": self.born,
                      "pending": [f"{model}/{adapter}@1" for model, adapter in self.pending]}
        self.record.say(f"replica {self.id}: reports sequence {report['sequence']}, "
                        f"{[len(each['adapters']) for each in models]} adapters, pending "
                        f"{report['pending']}")
        call.reply(200, report, [("Content-Type", "application/json"), ("Instance-Id", self.id)])


def call(nodes, name, adapter):
    """A caller that asks one machine for an adapter that no replica holds."""
    number = 0
    while True:
        number += 1
        headers = {"Model": f"m1/{adapter}", "Token-Count": "400,22",
                   "Prompt-Prefix": f"{abs(hash((name, adapter, number))):x}:400"}
        nodes.ask(name, "POST", "/chat/x", f"{name}-{adapter}-{number}", "x", headers, 4.0)
        time.sleep(0.2)


def holder(store):
    lease = store.spec("burdock-leases", "placement")
    return None if lease is None else lease.get("holder")


def scene(record, folder, cleanup):
    store = Store(record, "127.0.0.1")
    store.put("config", "main", config())
    replicas = [Engine(record, store, "127.0.0.1", f"i-{number}", "pool", models=["m1"],
                       catalog=MODELS, weights_mb=200000.0) for number in range(REPLICAS)]
    for replica in replicas:
        replica.leaves_one = TROUBLE
    nodes = Nodes(record, folder, store, 3)
    cleanup.append(nodes.end)
    nodes.start_all()
    nodes.await_ready()
    until = time.monotonic() + CANNOT_RUN_S
    while not all(replica.late or replica.held() >= SLOTS for replica in replicas):
        if time.monotonic() > until:
            raise CannotRun("the adapters' slots do not fill")
        time.sleep(0.002)
    if TROUBLE:
        nodes.kill(holder(store))
    for name in sorted(nodes.processes):
        for adapter in ASKED:
            threading.Thread(target=call, args=(nodes, name, adapter), daemon=True).start()
    time.sleep(LATE_TO_S)
    broken = []
    for replica in replicas:
        for order in replica.too_many:
            broken.append(f"LIMIT: {replica.id} holds {SLOTS} adapters of {SLOTS}, one of them on its "
                          f"way, and is ordered to load {order['adapter']} by {order['holder']}")
    return broken


play(FOLDER, scene)
