"""The simulator's protocol: examples byte by byte, settings, lists and malformed frames."""

from __future__ import annotations

import io
import subprocess
import sys

import pytest

from springspread import benchlink as b
from springspread import interface as i

SETTINGS = """accounts.count=1
accounts.0.fraction=0.42
accounts.0.name=one
accounts.0.quotaPerS=27.0
balancers=3
classes.count=2
classes.0.deadlineMs=24000.0
classes.0.dedupScope=zone
classes.0.effect=by_key
classes.0.lateWorth=0.3
classes.0.memorySpanMs=15000.0
classes.0.name=a
classes.0.objectiveMs=4000.0
classes.0.points=1.0
classes.1.deadlineMs=20000.0
classes.1.effect=once
classes.1.inTurn=true
classes.1.name=b
classes.1.objectiveMs=2500.0
discovery=ask
feedback.fields=x0,x1
kinds=k,l
limits.attemptsCap=12
limits.mostHeld=200
rules.orderSettleMs=100.0
specifics.callsOut=14
specifics.carriage=0.06,0.0,0.03
specifics.fades=halving
specifics.perCall=20,1
specifics.separateRoutes=false,true
unheard.of=1
weightSource=rough
"""


def frame(number: int, clock: float, *records: str) -> bytes:
    body = b"".join(bytes.fromhex(r.replace(" ", "")) for r in records)
    return b.BATCH_HEAD.pack(number, clock, b.BATCH_HEAD.size + len(body), len(records)) + body


def start_records(sender: int, text: str = SETTINGS) -> list[str]:
    data = text.encode()
    body = (9).to_bytes(8, "little") + len(data).to_bytes(4, "little") + data
    head = b"\x18\x04\x00\x00\x00" + sender.to_bytes(4, "little")
    return [head.hex(), (b"\x13" + len(body).to_bytes(4, "little") + body).hex()]


LIST = (
    "10 32000000 0000 02000000 074a1203 00 0000 3900 01 0000803f 0000000000000000"
    "f211902c 01 0000 3900 01 0000c03f 0000000000d4b740"
)
LISTED = "11 07000000 02 29000000 0000"
TAKEN = "1a 26000000 c4913a5d 00006442 640ad2557c3bf091 0000 0000 0000000020e6c040 0000000000002840 0100"


def test_empty_batch_example() -> None:
    batch = bytes.fromhex("0100000000000000206ec0401400000000000000")
    assert b.Host().answer(batch) == bytes.fromhex("010000000c00000000000000")


@pytest.mark.parametrize(
    ("action", "example"),
    [
        (i.Send(0x5D3A91C4, 0x03124A07, 80.0), "1c 10000000 c4913a5d 074a1203 0000000000005440"),
        (i.Fail(0x0E6F2B19), "15 04000000 192b6f0e"),
        (i.Watch(), "12 01000000 01"),
        (i.Cancel(0x5D3A91C4, 0), "10 05000000 c4913a5d 00"),
        (i.Refuse(0x0E6F2B19, 250.0), "17 0c000000 192b6f0e 0000000000406f40"),
        (i.Probe(0x2C9011F2), "1b 04000000 f211902c"),
        (i.CloseIdle(0x2C9011F2), "11 04000000 f211902c"),
        (i.Wake(500.0, 77), "13 10000000 0000000000407f40 4d00000000000000"),
        (i.Fetch(), "14 00000000"),
        (i.Tell(None, b"hi 7"), "1a 0a000000 ffffffff 0400 68692037"),
        (i.Log("two servers known"), "18 13000000 1100 74776f2073657276657273206b6e6f776e"),
    ],
)
def test_action_examples(action: i.Action, example: str) -> None:
    assert b.write_action(action) == bytes.fromhex(example)


def test_sender_crash_and_reply_examples() -> None:
    assert b.write_sender(3) == bytes.fromhex("19 04000000 03000000")
    crash = bytes.fromhex("16 14000000 1200 696e646578206f7574206f662072616e6765")
    assert b.write_crash("index out of range") == crash
    parts = ["19 04000000 03000000", "1c 10000000 c4913a5d 074a1203 0000000000005440"]
    parts += ["13 10000000 0000000000407f40 4d00000000000000", "19 04000000 05000000"]
    parts += ["18 13000000 1100 74776f2073657276657273206b6e6f776e"]
    reply = b.write_reply(12, [bytes.fromhex(p) for p in parts])
    assert reply == bytes.fromhex("0c0000006000000005000000" + "".join(parts))


def events_of(*records: str) -> list[i.Event]:
    class Spy(b.Host):
        def __init__(self) -> None:
            super().__init__()
            self.seen: list[i.Event] = []

        def _event(self, code: int, body: bytes, fields: tuple[str, ...]) -> i.Event:
            event = super()._event(code, body, fields)
            self.seen.append(event)
            return event

    spy = Spy()
    spy.answer(frame(1, 0.0, *start_records(3), LIST, LISTED, *records))
    return spy.seen


def test_event_examples() -> None:
    ended = "17 21000000 c4913a5d 00 074a1203 c800 0000000000803240 01 00000000 02 cdcccc3e0000a03f"
    checked = "16 17000000 f211902c c800 666666666666f63f 02 cdcccc3e0000a03f"
    rest = ["19 04000000 192b6f0e", "15 08000000 4d00000000000000", "14 0a000000 02000000 0400 68692037"]
    seen = events_of(TAKEN, ended, checked, *rest, "1b 11000000 c4913a5d 074a1203 00 0000000000802240")
    listed, taken, done, probed, withdrawn, woken = seen[:6]
    assert isinstance(listed, i.Listed)
    assert listed.scope is i.ListScope.CACHED
    assert [e.route for e in listed.entries] == [0x03124A07, 0x2C9011F2]
    assert listed.entries[1] == i.RouteEntry(0x2C9011F2, 1, 0, 57, i.RouteState.READY, 1.5, 6100.0)
    assert isinstance(taken, i.Taken)
    assert (taken.message, taken.destination, taken.cls) == (0x5D3A91C4, 57, 0)
    assert (taken.key, taken.deadline_ms) == (0x91F03B7C55D20A64, 8652.25)
    assert isinstance(done, i.Ended)
    assert (done.outcome, done.took_ms, done.over) == (i.Outcome.SERVED, 18.5, True)
    assert done.report.left_share == pytest.approx(0.4)
    assert done.report.limit_per_s == pytest.approx(1.25)
    assert isinstance(probed, i.Probed)
    assert probed.took_ms == pytest.approx(1.4)
    assert withdrawn == i.Withdrawn(0x0E6F2B19)
    assert woken == i.Woken(77)
    assert seen[6] == i.Heard(2, bytes.fromhex("68692037"))
    assert seen[7] == i.Began(0x5D3A91C4, 0, 0x03124A07, 9.25)


def test_full_tells_its_wait_and_moot_does_not() -> None:
    full = "17 19000000 c4913a5d 00 074a1203 f701 0000000000803240 00 2c010000 00"
    moot = "17 19000000 c4913a5d 00 074a1203 9a01 0000000000803240 00 01000000 00"
    seen = [event for event in events_of(full, moot) if isinstance(event, i.Ended)]
    assert [event.wait_ms for event in seen] == [300.0, 0.0]


def test_settings_are_read_and_unknown_keys_skipped() -> None:
    read = b.parse_settings(SETTINGS)
    assert (read.slots, read.max_held, read.senders, read.must_ask) == (14, 200, 3, True)
    assert read.fade is i.Fade.HALVING
    assert read.rating is i.Rating.ROUGH
    assert read.kinds == (i.KindSpec("k", False, 20), i.KindSpec("l", True, 1))
    assert read.classes[0].scope is i.Scope.ZONE
    assert read.classes[1].effect is i.Effect.UNSAFE
    assert read.classes[1].in_order
    assert read.prices.zone_fee == (0.06, 0.0, 0.03)


def test_a_list_number_is_resolved_in_event_order() -> None:
    other = LIST.replace("074a1203", "084a1203")
    host = b.Host()
    host.answer(
        frame(
            1,
            0.0,
            *start_records(3),
            LIST,
            LISTED,
            other,
            "18 04000000 04000000",
            *start_records(4)[1:],
            LISTED,
        )
    )
    assert 0x03124A07 in host.instances[3].routes
    assert 0x03124A08 in host.instances[4].routes


def test_a_restart_in_one_batch_starts_with_no_state() -> None:
    host = b.Host()
    host.answer(frame(1, 0.0, *start_records(3), LIST, LISTED, TAKEN))
    assert host.instances[3].pending
    host.answer(frame(2, 5.0, "18 04000000 03000000", "12 00000000", *start_records(3)[1:], LIST, LISTED))
    assert not host.instances[3].pending


@pytest.mark.parametrize(
    ("batch", "expected"),
    [
        (b"\x01\x00", "batch header"),
        (frame(1, 0.0)[:-4] + b"\x01\x00\x00\x00", "record 0"),
        (frame(1, 0.0, "63 00000000"), "unknown code"),
        (frame(1, 0.0, "18 ff000000 03000000"), "past the end"),
        (frame(1, 0.0, "10 06000000 0000 ff000000"), "count of 255 entries"),
        (frame(1, 0.0, "18 04000000 03000000") + b"", ""),
        (frame(1, 0.0, "18 04000000 03000000")[:-2], "batch body"),
    ],
)
def test_a_malformed_frame_ends_with_one_plain_line(batch: bytes, expected: str) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "springspread.benchlink"], input=batch, capture_output=True, check=False
    )
    if not expected:
        assert done.returncode == 0
        return
    assert done.returncode != 0
    assert done.stdout == b""
    lines = done.stderr.decode().splitlines()
    assert len(lines) == 1
    assert expected in lines[0]
    assert "offset" in lines[0]


def test_an_exception_of_the_module_becomes_a_crash_record(monkeypatch: pytest.MonkeyPatch) -> None:
    host = b.Host()
    host.answer(frame(1, 0.0, *start_records(3), LIST, LISTED))

    def fail(now: float, events: list[i.Event]) -> list[i.Action]:
        raise RuntimeError("no way on")

    monkeypatch.setattr(host.instances[3], "handle", fail)
    reply = host.answer(frame(2, 5.0, "18 04000000 03000000", TAKEN))
    assert b"RuntimeError" in reply
    assert b"no way on" in reply


def test_end_of_input_ends_quietly() -> None:
    sink = io.BytesIO()
    b.serve(io.BytesIO(frame(7, 0.0)), sink)
    assert sink.getvalue() == b.write_reply(7, [])
