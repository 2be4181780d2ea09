"""Lints one source file, unless the same text has passed before.

Usage: lint_file.py BUILD-FOLDER FILE

The key is the preprocessed text of the file with the comments of its own (they may hold suppressions),
the linter's version and its configuration. Only passes are kept.
"""
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys


def compile_command(folder, file):
    entries = json.loads((pathlib.Path(folder) / "compile_commands.json").read_text())
    path = os.path.abspath(file)
    for entry in entries:
        if os.path.abspath(os.path.join(entry["directory"], entry["file"])) == path:
            return entry
    return None


def preprocessed(entry):
    words = shlex.split(entry["command"])
    if os.path.basename(words[0]) == "ccache":
        words = words[1:]
    # Neither an object file nor its dependencies; comments stay, line markers go.
    kept = []
    skip = False
    for word in words:
        if skip:
            skip = False
        elif word in ("-o", "-MT", "-MF"):
            skip = True
        elif word not in ("-c", "-MD"):
            kept.append(word)
    run = subprocess.run(kept + ["-E", "-P", "-C"], cwd=entry["directory"], capture_output=True)
    # Assertions name their file: the same in every clone.
    return run.stdout.replace(os.getcwd().encode(), b".") if run.returncode == 0 else None


def cache_file(folder, file):
    entry = compile_command(folder, file)
    text = preprocessed(entry) if entry else None
    if text is None:
        return None
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True).stdout
    digest = hashlib.sha256()
    for part in (file.encode(), text, version, pathlib.Path(".clang-tidy").read_bytes(),
                 pathlib.Path(__file__).read_bytes()):
        digest.update(hashlib.sha256(part).digest())
    home = os.environ.get("BURDOCK_LINT_CACHE",
                          os.path.join(os.path.expanduser("~"), ".cache", "burdock-lint"))
    return pathlib.Path(home) / digest.hexdigest()


def main():
    folder, file = sys.argv[1:]
    passed = cache_file(folder, file)
    if passed and passed.exists():
        return 0
    # Clang 14 has coroutines but does not say so in the macro that the library looks for.
    run = subprocess.run(["clang-tidy", "-p", folder, "--quiet",
                          "--extra-arg=-D__cpp_impl_coroutine=201902L",
                          "--extra-arg=-Wno-unknown-warning-option", file],
                         stderr=subprocess.DEVNULL)
    if run.returncode == 0 and passed:
        passed.parent.mkdir(parents=True, exist_ok=True)
        passed.touch()
    return run.returncode


if __name__ == "__main__":
    sys.exit(main())
