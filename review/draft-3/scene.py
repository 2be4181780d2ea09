"""Clients leave many chunked bodies open; the platform ends processes that exceed their machine's memory."""
import os
import resource
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from bed import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 260       # of a machine, as in the site file; the platform ends a process beyond it
DESCRIPTORS = 4100    # of a process
CROWD = 2000          # connections that are open at once at a node
HEAD_BYTES = 16000    # max_header_bytes is 16,384
BODY_BYTES = 2000     # sent of each body, in chunks of 16 bytes; its end never comes
RESTART_S = 1.0
ENDS = 3              # by the rule, on two machines
PLAY_S = 70.0


def crowd(ip, port):
    """Opens the connections, sends, and stays until its process is ended."""
    fields = "".join("a%d:b\r\n" % each for each in range((HEAD_BYTES - 300) // 8))
    head = ("POST /orders/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: crowd\r\nDeadline-Ms: 4000\r\n%s"
            "Transfer-Encoding: chunked\r\n\r\n" % (HOST, fields))
    chunk = b"10\r\n" + b"x" * 16 + b"\r\n"
    data = head.encode() + chunk * (BODY_BYTES // 16)
    rest = {}
    for _ in range(CROWD):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex((ip, port))
        rest[sock] = data
    kept = list(rest)
    while True:
        for sock in list(rest):
            try:
                rest[sock] = rest[sock][sock.send(rest[sock][:65536]):]
                if not rest[sock]:
                    del rest[sock]
            except BlockingIOError:
                pass
            except OSError:
                del rest[sock]
        time.sleep(0.02 if kept else 1)


class Platform:
    """Ends a process whose resident memory exceeds the machine's, and starts it again."""

    def __init__(self, bed):
        self.bed, self.ends, self.peak = bed, dict.fromkeys(bed.names, 0), dict.fromkeys(bed.names, 0.0)
        self.threads = [threading.Thread(target=self.watch, args=(name,), daemon=True) for name in bed.names]
        for thread in self.threads:
            thread.start()

    def resident_mb(self, name):
        with open("/proc/%d/statm" % self.bed.processes[name].pid) as file:
            return int(file.read().split()[1]) * resource.getpagesize() / 1048576

    def watch(self, name):
        while not self.bed.is_over:
            time.sleep(0.02)
            process = self.bed.processes[name]
            if process.poll() is None:
                resident = self.resident_mb(name)
                self.peak[name] = max(self.peak[name], resident)
                if resident <= MEMORY_MB:
                    continue
                process.kill()
            process.wait()
            self.ends[name] += 1
            self.bed.note(name, "ended: %.0f MB of" % self.peak[name], MEMORY_MB, "MB; end", self.ends[name])
            time.sleep(RESTART_S)
            if not self.bed.is_over:
                self.bed.start_node(name)


def clients(bed, name, platform):
    """The crowd at one node, again whenever the node is back."""
    while not bed.is_over and platform.ends[name] < ENDS:
        try:
            bed.wait_ready([name], 10)
        except CannotRun:
            continue
        time.sleep(1.0)
        ends = platform.ends[name]
        process = subprocess.Popen([sys.executable, os.path.abspath(__file__), "crowd", *map(str, bed.front(name))])
        bed.note(CROWD, "connections open at", name)
        end = time.monotonic() + 12
        while time.monotonic() < end and not bed.is_over and platform.ends[name] == ends:
            time.sleep(0.05)
        process.kill()
        process.wait()


def callers(bed, outcomes):
    count = 0
    while not bed.is_over:
        count += 1
        name = random.choice(bed.names)
        status, _, _ = call(*bed.front(name), "POST", "/orders/y",
                            [("Attempt-Id", "o-%d" % count), ("Deadline-Ms", "4000")], b"x", 5)
        outcomes[status] = outcomes.get(status, 0) + 1
        time.sleep(0.1)


def play(bed):
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < DESCRIPTORS:
        raise CannotRun("too few descriptors")
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))
    bed.is_over = False
    bed.limits["memory_mb"] = MEMORY_MB
    replicas = [Replica(bed, "i-%d" % each, "order-app") for each in range(3)]
    bed.store.put("config", "main", config(1, [route("orders", "order-app")], [{"name": "order-app"}]))
    for replica in replicas:
        replica.register()
    for name in bed.names:
        bed.start_node(name)
    bed.wait_ready()
    platform = Platform(bed)
    outcomes = {}
    threading.Thread(target=callers, args=(bed, outcomes), daemon=True).start()
    time.sleep(2.0)
    crowds = []
    if TROUBLE:
        crowds = [threading.Thread(target=clients, args=(bed, name, platform)) for name in bed.names]
    for thread in crowds:
        thread.start()
    end = time.monotonic() + (PLAY_S if TROUBLE else 20.0)
    while time.monotonic() < end and min(platform.ends.values()) < ENDS:
        time.sleep(0.1)
    bed.is_over = True
    for thread in crowds + platform.threads:
        thread.join()
    bed.note("ends by memory", platform.ends, "peaks in MB", {key: round(value) for key, value in platform.peak.items()})
    bed.note("ordinary callers' answers by status", outcomes)
    return 1 if min(platform.ends.values()) >= ENDS else 0


def main():
    if sys.argv[1:2] == ["crowd"]:
        crowd(sys.argv[2], int(sys.argv[3]))
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
