"""Operator files, checked whole: each fault names its key, and the key that was meant."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from difflib import get_close_matches
from pathlib import Path
from typing import Any

import rtoml
from pydantic import BaseModel, ConfigDict, ValidationError


class PlanError(Exception):
    """A file that can't be used; a line for each fault, which begins with its key."""


def read_toml(path: Path) -> dict[str, Any]:
    """Decode a file; raises ``OSError``, or ``ValueError`` with the line and column of a fault."""
    return rtoml.loads(path.read_text())


class StrictModel(BaseModel):
    """No unknown keys, no numbers in quotes."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


def format_errors(
    exc: ValidationError, known: Sequence[str], parts: Mapping[str, Sequence[str]] | None = None
) -> str:
    """A line for each fault; ``known`` are the keys of the file's top, ``parts`` those of its tables."""
    return "\n".join(_told(dict(fault), known, parts or {}) for fault in exc.errors())


def _told(fault: Mapping[str, Any], known: Sequence[str], parts: Mapping[str, Sequence[str]]) -> str:
    where = ".".join(str(part) for part in fault["loc"] if part != "[key]")
    if fault["type"] == "value_error":
        text = str(fault["ctx"]["error"])
        return f"{where}: {text}" if where else text
    if fault["type"] == "extra_forbidden":
        parent, name = fault["loc"][:-1], str(fault["loc"][-1])
        near = parts.get(str(parent[0]), ()) if parent else known
        return f"{where}: no such key{suggestion(name, near) if near else ''}"
    return f"{where}: {fault['msg']}, not {fault['input']!r}"


def suggestion(name: str, known: Sequence[str] | Mapping[str, Any]) -> str:
    """The key that a wrong one is nearest to, or all that there are."""
    near = get_close_matches(name, list(known), 1)
    return f"; did you mean {near[0]}?" if near else f"; there are {', '.join(known)}"
