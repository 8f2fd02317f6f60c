"""Time to read the journal and restore pending messages at start, and memory use, by journal size.

    python -m benchmarks.recovery_size [--owed 100 1000 10000 100000 1000000] [--repeats 3] [--csv FILE]

Each start is a separate process. *Read*: the files; *taken up*: all messages are passed to the decision
module, which makes its first calls. Bodies have 40 bytes; one message in ten has an unreported outcome.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from benchmarks.tables import append_row, print_row
from springspread.core.journal import Journal
from springspread.core.journal_records import PendingMessage

DISK_BYTES = 1 << 40


def fill(folder: Path, count: int) -> int:
    """Write a journal of pending messages; returns its bytes."""
    journal, deadline_ms = Journal(folder, DISK_BYTES), 1000.0 * (time.time() + 86_400.0)
    for number in range(1, count + 1):
        journal.record_taken(PendingMessage(number, f"id-{number}", "notice", 7, deadline_ms, b"x" * 40))
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

class Stub:
    def __getattr__(self, name):
        return lambda *args: None

before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
raw = json.loads(Path(sys.argv[1]).read_text())
configuration = config.read(raw, {})
log, _ = make_log("n0", 10)
start = time.perf_counter()
journal = Journal(configuration.state, 1 << 40)
read = time.perf_counter()
sender = Sender(configuration, journal, Clearance(journal, 500.0), log)
sender.attach(Stub(), Stub(), Stub())
line = Member("s-1", "127.0.0.1", 1, 7, 0, 0, EndpointState.READY, 1.0, 0.0)
sender.restore(ListUpdate(Scope.WHOLE, 1, (line,)))
done = time.perf_counter()
peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
print(json.dumps([read - start, done - read, (peak - before) / 1024.0]))
"""


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--owed", type=int, nargs="+", default=[100, 1000, 10_000, 100_000, 1_000_000])
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--csv", type=Path)
    args = parser.parse_args()
    from springspread.faults.external_services import ExternalServices

    partner = ExternalServices()
    for count in args.owed:
        with tempfile.TemporaryDirectory(prefix="springspread-recovery-") as folder:
            state = Path(folder) / "state"
            state.mkdir()
            size = fill(state, count)
            file = Path(folder) / "config.json"
            raw = partner.configuration() | {"name": "n0", "listen": "127.0.0.1:0", "state": str(state)}
            raw["settings"]["limits"]["mostHeld"] = count  # the decision module returns messages above this
            file.write_text(json.dumps(raw))
            for _ in range(args.repeats):
                command = [sys.executable, "-c", START, str(file)]
                done = subprocess.run(command, capture_output=True, text=True, check=True)
                read, taken_up, memory = json.loads(done.stdout.splitlines()[-1])
                row = {"owed": count, "journal_mb": round(size / 1e6, 2), "read_ms": round(1000 * read, 1)}
                row |= {"taken_up_ms": round(1000 * taken_up, 1), "memory_mb": round(memory, 1)}
                print_row(row)
                append_row(args.csv, row)
    partner.close()


if __name__ == "__main__":
    main()
