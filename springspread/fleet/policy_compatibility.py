"""Whether a running process can use a policy: its bounds, its names, and the messages that it holds."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import fields, replace

from springspread.config import Config, ConfigError, load_raw, read
from springspread.core.journal import Journal
from springspread.core.journal_ownership import OwnedJournals
from springspread.interface import Settings

KEYS = {
    "connect_ms": "limits.connectTimeoutMs",
    "idle_ms": "limits.connIdleMs",
    "watch_ms": "rules.mustAskInMs",
}
"""The settings that bounds of the process follow, by the bound."""


def config_under_policy(
    running: Config, journal: Journal | OwnedJournals, text: str, env: Mapping[str, str] = os.environ
) -> Config:
    """The configuration of a running process with a policy's settings in place of its own.

    Raises ``ConfigError``, which begins with the key, where the process can't use them: they are faulty,
    change what serves a start, or leave no class or no room for a message that it holds.
    """
    new = read({**load_raw(env), "settings": json.loads(text)["settings"]}, env)
    for bound in fields(new.limits):
        if getattr(new.limits, bound.name) != getattr(running.limits, bound.name):
            key = KEYS.get(bound.name, f"({bound.name})")
            raise ConfigError(f"settings.{key}: this process was started with another; it serves a start")
    if new.names != running.names:
        raise ConfigError("settings.kinds, zones, feedback: this process was started with others")
    if new.settings.max_attempts > running.settings.max_attempts:
        most = running.settings.max_attempts
        raise ConfigError(f"settings.limits.attemptsCap: above {most}, for which this journal has its room")
    _check_held(new.settings, journal)
    return replace(running, settings=new.settings)


def _check_held(settings: Settings, journal: Journal | OwnedJournals) -> None:
    """Raise ``ConfigError`` where messages that have no end yet could not be carried any more."""
    held = [message for message in list(journal.pending.values()) if message.ending is None]
    classes = {spec.name for spec in settings.classes}
    if missing := sorted({message.cls for message in held} - classes):
        raise ConfigError(f"settings.classes: {', '.join(missing)}: messages of it are held here")
    if settings.max_held < len(held):
        raise ConfigError(f"settings.limits.mostHeld: {len(held)} messages are held here")
