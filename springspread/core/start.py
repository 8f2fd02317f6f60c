"""What a start holds: what was owed before it, the gate before which it stands, and the time that counts.

Used by the loop's thread alone; ``standing``, ``open`` and ``owed`` may be looked at from any.
"""

from __future__ import annotations

from collections.abc import Iterable

from springspread.config import Waits
from springspread.core import worldtime
from springspread.core.clock import Clock
from springspread.core.gates import Gate, Seen, Standing, step
from springspread.core.journal import PendingMessage
from springspread.core.types import Log

ASK_MS = 500.0  # an answer that did not come is asked for again


class Start:
    """From a process's first moment on. ``written_wall``: of the journal's last write (Unix time, ms)."""

    def __init__(self, waits: Waits, log: Log, clock: Clock, written_wall: float) -> None:
        self._waits, self._log, self._clock, self._written = waits, log, clock, written_wall
        self.standing = Standing(Gate.CLOCK, clock.now())
        self._world: tuple[float, float] | None = None  # the world's time, and when it was that
        self._steady: tuple[float, float] | None = None  # the time that counts, and when it was that
        self._waiting: list[tuple[PendingMessage, float]] = []  # owed, and not set free yet; its class's time
        self._owed: set[int] = set()  # what was owed at the start, as far as it has no end yet
        self.owed_at_start = 0
        self._ask_at = 0.0

    def begin(self, now: float, owed: Iterable[tuple[PendingMessage, float]]) -> None:
        """Stand before the first gate, with what is owed and the time (ms) that each one's class gives it."""
        self.standing, self._waiting = Standing(Gate.CLOCK, now), list(owed)
        self._owed = {one.number for one, _ in self._waiting}
        self.owed_at_start = len(self._owed)

    @property
    def open(self) -> bool:
        """Whether it is through."""
        return self.standing.gate is Gate.OPEN

    @property
    def gated(self) -> bool:
        """Whether it waits at any gate."""
        return self._waits != Waits()

    @property
    def owed(self) -> int:
        """Of what was owed at the start, how many have no end yet."""
        return len(self._owed)

    def ended(self, number: int) -> None:
        """A message has its end."""
        self._owed.discard(number)

    def told(self, date: str, at: float) -> None:
        """The world's time, as an answer told it."""
        if self.standing.gate is Gate.CLOCK and (world := worldtime.read(date)) is not None:
            self._world = (world, at)

    def asks(self, now: float, listed: bool) -> bool:
        """Whether discovery is to be asked for its whole list now: a watch may wait for long."""
        if not self.gated or listed or now < self._ask_at:
            return False
        self._ask_at = now + ASK_MS
        return True

    def through(self, now: float, slots: int, acts: bool, listed: bool) -> list[tuple[PendingMessage, float]]:
        """Through the gates that are open by now; what that sets free, with the time that each has left."""
        before = self.standing
        seen = Seen(len(self._owed), slots, self._world is not None, acts, listed)
        self.standing = step(before, seen, self._waits, now)
        since, freed = before.since, list[tuple[PendingMessage, float]]()
        for one in self.standing.passed[len(before.passed) :]:
            if self.gated:
                waited = round(one.at - since, 1)
                self._log.info("gate", gate=one.gate.value, met=one.met, after_ms=waited, owed=seen.owed)
            since = one.at
            if one.gate is Gate.CLOCK:
                self._set_clock(now)
            if one.gate is Gate.LIST:
                freed = self._set_free()
        return freed

    def _set_clock(self, now: float) -> None:
        """The time that counts, from now on by a clock that never steps; only where it was waited for."""
        if not self._waits.clock_ms:
            return
        machine, world = self._clock.wall(), None
        if self._world is not None:
            world = self._world[0] + now - self._world[1]
        shift = worldtime.offset(machine, world, self._written)
        self._steady = (machine + shift, now)
        if shift:
            by = "world" if world is not None else "record"
            self._log.error("the machine's clock is wrong", by_s=round(-shift / 1000.0, 1), told_by=by)

    def wall(self) -> float:
        """The Unix time (ms) that counts."""
        if self._steady is None:
            return self._clock.wall()
        return self._steady[0] + self._clock.now() - self._steady[1]

    def left(self, owed: PendingMessage, most: float) -> float:
        """How much time (ms) a message has left, whose class gives it ``most``."""
        left = owed.deadline_wall - self.wall()
        # Guards the partner against a clock that is too early: no message has more time than its class gives.
        return min(left, most) if self._waits.clock_ms else left

    def _set_free(self) -> list[tuple[PendingMessage, float]]:
        freed, self._waiting = self._waiting, []
        return [(owed, self.left(owed, most)) for owed, most in freed]
