"""A message that a sender still has to finish, and its encoding as journal records. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from struct import error as StructError
from zlib import crc32

from springspread.core.journal_repair import (
    BEGUN,
    ENDING,
    FIELD,
    FRAME_HEADER,
    HAS_FIELDS,
    POLICY,
    TAKEN,
)


class FieldKind(IntEnum):
    """The optional fields of a *taken* record; a reader skips kinds that it does not know."""

    IDEMPOTENCY_KEY = 1
    ORDERING_KEY = 2


@dataclass(slots=True)
class PendingMessage:
    """A message on record without a final outcome, and what is known of its attempts."""

    number: int
    id: str
    cls: str
    group: int
    deadline_wall: float
    body: bytes
    again: bool = False
    orphan: bool = False
    begun: set[int] = field(default_factory=set)
    not_run: set[int] = field(default_factory=set)
    ending: tuple[bool, float] | None = None  # deferred, again_ms
    file: int = 0  # the number of the file with its latest *taken* record
    policy: int = 0  # the fleet's policy it was taken under; 0 without a fleet
    idempotency_key: str = ""
    ordering_key: str = ""

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt was begun and is not proved never to have run."""
        return bool(self.begun - self.not_run)

    @property
    def attempts(self) -> int:
        """The number of attempts begun."""
        return max(self.begun, default=-1) + 1

    @property
    def taken_bytes(self) -> int:
        """The most bytes that its *taken* record takes."""
        fixed = FRAME_HEADER.size + TAKEN.size + POLICY.size
        return fixed + len(self.cls.encode()) + len(self.id) + len(self.body) + len(self._fields())

    def _fields(self) -> bytes:
        values = {
            FieldKind.IDEMPOTENCY_KEY: self.idempotency_key,
            FieldKind.ORDERING_KEY: self.ordering_key,
        }
        encoded = {kind: value.encode("latin-1") for kind, value in values.items() if value}
        return b"".join(FIELD.pack(kind, len(value)) + value for kind, value in encoded.items())

    def records(self) -> bytes:
        """Everything known of the message, encoded as records."""
        name, cls = self.id.encode("latin-1"), self.cls.encode()
        fields = self._fields()
        flags = self.again | self.orphan << 1 | HAS_FIELDS * bool(fields)
        head = TAKEN.pack(
            b"T", self.number, self.deadline_wall, self.group, flags, len(cls), len(name), len(self.body)
        )
        policy = POLICY.pack(self.policy) if self.policy or fields else b""  # optional trailer
        frames = [encode_frame(head + cls + name + self.body + policy + fields)]
        frames += [encode_frame(BEGUN.pack(b"B", self.number, n)) for n in sorted(self.begun)]
        frames += [encode_frame(BEGUN.pack(b"N", self.number, n)) for n in sorted(self.not_run)]
        if self.ending is not None:
            frames.append(encode_frame(ENDING.pack(b"E", self.number, *self.ending)))
        return b"".join(frames)


def encode_frame(payload: bytes) -> bytes:
    """A record with its length and checksum."""
    return FRAME_HEADER.pack(len(payload), crc32(payload)) + payload


def decode_taken(payload: bytes, file: int) -> PendingMessage:
    """The message of a *taken* record. Raises ``struct.error`` or ``UnicodeDecodeError`` if it is malformed.

    ``file``: the number of the file that holds the record.
    """
    _, number, deadline, group, flags, cls_size, id_size, body_size = TAKEN.unpack_from(payload)
    id_at = TAKEN.size + cls_size
    body_at = id_at + id_size
    policy_at = body_at + body_size
    cls = payload[TAKEN.size : id_at].decode()
    id = payload[id_at:body_at].decode("latin-1")
    body = payload[body_at:policy_at]
    policy = POLICY.unpack_from(payload, policy_at)[0] if len(payload) >= policy_at + POLICY.size else 0
    again, orphan = bool(flags & 1), bool(flags & 2)
    fields = _decode_fields(payload, policy_at + POLICY.size) if flags & HAS_FIELDS else {}
    return PendingMessage(
        number,
        id,
        cls,
        group,
        deadline,
        body,
        again,
        orphan,
        file=file,
        policy=policy,
        idempotency_key=fields.get(FieldKind.IDEMPOTENCY_KEY, b"").decode("latin-1"),
        ordering_key=fields.get(FieldKind.ORDERING_KEY, b"").decode("latin-1"),
    )


def _decode_fields(payload: bytes, offset: int) -> Mapping[int, bytes]:
    fields: dict[int, bytes] = {}
    while offset < len(payload):
        kind, size = FIELD.unpack_from(payload, offset)
        offset += FIELD.size
        if offset + size > len(payload):
            raise StructError("an optional field is longer than its record")
        fields[kind] = payload[offset : offset + size]
        offset += size
    return fields
