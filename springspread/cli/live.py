"""Tables for a terminal or a pipe, and the demo's table, which a terminal shows in place."""

from __future__ import annotations

import sys
from collections.abc import Mapping, Sequence
from typing import TextIO

from springspread.simulator.checker import Checker

PERCENTILES = (50, 90, 99)
CURSOR_UP = "\x1b[{}A\x1b[J"  # by this many lines, and clear the rest of the screen


def columns(headers: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """Lines with each column as wide as its widest cell."""
    cells = [list(map(str, row)) for row in [headers, *rows]]
    widths = [max(len(row[n]) for row in cells) for n in range(len(headers))]
    return ["  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)) for row in cells]


class LiveDisplay:
    """Shows the progress of a simulated day: a table in place on a terminal, lines elsewhere."""

    def __init__(self, out: TextIO = sys.stdout) -> None:
        self._out, self._in_place = out, out.isatty()
        self._lines = 0

    def show(self, at: float, checker: Checker, troubles: Mapping[str, str]) -> None:
        """Show the counts up to ``at`` (ms); ``troubles`` are the partners' current ones."""
        tally = checker.tally
        values: dict[str, object] = {
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
        trouble_texts = [f"{partner}: {what}" for partner, what in troubles.items()]
        if self._in_place:
            lines = [*columns(list(values), [list(values.values())]), *trouble_texts]
            prefix = CURSOR_UP.format(self._lines) if self._lines else ""
            self._out.write(prefix + "".join(f"{line}\n" for line in lines))
            self._lines = len(lines)
        else:
            line = ", ".join(f"{name} {value}" for name, value in values.items())
            self._out.write(" | ".join([line, *trouble_texts]) + "\n")
        self._out.flush()
