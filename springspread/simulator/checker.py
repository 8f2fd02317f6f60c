"""Checks a sender's guarantees against observed traffic only.

The drivers report messages, verdicts, calls, lists, retry-afters and notices, each with its time and sender.
No sender's internal state is read. Times are milliseconds of simulated time.
"""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b
from math import exp2, floor, inf

from hdrh.histogram import HdrHistogram

from springspread.interface import ClassSpec, Effect

ANSWER_SLACK_MS = 350.0  # tolerance for a late final status, socket latency included
RETURN_SLACK_MS = 2_500.0  # time to retry a notice once the platform or the sender is back
DRAIN_SLACK_MS = 50.0
SPAN_MS = 2000.0
MAX_LATENCY_MS = 120_000


@dataclass(frozen=True, slots=True)
class Fault:
    """A violated guarantee: when, which rule, which sender, and the details."""

    at: float
    rule: str
    sender: str
    text: str


@dataclass(slots=True)
class MessageRecord:
    """The observed state of one message."""

    spec: ClassSpec
    group: int
    first_at: float  # first submission, under any id
    deadline: float
    sender: str
    accepted: bool | None = None  # None: no verdict yet
    delivered_early: float | None = None  # delivery time, if before the verdict
    final_status: str = ""  # "" until there is one
    notified_at: float = inf  # when the platform received the notice
    may_have_run: int = 0
    ran: int = 0
    calls: int = 0
    worth: float = 0.0


@dataclass(slots=True)
class Tally:
    """The totals of a day."""

    asked: float = 0.0
    kept: float = 0.0
    messages: int = 0
    delivered: int = 0
    refused: int = 0
    failed: int = 0
    calls: int = 0
    rejected: int = 0  # calls that a partner rejected
    after_all: int = 0  # delivered by a call in flight after the final notice
    pushed_over: int = 0
    over_limit: int = 0
    attempts: int = 0
    handshakes: int = 0
    late_fails: int = 0  # failures reported after the class's aim
    worst: float = 1.0  # service of the worst ten seconds, by first submission
    limit_ratio: float = 0.0  # peak calls in any 2 s, relative to the limit
    by_class: dict[str, list[float]] = field(default_factory=dict)

    @property
    def service(self) -> float:
        """Worth delivered over worth submitted."""
        return self.kept / self.asked if self.asked else 1.0

    @property
    def grade(self) -> float:
        """Weighted service minus the prices of waste, handshakes and late failures."""
        if not self.messages:
            return 1.0
        worst_class = min((kept / asked for asked, kept in self.by_class.values() if asked), default=1.0)
        weighed = 0.5 * self.service + 0.3 * self.worst + 0.2 * worst_class
        waste = max(self.attempts - self.delivered, 0) / self.messages
        handshakes, late = self.handshakes / self.messages, self.late_fails / self.messages
        return weighed - 0.16 * min(waste, 1.0) - 0.04 * min(handshakes, 1.0) - 0.014 * late


class Checker:
    """Records a driver's events; ``close`` checks for messages without a final status."""

    def __init__(
        self, classes: Sequence[ClassSpec], grace_ms: float, max_attempts: int, limits: Mapping[str, float]
    ) -> None:
        self._classes = {spec.name: spec for spec in classes}
        self._grace, self._max_attempts = grace_ms, max_attempts
        self._limits = limits  # calls a second in total, by limit key
        self._calls_per_span = {
            key: max(floor(per_s * SPAN_MS / 1000 + 1e-9), 1) for key, per_s in limits.items() if per_s < inf
        }
        self._messages: dict[str, MessageRecord] = {}
        self._withdrawn_at: dict[tuple[str, str], float] = {}
        self._waiting_until: dict[tuple[str, str], float] = {}
        self._calls_by_span: dict[str, Counter[int]] = defaultdict(Counter)
        self._failure_witnesses: dict[str, set[str]] = defaultdict(set)
        self._worth_by_second: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
        self._recent_calls: dict[str, deque[float]] = defaultdict(deque)
        self._platform_outages: list[tuple[float, float]] = []
        self._sender_outages: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.latency = HdrHistogram(1, MAX_LATENCY_MS, 3)  # of delivered messages, from first submission
        self.faults: list[Fault] = []
        self.tally = Tally()
        self._wire_hash = blake2b(digest_size=16)

    @property
    def digest(self) -> str:
        """A hash of all traffic in order; equal for identical runs."""
        return self._wire_hash.hexdigest()

    def sender_of(self, id: str) -> str:
        """The sender to which a message was submitted."""
        return self._messages[id].sender

    def knows_all(self, ids: Iterable[str | None]) -> bool:
        """Whether there is at least one id and all were submitted."""
        known = [id in self._messages for id in ids]
        return bool(known) and all(known)

    def unknown_call(self, at: float, endpoint: str, ids: Iterable[str | None]) -> None:
        """A call carried a message that was never submitted."""
        self._fault(at, "unknown", "", f"a call to {endpoint} with {', '.join(map(repr, ids)) or 'nothing'}")

    @property
    def open(self) -> bool:
        """Whether an accepted message has no final status yet."""
        return any(record.accepted and not record.final_status for record in self._messages.values())

    def _record_event(self, *what: object) -> None:
        self._wire_hash.update(repr(what).encode())

    def _fault(self, at: float, rule: str, sender: str, text: str) -> None:
        self.faults.append(Fault(at, rule, sender, text))

    def submitted(
        self,
        at: float,
        sender: str,
        id: str,
        cls: str,
        group: int,
        left_ms: float,
        first_at: float,
        again: bool = False,
    ) -> None:
        """A client submits a message; ``again``: resubmitted under a new id with the same ``first_at``."""
        self._record_event("in", at, sender, id, cls, group, left_ms)
        spec = self._classes[cls]
        if not again:
            self.tally.messages += 1
            self.tally.asked += spec.worth
            self.tally.by_class.setdefault(cls, [0.0, 0.0])[0] += spec.worth
            self._worth_by_second[int(first_at / 1000)][0] += spec.worth
        self._messages[id] = MessageRecord(spec, group, first_at, at + left_ms, sender)

    def verdict(self, at: float, id: str, accepted: bool) -> None:
        """The client received the sender's verdict."""
        self._record_event("verdict", at, id, accepted)
        record = self._messages[id]
        record.accepted = accepted
        self.tally.refused += not accepted
        if record.delivered_early is not None:
            self._message_delivered(record.delivered_early, id, record)

    def listed(self, at: float, sender: str, endpoint: str, wanted: bool) -> None:
        """Discovery told a sender whether an endpoint takes new calls."""
        if wanted:
            self._withdrawn_at.pop((sender, endpoint), None)
        else:
            self._withdrawn_at.setdefault((sender, endpoint), at)

    def call(self, at: float, sender: str, endpoint: str, group: int, key: str, ids: Sequence[str]) -> None:
        """A call begins; ``key`` identifies the limit, and the scope of a retry-after."""
        self._record_event("call", at, sender, endpoint, list(ids))
        self.tally.calls += 1
        self._calls_by_span[key][int(at / SPAN_MS)] += 1
        recent = self._recent_calls[key]
        recent.append(at)
        while recent[0] <= at - SPAN_MS:
            recent.popleft()
        if key in self._calls_per_span:
            self.tally.limit_ratio = max(self.tally.limit_ratio, len(recent) / self._calls_per_span[key])
        withdrawn_at = self._withdrawn_at.get((sender, endpoint), inf)
        if at > withdrawn_at + self._grace + DRAIN_SLACK_MS:
            self._fault(
                at, "drain", sender, f"a call to {endpoint} {at - withdrawn_at:.0f} ms after it was told off"
            )
        if at < self._waiting_until.get((sender, key), -inf):
            self._fault(at, "wait", sender, f"a call to {endpoint} within a told wait")
        for id in ids:
            record = self._messages[id]
            record.calls += 1
            self.tally.attempts += 1
            if record.notified_at < at:
                text = (
                    f"{id} was sent {at - record.notified_at:.0f} ms "
                    f"after it was told as {record.final_status}"
                )
                self._fault(at, "answers", sender, text)
            if record.group != group:
                self._fault(at, "group", sender, f"{id} for {record.group} was sent to {group}")
            if record.calls > self._max_attempts:
                self._fault(at, "attempts", sender, f"{id} had {record.calls} attempts")
            if record.may_have_run and record.spec.effect is Effect.UNSAFE:
                self._fault(at, "twice", sender, f"{id} may have run and was sent again")

    def done(self, at: float, sender: str, key: str, ids: Sequence[str], end: str, ran: bool) -> None:
        """A call ended: ``delivered``, ``maybe`` (it may have run) or ``never``."""
        self._record_event("done", at, sender, list(ids), end, ran)
        for id in ids:
            record = self._messages[id]
            record.may_have_run += end != "never"
            record.ran += ran
            if record.ran > 1 and record.spec.effect is Effect.UNSAFE:
                self._fault(at, "twice", sender, f"{id} took effect {record.ran} times")
            if end == "delivered":
                self._message_delivered(at, id, record)

    def _message_delivered(self, at: float, id: str, record: MessageRecord) -> None:
        if record.accepted is None:
            record.delivered_early = at
        if record.final_status == "delivered" or not record.accepted:
            return
        if record.final_status:
            # A partner may answer after the sender gave up. A deferred unsafe message would then run twice.
            self.tally.after_all += 1
            if record.final_status == "deferred" and record.spec.effect is Effect.UNSAFE:
                self._fault(at, "answers", record.sender, f"{id} was delivered after it was told as deferred")
            return
        record.final_status = "delivered"
        self.tally.delivered += 1
        worth = _worth(record.spec, at - record.first_at)
        self.latency.record_value(max(round(at - record.first_at), 1))
        self.tally.kept += worth
        self.tally.by_class[record.spec.name][1] += worth
        self._worth_by_second[int(record.first_at / 1000)][1] += worth

    def wait(self, at: float, sender: str, key: str, ms: float) -> None:
        """A sender received a retry-after; calls already in flight are allowed."""
        self._waiting_until[sender, key] = max(at + ms, self._waiting_until.get((sender, key), -inf))

    def notice(self, at: float, id: str, status: str) -> None:
        """The platform received a message's final status."""
        self._record_event("notice", at, id, status)
        record = self._messages[id]
        if record.final_status and record.final_status != "delivered" and record.final_status != status:
            self._fault(
                at, "answers", record.sender, f"{id} was told as {status} after {record.final_status}"
            )
        if at > self._due(record) and not record.final_status and record.accepted:
            self._fault(
                at,
                "late",
                record.sender,
                f"{id} heard {at - record.deadline:.0f} ms after its time",
            )
        if not record.final_status:
            record.final_status, record.notified_at = status, at
            self.tally.failed += status == "undeliverable"
            self.tally.late_fails += status == "undeliverable" and at > record.first_at + record.spec.aim_ms
            self.tally.refused += status == "deferred"

    def misdirected(self, at: float, sender: str, text: str) -> None:
        """A call reached an address that now belongs to another endpoint."""
        self._fault(at, "group", sender, text)

    def platform_down(self, begin: float, end: float) -> None:
        """The platform was unavailable: notices due meanwhile are due after its end."""
        self._platform_outages.append((begin, end))

    def sender_down(self, sender: str, begin: float, end: float) -> None:
        """A sender's process was down: notices due meanwhile are due after its return."""
        self._sender_outages[sender].append((begin, end))

    def _due(self, record: MessageRecord) -> float:
        """The latest time for a message's final status."""
        due = record.deadline + ANSWER_SLACK_MS
        for begin, end in sorted(self._platform_outages + self._sender_outages[record.sender]):
            if begin <= due <= end + RETURN_SLACK_MS:
                due = end + RETURN_SLACK_MS
        return due

    def trouble_began(self, endpoint: str) -> None:
        """An endpoint's trouble begins: forget which senders saw earlier failures."""
        self._failure_witnesses[endpoint].clear()

    def failed(self, at: float, sender: str, endpoint: str) -> None:
        """A sender's call to the endpoint failed or was rejected."""
        self._failure_witnesses[endpoint].add(sender)

    def cold_overload(self, at: float, endpoint: str, senders: Sequence[str]) -> None:
        """A cold endpoint was overloaded by the calls of ``senders`` (one entry a call).

        A violation if at least two thirds came from senders that had seen a call fail there.
        """
        self.tally.pushed_over += 1
        aware = [sender for sender in senders if sender in self._failure_witnesses[endpoint]]
        if 3 * len(aware) >= 2 * len(senders):
            text = f"{endpoint} fell over as it came back; {len(aware)} of {len(senders)} calls knew"
            self._fault(at, "cold", ",".join(sorted(set(aware))), text)

    def close(self, at: float) -> None:
        """End of the day: overdue messages without a final status are lost."""
        for id, record in self._messages.items():
            if record.accepted and not record.final_status and at > self._due(record):
                text = f"{id} got no final answer in its time ({record.calls} attempts made)"
                self._fault(record.deadline, "lost", record.sender, text)
        for first in range(max(self._worth_by_second, default=0) - 8):
            window = [self._worth_by_second[second] for second in range(first, first + 10)]
            asked, kept = sum(one[0] for one in window), sum(one[1] for one in window)
            self.tally.worst = min(self.tally.worst, kept / asked if asked else 1.0)
        for key, spans in self._calls_by_span.items():
            capacity = self._limits.get(key, inf) * SPAN_MS / 1000
            self.tally.over_limit += sum(max(count - capacity, 0) > 0 for count in spans.values())


def _worth(spec: ClassSpec, elapsed_ms: float) -> float:
    late = max(elapsed_ms - spec.aim_ms, 0.0)
    return spec.worth * max(exp2(-late / spec.aim_ms), spec.late_worth) if late else spec.worth
