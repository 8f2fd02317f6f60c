"""``springspread fleet``: run many instances as one, and give them orders."""

from __future__ import annotations

import json
import signal
import socket
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from springspread.fleet.plan import FleetPlan

FILE = click.Path(path_type=Path, dir_okay=False)
ENDS = (signal.SIGTERM, signal.SIGINT)
ANSWER_S = 5.0


@click.group()
def fleet() -> None:
    """Run many instances under one set of limits. FILE is the fleet's operator file (TOML)."""


def _plan(file: Path) -> FleetPlan:
    from springspread.fleet.plan import read_fleet
    from springspread.lab.plan import PlanError

    try:
        return read_fleet(file)
    except PlanError as exc:
        raise click.ClickException(str(exc)) from exc


@fleet.command()
@click.argument("file", type=FILE)
def run(file: Path) -> None:
    """Run the fleet of FILE in the foreground, until SIGTERM.

    SIGTERM ends the instances in order, too. SIGKILL ends nobody else: the next `run` adopts what runs.
    """
    from springspread.fleet.daemon import Daemon, Refused
    from springspread.logs import make_log

    plan = _plan(file)
    signal.pthread_sigmask(signal.SIG_BLOCK, ENDS)
    log, sink = make_log("fleet", 1000)
    try:
        daemon = Daemon(plan, log)
    except (Refused, OSError, ValueError, TypeError) as exc:
        raise click.ClickException(str(exc)) from exc
    log.info("fleet ready", control=str(plan.folder / "control"))
    signal.sigwait(ENDS)
    log.info("stopping")
    daemon.stop()
    sink.flush()


def _order(file: Path, order: dict[str, Any], as_json: bool) -> None:
    path = _plan(file).folder / "control"
    try:
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(ANSWER_S)
            sock.connect(str(path))
            sock.sendall(json.dumps(order).encode() + b"\n")
            data = b""
            while more := sock.recv(65536):
                data += more
        answer = json.loads(data)
    except (OSError, ValueError) as exc:
        raise click.ClickException(f"no daemon answers at {path}: {exc}") from exc
    if not answer["ok"]:
        raise click.ClickException(answer["fault"])
    if as_json:
        click.echo(json.dumps(answer["instances"]))
    else:
        _show(answer["instances"])


def _show(rows: list[dict[str, Any]]) -> None:
    from springspread.cli.live import columns

    heads = ("name", "want", "pid", "epoch", "listen", "up_s", "in_fleet", "deaths")
    for line in columns(heads, [[row[head] for head in heads] for row in rows]):
        click.echo(line)


JSON = click.option("--json", "as_json", is_flag=True, help="JSON in place of a table.")


@fleet.command()
@click.argument("file", type=FILE)
@JSON
def status(file: Path, as_json: bool) -> None:
    """Show the instances."""
    _order(file, {"do": "status"}, as_json)


@fleet.command()
@click.argument("file", type=FILE)
@click.argument("count", type=int)
@JSON
def scale(file: Path, count: int, as_json: bool) -> None:
    """Have COUNT instances serve. Those that leave first have what they owe delivered or told."""
    _order(file, {"do": "scale", "count": count}, as_json)


@fleet.command()
@click.argument("file", type=FILE)
@click.argument("name")
@JSON
def drain(file: Path, name: str, as_json: bool) -> None:
    """Have one instance leave; no other takes its place."""
    _order(file, {"do": "drain", "name": name}, as_json)


@fleet.command()
@click.argument("file", type=FILE)
@click.argument("name")
@JSON
def restart(file: Path, name: str, as_json: bool) -> None:
    """End one instance in order and start it again."""
    _order(file, {"do": "restart", "name": name}, as_json)


@fleet.command()
@click.argument("file", type=FILE)
@JSON
def roll(file: Path, as_json: bool) -> None:
    """Restart all instances, one after the other."""
    _order(file, {"do": "roll"}, as_json)
