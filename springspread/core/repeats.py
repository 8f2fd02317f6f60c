"""What a client is answered whose message has the id of one that is known already. No I/O.

known as                                          the same message           another one
pending at this process                           ACCEPTED                   CONFLICT
pending at another process on the folder, begun   ACCEPTED                   CONFLICT
the same, not begun: that process may drop it     REFUSED, come back soon    CONFLICT
delivered lately, by any process of the folder    DELIVERED                  CONFLICT
closed lately, and may have run: its end was      ACCEPTED                   CONFLICT
told, and its class may not be repeated
the same, its class may be repeated               none: a new message        none: a new message
"""

from __future__ import annotations

from springspread.core.closed_messages import ClosedMessage, Outcome
from springspread.core.journal_records import PendingMessage
from springspread.core.types import Message, Verdict

RETRY_MS = 100.0  # for a message that another process may still drop


def is_same(message: Message, pending: PendingMessage) -> bool:
    """Whether a message that was handed in is the one on record, and not another one with the same id."""
    return (
        message.cls == pending.cls
        and message.group == pending.group
        and message.body == pending.body
        and message.idempotency_key == pending.idempotency_key
        and message.ordering_key == pending.ordering_key
    )


def verdict_if_pending_elsewhere(message: Message, other: PendingMessage) -> Verdict:
    """The answer to a message that another process on the folder holds; see ``RETRY_MS`` for a refusal."""
    if not is_same(message, other):
        return Verdict.CONFLICT
    kept = bool(other.begun) or other.ending is not None
    return Verdict.ACCEPTED if kept else Verdict.REFUSED


def verdict_if_closed(message: Message, closed: ClosedMessage, may_repeat: bool) -> Verdict | None:
    """The answer to a message that was closed lately; ``None``: it is a new one."""
    if closed.outcome is Outcome.MAY_HAVE_RUN and may_repeat:
        return None
    if not closed.is_of(message):
        return Verdict.CONFLICT
    return Verdict.DELIVERED if closed.outcome is Outcome.DELIVERED else Verdict.ACCEPTED
