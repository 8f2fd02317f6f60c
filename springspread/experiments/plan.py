"""The plan of an experiment: the days to simulate, and the arms to compare on them.

Read from TOML, or from the record of an earlier experiment. Validation reports every error with its file and
key, and suggests a known key.
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from itertools import product
from pathlib import Path
from typing import Annotated, Any

from pydantic import Field, ValidationError, field_validator, model_validator

from springspread import policy
from springspread.simulator.day import ANY, TROUBLES, Day, draw
from springspread.validation import PlanError, StrictModel, format_errors, read_toml, suggestion

MAX_RUNS = 10_000
DEFAULT_ARM = "plain"  # the arm of a plan without arms

Value = float | str
Count = Annotated[int, Field(ge=0, le=5000)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9 ._-]{0,60}$")]
CONSTANTS = {
    name: float(value)
    for name, value in vars(policy).items()
    if name.isupper() and isinstance(value, int | float) and not isinstance(value, bool)
}
"""The decision module's numeric constants, which an arm may override."""


class Knobs(StrictModel):
    """Parameters of a generated day. Times are milliseconds, rates are per second, shares are 0 to 1."""

    senders: Annotated[int, Field(ge=1, le=1000)] = 3
    partners: Annotated[int, Field(ge=1, le=5000)] = 10
    per_s: Annotated[float, Field(ge=0.1, le=2000.0)] = 30.0
    load: Annotated[float, Field(ge=0.01, le=10.0)] = 0.7
    length_ms: Annotated[float, Field(ge=1_000.0, le=3_600_000.0)] = 60_000.0
    troubles: Count = 0
    trouble: str = ANY
    drains: Count = 0
    takeovers: Count = 0
    clumps: Annotated[float, Field(ge=0.0, le=1.0)] = 0.0
    surge: Annotated[float, Field(ge=1.0, le=50.0)] = 1.0
    deaths: Annotated[int, Field(ge=0, le=100)] = 0
    directory_outages: Annotated[int, Field(ge=0, le=100)] = 0
    platform_outages: Annotated[int, Field(ge=0, le=100)] = 0
    shared: bool = False
    tight: bool = False
    skew: Annotated[float, Field(ge=0.0, le=3.0)] = 0.0
    falls: Count = 0
    killed: Annotated[float, Field(ge=0.0, le=1.0)] = 0.0

    @field_validator("trouble")
    @classmethod
    def _check_trouble(cls, trouble: str) -> str:
        if trouble not in TROUBLES:
            raise ValueError(f"must be one of {', '.join(TROUBLES)}")
        return trouble

    def day(self, seed: int) -> Day:
        """Generate the day of a seed."""
        return draw(seed, **self.model_dump())


class Arm(Knobs):
    """Overrides of the plan's base; ``module`` overrides constants of the decision module."""

    module: dict[str, float] = Field(default_factory=dict)

    @field_validator("module")
    @classmethod
    def _check_constants(cls, module: dict[str, float]) -> dict[str, float]:
        for name in module:
            if name not in CONSTANTS:
                raise ValueError(
                    f"{name}: no such constant in the decision module{suggestion(name, CONSTANTS)}"
                )
        return module


TABLE_KEYS = {"base": tuple(Knobs.model_fields), "arms": tuple(Arm.model_fields)}
"""The known keys of each table, for suggestions."""


class Plan(StrictModel):
    """An experiment: seeds, common knobs, knobs that vary, and arms to compare on the same days."""

    name: Name
    seeds: list[int] = Field(min_length=1, max_length=MAX_RUNS)
    base: Knobs = Knobs()
    vary: dict[str, list[Any]] = Field(default_factory=dict)
    arms: dict[Name, Arm] = Field(default_factory=lambda: {DEFAULT_ARM: Arm()})

    @model_validator(mode="after")
    def _check_vary(self) -> Plan:
        for key, values in self.vary.items():
            if key not in Knobs.model_fields:
                raise ValueError(f"vary.{key}: no such key{suggestion(key, Knobs.model_fields)}")
            if not values:
                raise ValueError(f"vary.{key}: must have at least one value")
            for where in [where for where, knobs in self._knob_tables() if key in knobs.model_fields_set]:
                raise ValueError(f"{where}.{key}: is also under vary")
            for n, value in enumerate(values):
                try:
                    Knobs.model_validate({key: value})
                except ValidationError as exc:
                    raise ValueError(f"vary.{key}[{n}]: {exc.errors()[0]['msg']}") from exc
        if (count := sum(1 for _ in self.runs())) > MAX_RUNS:
            raise ValueError(f"vary: {count} runs, but at most {MAX_RUNS} are allowed")
        return self

    def _knob_tables(self) -> Iterator[tuple[str, Knobs]]:
        yield "base", self.base
        yield from ((f"arms.{name}", arm) for name, arm in self.arms.items())

    def runs(self) -> Iterator[Run]:
        """Yield every combination of varied knobs, arms and seeds."""
        for values in product(*self.vary.values()):
            varied = dict(zip(self.vary, values, strict=True))
            for name, arm in self.arms.items():
                overrides = arm.model_dump(exclude_unset=True, exclude={"module"})
                knobs = Knobs(**{**self.base.model_dump(), **overrides, **varied})
                for seed in self.seeds:
                    yield Run(name, seed, knobs, arm.module)


@dataclass(frozen=True, slots=True)
class Run:
    """One day of a plan with one arm."""

    arm: str
    seed: int
    knobs: Knobs
    module: Mapping[str, float]


def read_plan(path: Path) -> Plan:
    """Read a plan from TOML or from the record of an experiment (JSON); raises ``PlanError``."""
    try:
        raw = json.loads(path.read_text()).get("plan", {}) if path.suffix == ".json" else read_toml(path)
    except OSError as exc:
        raise PlanError(f"{path}: {exc.strerror}") from exc
    except (ValueError, AttributeError) as exc:
        raise PlanError(f"{path}: cannot be read: {exc}") from exc
    try:
        return check_plan(raw)
    except PlanError as exc:
        raise PlanError("\n".join(f"{path}: {line}" for line in str(exc).splitlines())) from exc


def check_plan(raw: Mapping[str, Any]) -> Plan:
    """Validate a decoded plan; raises ``PlanError`` that lists every error."""
    try:
        return Plan.model_validate(raw)
    except ValidationError as exc:
        raise PlanError(format_errors(exc, list(Plan.model_fields), TABLE_KEYS)) from exc
