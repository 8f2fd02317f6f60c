"""Write the tables of docs/CAPACITY.md from the tables of docs/data/capacity.

    python -m benchmarks.capacity_page [--check] [--page docs/CAPACITY.md] [--folder docs/data/capacity]

``--check`` writes nothing, and exits with 1 where the page differs from its figures.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from benchmarks.capacity.page import read_figures, with_tables

PAGE = Path("docs/CAPACITY.md")
FOLDER = Path("docs/data/capacity")


def main() -> None:
    """Update or check the page."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--check", action="store_true")
    parser.add_argument("--page", type=Path, default=PAGE)
    parser.add_argument("--folder", type=Path, default=FOLDER)
    args = parser.parse_args()
    current = args.page.read_text()
    updated = with_tables(current, read_figures(args.folder))
    if not args.check:
        args.page.write_text(updated)
    elif updated != current:
        sys.exit(f"{args.page}: differs from the figures; write it with python -m benchmarks.capacity_page")


if __name__ == "__main__":
    main()
