"""The commands. What each needs is imported as it runs: the sender loads nothing of the town or the lab."""

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
  0  all went well
  1  a promise was broken, or a file that was named is faulty
  2  a faulty option, a configuration that can't be used, or a fleet's file over a bound of its size
  3  the machine was too busy for a run to say anything
  4  stopped early; what was done is kept
  5  a policy was refused and is in force nowhere
  6  a policy is not decided, or not in force, within the time
"""


@click.group(context_settings={"help_option_names": ["-h", "--help"]}, epilog=EXITS)
def cli() -> None:
    """Carries messages to outside partners by the best of their routes, and owes each its end."""


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
    told = {"RELAY_CONFIG": str(config), "RELAY_LOG_LEVEL": log_level, "RELAY_LOG_FORMAT": log_format}
    os.execve(sys.executable, [sys.executable, "-m", "springspread"], {**os.environ, **told})


@cli.command()
@click.argument("config", type=FILE)
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of lines.")
def check(config: Path, as_json: bool) -> None:
    """Check a sender's configuration, whole, without starting it. Exits with 2 where it can't be used."""
    from springspread.__main__ import known_list
    from springspread.config import ConfigError, load

    try:
        read = load({**os.environ, "RELAY_CONFIG": str(config)})
        known = known_list(read)
    except ConfigError as exc:
        click.echo(json.dumps({"usable": False, "fault": str(exc)}) if as_json else f"{config}: {exc}")
        sys.exit(2)
    told = {
        "usable": True,
        "name": read.name,
        "listen": f"{read.listen[0]}:{read.listen[1]}",
        "discovery": f"{read.discovery[0]}:{read.discovery[1]}",
        "classes": len(read.settings.classes),
        "slots": read.settings.slots,
        "endpoints": len(known.members),
    }
    if as_json:
        click.echo(json.dumps(told))
    else:
        click.echo(f"{config}: usable")
        for key, value in list(told.items())[1:]:
            click.echo(f"  {key:10} {value}")


@cli.command()
@click.option("--seconds", type=click.FloatRange(5, 600), default=30.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--fleet", "instances", type=click.IntRange(2, 50), help="A fleet of so many, and its policy.")
def demo(seconds: float, seed: int, instances: int | None) -> None:
    """Play a small town with troubles against a real sender. Exits with 0 only if every promise held.

    With --fleet: a real daemon and its instances under faults, with one change of policy after the other.

    1: a promise was broken. 3: the machine was too busy for the run to say anything.
    """
    if instances is not None:
        from springspread.cli.demo import fleet_demo

        sys.exit(fleet_demo(instances, seconds, seed))
    from springspread.cli.live import Watching
    from springspread.simulator.day import draw
    from springspread.simulator.sockets import SocketTown

    day = draw(seed, senders=1, length_ms=1000 * seconds, troubles=3, drains=2)
    with tempfile.TemporaryDirectory(prefix="springspread-demo-") as folder:
        town = SocketTown(day, Path(folder))
        try:
            live = town.play(Watching().show)
        finally:
            town.close()
    for fault in live.checker.faults:
        click.echo(f"BROKEN {fault.rule} at {fault.at:.0f} ms, {fault.sender}: {fault.text}")
    most = f"the town itself was late by {live.late_ms[0]:.0f} ms (99 %), {live.late_ms[1]:.0f} ms at most"
    held = "every promise held" if not live.checker.faults else f"{len(live.checker.faults)} broken promises"
    click.echo(f"{held}; service {live.checker.tally.service:.3f}; {most}")
    sys.exit(1 if live.checker.faults else 0 if live.valid else 3)
