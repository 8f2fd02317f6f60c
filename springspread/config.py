"""Reads and validates the configuration and fills in defaults; errors name the faulty key."""

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


RESERVED_DESCRIPTORS = 29  # standard streams, listeners, wake-ups, journals, list, notices, one extra worker
POOL_SHARES = 1 / 3 + 1 / 8  # of the remaining descriptors: clients, workers
RELOADABLE = ("discovery", "known", "seed")
"""Keys that may differ on a reload: the first takes effect, the others matter only at startup."""


class ConfigError(Exception):
    """An unusable configuration; the message begins with the faulty key."""


@dataclass(frozen=True, slots=True)
class Limits:
    """All limits of the program: sizes, counts, and times in milliseconds."""

    body_bytes: int = 64 * 1024
    length_required: bool = True  # a request with a body must have a Content-Length
    head_bytes: int = 16 * 1024
    head_fields: int = 128
    answer_bytes: int = 256 * 1024
    list_bytes: int = 2 * 1024 * 1024  # of discovery's answers: 3,200 endpoints, indented, with room
    interim_answers: int = 16
    read_bytes: int = 64 * 1024
    stack_bytes: int = 384 * 1024  # deeply nested JSON needs 128 to 160 KiB before Python rejects it
    disk_bytes: int = 3 * 1024 * 1024
    client_connections: int = 480
    client_closing_connections: int = 32  # closing after their last answer, in addition
    operator_connections: int = 28
    backlog: int = 1024  # hundreds may connect at once; beyond it, a client waits for its SYN retry
    workers: int = 128
    notices_in_call: int = 64
    log_lines: int = 1000
    retry_after_s: float = 1.0  # sent to clients that connect before the sender is ready
    settle_ms: float = 1.0  # pause between startup and the first client
    client_first_byte_ms: float = 1_300.0  # a connection that has sent nothing is closed after this
    client_new_evictable_ms: float = 50.0  # and may be evicted after this
    client_read_ms: float = 1_500.0  # from a request's first byte to its last
    client_partial_evictable_ms: float = 100.0  # a partial request may be evicted after this
    client_slow_ms: float = 300.0  # a request that takes longer is slow, and may be evicted
    client_min_bytes_s: int = 200  # minimum rate of a slow request
    client_bytes: int = 16 * 1024 * 1024  # buffered for partial requests, of all clients together
    client_idle_ms: float = 2_000.0  # between requests
    client_closing_evictable_ms: float = 20.0  # a closing connection may be evicted after this
    client_linger_ms: float = 200.0
    linger_bytes: int = 1024 * 1024
    destination_retention_ms: float = 60_000.0  # a destination without endpoints stays known for this long
    client_write_ms: float = 2_000.0
    verdict_ms: float = 380.0
    connect_ms: float = 1_000.0
    endpoint_write_ms: float = 2_000.0  # a request that its endpoint does not read within this never ran
    last_byte_hold_min_ms: float = 2.5  # delay of the last byte of a call or a notice
    last_byte_hold_max_ms: float = 50.0
    answer_read_ms: float = 500.0  # from an answer's first byte to its last
    answer_stall_ms: float = 500.0  # from one piece of an answer to the next
    list_read_ms: float = 6_000.0  # as ``answer_read_ms``, of discovery's answers; their deadline is earlier
    watch_ms: float = 5_000.0
    notice_ms: float = 1_000.0
    notice_resend_ms: float = 100.0  # without an answer; the first two copies are in time for the rule
    notice_retry_ms: float = 100.0
    notice_max_wait_ms: float = 1_000.0
    notice_calls: int = 4  # at a time
    drain_margin_ms: float = 350.0  # 150 ms for the list, 150 ms before a first byte, 50 ms spare
    accept_after_stop_ms: float = 500.0
    drain_close_ms: float = 600.0  # from an operator's drain until client connections are closed
    deadline_margin_ms: float = 60.0  # allowance for the client's clock being ahead
    stop_ms: float = 3_400.0
    stop_unsafe_ms: float = 2_000.0
    stop_safe_ms: float = 500.0


def operator_limits(limits: Limits) -> Limits:
    """The limits of the operators' listener: few clients, which may connect and stay silent."""
    closing = max(limits.operator_connections // 7, 1)
    places = max(limits.operator_connections - closing, 1)
    return replace(
        Limits(),
        client_connections=places,
        client_closing_connections=closing,
        body_bytes=4096,
        length_required=False,
    )


def discovery_limits(limits: Limits) -> Limits:
    """The limits of list requests: their answers grow with the fleet and take longer to arrive."""
    return replace(limits, answer_bytes=limits.list_bytes, answer_read_ms=limits.list_read_ms)


@dataclass(frozen=True, slots=True)
class Names:
    """The deployment's names, in the order of their numbers in the settings."""

    kinds: tuple[str, ...]
    zones: tuple[str, ...]
    report: tuple[str, ...]


class Durability(Enum):
    """What an accepted message survives: the death of the process, or also a power loss."""

    PROCESS = "process"
    POWER = "power"


@dataclass(frozen=True, slots=True)
class Waits:
    """The longest wait at each startup stage (ms, ``core.startup_stages``); 0 skips the stage."""

    clock_ms: float = 0.0
    policy_ms: float = 0.0
    list_ms: float = 0.0
    owed_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Config:
    """A sender's validated configuration."""

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
    mgmt: Address | None = None  # the operators' listener


def parse_address(text: object, key: str, *, min_port: int = 1) -> Address:
    """Parse ``host:port``."""
    host, colon, port = str(text or "").rpartition(":")
    if not colon or not host or not (port.isascii() and port.isdigit()) or not min_port <= int(port) < 65536:
        raise ConfigError(f"{key}: not an address of the form host:port: {text!r}")
    return host, int(port)


def load(env: Mapping[str, str] = os.environ) -> Config:
    """Read the environment and the file named by ``RELAY_CONFIG``."""
    return read(load_raw(env), env)


def load_raw(env: Mapping[str, str]) -> dict[str, object]:
    """Read the file named by ``RELAY_CONFIG`` without validating its contents."""
    path = env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG: not set; it names the configuration file")
    try:
        raw = json.loads(Path(path).read_bytes())
    except OSError as exc:
        raise ConfigError(f"RELAY_CONFIG: {path}: {exc.strerror}") from exc
    except ValueError as exc:
        raise ConfigError(f"RELAY_CONFIG: {path}: not JSON: {exc}") from exc
    if not isinstance(raw, dict):
        raise ConfigError(f"RELAY_CONFIG: {path}: must hold an object")
    return raw


def reload_config(running: Config, env: Mapping[str, str] = os.environ) -> Config:
    """Read the file again for a running process; only ``RELOADABLE`` keys may have changed."""
    new = load(env)
    for item in fields(Config):
        if item.name not in RELOADABLE and getattr(new, item.name) != getattr(running, item.name):
            raise ConfigError(f"{item.name}: cannot be changed by a reload; restart the process")
    return new


def read(raw: Mapping[str, object], env: Mapping[str, str]) -> Config:
    """Validate the decoded configuration. Environment variables take precedence, except for discovery.

    A reload reads the file again, so its discovery address is the more recent one.
    """
    state = env.get("RELAY_STATE") or raw.get("state")
    if not state:
        raise ConfigError("RELAY_STATE: not set; it names the state folder")
    if not Path(str(state)).is_dir():
        raise ConfigError(f"RELAY_STATE: not a folder: {state}")
    listen = parse_address(env.get("RELAY_LISTEN") or raw.get("listen"), "listen", min_port=0)
    discovery = parse_address(raw.get("discovery") or env.get("RELAY_DISCOVERY"), "discovery")
    mgmt = env.get("RELAY_MGMT") or raw.get("mgmt")
    raw_settings = raw.get("settings")
    if not isinstance(raw_settings, dict):
        raise ConfigError("settings: must be an object")
    flat_settings = flatten(raw_settings)
    values = Reader(flat_settings)
    try:
        settings = read_settings(flat_settings)
        limits = _limits(Reader(flatten(raw.get("limits") or {})), values)
    except SettingsError as exc:
        raise ConfigError(f"settings.{exc}") from exc
    # Each call needs a worker thread, so there are never more slots than workers.
    settings = replace(settings, slots=min(settings.slots, limits.workers), confirms_ends=True)
    return Config(
        name=env.get("RELAY_NAME") or str(raw.get("name") or "sender"),
        listen=listen,
        discovery=discovery,
        state=Path(str(state)),
        seed=_seed(raw.get("seed")),
        settings=settings,
        names=Names(tuple(values.items("kinds")), tuple(values.items("zones")), report_fields(flat_settings)),
        known=raw.get("known"),
        limits=limits,
        durability=_durability(raw.get("durability", Durability.PROCESS.value)),
        waits=_waits(raw.get("recovery", {})),
        mgmt=parse_address(mgmt, "mgmt", min_port=0) if mgmt else None,
    )


def _waits(raw: object) -> Waits:
    """The waits at the startup stages; without a fleet there are none."""
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
        choices = ", ".join(one.value for one in Durability)
        raise ConfigError(f"durability: must be one of {choices}: {value!r}") from None


def _seed(value: object) -> int:
    if value is None:
        return int.from_bytes(os.urandom(8), "little")
    try:
        return int(str(value), 16)
    except ValueError:
        raise ConfigError(f"seed: not a hexadecimal number: {value!r}") from None


def _limits(raw_limits: Reader, settings: Reader) -> Limits:
    base = Limits()

    def limit_number(key: str, default: float, minimum: float) -> float:
        try:
            number = raw_limits.number(key, default)
        except SettingsError as exc:
            raise ConfigError(f"limits.{exc}") from exc
        if number < minimum:
            raise ConfigError(f"limits.{key}: must be at least {minimum:g}")
        return number

    sockets = int(limit_number("sockets", 1024, 64))
    memory_mb = limit_number("memory_mb", 192, 16)
    disk_mb = limit_number("disk_mb", 3, 0.5)
    # The descriptors of discovery, notices, the journal and operators are reserved first, so that crowds of
    # clients cannot take them. Of the rest clients get a third, closing ones included, and workers an eighth.
    # Partial requests get an eighth of the memory.
    operator_connections = min(base.operator_connections, sockets // 12)
    sockets = min(sockets, int((sockets - RESERVED_DESCRIPTORS - operator_connections) / POOL_SHARES))
    closing = min(base.client_closing_connections, sockets // 24)
    return replace(
        base,
        disk_bytes=int(disk_mb * 1_000_000),
        client_connections=max(8, min(base.client_connections, sockets // 3 - closing)),
        client_closing_connections=closing,
        operator_connections=operator_connections,
        client_bytes=int(memory_mb * 1024 * 1024 / 8),
        workers=min(base.workers, max(2, sockets // 8)),
        connect_ms=settings.number("limits.connectTimeoutMs", base.connect_ms) or base.connect_ms,
        watch_ms=min(base.watch_ms, max(settings.number("rules.mustAskInMs", 10000.0) / 2, 500.0)),
    )
