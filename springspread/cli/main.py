"""The commands. What each needs is imported as it runs: the sender loads nothing of the town or the lab."""

from __future__ import annotations

import json
import os
import sys
import tempfile
from dataclasses import asdict
from pathlib import Path

import click

FILE = click.Path(path_type=Path, dir_okay=False)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """Carries messages to outside partners by the best of their routes, and owes each its end."""


@cli.command()
@click.option("--config", type=FILE, envvar="RELAY_CONFIG", required=True, help="The configuration (JSON).")
def serve(config: Path) -> None:
    """Run one sender in the foreground."""
    os.environ["RELAY_CONFIG"] = str(config)
    os.execv(sys.executable, [sys.executable, "-m", "springspread"])


@cli.group()
def town() -> None:
    """Play days in the model of the outside world, in virtual time."""


@town.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--senders", type=click.IntRange(1, 500), default=3, show_default=True)
@click.option("--partners", type=click.IntRange(1, 5000), default=10, show_default=True)
@click.option("--per-s", type=click.FloatRange(0.1, 2000), default=30.0, show_default=True)
@click.option("--load", type=click.FloatRange(0.01, 10), default=0.7, show_default=True)
@click.option("--seconds", type=click.FloatRange(1, 3600), default=60.0, show_default=True)
@click.option("--troubles", type=click.IntRange(0), default=0, show_default=True)
@click.option("--drains", type=click.IntRange(0), default=0, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of lines.")
def play(
    seed: int,
    senders: int,
    partners: int,
    per_s: float,
    load: float,
    seconds: float,
    troubles: int,
    drains: int,
    as_json: bool,
) -> None:
    """Play one day and judge it. Exits with 1 where a promise was broken."""
    from springspread.town.day import draw
    from springspread.town.virtual import Town

    day = draw(
        seed,
        senders=senders,
        partners=partners,
        per_s=per_s,
        load=load,
        length_ms=1000 * seconds,
        troubles=troubles,
        drains=drains,
    )
    with tempfile.TemporaryDirectory(prefix="springspread-town-") as folder:
        checker = Town(day, Path(folder)).play().checker
    tally = checker.tally
    if as_json:
        faults = [asdict(fault) for fault in checker.faults]
        told = {**asdict(tally), "service": tally.service, "faults": faults, "digest": checker.digest}
        click.echo(json.dumps(told))
    else:
        click.echo(f"service {tally.service:.4f} of {tally.messages} messages, in {tally.calls} calls")
        for name, (asked, kept) in sorted(tally.by_class.items()):
            click.echo(f"  {name:16} {kept / asked:.4f}")
        click.echo(f"delivered {tally.delivered}, refused {tally.refused}, failed {tally.failed}")
        for fault in checker.faults:
            click.echo(f"BROKEN {fault.rule} at {fault.at:.0f} ms, {fault.sender}: {fault.text}")
    sys.exit(bool(checker.faults))


@cli.command()
@click.option("--seconds", type=click.FloatRange(5, 600), default=30.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
def demo(seconds: float, seed: int) -> None:
    """Play a small town with troubles against a real sender. Exits with 0 only if every promise held.

    1: a promise was broken. 3: the machine was too busy for the run to say anything.
    """
    from springspread.town.checker import Tally
    from springspread.town.day import draw
    from springspread.town.sockets import SocketTown

    def line(at: float, tally: Tally) -> None:
        click.echo(
            f"{at / 1000:6.0f} {tally.messages:9} {tally.delivered:9} {tally.refused:8} {tally.failed:7}"
            f" {tally.calls:7} {tally.service:8.3f}"
        )

    day = draw(seed, senders=1, length_ms=1000 * seconds, troubles=3, drains=2)
    click.echo("     s  handed in delivered  refused  failed   calls  service so far")
    with tempfile.TemporaryDirectory(prefix="springspread-demo-") as folder:
        town = SocketTown(day, Path(folder))
        try:
            live = town.play(line)
        finally:
            town.close()
    for fault in live.checker.faults:
        click.echo(f"BROKEN {fault.rule} at {fault.at:.0f} ms, {fault.sender}: {fault.text}")
    most = f"the town itself was late by {live.late_ms[0]:.0f} ms (99 %), {live.late_ms[1]:.0f} ms at most"
    held = "every promise held" if not live.checker.faults else f"{len(live.checker.faults)} broken promises"
    click.echo(f"{held}; service {live.checker.tally.service:.3f}; {most}")
    sys.exit(1 if live.checker.faults else 0 if live.valid else 3)


@cli.group()
def lab() -> None:
    """Run experiments: a plan in TOML, its table, its charts."""


@lab.command()
@click.argument("plan", type=FILE)
@click.option("--out", type=FILE, required=True, help="The table to write (CSV).")
@click.option("--processes", type=click.IntRange(1, 256), default=os.cpu_count() or 1, show_default=True)
def run(plan: Path, out: Path, processes: int) -> None:
    """Play every day of PLAN and write one row each."""
    from springspread.lab.plan import PlanError, read_plan
    from springspread.lab.run import run_plan, write_rows

    try:
        read = read_plan(plan)
    except PlanError as exc:
        raise click.ClickException(str(exc)) from exc
    done = list(run_plan(read, processes))
    write_rows(out, (row for row, _ in done))
    broken = sum(bool(row["faults"]) for row, _ in done)
    mean = sum(took for _, took in done) / len(done)
    click.echo(f"{len(done)} days, {mean:.2f} s each in the mean, {broken} with broken promises: {out}")
    sys.exit(bool(broken))


@lab.command()
@click.argument("table", type=FILE)
@click.option("--by", required=True, help="The knob on the x axis.")
@click.option("--out", type=FILE, required=True, help="The picture to write (PNG).")
def chart(table: Path, by: str, out: Path) -> None:
    """Draw service by a knob from TABLE."""
    from springspread.lab.plan import KNOBS
    from springspread.lab.run import read_rows

    if by not in KNOBS:
        raise click.ClickException(f"--by: no such knob: {by}; there are {', '.join(KNOBS)}")
    try:
        from springspread.lab.chart import draw_chart
    except ImportError as exc:
        raise click.ClickException("charts need matplotlib: pip install -r requirements-lab.txt") from exc
    draw_chart(read_rows(table), by, out)
    click.echo(str(out))
