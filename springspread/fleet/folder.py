"""What a fleet's folder and the system say of its members: the members' file, configurations, processes.

The members' file is JSON with a checksum over its rows, written to another name, synced, and put in its
place; the folder is synced after that. A file of the version before (rows alone, no checksum) is read as it
stands.
"""

from __future__ import annotations

import json
import os
import re
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import asdict, fields
from pathlib import Path
from typing import Any
from zlib import crc32

from springspread.core.files import sync_folder
from springspread.fleet.members import Row, Want
from springspread.fleet.survey import Running

NAME = re.compile(r"n\d{3,}")
MOMENTS = ("started_at", "term_sent_at", "died_at")  # of a clock that the next daemon may not share
KEYS = {item.name for item in fields(Row)} - {*MOMENTS}


class Unusable(Exception):
    """A members' file that can't be read; the text says why."""


def read_members(path: Path) -> tuple[Row, ...] | None:
    """The rows as they were last written; ``None`` where there is no file. Raises ``Unusable``."""
    if not path.exists():
        return None
    try:
        raw = json.loads(path.read_bytes())
        if isinstance(raw, dict):
            if raw["check"] != _check(raw["rows"]):
                raise Unusable("its checksum is not that of its rows")
            raw = raw["rows"]
        return tuple(_row(one) for one in raw)
    except OSError as exc:
        raise Unusable(exc.strerror or str(exc)) from exc
    except (ValueError, KeyError, TypeError, RecursionError) as exc:
        raise Unusable(f"not a list of members: {exc!r}") from exc


def _row(raw: dict[str, Any]) -> Row:
    row = Row(**{key: value for key, value in raw.items() if key in KEYS} | {"want": Want(raw["want"])})
    if not (NAME.fullmatch(row.name) and isinstance(row.epoch, int) and isinstance(row.pid, int)):
        raise ValueError(f"not a member: {raw!r}")
    return row


def write_members(path: Path, rows: Iterable[Row]) -> None:
    """Put rows on record, synced, before what follows from them is done. Raises ``OSError``."""
    raw = [{**asdict(row), "want": row.want.value} for row in rows]
    for one in raw:
        for moment in MOMENTS:
            del one[moment]
    fresh = path.with_suffix(".new")
    with fresh.open("w") as file:
        file.write(json.dumps({"check": _check(raw), "rows": raw}))
        file.flush()
        os.fsync(file.fileno())
    fresh.replace(path)
    sync_folder(path.parent)


def _check(rows: Any) -> str:
    return f"{crc32(json.dumps(rows, sort_keys=True).encode()):08x}"


def config_epochs(folder: Path) -> dict[str, int]:
    """The epoch that each instance's configuration was last written for; 0 where it does not say."""
    made = {}
    for place in folder.iterdir():
        if NAME.fullmatch(place.name) and place.is_dir():
            made[place.name] = 0
            with suppress(OSError, ValueError, TypeError, AttributeError, KeyError):
                made[place.name] = max(int(json.loads((place / "config.json").read_bytes())["epoch"]), 0)
    return made


def running(meeting_point: Callable[[str], Path]) -> tuple[Running, ...]:
    """Processes of this fleet's instances, by what their environment says. ``meeting_point``: by name."""
    made = []
    for entry in Path("/proc").iterdir():
        if not entry.name.isdigit():
            continue
        with suppress(OSError, ValueError, KeyError, UnicodeDecodeError):  # gone meanwhile, or not ours
            pairs = (entry / "environ").read_bytes().decode().split("\0")
            env = dict(pair.split("=", 1) for pair in pairs if "=" in pair)
            name, pid = env["SPRINGSPREAD_INSTANCE"], int(entry.name)
            if (
                NAME.fullmatch(name)
                and env["SPRINGSPREAD_FLEET"] == str(meeting_point(name))
                and (start := process_start(pid))
            ):
                made.append(Running(name, int(env["SPRINGSPREAD_EPOCH"]), pid, start))
    return tuple(made)


def process_start(pid: int) -> str:
    """The moment of a process's start in the system's ticks; empty for one that is dead."""
    try:
        values = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except (FileNotFoundError, ProcessLookupError):
        return ""
    return "" if values[0] in "ZX" else values[19]
