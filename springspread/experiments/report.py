"""The report of an experiment: a summary table (Markdown, CSV), a chart, and an HTML page with both."""

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
from springspread.experiments.run import MEASURES, combinations, measure_value, read_rows, record_path
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


def varying_columns(rows: Rows) -> list[str]:
    """Return the columns that distinguish runs: the arm, and the knobs that vary within an arm."""
    arms = {row["arm"] for row in rows}
    knobs = [
        key
        for key in Knobs.model_fields
        if any(len({row[key] for row in rows if row["arm"] == arm}) > 1 for arm in arms)
    ]
    return (["arm"] if len(arms) > 1 or not knobs else []) + knobs


def summary(rows: Rows) -> tuple[list[str], list[list[str]]]:
    """Summarize each combination of varying columns: days, means with intervals, worst, latencies, faults."""
    knobs = varying_columns(rows)
    header = [*knobs, "days", *MEASURES, "worst", *(f"p{p:g} ms" for p in PERCENTILES), "refused", "broken"]
    table_rows = []
    for combination in combinations(rows, knobs):
        group = [row for row in rows if tuple(row[knob] for knob in knobs) == combination]
        cells = [*combination, str(len(group))]
        for measure in MEASURES:
            values = [value for row in group if (value := measure_value(row, measure)) is not None]
            mean = mean_of(values) if values else None
            cells.append(f"{mean.mean:.3f} ± {mean.margin:.3f}" if mean else "")
        cells.append(f"{min(float(row['service']) for row in group):.3f}")
        cells += [str(value) for value in latency_percentiles(group)]
        refused, messages = (sum(int(row[key]) for row in group) for key in ("refused", "messages"))
        cells.append(f"{refused / messages:.3f}")
        cells.append(str(sum(row["faults"] != "0" for row in group)))
        table_rows.append(cells)
    return header, table_rows


def latency_percentiles(rows: Rows) -> list[int]:
    """Compute latency percentiles (ms) from the merged histograms of the rows."""
    merged = HdrHistogram(1, MAX_LATENCY_MS, 3)
    for row in rows:
        merged.add(HdrHistogram.decode(row["latencies"].encode()))
    return [merged.get_value_at_percentile(percentile) for percentile in PERCENTILES]


def to_markdown(header: Sequence[str], table_rows: Sequence[Sequence[str]]) -> str:
    """Format as a Markdown table."""
    rows = [header, ["---"] * len(header), *table_rows]
    return "".join(f"| {' | '.join(row)} |\n" for row in rows)


def to_csv(header: Sequence[str], table_rows: Sequence[Sequence[str]]) -> str:
    """Format as CSV."""
    out = io.StringIO()
    csv.writer(out, lineterminator="\n").writerows([header, *table_rows])
    return out.getvalue()


def write_report(table: Path, folder: Path) -> list[Path]:
    """Write the report of a table and its record; raises ``OSError`` or ``ValueError`` for invalid files."""
    rows = read_rows(table)
    if not rows:
        raise ValueError(f"{table}: no finished days")
    record: Mapping[str, object] = json.loads(record_path(table).read_text())
    header, table_rows = summary(rows)
    folder.mkdir(parents=True, exist_ok=True)
    by, name = varying_columns(rows)[-1], table.stem
    paths = {kind: folder / f"{name}.{kind}" for kind in ("md", "summary.csv", "svg", "png", "html")}
    paths["md"].write_text(to_markdown(header, table_rows))
    paths["summary.csv"].write_text(to_csv(header, table_rows))
    for kind in ("svg", "png"):
        draw_chart(rows, by, paths[kind])
    page = Environment(autoescape=True).from_string(PAGE)
    html = page.render(
        name=name,
        days=len(rows),
        broken=sum(row["faults"] != "0" for row in rows),
        record=record,
        header=header,
        rows=table_rows,
        faults=[f"seed {row['seed']}: {row['first_fault']}" for row in rows if row["first_fault"]],
        by=by,
        picture=base64.b64encode(paths["svg"].read_bytes()).decode(),
        plan=json.dumps(record["plan"], indent=1),
    )
    paths["html"].write_text(html)
    return list(paths.values())
