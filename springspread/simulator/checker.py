"""The checker: judges every promise of a sender by what crosses the wire, and nothing else.

It is told of messages and verdicts, calls and their ends, lists, waits and notices, each with its time and
the sender that it concerns. It knows no sender's state. Times are milliseconds of the town's clock.
"""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b
from math import exp2, floor, inf

from hdrh.histogram import HdrHistogram

from springspread.interface import ClassSpec, Effect

SLACK_MS = 350.0  # an answer may come so late, the time that sockets take included
AWAY_SLACK_MS = 2_500.0  # how soon after the platform's return a sender tries again to tell it
GRACE_SLACK_MS = 50.0
WAIT_SLACK_MS = 100.0  # an endpoint lets through what was on its way as it told the wait
SPAN_MS = 2000.0
LONGEST_MS = 120_000


@dataclass(frozen=True, slots=True)
class Fault:
    """A broken promise: when, which one, by whom, and what was seen."""

    at: float
    rule: str
    sender: str
    text: str


@dataclass(slots=True)
class Case:
    """What is known of one message."""

    spec: ClassSpec
    group: int
    first_at: float  # when its client first handed it in, under whatever id
    deadline: float
    sender: str
    taken: bool | None = None  # None: the client has not heard yet
    early: float | None = None  # when it was delivered, where that was before the client heard
    ended: str = ""  # the final answer, where one came
    told_at: float = inf  # when the platform heard it
    may_have_run: int = 0
    ran: int = 0
    calls: int = 0
    worth: float = 0.0


@dataclass(slots=True)
class Tally:
    """What a day came to."""

    asked: float = 0.0
    kept: float = 0.0
    messages: int = 0
    delivered: int = 0
    refused: int = 0
    failed: int = 0
    calls: int = 0
    rejected: int = 0  # calls that a partner turned away
    after_all: int = 0  # delivered by a call that was still out as its end was told
    pushed_over: int = 0
    over_limit: int = 0
    attempts: int = 0
    handshakes: int = 0
    late_fails: int = 0  # messages whose client heard of their failure only after the wanted time
    worst: float = 1.0  # service of the worst ten seconds, by first hand-in
    limit_ratio: float = 0.0  # the most calls in any span of 2 s, over the limit's calls in it
    by_class: dict[str, list[float]] = field(default_factory=dict)

    @property
    def service(self) -> float:
        """Worth kept over worth asked for."""
        return self.kept / self.asked if self.asked else 1.0

    @property
    def grade(self) -> float:
        """Service by the brief's weights, less its prices: what a variant of the module is judged by."""
        if not self.messages:
            return 1.0
        worst_class = min((kept / asked for asked, kept in self.by_class.values() if asked), default=1.0)
        weighed = 0.5 * self.service + 0.3 * self.worst + 0.2 * worst_class
        waste = max(self.attempts - self.delivered, 0) / self.messages
        handshakes, late = self.handshakes / self.messages, self.late_fails / self.messages
        return weighed - 0.16 * min(waste, 1.0) - 0.04 * min(handshakes, 1.0) - 0.014 * late


class Checker:
    """Fed by a driver; ``close`` looks for what never came."""

    def __init__(
        self, classes: Sequence[ClassSpec], grace_ms: float, max_attempts: int, limits: Mapping[str, float]
    ) -> None:
        self._classes = {spec.name: spec for spec in classes}
        self._grace, self._max_attempts = grace_ms, max_attempts
        self._limits = limits  # calls a second that a limit key takes from everybody
        self._counts = {
            key: max(floor(per_s * SPAN_MS / 1000 + 1e-9), 1) for key, per_s in limits.items() if per_s < inf
        }
        self._cases: dict[str, Case] = {}
        self._told_off: dict[tuple[str, str], float] = {}
        self._waits: dict[tuple[str, str], float] = {}
        self._spans: dict[str, Counter[int]] = defaultdict(Counter)
        self._failure_witnesses: dict[str, set[str]] = defaultdict(set)
        self._seconds: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
        self._lately: dict[str, deque[float]] = defaultdict(deque)
        self._away: list[tuple[float, float]] = []
        self._dead: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.latency = HdrHistogram(1, LONGEST_MS, 3)  # of what was delivered, from its first hand-in
        self.faults: list[Fault] = []
        self.tally = Tally()
        self._seen = blake2b(digest_size=16)

    @property
    def digest(self) -> str:
        """Of all that crossed the wire, in order: alike for days that were played alike."""
        return self._seen.hexdigest()

    def sender_of(self, id: str) -> str:
        """To whom a message was handed in."""
        return self._cases[id].sender

    def knows(self, ids: Iterable[str | None]) -> bool:
        """Whether these are messages that were handed in, one at the least."""
        known = [id in self._cases for id in ids]
        return bool(known) and all(known)

    def unknown(self, at: float, endpoint: str, ids: Iterable[str | None]) -> None:
        """A call came with a message that nobody handed in."""
        self._fault(at, "unknown", "", f"a call to {endpoint} with {', '.join(map(repr, ids)) or 'nothing'}")

    @property
    def open(self) -> bool:
        """Whether a message that was taken on still has no end."""
        return any(case.taken and not case.ended for case in self._cases.values())

    def _see(self, *what: object) -> None:
        self._seen.update(repr(what).encode())

    def _fault(self, at: float, rule: str, sender: str, text: str) -> None:
        self.faults.append(Fault(at, rule, sender, text))

    def handed_in(
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
        """A client hands a message in; ``again`` after a refusal, under a new id, ``first_at`` stays."""
        self._see("in", at, sender, id, cls, group, left_ms)
        spec = self._classes[cls]
        if not again:
            self.tally.messages += 1
            self.tally.asked += spec.worth
            self.tally.by_class.setdefault(cls, [0.0, 0.0])[0] += spec.worth
            self._seconds[int(first_at / 1000)][0] += spec.worth
        self._cases[id] = Case(spec, group, first_at, at + left_ms, sender)

    def verdict(self, at: float, id: str, taken: bool) -> None:
        """What the client heard."""
        self._see("verdict", at, id, taken)
        case = self._cases[id]
        case.taken = taken
        self.tally.refused += not taken
        if case.early is not None:
            self._delivered(case.early, id, case)

    def listed(self, at: float, sender: str, endpoint: str, wanted: bool) -> None:
        """A sender is told whether an endpoint wants new work."""
        if wanted:
            self._told_off.pop((sender, endpoint), None)
        else:
            self._told_off.setdefault((sender, endpoint), at)

    def call(self, at: float, sender: str, endpoint: str, group: int, key: str, ids: Sequence[str]) -> None:
        """A call's first byte; ``key`` names the limit, and what a told wait binds."""
        self._see("call", at, sender, endpoint, list(ids))
        self.tally.calls += 1
        self._spans[key][int(at / SPAN_MS)] += 1
        lately = self._lately[key]
        lately.append(at)
        while lately[0] <= at - SPAN_MS:
            lately.popleft()
        if key in self._counts:
            self.tally.limit_ratio = max(self.tally.limit_ratio, len(lately) / self._counts[key])
        off = self._told_off.get((sender, endpoint), inf)
        if at > off + self._grace + GRACE_SLACK_MS:
            self._fault(at, "drain", sender, f"a call to {endpoint} {at - off:.0f} ms after it was told off")
        if at < self._waits.get((sender, key), -inf):
            self._fault(at, "wait", sender, f"a call to {endpoint} within a told wait")
        for id in ids:
            case = self._cases[id]
            case.calls += 1
            self.tally.attempts += 1
            if case.told_at < at:
                text = f"{id} was sent {at - case.told_at:.0f} ms after it was told as {case.ended}"
                self._fault(at, "answers", sender, text)
            if case.group != group:
                self._fault(at, "group", sender, f"{id} for {case.group} was sent to {group}")
            if case.calls > self._max_attempts:
                self._fault(at, "attempts", sender, f"{id} had {case.calls} attempts")
            if case.may_have_run and case.spec.effect is Effect.UNSAFE:
                self._fault(at, "twice", sender, f"{id} may have run and was sent again")

    def done(self, at: float, sender: str, key: str, ids: Sequence[str], end: str, ran: bool) -> None:
        """A call ended at its endpoint: ``delivered``, ``maybe`` (it may have run) or ``never``."""
        self._see("done", at, sender, list(ids), end, ran)
        for id in ids:
            case = self._cases[id]
            case.may_have_run += end != "never"
            case.ran += ran
            if case.ran > 1 and case.spec.effect is Effect.UNSAFE:
                self._fault(at, "twice", sender, f"{id} took effect {case.ran} times")
            if end == "delivered":
                self._delivered(at, id, case)

    def _delivered(self, at: float, id: str, case: Case) -> None:
        if case.taken is None:
            case.early = at
        if case.ended == "delivered" or not case.taken:
            return
        if case.ended:
            # A partner may answer once the sender has given up. A repeat of what may run once would do harm.
            self.tally.after_all += 1
            if case.ended == "deferred" and case.spec.effect is Effect.UNSAFE:
                self._fault(at, "answers", case.sender, f"{id} was delivered after it was told as deferred")
            return
        case.ended = "delivered"
        self.tally.delivered += 1
        worth = _worth(case.spec, at - case.first_at)
        self.latency.record_value(max(round(at - case.first_at), 1))
        self.tally.kept += worth
        self.tally.by_class[case.spec.name][1] += worth
        self._seconds[int(case.first_at / 1000)][1] += worth

    def wait(self, at: float, sender: str, key: str, ms: float) -> None:
        """A sender was told to wait; what is on its way then is let through."""
        self._waits[sender, key] = max(at + ms, self._waits.get((sender, key), -inf))

    def notice(self, at: float, id: str, status: str) -> None:
        """The platform was told a message's end."""
        self._see("notice", at, id, status)
        case = self._cases[id]
        if case.ended and case.ended != "delivered" and case.ended != status:
            self._fault(at, "answers", case.sender, f"{id} was told as {status} after {case.ended}")
        if at > self._due(case) and not case.ended and case.taken:
            self._fault(at, "late", case.sender, f"{id} heard {at - case.deadline:.0f} ms after its time")
        if not case.ended:
            case.ended, case.told_at = status, at
            self.tally.failed += status == "undeliverable"
            self.tally.late_fails += status == "undeliverable" and at > case.first_at + case.spec.aim_ms
            self.tally.refused += status == "deferred"

    def astray(self, at: float, sender: str, text: str) -> None:
        """A call came to an address that has passed to somebody else."""
        self._fault(at, "group", sender, text)

    def platform_away(self, begin: float, end: float) -> None:
        """Nobody could be told anything then: a notice that was due is due by the end of it."""
        self._away.append((begin, end))

    def sender_away(self, sender: str, begin: float, end: float) -> None:
        """A sender's process was dead then: what became due meanwhile is due by its return."""
        self._dead[sender].append((begin, end))

    def _due(self, case: Case) -> float:
        """By when a message's end has to be told."""
        due = case.deadline + SLACK_MS
        for begin, end in sorted(self._away + self._dead[case.sender]):
            if begin <= due <= end + AWAY_SLACK_MS:
                due = end + AWAY_SLACK_MS
        return due

    def troubled(self, endpoint: str) -> None:
        """An endpoint's trouble begins: who has seen it fail is asked anew."""
        self._failure_witnesses[endpoint].clear()

    def failed(self, at: float, sender: str, endpoint: str) -> None:
        """A sender's call failed there, or was refused."""
        self._failure_witnesses[endpoint].add(sender)

    def pushed_over(self, at: float, endpoint: str, senders: Sequence[str]) -> None:
        """A cold endpoint fell over under what it was sent by ``senders``, a call each.

        The promise is broken where two thirds of it came from senders that had seen a call fail there.
        """
        self.tally.pushed_over += 1
        knew = [sender for sender in senders if sender in self._failure_witnesses[endpoint]]
        if 3 * len(knew) >= 2 * len(senders):
            text = f"{endpoint} fell over as it came back; {len(knew)} of {len(senders)} calls knew"
            self._fault(at, "cold", ",".join(sorted(set(knew))), text)

    def close(self, at: float) -> None:
        """The day is over: whatever is still owed is lost."""
        for id, case in self._cases.items():
            if case.taken and not case.ended and at > self._due(case):
                text = f"{id} got no final answer in its time ({case.calls} attempts made)"
                self._fault(case.deadline, "lost", case.sender, text)
        for first in range(max(self._seconds, default=0) - 8):
            window = [self._seconds[second] for second in range(first, first + 10)]
            asked, kept = sum(one[0] for one in window), sum(one[1] for one in window)
            self.tally.worst = min(self.tally.worst, kept / asked if asked else 1.0)
        for key, spans in self._spans.items():
            most = self._limits.get(key, inf) * SPAN_MS / 1000
            self.tally.over_limit += sum(max(count - most, 0) > 0 for count in spans.values())


def _worth(spec: ClassSpec, took: float) -> float:
    late = max(took - spec.aim_ms, 0.0)
    return spec.worth * max(exp2(-late / spec.aim_ms), spec.late_worth) if late else spec.worth
