"""Variants of a site: other class names, shares, limits, deadlines and costs, each declared in a table.

    python -m benchmarks.site_variants SITE.toml [--out deploy/sites]

The sites that operators gave stay out of the repository, and so do their variants: the folder is git-ignored.
What the bench reads beside a site (names, wire, what is unlocked) is copied beside its variants.
"""

from __future__ import annotations

import argparse
import shutil
import tomllib
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

BESIDE = ("real.json", "wire.json", "unlock.txt")


@dataclass(frozen=True, slots=True)
class Change:
    """One value of a site: the table it stands in (``class.0``: the first such), its key, its new value."""

    table: str
    key: str
    value: str  # as TOML


VARIANTS: dict[str, tuple[Change, ...]] = {
    # Short deadlines, the worth in what may not be repeated, dear handshakes and probes.
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
    # Long deadlines, a wide first class, told waits, cheap handshakes, dear waste.
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


def changed(text: str, changes: tuple[Change, ...]) -> str:
    """A site's text with its changes; raises ``ValueError`` for one whose place the site does not have."""
    left = {(change.table, change.key): change.value for change in changes}
    seen: Counter[str] = Counter()
    table, lines = "", []
    for line in text.splitlines():
        if line.startswith("[["):
            name = line.strip("[] ")
            table = f"{name}.{seen[name]}"
            seen[name] += 1
        elif line.startswith("["):
            table = line.strip("[] ")
        key, equals, _ = line.partition(" = ")
        value = left.pop((table, key), None) if equals else None
        lines.append(line if value is None else f"{key} = {value}")
    if left:
        raise ValueError("no such value in the site: " + ", ".join(f"{where} {key}" for where, key in left))
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
        made = changed(text, changes)
        tomllib.loads(made)
        (args.out / f"{name}.toml").write_text(made)
        print(args.out / f"{name}.toml", f"{len(changes)} changes")
    for name in BESIDE:
        shutil.copy(args.site.parent / name, args.out / name)


if __name__ == "__main__":
    main()
