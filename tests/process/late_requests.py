"""Stops a burdock-node as planned while callers go on until its process is gone, and judges.

Usage: late_requests.py BIN FOLDER

Callers send calls that take 0.05 to 5.5 s at their replica, whole answers and streams, that may be repeated
and not, on kept connections, on new ones, and with their last bytes sent slowly across the moment from which
the node refuses. Judged: every request that reached a replica gets its whole answer, unless it was sent in the
first LATE_S of the stop and was still at work in the last sixth of the grace time; every other one gets its
whole answer, a refusal, or a connection that ends at once, as one does whose request was not read.
"""
import http.client
import json
import os
import signal
import socket
import sys
import threading
import time

from returned_store import FIRST_REPLICA_PORT, FRONT, HOST, NETWORK, STORE, Fleet, Store, call

GRACE_S = 8.0  # as Fleet.start_node() sets it
LATE_S = 3.0
LEAD_S = 1.0  # calls before the stop
INTERVAL_S = 0.5  # between the calls of a kind; a node without stated limits takes 256 connections
SERVICE_MS = [50, 1000, 2500, 5500]
KINDS = ["non_idempotent", "idempotent", "streaming"]
WAYS = ["kept", "new", "slow"]
KEPT = 8  # kept connections of a caller
SLOW_S = 0.4  # between the head of a slow request and its body
UNREAD_S = 0.3  # within which a connection ends whose request the node has not read
DEADLINE_MS = 12000


def route_name(kind, service_ms):
    return f"{'stream/' if kind == 'streaming' else ''}{kind}-{service_ms}"


class Play:
    def __init__(self, fleet):
        self.fleet = fleet
        self.store = Store()
        self.lock = threading.Lock()
        self.results = []  # (identity, sent, ended, kind, service time in ms, way, outcome)
        self.node = fleet.names[0]
        self.stopped_at = None
        self.count = 0

    def start(self):
        self.fleet.start("store", [os.path.join(self.fleet.binaries, "standin-store"), "--listen", STORE])
        while call(STORE, "GET", "/written")[0] != 200:
            time.sleep(0.02)
        routes = []
        for kind in KINDS:
            for service_ms in SERVICE_MS:
                routes.append({"name": route_name(kind, service_ms), "host": HOST, "type": kind, "attempts": 1,
                               "path_prefix": f"/{route_name(kind, service_ms)}/", "timeout_ms": DEADLINE_MS,
                               "latency_goal_ms": DEADLINE_MS, "gap_goal_ms": 400, "service": f"s{service_ms}"})
        services = [{"name": f"s{service_ms}"} for service_ms in SERVICE_MS]
        self.store.put("config", "main", {"version": 1, "routes": routes, "services": services})
        for number, service_ms in enumerate(SERVICE_MS):
            address = f"{NETWORK}.2:{FIRST_REPLICA_PORT + number}"
            command = [os.path.join(self.fleet.binaries, "standin-replica"), "--listen", address]
            command += ["--id", f"i-{number}", "--service-ms", str(service_ms)]
            self.fleet.start(f"i-{number}", command)
            while call(address, "GET", "/arrivals")[0] != 200:
                time.sleep(0.02)
            self.store.put("servers", f"i-{number}", {"service": f"s{service_ms}", "address": address, "zone": "z-1",
                                                      "slots": 2000, "state": "ready", "cold_left_ms": 0,
                                                      "sequence": 1, "born": 1000})
        for node in self.fleet.names:
            self.fleet.start_node(node)
        time.sleep(5.0)

    def is_over(self):
        return self.fleet.processes[self.node].poll() is not None

    def caller(self, kind, service_ms, way):
        """Sends calls at an interval, each on a connection of its own: most are still at work then."""
        idle = []
        if way == "kept":
            idle = [self.connect() for _ in range(KEPT)]
            for connection in idle:  # each has served a request before
                self.ask(connection, kind, 50, way, judged=False)
        threads = []
        while not self.is_over():
            connection = idle.pop() if idle else self.connect()
            if connection is not None:
                threads.append(threading.Thread(target=self.ask, args=(connection, kind, service_ms, way)))
                threads[-1].start()
            time.sleep(INTERVAL_S)
        for thread in threads:
            thread.join()

    def connect(self):
        connection = http.client.HTTPConnection(f"{self.fleet.ip(self.node)}:{FRONT}", timeout=15)
        try:
            connection.connect()
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            return None  # the process does not take connections any more
        return connection

    def ask(self, connection, kind, service_ms, way, judged=True):
        with self.lock:
            self.count += 1
            identity = f"q-{self.count}"
        outcome = "lost"
        sent = time.monotonic()
        try:
            connection.putrequest("POST", f"/{route_name(kind, service_ms)}/x", skip_host=True)
            for name, value in [("Host", HOST), ("Attempt-Id", identity), ("Deadline-Ms", str(DEADLINE_MS)),
                                ("X-Node", identity), ("Content-Length", "4")]:
                connection.putheader(name, value)
            connection.endheaders(b"ab")
            if way == "slow":
                time.sleep(SLOW_S)
                sent = time.monotonic()
            connection.send(b"cd")
            answer = connection.getresponse()
            body = answer.read().decode()
            if answer.status == 503:
                outcome = "refused"
            elif answer.status == 200 and (kind != "streaming" or body.endswith("data: 5\n\n")):
                outcome = "served"
            else:
                outcome = f"status {answer.status}"
        except (OSError, http.client.HTTPException):
            pass  # no whole answer
        if not judged:
            return
        connection.close()
        with self.lock:
            self.results.append((identity, sent, time.monotonic(), kind, service_ms, way, outcome))

    def run(self):
        callers = [threading.Thread(target=self.caller, args=(kind, service_ms, way))
                   for kind in KINDS for service_ms in SERVICE_MS for way in WAYS]
        for thread in callers:
            thread.start()
        time.sleep(LEAD_S)
        self.stopped_at = time.monotonic()
        self.fleet.processes[self.node].send_signal(signal.SIGTERM)
        for thread in callers:
            thread.join()

    def judge(self):
        ran = set()
        for number in range(len(SERVICE_MS)):
            address = f"{NETWORK}.2:{FIRST_REPLICA_PORT + number}"
            ran |= {identity for identity, _ in json.loads(call(address, "GET", "/arrivals")[2])}
        broken = []
        for identity, sent, ended, kind, service_ms, way, outcome in self.results:
            since_stop = sent - self.stopped_at
            reached = identity in ran
            is_late_work = since_stop + service_ms / 1000 >= GRACE_S * 5 / 6
            allowed = since_stop <= LATE_S and is_late_work
            is_unread = outcome == "lost" and ended - sent <= UNREAD_S
            sound = outcome == "served" or (not reached and (outcome == "refused" or is_unread))
            if not sound and not allowed:
                broken.append(f"{identity}, {kind} of {service_ms} ms, {way}: sent {since_stop:.2f} s after the stop, "
                              f"{outcome} after {ended - sent:.2f} s, reached a replica: {reached}")
        counts = {}
        for result in self.results:
            counts[result[6]] = counts.get(result[6], 0) + 1
        print(f"{len(self.results)} requests {counts}, {len(broken)} broken")
        for text in broken[:40]:
            print("BROKEN", text)
        return broken


def main():
    fleet = Fleet(sys.argv[1], sys.argv[2], 3)
    play = Play(fleet)
    try:
        play.start()
        play.run()
        broken = play.judge()
    finally:
        fleet.stop_all()
    sys.exit(1 if broken or not play.results else 0)


if __name__ == "__main__":
    main()
