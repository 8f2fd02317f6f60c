"""Charts of service against a varied knob (or the arm): each seed and the mean."""

from __future__ import annotations

from pathlib import Path

from matplotlib import rc_context
from matplotlib.figure import Figure

from springspread.experiments.compare import Rows
from springspread.experiments.run import MEASURES, measure_value


def draw_chart(rows: Rows, knob: str, path: Path) -> None:
    """Plot service against a knob as SVG or PNG, by suffix; raises ``KeyError`` if rows lack the knob."""
    categorical = not all(row[knob].replace(".", "", 1).isdecimal() for row in rows)
    categories = list(dict.fromkeys(row[knob] for row in rows))
    figure = Figure(figsize=(7.0, 4.2), layout="constrained")
    axes = figure.subplots()
    for index, measure in enumerate(MEASURES):
        groups: dict[float, list[float]] = {}
        for row in rows:
            x = categories.index(row[knob]) if categorical else float(row[knob])
            if (value := measure_value(row, measure)) is not None:
                groups.setdefault(x, []).append(value)
        xs = sorted(groups)
        means = [sum(groups[x]) / len(groups[x]) for x in xs]
        # Categories have no order, so they are not joined by lines.
        name, linestyle = measure.replace("service_", ""), "none" if categorical else "-"
        (line,) = axes.plot(xs, means, label=name, linestyle=linestyle, marker="os^v"[index % 4])
        for x in xs:
            axes.scatter([x] * len(groups[x]), groups[x], s=9, alpha=0.35, color=line.get_color())
    if categorical:
        axes.set_xticks(range(len(categories)), categories, rotation=20)
    axes.set_xlabel(knob)
    axes.set_ylabel("worth kept, as a share of worth asked for")
    axes.set_ylim(0.0, 1.02)
    axes.grid(alpha=0.3)
    axes.legend()
    with rc_context({"svg.hashsalt": "springspread"}):  # reproducible element ids
        metadata = {"Date": None} if path.suffix == ".svg" else {"Software": None}
        figure.savefig(path, dpi=120, metadata=metadata)
