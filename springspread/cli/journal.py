"""``springspread journal``: inspects a sender's journal, read-only, also while the sender runs."""

from __future__ import annotations

import json
import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from springspread.core.journal import Journal
    from springspread.core.journal_records import PendingMessage

FOLDER = click.Path(path_type=Path, file_okay=False, exists=True)


@click.group()
def journal() -> None:
    """Inspect the journal in a sender's folder, without writing to it."""


def _open_journal(folder: Path) -> Journal:
    from springspread.core.peer_journal import read_journal

    try:
        return read_journal(folder)
    except FileNotFoundError:
        text = f"{folder}: the journal's files change faster than they can be read"
        raise click.ClickException(text) from None


def _describe(message: PendingMessage) -> dict[str, object]:
    deadline = datetime.fromtimestamp(message.deadline_wall / 1000.0, UTC)
    ending = None if message.ending is None else ("deferred" if message.ending[0] else "undeliverable")
    return {
        "id": message.id,
        "class": message.cls,
        "destination": message.group,
        "idempotency_key": message.idempotency_key or None,
        "deadline": deadline.isoformat(timespec="milliseconds"),
        "bytes": len(message.body),
        "attempts": message.attempts,
        "may_have_run": message.may_have_run,
        "ending": ending,
    }


@journal.command()
@click.argument("folder", type=FOLDER)
@click.option("--json", "as_json", is_flag=True, help="One JSON object per line.")
def show(folder: Path, as_json: bool) -> None:
    """List the pending messages in FOLDER."""
    opened = _open_journal(folder)
    for message in opened.pending.values():
        fields = _describe(message)
        if as_json:
            click.echo(json.dumps(fields))
        else:
            click.echo("  ".join(f"{key} {value}" for key, value in fields.items() if value is not None))
    if not as_json:
        click.echo(f"{len(opened.pending)} messages pending, {len(opened.files)} files")


@journal.command()
@click.argument("folder", type=FOLDER)
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of lines.")
def verify(folder: Path, as_json: bool) -> None:
    """Read every record in FOLDER. Exits with 1 if a file cannot be read to its end.

    The newest file may end in an incomplete record, which is being written or was when the process was
    killed: that is reported, but is not an error.
    """
    opened = _open_journal(folder)
    files: list[dict[str, object]] = []
    for n, (name, readable) in enumerate(opened.files.items(), 1):
        unread = max((folder / name).stat().st_size - readable, 0) if (folder / name).exists() else 0
        ranges = opened.damaged.get(name, [])
        entry: dict[str, object] = {"file": name, "readable": readable - sum(r.end - r.start for r in ranges)}
        entry |= {"rest": unread, "newest": n == len(opened.files)}
        entry["damaged"] = [{"from": r.start, "to": r.end, "ids": list(r.ids)} for r in ranges]
        entry["after"] = opened.possibly_run.get(name, [])
        files.append(entry)
    damaged = [entry for entry in files if entry["damaged"] or (entry["rest"] and not entry["newest"])]
    if as_json:
        click.echo(json.dumps({"files": files, "owed": len(opened.pending), "damaged": len(damaged)}))
    else:
        for entry in files:
            tail = f", {entry['rest']} bytes that cannot be read" if entry["rest"] else ""
            click.echo(f"{entry['file']}: {entry['readable']} bytes{tail}")
            for damage in opened.damaged.get(str(entry["file"]), []):
                ids = f", of {', '.join(damage.ids)}" if damage.ids else ""
                click.echo(f"  bytes {damage.start} to {damage.end} are damaged{ids}")
            for id in opened.possibly_run.get(str(entry["file"]), []):
                click.echo(f"  may have run, since a record of it may be lost: {id}")
        click.echo(f"{len(damaged)} damaged files, {len(opened.pending)} messages pending")
    sys.exit(bool(damaged))
