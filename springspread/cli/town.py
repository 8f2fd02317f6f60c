"""``springspread town``: simulated days of the outside world, in virtual time."""

from __future__ import annotations

import json
import sys
import tempfile
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from springspread.experiments.plan import Knobs


@click.group()
def town() -> None:
    """Simulate days of the outside world, in virtual time."""


@town.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--set", "words", multiple=True, metavar="KNOB=VALUE", help="See `town knobs`.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of lines.")
def play(seed: int, words: tuple[str, ...], as_json: bool) -> None:
    """Play one day and check the sender. Exits with 1 if a promise was broken.

    Example: springspread town play --seed 5 --set troubles=3 --set trouble=flapping --set deaths=2
    """
    from springspread.simulator.virtual import VirtualSimulation

    day = _knobs(words).day(seed)
    with tempfile.TemporaryDirectory(prefix="springspread-town-") as folder:
        checker = VirtualSimulation(day, Path(folder)).play().checker
    tally = checker.tally
    percentiles = {f"p{p:g}": checker.latency.get_value_at_percentile(p) for p in (50, 90, 99, 99.9)}
    if as_json:
        faults = [asdict(fault) for fault in checker.faults]
        totals = {**asdict(tally), "service": tally.service, "latency_ms": percentiles}
        click.echo(json.dumps({**totals, "faults": faults, "digest": checker.digest}))
    else:
        click.echo(f"service {tally.service:.4f} of {tally.messages} messages, in {tally.calls} calls")
        for name, (submitted, kept) in sorted(tally.by_class.items()):
            click.echo(f"  {name:16} {kept / submitted:.4f}")
        click.echo(f"delivered {tally.delivered}, refused {tally.refused}, failed {tally.failed}")
        click.echo(
            "latency to delivery, ms: " + ", ".join(f"{key} {value}" for key, value in percentiles.items())
        )
        for fault in checker.faults:
            click.echo(f"BROKEN {fault.rule} at {fault.at:.0f} ms, {fault.sender}: {fault.text}")
    sys.exit(bool(checker.faults))


def _knobs(words: tuple[str, ...]) -> Knobs:
    from springspread.experiments.plan import check_plan
    from springspread.validation import PlanError

    values: dict[str, object] = {}
    for word in words:
        key, equals, text = word.partition("=")
        if not equals:
            raise click.BadParameter(f"{word}: must be of the form KNOB=VALUE", param_hint="--set")
        try:
            values[key] = json.loads(text)
        except ValueError:
            values[key] = text
    try:
        return check_plan({"name": "one day", "seeds": [0], "base": values}).base
    except PlanError as exc:
        raise click.BadParameter(str(exc).replace("base.", ""), param_hint="--set") from exc


@town.command()
def knobs() -> None:
    """Print the knobs of a day, as JSON Schema."""
    from springspread.experiments.plan import Knobs

    click.echo(json.dumps(Knobs.model_json_schema(), indent=1))
