"""How long the sender takes to start, what it holds then, and its processor time for a message, against
another checkout, in turn.

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


def processor_ms(pid: int) -> float:
    """The processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return 1000.0 * (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def start(tree: Path, messages: int) -> tuple[float, float, float]:
    """Milliseconds from the start of the process to its ready line, resident MB then, and the processor
    milliseconds for each of so many messages.
    """
    peer = Peer()
    with tempfile.TemporaryDirectory() as folder:
        begun = time.perf_counter()
        program = Program(Path(folder), peer, tree=tree)
        took = 1000.0 * (time.perf_counter() - begun)
        resident = process_stats(program.process.pid)[-1]
        before = processor_ms(program.process.pid)
        for n in range(messages):
            program.hand_in(f"m{n}")
        until(lambda: len(set(peer.ids())) == messages, "all are delivered")
        each = (processor_ms(program.process.pid) - before) / messages
        program.process.kill()
        program.process.wait()
        peer.close()
    return took, resident, each


def main() -> None:
    """Measure both in turn and tell the ratio."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--old", type=Path, required=True)
    parser.add_argument("--repeats", type=int, default=10)
    parser.add_argument("--messages", type=int, default=600)
    args = parser.parse_args()
    trees = (args.old, Path.cwd())
    pairs = [tuple(start(tree, args.messages) for tree in trees) for _ in range(args.repeats)]
    for n, (name, unit) in enumerate((("start", "ms"), ("memory", "MB"), ("a message", "ms of processor"))):
        old, new = ([pair[side][n] for pair in pairs] for side in (0, 1))
        ratios = [b / a for a, b in zip(old, new, strict=True)]
        print(
            f"{name}: old {statistics.median(old):.2f} {unit}, new {statistics.median(new):.2f} {unit},"
            f" ratio {statistics.median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f})"
        )


if __name__ == "__main__":
    main()
