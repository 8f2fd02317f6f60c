"""The simulator on sockets at its largest: about 2,000 endpoints, 300 messages per second, four senders.

    python -m benchmarks.large_town [--seconds 20] [--partners 780] [--per-s 300] [--senders 4]

Exits with 1 if a guarantee was violated, and with 3 if the simulator itself was late, which makes the run
invalid.
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
    """Run the day once and print its results."""
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
            outcome = town.play()
        finally:
            town.close()
    tally = outcome.checker.tally
    print(f"{endpoints} endpoints, {tally.messages} messages in {args.seconds:g} s, {tally.calls} calls")
    print(f"service {tally.service:.4f}, refused {tally.refused}, failed {tally.failed}")
    print(f"the town was late by {outcome.late_ms[0]:.1f} ms (99 %), {outcome.late_ms[1]:.1f} ms at most")
    for fault in outcome.checker.faults[:5]:
        print(f"BROKEN {fault.rule} at {fault.at:.0f} ms, {fault.sender}: {fault.text}")
    print(f"{len(outcome.checker.faults)} broken promises")
    sys.exit(1 if outcome.checker.faults else 0 if outcome.valid else 3)


if __name__ == "__main__":
    main()
