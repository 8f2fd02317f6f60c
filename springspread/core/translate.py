"""Converts the core's types to the decision module's."""

from __future__ import annotations

from hashlib import blake2b

from springspread import interface as i
from springspread.core.clock import Clock
from springspread.core.list_index import ListIndex
from springspread.core.types import (
    AttemptEnd,
    Endpoint,
    EndpointState,
    ListUpdate,
    Load,
    Member,
    ProbeEnd,
    Result,
    Scope,
)

OUTCOMES = {
    Result.DELIVERED: i.Outcome.SERVED,
    Result.ERROR: i.Outcome.ERROR,
    Result.REJECTED: i.Outcome.FULL,
    Result.TIMED_OUT: i.Outcome.TIMEOUT,
    Result.NOT_CONNECTED: i.Outcome.CONNECT_FAILED,
    Result.BROKEN: i.Outcome.RESET,
    Result.MALFORMED: i.Outcome.SPOILT,
    Result.CANCELLED: i.Outcome.CANCELLED,
    Result.NOT_SENT: i.Outcome.MOOT,
}
STATES = {
    EndpointState.READY: i.RouteState.READY,
    EndpointState.DRAINING: i.RouteState.DRAINING,
    EndpointState.GONE: i.RouteState.GONE,
}
SCOPES = {
    Scope.CHANGES: i.ListScope.CHANGES,
    Scope.WHOLE: i.ListScope.WHOLE,
    Scope.CACHED: i.ListScope.CACHED,
    Scope.FAILED: i.ListScope.FAILED,
}


def to_report(load: Load) -> i.Report:
    """An endpoint's report."""
    return i.Report(load.left_share, load.limit_per_s)


def to_key(ordering_key: str) -> int:
    """The decision module's number of an ordering key; 0: none."""
    if not ordering_key:
        return 0
    return int.from_bytes(blake2b(ordering_key.encode(), digest_size=8).digest(), "little") or 1


def ended(end: AttemptEnd, final: bool) -> i.Ended:
    """An attempt's end."""
    attempt, call = end.attempt, end.call
    wait = end.wait_ms if end.result is Result.REJECTED else 0.0
    took = max(end.at - call.sent_at, 0.0)
    outcome = OUTCOMES[end.result]
    return i.Ended(
        attempt.number, attempt.index, call.endpoint.number, outcome, took, final, wait, to_report(end.load)
    )


def probed(end: ProbeEnd) -> i.Probed:
    """A probe's end."""
    return i.Probed(end.endpoint.number, OUTCOMES[end.result], end.took_ms, to_report(end.load))


class EndpointTable:
    """The endpoints, by the numbers under which the decision module knows them."""

    def __init__(self, kinds: tuple[i.KindSpec, ...], clock: Clock) -> None:
        self._kinds, self._clock = kinds, clock
        self._numbers: dict[tuple[str, int], int] = {}
        self._last_number = 0  # numbers are not reused
        self.by_number: dict[int, Endpoint] = {}

    def endpoint(self, member: Member) -> Endpoint:
        """The endpoint of a list line. A name that moves to another group becomes another endpoint."""
        key = (member.name, member.group)
        if key not in self._numbers:
            self._last_number += 1
            self._numbers[key] = self._last_number
        number = self._numbers[key]
        kind = self._kinds[member.kind] if 0 <= member.kind < len(self._kinds) else i.KindSpec("")
        endpoint = self.by_number.get(number)
        if endpoint is None:
            endpoint = Endpoint(
                number,
                member.name,
                member.host,
                member.port,
                member.group,
                kind.separate_routes,
                kind.per_call,
            )
            self.by_number[number] = endpoint
        endpoint.host, endpoint.port = member.host, member.port
        endpoint.address_lost = False
        return endpoint

    def without_address(self, update: ListUpdate) -> list[Endpoint]:
        """Endpoints at whose address an update, which has been applied, lists another one."""
        index = ListIndex(update)
        return [one for one in self.by_number.values() if index.takes_address(one, (one.host, one.port))]

    def replaced_by(self, update: ListUpdate) -> list[Endpoint]:
        """Endpoints that an update does not list, and whose name or address another one in it has."""
        index = ListIndex(update)
        return [endpoint for endpoint in self.by_number.values() if index.replaces(endpoint)]

    def forget(self, endpoint: Endpoint) -> None:
        """Drop an endpoint that is gone; one that returns under its name is another endpoint."""
        self.by_number.pop(endpoint.number, None)
        self._numbers.pop((endpoint.name, endpoint.group), None)

    def listed(self, update: ListUpdate, replaced: list[Endpoint]) -> i.Listed:
        """An update as the decision module's event, with replaced endpoints as gone."""
        entries = [i.RouteEntry(gone.number, 0, 0, gone.group, i.RouteState.GONE, 0.0) for gone in replaced]
        for member in update.members:
            added = self._clock.now() - (self._clock.wall() - member.since_wall) if member.since_wall else 0.0
            endpoint = self.endpoint(member)
            kind = member.kind if member.kind >= 0 else len(self._kinds)
            state = STATES[member.state]
            entries.append(
                i.RouteEntry(endpoint.number, member.zone, kind, member.group, state, member.rating, added)
            )
        outdated = (update.outdated_period.begin, update.outdated_period.end)
        return i.Listed(SCOPES[update.scope], update.version, tuple(entries), update.ask_by, *outdated)
