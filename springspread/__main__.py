"""The real sender: wiring and signals."""

from __future__ import annotations

import os
import signal
import socket
import sys
import threading
import time
from collections.abc import Callable, Sequence
from functools import partial
from typing import TYPE_CHECKING

from springspread.config import Address, Config, ConfigError, Durability, Limits, load, load_again, operators
from springspread.core.clearance import Clearance
from springspread.core.clock import SYSTEM
from springspread.core.figures import Figures
from springspread.core.lanes import Lanes, Taken
from springspread.core.loop import Sender
from springspread.core.types import ListNews, Log, Scope, Stop
from springspread.logs import make_log
from springspread.net.discovery import Watcher
from springspread.net.endpoints import Workers
from springspread.net.listener import Listener, listening_socket
from springspread.net.notices import Notifier
from springspread.net.threads import spawn
from springspread.platform.catalog import Unreadable, read_groups
from springspread.platform.intake import Intake

if TYPE_CHECKING:
    from springspread.fleet.client import FleetShares
    from springspread.fleet.wire import Returning

ENDS = (signal.SIGTERM, signal.SIGINT)
HEARD = (*ENDS, signal.SIGHUP)
GATE_S = 0.02  # how often a start looks whether it may let clients in


def known_groups(config: Config) -> ListNews:
    """The list as this sender last held it; none is as good as an empty one."""
    if config.known is None:
        return ListNews(Scope.CACHED)
    try:
        return read_groups(config.known, config.names, 0.0, cached=True)
    except Unreadable as exc:
        raise ConfigError(f"known: {exc}") from exc


def reload(running: Config, moved: Sequence[Watcher | Notifier], log: Log) -> Config:
    """Put the configuration as it now stands in force, whole; a bad one leaves all as it was."""
    try:
        config = load_again(running)
        known_groups(config)
    except Exception as exc:  # whatever the file holds, it must not end the program
        log.error("configuration not read again", error=str(exc) or repr(exc))
        return running
    if config.discovery != running.discovery:
        for part in moved:
            part.move(config.discovery)
    log.info("configuration read again", discovery=f"{config.discovery[0]}:{config.discovery[1]}")
    return config


def fleet_shares(log: Log) -> FleetShares | None:
    """The part of the partners' limits that a fleet gives this instance; none where it stands alone."""
    if "SPRINGSPREAD_FLEET" not in os.environ:
        return None
    from springspread.fleet.client import from_environment  # a sender that stands alone loads nothing of it

    return from_environment(os.environ, log)


def inherited() -> socket.socket | None:
    """The clients' listening socket, where whoever started this process holds it; else none."""
    if not (told := os.environ.get("RELAY_FD")):
        return None
    try:
        return socket.socket(fileno=int(told))
    except (ValueError, OSError) as exc:
        raise ConfigError(f"RELAY_FD: not a descriptor of a socket: {told!r}") from exc


def manage(
    address: Address,
    intake: Intake,
    figures: Figures,
    sender: Sender,
    listener: Listener,
    limits: Limits,
    log: Log,
) -> None:
    """Answer operators from now on."""
    from springspread.platform.management import Management

    limits = operators(limits)
    try:
        Listener(
            listening_socket(address, limits),
            Management(intake, figures, sender, listener.drain),
            limits,
            log,
        )
    except OSError as exc:
        raise ConfigError(f"mgmt: {address[0]}:{address[1]}: {exc.strerror}") from exc


def standing(sender: Sender, journal: Lanes) -> Returning | None:
    """How far the start has come, for the fleet's daemon; nothing where it waits at no gate."""
    from springspread.fleet.wire import Returning

    start = sender.start
    if not start.gated:
        return None
    now = start.standing
    damaged = sum(map(len, journal.damaged.values()))
    return Returning(now.gate.value, round(now.since, 1), start.owed, start.owed_at_start, damaged)


def serve(config: Config, log: Log, flush: Callable[[], None]) -> int:
    """Serve until a signal ends it."""
    known = known_groups(config)
    limits, settings = config.limits, config.settings
    most, durable = settings.max_attempts, config.durability is Durability.POWER
    try:
        journal = Lanes(config.state, limits.disk_bytes, most, limits.body_bytes, durable=durable)
    except Taken as exc:
        raise ConfigError(f"state: {exc}") from exc
    grace = max(settings.rules.drain_grace_ms - limits.drain_margin_ms, 0.0)
    shares = fleet_shares(log)
    clearance = Clearance(journal, grace, shares=shares)
    figures = Figures(spec.name for spec in settings.classes)
    policy = shares.policy if shares else 0
    sender = Sender(config, journal, clearance, log, shares=shares, policy=policy, figures=figures)
    version = known.version if config.known is not None else None
    watcher = Watcher(
        config.discovery,
        config.names,
        version,
        limits,
        sender.put_list,
        log,
        figures,
        settings.senders,
        pushed=not settings.must_ask,
        seed=config.seed,
    )
    notices = Notifier(config.discovery, limits, sender.put, log, journal.settle)
    report = config.names.report
    workers = Workers(limits, settings.slots, report, clearance, sender.put, log, figures)
    sender.attach(workers, watcher, notices)
    sender.restore(known)
    if shares is not None:
        from springspread.fleet.fit import under_policy

        shares.follow(partial(under_policy, config, journal), sender.put, partial(standing, sender, journal))
    running = spawn("loop", sender.run, log)
    # Guards deadlines: where a start's processor time is charged to the clock, it may be ahead of the world
    # until a wait has ended, and whatever is taken on before that would be given up too late.
    SYSTEM.sleep(limits.settle_ms)
    intake = Intake(sender.put, limits.return_after_s, figures)
    try:
        listener = Listener(inherited() or listening_socket(config.listen, limits), intake, limits, log)
    except OSError as exc:
        raise ConfigError(f"listen: {config.listen[0]}:{config.listen[1]}: {exc.strerror}") from exc
    if config.mgmt is not None:
        manage(config.mgmt, intake, figures, sender, listener, limits, log)
    heard = None
    while not sender.open and heard not in ENDS:  # clients are refused meanwhile, with a time to come back
        if (told_by := signal.sigtimedwait(HEARD, GATE_S)) is not None:
            heard = told_by.si_signo
            if heard == signal.SIGHUP:
                config = reload(config, (watcher, notices), log)
    intake.ready = sender.open
    listen = f"{listener.address[0]}:{listener.address[1]}"
    told = {"policy": shares.policy} if shares else {}
    told |= {"pid": os.getpid()}
    if intake.ready:
        log.info("ready", listen=listen, slots=settings.slots, clients=limits.client_connections, **told)
    while heard not in ENDS:
        heard = signal.sigwait(HEARD)
        if heard == signal.SIGHUP:
            config = reload(config, (watcher, notices), log)
    log.info("stopping")
    ends_at = SYSTEM.now() + limits.stop_ms + 50.0
    sender.put(Stop())
    time.sleep(limits.accept_after_stop_ms / 1000.0)
    listener.close()
    running.join((limits.stop_ms - limits.accept_after_stop_ms + 100.0) / 1000.0)
    clearance.stop()
    listener.emptied(ends_at - SYSTEM.now())  # guards answers that are written and not yet read
    told = {"syncs": journal.commit.syncs} if journal.commit else {}
    log.info("stopped", owed=len(journal.owed), **told)
    flush()
    return 0


def main() -> int:
    """Read the configuration and serve; 2 where it can't be used."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HEARD)
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
    os._exit(code)  # the other threads may wait on sockets for long; nothing is owed to them
