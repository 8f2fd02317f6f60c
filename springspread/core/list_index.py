"""What one list update says about an endpoint: values alone, no I/O.

A list line names an endpoint by name and group. Names and addresses are unique: an endpoint that an update
does not list, and whose name or address another one has there, is gone.
"""

from __future__ import annotations

from collections import defaultdict

from springspread.core.types import Endpoint, EndpointState, ListUpdate, Scope


class ListIndex:
    """Answers questions about one list update, each in constant time."""

    def __init__(self, update: ListUpdate) -> None:
        present = [member for member in update.members if member.state is not EndpointState.GONE]
        self._states = {(member.name, member.group): member.state for member in update.members}
        self._names = {member.name for member in present}
        self._addresses = {(member.name, member.group): (member.host, member.port) for member in present}
        self._holders: defaultdict[tuple[str, int], set[tuple[str, int]]] = defaultdict(set)
        for key, address in self._addresses.items():
            self._holders[address].add(key)
        self._whole = update.scope is Scope.WHOLE

    def lists(self, endpoint: Endpoint) -> bool:
        """Whether a line names the endpoint."""
        return (endpoint.name, endpoint.group) in self._states

    def replaces(self, endpoint: Endpoint) -> bool:
        """Whether another endpoint has its name or its address now."""
        in_use = endpoint.name in self._names or (endpoint.host, endpoint.port) in self._holders
        return in_use and not self.lists(endpoint)

    def removes(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint takes no new calls after this update."""
        state = self._states.get((endpoint.name, endpoint.group))
        if state is not None:
            return state is not EndpointState.READY
        return self._whole or self.replaces(endpoint)

    def takes_address(self, endpoint: Endpoint, address: tuple[str, int]) -> bool:
        """Whether an address that was the endpoint's is another one's now, or the endpoint is at another."""
        key = (endpoint.name, endpoint.group)
        holders = self._holders.get(address)
        return (holders is not None and key not in holders) or self._addresses.get(key, address) != address
