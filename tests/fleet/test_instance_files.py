"""What the daemon reads in an instance's files."""

from __future__ import annotations

import json
from pathlib import Path

from springspread.fleet.instance_files import listen_address


def log_ready(folder: Path, **values: object) -> None:
    with (folder / "log").open("a") as log:
        log.write(json.dumps({"event": "ready", **values}) + "\n")


def test_address_of_an_earlier_process_with_the_same_process_id_is_not_taken(tmp_path: Path) -> None:
    """It was recorded for the new process until that one ended, and clients were sent there."""
    log_ready(tmp_path, listen="127.0.0.1:4001", pid=77, epoch=1)
    assert listen_address(tmp_path, 77, 1) == "127.0.0.1:4001"
    assert listen_address(tmp_path, 77, 2) == ""
    assert listen_address(tmp_path, 78, 1) == ""
    log_ready(tmp_path, listen="127.0.0.1:4002", pid=77, epoch=2)
    assert listen_address(tmp_path, 77, 2) == "127.0.0.1:4002"


def test_address_in_the_ready_line_of_an_older_version_is_read(tmp_path: Path) -> None:
    log_ready(tmp_path, listen="127.0.0.1:4001", pid=77)
    assert listen_address(tmp_path, 77, 1) == "127.0.0.1:4001"
