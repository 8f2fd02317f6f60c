import pytest

from benchmarks.capacity import allocator, health, membership, policy, sender
from benchmarks.capacity.measurement import ROLES, Measurement, measurements_of

MODULES = (allocator, sender, policy, membership, health)


def all_measurements() -> list[tuple[str, Measurement]]:
    return [(role, one) for role in ROLES for one in measurements_of(role)]


def test_every_role_has_its_module() -> None:
    assert sorted(module.__name__.rpartition(".")[2] for module in MODULES) == sorted(ROLES)


@pytest.mark.parametrize(("role", "measurement"), all_measurements())
def test_each_measurement_has_enough_sizes_for_a_line(role: str, measurement: Measurement) -> None:
    assert len(set(measurement.sizes)) >= 4
    assert len(set(measurement.quick_sizes)) >= 4
    assert list(measurement.sizes) == sorted(measurement.sizes)
    assert measurement.units


def test_no_quantity_of_a_role_is_measured_twice() -> None:
    named = [(role, what) for role, one in all_measurements() for what in one.units]
    assert len(named) == len(set(named))


@pytest.mark.parametrize("name", ["coding_by_messages", "memory_by_limits", "cpu_by_limits"])
def test_a_measurement_returns_each_quantity_that_it_names(name: str) -> None:
    measurement = next(one for one in allocator.MEASUREMENTS if one.name == name)
    found = measurement.measure(10)
    assert set(found) == set(measurement.units)
    assert all(isinstance(value, float) for value in found.values())
