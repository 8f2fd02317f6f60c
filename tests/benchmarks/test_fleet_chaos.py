"""The deaths that the chaos measurement draws."""

from __future__ import annotations

import pytest

from benchmarks.fleet_chaos import draw_deaths


@pytest.mark.parametrize("senders", [1, 2, 5, 50])
@pytest.mark.parametrize("seed", range(5))
def test_no_sender_dies_while_it_is_away_also_where_all_are_away_at_once(seed: int, senders: int) -> None:
    """Guards against a choice among no senders, which ended the measurement with an error."""
    deaths = draw_deaths(seed, senders, length_ms=60_000.0, each_ms=500.0)
    assert deaths and all(death.at < 45_000.0 for death in deaths)
    back_at = dict.fromkeys(range(senders), 0.0)
    for death in deaths:
        assert death.at >= back_at[death.sender]
        back_at[death.sender] = death.back_at
