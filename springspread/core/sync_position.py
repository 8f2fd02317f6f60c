"""How far the journal has been synced, kept in a small file beside it.

It tells a file that lost synced data from one whose last record was torn while being written. The position
is written after each sync and is not synced itself: if it is stale or missing, truncation may go unnoticed,
but it never claims more than was on disk.
"""

from __future__ import annotations

from struct import Struct
from zlib import crc32

from springspread.core.files import Files

FILE_NAME = "synced"
POSITION = Struct("<QQ")
CHECKSUM = Struct("<I")


def write(files: Files, number: int, size: int) -> None:
    """Store that ``size`` bytes of file ``number`` are on disk. Raises ``OSError``."""
    body = POSITION.pack(number, size)
    files.overwrite(FILE_NAME, body + CHECKSUM.pack(crc32(body)))


def read(files: Files) -> tuple[int, int]:
    """The number of the synced file and how many bytes of it are synced; zeros if unknown."""
    if FILE_NAME not in files.names():
        return 0, 0
    data = files.read(FILE_NAME)
    body = data[: POSITION.size]
    if len(data) != POSITION.size + CHECKSUM.size or CHECKSUM.unpack_from(data, POSITION.size)[0] != crc32(
        body
    ):
        return 0, 0
    number, size = POSITION.unpack(body)
    return number, size


def clear(files: Files) -> None:
    """Remove the stored position."""
    if FILE_NAME in files.names():
        files.unlink(FILE_NAME)
