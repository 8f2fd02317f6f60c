"""The startup of a sender: its stage, the recovered messages, and the corrected wall clock.

Used by the loop's thread alone; ``progress``, ``open`` and ``backlog`` may be read from any thread.
"""

from __future__ import annotations

from collections.abc import Iterable

from springspread.config import Waits
from springspread.core import wall_clock
from springspread.core.clock import Clock
from springspread.core.journal_records import PendingMessage
from springspread.core.startup_stages import Conditions, Progress, Stage, advance
from springspread.core.types import Log

LIST_RETRY_MS = 500.0


class Startup:
    """The startup of one process. ``written_wall``: the journal's last write (Unix time, ms)."""

    def __init__(self, waits: Waits, log: Log, clock: Clock, written_wall: float) -> None:
        self._waits, self._log, self._clock, self._written_wall = waits, log, clock, written_wall
        self.progress = Progress(Stage.CLOCK, clock.now())
        self._known_time: tuple[float, float] | None = None  # an answer's date, and when it was read
        self._anchor: tuple[float, float] | None = None  # the corrected wall clock, and when it was set
        self._waiting: list[tuple[PendingMessage, float]] = []  # to release; with their class's deadline (ms)
        self._backlog: set[int] = set()  # numbers of recovered messages that are still open
        self.backlog_at_start = 0
        self._fetch_at = 0.0

    def begin(self, now: float, waiting: Iterable[tuple[PendingMessage, float]]) -> None:
        """Enter the first stage, with recovered messages and their class's deadline (ms)."""
        self.progress, self._waiting = Progress(Stage.CLOCK, now), list(waiting)
        self._backlog = {one.number for one, _ in self._waiting}
        self.backlog_at_start = len(self._backlog)

    @property
    def open(self) -> bool:
        """Whether all stages have ended."""
        return self.progress.stage is Stage.OPEN

    @property
    def has_waits(self) -> bool:
        """Whether any stage is waited for."""
        return self._waits != Waits()

    @property
    def backlog(self) -> int:
        """How many recovered messages are still open."""
        return len(self._backlog)

    def message_ended(self, number: int) -> None:
        """A message has ended."""
        self._backlog.discard(number)

    def note_date(self, date: str, at: float) -> None:
        """Note the date of discovery's answer."""
        if self.progress.stage is Stage.CLOCK and (reference := wall_clock.parse_date(date)) is not None:
            self._known_time = (reference, at)

    def should_fetch_list(self, now: float, listed: bool) -> bool:
        """Whether to request the whole list now, as a watch may take long."""
        if not self.has_waits or listed or now < self._fetch_at:
            return False
        self._fetch_at = now + LIST_RETRY_MS
        return True

    def proceed(
        self, now: float, slots: int, policy: bool, listed: bool
    ) -> list[tuple[PendingMessage, float]]:
        """Leave the stages that have ended; returns the messages that this releases, with their time left."""
        before = self.progress
        conditions = Conditions(len(self._backlog), slots, self._known_time is not None, policy, listed)
        self.progress = advance(before, conditions, self._waits, now)
        since, released = before.since, list[tuple[PendingMessage, float]]()
        for one in self.progress.passed[len(before.passed) :]:
            if self.has_waits:
                waited = round(one.at - since, 1)
                self._log.info(
                    "gate", gate=one.stage.value, met=one.met, after_ms=waited, owed=conditions.backlog
                )
            since = one.at
            if one.stage is Stage.CLOCK:
                self._set_clock(now)
            if one.stage is Stage.LIST:
                released = self._release()
        return released

    def _set_clock(self, now: float) -> None:
        """Fix the wall-clock time, if the stage is in use; from now on it advances by the monotonic clock."""
        if not self._waits.clock_ms:
            return
        system, reference = self._clock.wall(), None
        if self._known_time is not None:
            reference = self._known_time[0] + now - self._known_time[1]
        shift = wall_clock.offset(system, reference, self._written_wall)
        self._anchor = (system + shift, now)
        if shift:
            source = "date" if reference is not None else "record"
            self._log.error("the machine's clock is wrong", by_s=round(-shift / 1000.0, 1), source=source)

    def wall(self) -> float:
        """The corrected Unix time (ms)."""
        if self._anchor is None:
            return self._clock.wall()
        return self._anchor[0] + self._clock.now() - self._anchor[1]

    def time_left(self, pending: PendingMessage, limit_ms: float) -> float:
        """How much time (ms) a message has left; ``limit_ms``: its class's deadline."""
        left = pending.deadline_wall - self.wall()
        # A clock that is too early must not give a message more time than its class does.
        return min(left, limit_ms) if self._waits.clock_ms else left

    def _release(self) -> list[tuple[PendingMessage, float]]:
        released, self._waiting = self._waiting, []
        return [(pending, self.time_left(pending, limit_ms)) for pending, limit_ms in released]
