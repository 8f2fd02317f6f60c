"""Between the core's words and the module's: the only file that knows both."""

from __future__ import annotations

from springspread import interface as i
from springspread.core.clock import Clock
from springspread.core.types import (
    ExecutionEnd,
    HostGroups,
    LinkState,
    Load,
    Member,
    ProbeEnd,
    Result,
    Scope,
    ServerLink,
)

OUTCOMES = {
    Result.DELIVERED: i.Outcome.SERVED,
    Result.ERROR: i.Outcome.ERROR,
    Result.THROTTLED: i.Outcome.FULL,
    Result.TIMED_OUT: i.Outcome.TIMEOUT,
    Result.NOT_CONNECTED: i.Outcome.CONNECT_FAILED,
    Result.BROKEN: i.Outcome.RESET,
    Result.SPOILT: i.Outcome.SPOILT,
    Result.CANCELLED: i.Outcome.CANCELLED,
    Result.NOT_SENT: i.Outcome.MOOT,
}
STATES = {
    LinkState.READY: i.RouteState.READY,
    LinkState.DRAINING: i.RouteState.DRAINING,
    LinkState.GONE: i.RouteState.GONE,
}
SCOPES = {
    Scope.CHANGES: i.ListScope.CHANGES,
    Scope.WHOLE: i.ListScope.WHOLE,
    Scope.CACHED: i.ListScope.CACHED,
    Scope.FAILED: i.ListScope.FAILED,
}


def report(load: Load) -> i.Report:
    """A link's report."""
    return i.Report(load.left_share, load.limit_per_s)


def ended(end: ExecutionEnd, over: bool) -> i.Ended:
    """An execution's end as an attempt's."""
    run, call = end.execution, end.call
    wait = end.wait_ms if end.result is Result.THROTTLED else 0.0
    took = max(end.at - call.sent_at, 0.0)
    outcome = OUTCOMES[end.result]
    return i.Ended(
        run.number, run.attempt, call.link.number, outcome, took, over, wait, report(end.load)
    )


def probed(end: ProbeEnd) -> i.Probed:
    """A probe's end."""
    return i.Probed(end.link.number, OUTCOMES[end.result], end.took_ms, report(end.load))


class Links:
    """The server links by the numbers that the module knows them by."""

    def __init__(self, kinds: tuple[i.KindSpec, ...], clock: Clock) -> None:
        self._kinds, self._clock = kinds, clock
        self._numbers: dict[tuple[str, int], int] = {}
        self._last = 0  # no number is used again
        self.by_number: dict[int, ServerLink] = {}

    def link(self, member: Member) -> ServerLink:
        """The link of a list line. A name that moves to another group is another link."""
        key = (member.name, member.group)
        if key not in self._numbers:
            self._last += 1
            self._numbers[key] = self._last
        number = self._numbers[key]
        kind = self._kinds[member.kind] if 0 <= member.kind < len(self._kinds) else i.KindSpec("")
        held = self.by_number.get(number)
        if held is None:
            held = ServerLink(
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

    def replaced(self, news: HostGroups) -> list[ServerLink]:
        """Links that the news does not name, but whose name or address another one in it has now."""
        named = {self._numbers.get((member.name, member.group)) for member in news.members}
        here = [member for member in news.members if member.state is not LinkState.GONE]
        names = {member.name for member in here}
        addresses = {(member.host, member.port) for member in here}
        return [
            link
            for link in self.by_number.values()
            if link.number not in named and (link.name in names or (link.host, link.port) in addresses)
        ]

    def forget(self, link: ServerLink) -> None:
        """Drop a link that is gone; one of that name that comes back is another."""
        self.by_number.pop(link.number, None)
        self._numbers.pop((link.name, link.group), None)

    def listed(self, news: HostGroups, replaced: list[ServerLink]) -> i.Listed:
        """News of the host groups as the module's list, with the links that it replaces as gone."""
        entries = [
            i.RouteEntry(link.number, 0, 0, link.group, i.RouteState.GONE, 0.0) for link in replaced
        ]
        for member in news.members:
            added = self._clock.now() - (self._clock.wall() - member.since_wall) if member.since_wall else 0.0
            link = self.link(member)
            kind = member.kind if member.kind >= 0 else len(self._kinds)
            state = STATES[member.state]
            entries.append(
                i.RouteEntry(link.number, member.zone, kind, member.group, state, member.rating, added)
            )
        return i.Listed(SCOPES[news.scope], news.version, tuple(entries), news.ask_by)
