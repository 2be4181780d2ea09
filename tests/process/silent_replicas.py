"""Plays sound replicas that fall silent and go on before real burdock-node processes, and judges.

Usage: silent_replicas.py BIN FOLDER NODES SEED SECONDS [CALLERS]

Starts the stand-ins of the store and of replicas and the nodes. Callers ask on kept connections, which they
use until the node ends them, by four kinds of route: streams that may be resumed, streams that may not,
requests that may run twice and requests that may not. By the seed, one or two replicas at a time are
suspended for 0.5 to 2 s and go on; with some seeds the configuration changes each second, nodes reload their
settings, and nodes are stopped as planned and started again, in series that overlap. Judged:

- every request gets a whole answer or a refusal that says that it has not run: no other error, no cut
  stream, no connection that ends without an answer (a connection that ends before a byte of the answer, on
  a node that was told to stop, is one that crossed its close if no replica saw the request);
- no refused request and no request that may not be repeated runs more often than it may;
- a success is its replica's whole answer.

Exits with 1 and says what was broken. The same seed plays the same disturbances.
"""
import collections
import http.client
import json
import os
import random
import signal
import sys
import threading
import time

from returned_store import FIRST_REPLICA_PORT, FRONT, HOST, NETWORK, STORE, Fleet, Store, call

REPLICAS = 4
SERVICE_MS = 60
EVENT_MS = 60
EVENTS = 12
TIMEOUT_MS = 6000
LATENCY_GOAL_MS = 400
START_S = 6.0  # until nodes know each other
SILENCE_S = (0.5, 2.0)
UNREAD_S = 0.3  # within which a connection ends whose request the node has not read
# name: (type, resumable, attempts)
ROUTES = {
    "stream": ("streaming", True, 2),
    "once-stream": ("streaming", False, 1),
    "repeat": ("idempotent", False, 2),
    "once": ("non_idempotent", False, 1),
}
STREAM_TEXT = "".join(f"id: {number}\ndata: {number}\n\n" for number in range(1, EVENTS + 1))


class Play:
    def __init__(self, fleet, seed, seconds, callers):
        chance = random.Random(seed)
        self.chance = chance
        self.fleet = fleet
        self.store = Store()
        self.seconds = seconds
        self.callers = callers
        self.changes_config = chance.random() < 0.6
        self.reloads = chance.random() < 0.5
        self.stops = chance.random() < 0.5
        self.silent_at_once = chance.choice([1, 1, 2])
        self.version = 0
        self.ends = False
        self.lock = threading.Lock()
        self.outcomes = collections.Counter()
        self.broken = []
        self.open_nodes = set(fleet.names)  # that callers may go to
        self.stopping = set()
        self.single = set()  # requests that may run once
        self.crossed = set()  # requests whose connection ended before they were read

    def say(self, text):
        print(f"{time.monotonic() - self.began:7.3f} {text}", flush=True)

    def break_rule(self, text):
        with self.lock:
            self.broken.append(text)
        self.say("BROKEN " + text)

    # ---- Operator ----

    def publish(self):
        self.version += 1
        routes = []
        for name, (kind, resumable, attempts) in ROUTES.items():
            prefix = f"/{'stream/' if kind == 'streaming' else ''}{name}/"
            routes.append(
                {
                    "name": name,
                    "host": HOST,
                    "path_prefix": prefix,
                    "type": kind,
                    "resumable": resumable,
                    "timeout_ms": TIMEOUT_MS + self.version % 2,
                    "latency_goal_ms": LATENCY_GOAL_MS,
                    "gap_goal_ms": 300,
                    "attempts": attempts,
                    "service": "s",
                }
            )
        self.store.put("config", "main", {"version": self.version, "routes": routes, "services": [{"name": "s"}]})

    def start(self):
        self.began = time.monotonic()
        self.say(
            f"config changes {self.changes_config}, reloads {self.reloads}, stops {self.stops}, "
            f"{self.silent_at_once} silent at once"
        )
        self.fleet.start("store", [os.path.join(self.fleet.binaries, "standin-store"), "--listen", STORE])
        while call(STORE, "GET", "/written")[0] != 200:
            time.sleep(0.02)
        self.publish()
        for number in range(REPLICAS):
            address = f"{NETWORK}.2:{FIRST_REPLICA_PORT + number}"
            command = [os.path.join(self.fleet.binaries, "standin-replica"), "--listen", address]
            command += ["--id", f"i-{number}", "--service-ms", str(SERVICE_MS)]
            command += ["--event-ms", str(EVENT_MS), "--events", str(EVENTS)]
            self.fleet.start(f"i-{number}", command)
            while call(address, "GET", "/arrivals")[0] != 200:
                time.sleep(0.02)
            entry = {"service": "s", "address": address, "zone": "z-1", "slots": 400, "state": "ready"}
            self.store.put("servers", f"i-{number}", {**entry, "cold_left_ms": 0, "sequence": 1, "born": 1000})
        for node in self.fleet.names:
            self.fleet.start_node(node)
        time.sleep(START_S)

    # ---- Callers ----

    def caller(self, number):
        """Asks one request after the other, on a connection that it keeps as long as it can."""
        chance = random.Random(number)
        keeps_to_node = number % 2 == 0  # uses its connection until the process is gone
        count = 0
        connection, node = None, None
        while not self.ends:
            with self.lock:
                nodes = sorted(self.open_nodes)
            if connection is None:
                node = chance.choice(nodes)
                connection = http.client.HTTPConnection(f"{self.fleet.ip(node)}:{FRONT}", timeout=12)
            count += 1
            name = chance.choice(list(ROUTES))
            identity = f"q-{number}-{count}"
            if ROUTES[name][2] == 1:
                with self.lock:
                    self.single.add(identity)
            reusable = self.ask(connection, node, name, identity)
            has_left = node not in self.open_nodes and not keeps_to_node
            if not reusable or has_left or chance.random() < 0.05:
                connection.close()
                connection = None
            time.sleep(chance.uniform(0.0, 0.05))

    def ask(self, connection, node, name, identity):
        """Returns whether the connection can be used again."""
        kind = ROUTES[name][0]
        path = f"/{'stream/' if kind == 'streaming' else ''}{name}/x"
        headers = {"Host": HOST, "Attempt-Id": identity, "Deadline-Ms": str(TIMEOUT_MS), "X-Node": identity}
        sent = time.monotonic()
        status, body, has_head = 0, b"", False
        try:
            connection.request("POST", path, "x", headers)
            answer = connection.getresponse()
            has_head = True
            status, body = answer.status, answer.read()
            reusable = not answer.will_close
            sound = self.is_sound(kind, status, answer, body.decode())
        except (OSError, http.client.HTTPException) as failure:
            reusable, sound = False, False
            # A node that stops closes connections whose next request it has not read.
            is_at_once = time.monotonic() - sent <= UNREAD_S
            crossed = not has_head and node in self.stopping and is_at_once
            with self.lock:
                self.outcomes["crossed" if crossed else "lost"] += 1
                if crossed:
                    self.crossed.add(identity)
            if not crossed:
                self.tell(identity, node, name, sent, f"{type(failure).__name__} after head {has_head}")
            return False
        with self.lock:
            self.outcomes[status] += 1
        if not sound:
            self.tell(identity, node, name, sent, f"{status} {body[:80]!r}")
        return reusable

    @staticmethod
    def is_sound(kind, status, answer, body):
        if status == 503:
            return True  # not run
        if status != 200 or answer.headers.get("Server-Seal") is None:
            return False
        return body == (STREAM_TEXT if kind == "streaming" else answer.headers["Server-Seal"])

    def tell(self, identity, node, name, sent, what):
        taken = time.monotonic() - sent
        self.break_rule(f"{identity} by {node}, {name}: {what}, {taken:.2f} s after it was sent")

    # ---- Disturbances ----

    def silence_one(self):
        while not self.ends:
            replica = f"i-{self.chance.randrange(REPLICAS)}"
            seconds = self.chance.uniform(*SILENCE_S)
            process = self.fleet.processes[replica]
            process.send_signal(signal.SIGSTOP)
            time.sleep(seconds)
            process.send_signal(signal.SIGCONT)
            time.sleep(self.chance.uniform(0.1, 0.8))

    def change_config(self):
        while not self.ends:
            time.sleep(1.0)
            self.publish()

    def reload(self):
        while not self.ends:
            time.sleep(self.chance.uniform(0.3, 1.5))
            node = self.chance.choice(self.fleet.names)
            process = self.fleet.processes.get(node)
            if process is not None and process.poll() is None and node not in self.stopping:
                process.send_signal(signal.SIGHUP)

    def stop_one(self):
        """Stops a node as planned; callers leave it as their address answers run out."""
        time.sleep(1.0)
        while not self.ends:
            node = self.chance.choice(self.fleet.names)
            process = self.fleet.processes[node]
            self.stopping.add(node)
            process.send_signal(signal.SIGTERM)
            self.say(f"{node} is stopped")
            time.sleep(self.chance.uniform(0.5, 2.5))
            with self.lock:
                self.open_nodes.discard(node)
            process.wait()
            if process.returncode != 0:
                self.break_rule(f"{node} ended with {process.returncode}")
            self.fleet.start_node(node)
            time.sleep(2.0)
            self.stopping.discard(node)
            with self.lock:
                self.open_nodes.add(node)

    def run(self):
        workers = [threading.Thread(target=self.caller, args=(number,)) for number in range(self.callers)]
        tasks = [self.silence_one] * self.silent_at_once
        tasks += [self.change_config] * self.changes_config + [self.reload] * self.reloads
        tasks += [self.stop_one] * self.stops
        others = [threading.Thread(target=task) for task in tasks]
        for thread in workers + others:
            thread.start()
        time.sleep(self.seconds)
        self.ends = True
        for thread in workers + others:
            thread.join()
        self.judge_runs()

    def judge_runs(self):
        """What may not be repeated has run at most once."""
        runs = collections.Counter()
        for number in range(REPLICAS):
            address = f"{NETWORK}.2:{FIRST_REPLICA_PORT + number}"
            for identity, _ in json.loads(call(address, "GET", "/arrivals")[2]):
                runs[identity] += 1
        most = max(runs.values(), default=0)
        if most > 2:
            self.break_rule(f"a request reached replicas {most} times")
        for identity in self.crossed & set(runs):
            self.break_rule(f"{identity} reached a replica, and its connection ended without an answer")
        for identity in self.single & set(runs):
            if runs[identity] > 1:
                self.break_rule(f"{identity}, which may run once, reached replicas {runs[identity]} times")
        self.say(f"{len(runs)} requests reached replicas, {sum(runs.values()) - len(runs)} of them twice")


def main():
    binaries, folder = sys.argv[1], sys.argv[2]
    nodes, seed, seconds = int(sys.argv[3]), int(sys.argv[4]), float(sys.argv[5])
    callers = int(sys.argv[6]) if len(sys.argv) > 6 else 60
    fleet = Fleet(binaries, folder, nodes)
    play = Play(fleet, seed, seconds, callers)
    try:
        play.start()
        play.run()
    finally:
        fleet.stop_all()
    print(f"nodes {nodes}, seed {seed}: {len(play.broken)} broken; outcomes {dict(play.outcomes)}")
    sys.exit(1 if play.broken or not play.outcomes[200] else 0)


if __name__ == "__main__":
    main()
