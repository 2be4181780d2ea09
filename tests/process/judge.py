"""Holds a traffic report against what the stand-ins counted. Exits 1 when a promise was broken.

Usage: judge.py [--nothing-lost] REPORT RUNS ATTEMPTS ENGINE_STATE...
With --nothing-lost every call must have been served: for planned stops and changes.
REPORT is traffic.py's output, RUNS the plain service's own count of runs by key, ATTEMPTS its list of
the attempts that ran, ENGINE_STATE an engine's report.
"""
import collections
import json
import sys


def load(path):
    with open(path, encoding="utf-8") as file:
        return json.load(file)


def judge_orders(orders, runs, ran):
    problems = [f"order {key} ran {count} times" for key, count in runs.items() if count > 1]
    for key, outcomes in orders.items():
        if "crossed" in outcomes:
            problems.append(f"order {key} got the answer of another order")
        if "answered" in outcomes and runs.get(key, 0) == 0:
            problems.append(f"order {key} was answered but did not run")
        for number, outcome in enumerate(outcomes):
            if outcome in ("not-run", "unreachable") and f"{key}/{number}" in ran:
                problems.append(f"attempt {key}/{number} ran although its caller was told {outcome}")
    return problems


def judge_nothing_lost(report):
    problems = [f"a stream through {stream['node']} was {stream['outcome']}"
                for stream in report["streams"] if stream["outcome"] != "whole"]
    problems += [f"order {key}: {outcomes}" for key, outcomes in report["orders"].items()
                 if outcomes != ["answered"]]
    problems += [f"lookups {outcome}: {count}" for outcome, count in report["lookups"].items()
                 if outcome != "ok" and count > 0]
    return problems


def main():
    nothing_lost = sys.argv[1] == "--nothing-lost"
    if nothing_lost:
        del sys.argv[1]
    report, runs, ran = load(sys.argv[1]), load(sys.argv[2]), set(load(sys.argv[3]))
    problems = judge_orders(report["orders"], runs, ran)
    outcomes = collections.Counter(stream["outcome"] for stream in report["streams"])
    if outcomes["wrong"]:
        problems.append(f"{outcomes['wrong']} streams passed off a part, or another answer, as whole")
    for path in sys.argv[4:]:
        state = load(path)
        if state["ever_overcommitted"]:
            problems.append(f"{state['name']} had its memory overcommitted")
    final = collections.Counter(attempts[-1] if attempts else "none"
                                for attempts in report["orders"].values())
    attempts = sum(len(each) for each in report["orders"].values())
    print(f"orders: {len(report['orders'])} keys, {attempts} attempts, last answers {dict(final)}")
    print(f"runs: {len(runs)} keys, most runs of one key {max(runs.values(), default=0)}")
    print(f"streams: {dict(outcomes)}")
    print(f"lookups: {report['lookups']}")
    if nothing_lost:
        problems += judge_nothing_lost(report)
    if final["answered"] == 0 or outcomes["whole"] == 0:
        problems.append("nothing was served: the run shows nothing")
    for problem in problems:
        print(f"broken: {problem}")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
