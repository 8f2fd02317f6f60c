"""Estimates the memory of a process's control state from the sizes of all reachable objects.

Rounding by the memory allocator and the interpreter itself are not included, nor are objects that exist once
per process anyway (types, functions, modules, enum members).
"""

from __future__ import annotations

import gc
import sys
from collections.abc import Iterable
from enum import Enum
from types import BuiltinFunctionType, FunctionType, MethodType, ModuleType

SHARED = (type, FunctionType, BuiltinFunctionType, MethodType, ModuleType, Enum)


def reachable_bytes(roots: Iterable[object], shared: Iterable[object] = ()) -> int:
    """Total size of all objects reachable from the roots, except those in ``shared``."""
    seen = {id(item) for item in shared}
    pending, total = list(roots), 0
    while pending:
        item = pending.pop()
        if id(item) in seen or isinstance(item, SHARED):
            continue
        seen.add(id(item))
        total += sys.getsizeof(item)
        pending += gc.get_referents(item)
    return total
