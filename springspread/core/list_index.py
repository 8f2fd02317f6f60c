"""What one list update says about an endpoint: values alone, no I/O.

A list line names an endpoint by name and group. Names and addresses are unique: an endpoint that an update
does not list, and whose name or address another one has there, is gone.
"""

from __future__ import annotations

from springspread.core.types import Endpoint, EndpointState, ListUpdate, Scope


class ListIndex:
    """Answers questions about one list update, each in constant time."""

    def __init__(self, update: ListUpdate) -> None:
        present = [member for member in update.members if member.state is not EndpointState.GONE]
        self._states = {(member.name, member.group): member.state for member in update.members}
        self._names = {member.name for member in present}
        self._addresses = {(member.host, member.port) for member in present}
        self._whole = update.scope is Scope.WHOLE

    def lists(self, endpoint: Endpoint) -> bool:
        """Whether a line names the endpoint."""
        return (endpoint.name, endpoint.group) in self._states

    def replaces(self, endpoint: Endpoint) -> bool:
        """Whether another endpoint has its name or its address now."""
        in_use = endpoint.name in self._names or (endpoint.host, endpoint.port) in self._addresses
        return in_use and not self.lists(endpoint)

    def removes(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint takes no new calls after this update."""
        state = self._states.get((endpoint.name, endpoint.group))
        if state is not None:
            return state is not EndpointState.READY
        return self._whole or self.replaces(endpoint)
