"""Charts of a table: what a varied knob (or the arm) does to service, seed by seed and in the mean."""

from __future__ import annotations

from pathlib import Path

from matplotlib import rc_context
from matplotlib.figure import Figure

from springspread.experiments.compare import Rows
from springspread.experiments.run import MEASURES, number


def draw_chart(rows: Rows, knob: str, path: Path) -> None:
    """Draw service by one knob, as SVG or PNG after the name; raises ``KeyError`` for rows without it."""
    words = not all(row[knob].replace(".", "", 1).isdecimal() for row in rows)
    names = list(dict.fromkeys(row[knob] for row in rows))
    figure = Figure(figsize=(7.0, 4.2), layout="constrained")
    axes = figure.subplots()
    for n, measure in enumerate(MEASURES):
        groups: dict[float, list[float]] = {}
        for row in rows:
            x = names.index(row[knob]) if words else float(row[knob])
            if (value := number(row, measure)) is not None:
                groups.setdefault(x, []).append(value)
        xs = sorted(groups)
        means = [sum(groups[x]) / len(groups[x]) for x in xs]
        # Words have no order, so nothing leads from one to the next.
        name, dash = measure.replace("service_", ""), "none" if words else "-"
        (line,) = axes.plot(xs, means, label=name, linestyle=dash, marker="os^v"[n % 4])
        for x in xs:
            axes.scatter([x] * len(groups[x]), groups[x], s=9, alpha=0.35, color=line.get_color())
    if words:
        axes.set_xticks(range(len(names)), names, rotation=20)
    axes.set_xlabel(knob)
    axes.set_ylabel("worth kept, as a share of worth asked for")
    axes.set_ylim(0.0, 1.02)
    axes.grid(alpha=0.3)
    axes.legend()
    with rc_context({"svg.hashsalt": "springspread"}):  # the same table gives the same picture, byte for byte
        metadata = {"Date": None} if path.suffix == ".svg" else {"Software": None}
        figure.savefig(path, dpi=120, metadata=metadata)
