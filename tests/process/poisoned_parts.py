"""Plays prompt parts that end each replica that writes an answer on them, and judges the nodes.

Usage: poisoned_parts.py BIN FOLDER NODES SEED [SILENCE]

Starts the stand-in of the store, replicas of a model service and burdock-node processes. Callers ask at any
node; some requests have a poisoned part in their prompt, no two of them alike, the others share their caller
and their other parts. A replica that ends is back after some seconds under a new id, at first without its
model. Beside that, by the seed, replicas are killed, connections to replicas closed without an answer, nodes
killed and started, suspended or added, and the store is away. SILENCE: seconds without the part, after which
it comes again. Judged:

- more than 3 s after the fifth crash by a part, at most three requests with it reach replicas from nodes that
  have not been disturbed for 3 s;
- from 6 s after the fifth crash, or the last if there are fewer, requests without it that share the first
  part are served at least half as often as before the first one;
- at most MOST_CRASHES replicas end by one part;
- no answer is a success without its replica's.

Exits with 1 and says what was broken. The same seed plays the same disturbances.
"""
import concurrent.futures
import json
import os
import random
import signal
import sys
import threading
import time

from returned_store import CONTACT_S, FIRST_REPLICA_PORT, FRONT, HOST, NETWORK, STORE, Fleet, Store, call

REPLICAS = 6
RESTART_S = 1.5  # until a replica that ended is back
LOAD_S = 0.7  # then until it has its model
CALLS_PER_S = 40.0
CALM_S = 4.0  # traffic before the first disturbance
POISONED_S = 16.0  # while poisoned requests come
ALLOWED_SENDS = 3
MOST_CRASHES = 8  # five, and the sends that are allowed after them
LEAST_SERVED = 0.5  # of the share before
LEAST_COUNTED = 20  # requests that a share is judged by
MODEL = "m"
SUBJECTS = 25
DEADLINE_MS = 3000


class Replicas:
    """The replicas' processes: what ends is started again under a new id."""

    def __init__(self, fleet, store, poisoned):
        self.fleet = fleet
        self.store = store
        self.poisoned = poisoned
        self.number = 0
        self.slots = [None] * REPLICAS  # id of the replica at each address
        self.times = [0.0] * REPLICAS  # when the next step of a restart is due
        self.is_store_away = False  # entries are written when it is back

    def address(self, slot):
        return f"{NETWORK}.2:{FIRST_REPLICA_PORT + slot}"

    def start(self, slot):
        self.number += 1
        replica = f"r-{self.number}"
        command = [os.path.join(self.fleet.binaries, "standin-replica"), "--listen", self.address(slot)]
        command += ["--id", replica, "--log-requests"]
        for part in self.poisoned:
            command += ["--crash-on", part]
        self.fleet.start(replica, command)
        self.slots[slot] = replica
        return replica

    def announce(self, slot, models):
        entry = {
            "service": "s",
            "address": self.address(slot),
            "zone": "z-1",
            "slots": 64,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "born": 1000 + int(self.slots[slot].split("-")[1]),
            "models": models,
        }
        self.store.put("servers", self.slots[slot], entry)

    def step(self):
        """Starts what has ended and gives it its model, each in its time."""
        now = time.monotonic()
        for slot, replica in enumerate(self.slots):
            process = self.fleet.processes.get(replica)
            if process is not None and process.poll() is not None:
                self.fleet.processes.pop(replica)
                self.times[slot] = now + RESTART_S
                threading.Thread(target=self.expire, args=(replica,), daemon=True).start()
            elif self.is_store_away:
                continue
            elif process is None and now >= self.times[slot]:
                self.start(slot)
                self.announce(slot, [])
                self.times[slot] = now + LOAD_S
            elif self.times[slot] and now >= self.times[slot]:
                self.announce(slot, [{"name": MODEL, "adapters": []}])
                self.times[slot] = 0.0

    def expire(self, replica):
        """The store drops the entry after three silent heartbeats."""
        time.sleep(3.6)
        while self.is_store_away:
            time.sleep(0.1)
        self.store.remove("servers", replica)

    def running(self):
        return [slot for slot, replica in enumerate(self.slots) if replica in self.fleet.processes]


class Play:
    def __init__(self, fleet, seed, silence):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.calling = random.Random(seed)
        self.silence_s = silence
        self.store = Store()
        self.broken = []
        self.results = []  # of requests without a poisoned part: (sent, first part, served)
        self.count = 0
        self.poison_from = None
        self.poison_until = None
        self.answers = {}
        # What the seed decides.
        chance = self.random
        self.place = chance.choice(["first", "middle", "middle"])
        self.parts = ["bad1", "bad2"][: chance.choice([1, 1, 2])]
        self.share = chance.choice([0.04, 0.2])
        self.disturbances = chance.sample(["replica", "drop", "kill", "freeze", "join", "store"], chance.choice([0, 1, 2]))
        self.replicas = Replicas(fleet, self.store, self.parts)

    def say(self, text):
        print(f"{time.monotonic() - self.began:7.3f} {text}", flush=True)

    def break_rule(self, text):
        self.say("BROKEN " + text)
        self.broken.append(text)

    # ---- Start ----

    def publish(self):
        route = {
            "name": "stream",
            "host": HOST,
            "path_prefix": "/stream/",
            "type": "streaming",
            "resumable": True,
            "sticky": True,
            "timeout_ms": DEADLINE_MS,
            "latency_goal_ms": 1000,
            "gap_goal_ms": 400,
            "attempts": 2,
            "service": "s",
        }
        engine = {
            "slots": 64,
            "kv_capacity": 200000,
            "weights_mb": 1000.0,
            "adapter_slots": 1,
            "loads_per_s": 5.0,
            "models": [{"name": MODEL, "weights_mb": 500.0, "load_s": LOAD_S, "adapters": 0, "adapter_mb": 1.0}],
        }
        services = [{"name": "s", "engine": engine}]
        self.store.put("config", "main", {"version": 1, "routes": [route], "services": services})

    def start(self, nodes):
        self.began = time.monotonic()
        self.fleet.start("store", [os.path.join(self.fleet.binaries, "standin-store"), "--listen", STORE])
        while call(STORE, "GET", "/written")[0] != 200:
            time.sleep(0.02)
        self.publish()
        for slot in range(REPLICAS):
            self.replicas.start(slot)
            while call(self.replicas.address(slot), "GET", "/arrivals")[0] != 200:
                time.sleep(0.02)
            self.replicas.announce(slot, [{"name": MODEL, "adapters": []}])
        joins = "join" in self.disturbances
        for node in self.fleet.names[: nodes - 1 if joins else nodes]:
            self.fleet.start_node(node)
        time.sleep(6.0)
        self.say(f"parts {self.parts}, {self.place}, share {self.share}, disturbances {self.disturbances}")

    # ---- Calls ----

    def prompt(self):
        """Returns the parts of a prompt and whether one of them is poisoned."""
        self.count += 1
        chance = self.calling
        first = f"f{chance.choice([1, 1, 2])}"
        subject = f"s{min(chance.randrange(SUBJECTS), chance.randrange(SUBJECTS))}"
        now = time.monotonic()
        poisoned = self.poison_from is not None and self.poison_from <= now < self.poison_until
        if poisoned and chance.random() < self.share:
            part = chance.choice(self.parts)
            names = [part, subject] if self.place == "first" else [first, part]
            return names + [f"q{self.count}"], part
        return [first, subject, f"q{self.count}"], None

    def ask(self, node, names, part):
        headers = {
            "Host": HOST,
            "Attempt-Id": f"{self.count}-{names[-1]}",
            "Deadline-Ms": str(DEADLINE_MS),
            "Model": MODEL,
            "Token-Count": "60,10",
            "Prompt-Prefix": ",".join(f"{name}:20" for name in names),
            "X-Node": node,
        }
        sent = time.monotonic()
        address = f"{self.fleet.ip(node)}:{FRONT}"
        status, answer_headers, body = call(address, "POST", f"/stream/{names[-1]}", "x", headers)
        self.answers[status] = self.answers.get(status, 0) + 1
        served = status == 200 and body.endswith("id: 5\ndata: 5\n\n")
        if served and not answer_headers.get("Server-Seal"):
            self.break_rule("a success without its replica's answer")
        if part is None and self.fleet.is_undisturbed(node, sent, sent):
            self.results.append((sent, names[0], served))

    def call_for(self, seconds):
        end = time.monotonic() + seconds
        due = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(48) as pool:
            while time.monotonic() < end:
                self.replicas.step()
                while due <= time.monotonic():
                    due += 1.0 / CALLS_PER_S
                    node = self.calling.choice(self.fleet.running())
                    names, part = self.prompt()
                    pool.submit(self.ask, node, names, part)
                time.sleep(0.01)

    # ---- Disturbances ----

    def disturb(self, how):
        self.say("disturbance: " + how)
        node = self.random.choice(self.fleet.running())
        if how == "replica":
            for slot in self.random.sample(self.replicas.running(), min(2, len(self.replicas.running()))):
                self.fleet.processes[self.replicas.slots[slot]].kill()
        elif how == "drop":
            self.drop(0.3)
            self.call_for(1.5)
            self.drop(0.0)
        elif how == "kill":
            self.fleet.end(node, signal.SIGKILL)
            self.fleet.start_node(node)
        elif how == "freeze":
            seconds = self.random.uniform(0.5, 2.0)
            self.fleet.processes[node].send_signal(signal.SIGSTOP)
            self.fleet.disturb(node, seconds)
            self.call_for(seconds)
            self.fleet.processes[node].send_signal(signal.SIGCONT)
            self.fleet.disturb(node, 0.0)
        elif how == "join":
            self.fleet.start_node(self.fleet.names[-1])
        elif how == "store":
            self.store.faults(away="refuse")
            self.replicas.is_store_away = True
            for running in self.fleet.running():
                self.fleet.disturb(running, 1.0)
            self.call_for(1.0)
            self.store.faults(away="no")
            self.replicas.is_store_away = False

    def drop(self, share):
        for slot in self.replicas.running():
            call(self.replicas.address(slot), "PUT", "/faults", json.dumps({"drop": share}))

    # ---- Judgement ----

    def events(self):
        found = []
        for name in os.listdir(self.fleet.folder):
            if not name.startswith("r-"):
                continue
            with open(os.path.join(self.fleet.folder, name), encoding="utf-8") as file:
                found += [json.loads(line) for line in file if line.startswith("{")]
        return sorted(found, key=lambda event: event["at_ms"])

    def judge_part(self, part, events):
        crashes = [event["at_ms"] / 1000 for event in events if event["event"] == "crash" and event["part"] == part]
        arrivals = [event for event in events if event["event"] == "arrival" and event["part"] == part]
        late = []
        if len(crashes) >= 5:
            for event in arrivals:
                at = event["at_ms"] / 1000
                if at > crashes[4] + CONTACT_S and self.fleet.is_undisturbed(event["node"], at, at):
                    late.append(at)
        self.say(f"{part}: {len(arrivals)} sends, {len(crashes)} crashes, {len(late)} sends late")
        if len(late) > ALLOWED_SENDS:
            self.break_rule(f"{part} was sent {len(late)} times more than {CONTACT_S} s after its fifth crash")
        if len(crashes) > MOST_CRASHES:
            self.break_rule(f"{part} ended {len(crashes)} replicas")
        return crashes

    def judge_sound(self, crashes):
        if not crashes:
            return
        begin = crashes[min(4, len(crashes) - 1)] + 2 * CONTACT_S
        for first in ("f1", "f2"):
            before = [served for sent, name, served in self.results if name == first and sent < crashes[0] - 0.5]
            after = [served for sent, name, served in self.results if name == first and sent >= begin]
            if min(len(before), len(after)) < LEAST_COUNTED:
                continue
            was, is_now = sum(before) / len(before), sum(after) / len(after)
            self.say(f"requests with {first}: {was:.2f} served before, {is_now:.2f} after")
            if is_now < LEAST_SERVED * was:
                self.break_rule(f"requests with {first}: {is_now:.2f} served, {was:.2f} before")

    # ---- The play ----

    def run(self):
        self.call_for(CALM_S)
        self.poison_from = time.monotonic()
        self.poison_until = self.poison_from + POISONED_S
        for how in self.disturbances:
            self.call_for(self.random.uniform(0.0, 4.0))
            self.disturb(how)
        self.call_for(max(0.0, self.poison_until - time.monotonic()))
        if self.silence_s:
            self.call_for(self.silence_s)
            self.poison_until = time.monotonic() + POISONED_S
            self.poison_from = time.monotonic()
            self.call_for(POISONED_S)

    def judge(self):
        events = self.events()
        for part in self.parts:
            crashes = self.judge_part(part, events)
            if len(self.parts) == 1 and not self.silence_s:
                self.judge_sound(crashes)
        if not any(event["event"] == "crash" for event in events):
            self.break_rule("nothing crashed, the run shows nothing")


def main():
    binaries, folder = sys.argv[1], sys.argv[2]
    nodes, seed = int(sys.argv[3]), int(sys.argv[4])
    silence = float(sys.argv[5]) if len(sys.argv) > 5 else 0.0
    fleet = Fleet(binaries, folder, nodes)
    play = Play(fleet, seed, silence)
    try:
        play.start(nodes)
        play.run()
    finally:
        fleet.stop_all()
    play.judge()
    print(f"nodes {nodes}, seed {seed}: {len(play.broken)} broken; answers {play.answers}")
    sys.exit(1 if play.broken or not play.answers.get(200) else 0)


if __name__ == "__main__":
    main()
