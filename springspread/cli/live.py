"""The demo's live table: on a terminal it stands still and changes, elsewhere it is a line every second."""

from __future__ import annotations

from types import TracebackType

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from springspread.town.checker import Checker

PERCENTILES = (50, 90, 99)


class Watching:
    """Shows a day as it is played; use it as a context."""

    def __init__(self, console: Console | None = None) -> None:
        self._console = console or Console()
        self._live = Live(console=self._console, refresh_per_second=4)

    def __enter__(self) -> Watching:
        if self._console.is_terminal:
            self._live.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, exc: BaseException | None, trace: TracebackType | None
    ) -> None:
        if self._console.is_terminal:
            self._live.stop()

    def show(self, at: float, checker: Checker, sufferings: dict[str, str]) -> None:
        """What the day has come to by ``at`` (ms); ``sufferings`` names what each partner has now."""
        tally = checker.tally
        values = [checker.latency.get_value_at_percentile(p) for p in PERCENTILES]
        heads = ("s", "handed in", "delivered", "refused", "failed", "calls", "service")
        told = (tally.messages, tally.delivered, tally.refused, tally.failed, tally.calls)
        cells = [f"{at / 1000:.0f}", *map(str, told), f"{tally.service:.3f}", *map(str, values)]
        if not self._console.is_terminal:
            names = [*heads, *(f"p{p} ms" for p in PERCENTILES)]
            line = ", ".join(f"{name} {cell}" for name, cell in zip(names, cells, strict=True))
            suffer = "; ".join(f"{partner} {what}" for partner, what in sufferings.items())
            self._console.print(line + (f" | {suffer}" if suffer else ""), soft_wrap=True, highlight=False)
            return
        table = Table(*heads, *(f"p{p} ms" for p in PERCENTILES), title="A small town and one sender")
        table.add_row(*cells)
        troubles = Table("partner", "suffers")
        for partner, what in sufferings.items():
            troubles.add_row(partner, what)
        broken = Text(f"{len(checker.faults)} broken promises", "red" if checker.faults else "green")
        self._live.update(Group(table, troubles, broken))
