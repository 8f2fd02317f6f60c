"""Limits, modes and the default mode change under any order of events: exact limits hold before and after.

The lead time of a change is the real one. A sender calls under a policy only once it has been granted.
"""

from __future__ import annotations

from typing import ClassVar

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule, run_state_machine_as_test

from springspread.fleet.allocator import Allocator
from springspread.fleet.allocator_control import AllocatorControl
from springspread.fleet.limits import Limit, LimitMode
from springspread.fleet.messages import KeyStatuses, LeaseGrants, Welcome
from springspread.fleet.wire import Lines, encode
from springspread.rollout.document import Policy, lead_ms
from tests.fleet.test_allocator_stateful import (
    ADAPTIVE_KEY,
    EXACT_KEY,
    FAULT_SEARCH,
    KEYS,
    LEASE,
    LIMITS,
    NAMES,
    SEARCH,
    WIDE_KEY,
    Fleet,
)

MODES = st.sampled_from(LimitMode)
LIMIT = st.one_of(
    st.none(), st.builds(Limit, st.sampled_from([1, 2, 5, 8]), st.sampled_from([100.0, 200.0, 350.0]), MODES)
)
HISTORY_MS = 400.0  # longer than every span


class Changing(Fleet):
    """``leads``: if false, an injected fault: changes apply at once."""

    default: ClassVar[LimitMode] = LimitMode.ADAPTIVE
    leads: ClassVar[bool] = True
    policies: tuple[Policy, ...] = ()  # the last one may not be in force yet
    since = 0.0

    def _begin(self, learning: bool, known: bool) -> AllocatorControl:
        self.policies = self.policies or (Policy({}, LIMITS, self.default),)
        allocator = Allocator(lease_ms=LEASE)
        if known:
            allocator.restore(self.record)
        else:
            allocator.assume_exhausted(self.now)
        policy = self.in_force
        control = AllocatorControl("fleet", policy.default_mode, policy.limits, allocator, self.now, learning)
        if policy is not self.policies[-1]:
            control.schedule_limits(
                self.now, self.policies[-1].limits, self.since, self.policies[-1].default_mode
            )
        return control

    @property
    def in_force(self) -> Policy:
        return self.policies[-1] if self.now >= self.since else self.policies[-2]

    @rule(one=LIMIT, other=LIMIT, default=MODES)
    def policy_changes(self, one: Limit | None, other: Limit | None, default: LimitMode) -> None:
        if self.now < self.since:
            return
        limits = {EXACT_KEY: one, ADAPTIVE_KEY: other, WIDE_KEY: LIMITS[WIDE_KEY]}
        policy = Policy({}, {key: limit for key, limit in limits.items() if limit is not None}, default)
        self.ticks()
        self.since = self.now + (lead_ms(self.policies[-1], policy) if self.leads else 0.0) + 1.0
        self.policies = (*self.policies, policy)
        self.control.schedule_limits(self.now, policy.limits, self.since, policy.default_mode)
        self._send()
        for connection in self.connections:
            connection.down.append(self._line(b""))  # the grant of the policy

    def _line(self, line: bytes) -> bytes:
        return b"%d|%s" % (len(self.policies), line)

    def _send(self) -> None:
        for owner, messages in self.control.take_messages().items():
            for connection in self.connections:
                if connection.owner == owner:
                    connection.down.extend(self._line(encode(message)) for message in messages)

    @rule()
    def ticks(self) -> None:
        leases = self.control.tick(self.now)
        self.record += leases
        self.control.grant(self.now, leases)
        self._send()

    @rule(name=NAMES, lines=st.integers(1, 4))
    def sender_reads(self, name: str, lines: int) -> None:
        sender = self.senders[name]
        for _ in range(lines):
            if sender.frozen or sender.connection is None or not sender.connection.down:
                return
            number, line = sender.connection.down.popleft().split(b"|", 1)
            if not line:
                self.acts_under[sender.owner] = int(number)
                continue
            (message,) = Lines().feed(line)
            assert isinstance(message, Welcome | KeyStatuses | LeaseGrants)
            sender.session.received(self.now, message)
            if not isinstance(message, Welcome) or not message.following:
                self.acts_under[sender.owner] = int(number)

    @property
    def acts_under(self) -> dict[tuple[str, int], int]:
        return self.__dict__.setdefault("_acts_under", {})  # type: ignore[no-any-return]

    @rule(name=NAMES, key=KEYS, times=st.integers(1, 6))
    def calls_out(self, name: str, key: str, times: int) -> None:
        number = self.acts_under.get(self.senders[name].owner, 0)
        if number >= len(self.policies) - (self.now < self.since):
            super().calls_out(name, key, times)

    @invariant()
    def exact_limit_holds_in_every_span(self) -> None:
        for key, calls in self.calls.items():
            while calls and calls[0] <= self.now - HISTORY_MS:
                calls.popleft()
            limit = self.in_force.limits.get(key)
            if limit is not None and limit.mode is LimitMode.EXACT:
                in_span = sum(at > self.now - limit.span_ms for at in calls)
                assert in_span <= limit.calls, (key, limit)

    def bound_limit_holds_after_exposure(self) -> None:
        """Not checked, as the limit may have changed."""


class ChangingFromExact(Changing):
    default = LimitMode.EXACT


class Hasty(Changing):
    leads = False


@pytest.mark.parametrize("machine", [Changing, ChangingFromExact])
def test_exact_limits_hold_across_changes(machine: type[Fleet]) -> None:
    run_state_machine_as_test(machine, settings=SEARCH)


def test_search_detects_change_without_lead_time() -> None:
    with pytest.raises(AssertionError):
        run_state_machine_as_test(Hasty, settings=settings(FAULT_SEARCH, max_examples=2_000))
