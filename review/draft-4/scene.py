"""One request that is larger than a replica's memory comes before a quiet stretch of ordinary ones."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from bed import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KV_TOKENS = 139471
LARGE = "140000,1000"
LENGTH_S = 25.0
MODELS = ["m0", "m1"]


class Pool(Replica):
    """Rejects a request that is larger than its memory as if it were full."""

    def answer(self, message, sock):
        tokens = message.header("Token-Count")
        if tokens and sum(int(each) for each in tokens.split(",")) > KV_TOKENS:
            self.bed.note(self.id, "rejects", message.header("Attempt-Id"), "of", tokens, "tokens")
            self.reject(message, sock, 503)
            return None
        return super().answer(message, sock)


def heartbeats(bed, replicas):
    while not bed.is_over:
        for each in replicas:
            each.register()
        time.sleep(1.2)


class Callers:
    def __init__(self, bed):
        self.bed, self.count, self.asked, self.served, self.reasons = bed, 0, {}, {}, {}
        self.lock = threading.Lock()

    def send(self, kind, node, tokens="500,20", model=None, judged=True):
        with self.lock:
            self.count += 1
            name = "q-%d" % self.count
        headers = [("Attempt-Id", name), ("Deadline-Ms", "6000")]
        if model:
            headers += [("Model", model), ("Token-Count", tokens),
                        ("Prompt-Prefix", "aa:300,%x:200" % random.getrandbits(60))]
        status, _, body = call(*self.bed.front(node), "POST", "/%s/x" % kind, headers, b"x", 8)
        if not judged:
            self.bed.note("the large request gets", status, body.decode())
            return
        with self.lock:
            for key in [kind] + ([model] if model else []):
                self.asked[key] = self.asked.get(key, 0) + 1
                self.served[key] = self.served.get(key, 0) + (status == 200)
            reason = "%s %s" % (status, body.decode()[:20] if status != 200 else "")
            self.reasons[reason] = self.reasons.get(reason, 0) + 1


def play(bed):
    bed.is_over = False
    models = [{"name": each, "weights_mb": 72700, "load_s": 1.2, "adapters": 0, "adapter_mb": 66} for each in MODELS]
    engine = {"slots": 64, "kv_capacity": KV_TOKENS, "stride": 2, "weights_mb": 200000, "adapter_slots": 8,
              "loads_per_s": 2.1, "models": models}
    routes = [route("stream", "pool", "streaming", sticky=True, gap_goal_ms=400, timeout_ms=6000, goal_ms=1200),
              route("orders", "order-app")]
    bed.store.put("config", "main", config(1, routes, [{"name": "pool", "max_conns": 360, "engine": engine},
                                                       {"name": "order-app"}]))
    pool = [Pool(bed, "i-pool-%d" % each, "pool", models=list(MODELS), slots=64) for each in range(3)]
    apps = [Replica(bed, "i-app-%d" % each, "order-app") for each in range(3)]
    threading.Thread(target=heartbeats, args=(bed, pool + apps), daemon=True).start()
    for name in bed.names:
        bed.start_node(name)
    bed.wait_ready()
    time.sleep(4.0)
    callers = Callers(bed)
    if TROUBLE:
        callers.send("stream", bed.names[0], LARGE, MODELS[0], judged=False)
    threads = []
    end = time.monotonic() + LENGTH_S
    while time.monotonic() < end:
        for node in bed.names:
            for kind, model in [("stream", "m0"), ("stream", "m1"), ("orders", None)]:
                threads.append(threading.Thread(target=callers.send, args=(kind, node, "500,20", model)))
                threads[-1].start()
        time.sleep(0.5)
    for thread in threads:
        thread.join()
    bed.is_over = True
    for key in callers.asked:
        bed.note(key, "asked for", callers.asked[key], "times, served", callers.served[key])
    bed.note("answers", callers.reasons)
    bed.note("runs at replicas of the pool", sum(len(each.runs) for each in pool), "of order-app",
             sum(len(each.runs) for each in apps))
    never = [each for each in MODELS if callers.served.get(each, 0) == 0]
    everything = sum(callers.served[each] for each in ("stream", "orders")) / sum(
        callers.asked[each] for each in ("stream", "orders"))
    starved = [each for each in ("stream", "orders") if callers.served[each] / callers.asked[each] < everything / 4]
    bed.note("models never served:", never or "none", "kinds served less than a quarter as often as all:",
             starved or "none")
    return 1 if len(never) > 1 + 0.1 * len(MODELS) or starved else 0


def main():
    bed = Bed(2)
    try:
        code = play(bed)
    except CannotRun as reason:
        bed.note("cannot run:", reason)
        code = 2
    finally:
        bed.is_over = True
        bed.close(os.path.dirname(os.path.abspath(__file__)))
    os._exit(code)


if __name__ == "__main__":
    main()
