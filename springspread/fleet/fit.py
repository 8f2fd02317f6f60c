"""Whether a policy fits one process: its bounds, its threads, and the messages that it holds."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import fields, replace

from springspread.config import Config, ConfigError, decoded, read
from springspread.core.journal import Journal
from springspread.core.lanes import Lanes

KEYS = {
    "connect_ms": "limits.connectTimeoutMs",
    "idle_ms": "limits.connIdleMs",
    "watch_ms": "rules.mustAskInMs",
}
"""The settings that bounds of the process follow, by the bound."""


def under_policy(
    running: Config, journal: Journal | Lanes, text: str, env: Mapping[str, str] = os.environ
) -> Config:
    """The configuration that a policy's text makes of a process's first one; raises ``ConfigError``.

    Each fault names the key. What is held here must still be carried: its class is there, and its room.
    """
    new = read({**decoded(env), "settings": json.loads(text)["settings"]}, env)
    for item in fields(new.limits):
        if getattr(new.limits, item.name) != getattr(running.limits, item.name):
            key = KEYS.get(item.name, f"({item.name})")
            raise ConfigError(f"settings.{key}: this process was started with another; it serves a start")
    if new.names != running.names:
        raise ConfigError("settings.kinds, zones, feedback: this process was started with others")
    if new.settings.max_attempts > running.settings.max_attempts:
        most = running.settings.max_attempts
        raise ConfigError(f"settings.limits.attemptsCap: above {most}, for which this journal has its room")
    named = {spec.name for spec in new.settings.classes}
    held = [owed for owed in list(journal.owed.values()) if owed.ending is None]
    if lost := sorted({owed.cls for owed in held} - named):
        raise ConfigError(f"settings.classes: {', '.join(lost)}: messages of it are held here")
    if new.settings.max_held < len(held):
        raise ConfigError(f"settings.limits.mostHeld: {len(held)} messages are held here")
    return replace(running, settings=new.settings)
