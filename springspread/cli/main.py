"""The commands. Each imports what it needs when it runs: a sender loads no simulator and no experiments."""

from __future__ import annotations

import json
import os
import sys
import tempfile
from pathlib import Path

import click

from springspread.cli.fleet import fleet
from springspread.cli.journal import journal
from springspread.cli.lab import lab
from springspread.cli.town import town

FILE = click.Path(path_type=Path, dir_okay=False)
LEVELS = ("debug", "info", "warning", "error")
EXITS = """
\b
Exit codes:
  0  success
  1  a promise was broken, or a named file is faulty
  2  a faulty option, an unusable configuration, or a fleet's file that exceeds a size limit
  3  the machine was too busy for a valid run
  4  stopped early; finished work is kept
  5  a policy was refused and is in force nowhere
  6  a policy is not decided, or not in force, within the time
"""


@click.group(context_settings={"help_option_names": ["-h", "--help"]}, epilog=EXITS)
def cli() -> None:
    """Deliver messages to outside partners over the best of their routes, and report each outcome."""


cli.add_command(town)
cli.add_command(lab)
cli.add_command(journal)
cli.add_command(fleet)


@cli.command()
@click.option("--config", type=FILE, envvar="RELAY_CONFIG", required=True, help="The configuration (JSON).")
@click.option("--log-level", type=click.Choice(LEVELS), default="info", show_default=True)
@click.option("--log-format", type=click.Choice(["json", "text"]), default="json", show_default=True)
def serve(config: Path, log_level: str, log_format: str) -> None:
    """Run one sender in the foreground."""
    environment = {"RELAY_CONFIG": str(config), "RELAY_LOG_LEVEL": log_level, "RELAY_LOG_FORMAT": log_format}
    os.execve(sys.executable, [sys.executable, "-m", "springspread"], {**os.environ, **environment})


@cli.command()
@click.argument("config", type=FILE)
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of lines.")
def check(config: Path, as_json: bool) -> None:
    """Check a sender's complete configuration without starting it. Exits with 2 if it is unusable."""
    from springspread.__main__ import known_list
    from springspread.config import ConfigError, load

    try:
        loaded = load({**os.environ, "RELAY_CONFIG": str(config)})
        known = known_list(loaded)
    except ConfigError as exc:
        click.echo(json.dumps({"usable": False, "fault": str(exc)}) if as_json else f"{config}: {exc}")
        sys.exit(2)
    summary = {
        "usable": True,
        "name": loaded.name,
        "listen": f"{loaded.listen[0]}:{loaded.listen[1]}",
        "discovery": f"{loaded.discovery[0]}:{loaded.discovery[1]}",
        "classes": len(loaded.settings.classes),
        "slots": loaded.settings.slots,
        "endpoints": len(known.members),
    }
    if as_json:
        click.echo(json.dumps(summary))
    else:
        click.echo(f"{config}: usable")
        for key, value in list(summary.items())[1:]:
            click.echo(f"  {key:10} {value}")


@cli.command()
@click.option("--seconds", type=click.FloatRange(5, 600), default=30.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--fleet", "instances", type=click.IntRange(2, 50), help="Run a fleet of this many instances.")
def demo(seconds: float, seed: int, instances: int | None) -> None:
    """Play a small town with troubles against a real sender. Exits with 0 only if every promise held.

    With --fleet: run a real daemon and its instances under faults, and change their policy repeatedly.

    1: a promise was broken. 3: the machine was too busy for a valid run.
    """
    if instances is not None:
        from springspread.cli.demo import fleet_demo

        sys.exit(fleet_demo(instances, seconds, seed))
    from springspread.cli.live import LiveDisplay
    from springspread.simulator.day import draw
    from springspread.simulator.sockets import SocketSimulation

    day = draw(seed, senders=1, length_ms=1000 * seconds, troubles=3, drains=2)
    with tempfile.TemporaryDirectory(prefix="springspread-demo-") as folder:
        town = SocketSimulation(day, Path(folder))
        try:
            live = town.play(LiveDisplay().show)
        finally:
            town.close()
    for fault in live.checker.faults:
        click.echo(f"BROKEN {fault.rule} at {fault.at:.0f} ms, {fault.sender}: {fault.text}")
    lateness = f"simulator late by {live.late_ms[0]:.0f} ms (99 %), at most {live.late_ms[1]:.0f} ms"
    outcome = (
        "every promise held" if not live.checker.faults else f"{len(live.checker.faults)} broken promises"
    )
    click.echo(f"{outcome}; service {live.checker.tally.service:.3f}; {lateness}")
    sys.exit(1 if live.checker.faults else 0 if live.valid else 3)
