"""The store comes back from a copy some seconds old; judges the orders that replicas get."""
import os
import sys

from bed import *  # noqa: F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MODEL_MB = 72700
AWAY_S = 0.08
HEARTBEAT_S = 1.2
REPLICAS = 6


def models(count):
    return [{"name": "m%d" % each, "weights_mb": MODEL_MB, "load_s": 1.2, "adapters": 0, "adapter_mb": 66}
            for each in range(count)]


def version(number, count):
    engine = {"slots": 64, "kv_capacity": 139471, "stride": 2, "weights_mb": Engine.weights_mb, "adapter_slots": 8,
              "loads_per_s": 2.1, "models": models(count)}
    routes = [route("stream", "pool", "streaming", sticky=True, gap_goal_ms=400, timeout_ms=6000, goal_ms=1200)]
    return config(number, routes, [{"name": "pool", "max_conns": 360, "engine": engine}])


class Callers:
    """A few callers of the models of version 1, each request with a prompt of its own."""

    def __init__(self, bed):
        self.bed, self.ended, self.count, self.outcomes = bed, False, 0, {}
        self.threads = [threading.Thread(target=self.run, args=(each,), daemon=True) for each in range(16)]
        for thread in self.threads:
            thread.start()

    def run(self, number):
        while not self.ended:
            self.count += 1
            name = "c%d-%d" % (number, self.count)
            model = "m%d" % random.randrange(REPLICAS)
            headers = [("Attempt-Id", name), ("Deadline-Ms", "6000"), ("Model", model), ("Token-Count", "200,20"),
                       ("Prompt-Prefix", "aa:100,%x:100" % random.getrandbits(60))]
            status, _, _ = call(*self.bed.front(random.choice(self.bed.names)), "POST", "/stream/x", headers, b"x", 8)
            self.outcomes[status] = self.outcomes.get(status, 0) + 1
            if status != 200:
                self.bed.note("request", name, "for", model, "got", status or "no whole answer")
            time.sleep(0.05)


def heartbeats(bed, engine):
    time.sleep(HEARTBEAT_S * random.random())
    while not bed.is_over:
        if not engine.gone:
            engine.register()
        time.sleep(HEARTBEAT_S)


def play(bed):
    Engine.sizes = {each["name"]: MODEL_MB for each in models(2 * REPLICAS)}
    engines = [Engine(bed, "i-%d" % each, "pool", models=["m%d" % each], slots=64) for each in range(REPLICAS)]
    bed.store.put("config", "main", version(1, REPLICAS))
    bed.is_over = False
    for engine in engines:
        engine.register()
        threading.Thread(target=heartbeats, args=(bed, engine), daemon=True).start()
    for name in bed.names:
        bed.start_node(name)
    bed.wait_ready()
    callers = Callers(bed)
    time.sleep(8.0)
    bed.store.save()
    bed.note("the store's copy is made")
    bed.store.put("config", "main", version(2, 2 * REPLICAS))
    bed.note("version 2 with as many models more is acknowledged")
    time.sleep(7.0)
    held = [sorted(each.models) for each in engines]
    bed.note("replicas hold", held)
    if sorted(sum(held, [])) != sorted("m%d" % each for each in range(2 * REPLICAS)):
        raise CannotRun("the added models are not loaded, one on each replica")
    if TROUBLE:
        bed.note("the store is away for", AWAY_S, "s")
        bed.store.drill(AWAY_S)
        bed.store.put("config", "main", version(2, 2 * REPLICAS))
        bed.note("the store is back from its copy, era", bed.store.era, "and has version 2 again")
    time.sleep(5.0)
    callers.ended = True
    for thread in callers.threads:
        thread.join()
    bed.is_over = True
    crashes = [each.id for each in engines if each.crashes]
    bed.note("answers by status", callers.outcomes)
    bed.note("replicas that were ordered to load more than they hold:", crashes or "none")
    return 1 if crashes else 0


def main():
    bed = Bed(3)
    try:
        code = play(bed)
    except CannotRun as reason:
        bed.note("cannot run:", reason)
        code = 2
    finally:
        bed.close(os.path.dirname(os.path.abspath(__file__)))
    sys.stdout.flush()
    os._exit(code)


if __name__ == "__main__":
    main()
