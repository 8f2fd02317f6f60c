"""A plan: which days an experiment plays. It is read from TOML, checked whole, and a fault names its key."""

from __future__ import annotations

import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from itertools import product
from pathlib import Path
from typing import Any

from springspread.town.day import ANY, TROUBLES, Day, draw


class PlanError(Exception):
    """A plan that can't be run; the text begins with the faulty key."""


Value = float | str


@dataclass(frozen=True, slots=True)
class Knob:
    """What a day is drawn with: its type, default, least and greatest value, or the words to choose from."""

    kind: type
    default: Value
    least: float = 0.0
    most: float = 0.0
    words: tuple[str, ...] = ()


KNOBS = {
    "senders": Knob(int, 3, 1, 500),
    "partners": Knob(int, 10, 1, 5000),
    "per_s": Knob(float, 30.0, 0.1, 2000.0),
    "load": Knob(float, 0.7, 0.01, 10.0),
    "length_ms": Knob(float, 60_000.0, 1_000.0, 3_600_000.0),
    "troubles": Knob(int, 0, 0, 5000),
    "drains": Knob(int, 0, 0, 5000),
    "trouble": Knob(str, ANY, words=TROUBLES),
}
MOST_RUNS = 10_000


@dataclass(frozen=True, slots=True)
class Run:
    """One day of a plan."""

    seed: int
    knobs: Mapping[str, Value]

    def day(self) -> Day:
        """Draw it."""
        values: dict[str, Any] = {key: KNOBS[key].kind(value) for key, value in self.knobs.items()}
        return draw(self.seed, **values)


@dataclass(frozen=True, slots=True)
class Plan:
    """An experiment: seeds, what all days share, and what varies."""

    name: str
    seeds: tuple[int, ...]
    base: Mapping[str, Value]
    vary: Mapping[str, tuple[Value, ...]]

    def runs(self) -> Iterator[Run]:
        """Every combination of what varies, with every seed."""
        for values in product(*self.vary.values()):
            knobs = {**self.base, **dict(zip(self.vary, values, strict=True))}
            for seed in self.seeds:
                yield Run(seed, knobs)


def read_plan(path: Path) -> Plan:
    """Read a plan; raises ``PlanError``."""
    try:
        return check_plan(tomllib.loads(path.read_text()))
    except OSError as exc:
        raise PlanError(f"{path}: {exc.strerror}") from exc
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        raise PlanError(f"{path}: not TOML: {exc}") from exc


def check_plan(raw: Mapping[str, Any]) -> Plan:
    """Check the decoded form."""
    for key in raw:
        if key not in ("name", "seeds", "base", "vary"):
            raise PlanError(f"{key}: no such key; there are name, seeds, base and vary")
    name, seeds = raw.get("name"), raw.get("seeds")
    if not isinstance(name, str) or not name.replace("-", "").isalnum():
        raise PlanError("name: must be a word of letters, digits and hyphens")
    if not isinstance(seeds, list) or not seeds or not all(_whole(seed) for seed in seeds):
        raise PlanError("seeds: must be a list of whole numbers, one at least")
    base = {key: _value(f"base.{key}", key, value) for key, value in _table(raw, "base").items()}
    vary: dict[str, tuple[Value, ...]] = {}
    for key, values in _table(raw, "vary").items():
        if not isinstance(values, list) or not values:
            raise PlanError(f"vary.{key}: must be a list, one value at least")
        if key in base:
            raise PlanError(f"vary.{key}: stands under base, too")
        vary[key] = tuple(_value(f"vary.{key}[{n}]", key, value) for n, value in enumerate(values))
    plan = Plan(name, tuple(seeds), base, vary)
    count = sum(1 for _ in plan.runs())
    if count > MOST_RUNS:
        raise PlanError(f"vary: {count} runs; {MOST_RUNS} at most")
    return plan


def _table(raw: Mapping[str, Any], key: str) -> Mapping[str, Any]:
    table = raw.get(key, {})
    if not isinstance(table, Mapping):
        raise PlanError(f"{key}: must be a table")
    return table


def _whole(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _value(where: str, key: str, value: object) -> Value:
    knob = KNOBS.get(key)
    if knob is None:
        raise PlanError(f"{where}: no such knob; there are {', '.join(KNOBS)}")
    if knob.words:
        if value not in knob.words:
            raise PlanError(f"{where}: must be one of {', '.join(knob.words)}: {value!r}")
        return str(value)
    if not (_whole(value) or (knob.kind is float and isinstance(value, float))):
        raise PlanError(f"{where}: must be a {'whole ' if knob.kind is int else ''}number: {value!r}")
    number = float(value)  # type: ignore[arg-type]
    if not knob.least <= number <= knob.most:
        raise PlanError(f"{where}: must be from {knob.least:g} to {knob.most:g}: {value!r}")
    return number
