"""Logging through structlog, off the hot path: a bounded queue, rendered by one thread.

Importing structlog takes more than half of the CPU time of a start. Only the log thread needs it, so it is
imported there, and does not delay the first clients.
"""

from __future__ import annotations

import os
import sys
import threading
import traceback
from collections.abc import Callable, Mapping
from datetime import UTC, datetime
from queue import Empty, Full, Queue
from typing import TextIO

from springspread.config import ConfigError

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
FORMATS = ("json", "text")
FLUSH_S = 0.2  # longest wait for the log thread at exit

Line = dict[str, object]


class QueueLogger:
    """Takes lines from any thread without blocking, and counts the lines it drops."""

    def __init__(self, capacity: int, stream: TextIO, format_name: str) -> None:
        self._queue: Queue[Line] = Queue(capacity)
        self._stream, self._format = stream, format_name
        self._render: Callable[[Line], str] | None = None
        self._dropped = 0
        self._write_lock = threading.Lock()
        threading.Thread(target=self._run, name="log", daemon=True).start()

    def put(self, line: Line) -> None:
        """Queue a line, or drop it if the queue is full."""
        try:
            self._queue.put_nowait(line)
        except Full:
            self._dropped += 1

    def _run(self) -> None:
        while True:
            self._write(self._queue.get())
            self._queue.task_done()

    def _write(self, line: Line) -> None:
        with self._write_lock:
            if self._render is None:
                self._render = renderer(self._format)
            try:
                if self._dropped:
                    self._stream.write(f"{self._dropped} log lines dropped\n")
                    self._dropped = 0
                self._stream.write(self._render(line) + "\n")
                self._stream.flush()
            except (OSError, ValueError):
                self._dropped += 1  # the log's reader is gone; the program goes on without a log

    def flush(self) -> None:
        """Write the queued lines from the calling thread, and wait briefly for a line being written."""
        while True:
            try:
                self._write(self._queue.get_nowait())
            except Empty:
                break
            self._queue.task_done()
        with self._queue.all_tasks_done:
            self._queue.all_tasks_done.wait_for(lambda: not self._queue.unfinished_tasks, FLUSH_S)


def renderer(format_name: str) -> Callable[[Line], str]:
    """structlog's renderer for a format."""
    from structlog import processors

    if format_name == "json":
        as_json = processors.JSONRenderer()
        return lambda line: str(as_json(None, "", line))
    as_text = processors.KeyValueRenderer(key_order=["timestamp", "level", "event", "sender"])
    return lambda line: str(as_text(None, "", line))


class Logger:
    """The program's logger: lines are composed by the caller and rendered by the log thread."""

    def __init__(self, sink: QueueLogger, sender: str, min_level: int) -> None:
        self._sink, self._sender, self._min_level = sink, sender, min_level

    def _emit(self, level: str, event: str, values: dict[str, object]) -> None:
        if LEVELS[level] < self._min_level:
            return
        now = datetime.now(UTC).isoformat().replace("+00:00", "Z")
        line: Line = {"sender": self._sender, **values, "event": event, "level": level, "timestamp": now}
        if line.pop("exc_info", False):
            line["exception"] = traceback.format_exc()
        self._sink.put(line)

    def debug(self, event: str, **values: object) -> None:
        """Log a step in the handling of a message."""
        self._emit("debug", event, values)

    def info(self, event: str, **values: object) -> None:
        """Log a notable event."""
        self._emit("info", event, values)

    def warning(self, event: str, **values: object) -> None:
        """Log a failure outside the program."""
        self._emit("warning", event, values)

    def error(self, event: str, **values: object) -> None:
        """Log a failure of the program itself."""
        self._emit("error", event, values)


def make_log(name: str, capacity: int, env: Mapping[str, str] = os.environ) -> tuple[Logger, QueueLogger]:
    """Create the program's logger and its queue.

    ``RELAY_LOG_LEVEL`` (debug, info, warning or error) and ``RELAY_LOG_FORMAT`` (json or text) select what is
    written; raises ``ConfigError`` for other values.
    """
    level = env.get("RELAY_LOG_LEVEL", "info")
    if level not in LEVELS:
        raise ConfigError(f"RELAY_LOG_LEVEL: must be one of {', '.join(LEVELS)}: {level!r}")
    format_name = env.get("RELAY_LOG_FORMAT", "json")
    if format_name not in FORMATS:
        raise ConfigError(f"RELAY_LOG_FORMAT: must be one of {', '.join(FORMATS)}: {format_name!r}")
    sink = QueueLogger(capacity, sys.stderr, format_name)
    return Logger(sink, name, LEVELS[level]), sink
