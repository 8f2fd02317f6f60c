import pytest

from springspread.faults.model_checker import Bounds, search
from springspread.faults.protocol_mutants import MUTANTS

SMALL = Bounds(1, moments=6, proposals=2, deaths=0, daemon_deaths=1, refusals=1)
# Found by the longer searches of benchmarks.rollout_search.
NEEDS_DEEP_SEARCH = {
    "a proposal is not synced",
    "votes on anything count",
    "grants go on while it asks",
    "a generation is not synced",
}


def test_no_interleaving_violates_a_promise() -> None:
    for bounds, running in ((Bounds(2), False), (SMALL, True)):
        result = search(bounds, max_worlds=8_000, running=running)
        assert not result.violation, result.trace
        assert result.worlds == 8_000 and result.decided > 1_000


@pytest.mark.parametrize("name", [name for name in MUTANTS if name not in NEEDS_DEEP_SEARCH])
def test_mutant_is_rejected(name: str) -> None:
    result = search(SMALL, MUTANTS[name], max_worlds=20_000, running=True)
    assert result.violation and result.trace
