"""Discovery's list: what is asked and what the answers say."""

from __future__ import annotations

import json
from collections.abc import Mapping
from math import isfinite

from springspread.config import Names
from springspread.core.types import EndpointState, ListUpdate, Member, Scope

PATH = "/catalog/members"
STATES = {
    "Ready": EndpointState.READY,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.GONE,
}


class InvalidListError(Exception):
    """An answer of discovery that makes no sense."""


def target(since: int | None = None, timeout_ms: float = 0.0) -> str:
    """What to ask for: the whole list, or what is newer than a version."""
    return PATH if since is None else f"{PATH}?since={since}&timeout_ms={int(timeout_ms)}"


def read_list(body: bytes, names: Names, notified_at: float) -> ListUpdate:
    """Read an answer."""
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise InvalidListError(f"not JSON: {exc}") from exc
    return read_decoded_list(raw, names, notified_at)


def read_decoded_list(raw: object, names: Names, notified_at: float, *, cached: bool = False) -> ListUpdate:
    """Read the decoded form; one bad line makes the whole of it unreadable."""
    if not isinstance(raw, Mapping) or not isinstance(raw.get("endpoints"), list):
        raise InvalidListError("endpoints: must be a list")
    version = raw.get("index")
    if not isinstance(version, int) or isinstance(version, bool) or version < 0:
        raise InvalidListError(f"index: not a version: {version!r}")
    members = tuple(_member(n, item, names) for n, item in enumerate(raw["endpoints"]))
    whole = Scope.WHOLE if raw.get("snapshot") is True else Scope.CHANGES
    return ListUpdate(Scope.CACHED if cached else whole, version, members, notified_at)


def _member(n: int, item: object, names: Names) -> Member:
    if not isinstance(item, Mapping):
        raise InvalidListError(f"endpoints[{n}]: must be an object")
    name, (host, colon, port) = item.get("name"), str(item.get("address")).rpartition(":")
    if not isinstance(name, str) or not name:
        raise InvalidListError(f"endpoints[{n}].name: missing")
    # A state that is not known is one that wants nothing new.
    state = STATES.get(str(item.get("status")), EndpointState.DRAINING)
    if state is EndpointState.GONE:
        host, port = host or "gone", port if port.isdigit() else "1"  # never called: its address is no matter
    elif not colon or not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
        raise InvalidListError(f"endpoints[{n}].address: {item.get('address')!r}")
    group = _number(n, item, "group", None)
    return Member(
        name=name,
        host=host,
        port=int(port),
        group=int(group),
        zone=_position(names.zones, item.get("zone")),
        kind=_position(names.kinds, item.get("type")),
        state=state,
        rating=_number(n, item, "weight", 1.0),
        since_wall=_number(n, item, "since_ms", 0.0),
    )


def _number(n: int, item: Mapping[str, object], key: str, default: float | None) -> float:
    value = item.get(key, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not isfinite(value):
        raise InvalidListError(f"endpoints[{n}].{key}: not a number: {value!r}")
    return float(value)


def _position(names: tuple[str, ...], value: object) -> int:
    """A name's number in the settings; one past the last where they do not name it."""
    return names.index(value) if isinstance(value, str) and value in names else len(names)
