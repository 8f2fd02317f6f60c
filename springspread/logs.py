"""Logging through structlog, off the hot path: lines are put on a bounded queue that one thread writes."""

from __future__ import annotations

import logging
import os
import sys
import threading
from collections.abc import Mapping
from queue import Empty, Full, Queue
from typing import TextIO

import structlog

from springspread.config import ConfigError

LEVELS = {word: getattr(logging, word.upper()) for word in ("debug", "info", "warning", "error")}
FORMATS: dict[str, structlog.typing.Processor] = {
    "json": structlog.processors.JSONRenderer(),
    "text": structlog.processors.KeyValueRenderer(key_order=["timestamp", "level", "event", "sender"]),
}


class QueueLogger:
    """What structlog writes to; it never blocks, and counts what it had to leave out."""

    def __init__(self, lines: int, stream: TextIO) -> None:
        self._lines: Queue[str] = Queue(lines)
        self._stream = stream
        self._lost = 0
        self._writing = threading.Lock()
        threading.Thread(target=self._run, name="log", daemon=True).start()

    def msg(self, message: str) -> None:
        """Queue a line."""
        try:
            self._lines.put_nowait(message)
        except Full:
            self._lost += 1

    info = warning = error = critical = debug = msg

    def _run(self) -> None:
        while True:
            self._write(self._lines.get())

    def _write(self, line: str) -> None:
        with self._writing:
            try:
                if self._lost:
                    self._stream.write(f"{self._lost} lines left out\n")
                    self._lost = 0
                self._stream.write(line + "\n")
                self._stream.flush()
            except (OSError, ValueError):
                self._lost += 1  # nobody reads the log: the program goes on without one

    def flush(self) -> None:
        """Write what is queued, from the calling thread."""
        while True:
            try:
                self._write(self._lines.get_nowait())
            except Empty:
                return


def make_log(
    name: str, lines: int, env: Mapping[str, str] = os.environ
) -> tuple[structlog.typing.FilteringBoundLogger, QueueLogger]:
    """The program's logger, and the queue behind it.

    ``RELAY_LOG_LEVEL`` (debug, info, warning or error) and ``RELAY_LOG_FORMAT`` (json or text) choose what is
    written; raises ``ConfigError`` for other words.
    """
    level = env.get("RELAY_LOG_LEVEL", "info")
    if level not in LEVELS:
        raise ConfigError(f"RELAY_LOG_LEVEL: must be one of {', '.join(LEVELS)}: {level!r}")
    form = env.get("RELAY_LOG_FORMAT", "json")
    if form not in FORMATS:
        raise ConfigError(f"RELAY_LOG_FORMAT: must be one of {', '.join(FORMATS)}: {form!r}")
    sink = QueueLogger(lines, sys.stderr)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            FORMATS[form],
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=lambda *_: sink,
        cache_logger_on_first_use=True,
    )
    log: structlog.typing.FilteringBoundLogger = structlog.get_logger().bind(sender=name)
    return log, sink
