"""Between the core's words and the module's: the only file that knows both."""

from __future__ import annotations

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


def report(load: Load) -> i.Report:
    """An endpoint's report."""
    return i.Report(load.left_share, load.limit_per_s)


def ended(end: AttemptEnd, over: bool) -> i.Ended:
    """An attempt's end as an attempt's."""
    run, call = end.attempt, end.call
    wait = end.wait_ms if end.result is Result.REJECTED else 0.0
    took = max(end.at - call.sent_at, 0.0)
    outcome = OUTCOMES[end.result]
    return i.Ended(run.number, run.nth, call.endpoint.number, outcome, took, over, wait, report(end.load))


def probed(end: ProbeEnd) -> i.Probed:
    """A probe's end."""
    return i.Probed(end.endpoint.number, OUTCOMES[end.result], end.took_ms, report(end.load))


class Endpoints:
    """The server endpoints by the numbers that the module knows them by."""

    def __init__(self, kinds: tuple[i.KindSpec, ...], clock: Clock) -> None:
        self._kinds, self._clock = kinds, clock
        self._numbers: dict[tuple[str, int], int] = {}
        self._last = 0  # no number is used again
        self.by_number: dict[int, Endpoint] = {}

    def endpoint(self, member: Member) -> Endpoint:
        """The endpoint of a list line. A name that moves to another group is another endpoint."""
        key = (member.name, member.group)
        if key not in self._numbers:
            self._last += 1
            self._numbers[key] = self._last
        number = self._numbers[key]
        kind = self._kinds[member.kind] if 0 <= member.kind < len(self._kinds) else i.KindSpec("")
        held = self.by_number.get(number)
        if held is None:
            held = Endpoint(
                number,
                member.name,
                member.host,
                member.port,
                member.group,
                kind.separate_routes,
                kind.per_call,
            )
            self.by_number[number] = held
        held.host, held.port = member.host, member.port
        return held

    def replaced(self, news: ListUpdate) -> list[Endpoint]:
        """Endpoints that the news does not name, but whose name or address another one in it has now."""
        index = ListIndex(news)
        return [endpoint for endpoint in self.by_number.values() if index.replaces(endpoint)]

    def forget(self, endpoint: Endpoint) -> None:
        """Drop an endpoint that is gone; one of that name that comes back is another."""
        self.by_number.pop(endpoint.number, None)
        self._numbers.pop((endpoint.name, endpoint.group), None)

    def listed(self, news: ListUpdate, replaced: list[Endpoint]) -> i.Listed:
        """News of the destinations as the module's list, with the endpoints that it replaces as gone."""
        entries = [i.RouteEntry(gone.number, 0, 0, gone.group, i.RouteState.GONE, 0.0) for gone in replaced]
        for member in news.members:
            added = self._clock.now() - (self._clock.wall() - member.since_wall) if member.since_wall else 0.0
            endpoint = self.endpoint(member)
            kind = member.kind if member.kind >= 0 else len(self._kinds)
            state = STATES[member.state]
            entries.append(
                i.RouteEntry(endpoint.number, member.zone, kind, member.group, state, member.rating, added)
            )
        outdated = (news.outdated_period.begin, news.outdated_period.end)
        return i.Listed(SCOPES[news.scope], news.version, tuple(entries), news.ask_by, *outdated)
