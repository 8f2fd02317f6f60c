"""``springspread lab``: run experiments, write their reports, compare them."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from functools import wraps
from pathlib import Path
from typing import Any

import click

FILE = click.Path(path_type=Path, dir_okay=False)
BROKEN, EARLY = 1, 4


def told(command: Callable[..., Any]) -> Callable[..., Any]:
    """A faulty file of the caller's is told in a line, not in a traceback."""

    @wraps(command)
    def run(*args: Any, **values: Any) -> Any:
        try:
            return command(*args, **values)
        except (OSError, ValueError, KeyError) as exc:
            raise click.ClickException(f"{exc}") from exc

    return run


@click.group()
def lab() -> None:
    """Run experiments: a plan in TOML, its table, its report."""


@lab.command()
@click.argument("plan", type=FILE)
@click.option("--out", type=FILE, required=True, help="The table to write (CSV); its record goes beside it.")
@click.option("--processes", type=click.IntRange(1, 256), default=os.cpu_count() or 1, show_default=True)
def run(plan: Path, out: Path, processes: int) -> None:
    """Play every day of PLAN (TOML, or the record of an earlier run) and write one row each.

    Exits with 1 where a promise was broken, with 4 where a signal or the disk stopped it.
    """
    from springspread.experiments.plan import read_plan
    from springspread.experiments.run import Table, run_plan
    from springspread.validation import PlanError

    try:
        read = read_plan(plan)
    except PlanError as exc:
        raise click.ClickException(str(exc)) from exc
    days, done, broken, seconds, early = sum(1 for _ in read.runs()), 0, 0, 0.0, ""
    table: Table | None = None
    try:
        table = Table(out, read)
        played = run_plan(read, processes)
        with click.progressbar(played, days, label=read.name, file=sys.stderr, show_pos=True) as shown:
            for row, took in shown:
                table.add(row)
                done, broken, seconds = done + 1, broken + bool(row["faults"]), seconds + took
    except KeyboardInterrupt:
        early = "interrupted"
    except OSError as exc:
        early = f"the table takes no more: {exc}"
    try:
        if table is not None:
            table.close()
    except OSError as exc:
        early = early or f"the table takes no more: {exc}"
        click.echo(f"what was written stands in {table.fresh if table else out}", err=True)
    mean = f", {seconds / done:.2f} s each in the mean" if done else ""
    click.echo(f"{done} of {days} days{mean}, {broken} with broken promises: {out}")
    if early:
        click.echo(f"stopped early, {early}", err=True)
    sys.exit(EARLY if early else BROKEN if broken else 0)


@lab.command()
@click.argument("table", type=FILE)
@click.option("--out", type=click.Path(path_type=Path, file_okay=False), required=True, help="A folder.")
@told
def report(table: Path, out: Path) -> None:
    """Write the report of TABLE: Markdown, CSV, a chart as SVG and PNG, and one HTML page."""
    from springspread.experiments.report import write_report

    for path in write_report(table, out):
        click.echo(str(path))


@lab.command()
@click.argument("ours", type=FILE)
@click.argument("theirs", type=FILE, required=False)
@click.option("--arms", nargs=2, metavar="A B", help="Two arms of one table, in place of two tables.")
@click.option("--measure", default="service", show_default=True)
@click.option("--where", "wheres", multiple=True, metavar="COLUMN=VALUE", help="Only rows that hold it.")
@told
def compare(
    ours: Path, theirs: Path | None, arms: tuple[str, str] | None, measure: str, wheres: tuple[str, ...]
) -> None:
    """Tell how much more THEIRS (or arm B) has of a measure than OURS (or arm A), day by day.

    The difference is paired by seed and knobs, with its 95 % interval (Student's).
    """
    from springspread.experiments.compare import paired
    from springspread.experiments.run import COLUMNS, read_rows

    if (theirs is None) == (arms is None):
        raise click.UsageError("give a second table, or --arms A B")
    if measure not in COLUMNS:
        raise click.ClickException(f"--measure: no such column: {measure}; there are {', '.join(COLUMNS)}")
    left = read_rows(ours)
    right = read_rows(theirs) if theirs is not None else left
    for where in wheres:
        column, _, value = where.partition("=")
        if column not in COLUMNS:
            raise click.ClickException(f"--where: no such column: {column}")
        left, right = ([row for row in rows if row[column] == value] for rows in (left, right))
    if arms is not None:
        left, right = ([row for row in left if row["arm"] == arm] for arm in arms)
    found = paired(left, right, measure)
    word = "sure" if found.sure else "not told apart"
    click.echo(f"{measure}: {found.mean:+.4f} ± {found.half:.4f} over {found.count} days ({word})")


@lab.command()
@click.argument("logs", type=click.Path(path_type=Path, file_okay=False, exists=True))
@click.option("--span", type=click.FloatRange(0.1, 3600.0), default=1.0, show_default=True, help="Seconds.")
@click.option("--whole", is_flag=True, help="One line for the whole time.")
@told
def tally(logs: Path, span: float, whole: bool) -> None:
    """Count over a fleet: what the senders whose logs (level debug) lie in LOGS did, by destination and span.

    CSV; destination -1 is discovery. `limit` is in calls a second, `left` the mean share told to be left.
    """
    from springspread.experiments import tally as counting

    cells = counting.tally(sorted(logs.glob("*.log")), span)
    if not cells:
        raise click.ClickException(f"{logs}: no *.log with lines of level debug")
    if whole:
        counts = counting.total(cells)
        click.echo(",".join(counting.COLUMNS))
        click.echo(",".join(str(counts[column]) for column in counting.COLUMNS))
        return
    click.echo(",".join(("destination", "from_s", *counting.COLUMNS, "limit", "left")))
    for (group, number), cell in sorted(cells.items()):
        counted = [str(cell.counts[column]) for column in counting.COLUMNS]
        left = f"{cell.left / cell.told:.3f}" if cell.told else ""
        click.echo(",".join((str(group), f"{number * span:g}", *counted, f"{cell.limit:g}", left)))
