"""Tables for a terminal or a pipe, and the demo's, which stands still on a terminal and changes."""

from __future__ import annotations

import sys
from collections.abc import Mapping, Sequence
from typing import TextIO

from springspread.simulator.checker import Checker

PERCENTILES = (50, 90, 99)
UP = "\x1b[{}A\x1b[J"  # so many lines up, and clear from there


def columns(heads: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """Lines with each column as wide as its widest cell."""
    cells = [list(map(str, row)) for row in [heads, *rows]]
    widths = [max(len(row[n]) for row in cells) for n in range(len(heads))]
    return ["  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)) for row in cells]


class Watching:
    """Shows a day as it is played: a table in place on a terminal, a line a second elsewhere."""

    def __init__(self, out: TextIO = sys.stdout) -> None:
        self._out, self._still = out, out.isatty()
        self._lines = 0

    def show(self, at: float, checker: Checker, sufferings: Mapping[str, str]) -> None:
        """What the day has come to by ``at`` (ms); ``sufferings`` names what each partner has now."""
        tally = checker.tally
        told: dict[str, object] = {
            "s": f"{at / 1000:.0f}",
            "handed in": tally.messages,
            "delivered": tally.delivered,
            "refused": tally.refused,
            "failed": tally.failed,
            "calls": tally.calls,
            "service": f"{tally.service:.3f}",
            **{f"p{p} ms": checker.latency.get_value_at_percentile(p) for p in PERCENTILES},
            "broken": len(checker.faults),
        }
        suffer = [f"{partner}: {what}" for partner, what in sufferings.items()]
        if self._still:
            lines = [*columns(list(told), [list(told.values())]), *suffer]
            head = UP.format(self._lines) if self._lines else ""
            self._out.write(head + "".join(f"{line}\n" for line in lines))
            self._lines = len(lines)
        else:
            line = ", ".join(f"{name} {value}" for name, value in told.items())
            self._out.write(" | ".join([line, *suffer]) + "\n")
        self._out.flush()
