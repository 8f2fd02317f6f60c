"""The town's cold endpoints as they return: what all senders together send each, against what it may be sent.

    python -m benchmarks.cold_town [--senders 3 20 30 200] [--returns 50] [--csv FILE]

Days of the town in virtual time with partners that are away for a while, until there were so many returns
at each size of the fleet. Counted is the fullest span of ``fall_ms`` of each cold endpoint over N + 2 x
root of N + 2, N being what it can take by then: ``aware`` where two thirds of it came from senders that had
seen a call fail there, ``all`` for any.
"""

from __future__ import annotations

import argparse
import tempfile
from concurrent.futures import ProcessPoolExecutor
from math import sqrt
from pathlib import Path

from benchmarks.tables import tell_fullest, write_table
from springspread.simulator.day import Change, draw
from springspread.simulator.partner import Answer
from springspread.simulator.virtual import VirtualSimulation


class Watched(VirtualSimulation):
    """The town, with each return's fullest spans taken down."""

    returns: dict[tuple[str, float], list[float]]  # by endpoint and moment: calls, aware, all

    def _change(self, change: Change) -> None:
        super()._change(change)
        endpoint = self.partners[self._group[change.endpoint]].endpoints[change.endpoint]
        if endpoint.back_at == self.clock.now():
            self.returns[change.endpoint, endpoint.back_at] = [0.0, 0.0, 0.0]

    def arrive(self, name: str, messages: int, sender: str) -> Answer:
        """Take down the span that ends with this call."""
        endpoint = self.partners[self._group[name]].endpoints[name]
        answer = super().arrive(name, messages, sender)
        now, profile = self.clock.now(), endpoint.profile
        found = self.returns.get((name, endpoint.back_at))
        if found is not None and now - endpoint.back_at < profile.warm_ms:
            n = profile.fall_multiple * endpoint.warmth(now) * endpoint.capacity * profile.fall_ms / 1000.0
            part = len(endpoint.cold_callers) / (n + 2.0 * sqrt(n) + 2.0)
            knew = sum(who in self.checker._failure_witnesses[name] for who in endpoint.cold_callers)
            aware = part if 3 * knew >= 2 * len(endpoint.cold_callers) else 0.0
            found[:] = found[0] + 1.0, max(found[1], aware), max(found[2], part)
        return answer


def play(senders: int, seed: int) -> list[dict[str, object]]:
    """One day's returns."""
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
        town = Watched(day, Path(folder))
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
            "all": round(most, 3),
        }
        for (name, at), (calls, aware, most) in sorted(town.returns.items())
        if calls
    ]


def main() -> None:
    """Play days until there are enough returns, and tell the fullest of each size."""
    parser = argparse.ArgumentParser(description="What cold endpoints of the town are sent.")
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
                for day in pool.map(play, [size] * 8, range(seed, seed + 8)):
                    found += day
                seed += 8
            rows += found
            tell_fullest(size, found)
    write_table(args.csv, rows)


if __name__ == "__main__":
    main()
