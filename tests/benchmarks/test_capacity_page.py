from dataclasses import replace
from math import inf
from pathlib import Path

import pytest

from benchmarks.capacity.budgets import COSTS, PRESENT, ROLES, Cost, breaking_fraction, full_cost
from benchmarks.capacity.fit import Fit
from benchmarks.capacity.page import (
    FULL_RUN,
    TABLE,
    TABLES,
    Figures,
    UnknownTable,
    breaking_point,
    fraction_text,
    number,
    read_figures,
    with_tables,
)
from benchmarks.capacity.rows import NotMeasured, Row, write_rows
from benchmarks.capacity.target import TARGET

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "CAPACITY.md"
FOLDER = ROOT / "docs" / "data" / "capacity"
LINE = Fit("sender", "cost_by_limits", "before", "us", 2.0, 10.0, 0.0, 0.0, 2.0, 4, 1.0, 100.0)


def cost(budget: float) -> Cost:
    return Cost(
        "sender",
        "state",
        "something",
        "limits",
        "fixed + slope x limits",
        ("sender.cost_by_limits",),
        lambda lines, fraction: lines["sender.cost_by_limits"].at(1_000.0 * fraction),
        "us",
        PRESENT,
        budget,
    )


def test_the_page_is_up_to_date() -> None:
    """If this fails, run ``python -m benchmarks.capacity_page``."""
    page = PAGE.read_text()
    assert with_tables(page, read_figures(FOLDER)) == page


def test_a_changed_measurement_changes_the_page(tmp_path: Path) -> None:
    def page_with(server_ms: float) -> str:
        rows = [
            Row("load_server_ms_by_rate", float(size), server_ms * size, "ms/s", "abc", "a machine", "before")
            for size in SIZES
        ]
        write_rows(tmp_path / "allocator.csv", rows)
        return with_tables(PAGE.read_text(), read_figures(tmp_path))

    page = page_with(1.0)
    assert with_tables(page, read_figures(tmp_path)) == page
    assert page_with(3.0) != page


def test_every_role_and_table_has_its_place_on_the_page() -> None:
    named = [match["name"] for match in TABLE.finditer(PAGE.read_text())]
    assert sorted(named) == sorted(TABLES)
    assert {role.replace(" ", "-") for role in ROLES} <= set(named)
    assert {one.role for one in COSTS} == set(ROLES)


def test_an_unknown_table_is_refused_by_name() -> None:
    with pytest.raises(UnknownTable, match="fractoins"):
        with_tables("<!-- table fractoins -->\n<!-- end of table -->", read_figures(FOLDER))


@pytest.mark.parametrize(
    ("budget", "expected"), [(110.0, 0.05), (2_010.0, 1.0), (5.0, 0.0), (4_010.0, 2.0), (1e9, inf)]
)
def test_a_budget_breaks_where_the_formula_reaches_it(budget: float, expected: float) -> None:
    found = breaking_fraction(cost(budget), {"sender.cost_by_limits": LINE})
    assert found == pytest.approx(expected, rel=1e-4)


def test_a_missing_line_gives_no_number() -> None:
    assert isinstance(full_cost(cost(1.0), {}), NotMeasured)
    found = breaking_fraction(cost(1.0), {})
    assert isinstance(found, NotMeasured)
    assert fraction_text(found) == "not measured"


def test_a_line_that_falls_below_zero_is_no_cost() -> None:
    falling = {"sender.cost_by_limits": replace(LINE, slope=-1.0, slope_after=-1.0)}
    assert isinstance(full_cost(cost(100.0), falling), NotMeasured)
    assert isinstance(breaking_fraction(cost(100.0), falling), NotMeasured)


def test_rows_before_are_not_used_for_after(tmp_path: Path) -> None:
    rows = [
        Row("cost_by_limits", float(size), 1.0 * size, "us", "abc", "a machine", "before") for size in SIZES
    ]
    write_rows(tmp_path / "sender.csv", rows)
    figures = read_figures(tmp_path)
    assert breaking_point(cost(100.0), figures, "before") == pytest.approx(0.1, rel=1e-3)
    assert isinstance(breaking_point(cost(100.0), figures, "after"), NotMeasured)


def test_a_value_of_the_hollow_fleet_replaces_the_cost_after(tmp_path: Path) -> None:
    def figures_with(run: str, value: str) -> Figures:
        head = "run,role,what,statistic,value,unit,commit,machine"
        (tmp_path / "hollow.csv").write_text(f"{head}\n{run},sender,processor,p99,{value},% of a core,a,b\n")
        return read_figures(tmp_path)

    replaced = replace(cost(100.0), hollow=("sender", "processor", "p99"))
    assert breaking_point(replaced, figures_with(f"{FULL_RUN}seed 1", "40.0"), "after") == 0.25  # of 400 ms/s
    small = figures_with("virtual calm 20/100/50 seed 1", "40.0")
    assert isinstance(breaking_point(replaced, small, "after"), NotMeasured)
    assert isinstance(
        breaking_point(replaced, figures_with(FULL_RUN, "not measured: no run"), "after"), NotMeasured
    )


def test_derived_figures_of_the_target() -> None:
    """As given with the target: 182 events/s, 33 bytes and 209 us per event, 480 us on control machines."""
    assert round(TARGET.events_per_sender) == 182
    assert round(TARGET.bytes_per_event) == 33
    assert round(TARGET.sender_us_per_event) == 209
    assert round(TARGET.machines_us_per_event) == 480
    assert round(TARGET.down) == 3_920


@pytest.mark.parametrize(
    ("value", "text"), [(1_234_567.0, "1,230,000"), (0.01234, "0.0123"), (1_000.0, "1,000"), (999.6, "1,000")]
)
def test_numbers_have_three_digits(value: float, text: str) -> None:
    assert number(value) == text


SIZES = (1, 10, 100, 1_000)
