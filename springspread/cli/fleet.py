"""``springspread fleet``: run and control a fleet of instances."""

from __future__ import annotations

import json
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

import click

if TYPE_CHECKING:
    from springspread.fleet.plan import FleetPlan
    from springspread.rollout.document import Policy
    from springspread.validation import PlanError

FILE = click.Path(path_type=Path, dir_okay=False)
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@click.group()
def fleet() -> None:
    """Run many instances under one set of limits. FILE is the fleet's operator file (TOML)."""


class FileTooLargeError(click.ClickException):
    """A file that exceeds a size limit."""

    exit_code = 2


def _plan(file: Path) -> FleetPlan:
    from springspread.fleet.plan import read_fleet
    from springspread.validation import PlanError

    try:
        return read_fleet(file)
    except PlanError as exc:
        raise _click_error(exc) from exc


def _click_error(exc: PlanError) -> click.ClickException:
    from springspread.fleet.plan import PlanTooLarge

    return FileTooLargeError(str(exc)) if isinstance(exc, PlanTooLarge) else click.ClickException(str(exc))


@fleet.command()
@click.argument("file", type=FILE)
def run(file: Path) -> None:
    """Run the fleet of FILE in the foreground, until SIGTERM.

    SIGTERM also stops the instances gracefully. After a SIGKILL they go on, and the next `run` adopts them.
    """
    from springspread.fleet.control_client import OrderRefused
    from springspread.fleet.daemon import Daemon
    from springspread.fleet.plan import PlanTooLarge
    from springspread.logs import make_log

    plan = _plan(file)
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    log, sink = make_log("fleet", 1000)
    try:
        daemon = Daemon(plan, log)
    except PlanTooLarge as exc:
        raise _click_error(PlanTooLarge(_with_file(file, plan, str(exc)))) from exc
    except (OrderRefused, OSError, ValueError, TypeError) as exc:
        raise click.ClickException(str(exc)) from exc
    log.info("fleet ready", control=str(plan.folder / "control"))
    signal.sigwait(STOP_SIGNALS)
    log.info("stopping")
    daemon.stop()
    sink.flush()


def _send(plan: FleetPlan, order: dict[str, Any], wait_s: float = 0.0) -> dict[str, Any]:
    from springspread.fleet.control_client import send_order

    path = plan.folder / "control"
    try:
        return send_order(path, order, wait_s)
    except (OSError, ValueError) as exc:
        raise click.ClickException(f"no daemon answers at {path}: {exc}") from exc


def _request(plan: FleetPlan, order: dict[str, Any]) -> dict[str, Any]:
    answer = _send(plan, order)
    if not answer["ok"]:
        raise click.ClickException(answer["fault"])
    return answer


def _send_and_show(file: Path, order: dict[str, Any], as_json: bool) -> None:
    answer = _request(_plan(file), order)
    if as_json:
        click.echo(json.dumps(answer["instances"]))
    else:
        _print_instances(answer["instances"])


def _print_instances(rows: list[dict[str, Any]]) -> None:
    from springspread.cli.live import columns

    headers = ("name", "want", "pid", "epoch", "listen", "up_s", "in_fleet", "deaths", "policy")
    for line in columns(headers, [[row[header] for header in headers] for row in rows]):
        click.echo(line)


JSON = click.option("--json", "as_json", is_flag=True, help="JSON instead of a table.")


@fleet.command()
@click.argument("file", type=FILE)
@JSON
def status(file: Path, as_json: bool) -> None:
    """Show the instances."""
    _send_and_show(file, {"do": "status"}, as_json)


@fleet.command()
@click.argument("file", type=FILE)
@JSON
def limits(file: Path, as_json: bool) -> None:
    """Show how many limits there are, which adaptive ones are bound, and why."""
    status = _request(_plan(file), {"do": "limits"})["limits"]
    if as_json:
        click.echo(json.dumps(status))
        return
    click.echo(f"{status['limits']} limits, {status['adaptive_bound']} adaptive ones bound")
    for key, cause in status["bound"].items():
        click.echo(f"  {key}  {cause}")


@fleet.command()
@click.argument("file", type=FILE)
@JSON
def recovery(file: Path, as_json: bool) -> None:
    """Show the progress of each instance's startup, and what it waits for."""
    from springspread.cli.live import columns

    rows = _request(_plan(file), {"do": "recovery"})["recovery"]
    if as_json:
        click.echo(json.dumps(rows))
        return
    headers = ("name", "want", "gate", "for_s", "owed", "ended", "damaged", "expected_s")
    for line in columns(
        headers, [["-" if row[header] is None else row[header] for header in headers] for row in rows]
    ):
        click.echo(line)


@fleet.command()
@click.argument("file", type=FILE)
@click.argument("count", type=int)
@JSON
def scale(file: Path, count: int, as_json: bool) -> None:
    """Set the number of instances to COUNT. Removed ones first deliver or report their pending messages."""
    _send_and_show(file, {"do": "scale", "count": count}, as_json)


@fleet.command()
@click.argument("file", type=FILE)
@click.argument("name")
@JSON
def drain(file: Path, name: str, as_json: bool) -> None:
    """Drain and remove one instance, without a replacement."""
    _send_and_show(file, {"do": "drain", "name": name}, as_json)


@fleet.command()
@click.argument("file", type=FILE)
@click.argument("name")
@JSON
def restart(file: Path, name: str, as_json: bool) -> None:
    """Stop one instance gracefully and start it again."""
    _send_and_show(file, {"do": "restart", "name": name}, as_json)


@fleet.command()
@click.argument("file", type=FILE)
@JSON
def roll(file: Path, as_json: bool) -> None:
    """Restart all instances, one at a time."""
    _send_and_show(file, {"do": "roll"}, as_json)


@fleet.group()
def policy() -> None:
    """Change the settings and limits of all instances at the same time, or of none.

    \b
    Exit codes, in addition to those of every command:
      5  refused: in force nowhere
      6  not decided, or not in force, within the time; repeat the command to learn the outcome
    """


def _read_policy(file: Path, plan: FleetPlan) -> Policy:
    """The policy that the files describe; raises ``PlanTooLarge`` with the file's name."""
    from springspread.fleet.plan import PlanTooLarge

    try:
        base = json.loads(plan.config.read_text())
    except OSError as exc:
        raise click.ClickException(f"{plan.config}: {exc.strerror}") from exc
    except ValueError as exc:
        raise click.ClickException(f"{plan.config}: not JSON: {exc}") from exc
    if not isinstance(base, dict):
        raise click.ClickException(f"{plan.config}: must hold an object")
    try:
        return plan.policy(base)
    except PlanTooLarge as exc:
        raise PlanTooLarge(_with_file(file, plan, str(exc))) from exc


def _with_file(file: Path, plan: FleetPlan, fault: str) -> str:
    """Prefix a fault with the file that contains its key."""
    if "settings" in fault:
        return f"{plan.config}: {fault}"
    return f"{file}: {fault}" if "limits" in fault else fault


def _propose(file: Path, plan: FleetPlan, text: str, within: float, as_json: bool) -> NoReturn:
    answer = _send(plan, {"do": "propose", "policy": text, "within": within}, within)
    if not answer["ok"]:
        answer = {"state": "refused", "version": 0, "fault": answer["fault"]}
    state, version, fault = answer["state"], answer["version"], answer["fault"]
    if state == "refused" and not as_json:
        fault = _with_file(file, plan, fault)
    _finish(state, version, fault, as_json)


def _finish(state: str, version: int, fault: str, as_json: bool) -> NoReturn:
    """Print the outcome of a proposal, and exit with its status."""
    if as_json:
        click.echo(json.dumps({"state": state, "version": version, "fault": fault}))
    elif state == "in force":
        click.echo(f"policy {version} is in force")
    elif state == "refused":
        click.echo(f"refused, in force nowhere: {fault}", err=True)
    else:
        click.echo(f"policy {version} is not in force yet; it waits for {fault}", err=True)
    sys.exit({"in force": 0, "refused": 5}.get(state, 6))


WITHIN = click.option(
    "--within", type=click.FloatRange(0.0, 600.0), default=30.0, show_default=True, help="Seconds to wait."
)


@policy.command()
@click.argument("file", type=FILE)
@WITHIN
@JSON
def propose(file: Path, within: float, as_json: bool) -> None:
    """Propose the policy of FILE and of the `config` that it names."""
    from springspread.fleet.plan import PlanTooLarge, read_fleet
    from springspread.validation import PlanError

    try:
        plan = read_fleet(file)
        text = _read_policy(file, plan).text
    except PlanTooLarge as exc:  # nothing is sent
        _finish("refused", 0, str(exc), as_json)
    except PlanError as exc:
        raise _click_error(exc) from exc
    _propose(file, plan, text, within, as_json)


@policy.command()
@click.argument("file", type=FILE)
@click.argument("version", type=int)
@WITHIN
@JSON
def back(file: Path, version: int, within: float, as_json: bool) -> None:
    """Propose the policy of VERSION again, under a new version."""
    plan = _plan(file)
    text = _request(plan, {"do": "text", "version": version})["policy"]
    _propose(file, plan, text, within, as_json)


@policy.command()
@click.argument("file", type=FILE)
@JSON
def check(file: Path, as_json: bool) -> None:
    """Show what proposing FILE would change, and who would refuse it. Changes nothing."""
    from springspread.fleet.plan import PlanTooLarge

    plan = _plan(file)
    try:
        text = _read_policy(file, plan).text
    except PlanTooLarge as exc:
        raise _click_error(exc) from exc
    answer = _request(plan, {"do": "check", "policy": text})
    if as_json:
        click.echo(
            json.dumps({key: answer[key] for key in ("usable", "fault", "changes", "refuse", "silent")})
        )
    else:
        for line in answer["changes"] or (["nothing would change"] if answer["usable"] else []):
            click.echo(line)
        daemon_refusal = {"the daemon": answer["fault"]} if answer["fault"] and not answer["refuse"] else {}
        for name, reason in {**daemon_refusal, **answer["refuse"]}.items():
            click.echo(f"would be refused by {name}: {reason}", err=True)
        if answer["silent"]:
            click.echo(f"no answer from {', '.join(answer['silent'])}", err=True)
    sys.exit(0 if answer["usable"] else 5)


@policy.command(name="status")
@click.argument("file", type=FILE)
@JSON
def policy_status(file: Path, as_json: bool) -> None:
    """Show the policy in force, a pending one, and the one that each instance acts under."""
    answer = _request(_plan(file), {"do": "policy"})
    shown = {key: answer[key] for key in ("in_force", "pending", "instances")}
    if as_json:
        click.echo(json.dumps(shown))
        return
    click.echo(
        f"policy {shown['in_force']['version']} is in force, digest {shown['in_force']['digest'][:12]}"
    )
    if shown["pending"]:
        waiting_for = ", ".join(shown["pending"]["waits_for"]) or "its start time"
        click.echo(f"policy {shown['pending']['version']} is pending; it waits for {waiting_for}")
    for name, row in shown["instances"].items():
        click.echo(f"  {name}  {row['state']}  {row['version'] or '-'}")


@policy.command()
@click.argument("file", type=FILE)
@JSON
def history(file: Path, as_json: bool) -> None:
    """Show every proposed policy, and its outcome."""
    rows = _request(_plan(file), {"do": "history"})["history"]
    if as_json:
        click.echo(json.dumps(rows))
        return
    for row in rows:
        click.echo(f"{row['version']}  {row['digest'][:12]}  {row['state']}  {row['fault']}".rstrip())
