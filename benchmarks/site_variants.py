"""Variants of a site with other class names, shares, limits, deadlines and costs.

    python -m benchmarks.site_variants SITE.toml [--out deploy/sites]

Operators' sites are not in the repository, and neither are their variants: the folder is git-ignored. The
files that the bench reads beside a site are copied beside its variants.
"""

from __future__ import annotations

import argparse
import shutil
import tomllib
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

COMPANION_FILES = ("real.json", "wire.json", "unlock.txt")


@dataclass(frozen=True, slots=True)
class Change:
    """A new value for a key of a table of the site (``class.0``: the first ``class`` table)."""

    table: str
    key: str
    value: str  # as TOML


VARIANTS: dict[str, tuple[Change, ...]] = {
    # Short deadlines, most worth in the unsafe class, expensive handshakes and probes.
    "variant-a": (
        Change("", "name", '"variant-a"'),
        Change("class.0", "name", '"stock-level"'),
        Change("class.0", "share", "[0.28, 0.4]"),
        Change("class.0", "aim_ms", "700"),
        Change("class.0", "deadline_ms", "4500"),
        Change("class.1", "name", '"purchase-order"'),
        Change("class.1", "share", "[0.6, 0.72]"),
        Change("class.1", "aim_ms", "2500"),
        Change("class.1", "deadline_ms", "15000"),
        Change("class.1", "worth", "3"),
        Change("fam.kind.0", "headroom", "[1.2, 2.2]"),
        Change("fam.kind.1", "headroom", "[0.9, 1.7]"),
        Change("prices", "handshake", "0.07"),
        Change("prices", "probe", "0.03"),
        Change("prices", "waste", "0.1"),
        Change("fam", "zone_fee", "[0, 0.06]"),
    ),
    # Long deadlines, a large first class, announced waits, cheap handshakes, expensive waste.
    "variant-b": (
        Change("", "name", '"variant-b"'),
        Change("class.0", "name", '"meter-reading"'),
        Change("class.0", "share", "[0.66, 0.8]"),
        Change("class.0", "aim_ms", "1600"),
        Change("class.0", "deadline_ms", "12000"),
        Change("class.0", "worth", "2"),
        Change("class.1", "name", '"direct-debit"'),
        Change("class.1", "share", "[0.2, 0.34]"),
        Change("class.1", "aim_ms", "6000"),
        Change("class.1", "deadline_ms", "40000"),
        Change("class.1", "worth", "5"),
        Change("fam.kind.0", "tells_wait", "0.6"),
        Change("fam.kind.0", "headroom", "[1.6, 3.2]"),
        Change("fam.kind.2", "headroom", "[1.1, 1.6]"),
        Change("prices", "handshake", "0.02"),
        Change("prices", "waste", "0.22"),
        Change("allow", "max_attempts", "5"),
    ),
}


def apply_changes(text: str, changes: tuple[Change, ...]) -> str:
    """Apply changes to the text of a site; raises ``ValueError`` for a key that the site does not have."""
    remaining = {(change.table, change.key): change.value for change in changes}
    table_counts: Counter[str] = Counter()
    table, lines = "", []
    for line in text.splitlines():
        if line.startswith("[["):
            name = line.strip("[] ")
            table = f"{name}.{table_counts[name]}"
            table_counts[name] += 1
        elif line.startswith("["):
            table = line.strip("[] ")
        key, equals, _ = line.partition(" = ")
        value = remaining.pop((table, key), None) if equals else None
        lines.append(line if value is None else f"{key} = {value}")
    if remaining:
        raise ValueError(
            "no such key in the site: " + ", ".join(f"{where} {key}" for where, key in remaining)
        )
    return "\n".join(lines) + "\n"


def main() -> None:
    """Write the variants of one site."""
    parser = argparse.ArgumentParser(description="Make variants of a site for the bench.")
    parser.add_argument("site", type=Path)
    parser.add_argument("--out", type=Path, default=Path("deploy/sites"))
    args = parser.parse_args()
    args.out.mkdir(parents=True, exist_ok=True)
    text = args.site.read_text()
    for name, changes in VARIANTS.items():
        variant = apply_changes(text, changes)
        tomllib.loads(variant)
        (args.out / f"{name}.toml").write_text(variant)
        print(args.out / f"{name}.toml", f"{len(changes)} changes")
    for name in COMPANION_FILES:
        shutil.copy(args.site.parent / name, args.out / name)


if __name__ == "__main__":
    main()
