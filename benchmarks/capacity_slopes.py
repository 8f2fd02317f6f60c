"""Measure the cost of each role of a fleet by size, and fit slope, intercept and residual.

    python -m benchmarks.capacity_slopes [--only ROLE ...] [--measure NAME ...] [--quick]
        [--label before|after] [--folder docs/data/capacity]

Each size runs in its own process. Rows go to ``ROLE.csv`` and fits to ``fits.csv`` in the folder; rows of
other measurements and of the other label are kept. ``--quick`` measures only the small sizes.
"""

from __future__ import annotations

import argparse
import time
from pathlib import Path

from benchmarks.capacity.fit import fit_rows, write_fits
from benchmarks.capacity.measurement import ROLES, measurements_of, run
from benchmarks.capacity.rows import commit, machine, merge_rows, read_rows, write_rows

FOLDER = Path("docs/data/capacity")


def measure_role(role: str, names: list[str], quick: bool, label: str, folder: Path) -> None:
    """Measure a role, writing its table after each measurement so that an interrupted run keeps its rows."""
    path, host, revision = folder / f"{role}.csv", machine(), commit()
    for measurement in measurements_of(role):
        if names and measurement.name not in names:
            continue
        start, rows = time.monotonic(), []
        for size in measurement.quick_sizes if quick else measurement.sizes:
            rows += run(role, measurement, size, revision, host, label)
        write_rows(path, merge_rows(read_rows(path), rows))
        print(f"{role} {measurement.name}: {time.monotonic() - start:.1f} s", flush=True)
        for row in rows:
            print(f"  {row.what} at {row.size:g}: {row.value} {row.unit}", flush=True)


def fit_all(folder: Path) -> None:
    """Fit every table in the folder."""
    write_fits(
        folder / "fits.csv",
        [fit for role in ROLES for fit in fit_rows(role, read_rows(folder / f"{role}.csv"))],
    )


def main() -> None:
    """Measure the selected roles and fit all tables."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--only", choices=ROLES, nargs="+", default=list(ROLES))
    parser.add_argument("--measure", nargs="+", default=[])
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--label", choices=("before", "after"), default="before")
    parser.add_argument("--folder", type=Path, default=FOLDER)
    args = parser.parse_args()
    args.folder.mkdir(parents=True, exist_ok=True)
    for role in args.only:
        measure_role(role, args.measure, args.quick, args.label, args.folder)
    fit_all(args.folder)


if __name__ == "__main__":
    main()
