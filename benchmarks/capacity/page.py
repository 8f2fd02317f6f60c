"""Generates the tables of ``docs/CAPACITY.md`` from the rows of ``docs/data/capacity``.

Only text between ``<!-- table NAME -->`` and ``<!-- end of table -->`` is replaced; the rest of the page is
written by hand.
"""

from __future__ import annotations

import csv
import re
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import inf
from pathlib import Path

from benchmarks.capacity import budgets
from benchmarks.capacity.budgets import COSTS, Cost, Lines
from benchmarks.capacity.fit import Fit, fit_rows
from benchmarks.capacity.measurement import ROLES
from benchmarks.capacity.rows import NOT_MEASURED, NotMeasured, Row, read_rows
from benchmarks.capacity.target import TARGET

TABLE = re.compile(r"(<!-- table (?P<name>[a-z0-9-]+) -->\n).*?(<!-- end of table -->)", re.DOTALL)
LABELS = ("before", "after")
LINK = "data/capacity"
ZERO_TOLERANCE = 1e-9  # smaller values are rounding errors of a fit
FULL_RUN = f"virtual calm {TARGET.senders}/{TARGET.destinations}/{TARGET.events_per_s:g} "
HOLLOW_UNITS = {"% of a core": 10.0, "MB": 1e6, "B/s": 1.0, "1": 1.0}
"""Factors from the hollow fleet's units to those of the costs."""
Value = float | NotMeasured | None


class UnknownTable(Exception):
    """A marker of the page names an unknown table."""


@dataclass(frozen=True, slots=True)
class Figures:
    """Input of the page. ``hollow``: rows of the hollow fleet's table."""

    rows: Mapping[str, Sequence[Row]]
    lines: Mapping[str, Lines]
    hollow: Sequence[Mapping[str, str]]

    def hollow_value(self, key: tuple[str, str, str] | None) -> float | None:
        """The last value of the hollow fleet's calm run at full size; ``None``: there is none."""
        found = [
            row
            for row in self.hollow
            if (row["role"], row["what"], row["statistic"]) == key and row["run"].startswith(FULL_RUN)
        ]
        if not found or found[-1]["value"].startswith(NOT_MEASURED):
            return None
        return float(found[-1]["value"]) * HOLLOW_UNITS[found[-1]["unit"]]


def read_figures(folder: Path) -> Figures:
    """Read the tables of a folder and fit lines to the rows."""
    rows = {role: read_rows(folder / f"{role}.csv") for role in ROLES}
    lines: dict[str, dict[str, Fit]] = {label: {} for label in LABELS}
    for role, found in rows.items():
        for fit in fit_rows(role, found):
            lines[fit.label][f"{role}.{fit.what}"] = fit
    lines["before"] |= _exact_alone(lines["before"])
    hollow = folder / "hollow.csv"
    hollow_rows: list[dict[str, str]] = []
    if hollow.exists():
        with hollow.open(newline="") as source:
            hollow_rows = list(csv.DictReader(source))
    return Figures(rows, lines, hollow_rows)


def _exact_alone(lines: Lines) -> dict[str, Fit]:
    """Lines under exact limits: the earlier program had no other limits."""
    return {
        name.replace("_by_", "_by_exact_"): fit
        for name, fit in lines.items()
        if name.startswith("allocator.load_") and name.endswith(("_by_rate", "_by_limits"))
    }


def with_tables(page: str, figures: Figures) -> str:
    """The page with its tables replaced. Raises ``UnknownTable``."""

    def render(match: re.Match[str]) -> str:
        name = match["name"]
        if name not in TABLES:
            raise UnknownTable(f"{name}; known tables: {', '.join(TABLES)}")
        return f"{match[1]}{TABLES[name](figures)}\n{match[3]}"

    return TABLE.sub(render, page)


# Values as text


def number(value: float) -> str:
    """Three significant digits, with thousands separators."""
    if value in (inf, -inf):
        return "any"
    rounded = float(f"{value:.3g}") if abs(value) > ZERO_TOLERANCE else 0.0
    return f"{rounded:,.0f}" if abs(rounded) >= 1_000.0 else f"{rounded:.3g}"


def amount(value: float, unit: str) -> str:
    """A value with a scaled unit."""
    for start, scale, name in SCALES:
        if unit.startswith(start) and abs(value) >= scale:
            return f"{number(value / scale)} {name}{unit.removeprefix(start)}"
    return f"{number(value)} {unit}"


SCALES = (
    ("B", 1e9, "GB"),
    ("B", 1e6, "MB"),
    ("B", 1e3, "KB"),
    ("ms", 1e3, "s"),
    ("us", 1e6, "s"),
    ("us", 1e3, "ms"),
)


def cost_text(value: Value, unit: str) -> str:
    """A cost as a table cell."""
    if value is None:
        return "-"
    return NOT_MEASURED if isinstance(value, NotMeasured) else amount(value, unit)


def fraction_text(value: Value) -> str:
    """A fraction of the target as a table cell."""
    if value is None:
        return "-"
    if isinstance(value, NotMeasured):
        return NOT_MEASURED
    if value == 0.0:
        return "0 (at any size)"
    return f"holds ({number(value)})" if value >= 1.0 else f"{value:.2g}"


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """A Markdown table."""
    lines = [f"| {' | '.join(head)} |", f"| {' | '.join('---' for _ in head)} |"]
    return "\n".join(lines + [f"| {' | '.join(row)} |" for row in rows])


# Costs and fractions


def cost_of(cost: Cost, figures: Figures, label: str) -> Value:
    """A cost at the full size; after the change the hollow fleet's value if there is one."""
    hollow = figures.hollow_value(cost.hollow) if label == "after" else None
    return hollow if hollow is not None else budgets.full_cost(cost, figures.lines[label])


def breaking_point(cost: Cost, figures: Figures, label: str) -> Value:
    """The fraction of the target at which a budget breaks; proportional for a value of the hollow fleet."""
    hollow = figures.hollow_value(cost.hollow) if label == "after" else None
    if hollow is not None and cost.budget:
        return cost.budget_of(label) / hollow if hollow > 0.0 else inf
    return budgets.breaking_fraction(cost, figures.lines[label], label)


def _order(value: Value) -> float:
    return value if isinstance(value, float) else inf


def mechanism_text(cost: Cost, before: Value, after: Value) -> str:
    """The mechanism that makes a cost bearable, or the one that is missing."""
    if isinstance(before, float) and before >= 1.0:
        return "as it is"
    if cost.mechanism.in_this_change and isinstance(after, float):
        return cost.mechanism.name + ("" if after >= 1.0 else "; not enough")
    if cost.built and isinstance(after, float) and after >= 1.0:
        return cost.built
    if cost.mechanism.missing:
        return f"missing: {cost.mechanism.name}"
    return cost.mechanism.name if isinstance(before, float) else "as it is"


# Tables


def target_table(figures: Figures) -> str:
    """Figures derived from the target."""
    rows = [
        ("events a second and sender", amount(TARGET.events_per_sender, "")),
        ("control bytes an event", amount(TARGET.bytes_per_event, "B")),
        ("a sender's control time an event", amount(TARGET.sender_us_per_event, "us")),
        ("all control machines' time an event", amount(TARGET.machines_us_per_event, "us")),
        ("events a second and destination", amount(TARGET.events_per_destination, "")),
        ("destinations down", amount(TARGET.down, "")),
        ("owed messages a sender", amount(TARGET.backlog_per_sender, "")),
        ("between two changes of configuration", amount(1.0 / TARGET.changes_per_s, "s")),
    ]
    return table(("what", "at full size"), rows)


def fractions_table(figures: Figures) -> str:
    """All budgets, the first to break at the top."""
    found = [
        (cost, breaking_point(cost, figures, "before"), breaking_point(cost, figures, "after"))
        for cost in COSTS
    ]
    found = [one for one in found if one[1] is not None]
    found.sort(key=lambda one: _order(one[1]))
    rows = [
        (cost.role, cost.what, cost.driver, amount(cost.budget, cost.unit),
         fraction_text(before), fraction_text(after), mechanism_text(cost, before, after))
        for cost, before, after in found
    ]  # fmt: skip
    return table(("role", "budget of", "driver", "budget", "before", "after", "carried by"), rows)


def first_table(figures: Figures) -> str:
    """The budget of each program that breaks first; costs with all limits exact are left out."""
    rows = []
    for label in LABELS:
        found = [
            (one, breaking_point(one, figures, label)) for one in COSTS if one.mechanism is not budgets.EXACT
        ]
        known = [(cost, at) for cost, at in found if isinstance(at, float)]
        if label == "after" and any(_awaits_measurement(cost, figures) for cost in COSTS):
            rows.append((label, NOT_MEASURED, "-", "-"))
            continue
        cost, at = min(known, key=lambda one: one[1])
        rows.append((label, f"{cost.role}: {cost.what}", fraction_text(at), cost.mechanism.name))
    return table(("program", "budget that breaks first", "at", "mechanism that is missing"), rows)


def _awaits_measurement(cost: Cost, figures: Figures) -> bool:
    """Whether a fraction is known for the earlier program only."""
    before, after = (breaking_point(cost, figures, label) for label in LABELS)
    return isinstance(before, float) and isinstance(after, NotMeasured)


def later_table(figures: Figures) -> str:
    """Mechanisms planned for later, with the smallest breaking fraction of the costs that need each."""
    rows = []
    for mechanism in LATER:
        row = [mechanism.name]
        for label in LABELS:
            costs = [
                (cost, breaking_point(cost, figures, label)) for cost in COSTS if cost.mechanism is mechanism
            ]
            costs = [(cost, at) for cost, at in costs if at is not None]
            cost, at = min(costs, key=lambda one: _order(one[1]))
            row += [f"{cost.role}: {cost.what}", fraction_text(at)]
        rows.append(row)
    name = "allocator.load_server_ms_by_rate"
    alone = next(one for one in COSTS if one.uses == (name,) and one.hollow is None)
    cells = [
        (f"{alone.role}: {alone.what}", fraction_text(breaking_point(alone, figures, label)))
        for label in LABELS
    ]
    rows.append([budgets.SHARDS.name, *cells[0], *cells[1]])
    head = ("mechanism", "what waits for it first, before", "breaks at", "after", "breaks at")
    return table(head, rows)


LATER = (
    budgets.HOSTS,
    budgets.POLICY_DELTAS,
    budgets.BACKLOG_ON_DISK,
    budgets.SHARED_HEALTH,
    budgets.SMALL_STATE,
    budgets.LEASE_RECORD,
)


def role_table(role: str) -> Callable[[Figures], str]:
    """The costs of a role at the full size."""

    def render_role(figures: Figures) -> str:
        rows = []
        for cost in COSTS:
            if cost.role != role:
                continue
            before, after = (cost_of(cost, figures, label) for label in LABELS)
            points = [breaking_point(cost, figures, label) for label in LABELS]
            rows.append(
                (cost.kind, cost.what, _formula(cost, figures), cost_text(before, cost.unit),
                 cost_text(after, cost.unit), amount(cost.budget, cost.unit) if cost.budget else "none",
                 *map(fraction_text, points), mechanism_text(cost, *points))
            )  # fmt: skip
        head = ("kind", "of", "formula and slopes", "before", "after", "budget", "breaks at, before", "after")
        return table((*head, "carried by"), rows)

    return render_role


def _formula(cost: Cost, figures: Figures) -> str:
    lines = [cost.formula]
    for name in cost.uses:
        role, what = name.split(".")
        known = [(label, figures.lines[label].get(name)) for label in LABELS]
        fitted = "; ".join(f"{label} {line_text(fit)}" for label, fit in known if fit is not None)
        lines.append(f"[{what}]({LINK}/{role}.csv): {fitted or NOT_MEASURED}")
    return "<br>".join(lines)


def line_text(fit: Fit) -> str:
    """A line as text: fixed part, slope, and the bend if there is one."""
    by = fit.what.rpartition("_by_")[2]
    if not fit.bend:
        return f"{number(fit.fixed)} + {number(fit.slope)} x {by}"
    start = f"{number(fit.fixed)} + {number(fit.slope)} x {by}"
    return f"{start}, from {number(fit.bend)} on {number(fit.slope_after)} each"


def slopes_table(figures: Figures) -> str:
    """All fitted lines."""
    rows = []
    for label in LABELS:
        for name, fit in sorted(figures.lines[label].items()):
            role, what = name.split(".")
            if what != fit.what:
                continue  # alias of a line that is already listed
            bend = f"{number(fit.bend)}: {number(fit.slope_after)}" if fit.bend else "none"
            rows.append(
                (label, f"[{role}]({LINK}/{role}.csv)", what, fit.unit, number(fit.slope), number(fit.fixed),
                 f"{fit.residual:.0%}", bend, f"{number(fit.smallest)} to {number(fit.largest)}")
            )  # fmt: skip
    head = ("program", "role", "what", "unit", "slope", "fixed", "residual", "bend: slope after", "sizes")
    return table(head, rows)


def unmeasured_table(figures: Figures) -> str:
    """Missing measurements and the reasons."""
    rows = [
        (row.label, role, row.what, number(row.size), row.value.reason.replace("|", "/"))
        for role, found in figures.rows.items()
        for row in found
        if isinstance(row.value, NotMeasured)
    ]
    return table(("program", "role", "what", "size", "reason"), rows) if rows else "Nothing."


def hollow_table(figures: Figures) -> str:
    """The measurements of the hollow fleet."""
    if not figures.hollow:
        return f"{NOT_MEASURED}: there are no rows of the hollow fleet yet."
    grouped: dict[tuple[str, str, str, str], list[str]] = {}
    for row in figures.hollow:
        text = row["value"]
        value = text if text.startswith(NOT_MEASURED) else number(float(text))
        key = (row["run"], row["role"], row["what"], row["unit"])
        grouped.setdefault(key, []).append(f"{row['statistic']} {value}")
    rows = [(run, role, what, "; ".join(values), unit) for (run, role, what, unit), values in grouped.items()]
    return table(("run", "role", "what", "values", "unit"), rows)


def machines_table(figures: Figures) -> str:
    """The measured programs and machines."""
    found = sorted(
        {
            (row.label, role, row.commit, row.machine)
            for role, rows in figures.rows.items()
            for row in rows
        }
    )  # fmt: skip
    return table(("program", "role", "last commit of the program", "machine"), found)


TABLES: Mapping[str, Callable[[Figures], str]] = {
    "target": target_table,
    "fractions": fractions_table,
    "first": first_table,
    "later": later_table,
    "slopes": slopes_table,
    "not-measured": unmeasured_table,
    "hollow": hollow_table,
    "machines": machines_table,
    **{role.replace(" ", "-"): role_table(role) for role in budgets.ROLES},
}
