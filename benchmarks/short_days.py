"""Table of the violations on short days by seed and day, from the bench's entries in the journal.

    python -m benchmarks.short_days [--from ENTRY] [--to ENTRY] [--csv FILE]

Entries are named by their file names, from the time on; without bounds all are read. A day without violations
has no row; a seed without violations has one row that says so.
"""

from __future__ import annotations

import argparse
import json
import re
from collections.abc import Iterator
from pathlib import Path

from benchmarks.tables import write_table

COLUMNS = ("entry", "head", "site", "seed", "day", "rule", "times", "first_s", "first", "score", "gate")
RULE = re.compile(r"\s+(\w+), (\d+) times, first at ([\d.]+) s: (.*)")


def rows_of(entry: dict[str, object], name: str) -> Iterator[dict[str, object]]:
    """Yield the rows of one entry; none for other kinds of days."""
    argv = [str(word) for word in entry.get("argv") or ()]  # type: ignore[attr-defined]
    if entry.get("cmd") != "real-score" or "brink" not in argv:
        return
    seed = argv[argv.index("--seed") + 1] if "--seed" in argv else "own"
    figures = entry.get("figures") or {}
    assert isinstance(figures, dict)
    common = {
        "entry": name,
        "head": str(entry.get("head"))[:7] + ("+" if entry.get("dirty") else ""),
        "site": entry.get("site"),
        "seed": seed,
        "score": figures.get("real_score"),
        "gate": "passed" if figures.get("gate") else "failed",
    }
    day, has_violation = "", False
    for line in str(entry.get("digest")).splitlines():
        if match := RULE.match(line):
            has_violation = True
            rule, times, at, first = match.groups()
            yield {**common, "day": day, "rule": rule, "times": times, "first_s": at, "first": first}
        elif line.strip():
            day = line.split()[0]
    if not has_violation:
        yield {**common, "day": "-", "rule": "nothing broke", "times": 0, "first_s": "", "first": ""}


def main() -> None:
    """Write the table."""
    parser = argparse.ArgumentParser(description="Tabulate violations on short days.")
    parser.add_argument("--from", dest="first", default="")
    parser.add_argument("--to", dest="last", default="~")
    parser.add_argument("--csv", type=Path)
    args = parser.parse_args()
    table = []
    for path in sorted(Path("journal").glob("*.json")):
        if args.first <= path.stem <= args.last:
            table += list(rows_of(json.loads(path.read_text()), path.stem))
    for row in table:
        print(*(row[name] for name in COLUMNS[3:]), sep="  ")
    write_table(args.csv, [{name: row[name] for name in COLUMNS} for row in table])


if __name__ == "__main__":
    main()
