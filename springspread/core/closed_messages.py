"""The results of messages that were closed lately, by which one that is handed in again is known. No I/O.

A client that got no answer may hand its message in again under its id: to this process, to the next one, or
to another one on the folder. A message that has run, or may have, must not run again because its record has
been completed. The journal derives a result from the records that it has anyway, and keeps the few bytes of
``RESULT`` for one whose records are removed:

    records of a completed message              result          handed in again
    an attempt that may have run, no ending     DELIVERED       answered as delivered
    an attempt that may have run, ended as      MAY_HAVE_RUN    its end was told; it runs again only if its
    undeliverable                                               class may be repeated
    ended as deferred                           none            a new message: its client may come again
    no attempt that may have run                none            a new message
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum
from hashlib import blake2b
from typing import Protocol

from springspread.core.journal_records import PendingMessage
from springspread.core.journal_repair import RESULT

ID_DIGEST_BYTES = 16
CONTENT_DIGEST_BYTES = 8


class Outcome(IntEnum):
    """How a message was closed; the values stand in files."""

    DELIVERED = 1
    MAY_HAVE_RUN = 2


class Content(Protocol):
    """What makes two messages with one id the same."""

    @property
    def cls(self) -> str:
        """The class."""

    @property
    def group(self) -> int:
        """The destination."""

    @property
    def body(self) -> bytes:
        """The body."""

    @property
    def idempotency_key(self) -> str:
        """The client's key for repeats."""

    @property
    def ordering_key(self) -> str:
        """The client's key for order."""


def id_digest(id: str) -> bytes:
    """Identifies a message in results."""
    return blake2b(id.encode("latin-1"), digest_size=ID_DIGEST_BYTES).digest()


def content_digest(content: Content) -> bytes:
    """Tells whether a message that is handed in again is the same one."""
    head = f"{content.cls}\0{content.group}\0{content.idempotency_key}\0{content.ordering_key}\0"
    return blake2b(head.encode() + content.body, digest_size=CONTENT_DIGEST_BYTES).digest()


@dataclass(frozen=True, slots=True)
class ClosedMessage:
    """One result. ``file``: the number of the journal's file whose removal would lose it."""

    id_digest: bytes
    content_digest: bytes
    outcome: Outcome
    file: int = 0

    @classmethod
    def of(cls, message: PendingMessage, delivered: bool = False) -> ClosedMessage | None:
        """The result of a message that is completed now; ``None`` if it may come again as a new one.

        ``delivered``: it was; else its records tell.
        """
        deferred = message.ending is not None and message.ending[0]
        if deferred or not (delivered or message.may_have_run):
            return None
        outcome = Outcome.DELIVERED if delivered or message.ending is None else Outcome.MAY_HAVE_RUN
        return cls(id_digest(message.id), content_digest(message), outcome, message.file)

    @classmethod
    def decode(cls, payload: bytes, file: int) -> ClosedMessage | None:
        """The result in a record; ``None`` for an outcome that is not known. Raises ``struct.error``."""
        _, id, content, outcome = RESULT.unpack(payload)
        return cls(id, content, Outcome(outcome), file) if outcome in list(Outcome) else None

    def encode(self) -> bytes:
        """The payload of its record."""
        return RESULT.pack(b"R", self.id_digest, self.content_digest, self.outcome)

    def is_of(self, content: Content) -> bool:
        """Whether a message with this id is the one that was closed."""
        return self.content_digest == content_digest(content)


class ClosedMessages:
    """The latest results, at most ``max_results``; the oldest are forgotten."""

    def __init__(self, max_results: int) -> None:
        self._max_results = max_results
        self._results: OrderedDict[bytes, ClosedMessage] = OrderedDict()

    def __len__(self) -> int:
        return len(self._results)

    def __contains__(self, closed: ClosedMessage) -> bool:
        return closed.id_digest in self._results

    def __iter__(self) -> Iterator[ClosedMessage]:
        return iter(list(self._results.values()))

    def add(self, closed: ClosedMessage) -> None:
        """Add a result, or replace that of the same message."""
        self._results.pop(closed.id_digest, None)
        self._results[closed.id_digest] = closed
        if len(self._results) > self._max_results:
            self._results.popitem(last=False)

    def find(self, id: str) -> ClosedMessage | None:
        """The result of a message with this id."""
        return self._results.get(id_digest(id)) if self._results else None

    def moved(self, closed: ClosedMessage) -> None:
        """A result stands in another file now; its age stays."""
        self._results[closed.id_digest] = closed
