import json
from pathlib import Path

from springspread.faults.virtual_fleet import Costs, VirtualFleet
from springspread.rollout.document import Policy

POLICY = Policy(json.loads(Path("deploy/sender.json").read_text())["settings"], {})


def test_a_change_of_many_takes_as_long_as_one_of_few_and_waits_for_grants_of_the_deaf() -> None:
    times = {size: VirtualFleet(size, POLICY).change() for size in (5, 100)}
    assert times[5] == times[100] == 520.0
    fleet = VirtualFleet(20, POLICY, deaf=5)
    assert fleet.acting() == {1: 20}
    assert 3_000.0 < fleet.change() <= 5_020.0
    assert fleet.acting() == {2: 15, 0: 5}


def test_votes_that_come_too_late_are_waited_for_as_grants_are() -> None:
    fleet = VirtualFleet(20, POLICY, costs=Costs(way=(200.0, 400.0)))
    assert fleet.change() > 1_000.0
    fleet.run(2_000.0)
    assert fleet.acting() == {2: 20}


def test_being_able_to_change_costs_lines_that_do_not_grow_with_the_fleet() -> None:
    each = {}
    for size in (10, 100):
        fleet = VirtualFleet(size, POLICY)
        before = fleet.traffic.lines
        fleet.run(10_000.0)
        each[size] = (fleet.traffic.lines - before) / size
    assert each[10] == each[100] == 18.0
