"""Background threads whose failure is logged and, by default, ends the process."""

from __future__ import annotations

import os
import sys
import threading
import traceback
from collections.abc import Callable

from springspread.core.types import Log

EXIT_THREAD_FAILED = 70


def spawn(name: str, target: Callable[[], None], log: Log, *, vital: bool = True) -> threading.Thread:
    """Start a daemon thread. Its failure is logged; that of a ``vital`` thread ends the process as well."""

    def run() -> None:
        try:
            target()
        except Exception as exc:  # no failure may go unreported
            log.error("thread failed", thread=name, error=repr(exc), exc_info=True)
            if vital:
                # Written directly: the process ends before the log's thread may have flushed.
                sys.stderr.write(f"springspread: thread {name} failed\n{traceback.format_exc()}")
                sys.stderr.flush()
                os._exit(EXIT_THREAD_FAILED)

    thread = threading.Thread(target=run, name=name, daemon=True)
    thread.start()
    return thread
