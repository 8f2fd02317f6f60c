"""How long the sender takes to start and what it holds then, against another checkout, in turn.

    python -m benchmarks.startup --old CHECKOUT [--repeats 10]
"""

from __future__ import annotations

import argparse
import statistics
import tempfile
import time
from pathlib import Path

from benchmarks.crowd import status
from tests.peer import Peer, Program


def start(tree: Path) -> tuple[float, float]:
    """Milliseconds from the start of the process to its ready line, and resident MB then."""
    peer = Peer()
    with tempfile.TemporaryDirectory() as folder:
        begun = time.perf_counter()
        program = Program(Path(folder), peer, tree=tree)
        took = 1000.0 * (time.perf_counter() - begun)
        resident = status(program.process.pid)[-1]
        program.process.kill()
        program.process.wait()
        peer.close()
    return took, resident


def main() -> None:
    """Measure both in turn and tell the ratio."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--old", type=Path, required=True)
    parser.add_argument("--repeats", type=int, default=10)
    args = parser.parse_args()
    pairs = [(start(args.old), start(Path.cwd())) for _ in range(args.repeats)]
    for n, (name, unit) in enumerate((("start", "ms"), ("memory", "MB"))):
        old, new = ([pair[side][n] for pair in pairs] for side in (0, 1))
        ratios = [b / a for a, b in zip(old, new, strict=True)]
        print(
            f"{name}: old {statistics.median(old):.1f} {unit}, new {statistics.median(new):.1f} {unit},"
            f" ratio {statistics.median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f})"
        )


if __name__ == "__main__":
    main()
