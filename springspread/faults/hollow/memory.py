"""How much memory a process's control state takes: the sizes of all objects that it reaches.

An estimate: what the allocator of memory rounds up, and the interpreter itself, are not in it. Objects that
every process shares anyway (types, functions, modules, enum members) are left out.
"""

from __future__ import annotations

import gc
import sys
from collections.abc import Iterable
from enum import Enum
from types import BuiltinFunctionType, FunctionType, MethodType, ModuleType

SHARED = (type, FunctionType, BuiltinFunctionType, MethodType, ModuleType, Enum)


def reachable_bytes(roots: Iterable[object], shared: Iterable[object] = ()) -> int:
    """The bytes of everything that the roots reach, without what stands in ``shared``."""
    seen = {id(one) for one in shared}
    left, total = list(roots), 0
    while left:
        one = left.pop()
        if id(one) in seen or isinstance(one, SHARED):
            continue
        seen.add(id(one))
        total += sys.getsizeof(one)
        left += gc.get_referents(one)
    return total
