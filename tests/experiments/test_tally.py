"""Counts of a fleet from its senders' logs."""

from __future__ import annotations

from pathlib import Path

from click.testing import CliRunner

from springspread.cli.main import cli
from springspread.experiments.tally import tally, total
from springspread.logs import Logger, QueueLogger


def write_log(folder: Path, name: str, served: int) -> Path:
    """Write a log with the sender's own logger, and a prefix before each line."""
    path = folder / f"{name}.log"
    with path.open("w") as out:
        sink = QueueLogger(100, out, "json")
        log = Logger(sink, name, 10)
        log.debug("list request", since=0, wait_ms=5000.0)
        for n in range(served + 1):
            log.debug("call", endpoint="a", group=3, attempts=2)
            log.debug(
                "call over",
                endpoint="a",
                group=3,
                result="DELIVERED" if n < served else "REJECTED",
                took_ms=5.0,
                left=0.5,
                limit=40.0,
            )
        sink.flush()
    lines = path.read_text().splitlines()
    path.write_text("".join(f"0.1 {line}\n" for line in lines) + 'no such line\n0.2 {"sender": torn\n')
    return path


def test_calls_of_all_senders_are_counted_by_destination(tmp_path: Path) -> None:
    cells = tally([write_log(tmp_path, "n0", 3), write_log(tmp_path, "n1", 1)], 600.0)
    counts = total(cells)
    assert (counts["calls"], counts["attempts"], counts["served"], counts["refused"]) == (6, 12, 4, 2)
    assert counts["list_requests"] == 2 and {group for group, _ in cells} == {-1, 3}
    (cell,) = [cell for (group, _), cell in cells.items() if group == 3]
    assert cell.limit == 40.0 and cell.left_sum / cell.limit_reports == 0.5


def test_command_prints_a_table_and_rejects_a_folder_without_logs(tmp_path: Path) -> None:
    write_log(tmp_path, "n0", 2)
    lines = CliRunner().invoke(cli, ["lab", "tally", str(tmp_path), "--whole"]).output.splitlines()
    assert lines[0].startswith("taken,calls") and lines[1].startswith("0,3,6,2,1")
    (tmp_path / "n0.log").unlink()
    empty = CliRunner().invoke(cli, ["lab", "tally", str(tmp_path)])
    assert empty.exit_code != 0 and "no *.log" in empty.output
