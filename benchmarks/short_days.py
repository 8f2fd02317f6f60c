"""What broke on the short days, as the bench's entries in the journal tell it: a table by seed and day.

    python -m benchmarks.short_days [--from ENTRY] [--to ENTRY] [--csv FILE]

An entry is named as its file is, from its time on; of one that was left open all are read. A day on which
nothing broke has no row; a seed without such a day has one that says so.
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


def rows(entry: dict[str, object], name: str) -> Iterator[dict[str, object]]:
    """The rows of one entry; none where it is of other days."""
    argv = [str(word) for word in entry.get("argv") or ()]  # type: ignore[attr-defined]
    if entry.get("cmd") != "real-score" or "brink" not in argv:
        return
    seed = argv[argv.index("--seed") + 1] if "--seed" in argv else "own"
    figures = entry.get("figures") or {}
    assert isinstance(figures, dict)
    told = {
        "entry": name,
        "head": str(entry.get("head"))[:7] + ("+" if entry.get("dirty") else ""),
        "site": entry.get("site"),
        "seed": seed,
        "score": figures.get("real_score"),
        "gate": "passed" if figures.get("gate") else "failed",
    }
    day, any_broke = "", False
    for line in str(entry.get("digest")).splitlines():
        if match := RULE.match(line):
            any_broke = True
            rule, times, at, first = match.groups()
            yield {**told, "day": day, "rule": rule, "times": times, "first_s": at, "first": first}
        elif line.strip():
            day = line.split()[0]
    if not any_broke:
        yield {**told, "day": "-", "rule": "nothing broke", "times": 0, "first_s": "", "first": ""}


def main() -> None:
    """Write the table."""
    parser = argparse.ArgumentParser(description="Tell what broke on the short days.")
    parser.add_argument("--from", dest="first", default="")
    parser.add_argument("--to", dest="last", default="~")
    parser.add_argument("--csv", type=Path)
    args = parser.parse_args()
    found = []
    for path in sorted(Path("journal").glob("*.json")):
        if args.first <= path.stem <= args.last:
            found += list(rows(json.loads(path.read_text()), path.stem))
    for row in found:
        print(*(row[name] for name in COLUMNS[3:]), sep="  ")
    write_table(args.csv, [{name: row[name] for name in COLUMNS} for row in found])


if __name__ == "__main__":
    main()
