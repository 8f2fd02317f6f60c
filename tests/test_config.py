"""Configuration: reading, defaults, and errors that name the faulty key."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from typing import Any

import pytest

from springspread import config
from springspread import interface as i
from springspread.settings import flatten, parse_lines, read_settings

SETTINGS: dict[str, Any] = {
    "balancers": 2,
    "classes": [
        {
            "name": "note",
            "objectiveMs": 1000,
            "deadlineMs": 8000.0,
            "effect": "repeatable",
            "points": 1,
            "lateWorth": 0.1,
        },
        {"name": "pay", "objectiveMs": 4000, "deadlineMs": 28000, "effect": "once", "points": 2},
    ],
    "discovery": "ask",
    "feedback": {"fields": ["x0", "x1"]},
    "kinds": ["portal", "dealer"],
    "limits": {
        "attemptsCap": 8,
        "cancelling": True,
        "connIdleMs": 5000.0,
        "connectTimeoutMs": 1000.0,
        "mostHeld": 40,
        "secondCopies": True,
    },
    "rules": {"drainGraceMs": 500.0, "mustAskInMs": 10000.0},
    "specifics": {"callsOut": 6, "perCall": [5, 1], "separateRoutes": [True, False]},
    "tickMs": 5.0,
    "weightSource": "rough",
    "zones": ["a", "b"],
}


def make(folder: Path, **changes: Any) -> dict[str, Any]:
    raw = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:9",
        "state": str(folder),
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "settings": copy.deepcopy(SETTINGS),
    }
    raw.update(changes)
    return raw


def test_nested_settings_read_like_the_flat_lines() -> None:
    flat = flatten(SETTINGS)
    lines = "\n".join(f"{key}={value}" for key, value in flat.items())
    assert read_settings(parse_lines(lines)) == read_settings(flat)
    read = read_settings(flat)
    assert [spec.effect for spec in read.classes] == [i.Effect.SAFE, i.Effect.UNSAFE]
    assert read.kinds == (i.KindSpec("portal", True, 5), i.KindSpec("dealer", False, 1))
    assert (read.slots, read.max_held, read.must_ask, read.may_cancel) == (6, 40, True, True)


def test_complete_configuration_is_read(tmp_path: Path) -> None:
    read = config.read(make(tmp_path), {"RELAY_LISTEN": "127.0.0.2:8443"})
    assert read.listen == ("127.0.0.2", 8443)  # environment variables take precedence
    assert read.discovery == ("127.0.0.1", 9)
    assert read.seed == 0x8C1F30D27A5BE964
    assert read.names.report == ("x0", "x1")
    limits = read.limits
    assert limits.disk_bytes == 3_000_000
    assert limits.client_connections + limits.workers < 1024


@pytest.mark.parametrize(
    ("path", "value", "key"),
    [
        ("listen", "nowhere", "listen"),
        ("discovery", "127.0.0.1:99999", "discovery"),
        ("seed", "xyz", "seed"),
        ("settings", [], "settings"),
        ("limits.sockets", "many", "limits.sockets"),
        ("limits.memory_mb", 1, "limits.memory_mb"),
        ("settings.classes", [], "settings.classes"),
        ("settings.classes.0.objectiveMs", 0, "settings.classes.0.objectiveMs"),
        ("settings.classes.1.points", "two", "settings.classes.1.points"),
        ("settings.specifics.callsOut", 0, "settings.specifics.callsOut"),
        ("settings.limits.mostHeld", float("nan"), "settings.limits.mostHeld"),
        ("settings.rules.drainGraceMs", -1, "settings.rules.drainGraceMs"),
    ],
)
def test_an_error_names_the_faulty_key(tmp_path: Path, path: str, value: object, key: str) -> None:
    raw = make(tmp_path)
    *way, last = path.split(".")
    at: Any = raw
    for step in way:
        at = at[int(step)] if step.isdigit() else at[step]
    at[last] = value
    with pytest.raises(config.ConfigError) as caught:
        config.read(raw, {})
    assert str(caught.value).startswith(key + ":")


def test_the_file_must_be_there_and_be_json(tmp_path: Path) -> None:
    with pytest.raises(config.ConfigError, match="RELAY_CONFIG: not set"):
        config.load({})
    with pytest.raises(config.ConfigError, match="RELAY_CONFIG"):
        config.load({"RELAY_CONFIG": str(tmp_path / "none")})
    (tmp_path / "bad").write_text("{")
    with pytest.raises(config.ConfigError, match="not JSON"):
        config.load({"RELAY_CONFIG": str(tmp_path / "bad")})
    (tmp_path / "good").write_text(json.dumps(make(tmp_path)))
    assert config.load({"RELAY_CONFIG": str(tmp_path / "good")}).name == "n0"


@pytest.mark.parametrize("sockets", [*range(64, 400, 7), 512, 1024, 4096])
def test_descriptor_pools_fit_the_limit(tmp_path: Path, sockets: int) -> None:
    raw = make(tmp_path)
    raw["limits"]["sockets"] = sockets
    limits = config.read(raw, {}).limits
    shared = limits.client_connections + limits.client_closing_connections + limits.workers
    assert shared + limits.operator_connections + config.RESERVED_DESCRIPTORS <= sockets
    own = config.operator_limits(limits)
    assert own.client_connections + own.client_closing_connections <= max(limits.operator_connections, 2)
    assert min(limits.client_connections, limits.workers) >= 2
