"""Statistics of tables: means with confidence intervals, and paired differences by seed.

Two arms (or two tables) are compared day by day: the same seed draws the same day, so that what a day is like
cancels out. Intervals are Student's, two-sided.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import inf, sqrt
from statistics import fmean, stdev

from scipy import stats

from springspread.experiments.plan import Knobs
from springspread.experiments.run import number

CONFIDENCE = 0.95
Rows = Sequence[Mapping[str, str]]


@dataclass(frozen=True, slots=True)
class Mean:
    """A mean of ``count`` values, and half the width of its interval (inf where one value tells nothing)."""

    count: int
    mean: float
    half: float
    least: float

    @property
    def sure(self) -> bool:
        """Whether the interval leaves zero out."""
        return abs(self.mean) > self.half


def mean_of(values: Sequence[float], confidence: float = CONFIDENCE) -> Mean:
    """A mean with its interval; raises ``ValueError`` where there is no value."""
    if not values:
        raise ValueError("no values")
    count = len(values)
    half = inf
    if count > 1:
        half = float(stats.t.ppf(0.5 + confidence / 2, count - 1)) * stdev(values) / sqrt(count)
    return Mean(count, fmean(values), half, min(values))


def paired(ours: Rows, theirs: Rows, measure: str) -> Mean:
    """How much more of a measure ``theirs`` has than ``ours``, day by day.

    Days are matched by seed and by what varies within either side: what differs between the two alone is what
    is compared. Raises ``ValueError`` where no day is in both.
    """
    knobs = ("arm", *Knobs.model_fields)
    keys = ["seed", *(key for key in knobs if _varies(ours, key) or _varies(theirs, key))]
    before = {_day(row, keys): value for row in ours if (value := number(row, measure)) is not None}
    after = {_day(row, keys): value for row in theirs if (value := number(row, measure)) is not None}
    both = [after[day] - before[day] for day in before if day in after]
    if not both:
        raise ValueError(f"no day with a {measure} stands in both")
    return mean_of(both)


def _varies(rows: Rows, key: str) -> bool:
    return len({row[key] for row in rows}) > 1


def _day(row: Mapping[str, str], keys: Sequence[str]) -> tuple[str, ...]:
    return tuple(row[key] for key in keys)


def rank_correlation(ours: Sequence[float], theirs: Sequence[float]) -> float:
    """Spearman's, of two lists in the same order; raises ``ValueError`` for lists that can't be ranked."""
    if len(ours) != len(theirs) or len(ours) < 3:
        raise ValueError("a rank correlation needs two lists of the same length, 3 or more")
    return float(stats.spearmanr(ours, theirs).statistic)
