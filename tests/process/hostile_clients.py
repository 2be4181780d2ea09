"""Plays clients that break the limits against a real process, and judges what it holds.

Usage: hostile_clients.py node BIN FOLDER PLAY
       hostile_clients.py entry IP:PORT PID PLAY

"node" starts the stand-ins of the store and of a replica and one burdock-node with small limits; "entry" takes
a burdock-entry that test_hostile_entry.sh has started. A crowd of connections sends what PLAY says, each as far
as the process takes it, and stays open. Judged then, while it is still connected:

- the process that was started is still the one that runs;
- its resident memory has never been above MEMORY_MB, the memory_mb of the node's settings;
- its open descriptors are no more than DESCRIPTORS, the max_fds of the node's settings;
- one ordinary request is answered by the replica.

No times and no share of served requests are judged. CROWD in the environment multiplies the crowd, for plays
by hand. Exits with 1 and says what was broken.
"""
import os
import selectors
import socket
import sys
import time

from returned_store import FRONT, HOST, FIRST_REPLICA_PORT, NETWORK, STORE, Fleet, Store, call

MEMORY_MB = 48
DESCRIPTORS = 300
MAX_HEADER_BYTES = 8 * 1024
MAX_BODY_BYTES = 1024 * 1024
CROWD_FACTOR = int(os.environ.get("CROWD", "1"))
STALLED_S = 5.0  # a crowd that sends nothing for so long has sent what the node takes
REST_S = 2.0
ANSWER_S = 30.0

NODE_HEAD = f"POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: crowd\r\nDeadline-Ms: 60000\r\n"
ENTRY_HEAD = f"POST /order-app/orders HTTP/1.1\r\nHost: {HOST}\r\nIdempotency-Key: crowd\r\n"


def chunked(head):
    return (head + "Transfer-Encoding: chunked\r\n\r\n").encode()


def repeat(block, total):
    """Yields the block until so many bytes were yielded."""
    for _ in range(total // len(block)):
        yield block


def chunks(size, total):
    block = b"%x\r\n" % size + b"x" * size + b"\r\n"
    count = max(1, 65536 // len(block))
    for _ in range(total // size // count):
        yield block * count


def trailers(head):
    yield chunked(head) + b"1\r\nx\r\n0\r\n"
    yield from repeat(b"X-Trailer: " + b"y" * 1000 + b"\r\n", 16 * 1024 * 1024)


def long_trailer(head):
    yield chunked(head) + b"1\r\nx\r\n0\r\nX-Trailer: "
    yield from repeat(b"y" * 4096, 16 * 1024 * 1024)


def long_chunk_extension(head):
    yield chunked(head) + b"1;"
    yield from repeat(b"y" * 4096, 16 * 1024 * 1024)


def announced_body(head):
    yield (head + f"Content-Length: {1 << 30}\r\n\r\n").encode()
    yield from repeat(b"x" * 65536, 16 * 1024 * 1024)


def unannounced_body(head):
    yield chunked(head)
    yield from chunks(16384, 16 * 1024 * 1024)


def large_chunks(head):
    yield chunked(head)
    yield from chunks(16384, MAX_BODY_BYTES - 65536)


def small_chunks(head):
    yield chunked(head)
    yield from chunks(16, MAX_BODY_BYTES - 65536)


def lengths(head):
    yield (head + f"Content-Length: {MAX_BODY_BYTES}\r\n\r\n").encode()
    yield from repeat(b"x" * 16384, MAX_BODY_BYTES - 65536)


def long_heads(head):
    yield head.encode()
    yield from repeat(b"X-Field: " + b"y" * 100 + b"\r\n", MAX_HEADER_BYTES - 1024)


def silent(_head):
    yield b""


# name: (what a connection sends, connections)
PLAYS = {
    "trailers": (trailers, 8),
    "long_trailer": (long_trailer, 8),
    "long_chunk_extension": (long_chunk_extension, 8),
    "announced_body": (announced_body, 16),
    "unannounced_body": (unannounced_body, 60),
    "large_chunks": (large_chunks, 100),
    "small_chunks": (small_chunks, 100),
    "lengths": (lengths, 100),
    "long_heads": (long_heads, 400),
    "silent": (silent, 400),
}


class Client:
    """One connection of the crowd, which sends as much as the node takes."""

    def __init__(self, address, parts):
        self.parts = parts
        self.rest = b""
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(address)

    def send(self):
        """Returns whether there is more to send."""
        try:
            if not self.rest:
                self.rest = next(self.parts, None)
            if self.rest is None:
                return False
            sent = self.socket.send(self.rest) if self.rest else 0
            self.rest = self.rest[sent:]
            return True
        except BlockingIOError:
            return True
        except OSError:
            return False  # refused or closed


def send_all(clients):
    selector = selectors.DefaultSelector()
    for client in clients:
        selector.register(client.socket, selectors.EVENT_WRITE, client)
    while selector.get_map():
        ready = selector.select(STALLED_S)
        if not ready:
            break
        for key, _ in ready:
            if not key.data.send():
                selector.unregister(key.fileobj)
    selector.close()


class NodeTarget:
    """One burdock-node before one replica."""

    head = NODE_HEAD

    def __init__(self, fleet):
        self.fleet = fleet
        self.store = Store()

    def start(self):
        binaries = self.fleet.binaries
        self.fleet.start("store", [os.path.join(binaries, "standin-store"), "--listen", STORE])
        while call(STORE, "GET", "/written")[0] != 200:
            time.sleep(0.02)
        route = {"name": "once", "host": HOST, "path_prefix": "/once/", "type": "non_idempotent", "service": "s"}
        limits = {"max_header_bytes": MAX_HEADER_BYTES, "max_body_bytes": MAX_BODY_BYTES}
        config = {
            "version": 1,
            "routes": [{**route, "timeout_ms": 60000, "latency_goal_ms": 500, "attempts": 1}],
            "services": [{"name": "s"}],
            "limits": {**limits, "header_timeout_ms": 60000, "idle_timeout_ms": 60000},
        }
        self.store.put("config", "main", config)
        address = f"{NETWORK}.2:{FIRST_REPLICA_PORT}"
        self.fleet.start("i-0", [os.path.join(binaries, "standin-replica"), "--listen", address, "--id", "i-0"])
        while call(address, "GET", "/arrivals")[0] != 200:
            time.sleep(0.02)
        entry = {"service": "s", "address": address, "zone": "z-1", "slots": 64, "state": "ready"}
        self.store.put("servers", "i-0", {**entry, "cold_left_ms": 0, "sequence": 1, "born": 1000})
        self.fleet.limits = {"memory_mb": MEMORY_MB, "max_fds": DESCRIPTORS, "cpu_quota": 0.25, "cpu_cores": 1}
        self.fleet.start_node("n-0")
        while self.ask()[0] != 200:
            time.sleep(0.05)
        self.address = (self.fleet.ip("n-0"), FRONT)
        self.pid = self.fleet.processes["n-0"].pid

    def exit_code(self):
        return self.fleet.processes["n-0"].poll()

    def ask(self):
        headers = {"Host": HOST, "Attempt-Id": "ordinary", "Deadline-Ms": "20000"}
        return call(f"{self.fleet.ip('n-0')}:{FRONT}", "POST", "/once/x", "x", headers, timeout=ANSWER_S)

class EntryTarget:
    """A burdock-entry that serves order-app."""

    head = ENTRY_HEAD

    def __init__(self, address, pid):
        ip, port = address.rsplit(":", 1)
        self.address = (ip, int(port))
        self.pid = int(pid)

    def exit_code(self):
        return None if os.path.exists(f"/proc/{self.pid}/fd/0") else "not known"

    def ask(self):
        ip, port = self.address
        return call(f"{ip}:{port}", "GET", "/order-app/stock", timeout=ANSWER_S)


class Play:
    def __init__(self, target):
        self.target = target
        self.broken = []

    def judge(self, condition, text):
        print(("holds   " if condition else "BROKEN  ") + text, flush=True)
        if not condition:
            self.broken.append(text)

    def run(self, name):
        sends, count = PLAYS[name]
        target = self.target
        clients = [Client(target.address, sends(target.head)) for _ in range(count * CROWD_FACTOR)]
        send_all(clients)
        await_rest(target.pid)
        status, _, body = target.ask() if target.exit_code() is None else (0, {}, "")
        self.judge(target.exit_code() is None, f"the process lives (exit code {target.exit_code()})")
        if target.exit_code() is None:
            peak = peak_memory_mb(target.pid)
            self.judge(peak <= MEMORY_MB, f"peak memory {peak:.0f} MB of {MEMORY_MB} MB")
            open_files = len(os.listdir(f"/proc/{target.pid}/fd"))
            self.judge(open_files <= DESCRIPTORS, f"{open_files} descriptors of {DESCRIPTORS}")
        self.judge(status == 200, f"an ordinary request is answered (status {status} {body[:80]!r})")
        for client in clients:
            client.socket.close()


def peak_memory_mb(pid):
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        for line in file:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
    return 0.0


def await_rest(pid):
    """Waits until the node has read what the crowd sent: its memory does not change any more."""
    peak, since = -1.0, time.monotonic()
    while time.monotonic() - since < REST_S and os.path.exists(f"/proc/{pid}/status"):
        if peak_memory_mb(pid) != peak:
            peak, since = peak_memory_mb(pid), time.monotonic()
        time.sleep(0.1)


def play_node(binaries, folder, name):
    fleet = Fleet(binaries, folder, 1)
    target = NodeTarget(fleet)
    play = Play(target)
    try:
        target.start()
        play.run(name)
    finally:
        fleet.stop_all()
    return play


def play_entry(address, pid, name):
    play = Play(EntryTarget(address, pid))
    play.run(name)
    return play


def main():
    play = {"node": play_node, "entry": play_entry}[sys.argv[1]](*sys.argv[2:5])
    return 1 if play.broken else 0


if __name__ == "__main__":
    sys.exit(main())
