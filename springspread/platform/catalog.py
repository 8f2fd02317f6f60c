"""Discovery's list of endpoints: request targets and the decoding of answers."""

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
    """A list that can't be decoded."""


def target(since: int | None = None, timeout_ms: float = 0.0) -> str:
    """The request target for the whole list, or for the changes since a version."""
    return PATH if since is None else f"{PATH}?since={since}&timeout_ms={int(timeout_ms)}"


def read_list(body: bytes, names: Names, notified_at: float) -> ListUpdate:
    """Decode an answer; raises ``InvalidListError``."""
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise InvalidListError(f"not JSON: {exc}") from exc
    return read_decoded_list(raw, names, notified_at)


def read_decoded_list(raw: object, names: Names, notified_at: float, *, cached: bool = False) -> ListUpdate:
    """Read a list that is parsed from JSON already; one invalid endpoint makes all of it invalid."""
    if not isinstance(raw, Mapping) or not isinstance(raw.get("endpoints"), list):
        raise InvalidListError("endpoints: must be a list")
    version = raw.get("index")
    if not isinstance(version, int) or isinstance(version, bool) or version < 0:
        raise InvalidListError(f"index: must be a non-negative integer, got {version!r}")
    members = tuple(_member(n, item, names) for n, item in enumerate(raw["endpoints"]))
    scope = Scope.WHOLE if raw.get("snapshot") is True else Scope.CHANGES
    return ListUpdate(Scope.CACHED if cached else scope, version, members, notified_at)


def _member(n: int, item: object, names: Names) -> Member:
    if not isinstance(item, Mapping):
        raise InvalidListError(f"endpoints[{n}]: must be an object")
    name, (host, separator, port) = item.get("name"), str(item.get("address")).rpartition(":")
    if not isinstance(name, str) or not name:
        raise InvalidListError(f"endpoints[{n}].name: missing")
    # An endpoint with an unknown state gets no new calls.
    state = STATES.get(str(item.get("status")), EndpointState.DRAINING)
    if state is EndpointState.GONE:
        host, port = host or "gone", port if port.isdigit() else "1"  # its address is not used
    elif not separator or not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
        raise InvalidListError(f"endpoints[{n}].address: must be HOST:PORT, got {item.get('address')!r}")
    group = _number(n, item, "group", None)
    return Member(
        name=name,
        host=host,
        port=int(port),
        group=int(group),
        zone=_index_of(names.zones, item.get("zone")),
        kind=_index_of(names.kinds, item.get("type")),
        state=state,
        rating=_number(n, item, "weight", 1.0),
        since_wall=_number(n, item, "since_ms", 0.0),
    )


def _number(n: int, item: Mapping[str, object], key: str, default: float | None) -> float:
    value = item.get(key, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not isfinite(value):
        raise InvalidListError(f"endpoints[{n}].{key}: must be a number, got {value!r}")
    return float(value)


def _index_of(names: tuple[str, ...], value: object) -> int:
    """A name's index in the settings; one past the last if it is unknown."""
    return names.index(value) if isinstance(value, str) and value in names else len(names)
