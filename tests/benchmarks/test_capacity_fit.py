from pathlib import Path

import pytest

from benchmarks.capacity.fit import fit_line, fit_rows, read_fits, write_fits
from benchmarks.capacity.rows import NotMeasured, Row, merge_rows, read_rows, value_of, write_rows

SIZES = (10.0, 30.0, 100.0, 300.0, 1_000.0, 3_000.0)


def row(size: float, value: float | NotMeasured, what: str = "cost_by_limits", label: str = "before") -> Row:
    return Row(what, size, value, "us", "abc", "a machine", label)


def test_a_straight_line_is_found_with_its_fixed_part() -> None:
    slope, fixed, residual, bend, after = fit_line([(size, 7.0 + 0.5 * size) for size in SIZES])
    assert (slope, fixed, after) == pytest.approx((0.5, 7.0, 0.5))
    assert residual < 1e-9
    assert bend == 0.0


def test_a_bend_is_found_with_its_size_and_both_slopes() -> None:
    points = [(size, 5.0 + size + 9.0 * max(size - 300.0, 0.0)) for size in SIZES]
    slope, fixed, residual, bend, after = fit_line(points)
    assert bend == 300.0
    assert (slope, after) == pytest.approx((1.0, 10.0))
    assert residual < 1e-6


def test_noise_of_some_percent_is_no_bend() -> None:
    noise = (1.03, 0.97, 1.04, 0.98, 1.02, 0.97)
    points = [(size, (2.0 + size) * off) for size, off in zip(SIZES, noise, strict=True)]
    assert fit_line(points)[3] == 0.0


def test_a_bent_line_is_extrapolated_with_the_later_slope() -> None:
    rows = [row(size, 5.0 + size + 9.0 * max(size - 300.0, 0.0)) for size in SIZES]
    (fit,) = fit_rows("allocator", rows)
    assert fit.at(10_000.0) == pytest.approx(5.0 + 10_000.0 + 9.0 * 9_700.0)
    assert fit.at(100.0) == pytest.approx(105.0)


def test_a_falling_line_is_not_extrapolated() -> None:
    (fit,) = fit_rows("allocator", [row(size, 5_000.0 - size) for size in SIZES])
    assert fit.at(1_000.0) == pytest.approx(4_000.0)
    assert fit.at(1e6) == pytest.approx(2_000.0)


def test_no_line_is_fitted_to_fewer_than_four_sizes() -> None:
    assert fit_rows("allocator", [row(size, size) for size in SIZES[:3]]) == []
    assert len(fit_rows("allocator", [row(size, size) for size in SIZES[:4]])) == 1


def test_a_missing_value_never_becomes_a_number(tmp_path: Path) -> None:
    rows = [row(size, size) for size in SIZES[:3]] + [row(1e6, NotMeasured("the reader refuses it, at once"))]
    write_rows(tmp_path / "allocator.csv", rows)
    again = read_rows(tmp_path / "allocator.csv")
    assert again == rows
    assert fit_rows("allocator", again) == []  # the fourth size has no value
    with pytest.raises(ValueError):
        value_of("unknown")


def test_labels_are_fitted_separately() -> None:
    rows = [row(size, size) for size in SIZES] + [row(size, 3.0 * size, label="after") for size in SIZES]
    assert {fit.label: round(fit.slope, 6) for fit in fit_rows("allocator", rows)} == {
        "before": 1.0,
        "after": 3.0,
    }


def test_new_rows_replace_those_of_the_same_quantity_and_label() -> None:
    old = [row(1.0, 1.0), row(2.0, 2.0, label="after"), row(3.0, 3.0, what="other")]
    new = [row(9.0, 9.0)]
    assert merge_rows(old, new) == [old[1], old[2], new[0]]


def test_lines_are_read_as_they_were_written(tmp_path: Path) -> None:
    fits = fit_rows("allocator", [row(size, 7.0 + 0.5 * size) for size in SIZES])
    write_fits(tmp_path / "fits.csv", fits)
    (again,) = read_fits(tmp_path / "fits.csv")
    assert again.at(1e5) == pytest.approx(fits[0].at(1e5), rel=1e-4)
