"""Reads settings by path, from the simulator's flat lines and from the nested JSON of a deployment."""

from __future__ import annotations

import re
from collections.abc import Mapping
from math import isfinite

from springspread import interface as i

EFFECTS = {"repeatable": i.Effect.SAFE, "by_key": i.Effect.KEYED, "once": i.Effect.UNSAFE}
SCOPES = {"all": i.Scope.ALL, "zone": i.Scope.ZONE, "cell": i.Scope.ROUTE}
FADES = {"linear": i.Fade.LINEAR, "halving": i.Fade.HALVING}
RATINGS = {"none": i.Rating.NONE, "nominal": i.Rating.EXACT, "rough": i.Rating.ROUGH}

KEYS = {
    "slots": "specifics.callsOut",
    "max_held": "limits.mostHeld",
    "senders": "balancers",
    "max_attempts": "limits.attemptsCap",
    "connect_timeout_ms": "limits.connectTimeoutMs",
    "max_retry_after_ms": "limits.maxRetryAfterMs",
    "over_share_worth": "overShareWorth",
    "tick_ms": "tickMs",
    "aim_ms": "objectiveMs",
    "deadline_ms": "deadlineMs",
    "worth": "points",
    "late_worth": "lateWorth",
    "window_ms": "memorySpanMs",
    "kinds": "specifics.perCall",
    "rules.answer_slack_ms": "rules.answerSlackMs",
    "rules.drain_grace_ms": "rules.drainGraceMs",
    "rules.ask_within_ms": "rules.mustAskInMs",
    "rules.cold_share": "rules.coldShare",
    "rules.warm_within_ms": "rules.warmWithinMs",
    "rules.fall_multiple": "rules.fallMultiple",
    "rules.fall_ms": "rules.fallMs",
    "rules.order_settle_ms": "rules.orderSettleMs",
}
"""The deployment's key for each field, for error messages."""


class SettingsError(ValueError):
    """An invalid setting; the text begins with its key."""


class Reader:
    """Reads values by path; errors name the path."""

    def __init__(self, raw: Mapping[str, str]) -> None:
        self.raw = raw

    def text(self, path: str, default: str = "") -> str:
        """A value as text."""
        return self.raw.get(path, default)

    def number(self, path: str, default: float = 0.0) -> float:
        """A finite number."""
        return self._number(path, self.raw.get(path, ""), default)

    def count(self, path: str, default: int = 0) -> int:
        """A whole number."""
        return int(self.number(path, default))

    def flag(self, path: str) -> bool:
        """True or false; absent is false."""
        return self.raw.get(path, "false") == "true"

    def items(self, path: str) -> list[str]:
        """A list of values as text."""
        value = self.raw.get(path, "")
        return value.split(",") if value else []

    def numbers(self, path: str) -> tuple[float, ...]:
        """A list of finite numbers."""
        return tuple(self._number(path, item, 0.0) for item in self.items(path))

    def _number(self, path: str, value: str, default: float) -> float:
        if not value:
            return default
        try:
            number = float(value)
        except ValueError:
            raise SettingsError(f"{path}: not a number: {value!r}") from None
        if not isfinite(number):
            raise SettingsError(f"{path}: not a finite number: {value!r}")
        return number


def parse_lines(text: str) -> dict[str, str]:
    """Split path=value lines."""
    return dict(line.split("=", 1) for line in text.splitlines() if "=" in line)


def flatten(value: object, path: str = "") -> dict[str, str]:
    """Flatten nested objects to the paths and values of the flat lines."""
    flat: dict[str, str] = {}
    if isinstance(value, Mapping):
        for key, inner in value.items():
            flat.update(flatten(inner, f"{path}.{key}" if path else str(key)))
    elif isinstance(value, list):
        if any(isinstance(item, Mapping) for item in value):
            flat[f"{path}.count"] = str(len(value))
            for n, item in enumerate(value):
                flat.update(flatten(item, f"{path}.{n}"))
        else:
            flat[path] = ",".join(_plain(item) for item in value)
    elif value is not None:
        flat[path] = _plain(value)
    return flat


def _plain(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return re.sub(r"[ ,]", "_", str(value))


def report_fields(raw: Mapping[str, str]) -> tuple[str, ...]:
    """Return the names of a load report's values, in order."""
    return tuple(Reader(raw).items("feedback.fields"))


def read_settings(raw: Mapping[str, str]) -> i.Settings:
    """Build the settings; unknown keys are ignored, an invalid value raises ``SettingsError``."""
    try:
        return _build(Reader(raw))
    except SettingsError:
        raise
    except ValueError as exc:
        field, _, message = str(exc).partition(":")
        field = re.sub(r"\[(\d+)\]", r".\1", field)
        parent, _, name = field.rpartition(".")
        key = KEYS.get(field) or (f"{parent}.{KEYS.get(name, name)}" if parent else name)
        raise SettingsError(f"{key}:{message}") from exc


def _build(read: Reader) -> i.Settings:
    number, flag, text = read.number, read.flag, read.text
    classes = []
    for n in range(read.count("classes.count")):
        prefix = f"classes.{n}."
        classes.append(
            i.ClassSpec(
                name=text(prefix + "name"),
                aim_ms=number(prefix + "objectiveMs"),
                deadline_ms=number(prefix + "deadlineMs"),
                worth=number(prefix + "points", 1.0),
                late_worth=number(prefix + "lateWorth"),
                effect=EFFECTS.get(text(prefix + "effect"), i.Effect.UNSAFE),
                scope=SCOPES.get(text(prefix + "dedupScope"), i.Scope.ROUTE),
                window_ms=number(prefix + "memorySpanMs"),
                in_order=flag(prefix + "inTurn"),
            )
        )
    separate, per_call = read.items("specifics.separateRoutes"), read.numbers("specifics.perCall")
    kinds = tuple(
        i.KindSpec(
            name=name,
            separate_routes=n < len(separate) and separate[n] == "true",
            per_call=int(per_call[n]) if n < len(per_call) else 1,
        )
        for n, name in enumerate(read.items("kinds"))
    )
    tenants = tuple(
        i.TenantSpec(
            name=text(f"accounts.{n}.name"),
            share=number(f"accounts.{n}.fraction"),
            quota_per_s=number(f"accounts.{n}.quotaPerS"),
        )
        for n in range(read.count("accounts.count"))
    )
    return i.Settings(
        classes=tuple(classes),
        kinds=kinds or (i.KindSpec(""),),
        slots=read.count("specifics.callsOut", 1),
        max_held=read.count("limits.mostHeld", 1),
        senders=read.count("balancers", 1),
        sender=read.count("index"),
        zone=read.count("zone"),
        tenants=tenants,
        rules=i.Rules(
            answer_slack_ms=number("rules.answerSlackMs"),
            drain_grace_ms=number("rules.drainGraceMs"),
            ask_within_ms=number("rules.mustAskInMs"),
            cold_share=number("rules.coldShare", 1.0),
            warm_within_ms=number("rules.warmWithinMs"),
            fall_multiple=number("rules.fallMultiple", 1.0),
            fall_ms=number("rules.fallMs"),
            order_settle_ms=number("rules.orderSettleMs"),
        ),
        prices=i.Prices(
            waste=number("prices.waste"),
            late_fail=number("prices.lateFail"),
            connection=number("prices.connection"),
            handshake=number("prices.handshake"),
            probe=number("prices.probe"),
            refused=number("specifics.turnedAwayPrice"),
            zone_fee=read.numbers("specifics.carriage"),
        ),
        fade=FADES.get(text("specifics.fades"), i.Fade.LINEAR),
        rating=RATINGS.get(text("weightSource"), i.Rating.NONE),
        must_ask=text("discovery") == "ask",
        tick_ms=number("tickMs"),
        max_attempts=read.count("limits.attemptsCap", 1),
        may_cancel=flag("limits.cancelling"),
        may_probe=flag("limits.probing"),
        connect_timeout_ms=number("limits.connectTimeoutMs"),
        tells_retry_after=flag("limits.retryAfter"),
        max_retry_after_ms=number("limits.maxRetryAfterMs"),
        over_share_worth=number("overShareWorth", 1.0),
    )
