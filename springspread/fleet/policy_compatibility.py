"""Whether a running process can use a policy: its bounds, its names, and its pending messages."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import fields, replace

from springspread.config import Config, ConfigError, load_raw, read
from springspread.core.journal import Journal
from springspread.core.journal_ownership import OwnedJournals
from springspread.interface import Settings

SETTING_KEYS = {
    "connect_ms": "limits.connectTimeoutMs",
    "watch_ms": "rules.mustAskInMs",
}
"""The key of the setting that each bound of the process is derived from."""


def config_under_policy(
    running: Config, journal: Journal | OwnedJournals, text: str, env: Mapping[str, str] = os.environ
) -> Config:
    """The configuration of a running process with a policy's settings in place of its own.

    Raises ``ConfigError``, which begins with the key, where the process can't use them: they are faulty,
    change what is read only at start-up, or leave no class or no room for a pending message.
    """
    new = read({**load_raw(env), "settings": json.loads(text)["settings"]}, env)
    for bound in fields(new.limits):
        if getattr(new.limits, bound.name) != getattr(running.limits, bound.name):
            key = SETTING_KEYS.get(bound.name, f"({bound.name})")
            raise ConfigError(
                f"settings.{key}: this process was started with another value, which is read only at start-up"
            )
    if new.names != running.names:
        raise ConfigError("settings.kinds, zones, feedback: this process was started with other values")
    if new.settings.max_attempts > running.settings.max_attempts:
        max_attempts = running.settings.max_attempts
        raise ConfigError(f"settings.limits.attemptsCap: above {max_attempts}, the bound of this journal")
    _check_pending(new.settings, journal)
    return replace(running, settings=new.settings)


def _check_pending(settings: Settings, journal: Journal | OwnedJournals) -> None:
    """Raise ``ConfigError`` where pending messages would lose their class or exceed the bound."""
    pending = [message for message in list(journal.pending.values()) if message.ending is None]
    classes = {spec.name for spec in settings.classes}
    if missing := sorted({message.cls for message in pending} - classes):
        raise ConfigError(f"settings.classes: {', '.join(missing)}: messages of it are pending here")
    if settings.max_held < len(pending):
        raise ConfigError(f"settings.limits.mostHeld: {len(pending)} messages are pending here")
