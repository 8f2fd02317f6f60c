"""Pauses the cyclic garbage collector while very many long-lived objects are created."""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def collector_paused() -> Iterator[None]:
    """Disable automatic collection within the block.

    Decoding a document of 140,000 limits creates a million objects and no garbage, and repeated collections
    would double the time. If two threads pause at once, one may end the other's pause early; that only costs
    time.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()
