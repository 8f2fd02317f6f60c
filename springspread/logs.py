"""Logging through structlog, off the hot path: lines are put on a bounded queue that one thread renders.

structlog takes more than half of a start's processor time to load. Only that thread needs it, so it is loaded
there, beside the first clients' messages and not before them.
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
FLUSH_S = 0.2  # how long the end of the program waits for the log's thread

Line = dict[str, object]


class QueueLogger:
    """Takes lines from any thread without blocking, and counts what it had to leave out."""

    def __init__(self, lines: int, stream: TextIO, form: str) -> None:
        self._lines: Queue[Line] = Queue(lines)
        self._stream, self._form = stream, form
        self._render: Callable[[Line], str] | None = None
        self._lost = 0
        self._writing = threading.Lock()
        threading.Thread(target=self._run, name="log", daemon=True).start()

    def put(self, line: Line) -> None:
        """Queue a line."""
        try:
            self._lines.put_nowait(line)
        except Full:
            self._lost += 1

    def _run(self) -> None:
        while True:
            self._write(self._lines.get())
            self._lines.task_done()

    def _write(self, line: Line) -> None:
        with self._writing:
            if self._render is None:
                self._render = renderer(self._form)
            try:
                if self._lost:
                    self._stream.write(f"{self._lost} lines left out\n")
                    self._lost = 0
                self._stream.write(self._render(line) + "\n")
                self._stream.flush()
            except (OSError, ValueError):
                self._lost += 1  # nobody reads the log: the program goes on without one

    def flush(self) -> None:
        """Write what is queued, from the calling thread; wait a little for a line that is being written."""
        while True:
            try:
                self._write(self._lines.get_nowait())
            except Empty:
                break
            self._lines.task_done()
        with self._lines.all_tasks_done:
            self._lines.all_tasks_done.wait_for(lambda: not self._lines.unfinished_tasks, FLUSH_S)


def renderer(form: str) -> Callable[[Line], str]:
    """structlog's renderer of a line."""
    from structlog import processors

    if form == "json":
        as_json = processors.JSONRenderer()
        return lambda line: str(as_json(None, "", line))
    as_text = processors.KeyValueRenderer(key_order=["timestamp", "level", "event", "sender"])
    return lambda line: str(as_text(None, "", line))


class Logger:
    """What the program logs with: a line is put together where it is told, and rendered elsewhere."""

    def __init__(self, sink: QueueLogger, sender: str, least: int) -> None:
        self._sink, self._sender, self._least = sink, sender, least

    def _tell(self, level: str, event: str, values: dict[str, object]) -> None:
        if LEVELS[level] < self._least:
            return
        now = datetime.now(UTC).isoformat().replace("+00:00", "Z")
        line: Line = {"sender": self._sender, **values, "event": event, "level": level, "timestamp": now}
        if line.pop("exc_info", False):
            line["exception"] = traceback.format_exc()
        self._sink.put(line)

    def debug(self, event: str, **values: object) -> None:
        """A step on a message's way."""
        self._tell("debug", event, values)

    def info(self, event: str, **values: object) -> None:
        """Something worth a line."""
        self._tell("info", event, values)

    def warning(self, event: str, **values: object) -> None:
        """Something from outside went wrong."""
        self._tell("warning", event, values)

    def error(self, event: str, **values: object) -> None:
        """Something in here went wrong."""
        self._tell("error", event, values)


def make_log(name: str, lines: int, env: Mapping[str, str] = os.environ) -> tuple[Logger, QueueLogger]:
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
    sink = QueueLogger(lines, sys.stderr, form)
    return Logger(sink, name, LEVELS[level]), sink
