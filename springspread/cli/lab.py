"""``springspread lab``: run experiments, write their reports, compare them."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from contextlib import closing
from functools import wraps
from pathlib import Path
from typing import Any

import click

FILE = click.Path(path_type=Path, dir_okay=False)
EXIT_BROKEN, EXIT_STOPPED = 1, 4


def report_errors(command: Callable[..., Any]) -> Callable[..., Any]:
    """Report a faulty file as a one-line error instead of a traceback."""

    @wraps(command)
    def run(*args: Any, **values: Any) -> Any:
        try:
            return command(*args, **values)
        except (OSError, ValueError, KeyError) as exc:
            raise click.ClickException(f"{exc}") from exc

    return run


@click.group()
def lab() -> None:
    """Run experiments: from a plan in TOML to a table and a report."""


@lab.command()
@click.argument("plan", type=FILE)
@click.option(
    "--out", type=FILE, required=True, help="The table to write (CSV); its record is written beside it."
)
@click.option("--processes", type=click.IntRange(1, 256), default=os.cpu_count() or 1, show_default=True)
def run(plan: Path, out: Path, processes: int) -> None:
    """Play every day of PLAN (TOML, or the record of an earlier run) and write one row each.

    Exits with 1 if a promise was broken, with 4 if a signal, a disk error or a dead worker stopped it.
    """
    from springspread.experiments.plan import read_plan
    from springspread.experiments.pool import (
        RunInterruptedError,
        WorkerDiedError,
        run_plan,
        stop_on_signal,
    )
    from springspread.experiments.run import Table
    from springspread.validation import PlanError

    try:
        read = read_plan(plan)
    except PlanError as exc:
        raise click.ClickException(str(exc)) from exc
    days, done, broken, seconds, stopped = sum(1 for _ in read.runs()), 0, 0, 0.0, ""
    table: Table | None = None
    with stop_on_signal() as stop:
        try:
            table = Table(out, read)
            with (
                closing(run_plan(read, processes, stop)) as results,
                click.progressbar(results, days, label=read.name, file=sys.stderr, show_pos=True) as progress,
            ):
                for row, took in progress:
                    table.add(row)
                    done, broken, seconds = done + 1, broken + bool(row["faults"]), seconds + took
        except RunInterruptedError:
            stopped = "interrupted"
        except WorkerDiedError as exc:
            stopped = str(exc)
        except OSError as exc:
            stopped = f"the table takes no more: {exc}"
        try:
            if table is not None:
                table.close()
        except OSError as exc:
            stopped = stopped or f"the table takes no more: {exc}"
            click.echo(f"the rows written so far are in {table.partial_path if table else out}", err=True)
    mean = f", {seconds / done:.2f} s each on average" if done else ""
    click.echo(f"{done} of {days} days{mean}, {broken} with broken promises: {out}")
    if stopped:
        click.echo(f"stopped early, {stopped}", err=True)
    sys.exit(EXIT_STOPPED if stopped else EXIT_BROKEN if broken else 0)


@lab.command()
@click.argument("table", type=FILE)
@click.option(
    "--out", type=click.Path(path_type=Path, file_okay=False), required=True, help="The folder to write to."
)
@report_errors
def report(table: Path, out: Path) -> None:
    """Write the report of TABLE: Markdown, CSV, a chart as SVG and PNG, and one HTML page."""
    from springspread.experiments.report import write_report

    for path in write_report(table, out):
        click.echo(str(path))


@lab.command()
@click.argument("ours", type=FILE)
@click.argument("theirs", type=FILE, required=False)
@click.option("--arms", nargs=2, metavar="A B", help="Compare two arms of one table instead of two tables.")
@click.option("--measure", default="service", show_default=True)
@click.option("--where", "wheres", multiple=True, metavar="COLUMN=VALUE", help="Only rows with this value.")
@report_errors
def compare(
    ours: Path, theirs: Path | None, arms: tuple[str, str] | None, measure: str, wheres: tuple[str, ...]
) -> None:
    """Print how much THEIRS (or arm B) exceeds OURS (or arm A) in a measure, on average over the same days.

    Days are paired by seed and knobs; the 95 % confidence interval is Student's.
    """
    from springspread.experiments.compare import paired_difference
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
    difference = paired_difference(left, right, measure)
    word = "significant" if difference.significant else "not significant"
    click.echo(
        f"{measure}: {difference.mean:+.4f} ± {difference.margin:.4f} over {difference.count} days ({word})"
    )


@lab.command()
@click.argument("logs", type=click.Path(path_type=Path, file_okay=False, exists=True))
@click.option("--span", type=click.FloatRange(0.1, 3600.0), default=1.0, show_default=True, help="Seconds.")
@click.option("--whole", is_flag=True, help="One line for the whole period.")
@report_errors
def tally(logs: Path, span: float, whole: bool) -> None:
    """Count what a fleet's senders did, by destination and time span, from their logs (level debug) in LOGS.

    CSV; destination -1 is discovery. `limit` is in calls per second, `left` the mean share reported as left.
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
        left = f"{cell.left_sum / cell.limit_reports:.3f}" if cell.limit_reports else ""
        click.echo(",".join((str(group), f"{number * span:g}", *counted, f"{cell.limit:g}", left)))
