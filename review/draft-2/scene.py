"""Another writer's entry has bytes that cannot be read; then the replicas of a service are replaced."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from bed import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 2.0
ORDER_MS = 1000
ORDERS = 12
BAD_ENTRY = '{"service":"order-app","address":"127.0.0.1:9","zone":"z-a","state":"\xff\xfe","slots":6,"version":1}'


class Orders:
    def __init__(self, bed):
        self.bed, self.count, self.sent, self.answers = bed, 0, {}, {}

    def send(self, name, node):
        self.sent[name] = now()
        headers = [("Attempt-Id", name), ("Deadline-Ms", "4000")]
        status, _, _ = call(*self.bed.front(node), "POST", "/orders/x", headers, b"x", 6)
        self.answers[name] = status
        self.bed.note("order", name, "at", node, "sent %.3f" % self.sent[name], "got", status or "no answer")

    def burst(self, count):
        threads = []
        for each in range(count):
            self.count += 1
            threads.append(threading.Thread(target=self.send, args=(
                "o-%d" % self.count, self.bed.names[each % len(self.bed.names)])))
        for thread in threads:
            thread.start()
        return threads


def heartbeats(bed, replicas):
    while not bed.is_over:
        for each in replicas:
            if each.listed:
                each.register(state="draining" if each.leaving else "ready")
        time.sleep(1.2)


def play(bed):
    bed.is_over = False
    routes = [route("orders", "order-app", attempts=2, timeout_ms=4000)]
    bed.store.put("config", "main", config(1, routes, [{"name": "order-app"}]))
    old = [Replica(bed, "i-old-%d" % each, "order-app", work_ms=ORDER_MS) for each in range(3)]
    new = [Replica(bed, "i-new-%d" % each, "order-app", work_ms=ORDER_MS) for each in range(3)]
    for each in old + new:
        each.listed = each in old
    threading.Thread(target=heartbeats, args=(bed, old + new), daemon=True).start()
    for name in bed.names:
        bed.start_node(name)
    bed.wait_ready()
    orders = Orders(bed)
    time.sleep(3.0)
    for thread in orders.burst(ORDERS):
        thread.join()
    if any(status != 200 for status in orders.answers.values()):
        raise CannotRun("orders are not served before the disruption")
    if TROUBLE:
        bed.store.put("servers", "i-unreadable", None, raw=BAD_ENTRY)
        bed.note("another writer's entry is in the store")
    time.sleep(4.0)
    for each in new:
        each.listed = True
        each.register()
    bed.note("new replicas are listed")
    time.sleep(3.0)
    for thread in orders.burst(ORDERS):
        thread.join()
    for each in old:
        each.leaving = True
        each.register(state="draining")
    left = now()
    bed.note("the store has acknowledged that the old replicas are draining")
    time.sleep(DRAIN_S + 0.2)
    burst = orders.burst(ORDERS)
    time.sleep(0.6)
    for each in old:
        each.listed = False
        bed.store.remove("servers", each.id)
        bed.note(each.id, "ends", now() - left, "s after that, with", each.running, "orders at work")
        each.stop()
    for thread in burst:
        thread.join()
    time.sleep(0.5)
    for thread in orders.burst(ORDERS):
        thread.join()
    bed.is_over = True
    late = []
    for each in old:
        for at, name, _ in each.runs:
            if at > left + DRAIN_S and orders.sent[name] > left + DRAIN_S:
                late.append(name)
                bed.note("order", name, "reached", each.id, "%.3f s after the acknowledgement" % (at - left),
                         "and got", orders.answers.get(name) or "no answer")
    bed.note("orders that reached new replicas:", sum(len(each.runs) for each in new))
    bed.note("orders that reached drained replicas:", len(late), "of them not served:",
             sum(orders.answers.get(name) != 200 for name in late))
    return 1 if late else 0


def main():
    bed = Bed(2)
    try:
        code = play(bed)
    except CannotRun as reason:
        bed.note("cannot run:", reason)
        code = 2
    finally:
        bed.close(os.path.dirname(os.path.abspath(__file__)))
    os._exit(code)


if __name__ == "__main__":
    main()
