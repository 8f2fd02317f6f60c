"""How far a journal has been synced, in a small file beside it: so that a file that was cut off is told from
one whose last record was torn as it was written.

The mark is written after each sync and is not synced itself. One that is too old, or lost, tells less and
nothing wrong: it never says more than what was on disk.
"""

from __future__ import annotations

from struct import Struct
from zlib import crc32

from springspread.core.files import Files

NAME = "synced"
BODY = Struct("<QQ")
CHECK = Struct("<I")


def write(files: Files, number: int, size: int) -> None:
    """So many bytes of a file are on disk. Raises ``OSError``."""
    body = BODY.pack(number, size)
    files.overwrite(NAME, body + CHECK.pack(crc32(body)))


def read(files: Files) -> tuple[int, int]:
    """The file's number and its synced bytes; zeros where that is not known."""
    if NAME not in files.names():
        return 0, 0
    data = files.read(NAME)
    body = data[: BODY.size]
    if len(data) != BODY.size + CHECK.size or CHECK.unpack_from(data, BODY.size)[0] != crc32(body):
        return 0, 0
    number, size = BODY.unpack(body)
    return number, size


def forget(files: Files) -> None:
    """The journal begins anew."""
    if NAME in files.names():
        files.unlink(NAME)
