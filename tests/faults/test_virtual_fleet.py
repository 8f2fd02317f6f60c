import json
from pathlib import Path

from springspread.faults.virtual_fleet import Costs, VirtualFleet
from springspread.rollout.document import Policy

POLICY = Policy(json.loads(Path("deploy/sender.json").read_text())["settings"], {})


def test_change_takes_as_long_for_many_as_for_few_and_waits_for_grants_of_deaf_instances() -> None:
    times = {size: VirtualFleet(size, POLICY).change() for size in (5, 100)}
    assert times[5] == times[100] == 670.0
    fleet = VirtualFleet(20, POLICY, deaf=5)
    assert fleet.acting() == {1: 20}
    assert 3_000.0 < fleet.change() <= 5_170.0
    assert fleet.acting() == {2: 15, 0: 5}


def test_change_with_late_votes_waits_for_grants_to_expire() -> None:
    fleet = VirtualFleet(20, POLICY, costs=Costs(latency=(200.0, 400.0)))
    assert fleet.change() > 1_000.0
    fleet.run(2_000.0)
    assert fleet.acting() == {2: 20}


def test_idle_traffic_per_instance_does_not_grow_with_the_fleet() -> None:
    lines_per_instance = {}
    for size in (10, 100):
        fleet = VirtualFleet(size, POLICY)
        before = fleet.traffic.lines
        fleet.run(10_000.0)
        lines_per_instance[size] = (fleet.traffic.lines - before) / size
    assert lines_per_instance[10] == lines_per_instance[100] == 18.0
