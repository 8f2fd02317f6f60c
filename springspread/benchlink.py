"""The adapter to the simulator: protocol codec and host of the senders. It makes no decisions.

A malformed frame ends the process with one line on standard error that names the record and the offset; an
exception in the decision module is returned as a crash record.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from struct import Struct
from struct import error as StructError
from typing import BinaryIO

from springspread import interface as i
from springspread.policy import Dispatcher
from springspread.settings import parse_lines, read_settings, report_fields

BATCH_HEAD = Struct("<IdII")
REPLY_HEAD = Struct("<III")
RECORD_HEAD = Struct("<BI")
ENTRY = Struct("<IBHHBfd")
COUNT8, COUNT16, COUNT32 = Struct("<B"), Struct("<H"), Struct("<I")
TAKEN = Struct("<IfQHHddH")
ENDED = Struct("<IBIHdBI")
PROBED = Struct("<IHd")
LISTED = Struct("<BIH")
HEAD_SEEN = Struct("<IIBd")
FLOAT = Struct("<f")

OUTCOMES = {
    200: i.Outcome.SERVED,
    500: i.Outcome.ERROR,
    503: i.Outcome.FULL,
    504: i.Outcome.TIMEOUT,
    502: i.Outcome.CONNECT_FAILED,
    598: i.Outcome.RESET,
    499: i.Outcome.CANCELLED,
    410: i.Outcome.MOOT,
}
MARK_AGAIN, MARK_ORPHAN = 2, 16
ALL_PEERS = 0xFFFFFFFF


class WireError(Exception):
    """A frame that violates the protocol."""


def parse_settings(text: str) -> i.Settings:
    """Read the path=value lines of an instance's first record; unknown keys are ignored."""
    return read_settings(parse_lines(text))


def read_report(body: bytes, at: int, fields: tuple[str, ...]) -> i.Report:
    """Read a load report; values that it lacks stay ``None``."""
    if at >= len(body):
        return i.Report()
    (count,) = COUNT8.unpack_from(body, at)
    values = [FLOAT.unpack_from(body, at + 1 + 4 * n)[0] for n in range(count)]
    named = dict(zip(fields, values, strict=False))
    return i.Report(left_share=named.get("x0"), limit_per_s=named.get("x1"))


def read_entries(body: bytes) -> tuple[i.RouteEntry, ...]:
    """Read the entries of a numbered list."""
    (count,) = COUNT32.unpack_from(body, 2)
    if 6 + count * ENTRY.size > len(body):
        raise WireError(f"count of {count} entries runs past the end")
    entries = []
    for n in range(count):
        route, zone, kind, dest, state, rating, added = ENTRY.unpack_from(body, 6 + n * ENTRY.size)
        known = i.RouteState(state) if state in (0, 1, 2) else i.RouteState.DRAINING
        entries.append(i.RouteEntry(route, zone, kind, dest, known, rating, added))
    return tuple(entries)


def write_action(action: i.Action) -> bytes:
    """Encode one action as a record."""
    match action:
        case i.Send(message, route, timeout_ms):
            code, body = 28, Struct("<IId").pack(message, route, timeout_ms)
        case i.Refuse(message, come_back_ms):
            code, body = 23, Struct("<Id").pack(message, come_back_ms)
        case i.Fail(message):
            code, body = 21, COUNT32.pack(message)
        case i.Cancel(message, attempt):
            code, body = 16, Struct("<IB").pack(message, attempt)
        case i.Probe(route):
            code, body = 27, COUNT32.pack(route)
        case i.CloseIdle(route):
            code, body = 17, COUNT32.pack(route)
        case i.Watch(active):
            code, body = 18, COUNT8.pack(active)
        case i.Fetch():
            code, body = 20, b""
        case i.Wake(after_ms, token):
            code, body = 19, Struct("<dQ").pack(after_ms, token)
        case i.Tell(peer, data):
            number = ALL_PEERS if peer is None else peer
            code, body = 26, Struct("<IH").pack(number, len(data)) + data
        case i.Log(text):
            code, body = 24, pack_text(text)
    return RECORD_HEAD.pack(code, len(body)) + body


def pack_text(text: str) -> bytes:
    """Encode a length-prefixed text."""
    data = text.encode()[:60000]
    return COUNT16.pack(len(data)) + data


def write_sender(sender: int) -> bytes:
    """Encode the record that names the instance of the following actions."""
    return RECORD_HEAD.pack(25, 4) + COUNT32.pack(sender)


def write_crash(text: str) -> bytes:
    """Encode the record that ends the simulation."""
    body = pack_text(text)
    return RECORD_HEAD.pack(22, len(body)) + body


def write_reply(number: int, records: list[bytes]) -> bytes:
    """Encode a reply frame."""
    body = b"".join(records)
    return REPLY_HEAD.pack(number, REPLY_HEAD.size + len(body), len(records)) + body


class Host:
    """Hosts the senders of one process; they share only the numbered lists of the protocol."""

    def __init__(self) -> None:
        self.lists: dict[int, tuple[i.RouteEntry, ...]] = {}
        self.instances: dict[int, Dispatcher] = {}
        self.fields: dict[int, tuple[str, ...]] = {}

    def answer(self, frame: bytes) -> bytes:
        """Process one batch and return the reply."""
        number, now, _, count = BATCH_HEAD.unpack_from(frame)
        waiting: dict[int, list[i.Event]] = {}
        records: list[bytes] = []
        sender, at = -1, BATCH_HEAD.size
        for n in range(count):
            code = -1
            try:
                code, size = RECORD_HEAD.unpack_from(frame, at)
                start = at + RECORD_HEAD.size
                if start + size > len(frame):
                    raise WireError(f"{size} bytes run past the end of the frame")
                body = frame[start : start + size]
                if code == 24:
                    (sender,) = COUNT32.unpack_from(body)
                elif code == 16:
                    self.lists[COUNT16.unpack_from(body)[0]] = read_entries(body)
                elif code == 19:
                    waiting[sender] = []
                    self.instances.pop(sender, None)
                    failure = self._start(sender, body)
                    if failure:
                        return write_reply(number, [write_sender(sender), write_crash(failure)])
                elif code == 18:
                    self.instances.pop(sender, None)
                    waiting.pop(sender, None)
                else:
                    event = self._event(code, body, self.fields.get(sender, ()))
                    if sender in self.instances:
                        waiting.setdefault(sender, []).append(event)
                at = start + size
            except (WireError, StructError, ValueError) as exc:
                raise WireError(f"record {n} (code {code}) at offset {at}: {exc}") from exc
        if at != len(frame):
            raise WireError(f"{len(frame) - at} bytes after the last record at offset {at}")
        for instance, events in waiting.items():
            try:
                actions = self.instances[instance].handle(now, events)
            except Exception as exc:  # every failure is reported as a crash record
                traceback = exc.__traceback__
                while traceback is not None and traceback.tb_next is not None:
                    traceback = traceback.tb_next
                line = traceback.tb_lineno if traceback is not None else 0
                text = f"{type(exc).__name__} at line {line}: {exc}"
                return write_reply(number, [write_sender(instance), write_crash(text)])
            if actions:
                records.append(write_sender(instance))
                records.extend(map(write_action, actions))
        return write_reply(number, records)

    def _start(self, sender: int, body: bytes) -> str:
        seed, size = Struct("<QI").unpack_from(body)
        if 12 + size > len(body):
            raise WireError("settings run past the end")
        text = body[12 : 12 + size].decode()
        self.fields[sender] = report_fields(parse_lines(text))
        try:
            self.instances[sender] = Dispatcher(parse_settings(text), seed)
        except Exception as exc:  # invalid settings end the simulation
            return f"settings: {exc}"
        return ""

    def _event(self, code: int, body: bytes, fields: tuple[str, ...]) -> i.Event:
        reader = _READERS.get(code)
        if reader is None:
            raise WireError("unknown code")
        if code == 17:
            scope, version, number = LISTED.unpack_from(body)
            kind = i.ListScope(scope)
            if kind is i.ListScope.FAILED:
                return i.Listed(kind, version)
            if number not in self.lists:
                raise WireError(f"list {number} is unknown")
            return i.Listed(kind, version, self.lists[number])
        return reader(body, fields)


def _read_taken(body: bytes, _: tuple[str, ...]) -> i.Event:
    message, dest, key, cls, tenant, deadline, _cost, marks = TAKEN.unpack_from(body)
    again, orphan = bool(marks & MARK_AGAIN), bool(marks & MARK_ORPHAN)
    return i.Taken(message, int(dest), cls, deadline, tenant, key, again, orphan)


def _read_ended(body: bytes, fields: tuple[str, ...]) -> i.Event:
    message, attempt, route, reason, took, over, wait_ms = ENDED.unpack_from(body)
    outcome = OUTCOMES.get(reason, i.Outcome.UNKNOWN)
    wait = float(wait_ms) if outcome is i.Outcome.FULL else 0.0
    return i.Ended(
        message, attempt, route, outcome, took, bool(over), wait, read_report(body, ENDED.size, fields)
    )


def _read_probed(body: bytes, fields: tuple[str, ...]) -> i.Event:
    route, reason, took = PROBED.unpack_from(body)
    outcome = OUTCOMES.get(reason, i.Outcome.UNKNOWN)
    return i.Probed(route, outcome, took, read_report(body, PROBED.size, fields))


def _read_withdrawn(body: bytes, _: tuple[str, ...]) -> i.Event:
    return i.Withdrawn(COUNT32.unpack_from(body)[0])


def _read_woken(body: bytes, _: tuple[str, ...]) -> i.Event:
    return i.Woken(Struct("<Q").unpack_from(body)[0])


def _read_head_seen(body: bytes, _: tuple[str, ...]) -> i.Event:
    message, route, attempt, took = HEAD_SEEN.unpack_from(body)
    return i.Began(message, attempt, route, took)


def _read_peer(body: bytes, _: tuple[str, ...]) -> i.Event:
    peer, size = Struct("<IH").unpack_from(body)
    if 6 + size > len(body):
        raise WireError("payload runs past the end")
    return i.Heard(peer, body[6 : 6 + size])


def _read_listed(_body: bytes, _: tuple[str, ...]) -> i.Event:
    raise WireError("a list event needs the host's lists")


_READERS: dict[int, Callable[[bytes, tuple[str, ...]], i.Event]] = {
    17: _read_listed,
    20: _read_peer,
    21: _read_woken,
    22: _read_probed,
    23: _read_ended,
    25: _read_withdrawn,
    26: _read_taken,
    27: _read_head_seen,
}


def read_frame(source: BinaryIO) -> bytes | None:
    """Read one batch frame; ``None`` at the end of input."""
    head = source.read(BATCH_HEAD.size)
    if not head:
        return None
    if len(head) < BATCH_HEAD.size:
        raise WireError(f"batch header: {len(head)} bytes of {BATCH_HEAD.size} at offset 0")
    size = BATCH_HEAD.unpack(head)[2]
    if size < BATCH_HEAD.size:
        raise WireError(f"batch header: length {size} is under its own {BATCH_HEAD.size} bytes at offset 12")
    body = source.read(size - BATCH_HEAD.size)
    if len(body) < size - BATCH_HEAD.size:
        raise WireError(f"batch body: ends at offset {BATCH_HEAD.size + len(body)} of {size}")
    return head + body


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the end of input."""
    host = Host()
    while (frame := read_frame(source)) is not None:
        sink.write(host.answer(frame))
        sink.flush()


def main() -> int:
    """Run the host on standard input and output."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as exc:
        print(f"springspread: malformed batch: {exc}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
