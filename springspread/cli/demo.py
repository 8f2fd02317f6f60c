"""``springspread demo --fleet``: shows a fleet under faults while its policy changes."""

from __future__ import annotations

from typing import Any

import click


def fleet_demo(instances: int, seconds: float, seed: int) -> int:
    """Run it; returns the exit status: 0 if every promise held, else 1."""
    from springspread.faults.chaos import ChaosFleet, running_fleet
    from springspread.faults.schedule import random_schedule

    def show(now: float, rows: dict[str, dict[str, Any]], faults: list[str]) -> None:
        policies = "  ".join(f"{name}:{row['policy'] or '-'}" for name, row in sorted(rows.items()))
        click.echo(f"{now / 1000:5.1f} s  {policies}  {', '.join(faults)}".rstrip())

    click.echo("the policy that each instance acts under (-: none), and the injected faults")
    with running_fleet(ChaosFleet, instances) as (chaos, _):
        result = chaos.play(random_schedule(seed, instances, 1000 * seconds, 1500.0), 1000 * seconds, show)
    for line in (
        *result.mixtures,
        *result.contradicted,
        *(f"{id}: no outcome" for id in sorted(result.without_outcome)),
    ):
        click.echo(f"BROKEN {line}")
    outcome = "every promise held" if result.promises_kept else "a promise was broken"
    click.echo(
        f"{outcome}; {len(result.in_force)} policy changes in force, {sum(result.refused.values())} refused; "
        f"{result.calls} calls, {len(result.accepted)} messages"
    )
    return 0 if result.promises_kept else 1
