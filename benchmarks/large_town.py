"""The town on sockets at its largest: some 2,000 endpoints, 300 messages a second, four senders.

    python -m benchmarks.large_town [--seconds 20] [--partners 780] [--per-s 300] [--senders 4]

Exits with 3 where the town itself was late, as the run then says nothing of the senders, and with 1 where a
promise was broken.
"""

from __future__ import annotations

import argparse
import resource
import sys
import tempfile
from pathlib import Path

from springspread.simulator.day import draw
from springspread.simulator.sockets import SocketSimulation


def main() -> None:
    """Play it once and tell what came of it."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--partners", type=int, default=780)
    parser.add_argument("--per-s", type=float, default=300.0)
    parser.add_argument("--senders", type=int, default=4)
    args = parser.parse_args()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(max(soft, 16_384), hard), hard))
    day = draw(
        1,
        senders=args.senders,
        partners=args.partners,
        per_s=args.per_s,
        length_ms=1000.0 * args.seconds,
        troubles=args.partners // 20,
        drains=args.partners // 20,
    )
    endpoints = sum(len(spec.names) + len(spec.later) for spec in day.partners)
    with tempfile.TemporaryDirectory(prefix="springspread-large-") as folder:
        town = SocketSimulation(day, Path(folder))
        try:
            live = town.play()
        finally:
            town.close()
    tally = live.checker.tally
    print(f"{endpoints} endpoints, {tally.messages} messages in {args.seconds:g} s, {tally.calls} calls")
    print(f"service {tally.service:.4f}, refused {tally.refused}, failed {tally.failed}")
    print(f"the town was late by {live.late_ms[0]:.1f} ms (99 %), {live.late_ms[1]:.1f} ms at most")
    for fault in live.checker.faults[:5]:
        print(f"BROKEN {fault.rule} at {fault.at:.0f} ms, {fault.sender}: {fault.text}")
    print(f"{len(live.checker.faults)} broken promises")
    sys.exit(1 if live.checker.faults else 0 if live.valid else 3)


if __name__ == "__main__":
    main()
