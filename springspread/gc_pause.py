"""The cyclic garbage collector, while very many objects that live on are made."""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def collector_paused() -> Iterator[None]:
    """No collection meanwhile.

    A document of 140,000 limits makes a million objects and no garbage; the collector would walk over all of
    them again and again, which takes as long as the rest. Whoever pauses it while another thread does may
    end that pause early, which costs time alone.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()
