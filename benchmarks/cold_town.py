"""Load on the simulator's cold endpoints as they return, relative to the load that they can take.

    python -m benchmarks.cold_town [--senders 3 20 30 200] [--returns 50] [--csv FILE]

Simulates days with partner outages in virtual time until there are enough returns at each fleet size. The
result is the peak number of calls to a cold endpoint in ``fall_ms``, divided by N + 2 sqrt(N) + 2, where N is
the number that it can take: ``aware`` for windows in which two thirds of the calls came from senders that saw
a call fail there, ``all`` for any window.
"""

from __future__ import annotations

import argparse
import tempfile
from concurrent.futures import ProcessPoolExecutor
from math import sqrt
from pathlib import Path

from benchmarks.tables import print_peaks, write_table
from springspread.simulator.day import Change, draw
from springspread.simulator.partner import Answer
from springspread.simulator.virtual import VirtualSimulation


class ObservedTown(VirtualSimulation):
    """A simulation that records the peak load of each return."""

    returns: dict[tuple[str, float], list[float]]  # by endpoint and time: calls, aware, all

    def _change(self, change: Change) -> None:
        super()._change(change)
        endpoint = self.partners[self._group[change.endpoint]].endpoints[change.endpoint]
        if endpoint.back_at == self.clock.now():
            self.returns[change.endpoint, endpoint.back_at] = [0.0, 0.0, 0.0]

    def arrive(self, name: str, messages: int, sender: str) -> Answer:
        """Record the load of the window that ends with this call."""
        endpoint = self.partners[self._group[name]].endpoints[name]
        answer = super().arrive(name, messages, sender)
        now, profile = self.clock.now(), endpoint.profile
        found = self.returns.get((name, endpoint.back_at))
        if found is not None and now - endpoint.back_at < profile.warm_ms:
            n = profile.fall_multiple * endpoint.warmth(now) * endpoint.capacity * profile.fall_ms / 1000.0
            ratio = len(endpoint.cold_callers) / (n + 2.0 * sqrt(n) + 2.0)
            aware_calls = sum(
                sender_name in self.checker._failure_witnesses[name] for sender_name in endpoint.cold_callers
            )
            aware = ratio if 3 * aware_calls >= 2 * len(endpoint.cold_callers) else 0.0
            found[:] = found[0] + 1.0, max(found[1], aware), max(found[2], ratio)
        return answer


def simulate(senders: int, seed: int) -> list[dict[str, object]]:
    """Simulate a day and return its recorded returns."""
    day = draw(
        seed,
        senders=senders,
        partners=6,
        per_s=80.0,
        length_ms=40_000.0,
        troubles=5,
        trouble="refusing",
        tight=True,
    )
    with tempfile.TemporaryDirectory(prefix="springspread-cold-") as folder:
        town = ObservedTown(day, Path(folder))
        town.returns = {}
        town.play()
    return [
        {
            "senders": senders,
            "seed": seed,
            "endpoint": name,
            "returned_ms": round(at),
            "calls": round(calls),
            "aware": round(aware, 3),
            "all": round(peak, 3),
        }
        for (name, at), (calls, aware, peak) in sorted(town.returns.items())
        if calls
    ]


def main() -> None:
    """Simulate days until there are enough returns, and print the peaks of each fleet size."""
    parser = argparse.ArgumentParser(description="Load on the simulator's cold endpoints.")
    parser.add_argument("--senders", type=int, nargs="+", default=[3, 20, 30, 200])
    parser.add_argument("--returns", type=int, default=50)
    parser.add_argument("--csv", type=Path)
    args = parser.parse_args()
    rows: list[dict[str, object]] = []
    with ProcessPoolExecutor() as pool:
        for size in args.senders:
            found: list[dict[str, object]] = []
            seed = 0
            while len(found) < args.returns and seed < 200:
                for day in pool.map(simulate, [size] * 8, range(seed, seed + 8)):
                    found += day
                seed += 8
            rows += found
            print_peaks(size, found)
    write_table(args.csv, rows)


if __name__ == "__main__":
    main()
