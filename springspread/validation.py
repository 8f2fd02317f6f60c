"""Validation of operators' TOML files: each error names its key and suggests a known one."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from difflib import get_close_matches
from pathlib import Path
from typing import Any

import rtoml
from pydantic import BaseModel, ConfigDict, ValidationError


class PlanError(Exception):
    """An invalid file; the message has a line for each error, which begins with its key."""


def read_toml(path: Path) -> dict[str, Any]:
    """Decode a file; raises ``OSError``, or ``ValueError`` with the line and column of an error."""
    return rtoml.loads(path.read_text())


class StrictModel(BaseModel):
    """A model that rejects unknown keys and does not convert types."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


def format_errors(
    exc: ValidationError, known: Sequence[str], table_keys: Mapping[str, Sequence[str]] | None = None
) -> str:
    """Format the errors, one line each, given the ``known`` top-level keys and the keys of each table."""
    return "\n".join(_format_error(dict(error), known, table_keys or {}) for error in exc.errors())


def _format_error(
    error: Mapping[str, Any], known: Sequence[str], table_keys: Mapping[str, Sequence[str]]
) -> str:
    where = ".".join(str(part) for part in error["loc"] if part != "[key]")
    if error["type"] == "value_error":
        text = str(error["ctx"]["error"])
        return f"{where}: {text}" if where else text
    if error["type"] == "extra_forbidden":
        parent, name = error["loc"][:-1], str(error["loc"][-1])
        keys = table_keys.get(str(parent[0]), ()) if parent else known
        return f"{where}: no such key{suggestion(name, keys) if keys else ''}"
    return f"{where}: {error['msg']}, not {error['input']!r}"


def suggestion(name: str, known: Sequence[str] | Mapping[str, Any]) -> str:
    """Suggest the known key closest to a wrong one, or list all of them."""
    matches = get_close_matches(name, list(known), 1)
    return f"; did you mean {matches[0]}?" if matches else f"; there are {', '.join(known)}"
