"""The one place where configuration is read, checked and given defaults; errors name the faulty key."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, fields, replace
from enum import Enum
from pathlib import Path

from springspread import interface as i
from springspread.settings import Reader, SettingsError, flatten, read_settings, report_fields

Address = tuple[str, int]


OWN_DESCRIPTORS = 26  # standard streams, listeners, wake-ups, lanes, list, notices, and one more worker
SHARED_OUT = 1 / 3 + 1 / 8 + 1 / 4  # of the rest: clients, workers, kept connections
RELOADED = ("discovery", "known", "seed")
"""What may differ in a file that is read again: the first is put in force, the others serve a start."""


class ConfigError(Exception):
    """A configuration that the program can't start with; the text begins with the faulty key."""


@dataclass(frozen=True, slots=True)
class Limits:
    """Every bound of the program (sizes, counts, times in milliseconds), handed down from the start."""

    body_bytes: int = 64 * 1024
    length_required: bool = True  # a request with a body has to state its length
    head_bytes: int = 16 * 1024
    answer_bytes: int = 256 * 1024
    interim_answers: int = 16
    read_bytes: int = 64 * 1024
    stack_bytes: int = 384 * 1024  # deeply nested JSON takes 128 to 160 KiB before Python stops it
    disk_bytes: int = 3 * 1024 * 1024
    client_connections: int = 480
    client_closing_connections: int = 32  # above those: the ones that were told their last answer
    operator_connections: int = 28
    backlog: int = 1024  # hundreds that connect at once wait in the system's line, not for its next try
    idle_connections: int = 128
    workers: int = 128
    recent_results: int = 2048
    notices_in_call: int = 64
    log_lines: int = 1000
    retry_after_s: float = 1.0  # a client that comes before they are let in is told to come back after this
    settle_ms: float = 1.0  # waited out between a start and the first client
    client_first_byte_ms: float = 1_300.0  # a connection that has sent nothing is ended after this
    client_new_evictable_ms: float = 50.0  # and is not asked to make room before this
    client_read_ms: float = 1_500.0  # from a request's first byte to its last
    client_partial_evictable_ms: float = 100.0  # half a request is not asked to make room before this
    client_slow_ms: float = 300.0  # one that takes longer lags, and may be asked to make room
    client_min_bytes_s: int = 200  # and has come at this rate at least
    client_bytes: int = 16 * 1024 * 1024  # kept of unfinished requests, of all clients together
    client_idle_ms: float = 2_000.0  # between requests
    client_closing_evictable_ms: float = (
        20.0  # one that was told its last answer is not asked to make room before this
    )
    client_linger_ms: float = 200.0
    linger_bytes: int = 1024 * 1024
    destination_retention_ms: float = 60_000.0  # a destination is known for so long without an endpoint
    client_write_ms: float = 2_000.0
    verdict_ms: float = 380.0
    connect_ms: float = 1_000.0
    endpoint_write_ms: float = 2_000.0  # a request not taken by its endpoint within this never ran
    stale_risk_once: float = (
        0.03  # a call that may run once takes this chance of a stale connection, no more:
    )
    stale_risk_repeatable: float = (
        0.25  # a handshake costs 0.04 of a message; one that may be repeated loses less
    )
    stale_break_ms: float = 30.0  # a connection that ends sooner under a call was likely dead before it
    last_byte_hold_min_ms: float = (
        2.5  # the last byte of a call that may run once is held back so long at least
    )
    last_byte_hold_max_ms: float = 50.0
    answer_read_ms: float = 500.0  # from an answer's first bytes to its end
    idle_ms: float = 3_500.0
    watch_ms: float = 5_000.0
    notice_ms: float = 1_000.0
    notice_retry_ms: float = 100.0
    drain_margin_ms: float = 350.0  # held up for 150 ms at the list, 150 before a first byte, and 50 besides
    accept_after_stop_ms: float = 500.0
    drain_close_ms: float = 600.0  # from an operator's drain until clients' connections are ended
    deadline_margin_ms: float = 60.0  # how far the client's count of a message's time may be ahead
    stop_ms: float = 3_400.0
    stop_unsafe_ms: float = 2_000.0
    stop_safe_ms: float = 500.0


def operator_limits(limits: Limits) -> Limits:
    """The bounds of the operators' listener: few callers, who may connect and say nothing."""
    spares = max(limits.operator_connections // 7, 1)
    places = max(limits.operator_connections - spares, 1)
    return replace(
        Limits(),
        client_connections=places,
        client_closing_connections=spares,
        body_bytes=4096,
        length_required=False,
    )


@dataclass(frozen=True, slots=True)
class Names:
    """The deployment's names, in the order in which the settings number them."""

    kinds: tuple[str, ...]
    zones: tuple[str, ...]
    report: tuple[str, ...]


class Durability(Enum):
    """What a message that was taken on outlasts: the death of the process, or a power loss as well."""

    PROCESS = "process"
    POWER = "power"


@dataclass(frozen=True, slots=True)
class Waits:
    """The longest wait at each gate of a start (ms, ``core.gates``); 0: it is not waited for."""

    clock_ms: float = 0.0
    policy_ms: float = 0.0
    list_ms: float = 0.0
    owed_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Config:
    """What a sender is told at its start, checked."""

    name: str
    listen: Address
    discovery: Address
    state: Path
    seed: int
    settings: i.Settings
    names: Names
    known: object
    limits: Limits
    durability: Durability = Durability.PROCESS
    waits: Waits = Waits()
    mgmt: Address | None = None  # where operators call


def parse_address(text: object, key: str, *, least: int = 1) -> Address:
    """Read ``host:port``."""
    host, colon, port = str(text or "").rpartition(":")
    if not colon or not host or not (port.isascii() and port.isdigit()) or not least <= int(port) < 65536:
        raise ConfigError(f"{key}: not an address of the form host:port: {text!r}")
    return host, int(port)


def load(env: Mapping[str, str] = os.environ) -> Config:
    """Read the environment and the file that it names."""
    return read(load_raw(env), env)


def load_raw(env: Mapping[str, str]) -> dict[str, object]:
    """The file that the environment names, decoded and not yet checked."""
    where = env.get("RELAY_CONFIG")
    if not where:
        raise ConfigError("RELAY_CONFIG: not set; it names the configuration file")
    try:
        raw = json.loads(Path(where).read_bytes())
    except OSError as exc:
        raise ConfigError(f"RELAY_CONFIG: {where}: {exc.strerror}") from exc
    except ValueError as exc:
        raise ConfigError(f"RELAY_CONFIG: {where}: not JSON: {exc}") from exc
    if not isinstance(raw, dict):
        raise ConfigError(f"RELAY_CONFIG: {where}: must hold an object")
    return raw


def reload_config(running: Config, env: Mapping[str, str] = os.environ) -> Config:
    """Read the file again for a program that runs; what can't change under it must be as it was."""
    new = load(env)
    for item in fields(Config):
        if item.name not in RELOADED and getattr(new, item.name) != getattr(running, item.name):
            raise ConfigError(f"{item.name}: can't change while the program runs; start it anew")
    return new


def read(raw: Mapping[str, object], env: Mapping[str, str]) -> Config:
    """Check the decoded configuration. The environment's own variables come first, but for discovery's.

    The file is what a running program reads again, so its word on discovery is the newer one.
    """
    state = env.get("RELAY_STATE") or raw.get("state")
    if not state:
        raise ConfigError("RELAY_STATE: not set; it names the folder that lasts")
    if not Path(str(state)).is_dir():
        raise ConfigError(f"RELAY_STATE: not a folder: {state}")
    listen = parse_address(env.get("RELAY_LISTEN") or raw.get("listen"), "listen", least=0)
    discovery = parse_address(raw.get("discovery") or env.get("RELAY_DISCOVERY"), "discovery")
    mgmt = env.get("RELAY_MGMT") or raw.get("mgmt")
    tree = raw.get("settings")
    if not isinstance(tree, dict):
        raise ConfigError("settings: must be an object")
    flat = flatten(tree)
    values = Reader(flat)
    try:
        settings = read_settings(flat)
        limits = _limits(Reader(flatten(raw.get("limits") or {})), values)
    except SettingsError as exc:
        raise ConfigError(f"settings.{exc}") from exc
    # Each call out needs a thread: the module is told of as many slots as there can be.
    settings = replace(settings, slots=min(settings.slots, limits.workers))
    return Config(
        name=env.get("RELAY_NAME") or str(raw.get("name") or "sender"),
        listen=listen,
        discovery=discovery,
        state=Path(str(state)),
        seed=_seed(raw.get("seed")),
        settings=settings,
        names=Names(tuple(values.items("kinds")), tuple(values.items("zones")), report_fields(flat)),
        known=raw.get("known"),
        limits=limits,
        durability=_durability(raw.get("durability", Durability.PROCESS.value)),
        waits=_waits(raw.get("recovery", {})),
        mgmt=parse_address(mgmt, "mgmt", least=0) if mgmt else None,
    )


def _waits(raw: object) -> Waits:
    """How long a start waits at each gate; a sender that no fleet started waits at none."""
    if not isinstance(raw, dict):
        raise ConfigError("recovery: must be an object")
    known = [item.name for item in fields(Waits)]
    for key, value in raw.items():
        if key not in known:
            raise ConfigError(f"recovery.{key}: no such key; there are {', '.join(known)}")
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= 600_000:
            raise ConfigError(f"recovery.{key}: must be a number from 0 to 600000: {value!r}")
    return Waits(**raw)


def _durability(value: object) -> Durability:
    try:
        return Durability(value)
    except ValueError:
        words = ", ".join(one.value for one in Durability)
        raise ConfigError(f"durability: must be one of {words}: {value!r}") from None


def _seed(value: object) -> int:
    if value is None:
        return int.from_bytes(os.urandom(8), "little")
    try:
        return int(str(value), 16)
    except ValueError:
        raise ConfigError(f"seed: not a hexadecimal number: {value!r}") from None


def _limits(machine: Reader, settings: Reader) -> Limits:
    base = Limits()

    def machine_number(key: str, default: float, least: float) -> float:
        try:
            number = machine.number(key, default)
        except SettingsError as exc:
            raise ConfigError(f"limits.{exc}") from exc
        if number < least:
            raise ConfigError(f"limits.{key}: must be at least {least:g}")
        return number

    sockets = int(machine_number("sockets", 1024, 64))
    memory_mb = machine_number("memory_mb", 192, 16)
    disk_mb = machine_number("disk_mb", 3, 0.5)
    idle_ms = settings.number("limits.connIdleMs", 5000.0)
    # Guards discovery, notices, the journal and operators against crowds: what they need is set apart first.
    # Of the rest clients get a third, those that were told their last answer included, workers an eighth and
    # kept connections a quarter. Requests that are not whole get an eighth of the memory.
    operator_connections = min(base.operator_connections, sockets // 12)
    sockets = min(sockets, int((sockets - OWN_DESCRIPTORS - operator_connections) / SHARED_OUT))
    spares = min(base.client_closing_connections, sockets // 24)
    return replace(
        base,
        disk_bytes=int(disk_mb * 1_000_000),
        client_connections=max(8, min(base.client_connections, sockets // 3 - spares)),
        client_closing_connections=spares,
        operator_connections=operator_connections,
        client_bytes=int(memory_mb * 1024 * 1024 / 8),
        workers=min(base.workers, max(2, sockets // 8)),
        idle_connections=min(base.idle_connections, sockets // 4),
        connect_ms=settings.number("limits.connectTimeoutMs", base.connect_ms) or base.connect_ms,
        idle_ms=0.7 * idle_ms,
        watch_ms=min(base.watch_ms, max(settings.number("rules.mustAskInMs", 10000.0) / 2, 500.0)),
    )
