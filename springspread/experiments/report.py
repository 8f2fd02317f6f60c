"""An experiment's report: a table by what varies (Markdown, CSV), a chart, and one HTML page with it all."""

from __future__ import annotations

import base64
import csv
import io
import json
from collections.abc import Mapping, Sequence
from pathlib import Path

from hdrh.histogram import HdrHistogram
from jinja2 import Environment

from springspread.experiments.chart import draw_chart
from springspread.experiments.compare import Rows, mean_of
from springspread.experiments.plan import Knobs
from springspread.experiments.run import MEASURES, number, points, read_rows, record_path
from springspread.simulator.checker import MAX_LATENCY_MS

PERCENTILES = (50.0, 90.0, 99.0, 99.9)
PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ name }}</title><style>
body{font:15px/1.45 sans-serif;max-width:70em;margin:2em auto}
table{border-collapse:collapse}
td,th{border:1px solid #bbb;padding:.25em .6em;text-align:right}
pre{background:#f4f4f4;padding:1em}
</style></head>
<body><h1>{{ name }}</h1>
<p>{{ days }} days, {{ broken }} with broken promises. Commit {{ record.commit or "unknown" }}, Python
{{ record.python }}{% if not record.complete %}; <b>stopped early: not every day was run</b>{% endif %}.</p>
<table><tr>{% for cell in header %}<th>{{ cell }}</th>{% endfor %}</tr>
{% for row in rows %}<tr>{% for cell in row %}<td>{{ cell }}</td>{% endfor %}</tr>
{% endfor %}</table>
{% if faults %}<h2>Broken promises</h2>
<ul>{% for fault in faults %}<li>{{ fault }}</li>{% endfor %}</ul>{% endif %}
<p><img alt="service by {{ by }}" src="data:image/svg+xml;base64,{{ picture }}"></p>
<h2>The plan</h2><pre>{{ plan }}</pre>
<p>Libraries: {% for lib, version in record.libraries.items() %}{{ lib }} {{ version }}
{{- ", " if not loop.last }}{% endfor %}</p></body></html>
"""


def varied(rows: Rows) -> list[str]:
    """Which columns tell the runs apart: the arm, and the knobs that vary within one."""
    arms = {row["arm"] for row in rows}
    knobs = [
        key
        for key in Knobs.model_fields
        if any(len({row[key] for row in rows if row["arm"] == arm}) > 1 for arm in arms)
    ]
    return (["arm"] if len(arms) > 1 or not knobs else []) + knobs


def summary(rows: Rows) -> tuple[list[str], list[list[str]]]:
    """A line for each combination of what varies: days, means with intervals, worst, latencies, faults."""
    knobs = varied(rows)
    header = [*knobs, "days", *MEASURES, "worst", *(f"p{p:g} ms" for p in PERCENTILES), "refused", "broken"]
    lines = []
    for point in points(rows, knobs):
        here = [row for row in rows if tuple(row[knob] for knob in knobs) == point]
        line = [*point, str(len(here))]
        for measure in MEASURES:
            values = [value for row in here if (value := number(row, measure)) is not None]
            mean = mean_of(values) if values else None
            line.append(f"{mean.mean:.3f} ± {mean.half:.3f}" if mean else "")
        line.append(f"{min(float(row['service']) for row in here):.3f}")
        line += [str(value) for value in latencies(here)]
        refused, messages = (sum(int(row[key]) for row in here) for key in ("refused", "messages"))
        line.append(f"{refused / messages:.3f}")
        line.append(str(sum(row["faults"] != "0" for row in here)))
        lines.append(line)
    return header, lines


def latencies(rows: Rows) -> list[int]:
    """Percentiles of all that these days delivered, ms, out of their merged histograms."""
    merged = HdrHistogram(1, MAX_LATENCY_MS, 3)
    for row in rows:
        merged.add(HdrHistogram.decode(row["latencies"].encode()))
    return [merged.get_value_at_percentile(percentile) for percentile in PERCENTILES]


def markdown(header: Sequence[str], lines: Sequence[Sequence[str]]) -> str:
    """As a Markdown table."""
    rows = [header, ["---"] * len(header), *lines]
    return "".join(f"| {' | '.join(row)} |\n" for row in rows)


def as_csv(header: Sequence[str], lines: Sequence[Sequence[str]]) -> str:
    """As CSV."""
    out = io.StringIO()
    csv.writer(out, lineterminator="\n").writerows([header, *lines])
    return out.getvalue()


def write_report(table: Path, folder: Path) -> list[Path]:
    """Write the report of a table and its record; raises ``OSError`` or ``ValueError`` for what is none."""
    rows = read_rows(table)
    if not rows:
        raise ValueError(f"{table}: no day of it was run")
    record: Mapping[str, object] = json.loads(record_path(table).read_text())
    header, lines = summary(rows)
    folder.mkdir(parents=True, exist_ok=True)
    by, name = varied(rows)[-1], table.stem
    made = {kind: folder / f"{name}.{kind}" for kind in ("md", "summary.csv", "svg", "png", "html")}
    made["md"].write_text(markdown(header, lines))
    made["summary.csv"].write_text(as_csv(header, lines))
    for kind in ("svg", "png"):
        draw_chart(rows, by, made[kind])
    page = Environment(autoescape=True).from_string(PAGE)
    told = page.render(
        name=name,
        days=len(rows),
        broken=sum(row["faults"] != "0" for row in rows),
        record=record,
        header=header,
        rows=lines,
        faults=[f"seed {row['seed']}: {row['first_fault']}" for row in rows if row["first_fault"]],
        by=by,
        picture=base64.b64encode(made["svg"].read_bytes()).decode(),
        plan=json.dumps(record["plan"], indent=1),
    )
    made["html"].write_text(told)
    return list(made.values())
