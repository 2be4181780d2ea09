"""Sends orders, lookups and streams through the entry nodes while a script brings faults about.

Usage: traffic.py SECONDS random|ask NODE_ADDRESS... ; prints a JSON report on standard output.

With "random" each call goes to any node. With "ask" each worker asks which address to use and keeps
the answer until it expires, as callers do.

Each order has a key of its own and is sent again, through any node, until it has a final answer or
its tries are used up. Every answer to every attempt is kept, so that the judge can hold the plain
service's own count of runs against them.
"""
import http.client
import json
import random
import sys
import threading
import time

ORDER_TRIES = 25
CALL_TIMEOUT_S = 12
STREAM_TOKENS = 40
SEED = 20261203
NOT_RUN_CODES = {301, 302, 303, 305}


def call(address, method, path, body=None, headers=None):
    """Returns (status, body); raises OSError or HTTPException when no whole answer came."""
    connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


def error_code(body):
    try:
        return json.loads(body)["error"]["code"]
    except (ValueError, KeyError, TypeError):
        return 0


class Addresses:
    """Gives one worker the address for its next call."""

    def __init__(self, nodes, ask, seed):
        self.nodes = nodes
        self.ask = ask
        self.chooser = random.Random(seed)
        self.answer = []
        self.expires = 0.0

    def next(self):
        if not self.ask:
            return self.chooser.choice(self.nodes)
        if time.time() >= self.expires:
            self.renew()
        return self.answer[0] if self.answer else self.chooser.choice(self.nodes)

    def renew(self):
        for node in self.chooser.sample(self.nodes, len(self.nodes)):
            try:
                asked = time.time()
                status, body = call(node, "GET",
                                    "/burdock/v1/addresses?service=model-pool&model=promo-writer")
                if status == 200:
                    answer = json.loads(body)
                    self.answer = answer["addresses"]
                    self.expires = asked + answer["expires_in_ms"] / 1000
                    return
            except (OSError, http.client.HTTPException):
                continue


class Traffic:
    def __init__(self, nodes, ask, end):
        self.nodes = nodes
        self.ask = ask
        self.end = end
        self.lock = threading.Lock()
        self.orders = {}     # key -> list of attempt outcomes
        self.streams = []    # {"node", "outcome", "began", "ended"}
        self.lookups = {"ok": 0, "refused": 0, "failed": 0}

    def attempt_order(self, address, key, attempt):
        headers = {"Idempotency-Key": key, "X-Attempt": attempt,
                   "Content-Type": "application/json"}
        try:
            status, body = call(address, "POST", "/order-app/orders", json.dumps({"key": key}),
                                headers)
        except ConnectionRefusedError:
            return "unreachable"
        except (OSError, http.client.HTTPException):
            return "no-answer"
        if status == 200:
            own = json.loads(body)["order"] == key
            return "answered" if own else "crossed"
        code = error_code(body)
        if code in NOT_RUN_CODES:
            return "not-run"
        return {306: "in-progress", 402: "outcome-unknown"}.get(code, f"error-{code}")

    def run_order(self, key, addresses):
        outcomes = []
        with self.lock:
            self.orders[key] = outcomes
        for number in range(ORDER_TRIES):
            attempt = f"{key}/{number}"
            outcome = self.attempt_order(addresses.next(), key, attempt)
            outcomes.append(outcome)
            if outcome in ("answered", "outcome-unknown", "crossed"):
                return
            time.sleep(0.4)

    def order_worker(self, number):
        addresses = Addresses(self.nodes, self.ask, SEED + number)
        count = 0
        while time.time() < self.end:
            count += 1
            self.run_order(f"order-{number}-{count}", addresses)
            time.sleep(0.05)

    def run_stream(self, address):
        body = json.dumps({"model": "promo-writer", "stream": True, "max_tokens": STREAM_TOKENS,
                           "messages": [{"role": "user", "content": "a promotion " * 20}]})
        began = time.time()
        try:
            status, answer = call(address, "POST", "/model-pool/v1/chat/completions", body)
        except ConnectionRefusedError:
            return began, "unreachable"
        except http.client.IncompleteRead as cut:
            return began, "truncated" if b"event: error" in cut.partial else "cut"
        except (OSError, http.client.HTTPException):
            return began, "cut"
        if status != 200:
            return began, f"refused-{error_code(answer)}"
        text = answer.decode()
        events = [line for line in text.splitlines() if line.startswith("data: {")]
        indexes = [json.loads(line[6:]).get("index") for line in events]
        whole = indexes == list(range(STREAM_TOKENS)) and text.rstrip().endswith("data: [DONE]")
        return began, "whole" if whole else "wrong"

    def stream_worker(self, number):
        addresses = Addresses(self.nodes, self.ask, SEED + 100 + number)
        while time.time() < self.end:
            address = addresses.next()
            began, outcome = self.run_stream(address)
            with self.lock:
                self.streams.append({"node": address, "outcome": outcome, "began": began,
                                     "ended": time.time()})
            time.sleep(0.05)

    def lookup_worker(self, number):
        addresses = Addresses(self.nodes, self.ask, SEED + 200 + number)
        while time.time() < self.end:
            try:
                status, _ = call(addresses.next(), "GET", "/order-app/stock/milk")
                outcome = "ok" if status == 200 else "refused"
            except (OSError, http.client.HTTPException):
                outcome = "failed"
            with self.lock:
                self.lookups[outcome] += 1
            time.sleep(0.05)


def main():
    traffic = Traffic(sys.argv[3:], sys.argv[2] == "ask", time.time() + float(sys.argv[1]))
    workers = [threading.Thread(target=traffic.order_worker, args=(n,)) for n in range(6)]
    workers += [threading.Thread(target=traffic.stream_worker, args=(n,)) for n in range(6)]
    workers += [threading.Thread(target=traffic.lookup_worker, args=(n,)) for n in range(2)]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    json.dump({"orders": traffic.orders, "streams": traffic.streams, "lookups": traffic.lookups},
              sys.stdout)


if __name__ == "__main__":
    main()
