"""How long a start takes to read its journal and take up what is owed, and what it holds then, by size.

    python -m benchmarks.recovery_size [--owed 100 1000 10000 100000 1000000] [--repeats 3] [--csv FILE]

Each start is a process of its own. *Read*: the files; *taken up*: all is handed to the decision module, which
makes its first calls. Bodies have 40 bytes; one message in ten has an end that was decided and not told.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from benchmarks.tables import add, tell
from springspread.core.journal import Journal, PendingMessage

DISK = 1 << 40


def fill(folder: Path, count: int) -> int:
    """A journal that owes so many; its bytes."""
    journal, until = Journal(folder, DISK), 1000.0 * (time.time() + 86_400.0)
    for number in range(1, count + 1):
        journal.record_taken(PendingMessage(number, f"id-{number}", "notice", 7, until, b"x" * 40))
        if number % 10 == 0:
            journal.record_ending(number, True, 0.0)
    journal.close()
    return sum(path.stat().st_size for path in folder.iterdir())


START = """
import json, resource, sys, time
from pathlib import Path
from springspread import config
from springspread.core.clearance import Clearance
from springspread.core.journal import Journal
from springspread.core.loop import Sender
from springspread.core.types import ListUpdate, EndpointState, Member, Scope
from springspread.logs import make_log

class Nothing:
    def __getattr__(self, name):
        return lambda *told: None

before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
raw = json.loads(Path(sys.argv[1]).read_text())
told = config.read(raw, {})
log, _ = make_log("n0", 10)
start = time.perf_counter()
journal = Journal(told.state, 1 << 40)
read = time.perf_counter()
sender = Sender(told, journal, Clearance(journal, 500.0), log)
sender.attach(Nothing(), Nothing(), Nothing())
line = Member("s-1", "127.0.0.1", 1, 7, 0, 0, EndpointState.READY, 1.0, 0.0)
sender.restore(ListUpdate(Scope.WHOLE, 1, (line,)))
done = time.perf_counter()
most = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
print(json.dumps([read - start, done - read, (most - before) / 1024.0]))
"""


def main() -> None:
    """Play and tell."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--owed", type=int, nargs="+", default=[100, 1000, 10_000, 100_000, 1_000_000])
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--csv", type=Path)
    args = parser.parse_args()
    from springspread.faults.external_services import ExternalServices

    outside = ExternalServices()
    for count in args.owed:
        with tempfile.TemporaryDirectory(prefix="springspread-recovery-") as place:
            state = Path(place) / "state"
            state.mkdir()
            size = fill(state, count)
            file = Path(place) / "config.json"
            raw = outside.configuration() | {"name": "n0", "listen": "127.0.0.1:0", "state": str(state)}
            raw["settings"]["limits"]["mostHeld"] = count  # with less the module hands the rest back
            file.write_text(json.dumps(raw))
            for _ in range(args.repeats):
                line = [sys.executable, "-c", START, str(file)]
                done = subprocess.run(line, capture_output=True, text=True, check=True)
                read, taken_up, memory = json.loads(done.stdout.splitlines()[-1])
                row = {"owed": count, "journal_mb": round(size / 1e6, 2), "read_ms": round(1000 * read, 1)}
                row |= {"taken_up_ms": round(1000 * taken_up, 1), "memory_mb": round(memory, 1)}
                tell(row)
                add(args.csv, row)
    outside.close()


if __name__ == "__main__":
    main()
