"""The messages that a sender is responsible for."""

from __future__ import annotations

from dataclasses import dataclass

from springspread import interface as i
from springspread.core.journal_records import PendingMessage


@dataclass(slots=True, eq=False)
class OpenMessage:
    """An accepted message that the decision module has not ended yet."""

    pending: PendingMessage
    spec: i.ClassSpec
    deadline: float
    waiting_clients: int = 1  # requests for it whose clients have not left


class MessageTable:
    """Messages by number and by id, from their acceptance until they are closed.

    ``open``: by number. ``numbers``: by id, including those that have ended and whose notice is undelivered.
    """

    def __init__(self) -> None:
        self.open: dict[int, OpenMessage] = {}
        self.numbers: dict[str, int] = {}

    def add(self, message: OpenMessage) -> None:
        """Add an open message."""
        self.open[message.pending.number] = message
        self.numbers[message.pending.id] = message.pending.number

    def close(self, id: str) -> None:
        """Remove a message."""
        self.numbers.pop(id, None)
