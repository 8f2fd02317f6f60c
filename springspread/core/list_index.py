"""What one piece of news of the list says of an endpoint: values alone, no I/O.

A list line names an endpoint by name and group. Whoever has a name or an address in the news has it alone: an
endpoint that the news does not name, and whose name or address another one has there, is gone.
"""

from __future__ import annotations

from springspread.core.types import Endpoint, EndpointState, ListUpdate, Scope


class ListIndex:
    """Answers questions on one piece of news, each in constant time."""

    def __init__(self, news: ListUpdate) -> None:
        here = [member for member in news.members if member.state is not EndpointState.GONE]
        self._states = {(member.name, member.group): member.state for member in news.members}
        self._names = {member.name for member in here}
        self._addresses = {(member.host, member.port) for member in here}
        self._whole = news.scope is Scope.WHOLE

    def names(self, endpoint: Endpoint) -> bool:
        """Whether a line is the endpoint's own."""
        return (endpoint.name, endpoint.group) in self._states

    def replaces(self, endpoint: Endpoint) -> bool:
        """Whether another endpoint has its name or its address now."""
        taken = endpoint.name in self._names or (endpoint.host, endpoint.port) in self._addresses
        return taken and not self.names(endpoint)

    def takes_away(self, endpoint: Endpoint) -> bool:
        """Whether nothing new may go to it by this news."""
        state = self._states.get((endpoint.name, endpoint.group))
        if state is not None:
            return state is not EndpointState.READY
        return self._whole or self.replaces(endpoint)
