"""``springspread demo --fleet``: a fleet under faults, while its policy changes, shown as it goes."""

from __future__ import annotations

from typing import Any

import click


def fleet_demo(instances: int, seconds: float, seed: int) -> int:
    """Play it; 0 where every promise held, else 1."""
    from springspread.faults.chaos import Chaos, fleet_of
    from springspread.faults.schedule import drawn

    def show(now: float, rows: dict[str, dict[str, Any]], acts: list[str]) -> None:
        each = "  ".join(f"{name}:{row['policy'] or '-'}" for name, row in sorted(rows.items()))
        click.echo(f"{now / 1000:5.1f} s  {each}  {', '.join(acts)}".rstrip())

    click.echo("which instance acts under which policy (-: none), and what befalls whom")
    with fleet_of(Chaos, instances) as (chaos, _):
        told = chaos.play(drawn(seed, instances, 1000 * seconds, 1500.0), 1000 * seconds, show)
    for line in (*told.mixtures, *told.undone, *(f"{id}: no end" for id in sorted(told.without_end))):
        click.echo(f"BROKEN {line}")
    held = "every promise held" if told.held else "a promise was broken"
    click.echo(
        f"{held}; {len(told.in_force)} changes in force, {sum(told.refused.values())} refused; "
        f"{told.calls} calls, {len(told.handed)} messages"
    )
    return 0 if told.held else 1
