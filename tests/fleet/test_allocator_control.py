"""The allocator's logic in both modes: bindings, notifications, reports, restarts and registration."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import pairwise
from math import inf

import pytest

from springspread.fleet.allocator import Allocator
from springspread.fleet.allocator_control import LEARNING_MS, AllocatorControl, RegisterRefused
from springspread.fleet.binding import HOLD_MS, Cause
from springspread.fleet.lease_cache import FRESH_MS, REPORT_MS, LeaseCache
from springspread.fleet.limits import Lease, Limit, LimitMode, Owner
from springspread.fleet.messages import (
    MAX_KEYS,
    PROTOCOL_VERSION,
    KeyStatus,
    KeyStatuses,
    LeaseGrants,
    LeaseReport,
    LeaseRequest,
    LimitMessage,
    Register,
    UseReport,
    Welcome,
    fingerprint,
)
from springspread.fleet.outbox import Outbox
from springspread.fleet.sender_notifier import BATCH_DELAY_MS, BROADCAST_INTERVAL_MS
from springspread.fleet.sender_session import SenderSession

SPAN = 2_000.0
EXACT, ADAPTIVE = LimitMode.EXACT, LimitMode.ADAPTIVE
ADAPTIVE_LIMIT = Limit(20, SPAN, ADAPTIVE)


@dataclass
class Sender:
    """The real cache and session, with the time of each call."""

    name: str
    epoch: int = 1
    disconnected: bool = False
    frozen: bool = False
    made: list[tuple[float, str]] = field(default_factory=list)
    unread: list[LimitMessage] = field(default_factory=list)  # in its connection

    def __post_init__(self) -> None:
        self.cache = LeaseCache()
        self.session = SenderSession(self.name, self.epoch, "fleet", self.cache)
        self.connected = False

    def call(self, key: str, now: float) -> bool:
        if self.cache.take(key, now) > 0.0:
            return False
        self.made.append((now, key))
        return True

    def read(self, now: float) -> None:
        unread, self.unread = self.unread, []
        for message in unread:
            assert isinstance(message, Welcome | KeyStatuses | LeaseGrants)
            self.session.received(now, message)


class Fleet:
    """Senders and an allocator in simulated time, without sockets or threads."""

    def __init__(self, limits: dict[str, Limit], default: LimitMode, senders: int = 2) -> None:
        self.now = 0.0
        self.limits, self.default = limits, default
        self.record: list[Lease] = []
        self.control = self.begin(learning=False)
        self.senders = [Sender(f"n{n:04}") for n in range(senders)]
        self.refused: list[str] = []
        self.bytes_down = 0

    def begin(self, learning: bool, known: bool = True) -> AllocatorControl:
        allocator = Allocator()
        if known:
            allocator.restore(self.record)
        else:
            allocator.assume_exhausted(self.now)
        return AllocatorControl("fleet", self.default, self.limits, allocator, self.now, learning)

    def replace(self, known: bool = True) -> None:
        """Replace the allocator by a successor, with or without its record."""
        self.control = self.begin(learning=True, known=known)
        for sender in self.senders:
            sender.connected = False

    def step(self, ms: float = 10.0) -> None:
        self.now += ms
        for sender in self.senders:
            if sender.disconnected:
                sender.connected = False
                continue
            if sender.frozen:
                continue
            sender.read(self.now)
            due: list[LimitMessage] = []
            if not sender.connected:
                sender.connected = True
                due += sender.session.connected(self.now)
            due += sender.session.due(self.now)
            for message in due:
                self.deliver(sender, message)
        leases = self.control.tick(self.now)
        self.record += leases
        self.control.grant(self.now, leases)
        for owner, messages in self.control.take_messages().items():
            for sender in self.senders:
                if (sender.name, sender.epoch) == owner and not sender.disconnected:
                    sender.unread += messages
                    if not sender.frozen:
                        sender.read(self.now)

    def deliver(self, sender: Sender, message: LimitMessage) -> None:
        if isinstance(message, Register):
            self.control.register(self.now, message)
        else:
            assert isinstance(message, LeaseRequest | UseReport)
            self.control.received(self.now, (sender.name, sender.epoch), message)

    def run(self, until: float, per_step: dict[str, int] | None = None) -> None:
        """Run until a time; in each step every sender tries ``per_step`` calls by key."""
        while self.now < until:
            self.step()
            for sender in [one for one in self.senders if not one.frozen]:
                for key, calls in (per_step or {}).items():
                    for _ in range(calls):
                        sender.call(key, self.now)

    def max_in_span(self, key: str, begin: float = 0.0, span: float = SPAN) -> int:
        times = sorted(at for one in self.senders for at, called in one.made if called == key and at >= begin)
        most = first = 0
        for last, at in enumerate(times):
            while times[first] <= at - span:
                first += 1
            most = max(most, last - first + 1)
        return most


def owner_of(sender: Sender) -> Owner:
    return (sender.name, sender.epoch)


def test_limit_is_bound_near_its_demand_and_released_later() -> None:
    fleet = Fleet({"g1": ADAPTIVE_LIMIT}, ADAPTIVE)
    fleet.run(6_000.0)
    for _ in range(8):  # 4 calls a span of 20
        fleet.senders[0].call("g1", fleet.now)
        fleet.run(fleet.now + 500.0)
    assert fleet.record == [] and not fleet.control.is_bound("g1")
    fleet.run(fleet.now + 8_000.0, {"g1": 1})  # 200 a second of a limit of 10
    bound_at = fleet.now
    assert fleet.control.is_bound("g1") and fleet.record
    assert fleet.max_in_span("g1", begin=bound_at - 4_000.0) <= 20
    fleet.run(fleet.now + 3 * HOLD_MS)
    assert not fleet.control.is_bound("g1")
    leases = len(fleet.record)
    assert not fleet.senders[1].call("g1", fleet.now)  # not fresh after a long idle time
    fleet.run(fleet.now + 30.0)
    assert fleet.senders[1].call("g1", fleet.now) and len(fleet.record) == leases


def test_unused_limits_cause_no_messages() -> None:
    limits = {f"g{n}": ADAPTIVE_LIMIT for n in range(5_000)}
    control = AllocatorControl("fleet", ADAPTIVE, limits, Allocator(), 0.0)
    control.register(0.0, Register(PROTOCOL_VERSION, "fleet", "n0", 1))
    assert control.take_messages() == {("n0", 1): [Welcome(KeyStatus.FREE, True)]}
    exact = AllocatorControl("fleet", EXACT, {key: Limit(20, SPAN) for key in limits}, Allocator(), 0.0)
    exact.register(0.0, Register(PROTOCOL_VERSION, "fleet", "n0", 1))
    assert exact.take_messages() == {("n0", 1): [Welcome(KeyStatus.BOUND, True)]}


def test_cost_depends_on_limits_in_use_only() -> None:
    costs = []
    for count in (100, 140_000):
        limits = {f"g{n}": Limit(20, SPAN, EXACT if n % 2 else ADAPTIVE) for n in range(count)}
        allocator = Allocator()
        control = AllocatorControl("fleet", ADAPTIVE, limits, allocator, 0.0)
        owner = control.register(0.0, Register(PROTOCOL_VERSION, "fleet", "n0", 1))
        statuses = [one for one in control.take_messages()[owner] if isinstance(one, KeyStatuses)]
        assert len([key for one in statuses for key in one.bound]) == count // 2  # each exact limit once
        for n in range(100):
            now = 10.0 * n
            control.received(now, owner, LeaseRequest({f"g{n}": 1}))
            control.received(now, owner, UseReport(n + 1, 0.0, {f"g{n}": 1}))
            control.grant(now, control.tick(now))
        sent = [one for message in control.take_messages()[owner] for one in [message]]
        costs.append((allocator.limits_examined, allocator.state_count, len(sent)))
    assert costs[0] == costs[1] and costs[0][0] <= 200


def test_demand_jump_is_bound_within_exposure() -> None:
    fleet = Fleet({"g1": ADAPTIVE_LIMIT}, ADAPTIVE, senders=60)
    fleet.run(3_000.0)
    for sender in fleet.senders[:4]:
        sender.call("g1", fleet.now)
    fleet.run(6_000.0)
    jumped_at = fleet.now
    while fleet.now < jumped_at + 6_000.0:
        fleet.step()
        for number, sender in enumerate(fleet.senders):
            if (fleet.now // 10.0 + number) % 12 == 0:  # 500 calls a second against 10
                sender.call("g1", fleet.now)
    assert fleet.control.causes[Cause.BURST] == 1
    assert fleet.max_in_span("g1", begin=jumped_at + FRESH_MS) <= 20
    assert fleet.max_in_span("g1") <= 20 + 20**0.5 + 500 * (REPORT_MS + 40.0) / 1_000.0


@pytest.mark.parametrize("bound", [False, True])
def test_lowered_limit_holds_after_exposure(bound: bool) -> None:
    fleet = Fleet({"g1": Limit(200, SPAN, ADAPTIVE)}, ADAPTIVE, senders=8)
    fleet.run(4_000.0)
    rate = 2 if bound else 1
    while fleet.now < 20_000.0:
        fleet.step()
        if fleet.now % (20.0 if bound else 50.0) < 10.0:
            for sender in fleet.senders[: 2 * rate]:
                sender.call("g1", fleet.now)
    assert fleet.control.is_bound("g1") is bound
    fleet.control.set_limit(fleet.now, "g1", Limit(20, SPAN, ADAPTIVE))
    lowered_at = fleet.now
    fleet.run(lowered_at + 8_000.0, {"g1": 1})
    assert fleet.control.is_bound("g1")
    assert fleet.max_in_span("g1", begin=lowered_at + FRESH_MS) <= 20
    assert len([at for one in fleet.senders for at, _ in one.made if at > lowered_at + FRESH_MS]) >= 20


def test_thawed_sender_makes_no_free_call_and_late_report_is_ignored() -> None:
    fleet = Fleet({"g1": ADAPTIVE_LIMIT}, ADAPTIVE)
    frozen, other = fleet.senders
    fleet.step()
    for _ in range(10):
        assert frozen.call("g1", fleet.now)
    frozen.frozen = True
    fleet.run(fleet.now + 8_000.0, {"g1": 1})
    assert fleet.control.is_bound("g1") and other.made
    assert not frozen.call("g1", fleet.now)  # before it reads any message
    report = frozen.session.due(fleet.now)
    assert [type(one) for one in report] == [UseReport]
    before = fleet.control.committed_calls("g1", fleet.now)
    fleet.deliver(frozen, report[0])
    assert fleet.control.committed_calls("g1", fleet.now) == before  # its calls are older than any span
    frozen.frozen = False
    resumed = fleet.now
    fleet.run(resumed + 6_000.0, {"g1": 1})
    assert frozen.made[-1][0] > resumed  # against leases
    assert fleet.max_in_span("g1", begin=resumed) <= 20


def test_duplicate_late_or_outdated_reports_are_not_counted() -> None:
    control = AllocatorControl("fleet", ADAPTIVE, {"g1": Limit(1_000, SPAN, ADAPTIVE)}, Allocator(), 0.0)
    old, new = ("n0", 1), ("n0", 2)
    control.register(0.0, Register(PROTOCOL_VERSION, "fleet", *old))
    binding = control._binding("g1", Limit(1_000, SPAN, ADAPTIVE))

    def counted(now: float, owner: Owner, report: UseReport) -> int:
        before = binding.recent_calls(now)
        control.received(now, owner, report)
        return binding.recent_calls(now) - before

    assert counted(10.0, old, UseReport(2, 0.0, {"g1": 5})) == 5
    assert counted(11.0, old, UseReport(2, 0.0, {"g1": 5})) == 0  # duplicate
    assert counted(12.0, old, UseReport(1, 0.0, {"g1": 5})) == 0  # out of order
    assert counted(13.0, old, UseReport(3, SPAN + 1.0, {"g1": 5})) == 0  # older than the span
    control.register(14.0, Register(PROTOCOL_VERSION, "fleet", *new))
    assert counted(15.0, new, UseReport(1, 0.0, {"g1": 5})) == 5  # sequences restart with the epoch
    with pytest.raises(RegisterRefused, match="n0: epoch 1 is no longer registered"):
        counted(16.0, old, UseReport(9, 0.0, {"g1": 5}))  # of the replaced start
    assert binding.recent_calls(16.0) == 10
    (first, *_) = control.take_messages()[new]
    assert first == Welcome(KeyStatus.FREE, True, 1)


@pytest.mark.parametrize("known", [True, False])
@pytest.mark.parametrize("mode", [EXACT, ADAPTIVE])
def test_successor_keeps_bound_limit(mode: LimitMode, known: bool) -> None:
    fleet = Fleet({"g1": Limit(20, SPAN, mode)}, mode, senders=4)
    fleet.run(10_000.0, {"g1": 1})
    assert fleet.control.is_bound("g1")
    died = fleet.now
    fleet.replace(known)
    fleet.run(died + 3 * LEARNING_MS, {"g1": 1})
    # A span that overlaps the restart holds leases of both allocators.
    assert fleet.max_in_span("g1", begin=died - SPAN if mode is EXACT else died - 1.0) <= 20
    assert fleet.max_in_span("g1", begin=died - 6_000.0) <= 20
    assert any(at > died + SPAN for one in fleet.senders for at, _ in one.made)


@pytest.mark.parametrize("known", [True, False])
@pytest.mark.parametrize("mode", [EXACT, ADAPTIVE])
def test_recorded_but_unsent_leases_count_at_successor(mode: LimitMode, known: bool) -> None:
    """The allocator dies after writing the record; if ``known`` is false, the record is lost as well."""
    fleet = Fleet({"g1": Limit(20, SPAN, mode)}, mode, senders=2)
    fleet.run(10_000.0, {"g1": 1})
    fleet.now += 10.0
    for sender in fleet.senders:
        for message in sender.session.due(fleet.now):
            fleet.deliver(sender, message)
    fleet.record += fleet.control.tick(fleet.now)  # but not sent
    died = fleet.now
    fleet.replace(known)
    fleet.run(died + 6_000.0, {"g1": 1})
    assert fleet.max_in_span("g1", begin=died - 6_000.0) <= 20


def test_restart_of_most_senders_keeps_bound_limit() -> None:
    fleet = Fleet({"g1": ADAPTIVE_LIMIT}, ADAPTIVE, senders=30)
    fleet.run(8_000.0, {"g1": 1})
    assert fleet.control.is_bound("g1")
    restarted_at = fleet.now
    replaced: list[Sender] = []
    for n in range(20):
        replaced.append(fleet.senders[n])
        fleet.senders[n] = Sender(replaced[-1].name, epoch=2)
        fleet.run(restarted_at + 50.0 * (n + 1), {"g1": 1})
    fleet.run(restarted_at + 5_000.0, {"g1": 1})
    fleet.senders += replaced
    assert fleet.max_in_span("g1", begin=restarted_at - 2_000.0) <= 20


def test_disconnected_zone_stops_and_reconnects_within_limit() -> None:
    fleet = Fleet({"g1": ADAPTIVE_LIMIT, "g2": Limit(20, SPAN, EXACT)}, ADAPTIVE, senders=9)
    fleet.run(3_000.0)
    cut_at = fleet.now
    for sender in fleet.senders[:3]:
        sender.disconnected = True
    fleet.run(cut_at + 10_000.0, {"g1": 1, "g2": 1})
    late = [at for one in fleet.senders[:3] for at, _ in one.made if at >= cut_at + FRESH_MS]
    assert late == []
    assert fleet.control.is_bound("g1")
    for sender in fleet.senders[:3]:
        sender.disconnected = False
    reconnected_at = fleet.now
    fleet.run(reconnected_at + 6_000.0, {"g1": 1, "g2": 1})
    assert any(at > reconnected_at for one in fleet.senders[:3] for at, _ in one.made)
    assert fleet.max_in_span("g1", begin=cut_at + FRESH_MS) <= 20 and fleet.max_in_span("g2") <= 20


@pytest.mark.parametrize("mode", [EXACT, ADAPTIVE])
def test_limit_is_added_and_removed(mode: LimitMode) -> None:
    fleet = Fleet({}, mode, senders=3)
    fleet.run(3_000.0, {"g1": 1})
    assert all(one.made for one in fleet.senders)  # it has no limit
    fleet.control.set_limit(fleet.now, "g1", Limit(20, SPAN, mode))
    given = fleet.now
    fleet.run(given + 8_000.0, {"g1": 1})
    assert fleet.max_in_span("g1", begin=given + (0.1 if mode is EXACT else FRESH_MS + SPAN)) <= 20
    fleet.control.remove_limit("g1")
    taken = fleet.now
    fleet.run(taken + 1_000.0, {"g1": 1})
    assert sum(at > taken for at, _ in fleet.senders[0].made) >= 90


def test_registration_of_wrong_fleet_epoch_or_version_is_refused() -> None:
    control = AllocatorControl("fleet", EXACT, {}, Allocator(), 0.0)
    control.register(0.0, Register(PROTOCOL_VERSION, "fleet", "n0", 3))
    for register, fault in [
        (Register(PROTOCOL_VERSION, "other", "n0", 4), "member of another fleet: other"),
        (Register(PROTOCOL_VERSION, "fleet", "n0", 2), "n0: epoch 2 was replaced by a later one"),
        (Register(9, "fleet", "n0", 4), "protocol version 9, expected 2"),
    ]:
        with pytest.raises(RegisterRefused, match=fault):
            control.register(1.0, register)


def test_report_of_another_owners_lease_is_ignored() -> None:
    control = AllocatorControl("fleet", EXACT, {"g1": Limit(50, SPAN)}, Allocator(), 0.0)
    one = control.register(0.0, Register(PROTOCOL_VERSION, "fleet", "n0", 1))
    other = control.register(0.0, Register(PROTOCOL_VERSION, "fleet", "n1", 1))
    control.received(1.0, one, LeaseRequest({"g1": 10}))
    leases = control.tick(2.0)
    control.grant(2.0, leases)
    assert sum(lease.calls for lease in leases) == 10
    for lease in leases:
        control.received(3.0, other, LeaseRequest({"g1": 0}, (LeaseReport("g1", lease.serial, 0, 0.0),)))
    assert control.committed_calls("g1", 3.0) == 10


def test_default_mode_change_is_broadcast_and_stricter_mode_applies_before() -> None:
    limits = {"g1": Limit(20, SPAN), "g2": ADAPTIVE_LIMIT}
    fleet = Fleet(limits, EXACT, senders=3)
    fleet.run(4_000.0, {"g1": 1, "g2": 1, "g3": 1})
    fleet.control.schedule_limits(fleet.now, limits, fleet.now + 1_000.0, ADAPTIVE)
    fleet.run(fleet.now + 900.0)
    assert all(one.cache.take("g4", fleet.now) > 0.0 for one in fleet.senders)
    fleet.run(fleet.now + 200.0)
    assert all(one.cache.take("g4", fleet.now) == 0.0 for one in fleet.senders)
    fleet.control.schedule_limits(fleet.now, limits, fleet.now + 5_000.0, EXACT)
    fleet.run(fleet.now + 50.0)
    assert all(one.cache.take("g5", fleet.now) > 0.0 for one in fleet.senders)
    fleet.run(fleet.now + 3_000.0, {"g1": 1, "g2": 1, "g3": 1})
    assert fleet.max_in_span("g1") <= 20 and sum(key == "g3" for _, key in fleet.senders[0].made) > 500


def test_bound_limit_is_broadcast_and_sent_to_new_senders() -> None:
    control = AllocatorControl("fleet", ADAPTIVE, {"g1": ADAPTIVE_LIMIT}, Allocator(), 0.0)
    owners = [control.register(0.0, Register(PROTOCOL_VERSION, "fleet", f"n{n}", 1)) for n in range(3)]
    control.take_messages()
    control.received(1.0, owners[0], UseReport(1, 0.0, {"g1": 50}))
    bound = (fingerprint("g1"),)
    assert control.next_at <= 1.0
    control.tick(2.0)
    assert control.take_messages() == {
        owners[0]: [KeyStatuses(1, bound=bound)]
    }  # with the acknowledgement, without delay
    batch_at = 2.0 + BATCH_DELAY_MS[KeyStatus.BOUND]
    control.tick(batch_at - 1.0)
    assert control.take_messages() == {} and control.next_at == batch_at
    control.tick(batch_at)
    assert control.take_messages() == dict.fromkeys(owners[1:], [KeyStatuses(0, bound=bound)])
    late = control.register(300.0, Register(PROTOCOL_VERSION, "fleet", "n9", 1))
    sent_late = control.take_messages()[late]
    assert sent_late == [Welcome(KeyStatus.FREE, True, 1), KeyStatuses(0, bound=bound)]


def test_consecutive_bindings_are_batched() -> None:
    limits = {f"g{number}": ADAPTIVE_LIMIT for number in range(100)}
    control = AllocatorControl("fleet", ADAPTIVE, limits, Allocator(), 0.0)
    owners = [control.register(0.0, Register(PROTOCOL_VERSION, "fleet", f"n{n}", 1)) for n in range(2)]
    control.take_messages()
    sent_at: list[float] = []
    for now in range(1, 1_001):
        if now % 10 == 0:  # the first sender's report binds another limit
            control.received(float(now), owners[0], UseReport(now, 0.0, {f"g{now // 10 - 1}": 50}))
        assert control.next_at >= now or control.next_at == -inf
        control.tick(float(now))
        if owners[1] in control.take_messages():
            sent_at.append(float(now))
    assert sent_at[0] == 10.0 + BATCH_DELAY_MS[KeyStatus.BOUND]
    assert [later - at for at, later in pairwise(sent_at)] == [BROADCAST_INTERVAL_MS] * (
        len(sent_at) - 1
    ) and len(sent_at) == 4


def test_acknowledgement_is_sent_with_last_statuses() -> None:
    statuses = dict.fromkeys(range(2 * MAX_KEYS + 1), KeyStatus.BOUND)
    messages = Outbox(acknowledged=7, statuses=statuses).messages()
    assert [one.acknowledged for one in messages if isinstance(one, KeyStatuses)] == [0, 0, 7]


def test_withdrawn_request_is_not_answered_if_default_is_free() -> None:
    control = AllocatorControl("fleet", ADAPTIVE, {"g1": ADAPTIVE_LIMIT}, Allocator(), 0.0)
    owner = control.register(0.0, Register(PROTOCOL_VERSION, "fleet", "n0", 1))
    control.take_messages()
    control.received(1.0, owner, LeaseRequest({"g1": 0}))
    assert control.take_messages() == {}
    control.received(
        2.0, owner, LeaseRequest({"g1": 1})
    )  # a sender that does not know that the limit is free
    assert control.take_messages() == {owner: [KeyStatuses(0, free=(fingerprint("g1"),))]}
