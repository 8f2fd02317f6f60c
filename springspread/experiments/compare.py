"""Statistics of tables: means with confidence intervals, and paired differences by seed.

Two arms (or two tables) are compared by pairs of days: the same seed generates the same day, so that
variation between days cancels out. Intervals are two-sided Student's t.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import inf, sqrt
from statistics import fmean, stdev

from scipy import stats

from springspread.experiments.plan import Knobs
from springspread.experiments.run import measure_value

CONFIDENCE = 0.95
Rows = Sequence[Mapping[str, str]]


@dataclass(frozen=True, slots=True)
class Mean:
    """The mean of ``count`` values and the half-width of its confidence interval (inf for a single value)."""

    count: int
    mean: float
    margin: float
    minimum: float

    @property
    def significant(self) -> bool:
        """Whether the confidence interval excludes zero."""
        return abs(self.mean) > self.margin


def mean_of(values: Sequence[float], confidence: float = CONFIDENCE) -> Mean:
    """Compute a mean with its confidence interval; raises ``ValueError`` for no values."""
    if not values:
        raise ValueError("no values")
    count = len(values)
    margin = inf
    if count > 1:
        margin = float(stats.t.ppf(0.5 + confidence / 2, count - 1)) * stdev(values) / sqrt(count)
    return Mean(count, fmean(values), margin, min(values))


def paired_difference(ours: Rows, theirs: Rows, measure: str) -> Mean:
    """Compute the mean of ``theirs`` minus ``ours`` in a measure, over paired days.

    Days are paired by seed and by the columns that vary within either side; columns that differ only between
    the sides are what is compared. Raises ``ValueError`` if no day is in both.
    """
    knobs = ("arm", *Knobs.model_fields)
    keys = ["seed", *(key for key in knobs if _varies(ours, key) or _varies(theirs, key))]
    our_values = {
        _day_key(row, keys): value for row in ours if (value := measure_value(row, measure)) is not None
    }
    their_values = {
        _day_key(row, keys): value for row in theirs if (value := measure_value(row, measure)) is not None
    }
    differences = [their_values[day] - our_values[day] for day in our_values if day in their_values]
    if not differences:
        raise ValueError(f"no day with a value of {measure} is in both")
    return mean_of(differences)


def _varies(rows: Rows, key: str) -> bool:
    return len({row[key] for row in rows}) > 1


def _day_key(row: Mapping[str, str], keys: Sequence[str]) -> tuple[str, ...]:
    return tuple(row[key] for key in keys)


def rank_correlation(ours: Sequence[float], theirs: Sequence[float]) -> float:
    """Spearman's rank correlation; raises ``ValueError`` for unequal lengths or fewer than 3 values."""
    if len(ours) != len(theirs) or len(ours) < 3:
        raise ValueError("a rank correlation needs two lists of the same length, 3 or more")
    return float(stats.spearmanr(ours, theirs).statistic)
