"""Charts of a plan's table: what a varied knob does to service, seed by seed and in the mean."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from pathlib import Path

from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

from springspread.lab.plan import KNOBS, Value

MEASURES = ("service", "service_status-notice", "service_fee-payment")


def draw_chart(rows: Sequence[dict[str, str]], knob: str, path: Path) -> None:
    """Draw service by one knob as a PNG; raises ``KeyError`` where the rows do not hold it."""
    figure = Figure(figsize=(7.0, 4.2), layout="constrained")
    FigureCanvasAgg(figure)
    axes = figure.subplots()
    for measure in MEASURES:
        groups: dict[Value, list[float]] = defaultdict(list)
        for row in rows:
            if row[measure]:
                x = row[knob] if KNOBS[knob].words else float(row[knob])
                groups[x].append(float(row[measure]))
        xs = sorted(groups)
        means = [sum(groups[x]) / len(groups[x]) for x in xs]
        (line,) = axes.plot(xs, means, marker="o", label=measure.replace("service_", ""))
        for x in xs:
            axes.scatter([x] * len(groups[x]), groups[x], s=9, alpha=0.4, color=line.get_color())
    axes.set_xlabel(knob)
    axes.set_ylabel("worth kept, as a share of worth asked for")
    axes.set_ylim(0.0, 1.02)
    axes.grid(alpha=0.3)
    axes.legend()
    figure.savefig(path, dpi=120, metadata={"Software": None})
