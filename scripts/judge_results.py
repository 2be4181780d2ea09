"""Compares a CTest JUnit report with KNOWN-RED.txt.

Usage: judge_results.py REPORT KNOWN_RED
Exit code 0 when exactly the listed tests fail, 1 otherwise.
"""
import sys
import xml.etree.ElementTree


def read_report(path):
    """Returns the names of the tests that passed and of those that did not."""
    passed, failed = set(), set()
    for case in xml.etree.ElementTree.parse(path).getroot().iter("testcase"):
        target = passed if case.get("status") == "run" else failed
        target.add(case.get("name"))
    return passed, failed


def read_known_red(path):
    """Returns the line of each listed test by its name."""
    entries = {}
    with open(path, encoding="utf-8") as lines:
        for line in lines:
            line = line.strip()
            if line and not line.startswith("#"):
                entries[line.split("|")[0].strip()] = line
    return entries


def main():
    passed, failed = read_report(sys.argv[1])
    known_red = read_known_red(sys.argv[2])
    problems = [f"failed: {name}" for name in sorted(failed - known_red.keys())]
    problems += [f"listed in KNOWN-RED.txt but passed: {name}"
                 for name in sorted(known_red.keys() & passed)]
    problems += [f"listed in KNOWN-RED.txt but did not run: {name}"
                 for name in sorted(known_red.keys() - passed - failed)]
    if not passed:
        problems.append("no test passed")
    for name in sorted(known_red.keys() & failed):
        print(f"known red: {known_red[name]}")
    for problem in problems:
        print(problem)
    print(f"{len(passed)} passed, {len(failed)} failed")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
