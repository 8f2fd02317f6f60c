"""Fits lines to measurements: slope, fixed part and residual, and a bend if one line is not enough.

Residuals are relative to the values, so that small sizes count as much as large ones. A bend is reported if
the residual of a straight line exceeds ``MAX_STRAIGHT_RESIDUAL`` and two joined lines have less than
``BEND_GAIN`` of it.
"""

from __future__ import annotations

import csv
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, fields
from math import sqrt
from pathlib import Path

import numpy as np
from scipy.optimize import lsq_linear

from benchmarks.capacity.rows import NotMeasured, Row

MAX_STRAIGHT_RESIDUAL = 0.10  # relative
BEND_GAIN = 0.5
MIN_SIZES = 4  # for a slope
MIN_SIZES_FOR_BEND = 5
MIN_SLOPE_CHANGE = 0.25  # relative
MIN_RELATIVE_VALUE = 0.02  # of the largest value; smaller values get no more weight


@dataclass(frozen=True, slots=True)
class Fit:
    """``value = fixed + slope * size`` up to ``bend`` (0: none), with ``slope_after`` beyond it.

    ``residual`` is the root mean square of the relative errors.
    """

    role: str
    what: str
    label: str
    unit: str
    slope: float
    fixed: float
    residual: float
    bend: float
    slope_after: float
    sizes: int
    smallest: float
    largest: float

    def at(self, size: float) -> float:
        """The value at a size; a falling line is not extrapolated."""
        if self.slope_after < 0.0:
            size = min(size, self.largest)
        if not self.bend or size <= self.bend:
            return self.fixed + self.slope * size
        return self.fixed + self.slope * self.bend + self.slope_after * (size - self.bend)


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float, float, float, float]:
    """``(slope, fixed, residual, bend, slope_after)`` of points ``(size, value)``; bend 0: a straight line.

    Raises ``ValueError`` for fewer than two sizes.
    """
    sizes = np.array([size for size, _ in points], dtype=float)
    values = np.array([value for _, value in points], dtype=float)
    if len(set(sizes.tolist())) < 2:
        raise ValueError("a line needs two sizes")
    (fixed, slope), residual = _solve([np.ones_like(sizes), sizes], values)
    interior = sorted(set(sizes.tolist()))[1:-1]
    if residual <= MAX_STRAIGHT_RESIDUAL or len(interior) + 2 < MIN_SIZES_FOR_BEND:
        return slope, fixed, residual, 0.0, slope
    bent = [
        (*_solve([np.ones_like(sizes), sizes, np.maximum(sizes - bend, 0.0)], values), bend)
        for bend in interior
    ]
    (bent_fixed, bent_slope, change), bent_residual, bend = min(bent, key=lambda one: one[1])
    small = abs(change) < MIN_SLOPE_CHANGE * max(abs(bent_slope), abs(bent_slope + change))
    if bent_residual > BEND_GAIN * residual or small:
        return slope, fixed, residual, 0.0, slope
    return bent_slope, bent_fixed, bent_residual, bend, bent_slope + change


def _solve(columns: Sequence[np.ndarray], values: np.ndarray) -> tuple[tuple[float, ...], float]:
    """Least squares of the relative errors."""
    floor = max(MIN_RELATIVE_VALUE * float(np.abs(values).max()), 1e-12)
    weights = 1.0 / np.maximum(np.abs(values), floor)
    solution = lsq_linear(np.stack(columns, axis=1) * weights[:, None], values * weights).x
    errors = (np.stack(columns, axis=1) @ solution - values) * weights
    return tuple(float(one) for one in solution), sqrt(float(np.mean(errors**2)))


def fit_rows(role: str, rows: Iterable[Row]) -> list[Fit]:
    """A line for each quantity and label with at least ``MIN_SIZES`` sizes."""
    grouped: dict[tuple[str, str], list[Row]] = {}
    for row in rows:
        grouped.setdefault((row.what, row.label), []).append(row)
    fits = []
    for (what, label), group in grouped.items():
        points = [(row.size, row.value) for row in group if not isinstance(row.value, NotMeasured)]
        sizes = {size for size, _ in points}
        if len(sizes) < MIN_SIZES:
            continue
        slope, fixed, residual, bend, after = fit_line(points)
        fits.append(
            Fit(
                role,
                what,
                label,
                group[0].unit,
                slope,
                fixed,
                residual,
                bend,
                after,
                len(sizes),
                min(sizes),
                max(sizes),
            )
        )
    return fits


def write_fits(path: Path, fits: Iterable[Fit]) -> None:
    """Write the table of lines."""
    columns = [item.name for item in fields(Fit)]
    with path.open("w", newline="") as target:
        writer = csv.writer(target, lineterminator="\n")
        writer.writerow(columns)
        for fit in fits:
            values = [getattr(fit, column) for column in columns]
            writer.writerow([f"{one:.6g}" if isinstance(one, float) else one for one in values])


def read_fits(path: Path) -> list[Fit]:
    """Read a table of lines; empty if there is no file."""
    if not path.exists():
        return []
    with path.open(newline="") as source:
        return [
            Fit(
                raw["role"],
                raw["what"],
                raw["label"],
                raw["unit"],
                float(raw["slope"]),
                float(raw["fixed"]),
                float(raw["residual"]),
                float(raw["bend"]),
                float(raw["slope_after"]),
                int(raw["sizes"]),
                float(raw["smallest"]),
                float(raw["largest"]),
            )
            for raw in csv.DictReader(source)
        ]
