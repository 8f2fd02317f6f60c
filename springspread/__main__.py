"""The sender process: wiring and signals."""

from __future__ import annotations

import os
import signal
import socket
import sys
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

from springspread.config import (
    Address,
    Config,
    ConfigError,
    Durability,
    Limits,
    load,
    operator_limits,
    reload_config,
)
from springspread.core.clearance import Clearance
from springspread.core.clock import SYSTEM
from springspread.core.figures import Figures
from springspread.core.folder_lock import FolderBusy
from springspread.core.journal_ownership import OwnedJournals, TooManyProcesses
from springspread.core.list_record import ListRecordFile, boot_id, inherited_deadlines, read_files
from springspread.core.loop import Sender
from springspread.core.types import ListUpdate, Log, Scope, Stop
from springspread.logs import make_log
from springspread.net.discovery import Watcher
from springspread.net.endpoints import Workers
from springspread.net.listener import Listener, listening_socket
from springspread.net.notices import Notifier
from springspread.net.threads import spawn
from springspread.platform.catalog import InvalidListError, read_decoded_list
from springspread.platform.client_api import ClientApi

if TYPE_CHECKING:
    from springspread.fleet.client import FleetShares
    from springspread.fleet.wire import Returning

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)
READY_CHECK_S = 0.02  # how often startup checks whether clients may be let in


def known_list(config: Config) -> ListUpdate:
    """The endpoint list saved by a previous process, or an empty one."""
    if config.known is None:
        return ListUpdate(Scope.CACHED)
    try:
        return read_decoded_list(config.known, config.names, 0.0, cached=True)
    except InvalidListError as exc:
        raise ConfigError(f"known: {exc}") from exc


def reload(running: Config, consumers: Sequence[Watcher | Notifier], log: Log) -> Config:
    """Reload the configuration and apply it; an invalid one changes nothing."""
    try:
        config = reload_config(running)
        known_list(config)
    except Exception as exc:  # no file contents may end the program
        log.error("configuration not reloaded", error=str(exc) or repr(exc))
        return running
    if config.discovery != running.discovery:
        for consumer in consumers:
            consumer.move(config.discovery)
    log.info("configuration reloaded", discovery=f"{config.discovery[0]}:{config.discovery[1]}")
    return config


def fleet_shares(log: Log) -> FleetShares | None:
    """The client for the fleet's shares of the partners' limits; ``None`` without a fleet."""
    if "SPRINGSPREAD_FLEET" not in os.environ:
        return None
    from springspread.fleet.client import from_environment  # not needed without a fleet

    return from_environment(os.environ, log)


def inherited_socket() -> socket.socket | None:
    """The listening socket for clients inherited from the parent process, if any."""
    if not (value := os.environ.get("RELAY_FD")):
        return None
    try:
        return socket.socket(fileno=int(value))
    except (ValueError, OSError) as exc:
        raise ConfigError(f"RELAY_FD: not a socket descriptor: {value!r}") from exc


def serve_operators(
    address: Address,
    client_api: ClientApi,
    figures: Figures,
    sender: Sender,
    listener: Listener,
    limits: Limits,
    log: Log,
) -> None:
    """Start the operators' listener."""
    from springspread.platform.management import ManagementApi

    limits = operator_limits(limits)
    try:
        Listener(
            listening_socket(address, limits),
            ManagementApi(client_api, figures, sender, listener.drain),
            limits,
            log,
        )
    except OSError as exc:
        raise ConfigError(f"mgmt: {address[0]}:{address[1]}: {exc.strerror}") from exc


def startup_status(sender: Sender, journal: OwnedJournals) -> Returning | None:
    """How far startup has come, for the fleet's daemon; ``None`` if no startup stage is waited for."""
    from springspread.fleet.wire import Returning

    startup = sender.startup
    if not startup.has_waits:
        return None
    progress = startup.progress
    damaged = sum(map(len, journal.damaged.values()))
    return Returning(
        progress.stage.value, round(progress.since, 1), startup.backlog, startup.backlog_at_start, damaged
    )


def serve(config: Config, log: Log, flush: Callable[[], None]) -> int:
    """Serve until a stop signal."""
    known = known_list(config)
    limits, settings = config.limits, config.settings
    max_attempts, durable = settings.max_attempts, config.durability is Durability.POWER
    try:
        journal = OwnedJournals(
            config.state, limits.disk_bytes, max_attempts, limits.body_bytes, durable=durable
        )
    except (TooManyProcesses, FolderBusy) as exc:
        raise ConfigError(f"state: {exc}") from exc
    grace = max(settings.rules.drain_grace_ms - limits.drain_margin_ms, 0.0)
    shares = fleet_shares(log)
    clearance = Clearance(journal, grace, shares=shares)
    figures = Figures(spec.name for spec in settings.classes)
    policy = shares.policy if shares else 0
    sender = Sender(config, journal, clearance, log, shares=shares, policy=policy, figures=figures)
    version = known.version if config.known is not None else None
    boot = boot_id()
    inherited = inherited_deadlines(read_files(journal.folders), boot, known.version, SYSTEM.now())
    watcher = Watcher(
        config.discovery,
        config.names,
        version,
        limits,
        sender.put_list_update,
        log,
        figures,
        settings.senders,
        pushed=not settings.must_ask,
        seed=config.seed,
        record=ListRecordFile(journal.own_folder, boot),
        inherited=inherited,
    )
    notices = Notifier(config.discovery, limits, sender.put, log, journal.wait_synced)
    report = config.names.report
    workers = Workers(limits, settings.slots, report, clearance, sender.put, log, figures)
    sender.attach(workers, watcher, notices)
    sender.restore(replace(known, outdated_period=watcher.outdated_period))
    if shares is not None:
        from springspread.fleet.policy_compatibility import config_under_policy

        shares.follow(
            partial(config_under_policy, config, journal),
            sender.put,
            partial(startup_status, sender, journal),
        )
    loop_thread = spawn("loop", sender.run, log)
    # On hosts that charge CPU time to the clock it may run ahead until the process has slept; messages
    # accepted before that would end too late.
    SYSTEM.sleep(limits.settle_ms)
    client_api = ClientApi(sender.put, limits.retry_after_s, figures)
    client_api.ready = sender.open  # before the first client: an inherited socket has clients already
    try:
        listener = Listener(
            inherited_socket() or listening_socket(config.listen, limits), client_api, limits, log
        )
    except OSError as exc:
        raise ConfigError(f"listen: {config.listen[0]}:{config.listen[1]}: {exc.strerror}") from exc
    if config.mgmt is not None:
        serve_operators(config.mgmt, client_api, figures, sender, listener, limits, log)
    signal_number = None
    while not sender.open and signal_number not in STOP_SIGNALS:  # clients get a Retry-After meanwhile
        if (signal_info := signal.sigtimedwait(HANDLED_SIGNALS, READY_CHECK_S)) is not None:
            signal_number = signal_info.si_signo
            if signal_number == signal.SIGHUP:
                config = reload(config, (watcher, notices), log)
    client_api.ready = sender.open
    listen = f"{listener.address[0]}:{listener.address[1]}"
    fields = {"policy": shares.policy, "epoch": shares.epoch} if shares else {}
    fields |= {"pid": os.getpid()}
    if client_api.ready:
        log.info("ready", listen=listen, slots=settings.slots, clients=limits.client_connections, **fields)
    while signal_number not in STOP_SIGNALS:
        signal_number = signal.sigwait(HANDLED_SIGNALS)
        if signal_number == signal.SIGHUP:
            config = reload(config, (watcher, notices), log)
    log.info("stopping")
    ends_at = SYSTEM.now() + limits.stop_ms + 50.0
    sender.put(Stop())
    time.sleep(limits.accept_after_stop_ms / 1000.0)
    listener.close()
    loop_thread.join((limits.stop_ms - limits.accept_after_stop_ms + 100.0) / 1000.0)
    clearance.stop()
    listener.emptied(ends_at - SYSTEM.now())  # answers may be written and not yet read
    fields = {"syncs": journal.commit.syncs} if journal.commit else {}
    log.info("stopped", owed=len(journal.pending), **fields)
    flush()
    return 0


def main() -> int:
    """Read the configuration and serve; returns 2 if the configuration is invalid."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    try:
        config = load()
        threading.stack_size(config.limits.stack_bytes)
        log, sink = make_log(config.name, config.limits.log_lines)
        return serve(config, log, sink.flush)
    except ConfigError as exc:
        print(f"springspread: {exc}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    code = main()
    sys.stderr.flush()
    os._exit(code)  # without waiting for threads that block on sockets
