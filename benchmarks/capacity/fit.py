"""Lines through measurements: slope, fixed part and residual, and a bend where one line does not do.

Residuals are relative to the values, so that small sizes count as much as large ones. A bend is told where
two joined lines leave less than half the residual of one line, and that one's residual exceeds
``STRAIGHT``.
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

STRAIGHT = 0.10  # a relative residual up to this is a straight line's
BEND_GAIN = 0.5
LEAST_SIZES = 4  # a slope is told from so many sizes on
LEAST_SIZES_OF_BEND = 5
LEAST_SLOPE_CHANGE = 0.25  # relative; slopes that differ by less are no bend
SMALLEST_WEIGHT = 0.02  # of the largest value: smaller values are not weighted any more


@dataclass(frozen=True, slots=True)
class Fit:
    """``value = fixed + slope * size`` up to ``bend`` (0: none), with ``slope_after`` from there on.

    ``residual`` is the root of the mean square of the relative errors.
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
        """The value at a size, from the line; one that falls is not followed beyond the sizes measured."""
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
    if residual <= STRAIGHT or len(interior) + 2 < LEAST_SIZES_OF_BEND:
        return slope, fixed, residual, 0.0, slope
    bent = [
        (*_solve([np.ones_like(sizes), sizes, np.maximum(sizes - bend, 0.0)], values), bend)
        for bend in interior
    ]
    (bent_fixed, bent_slope, change), bent_residual, bend = min(bent, key=lambda one: one[1])
    small = abs(change) < LEAST_SLOPE_CHANGE * max(abs(bent_slope), abs(bent_slope + change))
    if bent_residual > BEND_GAIN * residual or small:
        return slope, fixed, residual, 0.0, slope
    return bent_slope, bent_fixed, bent_residual, bend, bent_slope + change


def _solve(columns: Sequence[np.ndarray], values: np.ndarray) -> tuple[tuple[float, ...], float]:
    """Least squares of relative errors."""
    floor = max(SMALLEST_WEIGHT * float(np.abs(values).max()), 1e-12)
    weights = 1.0 / np.maximum(np.abs(values), floor)
    found = lsq_linear(np.stack(columns, axis=1) * weights[:, None], values * weights).x
    errors = (np.stack(columns, axis=1) @ found - values) * weights
    return tuple(float(one) for one in found), sqrt(float(np.mean(errors**2)))


def fit_rows(role: str, rows: Iterable[Row]) -> list[Fit]:
    """A line for each quantity and label that was measured at enough sizes."""
    grouped: dict[tuple[str, str], list[Row]] = {}
    for row in rows:
        grouped.setdefault((row.what, row.label), []).append(row)
    fits = []
    for (what, label), group in grouped.items():
        points = [(row.size, row.value) for row in group if not isinstance(row.value, NotMeasured)]
        sizes = {size for size, _ in points}
        if len(sizes) < LEAST_SIZES:
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
    """Write the table of all lines anew."""
    columns = [item.name for item in fields(Fit)]
    with path.open("w", newline="") as target:
        writer = csv.writer(target, lineterminator="\n")
        writer.writerow(columns)
        for fit in fits:
            values = [getattr(fit, column) for column in columns]
            writer.writerow([f"{one:.6g}" if isinstance(one, float) else one for one in values])


def read_fits(path: Path) -> list[Fit]:
    """The lines of a table; none where there is no file."""
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
