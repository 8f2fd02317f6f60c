"""Start time, memory after start and CPU time per message of the sender, compared with another checkout.

python -m benchmarks.startup --old CHECKOUT [--repeats 10] [--messages 600]
"""

from __future__ import annotations

import argparse
import os
import statistics
import tempfile
import time
from pathlib import Path

from benchmarks.crowd import process_stats
from tests.peer import Peer, Program, until


def cpu_ms(pid: int) -> float:
    """Return the CPU time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return 1000.0 * (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure(tree: Path, messages: int) -> tuple[float, float, float]:
    """Return the milliseconds from process start to the ready line, the resident MB then, and the CPU
    milliseconds per message.
    """
    peer = Peer()
    with tempfile.TemporaryDirectory() as folder:
        start = time.perf_counter()
        program = Program(Path(folder), peer, tree=tree)
        took = 1000.0 * (time.perf_counter() - start)
        resident = process_stats(program.process.pid)[-1]
        before = cpu_ms(program.process.pid)
        for n in range(messages):
            program.hand_in(f"m{n}")
        until(lambda: len(set(peer.ids())) == messages, "all are delivered")
        cpu_per_message = (cpu_ms(program.process.pid) - before) / messages
        program.process.kill()
        program.process.wait()
        peer.close()
    return took, resident, cpu_per_message


def main() -> None:
    """Measure both checkouts alternately and print the ratios."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--old", type=Path, required=True)
    parser.add_argument("--repeats", type=int, default=10)
    parser.add_argument("--messages", type=int, default=600)
    args = parser.parse_args()
    trees = (args.old, Path.cwd())
    pairs = [tuple(measure(tree, args.messages) for tree in trees) for _ in range(args.repeats)]
    for n, (name, unit) in enumerate((("start", "ms"), ("memory", "MB"), ("a message", "ms of processor"))):
        old, new = ([pair[side][n] for pair in pairs] for side in (0, 1))
        ratios = [b / a for a, b in zip(old, new, strict=True)]
        print(
            f"{name}: old {statistics.median(old):.2f} {unit}, new {statistics.median(new):.2f} {unit},"
            f" ratio {statistics.median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f})"
        )


if __name__ == "__main__":
    main()
