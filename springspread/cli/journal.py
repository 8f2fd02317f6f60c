"""``springspread journal``: what a sender's folder has on record, read-only, also beside a running sender."""

from __future__ import annotations

import json
import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from springspread.core.journal import Journal, PendingMessage

FOLDER = click.Path(path_type=Path, file_okay=False, exists=True)
TRIES = 5


@click.group()
def journal() -> None:
    """Look at what a sender's folder has on record. Nothing is written."""


def _look(folder: Path) -> Journal:
    from springspread.core.journal import Journal

    for _ in range(TRIES):
        try:
            return Journal(folder, 1 << 40, read_only=True)
        except FileNotFoundError:
            continue  # a running sender has just cleared a file away
    raise click.ClickException(f"{folder}: its files change faster than they can be read")


def _owed(owed: PendingMessage) -> dict[str, object]:
    deadline = datetime.fromtimestamp(owed.deadline_wall / 1000.0, UTC)
    ending = None if owed.ending is None else ("deferred" if owed.ending[0] else "undeliverable")
    return {
        "id": owed.id,
        "class": owed.cls,
        "destination": owed.group,
        "deadline": deadline.isoformat(timespec="milliseconds"),
        "bytes": len(owed.body),
        "attempts": owed.attempts,
        "may_have_run": owed.may_have_run,
        "ending": ending,
    }


@journal.command()
@click.argument("folder", type=FOLDER)
@click.option("--json", "as_json", is_flag=True, help="One JSON object a line.")
def show(folder: Path, as_json: bool) -> None:
    """List the messages that FOLDER's sender owes."""
    seen = _look(folder)
    for owed in seen.pending.values():
        told = _owed(owed)
        if as_json:
            click.echo(json.dumps(told))
        else:
            click.echo("  ".join(f"{key} {value}" for key, value in told.items() if value is not None))
    if not as_json:
        click.echo(f"{len(seen.pending)} messages owed, {len(seen.files)} files")


@journal.command()
@click.argument("folder", type=FOLDER)
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of lines.")
def verify(folder: Path, as_json: bool) -> None:
    """Read every record of FOLDER. Exits with 1 where a file cannot be read to its end.

    The newest file may end in a record that is being written, or was as the process was killed: that is told,
    and is no fault.
    """
    seen = _look(folder)
    files: list[dict[str, object]] = []
    for n, (name, readable) in enumerate(seen.files.items(), 1):
        rest = max((folder / name).stat().st_size - readable, 0) if (folder / name).exists() else 0
        ranges = seen.damaged.get(name, [])
        entry: dict[str, object] = {"file": name, "readable": readable - sum(r.end - r.start for r in ranges)}
        entry |= {"rest": rest, "newest": n == len(seen.files)}
        entry["damaged"] = [{"from": r.start, "to": r.end, "ids": list(r.ids)} for r in ranges]
        entry["after"] = seen.possibly_run.get(name, [])
        files.append(entry)
    damaged = [entry for entry in files if entry["damaged"] or (entry["rest"] and not entry["newest"])]
    if as_json:
        click.echo(json.dumps({"files": files, "owed": len(seen.pending), "damaged": len(damaged)}))
    else:
        for entry in files:
            tail = f", {entry['rest']} bytes that cannot be read" if entry["rest"] else ""
            click.echo(f"{entry['file']}: {entry['readable']} bytes{tail}")
            for one in seen.damaged.get(str(entry["file"]), []):
                ids = f", of {', '.join(one.ids)}" if one.ids else ""
                click.echo(f"  bytes {one.start} to {one.end} are damaged{ids}")
            for id in seen.possibly_run.get(str(entry["file"]), []):
                click.echo(f"  may have run, as a record of it may be lost: {id}")
        click.echo(f"{len(damaged)} damaged files, {len(seen.pending)} messages owed")
    sys.exit(bool(damaged))
