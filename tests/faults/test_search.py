import pytest

from springspread.faults.model_checker import Bounds, search
from springspread.faults.protocol_mutants import MUTANTS

SMALL = Bounds(1, moments=6, proposals=2, deaths=0, daemon_deaths=1, refusals=1)
# Found by benchmarks.rollout_search, which looks further.
DEEP = {
    "a proposal is not synced",
    "votes on anything count",
    "grants go on while it asks",
    "a generation is not synced",
}


def test_no_interleaving_breaks_a_promise() -> None:
    for bounds, running in ((Bounds(2), False), (SMALL, True)):
        found = search(bounds, max_worlds=8_000, running=running)
        assert not found.violation, found.trace
        assert found.worlds == 8_000 and found.decided > 1_000


@pytest.mark.parametrize("name", [name for name in MUTANTS if name not in DEEP])
def test_a_planted_fault_is_found(name: str) -> None:
    found = search(SMALL, MUTANTS[name], max_worlds=20_000, running=True)
    assert found.violation and found.trace
